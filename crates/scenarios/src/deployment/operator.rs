//! Client of the entry hosts' HTTP interface for callers and operators.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_config::Configuration;
use nutmegwalk_net::Client;
use nutmegwalk_net::Response;
use nutmegwalk_node::api::DataCentreRequest;
use nutmegwalk_node::api::JobStatus;
use nutmegwalk_node::api::PublishRequest;
use nutmegwalk_node::api::Published;
use nutmegwalk_node::api::Status;
use nutmegwalk_node::api::Submitted;
use nutmegwalk_node::api::TakenOut;
use nutmegwalk_node::jobs::JobRequest;

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Client that sends requests with one token to the entry hosts, in order. It fails over to the next entry
/// host only when the request was not sent.
#[derive(Clone)]
pub struct ApiClient {
    client: Client,
    entries: Vec<SocketAddr>,
    authorization: Box<str>,
}

impl ApiClient {
    pub(crate) fn new(entries: Vec<SocketAddr>, token: &str) -> Result<Self> {
        Ok(Self {
            client: Client::new("caller", Secret::new(""))?,
            entries,
            authorization: format!("Bearer {token}").into(),
        })
    }

    /// Rotates the entry hosts so that the one with this index is tried first.
    #[must_use]
    pub fn with_first_entry(mut self, index: usize) -> Self {
        let count = self.entries.len().max(1);
        self.entries.rotate_left(index % count);
        self
    }

    /// Uses only the entry hosts with these indices, or all when there are none.
    #[must_use]
    pub fn with_entries(mut self, indices: &BTreeSet<usize>) -> Self {
        let entries = self.entries.iter().enumerate();
        let selected = entries.filter(|(index, _)| indices.contains(index));
        let selected: Vec<SocketAddr> = selected.map(|(_, entry)| *entry).collect();
        if !selected.is_empty() {
            self.entries = selected;
        }
        self
    }

    /// Uses only the entry host with this index.
    #[must_use]
    pub fn with_only_entry(mut self, index: usize) -> Self {
        self = self.with_first_entry(index);
        self.entries.truncate(1);
        self
    }

    /// Sends a request and returns the response of the first entry host that can be reached.
    ///
    /// # Errors
    /// `unreachable` when none can be reached, `unknown_outcome` when the answer was lost.
    pub async fn raw(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response> {
        let mut all_headers = vec![("authorization", &*self.authorization)];
        all_headers.extend_from_slice(headers);
        let mut last_error = Error::new(ErrorKind::Unreachable, "the client has no entry host");
        for entry in &self.entries {
            match self
                .client
                .request(
                    method.clone(),
                    *entry,
                    path,
                    &all_headers,
                    body.clone(),
                    REQUEST_TIMEOUT,
                )
                .await
            {
                Err(error) if error.kind == ErrorKind::Unreachable => last_error = error,
                result => return result,
            }
        }
        Err(last_error)
    }

    async fn json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T> {
        let response = self.raw(method, path, &[], body.into()).await?;
        decode(&response)
    }

    async fn post<B: Serialize, T: DeserializeOwned>(&self, path: &str, body: &B) -> Result<T> {
        self.json(
            Method::POST,
            path,
            serde_json::to_vec(body).unwrap_or_default(),
        )
        .await
    }

    /// Publishes `configuration` on top of the version `based_on`.
    ///
    /// # Errors
    /// The errors of the entry host.
    pub async fn publish(&self, configuration: &Configuration, based_on: u64) -> Result<Published> {
        let request = PublishRequest {
            based_on,
            configuration: configuration.clone(),
        };
        self.post("/v1/publish", &request).await
    }

    /// Takes a data centre out of service.
    ///
    /// # Errors
    /// The errors of the entry host.
    pub async fn take_out(&self, data_centre: &str) -> Result<TakenOut> {
        self.post(
            "/v1/take-out",
            &DataCentreRequest {
                data_centre: data_centre.into(),
                lost: false,
            },
        )
        .await
    }

    /// Returns a data centre to service.
    ///
    /// # Errors
    /// The errors of the entry host.
    pub async fn return_to_service(&self, data_centre: &str) -> Result<Published> {
        self.post(
            "/v1/return",
            &DataCentreRequest {
                data_centre: data_centre.into(),
                lost: false,
            },
        )
        .await
    }

    /// Returns the status: versions, processes and data centres.
    ///
    /// # Errors
    /// The errors of the entry host.
    pub async fn status(&self) -> Result<Status> {
        self.json(Method::GET, "/v1/status", Vec::new()).await
    }

    /// Returns whether the entry host is ready for callers, by the readiness probe of the platform's load balancer.
    pub async fn is_ready(&self) -> bool {
        let answer = self.raw(Method::GET, "/healthz", &[], Bytes::new()).await;
        answer.is_ok_and(|response| response.status == 200)
    }

    /// Returns the first page of the audit trail.
    ///
    /// # Errors
    /// The errors of the entry host.
    pub async fn audit(&self) -> Result<Vec<nutmegwalk_node::api::AuditEntry>> {
        self.json(Method::GET, "/v1/audit", Vec::new()).await
    }

    /// Submits a job.
    ///
    /// # Errors
    /// The errors of the entry host.
    pub async fn submit(&self, job: &JobRequest) -> Result<Submitted> {
        self.post("/v1/jobs", job).await
    }

    /// Submits a job under an idempotency key, so that a repeated submission does not create a second job.
    ///
    /// # Errors
    /// The errors of the entry host.
    pub async fn submit_once(&self, key: &str, job: &JobRequest) -> Result<Submitted> {
        let body = serde_json::to_vec(job).unwrap_or_default();
        let headers = [("nutmegwalk-key", key)];
        let response = self
            .raw(Method::POST, "/v1/jobs", &headers, body.into())
            .await?;
        decode(&response)
    }

    /// Returns the state of a job.
    ///
    /// # Errors
    /// The errors of the entry host.
    pub async fn job(&self, job: &str) -> Result<JobStatus> {
        self.json(Method::GET, &format!("/v1/jobs/{job}"), Vec::new())
            .await
    }

    /// Cancels a job.
    ///
    /// # Errors
    /// The errors of the entry host.
    pub async fn cancel(&self, job: &str) -> Result<JobStatus> {
        self.json(Method::DELETE, &format!("/v1/jobs/{job}"), Vec::new())
            .await
    }

    /// Makes a call to a service and returns the response, whatever its status.
    ///
    /// # Errors
    /// The errors of [`ApiClient::raw`].
    pub async fn call(
        &self,
        service: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response> {
        self.raw(Method::POST, &format!("/call/{service}/run"), headers, body)
            .await
    }

    /// Polls the status until `condition` holds; returns that status, or `None` after `limit`.
    pub async fn wait_for_status(
        &self,
        limit: Duration,
        condition: impl Fn(&Status) -> bool,
    ) -> Option<Status> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Ok(status) = self.status().await
                && condition(&status)
            {
                return Some(status);
            }
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        None
    }

    /// Polls a job until it has ended; returns its final status, or `None` after `limit`.
    pub async fn wait_for_end(&self, job: &str, limit: Duration) -> Option<JobStatus> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Ok(status) = self.job(job).await
                && status.state.is_final()
            {
                return Some(status);
            }
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        None
    }
}

fn decode<T: DeserializeOwned>(response: &Response) -> Result<T> {
    let malformed =
        |error: serde_json::Error| Error::new(ErrorKind::UnknownOutcome, error.to_string());
    if response.status == 200 {
        return serde_json::from_slice(&response.body).map_err(malformed);
    }
    Err(serde_json::from_slice(&response.body).map_err(malformed)?)
}
