//! Emulation of the platform for tests.
//!
//! [`EmulatedWorker`] runs tasks under leases, fencing epochs and gang rules as the platform's workers do,
//! [`EmulatedStore`] is a store with faults, and [`EventLog`] holds what the workers were seen to do and
//! checks it against what the system promises. What a task does is written in its payload, see [`TaskScript`].
//! The names on the wire are not known here; `platform/emulator` serves these models over HTTP.

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
