//! Runs scenario files, compares placement policies, and runs the simulated platform as a separate process.

mod compare;
mod report;
mod simulated_platform;

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;
use log::LevelFilter;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;
use nutmegwalk_fleet::Policy;
use nutmegwalk_scenarios::platform::WorkerSize;
use nutmegwalk_scenarios::runner;
use nutmegwalk_scenarios::script;

/// Exit code of a run that violated an invariant.
const EXIT_VIOLATED: u8 = 1;

/// Runs scenarios against the system on the loopback interface.
#[derive(Debug, Parser)]
#[command(name = "nutmegwalk-scenarios", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a scenario and checks its invariants.
    Run {
        /// Scenario file.
        file: PathBuf,
        /// Seed of the load; defaults to the seed in the file.
        #[arg(long)]
        seed: Option<u64>,
        /// Prints the measures as a JSON object in the last line.
        #[arg(long)]
        json: bool,
    },
    /// Runs the same load with the default policy and with a baseline.
    Compare {
        /// Scenario file.
        file: PathBuf,
        /// Baseline policy.
        #[arg(long)]
        baseline: Baseline,
        /// Seed of the load; defaults to the seed in the file.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Runs table, object store and workers as a separate process, for daemons that are started by hand.
    Platform {
        /// Address and port to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// Names of the workers.
        #[arg(long, value_delimiter = ',', required = true)]
        workers: Vec<WorkerId>,
        /// Processor cores of each worker.
        #[arg(long, default_value_t = WorkerSize::LARGE.cores)]
        cores: u32,
        /// Memory of each worker in megabytes.
        #[arg(long, default_value_t = WorkerSize::LARGE.memory_mb)]
        memory_mb: u64,
        /// Accelerators of each worker.
        #[arg(long, default_value_t = WorkerSize::LARGE.accelerators)]
        accelerators: u32,
        /// Seed of the store's random faults.
        #[arg(long, default_value_t = 0)]
        seed: u64,
    },
}

/// Baseline placement policies.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Baseline {
    /// Jobs in order of arrival, on the first workers with free capacity, without reclaim.
    FirstFit,
    /// The capacity of each guarantee only for its customer, and the remaining capacity for jobs in order of arrival.
    Static,
}

impl From<Baseline> for Policy {
    fn from(baseline: Baseline) -> Self {
        match baseline {
            Baseline::FirstFit => Self::FirstFit,
            Baseline::Static => Self::Static,
        }
    }
}

fn main() -> ExitCode {
    match execute(Cli::parse()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_VIOLATED),
        Err(error) => {
            eprintln!("nutmegwalk-scenarios: {error}");
            ExitCode::from(error.kind.exit_code())
        }
    }
}

/// Executes a command and returns the number of violations.
fn execute(cli: Cli) -> Result<u64> {
    let level = std::env::var("NUTMEGWALK_LOG_LEVEL")
        .ok()
        .and_then(|level| level.parse().ok());
    nutmegwalk_base::logging::start(
        level.unwrap_or(LevelFilter::Off),
        nutmegwalk_base::logging::LogTarget::Stderr,
    )?;
    let runtime = compio::runtime::Runtime::new()
        .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
    match cli.command {
        Command::Run { file, seed, json } => {
            let scenario = script::load(&file, Path::new("."))?;
            let seed = seed.unwrap_or(scenario.seed);
            let result = runtime.block_on(runner::run(Rc::new(scenario), seed))?;
            report::print(&result, json);
            Ok(result.measures.violations())
        }
        Command::Compare {
            file,
            baseline,
            seed,
        } => {
            let scenario = script::load(&file, Path::new("."))?;
            let seed = seed.unwrap_or(scenario.seed);
            let mut baseline_scenario = scenario.clone();
            baseline_scenario.deployment.policy = baseline.into();
            let default_run = runtime.block_on(runner::run(Rc::new(scenario), seed))?;
            let baseline_run = runtime.block_on(runner::run(Rc::new(baseline_scenario), seed))?;
            compare::print(&default_run.measures, &baseline_run.measures);
            Ok(default_run.measures.violations())
        }
        Command::Platform {
            listen,
            workers,
            cores,
            memory_mb,
            accelerators,
            seed,
        } => {
            let size = WorkerSize {
                cores,
                memory_mb,
                accelerators,
            };
            runtime.block_on(simulated_platform::run(listen, &workers, size, seed))?;
            Ok(0)
        }
    }
}
