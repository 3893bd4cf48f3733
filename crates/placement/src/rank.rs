//! Order in which waiting units are looked at.

use std::time::Duration;

use crate::WaitingUnit;

/// Position in the order; smaller comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    is_hopeless: bool,
    is_borrower: bool,
    priority: u32,
    slack: Duration,
    waited: std::cmp::Reverse<Duration>,
}

/// Returns the rank of a unit: guaranteed work first, then by priority, then by how soon it would be late.
pub(crate) fn rank(unit: &WaitingUnit) -> Rank {
    Rank {
        // Work that can no longer be of use to its submitter goes last.
        is_hopeless: unit.worthless_in < unit.run_time && !unit.is_guaranteed,
        is_borrower: !unit.is_guaranteed,
        priority: unit.priority,
        slack: unit.slack(),
        waited: std::cmp::Reverse(unit.waited),
    }
}
