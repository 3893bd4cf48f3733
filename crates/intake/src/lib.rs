//! The callers' side of a scheduling domain.
//!
//! An entry host authenticates callers, accepts jobs, cancels them and tells their state. An acceptance is
//! answered only after the store has the job. What entry hosts know of jobs comes from the store's feed,
//! so each of them can answer for every job.

mod caller;
mod intake;
mod metrics;
mod refusal;
mod view;

pub use caller::Caller;
pub use intake::Intake;
pub use intake::IntakeSettings;
pub use metrics::IntakeMetrics;
pub use refusal::retry_after;
pub use view::CachedJob;
pub use view::JobView;
