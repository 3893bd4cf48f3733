//! Decisions of a domain's owner, without I/O.
//!
//! [`plan`] looks at the workers, the waiting units and the running units of one moment and says which
//! units start where and which running units give way. It keeps no state between two calls, so a new owner
//! decides as its predecessor did. [`WorkerHealth`] and [`RunTimeEstimates`] hold what was learned from ends.

mod baseline;
mod fit;
mod health;
mod leaving;
mod plan;
mod preempt;
mod profile;
mod rank;
mod run_time;
mod stall;
mod view;

pub use baseline::first_fit;
pub use health::HealthSettings;
pub use health::WorkerHealth;
pub use plan::plan;
pub use run_time::RunTimeEstimates;
pub use stall::TaskProgress;
pub use view::Plan;
pub use view::Preemption;
pub use view::RunningUnit;
pub use view::Snapshot;
pub use view::Start;
pub use view::WaitReason;
pub use view::Waiting;
pub use view::WaitingStep;
pub use view::WorkerView;
