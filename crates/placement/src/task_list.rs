//! List of the waiting tasks of a step.

use std::ops::Range;

use nutmegwalk_workload::TaskIndex;

/// Indices of tasks in ascending order, kept as ranges, so that a step with many waiting tasks takes little memory.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TaskList {
    ranges: Vec<Range<TaskIndex>>,
}

impl TaskList {
    /// Creates a list from ranges in ascending order.
    #[must_use]
    pub fn new(ranges: Vec<Range<TaskIndex>>) -> Self {
        Self { ranges }
    }

    /// Returns the number of tasks.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.ranges
            .iter()
            .map(|range| range.end - range.start)
            .fold(0, u32::saturating_add)
    }

    /// Returns whether there are no tasks.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ranges.iter().all(Range::is_empty)
    }

    /// Returns the indices in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = TaskIndex> + use<'_> {
        self.ranges.iter().cloned().flatten()
    }
}

impl FromIterator<TaskIndex> for TaskList {
    fn from_iter<I: IntoIterator<Item = TaskIndex>>(indices: I) -> Self {
        let mut ranges: Vec<Range<TaskIndex>> = Vec::new();
        for index in indices {
            match ranges.last_mut() {
                Some(last) if last.end == index => last.end += 1,
                _ => ranges.push(index..index + 1),
            }
        }
        Self { ranges }
    }
}
