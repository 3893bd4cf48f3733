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

/// Header that says what is known about the call: `done`, `not_run` or `unknown`.
pub const OUTCOME_HEADER: &str = "nutmegwalk-outcome";

/// Id of one attempt to run a call, `<unix-ms>-<random>`; unique over all entry hosts.
pub type AttemptId = Box<str>;

/// Returns a new attempt id that contains the time of its creation.
#[must_use]
pub fn new_attempt_id() -> AttemptId {
    new_id(&unix_ms().to_string())
}

/// Returns the creation time that an attempt id or a key starts with.
pub(crate) fn created_unix_ms(id: &str) -> Option<u64> {
    let (created, random) = id.split_once('-')?;
    if random.is_empty() {
        return None;
    }
    created.parse().ok()
}

/// How busy a backend server is, as its agent sees it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Slots of the backend server.
    pub slots: u32,
    /// Slots in use.
    pub in_use: u32,
    /// Calls that wait for a slot.
    pub queued: u32,
    /// Longest queue that the agent allows.
    pub queue_limit: u32,
    /// Mean time that a call holds a slot, in microseconds.
    pub service_us: u64,
}

/// One attempt to run a call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CallMessage {
    /// Request id of the caller.
    pub request_id: RequestId,
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// Incarnation of the agent that the attempt is meant for.
    ///
    /// A restarted agent has lost its tombstones, so it refuses attempts meant for its predecessor.
    pub agent_incarnation: Incarnation,
    /// Time left for the call, in milliseconds.
    pub deadline_ms: u64,
    /// Customer that calls.
    pub customer: CustomerId,
    /// Service that is called.
    pub service: ServiceId,
    /// Whether the customer is within its guaranteed rate.
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
    /// Headers, without those of the connection.
    pub headers: Vec<(Box<str>, Bytes)>,
    /// Length of the body, in bytes; a different length means that the body was cut.
    pub body_bytes: u64,
    /// Body.
    pub body: Bytes,
}

/// Answer of an agent to one attempt. An error carries its outcome in its kind.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CallReply {
    /// The attempt that this answers.
    pub attempt: AttemptId,
    /// What became of the attempt.
    pub result: Result<BackendAnswer, Error>,
    /// Load after the attempt.
    pub load: Load,
    /// Incarnation of the backend server; zero when there is none.
    pub server_incarnation: Incarnation,
}

impl Message for CallMessage {
    type Answer = CallReply;
    const PATH: &'static str = "/v1/call";
}

/// Asks an agent to close an attempt: to say how it ended, or to make sure that it never starts.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CloseMessage {
    /// The attempt to close.
    pub attempt: AttemptId,
    /// Incarnation of the agent that the attempt was meant for.
    pub agent_incarnation: Incarnation,
    /// Time to wait for an attempt that is running, in milliseconds.
    pub wait_ms: u64,
}

/// What an agent knows about a closed attempt.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CloseAnswer {
    /// The attempt ran, and this is its complete answer.
    Finished(BackendAnswer),
    /// The attempt was not started and will not be started.
    NotStarted,
    /// The attempt is running, ended without a complete answer, or is not known any more.
    Unknown,
}

impl Message for CloseMessage {
    type Answer = CloseAnswer;
    const PATH: &'static str = "/v1/call/close";
}
