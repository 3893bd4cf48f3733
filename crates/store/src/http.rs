//! Table and object store of the platform over HTTP with JSON bodies.

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

/// Header that names the process that sends a request to the platform.
pub const PROCESS_HEADER: &str = "nutmegwalk-process";

/// Time for one exchange with the platform.
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
    /// Largest number of rows in the answer.
    pub limit: usize,
}

/// The platform's table and object store.
#[derive(Clone)]
pub struct HttpStore {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

/// Whether a lost answer leaves the outcome open.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Effect {
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

    /// Sets the time for one exchange.
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
        effect: Effect,
    ) -> Result<Response> {
        let process = self.client.process().to_owned();
        let headers = [
            ("content-type", "application/json"),
            (PROCESS_HEADER, process.as_str()),
        ];
        self.client
            .request(method, self.address, path, &headers, body, self.timeout)
            .await
            .map_err(|error| store_error(&error, effect))
    }

    async fn call<A: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
        effect: Effect,
    ) -> Result<A> {
        let body = serde_json::to_vec(request)
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
        let response = self
            .exchange(Method::POST, path, body.into(), effect)
            .await?;
        if response.status != 200 {
            return Err(status_error(path, &response, effect));
        }
        serde_json::from_slice(&response.body).map_err(|error| {
            let detail = format!("malformed answer of the platform to {path}: {error}");
            Error::new(lost_answer_kind(effect), detail)
        })
    }
}

fn lost_answer_kind(effect: Effect) -> ErrorKind {
    match effect {
        Effect::Read => ErrorKind::StoreUnavailable,
        Effect::Write => ErrorKind::StoreUnknown,
    }
}

/// Maps an error of the exchange: nothing was sent, or the answer was lost.
fn store_error(error: &Error, effect: Effect) -> Error {
    let kind = match error.outcome() {
        Outcome::NotRun => ErrorKind::StoreUnavailable,
        Outcome::Done | Outcome::Unknown => lost_answer_kind(effect),
    };
    Error {
        kind,
        detail: error.detail.clone(),
        retry_after_ms: error.retry_after_ms,
    }
}

/// Maps an error that the platform answered.
fn status_error(path: &str, response: &Response, effect: Effect) -> Error {
    if let Ok(error) = serde_json::from_slice::<Error>(&response.body) {
        // A repeat of a request that is refused for its content cannot succeed.
        let permanent = matches!(
            error.kind,
            ErrorKind::BadRequest
                | ErrorKind::Forbidden
                | ErrorKind::TooLarge
                | ErrorKind::Unauthenticated
        );
        return if permanent {
            error
        } else {
            store_error(&error, effect)
        };
    }
    let detail = format!(
        "the platform answered {path} with status {}",
        response.status
    );
    Error::new(lost_answer_kind(effect), detail)
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
        self.call("/table/transact", transaction, Effect::Write)
            .boxed_local()
    }

    fn get<'a>(&'a self, keys: &'a [Box<str>]) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>>> {
        async move {
            let request = GetRequest {
                keys: keys.to_vec(),
            };
            let rows: Vec<Option<Row>> = self.call("/table/get", &request, Effect::Read).await?;
            if rows.len() != keys.len() {
                let detail = format!("{} rows for {} keys", rows.len(), keys.len());
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
            self.call("/table/scan", &request, Effect::Read).await
        }
        .boxed_local()
    }
}

impl ObjectStore for HttpStore {
    fn put_object<'a>(&'a self, name: &'a str, content: Bytes) -> LocalBoxFuture<'a, Result<()>> {
        async move {
            let path = object_path(name);
            let response = self
                .exchange(Method::PUT, &path, content, Effect::Write)
                .await?;
            match response.status {
                200 | 201 | 204 => Ok(()),
                _ => Err(status_error(&path, &response, Effect::Write)),
            }
        }
        .boxed_local()
    }

    fn get_object<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<Option<Bytes>>> {
        async move {
            let path = object_path(name);
            let response = self
                .exchange(Method::GET, &path, Bytes::new(), Effect::Read)
                .await?;
            match response.status {
                200 => Ok(Some(response.body)),
                404 => Ok(None),
                _ => Err(status_error(&path, &response, Effect::Read)),
            }
        }
        .boxed_local()
    }
}
