//! Assembly of the processes of a scheduling domain.
//!
//! [`DomainAgent`] is the process beside a worker: it supervises the worker, reports to the owner of the
//! domain, and may become the owner. [`DomainEntry`] is the entry host. Both get the platform's interfaces
//! as trait objects ([`Ports`]).

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
