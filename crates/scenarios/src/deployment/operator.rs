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

/// Time for one exchange.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Sends requests with one token to the entry hosts; the next one is tried when nothing was sent.
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

    /// Puts the entry host with this index first.
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
        let chosen = entries.filter(|(index, _)| indices.contains(index));
        let chosen: Vec<SocketAddr> = chosen.map(|(_, entry)| *entry).collect();
        if !chosen.is_empty() {
            self.entries = chosen;
        }
        self
    }

    /// Asks the entry host with this index only.
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
        let mut last_error = Error::new(ErrorKind::Unreachable, "there is no entry host");
        for entry in &self.entries {
            match self
                .client
                .request(
                    method.clone(),
                    *entry,
                    path,
                    &all_headers,
                    body.clone(),
                    TIMEOUT,
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
    /// Those of the entry host.
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
    /// Those of the entry host.
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
    /// Those of the entry host.
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

    /// Returns versions, processes and data centres.
    ///
    /// # Errors
    /// Those of the entry host.
    pub async fn status(&self) -> Result<Status> {
        self.json(Method::GET, "/v1/status", Vec::new()).await
    }

    /// Returns whether the entry host takes callers, as the platform's balancer asks it.
    pub async fn is_ready(&self) -> bool {
        let answer = self.raw(Method::GET, "/healthz", &[], Bytes::new()).await;
        answer.is_ok_and(|response| response.status == 200)
    }

    /// Returns the number of changes in the audit trail, at most one page of it.
    ///
    /// # Errors
    /// Those of the entry host.
    pub async fn audit(&self) -> Result<Vec<nutmegwalk_node::api::AuditEntry>> {
        self.json(Method::GET, "/v1/audit", Vec::new()).await
    }

    /// Submits a job.
    ///
    /// # Errors
    /// Those of the entry host.
    pub async fn submit(&self, job: &JobRequest) -> Result<Submitted> {
        self.post("/v1/jobs", job).await
    }

    /// Submits a job under a key, so that it can be submitted again without becoming two jobs.
    ///
    /// # Errors
    /// Those of the entry host.
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
    /// Those of the entry host.
    pub async fn job(&self, job: &str) -> Result<JobStatus> {
        self.json(Method::GET, &format!("/v1/jobs/{job}"), Vec::new())
            .await
    }

    /// Cancels a job.
    ///
    /// # Errors
    /// Those of the entry host.
    pub async fn cancel(&self, job: &str) -> Result<JobStatus> {
        self.json(Method::DELETE, &format!("/v1/jobs/{job}"), Vec::new())
            .await
    }

    /// Makes a call to a service and returns the whole response.
    ///
    /// # Errors
    /// As for [`ApiClient::raw`].
    pub async fn call(
        &self,
        service: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response> {
        self.raw(Method::POST, &format!("/call/{service}/run"), headers, body)
            .await
    }

    /// Waits until `reached` holds for the status; returns the last status, or none after `limit`.
    pub async fn wait_for_status(
        &self,
        limit: Duration,
        reached: impl Fn(&Status) -> bool,
    ) -> Option<Status> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Ok(status) = self.status().await
                && reached(&status)
            {
                return Some(status);
            }
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        None
    }

    /// Waits until a job has ended; returns its last state, or none after `limit`.
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
