//! Interface between an agent and its worker.

use std::time::Duration;

use futures_util::FutureExt;
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

/// Whether a worker accepts new tasks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerState {
    /// The worker accepts new tasks.
    Ready,
    /// The worker is about to leave.
    Draining {
        /// Minimum time until it leaves, in milliseconds, if the worker reports one.
        remaining_ms: Option<u64>,
    },
}

/// Content of a worker's heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Incarnation of the worker.
    pub worker: WorkerRef,
    /// Service whose tasks the worker runs.
    pub service: ServiceId,
    /// Data centre in which the worker is located.
    pub data_centre: DataCentreId,
    /// Rack in which the worker is located, if known.
    pub rack: Option<RackId>,
    /// All labels of the worker, including that of the rack.
    pub labels: Vec<Box<str>>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Whether the worker accepts new tasks.
    pub state: WorkerState,
    /// Remaining time for which the worker is slow after its start, in milliseconds.
    pub cold_remaining_ms: u64,
    /// Number of the heartbeat within this incarnation; a late one has a lower number than the last.
    pub sequence: u64,
}

/// One run of one task.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskRun {
    /// Id of the task.
    pub task: TaskId,
    /// Number of the run.
    pub run: Run,
}

/// A task that runs on the worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunningTask {
    /// Task and number of its run.
    #[serde(flatten)]
    pub run: TaskRun,
    /// Last checkpoint, if there is one.
    pub checkpoint: Option<Box<str>>,
    /// Work done, in percent; for a long-running task, the share of its full pace at which it works.
    pub progress_percent: u32,
    /// Approximate measurement over the last half second, if the worker provides one: for a long-running
    /// task that serves users, its tail latency in milliseconds; else its thousandths of a core in use.
    pub recent: Option<u64>,
}

/// The end of a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndedTask {
    /// Number of the end within this incarnation of the worker, from 1.
    pub number: u64,
    /// Run that ended.
    #[serde(flatten)]
    pub run: TaskRun,
    /// How the run ended.
    pub kind: EndKind,
    /// Last checkpoint, if there is one.
    pub checkpoint: Option<Box<str>>,
}

/// Request to start a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartRequest {
    /// Incarnation of the worker that the request is for.
    pub worker: WorkerRef,
    /// Run to start.
    pub run: TaskRun,
    /// Payload passed to the task.
    pub payload: Box<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Box<str>>,
    /// Proof that the worker may run the step, if the queue requires one.
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
    /// This run or a later one was stopped or has ended on the worker.
    SupersededRun,
    /// The lease in the request had already ended, the agent may not renew the lease now, or the lease has lapsed
    /// since the run was assigned.
    LeasePassed,
    /// The order reached the worker's agent, or was carried out by it, after its expiry.
    Expired,
    /// The worker has too little free capacity.
    NoRoom,
    /// The ticket is missing or not valid.
    InvalidTicket,
    /// Another incarnation of the worker answered, or the agent supervises another worker.
    OtherWorker,
    /// The worker is about to leave.
    Draining,
    /// The worker reports itself as unhealthy.
    Unhealthy,
    /// The worker rejected the request as malformed.
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
            Self::Expired => "expired",
            Self::NoRoom => "no_room",
            Self::InvalidTicket => "invalid_ticket",
            Self::OtherWorker => "other_worker",
            Self::Draining => "draining",
            Self::Unhealthy => "unhealthy",
            Self::Malformed => "malformed",
        }
    }
}

/// Answer of the worker to a [`StartRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartAnswer {
    /// The worker's clock, in milliseconds, if the answer contains it.
    pub clock_ms: Option<u64>,
    /// Why the run is not on the worker and was not started; `None` when it is on the worker.
    pub refusal: Option<Refusal>,
}

/// Request to renew the lease, to drop stored ends, and to list the running and ended tasks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PollRequest {
    /// Incarnation of the worker that the request is for.
    pub worker: WorkerRef,
    /// Fencing epoch of the owner.
    pub epoch: Epoch,
    /// Number up to which the worker drops the ends.
    pub acknowledged: u64,
    /// New end of the lease on the worker's clock, in milliseconds; `None` to leave it unchanged.
    pub lease_until_clock_ms: Option<u64>,
    /// Time for which the worker waits for a task to end before it answers.
    pub wait: Duration,
}

impl PollRequest {
    /// Returns whether the request only asks for the lists, so that any incarnation may receive it.
    #[must_use]
    pub fn changes_nothing(&self) -> bool {
        self.acknowledged == 0 && self.lease_until_clock_ms.is_none()
    }
}

/// Number of ends that an answer lists at most; the later ones are listed when these are dropped.
pub const MAX_LISTED_ENDS: usize = 500;

/// Answer of the worker to a [`PollRequest`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PollAnswer {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Start of the incarnation that answered, in milliseconds since 1970, if the answer contains it.
    pub born_unix_ms: Option<u64>,
    /// Running tasks.
    pub running: Vec<RunningTask>,
    /// Ends that were not dropped, oldest first; a long list is split over several answers.
    pub ended: Vec<EndedTask>,
    /// Whether entries were left out because they cannot be read. A run that is not listed may be one of them.
    pub is_incomplete: bool,
    /// Number of the last end before the first one that cannot be read. That one must not be dropped, because its
    /// effect is unknown. `None` if all ends can be read.
    pub acknowledge_limit: Option<u64>,
}

/// Commands of an agent to its worker.
///
/// Errors are `unreachable` when nothing was sent, `unknown_outcome` when no answer was received,
/// `stale_epoch` when the worker has seen a higher epoch, and `not_found` when another incarnation of the
/// worker answered.
pub trait WorkerPort {
    /// Prepares for a number of requests to an incarnation that are about to be sent at once. It changes nothing on the worker.
    fn prepare<'a>(
        &'a self,
        _worker: &'a WorkerRef,
        _requests: usize,
        _epoch: Epoch,
    ) -> LocalBoxFuture<'a, Result<()>> {
        std::future::ready(Ok(())).boxed_local()
    }

    /// Starts a task. A run that is already on the worker counts as started.
    fn start<'a>(&'a self, request: &'a StartRequest) -> LocalBoxFuture<'a, Result<StartAnswer>>;

    /// Stops a run. A run that is not on the worker is refused from then on.
    fn stop<'a>(
        &'a self,
        worker: &'a WorkerRef,
        run: &'a TaskRun,
        epoch: Epoch,
    ) -> LocalBoxFuture<'a, Result<()>>;

    /// Sets the pace of a run to `percent` of its full pace.
    fn pace<'a>(
        &'a self,
        worker: &'a WorkerRef,
        run: &'a TaskRun,
        percent: u32,
        epoch: Epoch,
    ) -> LocalBoxFuture<'a, Result<()>>;

    /// Renews the lease and lists the running and ended tasks.
    fn poll<'a>(&'a self, request: &'a PollRequest) -> LocalBoxFuture<'a, Result<PollAnswer>>;
}
