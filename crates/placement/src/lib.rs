//! Scheduling decisions of a domain's owner, without I/O.
//!
//! [`plan()`] takes a snapshot of the workers, the waiting steps and the running units and decides which tasks
//! start on which workers and which running units are preempted. It keeps no state between calls, so a new
//! owner decides as its predecessor did. [`DomainHealth`] and [`RunTimeEstimates`] keep statistics of ended
//! runs.

mod baseline;
mod fit;
mod health;
mod isolation;
mod leaving;
mod limits;
mod plan;
mod preempt;
mod profile;
mod rank;
mod run_time;
mod stall;
mod task_list;
mod view;
mod withdraw;

pub use baseline::first_fit;
pub use health::DomainHealth;
pub use health::Failure;
pub use health::FailureCause;
pub use health::FailureEffect;
pub use health::HealthSettings;
pub use isolation::Isolation;
pub use plan::plan;
pub use run_time::RunTimeEstimates;
pub use stall::TaskProgress;
pub use task_list::TaskList;
pub use view::Plan;
pub use view::Preemption;
pub use view::RunningUnit;
pub use view::Snapshot;
pub use view::Start;
pub use view::WaitReason;
pub use view::WaitingStep;
pub use view::WaitingTasks;
pub use view::WorkerView;
pub use withdraw::starts_to_withdraw;
