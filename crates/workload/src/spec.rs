//! Jobs as customers submit them.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::StepIndex;
use nutmegwalk_base::RackId;

/// Maximum number of tasks of a job over all its steps. A gang of that size starts with few transactions, and the owner keeps
/// about 1 KB for each task that runs.
pub const MAX_SPEC_TASKS: u32 = 8_192;
/// Maximum number of steps of a job.
const MAX_STEPS: usize = 256;

/// Amount of resources: the demand of a task or the capacity of a worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Resources {
    /// Number of accelerators.
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
    /// Creates an amount of resources; memory is in megabytes.
    #[must_use]
    pub fn new(milli_cores: u64, memory_mb: u64, accelerators: u64) -> Self {
        Self {
            accelerators,
            memory_mb,
            milli_cores,
        }
    }

    /// Returns whether this amount fits into `capacity`.
    #[must_use]
    pub fn fits(self, capacity: Self) -> bool {
        self.accelerators <= capacity.accelerators
            && self.memory_mb <= capacity.memory_mb
            && self.milli_cores <= capacity.milli_cores
    }

    /// Returns the sum of each resource, saturating at the numeric limits.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            milli_cores: self.milli_cores.saturating_add(other.milli_cores),
        }
    }

    /// Returns the difference of each resource, saturating at zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            milli_cores: self.milli_cores.saturating_sub(other.milli_cores),
        }
    }

    /// Returns `count` times each resource, saturating at the numeric limits.
    #[must_use]
    pub fn times(self, count: u64) -> Self {
        Self {
            accelerators: self.accelerators.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            milli_cores: self.milli_cores.saturating_mul(count),
        }
    }

    /// Returns the minimum of each resource.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.min(other.accelerators),
            memory_mb: self.memory_mb.min(other.memory_mb),
            milli_cores: self.milli_cores.min(other.milli_cores),
        }
    }

    /// Returns how many tasks with this demand fit into `capacity`; `u64::MAX` for a task without demand.
    #[must_use]
    pub fn count_fitting_in(self, capacity: Self) -> u64 {
        let quotient =
            |available: u64, required: u64| available.checked_div(required).unwrap_or(u64::MAX);
        quotient(capacity.accelerators, self.accelerators)
            .min(quotient(capacity.memory_mb, self.memory_mb))
            .min(quotient(capacity.milli_cores, self.milli_cores))
    }
}

/// A job as submitted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// Text that is passed to each task.
    pub payload: Box<str>,
    /// Steps. A step starts when its predecessors are done.
    pub steps: Vec<StepSpec>,
    /// When and how often the steps run; `None` for once and immediately.
    #[serde(default, skip_serializing_if = "is_default")]
    pub repeat: Option<Repeat>,
}

/// Recurrence of a job: occurrence `k` is due at `first_due_unix_ms + k * interval_ms`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Repeat {
    /// Time at which occurrence 0 is due, in milliseconds since the Unix epoch.
    pub first_due_unix_ms: u64,
    /// Time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub count: u32,
}

impl Repeat {
    /// Returns the time at which `occurrence` is due, in milliseconds since the Unix epoch.
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
    /// Resources that each task needs.
    pub demand: Resources,
    /// The submitter's rough estimate of the run time of a task, in milliseconds. Often very inaccurate.
    #[serde(default, skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Steps whose tasks must all be done before this step starts.
    #[serde(default, skip_serializing_if = "is_default")]
    pub after: Vec<StepIndex>,
    /// Whether the tasks form a gang: they can work only while all of them run.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_gang: bool,
    /// Whether the tasks are much slower when they are spread over racks.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_rack_sensitive: bool,
    /// Label that a worker needs to run the tasks.
    #[serde(default, skip_serializing_if = "is_default")]
    pub required_label: Option<Box<str>>,
    /// Rack that holds the data of the tasks, which are much slower in other racks.
    #[serde(default, skip_serializing_if = "is_default")]
    pub data_rack: Option<RackId>,
    /// Maximum number of tasks of one occurrence of the step on one worker.
    #[serde(default, skip_serializing_if = "is_default")]
    pub max_tasks_per_worker: Option<u32>,
    /// Whether several runs of a task may execute at the same time.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_lasting: bool,
    /// Whether the tasks write checkpoints.
    #[serde(default, skip_serializing_if = "is_default")]
    pub has_checkpoints: bool,
    /// Whether the tasks use only processor time that other tasks leave unused.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_filler: bool,
    /// Program that the tasks run; tasks of the same program behave alike.
    #[serde(default, skip_serializing_if = "is_default")]
    pub image: Option<Box<str>>,
    /// Upper bound of the tail latency with which the tasks of a lasting step serve their own users, in milliseconds.
    #[serde(default, skip_serializing_if = "is_default")]
    pub latency_target_ms: Option<u64>,
    /// Maximum number of tasks of a lasting step that this system may make unavailable at the same time.
    #[serde(default, skip_serializing_if = "is_default")]
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Returns the number of units: one for a gang, otherwise one per task.
    #[must_use]
    pub fn unit_count(&self) -> u32 {
        if self.is_gang { 1 } else { self.tasks }
    }

    /// Returns the number of tasks in each unit.
    #[must_use]
    pub fn tasks_per_unit(&self) -> u32 {
        if self.is_gang { self.tasks } else { 1 }
    }

    /// Returns the number of tasks, their accelerators and cores, the estimate, and the flags that are set.
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

    /// Returns the resources that one task allocates on a worker. A filler task allocates no cores.
    #[must_use]
    pub fn allocated_resources(&self) -> Resources {
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

/// Reason for rejecting a submitted job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SpecError {
    /// The job has no steps or too many.
    StepCount(usize),
    /// A step has no tasks.
    EmptyStep(StepIndex),
    /// A step depends on a step that does not precede it.
    Predecessor {
        /// The step.
        step: StepIndex,
        /// The step that it depends on.
        after: StepIndex,
    },
    /// The job has too many tasks.
    TaskCount(u64),
    /// The job recurs, but with zero occurrences.
    RepeatCount,
}

impl fmt::Display for SpecError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StepCount(count) => {
                write!(formatter, "{count} steps; a job needs 1 to {MAX_STEPS}")
            }
            Self::EmptyStep(step) => write!(formatter, "step {step} has no tasks"),
            Self::Predecessor { step, after } => write!(
                formatter,
                "step {step} depends on step {after}, which does not precede it"
            ),
            Self::TaskCount(count) => {
                write!(
                    formatter,
                    "{count} tasks; a job can have at most {MAX_SPEC_TASKS}"
                )
            }
            Self::RepeatCount => formatter.write_str("a recurring job needs at least 1 occurrence"),
        }
    }
}

impl JobSpec {
    /// Returns the number of occurrences; 1 for a job that does not recur.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count)
    }

    /// Returns whether any step runs until the job is cancelled.
    #[must_use]
    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|step| step.is_lasting)
    }

    /// Returns a step by its index; `None` if the job has no such step.
    #[must_use]
    pub fn step(&self, index: StepIndex) -> Option<&StepSpec> {
        self.steps.get(usize::try_from(index).ok()?)
    }

    /// Returns a short description of the steps for logs, such as `3x8a/7c 4400ms gang rack`.
    #[must_use]
    pub fn summary(&self) -> String {
        let steps: Vec<String> = self.steps.iter().map(StepSpec::summary).collect();
        steps.join("; ")
    }

    /// Checks that the job is valid.
    ///
    /// # Errors
    /// The first problem found.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(SpecError::StepCount(self.steps.len()));
        }
        let mut tasks = 0;
        for (step, spec) in (0..).zip(&self.steps) {
            if spec.tasks == 0 {
                return Err(SpecError::EmptyStep(step));
            }
            if let Some(&after) = spec.after.iter().find(|after| **after >= step) {
                return Err(SpecError::Predecessor { step, after });
            }
            tasks += u64::from(spec.tasks);
        }
        if tasks > u64::from(MAX_SPEC_TASKS) {
            return Err(SpecError::TaskCount(tasks));
        }
        if self.repeat.is_some_and(|repeat| repeat.count == 0) {
            return Err(SpecError::RepeatCount);
        }
        Ok(())
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
