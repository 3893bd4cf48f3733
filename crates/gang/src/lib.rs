//! Gang protocol between data-centre owner and agents.

pub mod worker;

pub use worker::Attempt;
pub use worker::TaskMetadata;
pub use worker::TaskState;
pub use worker::TaskStatus;
pub use worker::WorkerApi;
