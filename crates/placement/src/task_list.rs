//! List of the waiting tasks of a step.

use std::ops::Range;

use nutmegwalk_workload::TaskIndex;

/// Indices of tasks in ascending order, kept as ranges, so that a step with many waiting tasks takes little memory.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TaskList {
    ranges: Vec<Range<TaskIndex>>,
}

impl TaskList {
    /// Adds the tasks of a range, which must follow all others.
    pub fn push(&mut self, range: Range<TaskIndex>) {
        if range.is_empty() {
            return;
        }
        match self.ranges.last_mut() {
            Some(last) if last.end == range.start => last.end = range.end,
            _ => self.ranges.push(range),
        }
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
        self.ranges.is_empty()
    }

    /// Returns the indices in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = TaskIndex> + use<'_> {
        self.ranges.iter().cloned().flatten()
    }
}

impl FromIterator<TaskIndex> for TaskList {
    fn from_iter<I: IntoIterator<Item = TaskIndex>>(indices: I) -> Self {
        let mut list = Self::default();
        for index in indices {
            list.push(index..index + 1);
        }
        list
    }
}
