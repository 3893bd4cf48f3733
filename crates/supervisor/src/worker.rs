//! The worker as its agent sees it.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;

use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::RackId;
use nutmegwalk_base::Result;
use nutmegwalk_base::ServiceId;
use nutmegwalk_workload::EndKind;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::Run;
use nutmegwalk_workload::TaskId;
use nutmegwalk_workload::WorkerRef;

/// Whether a worker takes new tasks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerState {
    /// It takes new tasks.
    Ready,
    /// It is about to leave.
    Draining {
        /// The shortest time that is left to it, in milliseconds, if it says so.
        remaining_ms: Option<u64>,
    },
}

/// What a worker says about itself in its heartbeats.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The worker.
    pub worker: WorkerRef,
    /// Service whose tasks it runs.
    pub service: ServiceId,
    /// Data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Rack that it stands in, if it names one.
    pub rack: Option<RackId>,
    /// All its labels, the rack among them.
    pub labels: Vec<Box<str>>,
    /// What it has.
    pub capacity: Resources,
    /// Whether it takes new tasks.
    pub state: WorkerState,
    /// Time for which it is still slow after its start, in milliseconds.
    pub cold_remaining_ms: u64,
    /// Number of the heartbeat within this life; a late one has a lower number than the last.
    pub sequence: u64,
}

/// One run of one task.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: Run,
}

/// A task that runs on the worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunningTask {
    /// The run.
    #[serde(flatten)]
    pub run: TaskRun,
    /// Last checkpoint, if there is one.
    pub checkpoint: Option<Box<str>>,
    /// Work done, in percent; for a lasting task the share at which it works.
    pub progress_percent: u32,
    /// For a lasting task that serves users its tail latency in milliseconds, else the thousandths of a
    /// core in use; a rough figure of the last half second, if the worker gives one.
    pub recent: Option<u64>,
}

/// The end of a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndedTask {
    /// Number of the end within this life of the worker, from 1.
    pub number: u64,
    /// The run.
    #[serde(flatten)]
    pub run: TaskRun,
    /// How it ended.
    pub kind: EndKind,
    /// Last checkpoint, if there is one.
    pub checkpoint: Option<Box<str>>,
}

/// A request to start a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartRequest {
    /// Life of the worker that is meant.
    pub worker: WorkerRef,
    /// The run.
    pub run: TaskRun,
    /// Text passed to the task.
    pub payload: Box<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Box<str>>,
    /// Proof that the worker may run the step, if the queue asks for one.
    pub ticket: Option<Box<str>>,
    /// End of the lease on the worker's clock, in milliseconds.
    pub lease_until_clock_ms: u64,
    /// Fencing epoch of the owner.
    pub epoch: Epoch,
}

/// Why a worker did not start a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The worker has seen a higher fencing epoch.
    StaleEpoch,
    /// This run or a later one was stopped or has ended there.
    SupersededRun,
    /// The lease that came with the request had passed.
    LeasePassed,
    /// There is no room.
    NoRoom,
    /// The ticket is missing or not valid.
    InvalidTicket,
    /// Another life of the worker answered.
    OtherWorker,
    /// The worker is about to leave.
    Draining,
    /// The worker says that it is unhealthy.
    Unhealthy,
    /// The worker does not understand the request.
    Malformed,
}

impl Refusal {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::StaleEpoch => "stale_epoch",
            Self::SupersededRun => "superseded_run",
            Self::LeasePassed => "lease_passed",
            Self::NoRoom => "no_room",
            Self::InvalidTicket => "invalid_ticket",
            Self::OtherWorker => "other_worker",
            Self::Draining => "draining",
            Self::Unhealthy => "unhealthy",
            Self::Malformed => "malformed",
        }
    }
}

/// The worker's answer to a request to start a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartAnswer {
    /// The worker's clock, in milliseconds, if the answer has it.
    pub clock_ms: Option<u64>,
    /// Why the run is not there and was not started by this request; `None` when it is there.
    pub refusal: Option<Refusal>,
}

/// A request to renew the lease, to forget ends, and to list what runs and what has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PollRequest {
    /// Life of the worker that is meant.
    pub worker: WorkerRef,
    /// Fencing epoch of the owner.
    pub epoch: Epoch,
    /// Ends up to this number are forgotten by the worker.
    pub acknowledged: u64,
    /// New end of the lease on the worker's clock, in milliseconds; `None` to leave it as it is.
    pub lease_until_clock_ms: Option<u64>,
    /// Time for which the worker waits for an end before it answers.
    pub wait: Duration,
}

/// What runs on a worker and what has ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PollAnswer {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Start of the life that answered, in milliseconds since 1970, if it says so.
    pub born_unix_ms: Option<u64>,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// Ends that are not forgotten, oldest first; a long list comes in parts.
    pub ended: Vec<EndedTask>,
}

/// The worker's interface to its agent.
///
/// Errors are `unreachable` when nothing was sent, `unknown_outcome` when no answer came, `stale_epoch`
/// when the worker has seen a higher epoch, and `not_found` when another life of the worker answered.
pub trait WorkerPort {
    /// Starts a task. A run that is there already counts as started.
    fn start<'a>(&'a self, request: &'a StartRequest) -> LocalBoxFuture<'a, Result<StartAnswer>>;

    /// Stops a run; one that is not there will be refused from now on.
    fn stop<'a>(
        &'a self,
        worker: &'a WorkerRef,
        run: &'a TaskRun,
        epoch: Epoch,
    ) -> LocalBoxFuture<'a, Result<()>>;

    /// Lets a run work at `percent` of its pace.
    fn pace<'a>(
        &'a self,
        worker: &'a WorkerRef,
        run: &'a TaskRun,
        percent: u32,
        epoch: Epoch,
    ) -> LocalBoxFuture<'a, Result<()>>;

    /// Renews the lease and lists what runs and what has ended.
    fn poll<'a>(&'a self, request: &'a PollRequest) -> LocalBoxFuture<'a, Result<PollAnswer>>;
}
