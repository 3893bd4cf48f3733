//! Messages to the owner of a data centre.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::api::FreeWorkers;
use crate::api::JobExplanation;
use crate::api::OwnerSummary;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::JobId;
use nutmegwalk_base::ProcessId;
use nutmegwalk_base::RackId;
use nutmegwalk_base::succession::ReceivedAnswer;
use nutmegwalk_config::WorkerShape;
use nutmegwalk_gang::GangReport;
use nutmegwalk_net::Message;

/// Agent to owner: state of the worker and of the gangs on it; sent once a second and after each change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AgentReport {
    /// Name of the agent.
    pub process: ProcessId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Number of the report within the incarnation; a late one has a lower number.
    #[serde(default)]
    pub number: u64,
    /// Last answer to a report that this process has received. `None` from an agent of an earlier release.
    #[serde(default)]
    pub last_answer: Option<ReceivedAnswer>,
    /// Address of the agent.
    pub address: SocketAddr,
    /// Data centre of the worker.
    pub data_centre: DataCentreId,
    /// Rack of the worker.
    pub rack: RackId,
    /// Capacity of the worker.
    pub shape: WorkerShape,
    /// Whether the agent is shutting down and accepts no new tasks.
    pub draining: bool,
    /// Attempts of gangs on the worker.
    pub gangs: GangReport,
}

/// Answer to an [`AgentReport`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct AgentReportAnswer {
    /// Epoch of the owner that handled the report.
    pub epoch: Epoch,
    /// Sequence number up to which the ends of attempts are recorded durably.
    pub acknowledged: u64,
    /// The owner's clock, in milliseconds since its term began; zero from an owner of an earlier release.
    #[serde(default)]
    pub owner_clock_ms: u64,
    /// Whether the report was not applied, as it does not show that its process is alive. The next one does.
    #[serde(default)]
    pub is_unconfirmed: bool,
}

impl Message for AgentReport {
    type Answer = AgentReportAnswer;
    const PATH: &'static str = "/v1/owner/report";
}

/// Entry host to owner: the row of a job has changed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobNotice {
    /// Job whose row has changed.
    pub job: JobId,
}

impl Message for JobNotice {
    type Answer = ();
    const PATH: &'static str = "/v1/owner/notify";
}

/// Entry host to owner: requests a summary of the data centre.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct SummaryRequest {}

impl Message for SummaryRequest {
    type Answer = OwnerSummary;
    const PATH: &'static str = "/v1/owner/summary";
}

/// Dispatcher to owner: requests the release of waiting jobs that fit into the free capacity of another data
/// centre.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReleaseRequest {
    /// Data centre with the free capacity.
    pub data_centre: DataCentreId,
    /// Workers of that data centre, grouped by their number of free accelerators.
    pub free: Vec<FreeWorkers>,
}

/// Answer to a [`ReleaseRequest`]; the rows of the jobs are written after it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Released {
    /// Jobs whose home is being cleared.
    pub jobs: Vec<JobId>,
}

impl Message for ReleaseRequest {
    type Answer = Released;
    const PATH: &'static str = "/v1/owner/release";
}

/// Entry host to owner: requests an explanation of a job's state.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExplainRequest {
    /// Job to explain.
    pub job: JobId,
}

impl Message for ExplainRequest {
    type Answer = JobExplanation;
    const PATH: &'static str = "/v1/owner/explain";
}
