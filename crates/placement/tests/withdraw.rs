//! Tests of the withdrawal of starts when a worker's capacity shrinks.

use nutmegwalk_placement::starts_to_withdraw;
use nutmegwalk_workload::Resources;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

fn size(accelerators: u64) -> Resources {
    Resources::new(1_000 * accelerators, 1_024 * accelerators, accelerators)
}

cases! {
    // Guards against withdrawing starts of a worker whose capacity has not changed.
    starts_that_fit_are_kept => {
        assert!(starts_to_withdraw(size(8), size(4), &[size(2), size(2)]).is_empty());
    }

    // Guards against a start that brings a worker over its capacity after that has shrunk.
    starts_beyond_a_shrunk_capacity_are_withdrawn => {
        assert_eq!(starts_to_withdraw(size(6), size(4), &[size(2), size(2)]), [1]);
    }

    // Guards against a start beside runs that the shrunk capacity does not hold any more.
    all_starts_are_withdrawn_when_the_runs_exceed_the_capacity => {
        assert_eq!(starts_to_withdraw(size(2), size(4), &[size(1), size(1)]), [0, 1]);
    }

    // Guards against withdrawing a small start because a large one before it does not fit.
    small_start_behind_a_large_one_is_kept => {
        assert_eq!(starts_to_withdraw(size(4), size(2), &[size(4), size(2)]), [0]);
    }

    // Guards against a start that the planner places and that is withdrawn again, in turn.
    start_without_accelerators_is_kept_when_only_these_are_exceeded => {
        let demand = Resources::new(500, 64, 0);
        let capacity = Resources::new(8_000, 8_192, 2);
        assert!(starts_to_withdraw(capacity, size(4), &[demand]).is_empty());
    }
}
