//! Prints the results of two runs of the same load side by side.

use std::collections::BTreeMap;

use nutmegwalk_scenarios::measures::Measures;

/// Prints the metrics and violations of both runs, and the ratio of the first metric to the second.
pub(crate) fn print(own: &Measures, baseline: &Measures) {
    println!("scenario {}, seed {}", own.scenario, own.seed);
    println!(
        "  {:<36} {:>12} {:>12} {:>8}",
        "figure", "default", "baseline", "ratio"
    );
    let baseline_metrics: BTreeMap<Box<str>, f64> = baseline.all_metrics().into_iter().collect();
    for (name, value) in own.all_metrics() {
        let other = baseline_metrics.get(&name).copied().unwrap_or(0.0);
        let ratio = if other == 0.0 {
            "-".to_owned()
        } else {
            format!("{:.2}", value / other)
        };
        println!("  {name:<36} {value:>12.3} {other:>12.3} {ratio:>8}");
    }
    for (name, count) in &own.invariants {
        let other = baseline.invariants.get(name).copied().unwrap_or(0);
        println!("  violations of {name:<22} {count:>12} {other:>12}");
    }
}
