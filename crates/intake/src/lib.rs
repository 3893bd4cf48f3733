//! The caller-facing side of a scheduling domain.
//!
//! An entry host authenticates callers, accepts jobs, cancels them and returns their state. A submission is
//! confirmed only after the job is stored. Every entry host follows the store's feed of job rows, so each of
//! them can answer calls about any job.

mod caller;
mod intake;
mod metrics;
mod refusal;
mod unresolved;
mod view;

pub use caller::Caller;
pub use intake::Intake;
pub use intake::IntakeSettings;
pub use metrics::IntakeMetrics;
pub use refusal::retry_after;
pub use view::CachedJob;
pub use view::JobView;
