//! What a customer submits.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::StepIndex;
use nutmegwalk_base::RackId;

/// Tasks that one job may have over all its steps; a longer list would not fit into one row of the store.
pub const MAX_SPEC_TASKS: u32 = 8_192;
/// Steps that one job may have.
const MAX_STEPS: usize = 256;

/// An amount of what a worker has: the size of a task, or the capacity of a worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Resources {
    /// Accelerators.
    #[serde(default, skip_serializing_if = "is_default")]
    pub accelerators: u64,
    /// Memory in megabytes.
    #[serde(default, skip_serializing_if = "is_default")]
    pub memory_mb: u64,
    /// Thousandths of a processor core.
    #[serde(default, skip_serializing_if = "is_default")]
    pub milli_cores: u64,
}

impl Resources {
    /// Creates an amount.
    #[must_use]
    pub fn new(milli_cores: u64, memory_mb: u64, accelerators: u64) -> Self {
        Self {
            accelerators,
            memory_mb,
            milli_cores,
        }
    }

    /// Returns whether this amount fits into `room`.
    #[must_use]
    pub fn fits(self, room: Self) -> bool {
        self.accelerators <= room.accelerators
            && self.memory_mb <= room.memory_mb
            && self.milli_cores <= room.milli_cores
    }

    /// Returns the sum, limited to the largest numbers.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            milli_cores: self.milli_cores.saturating_add(other.milli_cores),
        }
    }

    /// Returns the difference, each at least zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            milli_cores: self.milli_cores.saturating_sub(other.milli_cores),
        }
    }

    /// Returns `count` times the amount, limited to the largest numbers.
    #[must_use]
    pub fn times(self, count: u64) -> Self {
        Self {
            accelerators: self.accelerators.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            milli_cores: self.milli_cores.saturating_mul(count),
        }
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.min(other.accelerators),
            memory_mb: self.memory_mb.min(other.memory_mb),
            milli_cores: self.milli_cores.min(other.milli_cores),
        }
    }

    /// Returns how many tasks of this size fit into `room`.
    #[must_use]
    pub fn count_fitting_in(self, room: Self) -> u64 {
        let by = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        by(room.accelerators, self.accelerators)
            .min(by(room.memory_mb, self.memory_mb))
            .min(by(room.milli_cores, self.milli_cores))
    }
}

/// A job as submitted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// Text that is passed to every task.
    pub payload: Box<str>,
    /// Steps; a step starts when its predecessors are done.
    pub steps: Vec<StepSpec>,
    /// When and how often the steps run, if not once and at once.
    #[serde(default, skip_serializing_if = "is_default")]
    pub repeat: Option<Repeat>,
}

/// Recurrence of a job: occurrence `k` is due at `first_due_unix_ms + k * interval_ms`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Repeat {
    /// Time at which occurrence 0 is due, in milliseconds since 1970.
    pub first_due_unix_ms: u64,
    /// Time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub count: u32,
}

impl Repeat {
    /// Returns the time at which `occurrence` is due, in milliseconds since 1970.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        let offset_ms = self.interval_ms.saturating_mul(u64::from(occurrence));
        self.first_due_unix_ms.saturating_add(offset_ms)
    }
}

/// One step of a job: a number of equal tasks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Size of a task.
    pub demand: Resources,
    /// The submitter's rough estimate of a task's run time, in milliseconds; often far off.
    #[serde(default, skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Steps whose tasks must all be done before this step starts.
    #[serde(default, skip_serializing_if = "is_default")]
    pub after: Vec<StepIndex>,
    /// Whether the tasks work only together.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_gang: bool,
    /// Whether the tasks are much slower when they are spread over racks.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_rack_sensitive: bool,
    /// Label that the worker must have.
    #[serde(default, skip_serializing_if = "is_default")]
    pub required_label: Option<Box<str>>,
    /// Rack that holds the data; the tasks are much slower on others.
    #[serde(default, skip_serializing_if = "is_default")]
    pub data_rack: Option<RackId>,
    /// Largest number of tasks of one occurrence of the step on one worker.
    #[serde(default, skip_serializing_if = "is_default")]
    pub max_tasks_per_worker: Option<u32>,
    /// Whether copies of a task may run in parallel.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_lasting: bool,
    /// Whether the tasks write checkpoints.
    #[serde(default, skip_serializing_if = "is_default")]
    pub has_checkpoints: bool,
    /// Whether the tasks take only processor time that other tasks leave unused.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_filler: bool,
    /// Program that the tasks run; tasks of the same program behave alike.
    #[serde(default, skip_serializing_if = "is_default")]
    pub image: Option<Box<str>>,
    /// Bound of the tail latency with which lasting tasks serve their own users, in milliseconds.
    #[serde(default, skip_serializing_if = "is_default")]
    pub latency_target_ms: Option<u64>,
    /// Number of lasting tasks that may be unavailable at once because of this system.
    #[serde(default, skip_serializing_if = "is_default")]
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Returns the number of units: one for a gang, else one a task.
    #[must_use]
    pub fn unit_count(&self) -> u32 {
        if self.is_gang { 1 } else { self.tasks }
    }

    /// Returns the number of tasks in each unit.
    #[must_use]
    pub fn tasks_per_unit(&self) -> u32 {
        if self.is_gang { self.tasks } else { 1 }
    }

    /// Returns the number of tasks, the accelerators and cores of each, the estimate, and what is special.
    fn summary(&self) -> String {
        let mut text = format!(
            "{}x{}a/{}c {}ms",
            self.tasks,
            self.demand.accelerators,
            self.demand.milli_cores / 1000,
            self.estimate_ms
        );
        let flags = [
            (self.is_gang, " gang"),
            (self.is_rack_sensitive, " rack"),
            (self.data_rack.is_some(), " data"),
            (self.required_label.is_some(), " label"),
            (self.max_tasks_per_worker.is_some(), " apart"),
            (self.is_speculative, " speculative"),
            (self.is_lasting, " lasting"),
            (self.has_checkpoints, " checkpoints"),
            (self.is_filler, " filler"),
        ];
        for (is_set, word) in flags {
            if is_set {
                text.push_str(word);
            }
        }
        text
    }

    /// Returns what counts against the room of a worker for one task.
    #[must_use]
    pub fn booked(&self) -> Resources {
        let milli_cores = if self.is_filler {
            0
        } else {
            self.demand.milli_cores
        };
        Resources {
            milli_cores,
            ..self.demand
        }
    }
}

/// Why a submitted job is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SpecProblem {
    /// There are no steps or too many.
    StepCount(usize),
    /// A step has no task.
    EmptyStep(StepIndex),
    /// A step waits for a step that does not come before it.
    Predecessor {
        /// The step.
        step: StepIndex,
        /// The step that it waits for.
        after: StepIndex,
    },
    /// The job has too many tasks.
    TaskCount(u64),
    /// The job recurs without end or not at all.
    RepeatCount,
}

impl fmt::Display for SpecProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StepCount(count) => {
                write!(formatter, "{count} steps; a job has 1 to {MAX_STEPS}")
            }
            Self::EmptyStep(step) => write!(formatter, "step {step} has no task"),
            Self::Predecessor { step, after } => write!(
                formatter,
                "step {step} waits for step {after}, which does not come before it"
            ),
            Self::TaskCount(count) => {
                write!(
                    formatter,
                    "{count} tasks; a job has at most {MAX_SPEC_TASKS}"
                )
            }
            Self::RepeatCount => formatter.write_str("a job that recurs has at least 1 occurrence"),
        }
    }
}

impl JobSpec {
    /// Returns the number of occurrences.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count)
    }

    /// Returns whether a step runs until the job is cancelled.
    #[must_use]
    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|step| step.is_lasting)
    }

    /// Returns a step.
    #[must_use]
    pub fn step(&self, index: StepIndex) -> Option<&StepSpec> {
        self.steps.get(usize::try_from(index).ok()?)
    }

    /// Returns the steps in a few words for logs, such as `3x8a/7c 4400ms gang rack`.
    #[must_use]
    pub fn summary(&self) -> String {
        let steps: Vec<String> = self.steps.iter().map(StepSpec::summary).collect();
        steps.join("; ")
    }

    /// Returns what is wrong with the job, if anything.
    ///
    /// # Errors
    /// The first problem found.
    pub fn check(&self) -> Result<(), SpecProblem> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(SpecProblem::StepCount(self.steps.len()));
        }
        let mut tasks = 0;
        for (step, spec) in (0..).zip(&self.steps) {
            if spec.tasks == 0 {
                return Err(SpecProblem::EmptyStep(step));
            }
            if let Some(&after) = spec.after.iter().find(|after| **after >= step) {
                return Err(SpecProblem::Predecessor { step, after });
            }
            tasks += u64::from(spec.tasks);
        }
        if tasks > u64::from(MAX_SPEC_TASKS) {
            return Err(SpecProblem::TaskCount(tasks));
        }
        if self.repeat.is_some_and(|repeat| repeat.count == 0) {
            return Err(SpecProblem::RepeatCount);
        }
        Ok(())
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
