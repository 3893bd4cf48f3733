//! Operators' files, configuration versions and changes.

pub mod document;

pub use document::Adjacency;
pub use document::Configuration;
pub use document::Customer;
pub use document::DataCentre;
pub use document::Guarantee;
pub use document::Operator;
pub use document::Rack;
pub use document::Service;
pub use document::WorkerShape;
