//! [`WorkerApi`] over HTTP with JSON bodies.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Attempt;
use crate::TaskMetadata;
use crate::TaskStatus;
use crate::WorkerApi;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;
use nutmegwalk_net::Client;

/// Timeout of one command; shorter than the interval of a gang's lease renewals.
const DEFAULT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of a checkpoint, which writes the task's state; callers apply shorter limits themselves.
const CHECKPOINT_TIMEOUT: Duration = Duration::from_secs(30);

/// Body of `POST /workers/<name>/start`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StartTask {
    /// Task to start.
    pub task: TaskMetadata,
    /// Duration of the lease, in milliseconds.
    pub lease_ms: u64,
}

/// Identifies one task. Body of `POST /workers/<name>/checkpoint` and `stop`, and part of the bodies of
/// `renew` and `throttle`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TaskKey {
    /// Job of the task.
    pub job: JobId,
    /// Attempt of the gang.
    pub attempt: Attempt,
    /// Index of the member within the gang.
    pub member: u32,
}

/// Body of `POST /workers/<name>/renew`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RenewTask {
    /// Task to renew.
    pub task: TaskKey,
    /// Duration of the lease, in milliseconds.
    pub lease_ms: u64,
}

/// Body of `POST /workers/<name>/throttle`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ThrottleTask {
    /// Task to throttle.
    pub task: TaskKey,
    /// Share of its processor time that the task keeps, in percent.
    pub share_percent: u32,
}

/// Answer to `POST /workers/<name>/checkpoint`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct CheckpointAnswer {
    /// Work contained in the checkpoint, in milliseconds.
    pub checkpoint_ms: u64,
}

/// Client of one worker.
#[derive(Clone)]
pub struct HttpWorker {
    client: Client,
    address: SocketAddr,
    worker: WorkerId,
    timeout: Duration,
}

impl HttpWorker {
    /// Creates a client for the worker named `worker` of the platform at `address`.
    #[must_use]
    pub fn new(client: Client, address: SocketAddr, worker: impl Into<WorkerId>) -> Self {
        Self {
            client,
            address,
            worker: worker.into(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Sets the timeout of all commands other than a checkpoint.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    async fn command<A: DeserializeOwned>(
        &self,
        command: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<A> {
        let internal = |detail: String| Error::new(ErrorKind::Internal, detail);
        let path = format!("/workers/{}/{command}", self.worker);
        let body = serde_json::to_vec(body).map_err(|error| internal(error.to_string()))?;
        let method = "POST"
            .parse()
            .map_err(|_| internal("POST is not a method".into()))?;
        let headers = [("content-type", "application/json")];
        let response = self
            .client
            .request(
                method,
                self.address,
                &path,
                &headers,
                Bytes::from(body),
                timeout,
            )
            .await?;
        let unknown = |detail: String| Error::new(ErrorKind::UnknownOutcome, detail);
        if response.status == 200 {
            return serde_json::from_slice(&response.body)
                .map_err(|error| unknown(format!("malformed answer to {path}: {error}")));
        }
        Err(serde_json::from_slice(&response.body)
            .unwrap_or_else(|_| unknown(format!("{path} answered status {}", response.status))))
    }
}

fn task_key(job: &str, attempt: Attempt, member: u32) -> TaskKey {
    TaskKey {
        job: job.into(),
        attempt,
        member,
    }
}

fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl WorkerApi for HttpWorker {
    fn worker(&self) -> &WorkerId {
        &self.worker
    }

    fn start<'a>(
        &'a self,
        task: &'a TaskMetadata,
        lease: Duration,
    ) -> LocalBoxFuture<'a, Result<()>> {
        async move {
            let body = StartTask {
                task: task.clone(),
                lease_ms: as_ms(lease),
            };
            self.command("start", &body, self.timeout).await
        }
        .boxed_local()
    }

    fn renew<'a>(
        &'a self,
        job: &'a str,
        attempt: Attempt,
        member: u32,
        lease: Duration,
    ) -> LocalBoxFuture<'a, Result<()>> {
        async move {
            let body = RenewTask {
                task: task_key(job, attempt, member),
                lease_ms: as_ms(lease),
            };
            self.command("renew", &body, self.timeout).await
        }
        .boxed_local()
    }

    fn checkpoint<'a>(
        &'a self,
        job: &'a str,
        attempt: Attempt,
        member: u32,
    ) -> LocalBoxFuture<'a, Result<u64>> {
        async move {
            let body = task_key(job, attempt, member);
            let answer: CheckpointAnswer = self
                .command("checkpoint", &body, CHECKPOINT_TIMEOUT)
                .await?;
            Ok(answer.checkpoint_ms)
        }
        .boxed_local()
    }

    fn throttle<'a>(
        &'a self,
        job: &'a str,
        attempt: Attempt,
        member: u32,
        share_percent: u32,
    ) -> LocalBoxFuture<'a, Result<()>> {
        async move {
            let body = ThrottleTask {
                task: task_key(job, attempt, member),
                share_percent,
            };
            self.command("throttle", &body, self.timeout).await
        }
        .boxed_local()
    }

    fn stop<'a>(
        &'a self,
        job: &'a str,
        attempt: Attempt,
        member: u32,
    ) -> LocalBoxFuture<'a, Result<()>> {
        async move {
            let body = task_key(job, attempt, member);
            self.command("stop", &body, self.timeout).await
        }
        .boxed_local()
    }

    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<TaskStatus>>> {
        self.command("list", &(), self.timeout).boxed_local()
    }
}
