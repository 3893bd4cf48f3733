//! Order in which waiting steps are evaluated.
//!
//! The order matters when the load exceeds the capacity for a while. Steps covered by a guarantee come first,
//! then steps of a more urgent priority. Within a priority, jobs that are already late come after those that
//! can still be in time. These are ordered by slack, and large steps are treated as having more slack, since
//! several small ones can be in time in their place.

use std::cmp::Reverse;
use std::time::Duration;

use crate::Snapshot;
use crate::WaitingStep;
use nutmegwalk_workload::Resources;

/// Extra slack of a step that occupies the whole deployment, as a multiple of its run time.
const SIZE_WEIGHT: f64 = 12.0;

/// Sort key of a waiting step; smaller keys come first, and the fields are compared in order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    /// Whether the step is not covered by a guarantee and cannot end before its job expires.
    misses_expiry: bool,
    is_borrower: bool,
    priority: u32,
    /// Whether the job has no slack left.
    is_late: bool,
    /// Slack plus an allowance for the size of the step.
    weighted_slack: Duration,
    waited: Reverse<Duration>,
}

/// Returns the rank of a step in a deployment with the given total capacity.
pub(crate) fn rank(step: &WaitingStep, capacity: Resources) -> Rank {
    let slack = step.slack();
    let size_allowance = step
        .run_time
        .mul_f64(SIZE_WEIGHT * dominant_share(step, capacity));
    Rank {
        // Steps whose result comes too late to be of use to the submitter are placed last.
        misses_expiry: step.time_to_expiry < step.run_time && !step.is_guaranteed,
        is_borrower: !step.is_guaranteed,
        priority: step.priority,
        is_late: slack.is_zero(),
        weighted_slack: slack.saturating_add(size_allowance),
        waited: Reverse(step.waited),
    }
}

/// Returns the total capacity of all workers.
pub(crate) fn total_capacity(snapshot: &Snapshot) -> Resources {
    snapshot
        .workers
        .iter()
        .fold(Resources::default(), |sum, worker| {
            sum.plus(worker.capacity)
        })
}

/// Returns the dominant share of a step: the largest share that its waiting tasks take of the deployment's
/// accelerators, memory or cores, at most 1.
#[expect(clippy::cast_precision_loss, reason = "a share")]
fn dominant_share(step: &WaitingStep, capacity: Resources) -> f64 {
    let demand = step.demand.times(u64::from(step.count()));
    let ratio = |demand: u64, capacity: u64| demand as f64 / capacity.max(1) as f64;
    ratio(demand.accelerators, capacity.accelerators)
        .max(ratio(demand.memory_mb, capacity.memory_mb))
        .max(ratio(demand.milli_cores, capacity.milli_cores))
        .min(1.0)
}
