//! Operators' files, and the versions and changes of the configuration.
//!
//! [`load`] reads operators' files into a [`Configuration`], [`validate`] checks it, and [`apply`]
//! applies one [`Change`], which leads from one version to the next.

mod change;
pub mod document;
mod files;
mod packing;
mod validation;

pub use change::Change;
pub use change::ChangeKind;
pub use change::Delta;
pub use change::apply;
pub use document::Adjacency;
pub use document::Configuration;
pub use document::Customer;
pub use document::DataCentre;
pub use document::Guarantee;
pub use document::Operator;
pub use document::Rack;
pub use document::Service;
pub use document::TakenOut;
pub use document::WorkerShape;
pub use files::load;
pub use files::load_text;
pub use packing::CapacityConflict;
pub use packing::Demand;
pub use packing::check_capacity;
pub use validation::CapacityCheck;
pub use validation::Problem;
pub use validation::Subject;
pub use validation::problems;
pub use validation::validate;
