//! Types of the planner's public interface.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use nutmegwalk_base::CustomerId;
use nutmegwalk_base::Error;
use nutmegwalk_base::GuaranteeId;
use nutmegwalk_base::JobId;
use nutmegwalk_base::RackId;
use nutmegwalk_base::ServiceId;
use nutmegwalk_base::WorkerId;

/// Resources of a worker, of a task, or of one part of a guarantee.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Shape {
    /// Number of accelerators.
    pub accelerators: u32,
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in megabytes.
    pub memory_mb: u64,
}

impl Shape {
    /// Creates a shape from cores, memory in megabytes, and accelerators.
    #[must_use]
    pub fn new(cores: u32, memory_mb: u64, accelerators: u32) -> Self {
        Self {
            accelerators,
            cores,
            memory_mb,
        }
    }

    /// Returns whether all resources are zero.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }

    /// Returns whether this shape fits into `capacity`.
    #[must_use]
    pub fn fits(self, capacity: Self) -> bool {
        self.accelerators <= capacity.accelerators
            && self.cores <= capacity.cores
            && self.memory_mb <= capacity.memory_mb
    }

    /// Returns the sum of each resource, saturating at the numeric limits.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            cores: self.cores.saturating_add(other.cores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
        }
    }

    /// Returns the difference of each resource, saturating at zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            cores: self.cores.saturating_sub(other.cores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }

    /// Returns `count` times each resource, saturating at the numeric limits.
    #[must_use]
    pub fn times(self, count: u32) -> Self {
        Self {
            accelerators: self.accelerators.saturating_mul(count),
            cores: self.cores.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(u64::from(count)),
        }
    }

    /// Returns the minimum of each resource.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.min(other.accelerators),
            cores: self.cores.min(other.cores),
            memory_mb: self.memory_mb.min(other.memory_mb),
        }
    }

    /// Returns how many tasks of this shape fit into `capacity`; `u32::MAX` for a shape without resources.
    #[must_use]
    pub fn count_fitting_in(self, capacity: Self) -> u32 {
        let quotient =
            |available: u64, required: u64| available.checked_div(required).unwrap_or(u64::MAX);
        let count = quotient(capacity.accelerators.into(), self.accelerators.into())
            .min(quotient(capacity.cores.into(), self.cores.into()))
            .min(quotient(capacity.memory_mb, self.memory_mb));
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

/// Locality constraint on the members of a gang or the parts of a guarantee.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// All in one data centre, which every placement satisfies.
    #[default]
    DataCentre,
    /// All in one rack.
    Rack,
}

/// Identity and capacity of a worker in the data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerSpec {
    /// Id of the worker.
    pub id: WorkerId,
    /// Rack that the worker is in.
    pub rack: RackId,
    /// Capacity of the worker.
    pub shape: Shape,
}

/// Capacity that a customer can always reclaim: `workers` parts of equal size, each on a different worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GuaranteeSpec {
    /// Customer that holds the guarantee.
    pub customer: CustomerId,
    /// Name of the guarantee, unique within the customer.
    pub name: GuaranteeId,
    /// Number of parts.
    pub workers: u32,
    /// Size of each part.
    pub shape: Shape,
    /// Locality constraint on the parts.
    pub adjacency: Adjacency,
    /// Time within which borrowed capacity must be free again after the customer requests it.
    pub reclaim_within: Duration,
}

/// A job: a gang of equal tasks that start together. Several of them may share a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// Id of the job.
    pub id: JobId,
    /// Customer that submitted the job.
    pub customer: CustomerId,
    /// Service that the job belongs to. Run times are estimated for each customer and service.
    pub service: ServiceId,
    /// Number of tasks.
    pub tasks: u32,
    /// Size of each task.
    pub shape: Shape,
    /// Locality constraint on the tasks.
    pub adjacency: Adjacency,
    /// Guarantee that the job requests to run under, if any.
    pub guarantee: Option<GuaranteeId>,
    /// Run time that the submitter declared. Informational: scheduling does not use it.
    pub declared_run_time: Duration,
    /// Work contained in the last checkpoint, as run time.
    pub checkpoint: Duration,
    /// Time since the job was accepted; nonzero for a job that was queued elsewhere before.
    #[serde(rename = "age")]
    pub time_since_accepted: Duration,
}

impl JobSpec {
    /// Creates a job without guarantee, age or checkpoint, and without locality constraint.
    #[must_use]
    pub fn new(
        id: impl Into<JobId>,
        customer: impl Into<CustomerId>,
        service: impl Into<ServiceId>,
        tasks: u32,
        shape: Shape,
    ) -> Self {
        Self {
            id: id.into(),
            customer: customer.into(),
            service: service.into(),
            tasks,
            shape,
            adjacency: Adjacency::DataCentre,
            guarantee: None,
            declared_run_time: Duration::ZERO,
            checkpoint: Duration::ZERO,
            time_since_accepted: Duration::ZERO,
        }
    }

    /// Sets the guarantee that the job requests to run under.
    #[must_use]
    pub fn with_guarantee(mut self, guarantee: impl Into<GuaranteeId>) -> Self {
        self.guarantee = Some(guarantee.into());
        self
    }

    /// Sets the locality constraint on the tasks.
    #[must_use]
    pub fn with_adjacency(mut self, adjacency: Adjacency) -> Self {
        self.adjacency = adjacency;
        self
    }

    /// Returns the total number of accelerators of all tasks.
    #[must_use]
    pub fn accelerators(&self) -> u64 {
        u64::from(self.tasks) * u64::from(self.shape.accelerators)
    }
}

/// Number of tasks of one job on one worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// The worker.
    pub worker: WorkerId,
    /// Number of tasks on the worker.
    pub tasks: u32,
}

/// One part of a guarantee and the worker that the planner reserves for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReservedPart {
    /// Customer that holds the guarantee.
    pub customer: CustomerId,
    /// Name of the guarantee.
    pub guarantee: GuaranteeId,
    /// Worker that the part is reserved on; `None` if no worker can hold it.
    pub worker: Option<WorkerId>,
    /// Resources that guaranteed jobs use or claim in the part.
    pub used: Shape,
}

/// Result of submitting a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// The job fits into the guarantee that it names.
    Guaranteed,
    /// The job runs on borrowed capacity and can be reclaimed.
    Borrowed,
}

/// Why a job is stopped.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// A customer reclaims its guaranteed capacity.
    Reclaimed,
    /// The job exceeded its expected run time on capacity held for a large gang.
    HoldDue,
    /// The job moves to other workers so that a large gang fits.
    Consolidated,
    /// The job was cancelled.
    Cancelled,
    /// A worker of the gang failed.
    WorkerFailed,
    /// The data centre was taken out of service.
    OutOfService,
}

/// Action that the data-centre owner has to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Start all tasks of the job.
    Start {
        /// The job.
        job: JobId,
        /// Workers that its tasks run on.
        placements: Vec<Placement>,
        /// Whether the job can be reclaimed.
        borrowed: bool,
    },
    /// Request a checkpoint from all tasks of the job and stop them, at the latest after `within`.
    Stop {
        /// The job.
        job: JobId,
        /// Why it is stopped.
        reason: StopReason,
        /// Time limit for the checkpoint.
        within: Duration,
    },
    /// Throttle the job. Precedes the `Stop` of a preempted job.
    Throttle {
        /// The job.
        job: JobId,
    },
    /// Report the job as failed. The planner has already removed it.
    Reject {
        /// The job.
        job: JobId,
        /// Why it cannot run.
        error: Error,
    },
}

/// A guarantee that the usable workers cannot hold in full.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Degraded {
    /// Customer that holds the guarantee.
    pub customer: CustomerId,
    /// Name of the guarantee.
    pub guarantee: GuaranteeId,
    /// Number of parts without a worker.
    pub lost_parts: u32,
}

/// An invariant violation found by `Fleet::check`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// Description of the violation, with the ids of the workers, customers and guarantees involved.
    pub detail: Box<str>,
}

/// Scheduling policy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Guarantees with borrowing and reclaim, fair share, holds and backfill.
    #[default]
    Guaranteed,
    /// Baseline: jobs in order of arrival on the first workers with available capacity, without reclaim.
    FirstFit,
    /// Baseline: the capacity of each guarantee is only for its customer; the remaining capacity goes to jobs
    /// in order of arrival.
    Static,
}

/// State of a job within the planner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// Waiting in the queue.
    Queued,
    /// Has claimed capacity and waits until the tasks that use it have stopped.
    Reclaiming,
    /// A start was requested and is not confirmed yet.
    Starting,
    /// All tasks run.
    Running,
    /// A stop was requested and not all tasks have ended yet.
    Stopping,
}

/// State of a job with the reasons for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// State of the job.
    pub phase: JobPhase,
    /// Whether the job runs, or would run, on borrowed capacity.
    pub borrowed: bool,
    /// Number of jobs of the same customer that are ahead in the queue.
    pub ahead: usize,
    /// Time at which the job is expected to start, if capacity is held for it.
    pub expected_start: Option<Duration>,
    /// Human-readable summary.
    pub text: Box<str>,
}

/// Metrics of the data centre.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Measures {
    /// Accelerators on usable workers.
    pub usable_accelerators: u64,
    /// Accelerators on usable workers that no task uses.
    pub free_accelerators: u64,
    /// Accelerators used by borrowers and by jobs that are stopping.
    pub borrowed_accelerators: u64,
    /// Fraction of the free accelerators that the largest guarantee cannot use.
    pub fragmentation_ratio: f64,
    /// Number of jobs in the queue.
    pub queued_jobs: usize,
    /// Number of jobs that are starting or running.
    pub running_jobs: usize,
    /// Number of workers in quarantine.
    pub quarantined_workers: usize,
    /// Number of guarantees that the usable workers cannot hold in full.
    pub degraded_guarantees: usize,
    /// Accelerator-seconds of work lost because jobs stopped after their last checkpoint.
    pub lost_accelerator_seconds: f64,
    /// Number of jobs stopped for reclaims, holds and consolidation.
    pub preemptions: u64,
}
