//! Prints two runs of the same load side by side.

use std::collections::BTreeMap;

use nutmegwalk_scenarios::measures::Measures;

/// Prints the figures of both runs and the ratio of the first to the second.
pub(crate) fn print(own: &Measures, baseline: &Measures) {
    println!("scenario {}, seed {}", own.scenario, own.seed);
    println!(
        "  {:<36} {:>12} {:>12} {:>8}",
        "figure", "default", "baseline", "ratio"
    );
    let others: BTreeMap<Box<str>, f64> = baseline.all_figures().into_iter().collect();
    for (name, value) in own.all_figures() {
        let other = others.get(&name).copied().unwrap_or(0.0);
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
