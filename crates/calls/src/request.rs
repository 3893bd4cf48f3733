//! A call as the caller makes it, and the answer to it.

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

/// Header with which a caller marks a request: `always` (repeatable) or `never`.
pub const REPEAT_HEADER: &str = "nutmegwalk-repeat";
/// Header with the key of a request that is marked `never`.
pub const KEY_HEADER: &str = "nutmegwalk-key";
/// Header with the time that the caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "nutmegwalk-deadline-ms";
/// Longest deadline that a caller may ask for.
const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// Whether a call may run more than once.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Repeat {
    /// Not marked: tried again only when it is proved not to have run.
    #[default]
    Unmarked,
    /// May run several times.
    Always,
    /// Runs at most once, also over repeats of the caller with the same key.
    Never {
        /// Key chosen by the caller, `<unix-ms>-<random>`.
        key: Box<str>,
    },
}

/// A call of an authenticated customer.
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
    /// Body.
    pub body: Bytes,
    /// Time until the caller needs the answer.
    pub deadline: Duration,
    /// Whether the call may run more than once.
    pub repeat: Repeat,
}

impl CallRequest {
    /// Creates an unmarked POST with a new request id.
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

    /// Reads a call from a request to `/call/<service>/<path>` of an authenticated customer.
    ///
    /// `default_deadline` gives the deadline of a service for a request that names none.
    ///
    /// # Errors
    /// `bad_request` when the path or one of the call's own headers is malformed.
    pub fn from_http(
        request: &Request,
        customer: impl Into<CustomerId>,
        default_deadline: impl FnOnce(&str) -> Duration,
    ) -> Result<Self> {
        let bad = |detail: &str| Error::new(ErrorKind::BadRequest, detail);
        let rest = request
            .path
            .strip_prefix("/call/")
            .ok_or_else(|| bad("the path of a call starts with /call/"))?;
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        if service.is_empty() {
            return Err(bad("the path of a call names a service"));
        }
        let mut path = format!("/{path}");
        if !request.query.is_empty() {
            path.push('?');
            path.push_str(&request.query);
        }
        let header = |name| own_header(request, name);
        let deadline = match header(DEADLINE_HEADER)? {
            Some(text) => text
                .parse()
                .ok()
                .filter(|deadline_ms| *deadline_ms > 0)
                .map(Duration::from_millis)
                .ok_or_else(|| bad("nutmegwalk-deadline-ms is a positive number"))?,
            None => default_deadline(service),
        };
        let repeat = match (header(REPEAT_HEADER)?, header(KEY_HEADER)?) {
            (None, None) => Repeat::Unmarked,
            (Some("always"), None) => Repeat::Always,
            (Some("never"), Some(key)) => Repeat::Never { key: key.into() },
            (Some("never"), None) => return Err(bad("nutmegwalk-repeat: never needs a key")),
            _ => return Err(bad("nutmegwalk-repeat is always, or never with a key")),
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

/// Returns a header with which the caller controls the call.
///
/// One that is not text or is given twice is refused: taking it as absent, or taking the first, could
/// repeat a call that its caller marked as non-repeatable.
fn own_header<'a>(request: &'a Request, name: &str) -> Result<Option<&'a str>> {
    let mut values = request.headers.get_all(name).iter();
    let value = values.next().map(HeaderValue::to_str).transpose();
    match (value, values.next()) {
        (Ok(value), None) => Ok(value),
        _ => Err(Error::new(
            ErrorKind::BadRequest,
            format!("{name} has to be given once, as text"),
        )),
    }
}

/// Returns the headers that are passed on: all but those of the connection, those of this system
/// and `left_out`.
pub(crate) fn forwarded_headers(
    headers: &http::HeaderMap,
    left_out: &[&str],
) -> Vec<(Box<str>, Bytes)> {
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name) && !left_out.contains(&name.as_str()))
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().into(), value)
        })
        .collect()
}

/// Returns whether a header belongs to the message and not to the connection or to this system.
pub(crate) fn is_forwarded(name: &HeaderName) -> bool {
    const CONNECTION: [&str; 11] = [
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
    !CONNECTION.contains(&name.as_str())
        && name.as_str() != SECRET_HEADER
        && !name.as_str().starts_with("nutmegwalk-")
}

/// The answer to a call: the complete answer of a backend server, or an error.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// Request id of the caller.
    pub request_id: RequestId,
    /// The answer of the backend server, or why there is none.
    pub result: Result<BackendAnswer, Error>,
    /// Number of attempts that were sent to agents for this call.
    pub attempts: u32,
}

impl CallAnswer {
    /// Returns what is known about the call.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match &self.result {
            Ok(_) => Outcome::Done,
            Err(error) => error.outcome(),
        }
    }

    /// Returns the response for the caller, with the outcome and the request id as headers.
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
