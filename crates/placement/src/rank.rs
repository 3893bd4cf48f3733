//! Order in which waiting steps are looked at.
//!
//! Answers a load that exceeds the capacity for a while. Guaranteed work goes first, then the more urgent
//! queue. Within a queue a job that is late already no longer delays those that can still be in time;
//! these go by the time that they can wait, and large ones count as if they could wait longer, since several
//! small ones are in time in their place.

use std::cmp::Reverse;
use std::time::Duration;

use crate::Snapshot;
use crate::WaitingStep;
use nutmegwalk_workload::Resources;

/// Time by which a step that takes the whole deployment counts as able to wait longer, in run times.
const SIZE_WEIGHT: f64 = 12.0;

/// Position in the order; smaller comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    is_hopeless: bool,
    is_borrower: bool,
    priority: u32,
    is_late: bool,
    can_wait: Duration,
    waited: Reverse<Duration>,
}

/// Returns the rank of a step in a deployment with this capacity.
pub(crate) fn rank(step: &WaitingStep, capacity: Resources) -> Rank {
    let slack = step.slack();
    let size = step.run_time.mul_f64(SIZE_WEIGHT * share(step, capacity));
    Rank {
        // Work that can no longer be of use to its submitter goes last.
        is_hopeless: step.time_to_expiry < step.run_time && !step.is_guaranteed,
        is_borrower: !step.is_guaranteed,
        priority: step.priority,
        is_late: slack.is_zero(),
        can_wait: slack.saturating_add(size),
        waited: Reverse(step.waited),
    }
}

/// Returns the capacity of all workers together.
pub(crate) fn total_capacity(snapshot: &Snapshot) -> Resources {
    snapshot
        .workers
        .iter()
        .fold(Resources::default(), |sum, worker| {
            sum.plus(worker.capacity)
        })
}

/// Returns the share of the deployment that the tasks of a step take, of what they take most of.
#[expect(clippy::cast_precision_loss, reason = "a share")]
fn share(step: &WaitingStep, capacity: Resources) -> f64 {
    let demand = step.demand.times(u64::from(step.count()));
    let of = |demand: u64, capacity: u64| demand as f64 / capacity.max(1) as f64;
    of(demand.accelerators, capacity.accelerators)
        .max(of(demand.memory_mb, capacity.memory_mb))
        .max(of(demand.milli_cores, capacity.milli_cores))
        .min(1.0)
}
