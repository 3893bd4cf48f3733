//! Faults that tests inject on the links of a client.

use std::net::SocketAddr;
use std::time::Duration;

/// What happens to one exchange.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// The exchange goes through.
    #[default]
    None,
    /// The peer cannot be reached; nothing is sent.
    Cut,
    /// The request is processed by the peer, but its answer is lost.
    LoseAnswer,
    /// The exchange is delayed before the request is sent.
    Delay(Duration),
}

/// Decides the fault of each exchange; production code has none attached.
pub trait LinkFaults: Send + Sync {
    /// Returns the fault for an exchange from process `from` with `to` at `path`.
    fn fault(&self, from: &str, to: SocketAddr, path: &str) -> Fault;
}
