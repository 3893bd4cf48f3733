//! Entry hosts, agents and data-centre owners, assembled from the other crates.

pub mod agent;
pub mod api;
mod common;
pub mod entry;
mod gauges;
pub mod job_table;
pub mod jobs;
mod options;
pub mod owner;
mod request_class_store;
pub mod settings;

pub use agent::Agent;
pub use entry::Entry;
pub use nutmegwalk_net::shutdown;
pub use options::NodeOptions;
pub use request_class_store::RequestClassStore;
