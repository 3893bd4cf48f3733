//! Rows of a job in the store.
//!
//! A job has up to four rows: the accepted job and the request to cancel it, each written once by an entry host, the
//! summary of its progress, written by the owner of its domain, and for a job with part rows a mark that it has ended,
//! written by the owner as well. An early cancellation is a row of a job that was not accepted, written by an entry host.

use serde::Deserialize;
use serde::Serialize;

use crate::JobSpec;
use crate::QueuePolicy;
use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::JobId;
use nutmegwalk_base::secret::token_digest;

/// Key prefix of all rows of jobs.
pub const JOB_PREFIX: &str = "job/";

/// Key prefix of the rows of early cancellations.
pub const EARLY_CANCEL_PREFIX: &str = "early-cancel/";
/// Number of hexadecimal digits that stand for the customer in the key of an early cancellation.
const CUSTOMER_DIGITS: usize = 32;

/// Returns the key of the row with which a customer cancels a job before it is accepted.
///
/// A job is accepted on the condition that its customer has no such row. That of another customer has no effect.
#[must_use]
pub fn early_cancel_key(job: &str, customer: Option<&str>) -> Box<str> {
    let digest = customer.map(token_digest).unwrap_or_default();
    let customer = digest.get(..CUSTOMER_DIGITS).unwrap_or_default();
    format!("{EARLY_CANCEL_PREFIX}{job}/{customer}").into_boxed_str()
}

/// An accepted job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    /// Customer that submitted the job; `None` on a queue that accepts requests without a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerId>,
    /// Queue that the job was submitted to.
    pub queue: Box<str>,
    /// Policy of the queue at acceptance, used if the queue is removed while the job exists.
    pub policy: QueuePolicy,
    /// Version of the configuration under which the job was accepted.
    pub config_version: ConfigVersion,
    /// Wall-clock time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// The job as submitted.
    pub spec: JobSpec,
}

/// Kind of a row of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobRow {
    /// The accepted job.
    Accepted,
    /// The submitter's request to cancel the job.
    Cancelled,
    /// Summary of the progress of the job.
    Progress,
    /// Mark that the job has ended. A cancellation depends on it where the summary changes all the time.
    Ended,
}

impl JobRow {
    /// Returns the last segment of the key.
    fn suffix(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Cancelled => "cancelled",
            Self::Progress => "progress",
            Self::Ended => "ended",
        }
    }

    /// Returns the key of this row of `job`.
    #[must_use]
    pub fn key(self, job: &str) -> Box<str> {
        format!("{JOB_PREFIX}{job}/{}", self.suffix()).into_boxed_str()
    }

    /// Returns the job and the kind of row that `key` names; `None` for other keys.
    #[must_use]
    pub fn parse(key: &str) -> Option<(JobId, Self)> {
        let (job, suffix) = key.strip_prefix(JOB_PREFIX)?.rsplit_once('/')?;
        let row = [Self::Accepted, Self::Cancelled, Self::Progress, Self::Ended]
            .into_iter()
            .find(|row| row.suffix() == suffix)?;
        Some((job.into(), row))
    }
}
