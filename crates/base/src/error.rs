//! The closed list of error kinds, with the HTTP status, exit code and outcome of each.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// What is known about whether a request took effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request took effect.
    Done,
    /// The request did not run and will not run.
    NotRun,
    /// It is not known whether the request ran.
    Unknown,
}

impl Outcome {
    /// Returns the name used in headers and documentation.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }

    /// Returns the outcome with this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        [Self::Done, Self::NotRun, Self::Unknown]
            .into_iter()
            .find(|outcome| outcome.name() == name)
    }
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $name:literal, $http_status:literal, $exit_code:literal, $outcome:ident;)*) => {
        /// Every kind of error that the system reports.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the name used on the wire and in documentation.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(Self::$kind => $name,)* }
            }

            /// Returns the HTTP status of a response with this kind.
            #[must_use]
            pub fn http_status(self) -> u16 {
                match self { $(Self::$kind => $http_status,)* }
            }

            /// Returns the exit code of a command that fails with this kind.
            #[must_use]
            pub fn exit_code(self) -> u8 {
                match self { $(Self::$kind => $exit_code,)* }
            }

            /// Returns what an error of this kind implies about the request.
            #[must_use]
            pub fn outcome(self) -> Outcome {
                match self { $(Self::$kind => Outcome::$outcome,)* }
            }
        }
    };
}

error_kinds! {
    /// The request cannot be parsed or lacks a field.
    BadRequest => "bad_request", 400, 2, NotRun;
    /// The request carries no valid token.
    Unauthenticated => "unauthenticated", 401, 3, NotRun;
    /// The token is valid, but not for this request.
    Forbidden => "forbidden", 403, 3, NotRun;
    /// The path, job, service, customer or data centre does not exist.
    NotFound => "not_found", 404, 4, NotRun;
    /// The body was not received in time.
    RequestTimeout => "request_timeout", 408, 2, NotRun;
    /// Another operator changed the configuration first.
    Conflict => "conflict", 409, 6, NotRun;
    /// The idempotency key was used before with a different request.
    KeyReused => "key_reused", 409, 6, NotRun;
    /// The idempotency key is older than the time for which its record is kept.
    KeyExpired => "key_expired", 410, 7, Unknown;
    /// The body or a header exceeds its limit.
    TooLarge => "too_large", 413, 2, NotRun;
    /// The configuration is invalid.
    InvalidConfiguration => "invalid_configuration", 422, 5, NotRun;
    /// The guarantees together exceed the capacity of the hardware.
    GuaranteesClash => "guarantees_clash", 422, 5, NotRun;
    /// The job would not fit even on idle hardware.
    NeverFits => "never_fits", 422, 8, NotRun;
    /// The job requires a feature that this system does not support.
    Unsupported => "unsupported", 501, 8, NotRun;
    /// The caller exceeds its rate limit.
    RateLimited => "rate_limited", 429, 9, NotRun;
    /// The queue is full or the deadline cannot be met.
    Overloaded => "overloaded", 503, 9, NotRun;
    /// No backend server of the service can accept the call.
    NoBackendServer => "no_backend_server", 503, 9, NotRun;
    /// The process is shutting down.
    Draining => "draining", 503, 9, NotRun;
    /// The deadline passed before the request was started.
    DeadlineExceeded => "deadline_exceeded", 504, 9, NotRun;
    /// No connection to the peer could be established, so nothing was sent.
    Unreachable => "unreachable", 503, 9, NotRun;
    /// The table service or object store does not answer; nothing was written.
    StoreUnavailable => "store_unavailable", 503, 10, NotRun;
    /// A write to the store may or may not have taken effect.
    StoreUnknown => "store_unknown", 503, 11, Unknown;
    /// The store no longer has the changes after the requested version.
    HistoryLost => "history_lost", 410, 10, NotRun;
    /// The command carries an epoch that was superseded.
    StaleEpoch => "stale_epoch", 409, 12, NotRun;
    /// The process has no recent view of the configuration and may not start anything.
    StaleView => "stale_view", 503, 12, NotRun;
    /// The data centre is out of service.
    DataCentreOut => "data_centre_out", 409, 12, NotRun;
    /// The job was cancelled before it was accepted.
    Cancelled => "cancelled", 409, 12, NotRun;
    /// The attempt was aborted or closed earlier.
    AttemptClosed => "attempt_closed", 409, 12, NotRun;
    /// The resources are not free.
    InsufficientResources => "insufficient_resources", 409, 12, NotRun;
    /// The request was sent, and no complete answer arrived.
    UnknownOutcome => "unknown_outcome", 504, 11, Unknown;
    /// The backend server's answer was truncated or malformed.
    BadGateway => "bad_gateway", 502, 11, Unknown;
    /// A flag or environment variable is invalid.
    InvalidSetting => "invalid_setting", 500, 64, NotRun;
    /// The address to listen on is in use.
    AddressInUse => "address_in_use", 500, 69, NotRun;
    /// An internal error of this system.
    Internal => "internal", 500, 70, Unknown;
}

impl ErrorKind {
    /// Returns the kind with this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|kind| kind.name() == name)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// An error of a known kind with a human-readable detail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
#[error("{kind}: {detail}")]
pub struct Error {
    /// The kind, which determines the HTTP status, the exit code and the outcome.
    pub kind: ErrorKind,
    /// What went wrong, with the names involved.
    pub detail: Box<str>,
    /// Delay after which to retry, in milliseconds, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Error {
    /// Creates an error.
    #[must_use]
    pub fn new(kind: ErrorKind, detail: impl Into<Box<str>>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the delay after which to retry, in milliseconds.
    #[must_use]
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns what is known about whether the request took effect.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.kind.outcome()
    }
}

/// A result with an [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
