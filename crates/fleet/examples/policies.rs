//! Prints the results of a seeded load under each policy, for each of the given seeds:
//! `cargo run --release --example policies -- SEED…`

#[path = "../tests/load/mod.rs"]
mod load;

use crate::load::arrivals::Deployment;
use crate::load::run;
use nutmegwalk_fleet::Policy;

fn main() {
    let mut seeds: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|arg| arg.parse().ok())
        .collect();
    if seeds.is_empty() {
        seeds = vec![1, 2, 3];
    }
    let hours = |seconds: u64| seconds as f64 / 3600.0;
    println!(
        "workers offered seed policy      jobs (left)  p50 h  p99 h  large p99 h  block p99 h  urgent p99 s  fragm.  util.  lost acc-h  stops  violations"
    );
    for (workers, offered) in [(4, 0.45), (4, 0.6), (10, 0.55), (10, 0.7)] {
        let deployment = Deployment {
            workers,
            days: 14,
            offered,
        };
        for seed in &seeds {
            for policy in [Policy::Guaranteed, Policy::FirstFit, Policy::Static] {
                let outcome = run(policy, deployment, *seed);
                println!(
                    "{workers:7} {offered:7} {seed:4} {:10} {:5} ({:4})  {:5.2}  {:5.2}  {:11.2}  {:11.2}  {:12}  {:6.3}  {:5.3}  {:10.1}  {:5}  {:10}",
                    format!("{policy:?}"),
                    outcome.completed,
                    outcome.unfinished,
                    hours(outcome.completion.value_at_quantile(0.5)),
                    hours(outcome.completion.value_at_quantile(0.99)),
                    hours(outcome.large.value_at_quantile(0.99)),
                    hours(outcome.block.value_at_quantile(0.99)),
                    outcome.urgent_delay.value_at_quantile(0.99),
                    outcome.fragmentation,
                    outcome.utilisation,
                    outcome.lost_hours,
                    outcome.preemptions,
                    outcome.violations,
                );
            }
        }
    }
}
