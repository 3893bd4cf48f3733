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
use nutmegwalk_config::WorkerShape;
use nutmegwalk_gang::GangReport;
use nutmegwalk_net::Message;

/// Agent to owner: the worker and what runs on it; sent once a second and after each change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AgentReport {
    /// Name of the agent.
    pub process: ProcessId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Address of the agent.
    pub address: SocketAddr,
    /// Data centre of the worker.
    pub data_centre: DataCentreId,
    /// Rack of the worker.
    pub rack: RackId,
    /// Size of the worker.
    pub shape: WorkerShape,
    /// Whether the agent is shutting down and takes no new tasks.
    pub draining: bool,
    /// Gangs on the worker.
    pub gangs: GangReport,
}

/// Answer to an [`AgentReport`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct AgentReportAnswer {
    /// Epoch of the owner that took the report.
    pub epoch: Epoch,
    /// Ended attempts up to this sequence number are recorded durably.
    pub acknowledged: u64,
}

impl Message for AgentReport {
    type Answer = AgentReportAnswer;
    const PATH: &'static str = "/v1/owner/report";
}

/// Entry host to owner: the row of a job has changed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobNotice {
    /// The job.
    pub job: JobId,
}

impl Message for JobNotice {
    type Answer = ();
    const PATH: &'static str = "/v1/owner/notify";
}

/// Entry host to owner: asks for figures about the data centre.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct SummaryRequest {}

impl Message for SummaryRequest {
    type Answer = OwnerSummary;
    const PATH: &'static str = "/v1/owner/summary";
}

/// Dispatcher to owner: release waiting jobs that fit into the room of another data centre.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReleaseRequest {
    /// Data centre that has the room.
    pub data_centre: DataCentreId,
    /// Its workers by the accelerators that are free on them.
    pub free: Vec<FreeWorkers>,
}

/// Answer to a [`ReleaseRequest`]; the rows of the jobs follow.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Released {
    /// Jobs that lose their home.
    pub jobs: Vec<JobId>,
}

impl Message for ReleaseRequest {
    type Answer = Released;
    const PATH: &'static str = "/v1/owner/release";
}

/// Entry host to owner: asks what a job does or waits for.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExplainRequest {
    /// The job.
    pub job: JobId,
}

impl Message for ExplainRequest {
    type Answer = JobExplanation;
    const PATH: &'static str = "/v1/owner/explain";
}
