//! JSON bodies of the HTTP interface for callers and operators.

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
    /// Version that the edit started from; a different version in force is a conflict.
    pub based_on: ConfigVersion,
    /// The complete new configuration; its version and in-service states are ignored.
    pub configuration: Configuration,
}

/// Answer of `POST /v1/publish` and `POST /v1/return`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Published {
    /// Version created by the change.
    pub version: ConfigVersion,
}

/// Body of `POST /v1/take-out` and `POST /v1/return`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreRequest {
    /// Data centre to take out of service or to return to it.
    pub data_centre: DataCentreId,
    /// For a take-out: the data centre is known to be powered off, so its jobs are moved without waiting until
    /// it counts as unreachable.
    #[serde(default)]
    pub lost: bool,
}

/// Answer of `POST /v1/take-out`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TakenOut {
    /// Version created by the change.
    pub version: ConfigVersion,
    /// Processes of the data centre that have confirmed the version.
    pub confirmed: Vec<ProcessId>,
    /// Processes of the data centre that have not confirmed it; their permission to start tasks expires by itself.
    pub unconfirmed: Vec<ProcessId>,
    /// Time after the commit from which no process can start a task there, in milliseconds.
    pub no_start_after_ms: u64,
}

/// One process in the answer of `GET /v1/status`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProcessStatus {
    /// Name of the process.
    pub process: ProcessId,
    /// Data centre of the process; empty if it belongs to none.
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
    /// Whether the data centre is in service.
    pub in_service: bool,
    /// Process that owns the placement of its jobs, if any.
    pub owner: Option<ProcessId>,
    /// Epoch of the owner; 0 without an owner.
    pub epoch: Epoch,
    /// Latest summary of the owner; `None` if it did not answer.
    pub summary: Option<OwnerSummary>,
}

/// Workers with the same number of free accelerators.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FreeWorkers {
    /// Free accelerators on each of the workers.
    pub accelerators: u32,
    /// Number of workers.
    pub workers: u32,
}

/// State of a data centre as reported by its owner.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OwnerSummary {
    /// Workers that are usable.
    pub workers: u32,
    /// Accelerators on usable workers.
    pub accelerators: u32,
    /// Accelerators that are not allocated to a task.
    pub free_accelerators: u32,
    /// Jobs that are running.
    pub running_jobs: u32,
    /// Jobs that are not running: queued, starting, stopping, or with an attempt of unknown state.
    pub waiting_jobs: u32,
    /// Queued jobs that may be released to another data centre.
    #[serde(default)]
    pub releasable_jobs: u32,
    /// Jobs that wait for capacity.
    #[serde(default)]
    pub queued_jobs: u32,
    /// Usable workers, grouped by their number of free accelerators.
    #[serde(default)]
    pub free_workers: Vec<FreeWorkers>,
    /// Fraction of the free accelerators that the largest guaranteed shape cannot use.
    pub fragmentation_ratio: f64,
    /// Guarantees that the remaining workers cannot satisfy, as `customer/guarantee`.
    pub degraded_guarantees: Vec<Box<str>>,
    /// Violated placement invariants; empty when all hold.
    pub violations: Vec<Box<str>>,
}

/// Answer of `GET /v1/status`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// Version in force at the entry host that answers.
    pub version: ConfigVersion,
    /// Age of that entry host's view, in milliseconds.
    pub view_age_ms: u64,
    /// Oldest version in force at any reporting process.
    pub oldest_version: ConfigVersion,
    /// All reporting processes.
    pub processes: Vec<ProcessStatus>,
    /// All configured data centres.
    pub data_centres: Vec<DataCentreStatus>,
}

/// One record in the answer of `GET /v1/audit`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AuditEntry {
    /// Version created by the change.
    pub version: ConfigVersion,
    /// Version that the change was based on.
    pub from_version: ConfigVersion,
    /// Operator that made the change.
    pub operator: Box<str>,
    /// Time of the change by the entry host's clock, in milliseconds since 1970.
    pub unix_ms: u64,
    /// Summary of the change.
    pub action: Box<str>,
}

/// Answer of `POST /v1/jobs`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Submitted {
    /// Id of the job.
    pub job: JobId,
    /// Whether the job runs beyond its customer's guarantees and can be reclaimed.
    pub borrowed: bool,
    /// Data centre that the job was assigned to, or `unassigned`.
    pub data_centre: DataCentreId,
}

/// Answer of `GET /v1/jobs/<id>` and `DELETE /v1/jobs/<id>`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobStatus {
    /// Id of the job.
    pub job: JobId,
    /// Customer of the job.
    pub customer: CustomerId,
    /// State stored in the table.
    pub state: JobState,
    /// Data centre of the job, or `unassigned`.
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
    /// State of the job or the reason why it waits, as text.
    pub reason: Box<str>,
    /// Workers that run the job's tasks, in the order of its members.
    pub workers: Vec<WorkerId>,
    /// Number of the customer's jobs ahead of it in the queue; `None` unless the job is queued.
    pub queue_position: Option<u32>,
    /// Whether the job runs beyond its customer's guarantees.
    pub borrowed: bool,
}
