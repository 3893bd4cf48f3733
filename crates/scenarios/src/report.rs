//! Prints the report of a run.

use nutmegwalk_scenarios::runner::Report;

/// Number of different unexpected results printed.
const MAX_PRINTED_RESULTS: usize = 20;

/// Prints metrics, invariants and the evidence of violations; with `json`, the last line is a JSON object.
pub(crate) fn print(report: &Report, json: bool) {
    let measures = &report.measures;
    println!("scenario {}, seed {}", measures.scenario, measures.seed);
    for (name, value) in measures.all_metrics() {
        println!("  {name:<36} {value:>12.3}");
    }
    for (name, count) in &measures.invariants {
        let verdict = if *count == 0 { "holds" } else { "VIOLATED" };
        println!("  {name:<36} {verdict:>12} {count}");
    }
    for (result, count) in report.unexpected_results.iter().take(MAX_PRINTED_RESULTS) {
        println!("{count} times: {result}");
    }
    for (name, violations) in &report.evidence {
        for text in violations {
            println!("{name}: {text}");
        }
    }
    if json {
        println!("{}", serde_json::to_string(measures).unwrap_or_default());
    }
}
