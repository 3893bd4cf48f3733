//! The platform's worker, as an agent sees it.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;

use nutmegwalk_base::CustomerId;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;

/// Identifies one attempt to run a gang; a later attempt of any owner is greater.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Attempt {
    /// Epoch of the owner that started the attempt.
    pub epoch: Epoch,
    /// Number of the attempt within the epoch.
    pub sequence: u64,
}

/// What a worker keeps with a task, so that an agent that restarts can rebuild its state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskMetadata {
    /// Job of the task.
    pub job: JobId,
    /// Attempt of the gang.
    pub attempt: Attempt,
    /// Index of the member within the gang.
    pub member: u32,
    /// Customer of the job.
    pub customer: CustomerId,
    /// Whether the task runs beyond its customer's guarantee and can be reclaimed.
    pub borrowed: bool,
    /// At member 0 the addresses of the agents of all members, indexed by member; at the others the
    /// lead's address only. The first is the lead in both cases.
    pub agents: Vec<std::net::SocketAddr>,
    /// Processor cores set aside for the task.
    pub cores: u32,
    /// Memory set aside for the task, in megabytes.
    pub memory_mb: u64,
    /// Accelerators set aside for the task.
    pub accelerators: u32,
    /// Payload of the job, passed to the program that runs.
    pub payload: Box<str>,
    /// Work done at the checkpoint to resume from, in milliseconds.
    pub checkpoint_ms: u64,
}

/// State of a task on a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task runs.
    Running,
    /// The task ended by itself with success.
    Finished,
    /// The task ended by itself with an error.
    Failed,
    /// The task was stopped by a command or because its lease lapsed.
    Stopped,
}

/// A task as its worker reports it; the usage lags.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskStatus {
    /// What was given at the start.
    pub metadata: TaskMetadata,
    /// State of the task.
    pub state: TaskState,
    /// Work done since the first start of the job, in milliseconds.
    pub progress_ms: u64,
    /// Work contained in the last checkpoint, in milliseconds.
    pub checkpoint_ms: u64,
    /// Memory in use at the last usage report, in megabytes.
    pub used_memory_mb: u64,
}

/// Commands that the platform's worker takes; implemented once for each platform.
///
/// A worker stops a task whose lease lapsed by itself.
pub trait WorkerApi {
    /// Returns the worker's name.
    fn worker(&self) -> &WorkerId;

    /// Starts a task under a lease. Starting the same member of the same attempt again has no effect.
    fn start<'a>(
        &'a self,
        task: &'a TaskMetadata,
        lease: Duration,
    ) -> LocalBoxFuture<'a, Result<()>>;

    /// Extends the lease of a running task.
    fn renew<'a>(
        &'a self,
        job: &'a str,
        attempt: Attempt,
        member: u32,
        lease: Duration,
    ) -> LocalBoxFuture<'a, Result<()>>;

    /// Writes a checkpoint and returns the work that it contains, in milliseconds.
    fn checkpoint<'a>(
        &'a self,
        job: &'a str,
        attempt: Attempt,
        member: u32,
    ) -> LocalBoxFuture<'a, Result<u64>>;

    /// Slows a task down to `share_percent` of its processor time.
    fn throttle<'a>(
        &'a self,
        job: &'a str,
        attempt: Attempt,
        member: u32,
        share_percent: u32,
    ) -> LocalBoxFuture<'a, Result<()>>;

    /// Stops a task and forgets it once it has ended.
    fn stop<'a>(
        &'a self,
        job: &'a str,
        attempt: Attempt,
        member: u32,
    ) -> LocalBoxFuture<'a, Result<()>>;

    /// Lists all tasks, including ended ones that were not stopped or forgotten.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<TaskStatus>>>;
}
