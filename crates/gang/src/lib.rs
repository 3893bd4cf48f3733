//! Gang protocol between data-centre owner and agents.

pub mod http_worker;
pub mod worker;

pub use http_worker::HttpWorker;
pub use worker::Attempt;
pub use worker::TaskMetadata;
pub use worker::TaskState;
pub use worker::TaskStatus;
pub use worker::WorkerApi;
