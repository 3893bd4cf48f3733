//! HTTP client for messages to the system's own processes and for plain requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;

use crate::Connection;
use crate::Fault;
use crate::LinkFaults;
use crate::Message;
use crate::Response;
use crate::SECRET_HEADER;
use crate::decode;
use crate::encode;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::secret::Secret;

/// Largest declared response body that the client accepts, in bytes.
pub(crate) const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// The HTTP client of one process; clones share a connection pool.
#[derive(Clone)]
pub struct Client {
    http: cyper::Client,
    process: Box<str>,
    pub(crate) secret: Secret,
    faults: Option<Arc<dyn LinkFaults>>,
}

impl Client {
    /// Creates a client for the process named `process`.
    ///
    /// # Errors
    /// `internal` when the HTTP client cannot be set up.
    pub fn new(process: impl Into<Box<str>>, secret: Secret) -> Result<Self> {
        let http = cyper::ClientBuilder::new()
            .no_proxy()
            .build()
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
        Ok(Self {
            http,
            process: process.into(),
            secret,
            faults: None,
        })
    }

    /// Injects faults into the exchanges of this client, for tests.
    #[must_use]
    pub fn with_faults(mut self, faults: Arc<dyn LinkFaults>) -> Self {
        self.faults = Some(faults);
        self
    }

    /// Returns the name of the sending process.
    #[must_use]
    pub fn process(&self) -> &str {
        &self.process
    }

    /// Sends `message` to `to` and waits for the answer.
    ///
    /// # Errors
    /// `unreachable` when nothing was sent; `unknown_outcome` when the request may have been sent and no complete
    /// answer arrived within `timeout`; otherwise the error that the peer returned.
    pub async fn send<M: Message>(
        &self,
        to: SocketAddr,
        message: &M,
        timeout: Duration,
    ) -> Result<M::Answer> {
        let response = self
            .request(Method::POST, to, M::PATH, &[], encode(message)?, timeout)
            .await?;
        if response.status == 200 {
            return decode(&response.body).map_err(|error| {
                Error::new(
                    ErrorKind::UnknownOutcome,
                    format!("{to}{}: {error}", M::PATH),
                )
            });
        }
        Err(decode(&response.body).unwrap_or_else(|_| {
            Error::new(
                ErrorKind::UnknownOutcome,
                format!("{to}{} answered status {}", M::PATH, response.status),
            )
        }))
    }

    /// Sends a plain HTTP request with the shared secret and returns the complete response.
    ///
    /// # Errors
    /// `unreachable` or `unknown_outcome`, as for [`Client::send`].
    pub async fn request(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response> {
        let exchange = self.exchange(method, to, path, headers, body);
        self.run_exchange(to, path, timeout, exchange).await
    }

    /// Opens a connection to `to` that is used for one request at a time, and for none after it has been closed.
    ///
    /// # Errors
    /// `unreachable` when it is not established within `timeout`.
    pub async fn connect(&self, to: SocketAddr, timeout: Duration) -> Result<Connection> {
        match compio::time::timeout(timeout, Connection::open(self.clone(), to)).await {
            Ok(result) => result,
            Err(_) => {
                let detail = format!("{to} did not accept a connection in {timeout:?}");
                Err(Error::new(ErrorKind::Unreachable, detail))
            }
        }
    }

    /// Runs an exchange within `timeout`, with the fault that is injected into it.
    pub(crate) async fn run_exchange(
        &self,
        to: SocketAddr,
        path: &str,
        timeout: Duration,
        exchange: impl Future<Output = Result<Response>>,
    ) -> Result<Response> {
        let fault = self
            .faults
            .as_ref()
            .map_or(Fault::None, |faults| faults.fault(&self.process, to, path));
        match fault {
            Fault::Unreachable => {
                return Err(Error::new(
                    ErrorKind::Unreachable,
                    format!("{to} is unreachable"),
                ));
            }
            Fault::Delay(delay) => compio::time::sleep(delay).await,
            Fault::None | Fault::LoseAnswer => {}
        }
        let result = match compio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::new(
                ErrorKind::UnknownOutcome,
                format!("{to}{path} did not answer in {timeout:?}"),
            )),
        };
        if fault == Fault::LoseAnswer {
            return Err(Error::new(
                ErrorKind::UnknownOutcome,
                format!("the answer of {to}{path} was lost"),
            ));
        }
        result
    }

    async fn exchange(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response> {
        let url = format!("http://{to}{path}");
        let invalid = |error: cyper::Error| Error::new(ErrorKind::BadRequest, error.to_string());
        let mut request = self.http.request(method, url.as_str()).map_err(invalid)?;
        if !self.secret.is_empty() {
            request = request
                .header(SECRET_HEADER, self.secret.expose())
                .map_err(invalid)?;
        }
        for (name, value) in headers {
            request = request.header(*name, *value).map_err(invalid)?;
        }
        let response = request
            .body(body)
            .send()
            .await
            .map_err(|error| classify(to, path, &error))?;
        if response
            .content_length()
            .is_some_and(|length_bytes| length_bytes > MAX_ANSWER_BYTES)
        {
            return Err(Error::new(
                ErrorKind::UnknownOutcome,
                format!("the answer of {to}{path} is too large"),
            ));
        }
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body = response.bytes().await.map_err(|error| {
            Error::new(
                ErrorKind::UnknownOutcome,
                format!("the answer of {to}{path} was truncated: {error}"),
            )
        })?;
        Ok(Response {
            status,
            headers,
            body,
        })
    }
}

/// Maps an HTTP client error: `unreachable` when the connection failed, so that nothing was sent, otherwise
/// `unknown_outcome`.
fn classify(to: SocketAddr, path: &str, error: &cyper::Error) -> Error {
    let kind = match error {
        cyper::Error::HyperClient(client) if client.is_connect() => ErrorKind::Unreachable,
        _ => ErrorKind::UnknownOutcome,
    };
    Error::new(kind, format!("{to}{path}: {error}"))
}
