//! Messages between entry hosts and agents.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::unix_ms;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::Error;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::RequestId;
use nutmegwalk_base::Result;
use nutmegwalk_base::ServiceId;
use nutmegwalk_base::new_id;
use nutmegwalk_net::Message;

/// Response header with the outcome of the call: `done`, `not_run` or `unknown`.
pub const OUTCOME_HEADER: &str = "nutmegwalk-outcome";

/// Id of one attempt to run a call, `<unix-ms>-<random>`; unique across all entry hosts.
pub type AttemptId = Box<str>;

/// Returns a new attempt id that starts with the time of its creation.
#[must_use]
pub fn new_attempt_id() -> AttemptId {
    new_id(&unix_ms().to_string())
}

/// Returns the creation time at the start of an attempt id or a key; `None` when the id is malformed.
pub(crate) fn created_unix_ms(id: &str) -> Option<u64> {
    let (created, random) = id.split_once('-')?;
    if random.is_empty() {
        return None;
    }
    created.parse().ok()
}

/// Load of a backend server, as observed by its agent.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Total number of slots of the backend server.
    pub slots: u32,
    /// Number of slots in use.
    pub in_use: u32,
    /// Number of calls that wait for a slot.
    pub queued: u32,
    /// Maximum number of calls that may wait for a slot at the agent.
    pub queue_limit: u32,
    /// Moving average of the time that a call holds a slot, in microseconds.
    pub service_us: u64,
}

/// Request of an entry host to an agent: one attempt to run a call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CallMessage {
    /// Request id of the caller.
    pub request_id: RequestId,
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// Incarnation of the agent that the attempt is addressed to.
    ///
    /// A restarted agent has lost its tombstones, so it refuses attempts that are addressed to an earlier
    /// incarnation.
    pub agent_incarnation: Incarnation,
    /// Time left for the attempt, in milliseconds.
    pub deadline_ms: u64,
    /// Customer that calls.
    pub customer: CustomerId,
    /// Service that is called.
    pub service: ServiceId,
    /// Whether the customer is within its guaranteed rate, which gives the call priority in the queue.
    pub within_rate: bool,
    /// Whether the attempt belongs to a claim, so that it can be closed later.
    pub claimed: bool,
    /// HTTP method for the backend server.
    pub method: Box<str>,
    /// Path and query for the backend server.
    pub path: Box<str>,
    /// Headers for the backend server.
    pub headers: Vec<(Box<str>, Bytes)>,
    /// Body for the backend server.
    pub body: Bytes,
}

/// The complete answer of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers, without connection headers and without headers of this system.
    pub headers: Vec<(Box<str>, Bytes)>,
    /// Length of the complete body, in bytes; if `body` has another length, it was truncated.
    pub body_bytes: u64,
    /// Body.
    pub body: Bytes,
}

/// Answer of an agent to one attempt. The kind of an error determines the outcome of the attempt.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CallReply {
    /// Id of the attempt that this reply belongs to.
    pub attempt: AttemptId,
    /// Answer of the backend server, or the error with which the attempt ended.
    pub result: Result<BackendAnswer, Error>,
    /// Load of the backend server after the attempt.
    pub load: Load,
    /// Incarnation of the backend server; zero when there is none.
    pub server_incarnation: Incarnation,
}

impl Message for CallMessage {
    type Answer = CallReply;
    const PATH: &'static str = "/v1/call";
}

/// Requests an agent to close an attempt: to return its result, or to guarantee that it never starts.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CloseMessage {
    /// The attempt to close.
    pub attempt: AttemptId,
    /// Incarnation of the agent that the attempt was addressed to.
    pub agent_incarnation: Incarnation,
    /// Maximum time to wait for the end of a running attempt, in milliseconds.
    pub wait_ms: u64,
}

/// Answer of an agent to [`CloseMessage`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CloseAnswer {
    /// The attempt ran, and this is its complete answer.
    Finished(BackendAnswer),
    /// The attempt was not started and will not be started.
    NotStarted,
    /// The attempt is running, ended without a complete answer, or has no record at the agent any more.
    Unknown,
}

impl Message for CloseMessage {
    type Answer = CloseAnswer;
    const PATH: &'static str = "/v1/call/close";
}
