//! Order in which waiting steps are looked at.

use std::cmp::Reverse;
use std::time::Duration;

use crate::WaitingStep;

/// Position in the order; smaller comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    is_hopeless: bool,
    is_borrower: bool,
    priority: u32,
    slack: Duration,
    waited: Reverse<Duration>,
}

/// Returns the rank of a step: guaranteed work first, then by priority, then by how soon it would be late.
pub(crate) fn rank(step: &WaitingStep) -> Rank {
    Rank {
        // Work that can no longer be of use to its submitter goes last.
        is_hopeless: step.worthless_in < step.run_time && !step.is_guaranteed,
        is_borrower: !step.is_guaranteed,
        priority: step.priority,
        slack: step.slack(),
        waited: Reverse(step.waited),
    }
}
