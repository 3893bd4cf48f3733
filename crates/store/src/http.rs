//! Client of the platform's table and object store over HTTP with JSON bodies.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use ::http::Method;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ObjectStore;
use crate::Row;
use crate::TableStore;
use crate::Transaction;
use crate::TransactionOutcome;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::Result;
use nutmegwalk_net::Client;
use nutmegwalk_net::Response;

/// Header with the name of the process that sends a request to the platform.
pub const PROCESS_HEADER: &str = "nutmegwalk-process";

/// Default timeout of one request to the platform.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Body of `POST /table/get`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GetRequest {
    /// Keys of the rows to read.
    pub keys: Vec<Box<str>>,
}

/// Body of `POST /table/scan`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ScanRequest {
    /// Prefix of the keys to read.
    pub prefix: Box<str>,
    /// Only keys greater than this are read.
    pub after: Box<str>,
    /// Maximum number of rows in the response.
    pub limit: usize,
}

/// The platform's table and object store.
#[derive(Clone)]
pub struct HttpStore {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

/// Kind of access of a request. A lost response leaves the outcome of a write unknown.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Access {
    Read,
    Write,
}

impl HttpStore {
    /// Creates an adapter for the platform at `address`.
    #[must_use]
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self {
            client,
            address,
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Sets the timeout of one request.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        access: Access,
    ) -> Result<Response> {
        let process = self.client.process().to_owned();
        let headers = [
            ("content-type", "application/json"),
            (PROCESS_HEADER, process.as_str()),
        ];
        self.client
            .request(method, self.address, path, &headers, body, self.timeout)
            .await
            .map_err(|error| map_request_error(&error, access))
    }

    async fn call<A: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
        access: Access,
    ) -> Result<A> {
        let body = serde_json::to_vec(request)
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
        let response = self
            .exchange(Method::POST, path, body.into(), access)
            .await?;
        if response.status != 200 {
            return Err(map_error_response(path, &response, access));
        }
        serde_json::from_slice(&response.body).map_err(|error| {
            let detail = format!("malformed response of the platform to {path}: {error}");
            Error::new(lost_response_kind(access), detail)
        })
    }
}

/// Returns the kind of the error for a request whose response is lost or unusable.
fn lost_response_kind(access: Access) -> ErrorKind {
    match access {
        Access::Read => ErrorKind::StoreUnavailable,
        Access::Write => ErrorKind::StoreUnknown,
    }
}

/// Maps an error of a request: nothing was executed, or the response was lost.
fn map_request_error(error: &Error, access: Access) -> Error {
    let kind = match error.outcome() {
        Outcome::NotRun => ErrorKind::StoreUnavailable,
        Outcome::Done | Outcome::Unknown => lost_response_kind(access),
    };
    Error {
        kind,
        detail: error.detail.clone(),
        retry_after_ms: error.retry_after_ms,
    }
}

/// Maps an error response of the platform.
fn map_error_response(path: &str, response: &Response, access: Access) -> Error {
    if let Ok(error) = serde_json::from_slice::<Error>(&response.body) {
        // Retrying a request that was rejected because of its content cannot succeed.
        let is_permanent = matches!(
            error.kind,
            ErrorKind::BadRequest
                | ErrorKind::Forbidden
                | ErrorKind::TooLarge
                | ErrorKind::Unauthenticated
        );
        return if is_permanent {
            error
        } else {
            map_request_error(&error, access)
        };
    }
    let detail = format!(
        "the platform responded to {path} with status {}",
        response.status
    );
    Error::new(lost_response_kind(access), detail)
}

/// Returns the path of an object; bytes that a path cannot contain are percent-encoded.
fn object_path(name: &str) -> String {
    let mut path = String::from("/objects/");
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            path.push(char::from(byte));
        } else {
            let _ = write!(path, "%{byte:02X}");
        }
    }
    path
}

impl TableStore for HttpStore {
    fn transact<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<TransactionOutcome>> {
        self.call("/table/transact", transaction, Access::Write)
            .boxed_local()
    }

    fn get<'a>(&'a self, keys: &'a [Box<str>]) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>>> {
        async move {
            let request = GetRequest {
                keys: keys.to_vec(),
            };
            let rows: Vec<Option<Row>> = self.call("/table/get", &request, Access::Read).await?;
            if rows.len() != keys.len() {
                let detail = format!(
                    "the platform returned {} rows for {} keys",
                    rows.len(),
                    keys.len()
                );
                return Err(Error::new(ErrorKind::StoreUnavailable, detail));
            }
            Ok(rows)
        }
        .boxed_local()
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>>> {
        async move {
            let request = ScanRequest {
                prefix: prefix.into(),
                after: after.into(),
                limit,
            };
            self.call("/table/scan", &request, Access::Read).await
        }
        .boxed_local()
    }
}

impl ObjectStore for HttpStore {
    fn put_object<'a>(&'a self, name: &'a str, content: Bytes) -> LocalBoxFuture<'a, Result<()>> {
        async move {
            let path = object_path(name);
            let response = self
                .exchange(Method::PUT, &path, content, Access::Write)
                .await?;
            match response.status {
                200 | 201 | 204 => Ok(()),
                _ => Err(map_error_response(&path, &response, Access::Write)),
            }
        }
        .boxed_local()
    }

    fn get_object<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<Option<Bytes>>> {
        async move {
            let path = object_path(name);
            let response = self
                .exchange(Method::GET, &path, Bytes::new(), Access::Read)
                .await?;
            match response.status {
                200 => Ok(Some(response.body)),
                404 => Ok(None),
                _ => Err(map_error_response(&path, &response, Access::Read)),
            }
        }
        .boxed_local()
    }
}
