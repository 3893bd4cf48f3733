//! Job rows of the table: created by an entry host at acceptance, updated by the owner of the job's data centre.

use serde::Deserialize;
use serde::Serialize;

use nutmegwalk_base::CustomerId;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::GuaranteeId;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_base::ServiceId;
use nutmegwalk_config::Adjacency;
use nutmegwalk_config::Configuration;
use nutmegwalk_config::WorkerShape;
use nutmegwalk_fleet::Placement;
use nutmegwalk_gang::Attempt;

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 1024;
/// Maximum size of a job's payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 16 << 10;
/// Home of jobs that the dispatcher has not assigned to a data centre yet.
pub const UNASSIGNED: &str = "unassigned";

/// Body of a job submission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// Service that the job belongs to.
    pub service: ServiceId,
    /// Number of tasks, which run together or not at all.
    pub tasks: u32,
    /// Resources of each task.
    pub shape: WorkerShape,
    /// Required proximity of the tasks.
    #[serde(default)]
    pub adjacency: Adjacency,
    /// Guarantee of the customer that the job uses; without one the job borrows capacity.
    #[serde(default)]
    pub guarantee: Option<GuaranteeId>,
    /// Run time that the caller expects, in milliseconds; only a hint to the planner.
    #[serde(default)]
    pub declared_run_ms: Option<u64>,
    /// Text passed to the program that the tasks run.
    #[serde(default)]
    pub payload: Box<str>,
}

impl JobRequest {
    /// Validates the request of `customer` against `configuration`.
    ///
    /// # Errors
    /// `bad_request`, `not_found` or `never_fits`; the detail names the invalid field.
    pub fn check(&self, customer: &str, configuration: &Configuration) -> Result<()> {
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(bad_request(format!(
                "tasks: {} is not between 1 and {MAX_TASKS}",
                self.tasks
            )));
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(bad_request(format!(
                "payload: longer than {MAX_PAYLOAD_BYTES} bytes"
            )));
        }
        if !configuration.services.contains_key(&self.service) {
            return Err(Error::new(
                ErrorKind::NotFound,
                format!("service: `{}` is not configured", self.service),
            ));
        }
        let Some(name) = &self.guarantee else {
            return Ok(());
        };
        let guarantee = configuration
            .customers
            .get(customer)
            .and_then(|customer| customer.guarantees.get(name))
            .ok_or_else(|| {
                Error::new(
                    ErrorKind::NotFound,
                    format!("guarantee: customer `{customer}` has no guarantee `{name}`"),
                )
            })?;
        let fits = self.tasks <= guarantee.workers
            && self.shape.accelerators <= guarantee.shape.accelerators
            && self.shape.cores <= guarantee.shape.cores
            && self.shape.memory_mb <= guarantee.shape.memory_mb;
        if fits {
            return Ok(());
        }
        let detail = format!(
            "guarantee: `{name}` holds {} members of {:?}, the job requires {} of {:?}",
            guarantee.workers, guarantee.shape, self.tasks, self.shape
        );
        Err(Error::new(ErrorKind::NeverFits, detail))
    }
}

fn bad_request(detail: String) -> Error {
    Error::new(ErrorKind::BadRequest, detail)
}

/// Durable state of a job, as stored in its row.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// The job was accepted; it is waiting or running.
    Accepted,
    /// The caller cancelled the job; some of its tasks may still have to be stopped.
    Cancelling,
    /// All tasks finished.
    Finished,
    /// The job failed and is not retried.
    Failed,
    /// The job was cancelled and none of its tasks runs.
    Cancelled,
}

impl JobState {
    /// Returns whether the job has ended; a final state never changes.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Finished | Self::Failed | Self::Cancelled)
    }
}

/// An attempt to run a job and the workers that it was placed on.
///
/// A new owner does not start the job again until this attempt is known to have ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunRecord {
    /// Identifies the attempt.
    pub attempt: Attempt,
    /// Workers with the number of tasks on each, in the order of the gang's members.
    pub placements: Vec<Placement>,
    /// Whether the job runs beyond its customer's guarantee.
    pub borrowed: bool,
}

/// Content of a job's row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    /// Id of the job.
    pub id: JobId,
    /// Customer that submitted the job.
    pub customer: CustomerId,
    /// The request as submitted.
    pub request: JobRequest,
    /// Durable state of the job.
    pub state: JobState,
    /// Data centre whose owner runs the job, or [`UNASSIGNED`].
    pub home: DataCentreId,
    /// Work contained in the last checkpoint, in milliseconds.
    pub checkpoint_ms: u64,
    /// Time of acceptance by the entry host's clock, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// Time of the end by the clock of the process that recorded it, in milliseconds since 1970.
    #[serde(default)]
    pub ended_unix_ms: Option<u64>,
    /// Why the job failed.
    #[serde(default)]
    pub error: Option<Error>,
    /// Attempt that may be running; written before its first command is sent.
    #[serde(default)]
    pub run: Option<RunRecord>,
}

/// Returns the key of a job's row.
#[must_use]
pub fn job_key(id: &str) -> Box<str> {
    format!("job/{id}").into()
}

/// Returns the key of the index row that lists a job under its home.
#[must_use]
pub fn home_key(home: &str, id: &str) -> Box<str> {
    format!("home/{home}/{id}").into()
}

/// Returns the key prefix of the index rows of a home.
#[must_use]
pub fn home_prefix(home: &str) -> Box<str> {
    format!("home/{home}/").into()
}

/// Encodes the content of a row as JSON.
///
/// # Errors
/// `internal` when the row cannot be encoded.
pub fn to_json<T: Serialize>(row: &T) -> Result<Box<str>> {
    serde_json::to_string(row)
        .map(Into::into)
        .map_err(|error| Error::new(ErrorKind::Internal, format!("cannot encode a row: {error}")))
}

/// Decodes the JSON content of the row with `key`.
///
/// # Errors
/// `internal` when the row is malformed; the detail names the key.
pub fn from_json<'a, T: Deserialize<'a>>(key: &str, value: &'a str) -> Result<T> {
    serde_json::from_str(value).map_err(|error| {
        Error::new(
            ErrorKind::Internal,
            format!("row {key} is malformed: {error}"),
        )
    })
}

/// Returns the wall-clock time in milliseconds since 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
