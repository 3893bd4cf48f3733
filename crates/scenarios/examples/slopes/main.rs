//! Measures the slopes behind `docs/CAPACITY.md` on one machine over loopback.
//!
//! `cargo run --release -p nutmegwalk-scenarios --example slopes -- [--json] [PART…]`. Each quantity is
//! measured at three or more sizes, with a straight line fitted by least squares. Processor time is that of
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

/// Seed of the simulated platform and of the synthetic load.
pub(crate) const SEED: u64 = 11;

/// Part of the measurements.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Part {
    /// Agents, and the time from the commit of a version until it is in force.
    Agent,
    /// Data-centre owner.
    Owner,
    /// Planner of one data centre.
    Planner,
    /// Entry host.
    Entry,
    /// Requests to table and object store.
    Store,
    /// Takeover after a crash of an owner.
    Takeover,
    /// Time from a take-out to the last task start in the data centre.
    TakeOut,
    /// Work done during a store outage.
    Outage,
}

/// Measures how the cost of each role grows.
#[derive(Debug, Parser)]
struct Arguments {
    /// Prints one JSON object instead of text.
    #[arg(long)]
    json: bool,
    /// Parts to measure; all by default.
    parts: Vec<Part>,
}

async fn run(parts: &[Part]) -> Result<Output> {
    let mut output = Output::new(SEED);
    output.note(format!(
        "clock: schedstat of each thread, in nanoseconds; the smallest increment between two reads was {} ns",
        system::clock_step_ns()
    ));
    output.note(format!(
        "the thread of each role in this process checks its control flags every 10 ms; this alone costs {:.3} ms/s",
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
