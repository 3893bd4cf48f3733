//! Routing of calls from an entry host through an agent to a backend server.
//!
//! [`ServerSlots`] runs on each agent and is the only component that allocates slots of the agent's
//! backend server. [`Router`] runs on each entry host and selects the agent for each attempt.
//! [`Claims`] ensures that a request marked as non-repeatable runs at most once.

mod claims;
mod message;
mod oneshot;
mod request;
mod router;
mod slots;

pub use claims::Claims;
pub use claims::ClaimsSettings;
pub use claims::CommitMode;
pub use claims::StoreCounts;
pub use message::AttemptId;
pub use message::BackendAnswer;
pub use message::CallMessage;
pub use message::CallReply;
pub use message::CloseAnswer;
pub use message::CloseMessage;
pub use message::Load;
pub use message::OUTCOME_HEADER;
pub use message::new_attempt_id;
pub use request::CallAnswer;
pub use request::CallRequest;
pub use request::DEADLINE_HEADER;
pub use request::KEY_HEADER;
pub use request::REPEAT_HEADER;
pub use request::Repeat;
pub use router::Router;
pub use router::RouterCounts;
pub use router::RouterSettings;
pub use router::RoutingPolicy;
pub use router::ServerEntry;
pub use slots::Announcement;
pub use slots::ServerReport;
pub use slots::ServerSlots;
pub use slots::SlotCounts;
pub use slots::SlotSettings;

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
