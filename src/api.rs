//! Client of an entry host's HTTP interface.

use std::time::Duration;

use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::cli::Connection;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_net::Client;

/// Timeout of one exchange; longer than the deadline of the slowest operation on the entry host.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Sends requests to the first entry host that can be reached.
pub(crate) struct EntryApi {
    client: Client,
    connection: Connection,
}

impl EntryApi {
    /// Creates a client for `connection`.
    pub(crate) fn new(connection: Connection) -> Result<Self> {
        // The shared secret is for the system's own processes only; operators and callers authenticate with tokens.
        let client = Client::new("nutmegwalk", Secret::new(""))?;
        Ok(Self { client, connection })
    }

    /// Returns whether results are printed as JSON.
    pub(crate) fn json(&self) -> bool {
        self.connection.json
    }

    /// Sends a GET request for `path`.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.exchange(Method::GET, path, &[], Vec::new()).await
    }

    /// Sends a DELETE request for `path`.
    pub(crate) async fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.exchange(Method::DELETE, path, &[], Vec::new()).await
    }

    /// Sends `body` as JSON in a POST request to `path`.
    pub(crate) async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: &B,
    ) -> Result<T> {
        let body = serde_json::to_vec(body).map_err(|error| {
            Error::new(
                ErrorKind::Internal,
                format!("cannot encode the request: {error}"),
            )
        })?;
        self.exchange(Method::POST, path, headers, body).await
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<T> {
        let authorization = format!("Bearer {}", self.connection.token.expose());
        let mut all_headers = vec![
            ("authorization", authorization.as_str()),
            ("content-type", "application/json"),
        ];
        all_headers.extend_from_slice(headers);
        let mut last_error = Error::new(ErrorKind::Unreachable, "no entry host is given");
        for entry in &self.connection.entries {
            let sent = self
                .client
                .request(
                    method.clone(),
                    *entry,
                    path,
                    &all_headers,
                    body.clone().into(),
                    TIMEOUT,
                )
                .await;
            match sent {
                Ok(response) if response.status == 200 => {
                    return serde_json::from_slice(&response.body).map_err(|error| {
                        Error::new(ErrorKind::UnknownOutcome, format!("{entry}{path}: {error}"))
                    });
                }
                Ok(response) => {
                    return Err(serde_json::from_slice(&response.body).unwrap_or_else(|_| {
                        Error::new(
                            ErrorKind::UnknownOutcome,
                            format!("{entry}{path}: status {}", response.status),
                        )
                    }));
                }
                // The next entry host is tried only when nothing was sent to this one.
                Err(error) if error.kind == ErrorKind::Unreachable => last_error = error,
                Err(error) => return Err(error),
            }
        }
        Err(last_error)
    }
}
