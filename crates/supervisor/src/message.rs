//! Messages between an agent and the owner of its domain.

use std::net::SocketAddr;
use std::time::Duration;

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
use nutmegwalk_base::succession::ReceivedAnswer;
use nutmegwalk_net::Message;
use nutmegwalk_workload::Occurrence;
use nutmegwalk_workload::Run;
use nutmegwalk_workload::StepIndex;
use nutmegwalk_workload::TaskId;
use nutmegwalk_workload::TaskIndex;
use nutmegwalk_workload::WorkerRef;

/// Time without an answer from a worker to its agent after which the worker gets no new tasks.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Status of a worker as known to its agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerStatus {
    /// The worker's last heartbeat.
    pub announcement: Announcement,
    /// Time since that heartbeat arrived, in milliseconds.
    pub heartbeat_age_ms: u64,
    /// Time since the worker last answered the agent, in milliseconds; `None` before the first answer. It is at least
    /// [`ANSWER_TIMEOUT`] while the worker is silent or another incarnation answers.
    pub answer_age_ms: Option<u64>,
    /// Whether the worker's lease had provably lapsed when the status was made, so that nothing ran on it then. Runs
    /// may have been started since.
    pub has_lapsed: bool,
    /// End of the last lease that is known to have lapsed, on the worker's clock, in milliseconds. The runs that were
    /// assigned before the owner knew of this lapse are over. `None` from an agent of an earlier release.
    #[serde(default)]
    pub lapsed_until_ms: Option<u64>,
    /// Running tasks.
    pub running: Vec<RunningTask>,
    /// Ends that the owner has not acknowledged, oldest first.
    pub ended: Vec<EndedTask>,
    /// Time since the first heartbeat of this incarnation reached this process of the agent, in milliseconds. `None` from
    /// an agent of an earlier release.
    #[serde(default)]
    pub up_for_ms: Option<u64>,
    /// Runs that are not known to have outlived their start: the last answer shows a time of the worker's clock less than
    /// [`crate::START_CRASH_WINDOW`] past it. `None` from an agent of an earlier release.
    #[serde(default)]
    pub starting: Option<Vec<TaskRun>>,
    /// Runs that the worker had just started when it fell silent. It may have crashed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silent_since_start: Vec<TaskRun>,
    /// Last incarnations of the worker that ended without notice while this agent supervised them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<WorkerCrash>,
}

/// End of an incarnation of a worker without notice, as seen by its agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerCrash {
    /// Incarnation that has ended.
    pub worker: WorkerRef,
    /// Time since the agent noticed it, in milliseconds.
    pub age_ms: u64,
    /// Runs that the worker had just started: it was not alive [`crate::START_CRASH_WINDOW`] after their start, as far as the
    /// agent has seen. Only these may have crashed it at their start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub just_started: Vec<TaskRun>,
    /// Whether connections to the worker were refused or closed soon after these starts, so that its process had ended. A
    /// link or host that fails is silent.
    pub was_broken: bool,
    /// Time for which the worker had been up before the first of these starts, in milliseconds.
    pub up_for_ms: u64,
}

/// Report of an agent to the owner, sent immediately after a change and otherwise at an interval.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Name of the agent.
    pub agent: ProcessId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Number of the report within the incarnation; a late one has a lower number.
    pub sequence: u64,
    /// Address at which the agent accepts orders.
    pub address: SocketAddr,
    /// Highest fencing epoch that the agent has seen.
    pub epoch: Epoch,
    /// Last answer to a report that this process has received, from which the owner concludes that it was alive then. `None`
    /// from an agent of an earlier release.
    #[serde(default)]
    pub last_answer: Option<ReceivedAnswer>,
    /// Whether the agent is able to take over the ownership.
    pub is_eligible: bool,
    /// The agent's time of day, in milliseconds since 1970.
    pub unix_ms: u64,
    /// Status of the agent's worker; `None` before its first heartbeat and after it has left.
    pub worker: Option<WorkerStatus>,
}

/// The owner's answer to a report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportAnswer {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Incarnation of the worker that `acknowledged` refers to.
    pub worker: Option<WorkerRef>,
    /// Number up to which the owner has stored the ends, so that the worker may drop them.
    pub acknowledged: u64,
    /// Duration for which the worker's lease may last, counted from the sending of the report, in
    /// milliseconds; zero when the owner cannot confirm that it is still the owner.
    pub hold_for_ms: u64,
    /// The owner's clock, in milliseconds since its term began; zero from an owner of an earlier release.
    #[serde(default)]
    pub owner_clock_ms: u64,
    /// Whether the report was not applied, as it does not show that its process is alive. The next one does.
    #[serde(default)]
    pub is_unconfirmed: bool,
    /// Whether the agent is a standby for the ownership.
    pub is_standby: bool,
    /// Other agents that can forward requests to the store.
    pub peers: Vec<SocketAddr>,
}

/// Requests from the owner the agents that can forward requests to the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeersRequest {}

/// Agents that can forward requests to the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeersAnswer {
    /// Addresses of the agents.
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

/// Order to start tasks of one unit on one worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartOrder {
    /// Job of the tasks.
    pub job: JobId,
    /// Occurrence of the job.
    pub occurrence: Occurrence,
    /// Step of the tasks.
    pub step: StepIndex,
    /// Indexes of the tasks to start on this worker.
    pub tasks: Vec<TaskIndex>,
    /// Number of the run, the same for all tasks.
    pub run: Run,
    /// Payload passed to the tasks.
    pub payload: Box<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Box<str>>,
    /// Proof that the worker may run the step, if the queue requires one.
    pub ticket: Option<Box<str>>,
    /// Last lapse of the worker's lease, as in [`WorkerStatus::lapsed_until_ms`], that the owner knew of when it
    /// assigned the run. The order is void after a later one, which the owner takes for the end of the run.
    #[serde(default)]
    pub known_lapse_ms: Option<u64>,
}

impl StartOrder {
    /// Returns the run of the task with this index.
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

/// Order to stop a run.
pub type StopOrder = TaskRun;

/// Order to set the pace of a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PaceOrder {
    /// Run whose pace is set.
    pub run: TaskRun,
    /// Share of its full pace at which the task works, in percent.
    pub percent: u32,
}

/// Orders of the owner for one worker. Each order may be sent repeatedly.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Orders {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Incarnation of the worker that the orders are for.
    pub worker: WorkerRef,
    /// Incarnation of the agent whose reports the orders are based on; zero from an owner of an earlier release.
    #[serde(default)]
    pub agent_incarnation: Incarnation,
    /// Number up to which the owner has stored the ends, so that the worker may drop them.
    pub acknowledged: u64,
    /// Time on the owner's clock from which `starts` are void, in milliseconds since its term began. The tasks may
    /// have been cancelled since, or their data centre taken out of service. Zero, and so void, from an owner of an
    /// earlier release.
    #[serde(default)]
    pub starts_expire_ms: u64,
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

/// Outcome of an order for one task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// The order was executed.
    Done,
    /// The worker or its agent refused the order, and nothing was done.
    Refused(Refusal),
    /// The worker did not answer; the order may still be executed.
    Unknown,
    /// The run to stop is neither running nor among the ends, and can no longer start.
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

/// Result of a start order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartResult {
    /// Run that the order was for.
    pub run: TaskRun,
    /// Outcome of the order.
    pub outcome: TaskOutcome,
}

/// Result of a stop order.
pub type StopResult = StartResult;

/// The agent's answer to orders.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrdersAnswer {
    /// Results of the starts, one for each task.
    pub starts: Vec<StartResult>,
    /// Results of the stops, one for each run.
    pub stops: Vec<StopResult>,
}
