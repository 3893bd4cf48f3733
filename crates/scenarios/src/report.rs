//! Prints the result of one run.

use nutmegwalk_scenarios::runner::Report;

/// Kinds of ends printed.
const ENDS_SHOWN: usize = 20;

/// Prints figures, invariants and what shows violations; with `json`, the last line is one object.
pub(crate) fn print(report: &Report, json: bool) {
    let measures = &report.measures;
    println!("scenario {}, seed {}", measures.scenario, measures.seed);
    for (name, value) in measures.all_figures() {
        println!("  {name:<36} {value:>12.3}");
    }
    for (name, count) in &measures.invariants {
        let verdict = if *count == 0 { "holds" } else { "VIOLATED" };
        println!("  {name:<36} {verdict:>12} {count}");
    }
    for (end, count) in report.other_ends.iter().take(ENDS_SHOWN) {
        println!("{count} times: {end}");
    }
    for (name, found) in &report.evidence {
        for text in found {
            println!("{name}: {text}");
        }
    }
    if json {
        println!("{}", serde_json::to_string(measures).unwrap_or_default());
    }
}
