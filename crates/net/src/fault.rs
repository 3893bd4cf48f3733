//! Faults that tests inject into the exchanges of a client.

use std::net::SocketAddr;
use std::time::Duration;

/// The fault injected into one exchange.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// The peer cannot be reached; nothing is sent.
    Unreachable,
    /// The peer processes the request, but its answer is lost.
    LoseAnswer,
    /// The exchange is delayed before the request is sent.
    Delay(Duration),
}

/// Chooses the fault of each exchange; clients in production have none attached.
pub trait LinkFaults: Send + Sync {
    /// Returns the fault for an exchange from process `from` with `to` at `path`.
    fn fault(&self, from: &str, to: SocketAddr, path: &str) -> Fault;
}
