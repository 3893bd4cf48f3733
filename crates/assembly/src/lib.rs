//! The processes of a scheduling domain, assembled from the other crates.
//!
//! [`DomainAgent`] runs next to a worker: it supervises the worker, reports to the owner of the domain and can
//! become the owner itself. [`DomainEntry`] is the entry host. Both receive the platform's interfaces as trait
//! objects ([`Ports`]).

mod agent;
mod entry;
mod locator;
mod metrics;
mod ports;

pub use agent::AgentSettings;
pub use agent::DomainAgent;
pub use agent::ReportTimings;
pub use entry::DomainEntry;
pub use entry::EntrySettings;
pub use locator::OwnerLocator;
pub use ports::Ports;
