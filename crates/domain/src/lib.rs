//! The owner of a scheduling domain.
//!
//! A domain is a set of data centres whose jobs are scheduled by one process, the holder of the lease row
//! `owner/<domain>`. The owner reads the jobs from the store, collects the agents' reports, makes decisions
//! with `nutmegwalk-placement`, stores every run before it is first started, and sends orders to the agents.
//! A new owner rebuilds this state from the store and the reports.

mod capacity;
mod cleanup;
mod crash;
mod directory;
mod dispatch;
mod early_cancels;
mod health;
mod job;
mod metrics;
mod monitor;
mod owner;
mod planning;
mod progress_writer;
mod readiness;
mod replica;
mod report;
mod run_index;
mod settings;
mod snapshot;
mod superseded;
mod term;
mod time;
mod urgency;
mod withdraw;
mod worker;

pub use metrics::DomainMetrics;
pub use owner::DomainOwner;
pub use settings::DomainSettings;
