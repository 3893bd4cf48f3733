//! A complete deployment in one process, with a sample workload.

use std::path::PathBuf;

use log::LevelFilter;

use crate::table::Table;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_scenarios::deployment::Deployment;
use nutmegwalk_scenarios::deployment::DeploymentPlan;
use nutmegwalk_scenarios::dev::example_token;
use nutmegwalk_scenarios::measures::Measures;

/// Starts all roles, runs the sample workload, prints the measurements, and fails if an invariant was violated.
pub(crate) fn run(directories: &[PathBuf], keep: bool, json: bool, seed: u64) -> Result<()> {
    let level = std::env::var("NUTMEGWALK_LOG_LEVEL")
        .ok()
        .and_then(|level| level.parse().ok());
    nutmegwalk_base::logging::start(
        level.unwrap_or(LevelFilter::Warn),
        nutmegwalk_base::logging::LogTarget::Stderr,
    )?;
    let runtime = compio::runtime::Runtime::new()
        .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
    let deployment = Deployment::start(DeploymentPlan::new(directories, seed)?)?;
    let measures = runtime.block_on(nutmegwalk_scenarios::dev::run(&deployment))?;
    print(&measures, json);
    if keep {
        keep_running(&deployment);
    }
    if measures.violations() == 0 {
        return Ok(());
    }
    let violated: Vec<&str> = measures
        .invariants
        .iter()
        .filter(|(_, count)| **count > 0)
        .map(|(name, _)| *name)
        .collect();
    Err(Error::new(
        ErrorKind::Internal,
        format!("violated invariants: {}", violated.join(", ")),
    ))
}

fn print(measures: &Measures, json: bool) {
    let mut table = Table::new(&["measure", "value"]);
    let mut add = |name: &str, value: f64| table.add(vec![name.into(), format!("{value:.3}")]);
    add("completion_p50_s", measures.completion_p50_s);
    add("completion_p99_s", measures.completion_p99_s);
    add("fragmentation_ratio", measures.fragmentation_ratio);
    add(
        "work_during_take_out_ratio",
        measures.work_during_take_out_ratio,
    );
    for (name, value) in &measures.figures {
        add(name, *value);
    }
    table.print();
    println!();
    let mut table = Table::new(&["invariant", "violations"]);
    for (name, count) in &measures.invariants {
        table.add(vec![(*name).into(), count.to_string()]);
    }
    table.print();
    if json {
        println!("{}", serde_json::to_string(measures).unwrap_or_default());
    }
}

/// Prints how to use the deployment and keeps it running until the process is stopped.
fn keep_running(deployment: &Deployment) {
    let entries: Vec<String> = deployment
        .entry_addresses()
        .iter()
        .map(ToString::to_string)
        .collect();
    println!("\nThe deployment keeps running; stop it with Ctrl-C. For the other commands set:");
    println!("  export NUTMEGWALK_ENTRIES={}", entries.join(","));
    for operator in deployment.plan().configuration.operators.keys() {
        println!(
            "  export NUTMEGWALK_TOKEN={}  # operator {operator}",
            example_token(operator)
        );
    }
    for customer in deployment.plan().configuration.customers.keys() {
        println!(
            "  export NUTMEGWALK_TOKEN={}  # customer {customer}",
            example_token(customer)
        );
    }
    loop {
        std::thread::park();
    }
}
