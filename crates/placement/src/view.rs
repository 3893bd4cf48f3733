//! What a decision looks at, and what it says.

use std::time::Duration;

use crate::profile::STOPPING;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::JobId;
use nutmegwalk_base::RackId;
use nutmegwalk_base::ServiceId;
use nutmegwalk_workload::Occurrence;
use nutmegwalk_workload::Priority;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::Run;
use nutmegwalk_workload::StepIndex;
use nutmegwalk_workload::TaskIndex;
use nutmegwalk_workload::UnitId;

/// A worker at the moment of the decision. Workers are named by their position in [`Snapshot::workers`].
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// Service whose tasks it runs.
    pub service: ServiceId,
    /// Data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Rack that it stands in.
    pub rack: Option<RackId>,
    /// Its labels.
    pub labels: Vec<Box<str>>,
    /// What it has.
    pub capacity: Resources,
    /// What is taken by runs that are there or may be there.
    pub allocated: Resources,
    /// Whether it takes new tasks.
    pub accepts_tasks: bool,
    /// How many times as long as on a sound worker tasks take here; 1 for a sound one.
    pub slowdown_factor: f64,
    /// Time until it leaves, if it has said so.
    pub leaves_in: Option<Duration>,
}

impl WorkerView {
    /// Returns what is not taken.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.capacity.minus(self.allocated)
    }
}

/// Tasks of one step that wait for a place.
#[derive(Clone, Debug)]
pub struct WaitingStep {
    /// The job.
    pub job: JobId,
    /// The recurrence.
    pub occurrence: Occurrence,
    /// The step.
    pub step: StepIndex,
    /// The tasks that wait; all of them for a gang.
    pub tasks: Vec<TaskIndex>,
    /// Whether the tasks start together or not at all.
    pub is_gang: bool,
    /// Service whose workers may run them.
    pub service: ServiceId,
    /// What one task takes.
    pub demand: Resources,
    /// Urgency; 0 comes first.
    pub priority: Priority,
    /// Whether the job is covered by its customer's guarantee.
    pub is_guaranteed: bool,
    /// Whether the tasks are much slower when they are spread over racks.
    pub is_rack_sensitive: bool,
    /// Rack on which the tasks are not slowed down by the way to their data.
    pub data_rack: Option<RackId>,
    /// Label that the worker must have.
    pub required_label: Option<Box<str>>,
    /// Largest number of tasks of the step on one worker.
    pub max_tasks_per_worker: Option<u32>,
    /// Workers of the tasks of the step that are started already, with their number.
    pub step_tasks: Vec<(usize, u32)>,
    /// Workers that must not be used.
    pub excluded: Vec<usize>,
    /// The only workers that may be used, if the queue's policy restricts them.
    pub allowed: Option<Vec<usize>>,
    /// Time that a task is expected to take on a sound worker.
    pub run_time: Duration,
    /// Time for which the first of the tasks has been ready to start.
    pub waited: Duration,
    /// Time until the job should complete; zero when it is over.
    pub time_to_deadline: Duration,
    /// Time that the rest of the job takes after this step.
    pub successors_run_time: Duration,
    /// Time until the job is worth nothing to its submitter.
    pub time_to_expiry: Duration,
}

impl WaitingStep {
    /// Returns how long the start can wait until the job is late.
    #[must_use]
    pub fn slack(&self) -> Duration {
        self.time_to_deadline
            .saturating_sub(self.run_time + self.successors_run_time)
    }

    /// Returns the number of tasks that wait.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.tasks.len()).unwrap_or(u32::MAX)
    }
}

/// A run that is on workers or may be there.
#[derive(Clone, Debug)]
pub struct RunningUnit {
    /// The unit.
    pub unit: UnitId,
    /// Number of the run.
    pub run: Run,
    /// Worker and size of each task.
    pub allocations: Vec<(usize, Resources)>,
    /// Urgency; 0 comes first.
    pub priority: Priority,
    /// Whether the job is covered by its customer's guarantee.
    pub is_guaranteed: bool,
    /// Whether it is being stopped or is expected to be gone, so that its room is about to be free.
    pub is_ending: bool,
    /// Whether it may be stopped for another unit.
    pub is_preemptible: bool,
    /// Whether its progress survives a stop.
    pub has_checkpoints: bool,
    /// Work that would be lost, in core-seconds; an accelerator counts as several cores.
    pub loss_core_s: f64,
    /// Time until it is expected to end.
    pub remaining: Duration,
    /// How long its job can be delayed until it is late.
    pub slack: Duration,
}

impl RunningUnit {
    /// Returns the time after which its room is expected to be free.
    #[must_use]
    pub fn ends_in(&self) -> Duration {
        if self.is_ending {
            STOPPING
        } else {
            self.remaining
        }
    }
}

/// Everything that a decision looks at.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Workers.
    pub workers: Vec<WorkerView>,
    /// Steps with tasks that wait for a place.
    pub waiting: Vec<WaitingStep>,
    /// Runs that are on workers or may be there.
    pub running: Vec<RunningUnit>,
    /// How many times as long rack-sensitive tasks take when they are spread.
    pub spread_factor: f64,
}

/// Tasks of a step that start now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    /// Position in [`Snapshot::waiting`].
    pub waiting: usize,
    /// Tasks with their workers; all tasks for a gang.
    pub assignments: Vec<(TaskIndex, usize)>,
}

/// A run that is stopped so that others can start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Preemption {
    /// Position in [`Snapshot::running`].
    pub running: usize,
    /// Position in [`Snapshot::waiting`] of the step that needs the room.
    pub beneficiary: usize,
}

/// Why tasks do not start now.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WaitReason {
    /// They would not fit on the workers that may run them even if these were empty.
    NeverFits,
    /// They have a place later, when running tasks have ended or were stopped.
    Planned,
    /// No place was looked for, since many more urgent steps wait.
    Behind,
}

impl WaitReason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NeverFits => "never_fits",
            Self::Planned => "planned",
            Self::Behind => "behind",
        }
    }
}

/// Tasks of a step that do not start now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// Position in [`Snapshot::waiting`].
    pub waiting: usize,
    /// Number of tasks.
    pub tasks: u32,
    /// Why they wait.
    pub reason: WaitReason,
    /// Time until they are expected to start, if a place was found.
    pub starts_in: Option<Duration>,
}

/// What is to be done.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Tasks that start now.
    pub starts: Vec<Start>,
    /// Runs that give way.
    pub preemptions: Vec<Preemption>,
    /// Runs that are stopped because a worker of theirs leaves; positions in [`Snapshot::running`].
    pub moves: Vec<usize>,
    /// Tasks that do not start now.
    pub waits: Vec<Waiting>,
}
