//! Bodies of the HTTP interface for callers and operators, in JSON.

use serde::Deserialize;
use serde::Serialize;

use crate::jobs::JobState;
use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::JobId;
use nutmegwalk_base::ProcessId;
use nutmegwalk_base::WorkerId;
use nutmegwalk_config::Configuration;

/// Body of `POST /v1/publish`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// Version that the operator saw before editing; another one in force is a conflict.
    pub based_on: ConfigVersion,
    /// The whole new configuration; its version and the in-service states are ignored.
    pub configuration: Configuration,
}

/// Answer of `POST /v1/publish` and `POST /v1/return`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Published {
    /// Version that the change made.
    pub version: ConfigVersion,
}

/// Body of `POST /v1/take-out` and `POST /v1/return`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreRequest {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// For take-out: the data centre is known to be powered off, so its jobs may run elsewhere at once.
    #[serde(default)]
    pub lost: bool,
}

/// Answer of `POST /v1/take-out`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TakenOut {
    /// Version that the change made.
    pub version: ConfigVersion,
    /// Processes of the data centre that have confirmed the version.
    pub confirmed: Vec<ProcessId>,
    /// Processes of the data centre that have not; their permission to start lapses by itself.
    pub unconfirmed: Vec<ProcessId>,
    /// Time from the commit after which no process can start a task there, in milliseconds.
    pub no_start_after_ms: u64,
}

/// One process in the answer of `GET /v1/status`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProcessStatus {
    /// Name of the process.
    pub process: ProcessId,
    /// Data centre of the process.
    pub data_centre: DataCentreId,
    /// Version that the process has in force.
    pub version: ConfigVersion,
    /// Time since the last report, in milliseconds.
    pub silent_ms: u64,
}

/// One data centre in the answer of `GET /v1/status`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DataCentreStatus {
    /// Name of the data centre.
    pub data_centre: DataCentreId,
    /// Whether operators have it in service.
    pub in_service: bool,
    /// Process that owns placement there.
    pub owner: Option<ProcessId>,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// What the owner told, when it answered.
    pub summary: Option<OwnerSummary>,
}

/// Workers with the same number of free accelerators.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FreeWorkers {
    /// Accelerators that are free on each of them.
    pub accelerators: u32,
    /// Number of workers.
    pub workers: u32,
}

/// What the owner of a data centre tells about it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OwnerSummary {
    /// Workers that report.
    pub workers: u32,
    /// Accelerators of usable workers.
    pub accelerators: u32,
    /// Accelerators not set aside for a task.
    pub free_accelerators: u32,
    /// Jobs that run.
    pub running_jobs: u32,
    /// Jobs that wait.
    pub waiting_jobs: u32,
    /// Jobs that wait for room and could run in another data centre.
    #[serde(default)]
    pub releasable_jobs: u32,
    /// Jobs that wait for room.
    #[serde(default)]
    pub queued_jobs: u32,
    /// Usable workers by the accelerators that are free on them.
    #[serde(default)]
    pub free_workers: Vec<FreeWorkers>,
    /// Share of free accelerators that the largest guaranteed shape cannot use.
    pub fragmentation_ratio: f64,
    /// Guarantees that the remaining hardware cannot hold.
    pub degraded_guarantees: Vec<Box<str>>,
    /// Violated invariants of the placement; empty when all hold.
    pub violations: Vec<Box<str>>,
}

/// Answer of `GET /v1/status`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// Version that the answering entry host has in force.
    pub version: ConfigVersion,
    /// Age of its view, in milliseconds.
    pub view_age_ms: u64,
    /// Oldest version in force at any process that reports.
    pub oldest_version: ConfigVersion,
    /// All processes that report.
    pub processes: Vec<ProcessStatus>,
    /// All data centres.
    pub data_centres: Vec<DataCentreStatus>,
}

/// One record in the answer of `GET /v1/audit`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AuditEntry {
    /// Version that the change made.
    pub version: ConfigVersion,
    /// Version that the change was made from.
    pub from_version: ConfigVersion,
    /// Operator that made the change.
    pub operator: Box<str>,
    /// Time of the change by the clock of the entry host, in milliseconds since 1970.
    pub unix_ms: u64,
    /// What was changed.
    pub action: Box<str>,
}

/// Answer of `POST /v1/jobs`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Submitted {
    /// Id of the job.
    pub job: JobId,
    /// Whether the job runs beyond its customer's guarantees and can be reclaimed.
    pub borrowed: bool,
    /// Data centre that the job was given to.
    pub data_centre: DataCentreId,
}

/// Answer of `GET /v1/jobs/<id>` and `DELETE /v1/jobs/<id>`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobStatus {
    /// Id of the job.
    pub job: JobId,
    /// Customer of the job.
    pub customer: CustomerId,
    /// State that stands in the table.
    pub state: JobState,
    /// Data centre of the job.
    pub data_centre: DataCentreId,
    /// Work contained in the last checkpoint, in milliseconds.
    pub checkpoint_ms: u64,
    /// Time of acceptance, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// Time of the end, in milliseconds since 1970.
    pub ended_unix_ms: Option<u64>,
    /// Why the job failed.
    pub error: Option<Error>,
}

/// Answer of `GET /v1/jobs/<id>/explain`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct JobExplanation {
    /// Id of the job.
    pub job: JobId,
    /// What the job does or waits for, in a sentence.
    pub reason: Box<str>,
    /// Workers that run the job's tasks, in the order of its members.
    pub workers: Vec<WorkerId>,
    /// Position in the queue, when the job waits.
    pub queue_position: Option<u32>,
    /// Whether the job runs beyond its customer's guarantees.
    pub borrowed: bool,
}
