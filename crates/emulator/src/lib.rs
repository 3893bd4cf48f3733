//! Emulation of the platform for tests.
//!
//! [`EmulatedWorker`] runs tasks under leases, fencing epochs and gang rules as the platform's workers do,
//! [`EmulatedStore`] is a store with faults, and [`EventLog`] records the events of the workers and
//! checks the invariants on them. The payload of a task defines its behaviour, see [`TaskScript`].
//! This crate is independent of the wire format; `platform/emulator` serves these models over HTTP.

mod gang;
mod port;
mod record;
mod script;
mod store;
mod worker;

pub use gang::GangRegistry;
pub use port::EmulatedPort;
pub use record::Event;
pub use record::EventLog;
pub use record::LoggedEvent;
pub use script::TaskScript;
pub use store::EmulatedStore;
pub use worker::EmulatedWorker;
pub use worker::WorkerSetup;
