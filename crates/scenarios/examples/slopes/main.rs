//! Measures the slopes behind `docs/CAPACITY.md` on one machine over loopback.
//!
//! `cargo run --release -p nutmegwalk-scenarios --example slopes -- [--json] [PART…]`. Each figure has
//! at least three sizes and the straight line through them by least squares. Processor time is that of
//! the role's own thread, from `/proc/self/task/<tid>/schedstat`.

mod agents;
mod bench;
mod entries;
mod failures;
mod forward;
mod outage;
mod owner;
mod planner;
mod probe;
mod report;
mod reporters;
mod store;
mod system;

use std::time::Instant;

use clap::Parser;
use clap::ValueEnum;

use crate::report::Output;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// Seed of the platform stand-in and of the synthetic load.
pub(crate) const SEED: u64 = 11;

/// What is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Part {
    /// Agents, and the time from a commit to a version in force.
    Agent,
    /// Data-centre owner.
    Owner,
    /// Planner of one data centre.
    Planner,
    /// Entry host.
    Entry,
    /// Requests to table and object store.
    Store,
    /// Takeover after the death of an owner.
    Takeover,
    /// Time from take-out to the last start.
    TakeOut,
    /// Work done during an outage of the store.
    Outage,
}

/// Measures how the cost of each role grows.
#[derive(Debug, Parser)]
struct Arguments {
    /// Prints one JSON object in place of tables.
    #[arg(long)]
    json: bool,
    /// Parts to measure; all by default.
    parts: Vec<Part>,
}

async fn run(parts: &[Part]) -> Result<Output> {
    let mut output = Output::new(SEED);
    output.note(format!(
        "clock: schedstat of each thread, in nanoseconds; the smallest step between two reads was {} ns",
        system::clock_step_ns()
    ));
    output.note(format!(
        "each role's thread in this process looks at its controls every 10 ms; that alone costs {:.3} ms/s",
        system::control_poll_ms_per_second()?
    ));
    for part in parts {
        let started = Instant::now();
        eprintln!("measuring {part:?}");
        match part {
            Part::Agent => agents::measure(&mut output).await?,
            Part::Owner => owner::measure(&mut output).await?,
            Part::Planner => planner::measure(&mut output)?,
            Part::Entry => entries::measure(&mut output).await?,
            Part::Store => store::measure(&mut output).await?,
            Part::Takeover => failures::takeover(&mut output).await?,
            Part::TakeOut => failures::take_out(&mut output).await?,
            Part::Outage => outage::measure(&mut output).await?,
        }
        output.note(format!(
            "{part:?} took {:.0} s; resident memory at its end {:.0} MB",
            started.elapsed().as_secs_f64(),
            system::resident_mb()
        ));
    }
    Ok(output)
}

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let parts = if arguments.parts.is_empty() {
        Part::value_variants().to_vec()
    } else {
        arguments.parts
    };
    let runtime = compio::runtime::Runtime::new()
        .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
    let output = runtime.block_on(run(&parts))?;
    if arguments.json {
        println!("{}", output.to_json()?);
    } else {
        println!("{output}");
    }
    Ok(())
}
