//! Compares all policies under a seeded load in virtual time.

mod load;

use crate::load::arrivals::Deployment;
use crate::load::run;
use nutmegwalk_fleet::Policy;

// Guards against a policy change that makes the default policy slower than the baselines, and against invariant
// violations under a realistic load.
#[rstest::rstest]
fn guarantees_beat_the_baselines_on_the_daily_block(#[values(4, 10)] workers: usize) {
    let deployment = Deployment {
        workers,
        days: 4,
        offered: 0.6,
    };
    let guaranteed = run(Policy::Guaranteed, deployment, 1);
    assert_eq!((guaranteed.violations, guaranteed.unfinished), (0, 0));
    for policy in [Policy::FirstFit, Policy::Static] {
        let baseline = run(policy, deployment, 1);
        assert_eq!(
            (baseline.violations, baseline.completed),
            (0, guaranteed.completed)
        );
        let block = |outcome: &load::Outcome| outcome.block.value_at_quantile(0.99);
        assert!(
            block(&guaranteed) * 10 < block(&baseline) * 7,
            "block under {policy:?}"
        );
    }
}
