//! Parts of a job's progress, each of which fits into one row of the store.
//!
//! A part covers consecutive tasks of one step of one occurrence. The size of a row thus does not grow with the job, and a
//! change writes the parts that it concerns.

use std::ops::Range;

use crate::JobSpec;
use crate::Occurrence;
use crate::StepIndex;
use crate::StepSpec;
use crate::TaskIndex;
use crate::UnitId;
use crate::task_set::WORD_BITS;
use nutmegwalk_base::JobId;

/// Key prefix of all parts of the progress of jobs.
pub const PART_PREFIX: &str = "progress/";
/// Maximum number of occurrences of one job that are in progress at a time. Any number of them can be due when the
/// interval is short or the job was due long ago.
pub const MAX_OPEN_OCCURRENCES: u32 = 64;
/// Number of tasks in a part of a step without a gang: one word of the set of done units.
const TASKS_PER_PART: u32 = WORD_BITS;
/// Number of tasks in a part of a gang, of which a part holds little more than their workers.
const MEMBERS_PER_PART: u32 = 256;
/// Maximum number of tasks in progress of a job whose parts share the row of its summary.
const MAX_INLINE_TASKS: u32 = TASKS_PER_PART;

/// Identifies a part of the progress of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartId {
    /// Index of the occurrence.
    pub occurrence: Occurrence,
    /// Index of the step.
    pub step: StepIndex,
    /// Index of the part within the step.
    pub index: u32,
}

impl PartId {
    /// Returns the key of the row that holds this part of the progress of `job`.
    #[must_use]
    pub fn key(self, job: &str) -> Box<str> {
        let Self {
            occurrence,
            step,
            index,
        } = self;
        format!("{PART_PREFIX}{job}/{occurrence}.{step}.{index}").into_boxed_str()
    }

    /// Returns the job and the part that `key` names; `None` for other keys.
    #[must_use]
    pub fn parse(key: &str) -> Option<(JobId, Self)> {
        let (job, part) = key.strip_prefix(PART_PREFIX)?.rsplit_once('/')?;
        let mut numbers = part.split('.').map(|number| number.parse().ok());
        let mut number = || numbers.next().flatten();
        let id = Self {
            occurrence: number()?,
            step: number()?,
            index: number()?,
        };
        numbers.next().is_none().then(|| (job.into(), id))
    }
}

impl StepSpec {
    /// Returns the number of tasks in each part of the progress of the step; the last part may have fewer.
    pub(crate) fn tasks_per_part(&self) -> u32 {
        if self.is_gang {
            MEMBERS_PER_PART
        } else {
            TASKS_PER_PART
        }
    }

    /// Returns the number of parts of the progress of the step.
    pub(crate) fn part_count(&self) -> u32 {
        self.tasks.div_ceil(self.tasks_per_part())
    }

    /// Returns the tasks of a part.
    pub(crate) fn tasks_of_part(&self, index: u32) -> Range<TaskIndex> {
        let start = index * self.tasks_per_part();
        start..(start + self.tasks_per_part()).min(self.tasks)
    }
}

impl JobSpec {
    /// Returns whether the parts of the progress have rows of their own, instead of sharing that of the summary.
    #[must_use]
    pub fn has_part_rows(&self) -> bool {
        let tasks = self
            .steps
            .iter()
            .map(|step| u64::from(step.tasks))
            .sum::<u64>();
        let open = u64::from(self.occurrences().min(MAX_OPEN_OCCURRENCES));
        tasks.saturating_mul(open) > u64::from(MAX_INLINE_TASKS)
    }

    /// Returns the parts that hold the progress of a unit.
    pub(crate) fn parts_of_unit(&self, unit: &UnitId) -> impl Iterator<Item = PartId> + use<> {
        let step = self.step(unit.step);
        let indices = match (unit.task, step) {
            (Some(task), _) => {
                let index = task / TASKS_PER_PART;
                index..index + 1
            }
            (None, Some(step)) => 0..step.part_count(),
            (None, None) => 0..0,
        };
        let (occurrence, step) = (unit.occurrence, unit.step);
        indices.map(move |index| PartId {
            occurrence,
            step,
            index,
        })
    }
}
