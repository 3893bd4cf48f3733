//! Calls as received from callers, and the answers to them.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;

use crate::BackendAnswer;
use crate::OUTCOME_HEADER;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::RequestId;
use nutmegwalk_base::Result;
use nutmegwalk_base::ServiceId;
use nutmegwalk_net::REQUEST_ID_HEADER;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;
use nutmegwalk_net::SECRET_HEADER;

/// Request header that states whether the call may run more than once: `always` (repeatable) or `never`.
pub const REPEAT_HEADER: &str = "nutmegwalk-repeat";
/// Request header with the idempotency key of a request that is marked `never`.
pub const KEY_HEADER: &str = "nutmegwalk-key";
/// Request header with the time for which the caller waits for the answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "nutmegwalk-deadline-ms";
/// Maximum deadline of a call; longer ones are shortened to it.
const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// Whether a call may run more than once.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Repeat {
    /// Not marked: retried only if the previous attempt provably did not run.
    #[default]
    Unmarked,
    /// May run several times.
    Always,
    /// Runs at most once, even if the caller submits it again with the same key.
    Never {
        /// Idempotency key chosen by the caller, `<unix-ms>-<random>`.
        key: Box<str>,
    },
}

/// A call by an authenticated customer.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Request id of the caller.
    pub request_id: RequestId,
    /// Customer that calls.
    pub customer: CustomerId,
    /// Service that is called.
    pub service: ServiceId,
    /// HTTP method for the backend server.
    pub method: Box<str>,
    /// Path and query for the backend server.
    pub path: Box<str>,
    /// Headers for the backend server.
    pub headers: Vec<(Box<str>, Bytes)>,
    /// Body for the backend server.
    pub body: Bytes,
    /// Time for which the caller waits for the answer.
    pub deadline: Duration,
    /// Whether the call may run more than once.
    pub repeat: Repeat,
}

impl CallRequest {
    /// Creates a POST request with a new request id, [`Repeat::Unmarked`] and no headers.
    #[must_use]
    pub fn new(
        customer: impl Into<CustomerId>,
        service: impl Into<ServiceId>,
        path: impl Into<Box<str>>,
        body: impl Into<Bytes>,
        deadline: Duration,
    ) -> Self {
        Self {
            request_id: nutmegwalk_base::new_id("req"),
            customer: customer.into(),
            service: service.into(),
            method: "POST".into(),
            path: path.into(),
            headers: Vec::new(),
            body: body.into(),
            deadline,
            repeat: Repeat::Unmarked,
        }
    }

    /// Sets whether the call may run more than once.
    #[must_use]
    pub fn with_repeat(mut self, repeat: Repeat) -> Self {
        self.repeat = repeat;
        self
    }

    /// Parses a call of an authenticated customer from an HTTP request to `/call/<service>/<path>`.
    ///
    /// `default_deadline` returns the deadline of a service; it applies to a request without
    /// [`DEADLINE_HEADER`].
    ///
    /// # Errors
    /// `bad_request` when the path is malformed, or when a header that controls the call is malformed or
    /// occurs more than once.
    pub fn from_http(
        request: &Request,
        customer: impl Into<CustomerId>,
        default_deadline: impl FnOnce(&str) -> Duration,
    ) -> Result<Self> {
        let bad_request = |detail: &str| Error::new(ErrorKind::BadRequest, detail);
        let rest = request
            .path
            .strip_prefix("/call/")
            .ok_or_else(|| bad_request("the path of a call must start with /call/"))?;
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        if service.is_empty() {
            return Err(bad_request("the path of a call must contain a service"));
        }
        let mut path = format!("/{path}");
        if !request.query.is_empty() {
            path.push('?');
            path.push_str(&request.query);
        }
        let header = |name| control_header(request, name);
        let deadline = match header(DEADLINE_HEADER)? {
            Some(text) => text
                .parse()
                .ok()
                .filter(|deadline_ms| *deadline_ms > 0)
                .map(Duration::from_millis)
                .ok_or_else(|| bad_request("nutmegwalk-deadline-ms must be a positive integer"))?,
            None => default_deadline(service),
        };
        let repeat = match (header(REPEAT_HEADER)?, header(KEY_HEADER)?) {
            (None, None) => Repeat::Unmarked,
            (Some("always"), None) => Repeat::Always,
            (Some("never"), Some(key)) => Repeat::Never { key: key.into() },
            (Some("never"), None) => {
                return Err(bad_request(
                    "nutmegwalk-repeat: never requires nutmegwalk-key",
                ));
            }
            _ => {
                return Err(bad_request(
                    "nutmegwalk-repeat must be always without a key or never with a key",
                ));
            }
        };
        Ok(Self {
            request_id: request.request_id.clone(),
            customer: customer.into(),
            service: service.into(),
            method: request.method.as_str().into(),
            path: path.into(),
            headers: forwarded_headers(&request.headers, &["authorization"]),
            body: request.body.clone(),
            deadline: deadline.min(MAX_DEADLINE),
            repeat,
        })
    }
}

/// Returns the value of a header that controls the call.
///
/// A header that is not text or occurs twice is refused. Ignoring it, or using its first value, could
/// repeat a call that the caller marked as non-repeatable.
fn control_header<'a>(request: &'a Request, name: &str) -> Result<Option<&'a str>> {
    let mut values = request.headers.get_all(name).iter();
    let value = values.next().map(HeaderValue::to_str).transpose();
    match (value, values.next()) {
        (Ok(value), None) => Ok(value),
        _ => Err(Error::new(
            ErrorKind::BadRequest,
            format!("{name} must occur only once and must be text"),
        )),
    }
}

/// Returns the headers to forward: all except connection headers, headers of this system and those
/// in `excluded`.
pub(crate) fn forwarded_headers(
    headers: &http::HeaderMap,
    excluded: &[&str],
) -> Vec<(Box<str>, Bytes)> {
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name) && !excluded.contains(&name.as_str()))
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().into(), value)
        })
        .collect()
}

/// Returns whether a header is forwarded, which excludes connection headers and headers of this system.
pub(crate) fn is_forwarded(name: &HeaderName) -> bool {
    const CONNECTION_HEADERS: [&str; 11] = [
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    !CONNECTION_HEADERS.contains(&name.as_str())
        && name.as_str() != SECRET_HEADER
        && !name.as_str().starts_with("nutmegwalk-")
}

/// Answer to a call: the complete answer of a backend server, or an error.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// Request id of the caller.
    pub request_id: RequestId,
    /// Answer of the backend server, or the error with which the call ended.
    pub result: Result<BackendAnswer, Error>,
    /// Number of attempts that were sent to agents for this call.
    pub attempts: u32,
}

impl CallAnswer {
    /// Returns the outcome of the call.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match &self.result {
            Ok(_) => Outcome::Done,
            Err(error) => error.outcome(),
        }
    }

    /// Converts the answer into the HTTP response for the caller, with the outcome and the request id as
    /// headers.
    #[must_use]
    pub fn into_response(self) -> Response {
        let outcome = self.outcome();
        let response = match self.result {
            Ok(answer) => {
                let mut response = Response::new(answer.status, answer.body);
                for (name, value) in answer.headers {
                    let name = HeaderName::from_bytes(name.as_bytes());
                    let value = HeaderValue::from_maybe_shared(value);
                    if let (Ok(name), Ok(value)) = (name, value)
                        && is_forwarded(&name)
                    {
                        response.headers.append(name, value);
                    }
                }
                response
            }
            Err(error) => Response::error(&error),
        };
        response
            .with_header(OUTCOME_HEADER, outcome.name())
            .with_header(REQUEST_ID_HEADER, &self.request_id)
    }
}
