//! Interface between an agent and the platform's worker.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;

use nutmegwalk_base::CustomerId;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;

/// Identifies one attempt to run a gang; a later attempt, also by another owner, is greater.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Attempt {
    /// Epoch of the owner that started the attempt.
    pub epoch: Epoch,
    /// Number of the attempt within the epoch.
    pub sequence: u64,
}

/// Data that a worker stores with a task, from which a restarted agent rebuilds its state.
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
    /// Whether the task uses resources beyond its customer's guarantee, which can be reclaimed.
    pub borrowed: bool,
    /// For member 0, the addresses of the agents of all members, indexed by member; for other members,
    /// only the lead's address. The first entry is the lead in both cases.
    pub agents: Vec<std::net::SocketAddr>,
    /// Processor cores reserved for the task.
    pub cores: u32,
    /// Memory reserved for the task, in megabytes.
    pub memory_mb: u64,
    /// Accelerators reserved for the task.
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
    /// The task ended by itself and succeeded.
    Finished,
    /// The task ended by itself with an error.
    Failed,
    /// The task was stopped by a command or because its lease lapsed.
    Stopped,
}

/// Status of a task as reported by its worker; the memory usage may be older than the rest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskStatus {
    /// Metadata passed at the start.
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

/// Commands of the platform's worker; each platform has its own implementation.
///
/// A worker stops a task by itself when the task's lease lapses.
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

    /// Limits a task to `share_percent` of its processor time.
    fn throttle<'a>(
        &'a self,
        job: &'a str,
        attempt: Attempt,
        member: u32,
        share_percent: u32,
    ) -> LocalBoxFuture<'a, Result<()>>;

    /// Stops a task and removes it from the list once it has ended.
    fn stop<'a>(
        &'a self,
        job: &'a str,
        attempt: Attempt,
        member: u32,
    ) -> LocalBoxFuture<'a, Result<()>>;

    /// Lists all tasks, including ended ones that were not removed by [`WorkerApi::stop`].
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<TaskStatus>>>;
}
