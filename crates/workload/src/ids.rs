//! Identifiers of tasks and units.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use nutmegwalk_base::JobId;

/// Index of an occurrence of a job, from 0. A job that does not recur has only occurrence 0.
pub type Occurrence = u32;
/// Index of a step within its job, from 0.
pub type StepIndex = u32;
/// Index of a task within its step, from 0.
pub type TaskIndex = u32;
/// Number of a run of a unit, from 1. Later runs have higher numbers.
pub type Run = u32;

/// Id of a unit, which is placed, started and ended as a whole: all tasks of a gang, or a single task.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UnitId {
    /// The job.
    pub job: JobId,
    /// Index of the occurrence.
    pub occurrence: Occurrence,
    /// Index of the step.
    pub step: StepIndex,
    /// Index of the task, or `None` for all tasks of a gang.
    pub task: Option<TaskIndex>,
}

impl UnitId {
    /// Returns the id of a task of this unit; `index` is the index of the task within the step.
    #[must_use]
    pub fn task_id(&self, index: TaskIndex) -> TaskId {
        debug_assert!(self.task.is_none_or(|task| task == index));
        TaskId {
            job: self.job.clone(),
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }
}

impl fmt::Display for UnitId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}", self.job, self.occurrence, self.step)?;
        match self.task {
            Some(task) => write!(formatter, ".{task}"),
            None => formatter.write_str(".*"),
        }
    }
}

/// Id of a task of one occurrence of a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Index of the occurrence.
    pub occurrence: Occurrence,
    /// Index of the step.
    pub step: StepIndex,
    /// Index of the task within the step.
    pub index: TaskIndex,
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{}.{}.{}",
            self.job, self.occurrence, self.step, self.index
        )
    }
}

impl std::str::FromStr for TaskId {
    type Err = ParseTaskIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next()?.parse::<u32>().ok();
        let (index, step, occurrence) = (number(), number(), number());
        let job = parts.next();
        match (job, occurrence, step, index) {
            (Some(job), Some(occurrence), Some(step), Some(index)) if !job.is_empty() => Ok(Self {
                job: job.into(),
                occurrence,
                step,
                index,
            }),
            _ => Err(ParseTaskIdError),
        }
    }
}

/// Error of parsing a [`TaskId`]: the text is not `<job>.<occurrence>.<step>.<index>`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseTaskIdError;

impl fmt::Display for ParseTaskIdError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("not a task id: expected <job>.<occurrence>.<step>.<index>")
    }
}
