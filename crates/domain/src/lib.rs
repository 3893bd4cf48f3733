//! The owner of a scheduling domain.
//!
//! A domain is a set of data centres whose jobs are placed by one process, the holder of the lease row
//! `owner/<domain>`. The owner reads the jobs from the store, collects the agents' reports, decides by
//! `nutmegwalk-placement`, stores every run before its first start, and gives orders to the agents. A new
//! owner rebuilds all of this from the store and the reports.

mod cleanup;
mod dispatch;
mod job;
mod journal;
mod metrics;
mod oversight;
mod owner;
mod planning;
mod replica;
mod report;
mod settings;
mod snapshot;
mod term;
mod time;
mod urgency;
mod worker;

pub use metrics::DomainMetrics;
pub use owner::DomainOwner;
pub use settings::DomainSettings;
