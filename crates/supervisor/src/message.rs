//! Messages between an agent and the owner of its domain.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Announcement;
use crate::EndedTask;
use crate::Refusal;
use crate::RunningTask;
use crate::TaskRun;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::JobId;
use nutmegwalk_base::ProcessId;
use nutmegwalk_net::Message;
use nutmegwalk_workload::Occurrence;
use nutmegwalk_workload::Run;
use nutmegwalk_workload::StepIndex;
use nutmegwalk_workload::TaskId;
use nutmegwalk_workload::TaskIndex;
use nutmegwalk_workload::WorkerRef;

/// What an agent knows about its worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerStatus {
    /// The worker's last heartbeat.
    pub announcement: Announcement,
    /// Time since that heartbeat arrived, in milliseconds.
    pub heartbeat_age_ms: u64,
    /// Time since the worker last answered the agent, in milliseconds; `None` before the first answer.
    pub answer_age_ms: Option<u64>,
    /// Whether the worker's lease has certainly lapsed since it last answered, so that nothing runs there.
    pub has_lapsed: bool,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// Ends that the owner has not acknowledged, oldest first.
    pub ended: Vec<EndedTask>,
}

/// Report of an agent to the owner: at once after a change, else at an interval.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Name of the agent.
    pub agent: ProcessId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Number of the report within the incarnation; a late one has a lower number.
    pub sequence: u64,
    /// Address at which the agent takes orders.
    pub address: SocketAddr,
    /// Highest fencing epoch that the agent has seen.
    pub epoch: Epoch,
    /// Whether the agent could take over the ownership.
    pub is_eligible: bool,
    /// The agent's time of day, in milliseconds since 1970.
    pub unix_ms: u64,
    /// The worker beside the agent; `None` before its first heartbeat.
    pub worker: Option<WorkerStatus>,
}

/// The owner's answer to a report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportAnswer {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Life of the worker that `acknowledged` belongs to.
    pub worker: Option<WorkerRef>,
    /// Ends up to this number are stored, so that the worker may forget them.
    pub acknowledged: u64,
    /// Time, counted from when the report was sent, for which the worker's lease may be renewed, in
    /// milliseconds; zero when the owner cannot tell whether it still is the owner.
    pub hold_for_ms: u64,
    /// Whether the agent stands by to take over the ownership.
    pub is_standby: bool,
    /// Other agents that can pass requests on to the store.
    pub peers: Vec<SocketAddr>,
}

/// Asks the owner for agents that can pass requests on to the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeersRequest {}

/// Agents that can pass requests on to the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeersAnswer {
    /// Their addresses.
    pub peers: Vec<SocketAddr>,
}

impl Message for PeersRequest {
    type Answer = PeersAnswer;
    const PATH: &'static str = "/v1/domain/peers";
}

impl Message for Report {
    type Answer = ReportAnswer;
    const PATH: &'static str = "/v1/domain/report";
}

/// Starts tasks of one unit on one worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartOrder {
    /// The job.
    pub job: JobId,
    /// The recurrence.
    pub occurrence: Occurrence,
    /// The step.
    pub step: StepIndex,
    /// The tasks that run on this worker.
    pub tasks: Vec<TaskIndex>,
    /// Number of the run.
    pub run: Run,
    /// Text passed to the tasks.
    pub payload: Box<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Box<str>>,
    /// Proof that the worker may run the step, if the queue asks for one.
    pub ticket: Option<Box<str>>,
}

impl StartOrder {
    /// Returns the run of one of the tasks.
    #[must_use]
    pub fn task_run(&self, index: TaskIndex) -> TaskRun {
        TaskRun {
            task: TaskId {
                job: self.job.clone(),
                occurrence: self.occurrence,
                step: self.step,
                index,
            },
            run: self.run,
        }
    }
}

/// Stops a run.
pub type StopOrder = TaskRun;

/// Sets the pace of a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PaceOrder {
    /// The run.
    pub run: TaskRun,
    /// Share of its pace at which the task works, in percent.
    pub percent: u32,
}

/// Orders of the owner for one worker. Each may be repeated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Orders {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Life of the worker that is meant.
    pub worker: WorkerRef,
    /// Ends up to this number are stored, so that the worker may forget them.
    pub acknowledged: u64,
    /// Tasks to start.
    pub starts: Vec<StartOrder>,
    /// Runs to stop.
    pub stops: Vec<StopOrder>,
    /// Paces to set.
    pub paces: Vec<PaceOrder>,
}

impl Message for Orders {
    type Answer = OrdersAnswer;
    const PATH: &'static str = "/v1/worker/orders";
}

/// What became of an order for one task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// The order was carried out.
    Done,
    /// The worker refused it and did nothing.
    Refused(Refusal),
    /// The worker did not answer; the order may be carried out later.
    Unknown,
    /// The run to stop is neither there nor among the ends, and cannot start any more.
    Absent,
}

impl TaskOutcome {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Refused(refusal) => refusal.name(),
            Self::Unknown => "unknown",
            Self::Absent => "absent",
        }
    }
}

/// Result of a start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartResult {
    /// The run.
    pub run: TaskRun,
    /// What became of it.
    pub outcome: TaskOutcome,
}

/// Result of a stop.
pub type StopResult = StartResult;

/// The agent's answer to orders.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrdersAnswer {
    /// Results of the starts, one for each task.
    pub starts: Vec<StartResult>,
    /// Results of the stops.
    pub stops: Vec<StopResult>,
}
