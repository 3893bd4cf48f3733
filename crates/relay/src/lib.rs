//! Reaching the store through another process while the own way is blocked.
//!
//! The store may turn single hosts away, or the way to it may be cut, while other hosts reach it.
//! [`RelayedStore`] sends each request on the own way first; while that is blocked it asks a peer, which
//! passes the request on by its own way. A peer never relays further.

mod message;
mod peers;
mod server;
mod store;

pub use message::RelayAnswer;
pub use message::RelayRequest;
pub use peers::PeerList;
pub use server::RelayServer;
pub use store::RelayTimings;
pub use store::RelayedStore;
