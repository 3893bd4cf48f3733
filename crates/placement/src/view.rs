//! What a decision looks at, and what it says.

use std::time::Duration;

use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::RackId;
use nutmegwalk_base::ServiceId;
use nutmegwalk_workload::Priority;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::Run;
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
    pub booked: Resources,
    /// Whether it takes new tasks.
    pub is_open: bool,
    /// How many times as long as on a sound worker tasks take here; 1 for a sound one.
    pub slowness: f64,
    /// Time until it leaves, if it has said so.
    pub leaves_in: Option<Duration>,
}

impl WorkerView {
    /// Returns what is not taken.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.capacity.minus(self.booked)
    }
}

/// A unit that waits for a place.
#[derive(Clone, Debug)]
pub struct WaitingUnit {
    /// The unit.
    pub unit: UnitId,
    /// Service whose workers may run it.
    pub service: ServiceId,
    /// Number of its tasks.
    pub tasks: u32,
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
    /// Tasks of the step that are already on workers.
    pub step_tasks: Vec<(usize, u32)>,
    /// Workers that must not be used.
    pub excluded: Vec<usize>,
    /// The only workers that may be used, if the queue's policy restricts them.
    pub allowed: Option<Vec<usize>>,
    /// Time that the run is expected to take on a sound worker.
    pub run_time: Duration,
    /// Time for which the unit has been ready to start.
    pub waited: Duration,
    /// Time until the job should complete; zero when it is over.
    pub due_in: Duration,
    /// Time by which the rest of the job lasts longer than this unit.
    pub after_it: Duration,
    /// Time until the job is worth nothing to its submitter.
    pub worthless_in: Duration,
}

impl WaitingUnit {
    /// Returns how long the start can wait until the job is late.
    #[must_use]
    pub fn slack(&self) -> Duration {
        self.due_in.saturating_sub(self.run_time + self.after_it)
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
    pub seats: Vec<(usize, Resources)>,
    /// Urgency; 0 comes first.
    pub priority: Priority,
    /// Whether the job is covered by its customer's guarantee.
    pub is_guaranteed: bool,
    /// Whether it is being stopped or is expected to be gone, so that its room is about to be free.
    pub is_ending: bool,
    /// Whether it may be stopped for another unit.
    pub may_give_way: bool,
    /// Work that would be lost, in core-seconds; an accelerator counts as several cores.
    pub loss_core_s: f64,
    /// Time until it is expected to end.
    pub remaining: Duration,
    /// How long its job can be delayed until it is late.
    pub slack: Duration,
}

/// Everything that a decision looks at.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Workers.
    pub workers: Vec<WorkerView>,
    /// Units that wait for a place.
    pub waiting: Vec<WaitingUnit>,
    /// Runs that are on workers or may be there.
    pub running: Vec<RunningUnit>,
    /// How many times as long rack-sensitive tasks take when they are spread.
    pub spread_factor: f64,
}

/// A unit that starts now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    /// Position in [`Snapshot::waiting`].
    pub waiting: usize,
    /// Worker of each task.
    pub workers: Vec<usize>,
}

/// A run that is stopped so that another unit can start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Preemption {
    /// Position in [`Snapshot::running`].
    pub running: usize,
    /// Position in [`Snapshot::waiting`] of the unit that needs the room.
    pub beneficiary: usize,
}

/// Why a unit does not start now.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WaitReason {
    /// It would not fit on the workers that may run it even if they were empty.
    NeverFits,
    /// It has a place, and waits until running tasks have ended or were stopped.
    HasHold,
    /// There is no room.
    NoRoom,
}

impl WaitReason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NeverFits => "never_fits",
            Self::HasHold => "has_hold",
            Self::NoRoom => "no_room",
        }
    }
}

/// A unit that does not start now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// Position in [`Snapshot::waiting`].
    pub waiting: usize,
    /// Why it waits.
    pub reason: WaitReason,
}

/// What is to be done.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Units that start now.
    pub starts: Vec<Start>,
    /// Runs that give way.
    pub preemptions: Vec<Preemption>,
    /// Units that do not start now.
    pub waits: Vec<Waiting>,
}
