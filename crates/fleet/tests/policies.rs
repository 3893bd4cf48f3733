//! The seeded load under all policies, in virtual time.

mod load;

use crate::load::arrivals::Deployment;
use crate::load::run;
use nutmegwalk_fleet::Policy;

// Guards against a change of policy that loses to the simple baselines, and against broken invariants
// under a realistic load.
#[rstest::rstest]
fn guarantees_beat_the_baselines_on_the_daily_block(#[values(4, 10)] workers: usize) {
    let deployment = Deployment {
        workers,
        days: 4,
        offered: 0.6,
    };
    let ours = run(Policy::Guaranteed, deployment, 1);
    assert_eq!((ours.violations, ours.unfinished), (0, 0));
    for policy in [Policy::FirstFit, Policy::Static] {
        let theirs = run(policy, deployment, 1);
        assert_eq!((theirs.violations, theirs.completed), (0, ours.completed));
        let block = |outcome: &load::Outcome| outcome.block.value_at_quantile(0.99);
        assert!(
            block(&ours) * 10 < block(&theirs) * 7,
            "block under {policy:?}"
        );
    }
}
