//! Input and output of a scheduling decision.

use std::time::Duration;

use crate::Isolation;
use crate::TaskList;
use crate::profile::STOP_TIME;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::JobId;
use nutmegwalk_base::RackId;
use nutmegwalk_base::ServiceId;
use nutmegwalk_workload::CrashRisk;
use nutmegwalk_workload::Occurrence;
use nutmegwalk_workload::Priority;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::Run;
use nutmegwalk_workload::StepIndex;
use nutmegwalk_workload::TaskIndex;
use nutmegwalk_workload::UnitId;

/// State of a worker at the time of the decision. Workers are identified by their position in
/// [`Snapshot::workers`].
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// Service whose tasks the worker runs.
    pub service: ServiceId,
    /// Data centre of the worker.
    pub data_centre: DataCentreId,
    /// Rack of the worker, if known.
    pub rack: Option<RackId>,
    /// Labels that a step can require.
    pub labels: Vec<Box<str>>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Resources allocated to runs that are or may be on the worker.
    pub allocated: Resources,
    /// Whether the worker accepts new tasks.
    pub accepts_tasks: bool,
    /// Whether runs fail on the worker, so that it gets only tasks that are covered by a guarantee and have no other place.
    pub is_quarantined: bool,
    /// Run time of tasks on this worker relative to a healthy worker; 1 for a healthy one.
    pub slowdown_factor: f64,
    /// Time until the worker leaves, if it has announced that.
    pub leaves_in: Option<Duration>,
    /// Highest risk among the runs on the worker that one of them crashes it.
    pub crash_risk: CrashRisk,
    /// Time for which the worker has been up.
    pub up_for: Duration,
    /// Whether the worker has just started a run, or is about to.
    pub is_starting: bool,
    /// Whether the worker is about to start a suspect, or has just started one.
    pub has_trial: bool,
}

impl WorkerView {
    /// Returns the resources that are not allocated.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.capacity.minus(self.allocated)
    }
}

/// Waiting tasks of one step.
#[derive(Clone, Debug)]
pub struct WaitingStep {
    /// Job of the step.
    pub job: JobId,
    /// Occurrence of the job; 0 if the job does not repeat.
    pub occurrence: Occurrence,
    /// Index of the step in the job.
    pub step: StepIndex,
    /// The waiting tasks; all tasks of the step for a gang.
    pub tasks: TaskList,
    /// Whether the tasks must start together or not at all.
    pub is_gang: bool,
    /// Service whose workers may run them.
    pub service: ServiceId,
    /// Resources of one task.
    pub demand: Resources,
    /// Priority; 0 is the most urgent.
    pub priority: Priority,
    /// Whether the job is covered by its customer's guarantee.
    pub is_guaranteed: bool,
    /// Whether the tasks run slower by [`Snapshot::spread_factor`] when they are spread over racks.
    pub is_rack_sensitive: bool,
    /// Rack of the data of the tasks; elsewhere they are slowed down by the distance to it.
    pub data_rack: Option<RackId>,
    /// Label that the worker must have.
    pub required_label: Option<Box<str>>,
    /// Largest number of tasks of the step on one worker.
    pub max_tasks_per_worker: Option<u32>,
    /// Workers with tasks of the step that have been started already, and the number of these tasks.
    pub started_tasks: Vec<(usize, u32)>,
    /// Workers where tasks of the step have failed or stalled. They are used only if no other worker will have room.
    pub excluded: Vec<usize>,
    /// The only workers that may be used, if the queue's policy restricts them.
    pub allowed: Option<Vec<usize>>,
    /// Risk that the tasks crash the workers that start them.
    pub crash_risk: CrashRisk,
    /// Where the tasks may be placed with regard to other runs.
    pub isolation: Isolation,
    /// Time for which a worker has to be up for a trial of the tasks.
    pub settling_time: Duration,
    /// Expected run time of a task on a healthy worker.
    pub run_time: Duration,
    /// Time since the first of the tasks became ready to start.
    pub waited: Duration,
    /// Time until the deadline of the job; zero once it has passed.
    pub time_to_deadline: Duration,
    /// Expected run time of the longest chain of steps after this one.
    pub successors_run_time: Duration,
    /// Time until the result of the job is of no more use to its submitter.
    pub time_to_expiry: Duration,
}

impl WaitingStep {
    /// Returns the slack: how long the start can be delayed before the job becomes late.
    #[must_use]
    pub fn slack(&self) -> Duration {
        self.time_to_deadline
            .saturating_sub(self.run_time + self.successors_run_time)
    }

    /// Returns the number of waiting tasks.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.tasks.len()
    }
}

/// A run of a unit that is or may be on workers.
#[derive(Clone, Debug)]
pub struct RunningUnit {
    /// Unit of the run.
    pub unit: UnitId,
    /// Number of the run of the unit.
    pub run: Run,
    /// Worker and resources of each task.
    pub allocations: Vec<(usize, Resources)>,
    /// Priority; 0 is the most urgent.
    pub priority: Priority,
    /// Whether the job is covered by its customer's guarantee.
    pub is_guaranteed: bool,
    /// Whether the run is done or being stopped, so that its resources are about to be released.
    pub is_ending: bool,
    /// Whether the run may be stopped for another unit.
    pub is_preemptible: bool,
    /// Whether the progress of the run survives a stop.
    pub has_checkpoints: bool,
    /// Work that a stop would lose, in core-seconds; an accelerator counts as several cores.
    pub loss_core_s: f64,
    /// Expected time until the run ends.
    pub remaining: Duration,
    /// Time by which the job can be delayed before it becomes late.
    pub slack: Duration,
}

impl RunningUnit {
    /// Returns the time after which the resources of the run are expected to be released.
    #[must_use]
    pub fn ends_in(&self) -> Duration {
        if self.is_ending {
            STOP_TIME
        } else {
            self.remaining
        }
    }
}

/// Input of a decision: the workers, the waiting steps and the runs at one time.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Workers of the domain.
    pub workers: Vec<WorkerView>,
    /// Steps with waiting tasks.
    pub waiting: Vec<WaitingStep>,
    /// Runs that are or may be on workers.
    pub running: Vec<RunningUnit>,
    /// Factor on the run time of rack-sensitive tasks that are spread over racks.
    pub spread_factor: f64,
}

/// Tasks of a step that start now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    /// Position of the step in [`Snapshot::waiting`].
    pub step: usize,
    /// Tasks and the positions of their workers in [`Snapshot::workers`]; all tasks for a gang.
    pub assignments: Vec<(TaskIndex, usize)>,
}

/// A run that is stopped so that others can start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Preemption {
    /// Position of the stopped run in [`Snapshot::running`].
    pub victim: usize,
    /// Position in [`Snapshot::waiting`] of the step that gets the resources.
    pub beneficiary: usize,
}

/// Reason why tasks do not start now.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WaitReason {
    /// The tasks would not fit on the workers that may run them even if these were empty.
    NeverFits,
    /// The tasks wait for running tasks to end or to be stopped.
    Planned,
    /// No future placement was computed, since too many more urgent steps wait.
    NotEvaluated,
    /// The tasks may crash their workers, and no worker is available on which that does little harm.
    Isolated,
}

impl WaitReason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NeverFits => "never_fits",
            Self::Planned => "planned",
            Self::NotEvaluated => "behind",
            Self::Isolated => "isolated",
        }
    }
}

/// Tasks of a step that do not start now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitingTasks {
    /// Position of the step in [`Snapshot::waiting`].
    pub step: usize,
    /// Number of waiting tasks.
    pub tasks: u32,
    /// Reason why they wait.
    pub reason: WaitReason,
    /// Expected time until the last of them starts; `None` if not all of them have a placement.
    pub starts_in: Option<Duration>,
}

/// Output of a decision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Tasks that start now.
    pub starts: Vec<Start>,
    /// Runs that are preempted.
    pub preemptions: Vec<Preemption>,
    /// Positions in [`Snapshot::running`] of the runs that are stopped because one of their workers leaves.
    pub moves: Vec<usize>,
    /// Tasks that do not start now.
    pub waits: Vec<WaitingTasks>,
}
