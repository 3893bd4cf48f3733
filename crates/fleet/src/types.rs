//! The types of the planner's interface.

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

/// Resources of a worker, of one task, or of one worker's part of a guarantee.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Shape {
    /// Accelerators.
    pub accelerators: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory in megabytes.
    pub memory_mb: u64,
}

impl Shape {
    /// Creates a shape.
    #[must_use]
    pub fn new(cores: u32, memory_mb: u64, accelerators: u32) -> Self {
        Self {
            accelerators,
            cores,
            memory_mb,
        }
    }

    /// Returns whether nothing is asked for.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }

    /// Returns whether this shape fits into `room`.
    #[must_use]
    pub fn fits(self, room: Self) -> bool {
        self.accelerators <= room.accelerators
            && self.cores <= room.cores
            && self.memory_mb <= room.memory_mb
    }

    /// Returns the sum, limited to the largest numbers.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            cores: self.cores.saturating_add(other.cores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
        }
    }

    /// Returns the difference, each resource at least zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            cores: self.cores.saturating_sub(other.cores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }

    /// Returns `count` times the shape, limited to the largest numbers.
    #[must_use]
    pub fn times(self, count: u32) -> Self {
        Self {
            accelerators: self.accelerators.saturating_mul(count),
            cores: self.cores.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(u64::from(count)),
        }
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.min(other.accelerators),
            cores: self.cores.min(other.cores),
            memory_mb: self.memory_mb.min(other.memory_mb),
        }
    }

    /// Returns how many tasks of this shape fit into `room`.
    #[must_use]
    pub fn count_fitting_in(self, room: Self) -> u32 {
        let by = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        let count = by(room.accelerators.into(), self.accelerators.into())
            .min(by(room.cores.into(), self.cores.into()))
            .min(by(room.memory_mb, self.memory_mb));
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

/// How near to each other the members of a gang or the parts of a guarantee have to be.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// All in one data centre, which holds for every gang.
    #[default]
    DataCentre,
    /// All in one rack.
    Rack,
}

/// A worker of the data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerSpec {
    /// Name of the worker.
    pub id: WorkerId,
    /// Rack that the worker stands in.
    pub rack: RackId,
    /// Size of the worker.
    pub shape: Shape,
}

/// A shape that a customer can always get back: `workers` parts, each on a worker of its own.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GuaranteeSpec {
    /// Customer that holds the guarantee.
    pub customer: CustomerId,
    /// Name, unique within the customer.
    pub name: GuaranteeId,
    /// Number of parts.
    pub workers: u32,
    /// Size of each part.
    pub shape: Shape,
    /// How near the parts have to be.
    pub adjacency: Adjacency,
    /// Time until borrowed capacity is back.
    pub reclaim_within: Duration,
}

/// A job: a gang of equal tasks, of which several may share a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// Id of the job.
    pub id: JobId,
    /// Customer that submitted the job.
    pub customer: CustomerId,
    /// Service that the job belongs to; run times are learned by customer and service.
    pub service: ServiceId,
    /// Number of tasks.
    pub tasks: u32,
    /// Size of each task.
    pub shape: Shape,
    /// How near the tasks have to be.
    pub adjacency: Adjacency,
    /// Guarantee that the job is to run under.
    pub guarantee: Option<GuaranteeId>,
    /// Run time that the submitter declared; kept for people, never relied upon.
    pub declared_run_time: Duration,
    /// Work contained in the last checkpoint.
    pub checkpoint: Duration,
    /// Time since the job was accepted, for a job that waited elsewhere before.
    pub age: Duration,
}

impl JobSpec {
    /// Creates a job without guarantee, age or checkpoint.
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
            age: Duration::ZERO,
        }
    }

    /// Names the guarantee that the job is to run under.
    #[must_use]
    pub fn with_guarantee(mut self, guarantee: impl Into<GuaranteeId>) -> Self {
        self.guarantee = Some(guarantee.into());
        self
    }

    /// Sets how near the tasks have to be.
    #[must_use]
    pub fn with_adjacency(mut self, adjacency: Adjacency) -> Self {
        self.adjacency = adjacency;
        self
    }

    /// Returns the accelerators of all tasks together.
    #[must_use]
    pub fn accelerators(&self) -> u64 {
        u64::from(self.tasks) * u64::from(self.shape.accelerators)
    }
}

/// Tasks of one job on one worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// The worker.
    pub worker: WorkerId,
    /// Number of tasks on it.
    pub tasks: u32,
}

/// One part of a guarantee, as the planner holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReservedPart {
    /// Customer that holds the guarantee.
    pub customer: CustomerId,
    /// Name of the guarantee.
    pub guarantee: GuaranteeId,
    /// Worker that the part is on, or none if the part is lost.
    pub worker: Option<WorkerId>,
    /// Resources that guaranteed tasks take in the part.
    pub used: Shape,
}

/// Answer to a submitted job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// The job fits the guarantee that it names.
    Guaranteed,
    /// The job runs on borrowed capacity and can be reclaimed.
    Borrowed,
}

/// Why a job is stopped.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// A customer takes its guaranteed shape back.
    Reclaimed,
    /// The job overran on capacity held for a large gang.
    HoldDue,
    /// The job moves so that a large gang fits.
    Consolidated,
    /// The job was cancelled.
    Cancelled,
    /// A worker of the gang failed.
    WorkerFailed,
    /// The data centre was taken out of service.
    OutOfService,
}

/// What the owner has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Start all tasks of the job.
    Start {
        /// The job.
        job: JobId,
        /// Where its tasks run.
        placements: Vec<Placement>,
        /// Whether the job can be reclaimed.
        borrowed: bool,
    },
    /// Ask all tasks of the job for a checkpoint and stop them, at the bound in any case.
    Stop {
        /// The job.
        job: JobId,
        /// Why it is stopped.
        reason: StopReason,
        /// Time for the checkpoint.
        within: Duration,
    },
    /// Slow the job down.
    Throttle {
        /// The job.
        job: JobId,
    },
    /// Give the job up; the planner has forgotten it.
    Reject {
        /// The job.
        job: JobId,
        /// Why it cannot run.
        error: Error,
    },
}

/// A guarantee that the remaining hardware cannot hold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Degraded {
    /// Customer that holds the guarantee.
    pub customer: CustomerId,
    /// Name of the guarantee.
    pub guarantee: GuaranteeId,
    /// Parts without a worker.
    pub lost_parts: u32,
}

/// A broken invariant, found by `Fleet::check`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// What is wrong, with the names involved.
    pub detail: Box<str>,
}

/// How jobs are placed.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Guarantees with borrowing and reclaim, fair share, holds and backfill.
    #[default]
    Guaranteed,
    /// Baseline: arrival order, first workers with room, no reclaim.
    FirstFit,
    /// Baseline: each customer keeps its own part, and the rest goes by arrival order.
    Static,
}

/// State of a job within the planner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// Waits in the queue.
    Queued,
    /// Has a place and waits until the tasks on it have stopped.
    Reclaiming,
    /// Was told to start.
    Starting,
    /// Runs.
    Running,
    /// Was told to stop.
    Stopping,
}

/// Why a job is where it is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// State of the job.
    pub phase: JobPhase,
    /// Whether the job runs, or would run, on borrowed capacity.
    pub borrowed: bool,
    /// Jobs of the same customer that are ahead in the queue.
    pub ahead: usize,
    /// When the job is expected to start, if it has a hold.
    pub expected_start: Option<Duration>,
    /// A sentence for people.
    pub text: Box<str>,
}

/// Figures about the data centre.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Measures {
    /// Accelerators on usable workers.
    pub usable_accelerators: u64,
    /// Accelerators on usable workers without tasks.
    pub free_accelerators: u64,
    /// Accelerators taken by borrowers.
    pub borrowed_accelerators: u64,
    /// Share of free accelerators that the largest guaranteed shape cannot use.
    pub fragmentation_ratio: f64,
    /// Jobs in the queue.
    pub queued_jobs: usize,
    /// Jobs that are starting or running.
    pub running_jobs: usize,
    /// Workers in quarantine.
    pub quarantined_workers: usize,
    /// Guarantees that the hardware cannot hold.
    pub degraded_guarantees: usize,
    /// Accelerator-seconds of work lost by stops.
    pub lost_accelerator_seconds: f64,
    /// Jobs stopped for guarantees, holds and consolidation.
    pub preemptions: u64,
}
