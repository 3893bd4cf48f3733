//! Entry hosts, agents and data-centre owners, assembled from the other crates.

pub mod agent;
pub mod api;
mod common;
mod duty_store;
pub mod entry;
mod gauges;
pub mod job_table;
pub mod jobs;
mod options;
pub mod owner;
pub mod settings;

pub use agent::Agent;
pub use duty_store::DutyStore;
pub use entry::Entry;
pub use nutmegwalk_net::shutdown;
pub use options::NodeOptions;
