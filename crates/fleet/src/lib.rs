//! Placement of gangs and guarantees in one data centre.
//!
//! [`Fleet`] is a synchronous planner without I/O. The data-centre owner reports events to it, calls
//! [`Fleet::schedule`] and executes the returned actions. The current time is passed in as `now`, the
//! time since an arbitrary fixed origin.

mod allocation;
mod baseline;
mod consolidate;
mod events;
mod fleet;
mod health;
mod hold;
mod job;
mod measures;
mod placement;
mod promote;
mod queue;
mod reclaim;
mod reservation;
mod run_time;
mod schedule;
mod search;
mod share;
mod types;
mod worker;

pub use crate::fleet::Fleet;
pub use crate::reservation::pack_guarantees;
pub use crate::types::Action;
pub use crate::types::Adjacency;
pub use crate::types::Admission;
pub use crate::types::Degraded;
pub use crate::types::Explanation;
pub use crate::types::GuaranteeSpec;
pub use crate::types::JobPhase;
pub use crate::types::JobSpec;
pub use crate::types::Measures;
pub use crate::types::Placement;
pub use crate::types::Policy;
pub use crate::types::ReservedPart;
pub use crate::types::Shape;
pub use crate::types::StopReason;
pub use crate::types::Violation;
pub use crate::types::WorkerSpec;
