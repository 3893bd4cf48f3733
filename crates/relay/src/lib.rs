//! Access to the store through another process while the direct connection fails.
//!
//! The store may reject individual hosts, or a host may be partitioned from it, while other hosts can reach it.
//! [`RelayedStore`] sends each request over the direct connection first. While that fails, it sends the request to a
//! peer, which forwards it over its own direct connection. A peer never relays to another peer.

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
