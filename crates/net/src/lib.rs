//! HTTP server and client with limits, authentication, MessagePack bodies and graceful shutdown.
//!
//! The system's own processes exchange [`Message`]s: a POST with a MessagePack body and the shared
//! secret in a header. Callers, operators and the platform use plain HTTP through the same server.

mod client;
mod connection;
mod drain;
mod fault;
mod message;
mod server;
pub mod shutdown;
mod stream;
mod task;

pub use client::Client;
pub use connection::Connection;
pub use drain::Drain;
pub use drain::InFlight;
pub use fault::Fault;
pub use fault::LinkFaults;
pub use message::Message;
pub use message::REQUEST_ID_HEADER;
pub use message::SECRET_HEADER;
pub use message::decode;
pub use message::encode;
pub use server::ConnectionReset;
pub use server::Handler;
pub use server::Request;
pub use server::Response;
pub use server::Server;
pub use server::ServerLimits;
pub use task::spawn_restarting;
