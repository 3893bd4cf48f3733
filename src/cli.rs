//! Flags and subcommands.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;

use nutmegwalk_base::secret::Secret;

/// Command line of nutmegwalk, for operators and callers.
#[derive(Debug, Parser)]
#[command(name = "nutmegwalk", version, about)]
pub(crate) struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// How to reach an entry host.
#[derive(Args, Clone, Debug)]
pub(crate) struct Connection {
    /// Addresses of entry hosts; the next one is tried when one cannot be reached.
    #[arg(
        long = "entry",
        env = "NUTMEGWALK_ENTRIES",
        value_delimiter = ',',
        required = true
    )]
    pub(crate) entries: Vec<SocketAddr>,
    /// Token of the operator or customer.
    #[arg(long, env = "NUTMEGWALK_TOKEN", hide_env_values = true)]
    pub(crate) token: Secret,
    /// Prints JSON for programs in place of tables.
    #[arg(long)]
    pub(crate) json: bool,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Checks operators' files without publishing them.
    Check {
        /// Directories that hold the files.
        #[arg(required = true)]
        directories: Vec<PathBuf>,
        /// Prints the gathered configuration as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Gathers operators' files into a configuration and publishes it.
    Publish {
        /// Directories that hold the files.
        #[arg(required = true)]
        directories: Vec<PathBuf>,
        /// How to reach an entry host.
        #[command(flatten)]
        connection: Connection,
    },
    /// Takes a data centre out of service.
    TakeOut {
        /// The data centre.
        data_centre: Box<str>,
        /// The data centre is known to be powered off; its jobs may run elsewhere at once.
        #[arg(long)]
        lost: bool,
        /// How to reach an entry host.
        #[command(flatten)]
        connection: Connection,
    },
    /// Returns a data centre to service.
    Return {
        /// The data centre.
        data_centre: Box<str>,
        /// How to reach an entry host.
        #[command(flatten)]
        connection: Connection,
    },
    /// Shows versions in force, processes and data centres.
    Status {
        /// How to reach an entry host.
        #[command(flatten)]
        connection: Connection,
    },
    /// Lists who changed what, when, from which version to which.
    Audit {
        /// Shows only changes after this version.
        #[arg(long, default_value_t = 0)]
        after: u64,
        /// How to reach an entry host.
        #[command(flatten)]
        connection: Connection,
    },
    /// Submits a job.
    Submit {
        /// File with the job in JSON; `-` reads standard input.
        file: PathBuf,
        /// Key under which a repeated submission gives the same job.
        #[arg(long)]
        key: Option<Box<str>>,
        /// How to reach an entry host.
        #[command(flatten)]
        connection: Connection,
    },
    /// Shows a job.
    Job {
        /// Id of the job.
        job: Box<str>,
        /// How to reach an entry host.
        #[command(flatten)]
        connection: Connection,
    },
    /// Tells why a job waits or where it runs.
    Explain {
        /// Id of the job.
        job: Box<str>,
        /// How to reach an entry host.
        #[command(flatten)]
        connection: Connection,
    },
    /// Cancels a job.
    Cancel {
        /// Id of the job.
        job: Box<str>,
        /// How to reach an entry host.
        #[command(flatten)]
        connection: Connection,
    },
    /// Reads the logs of processes.
    Logs {
        /// What to do with them.
        #[command(subcommand)]
        command: LogsCommand,
    },
    /// Runs the whole product in one process on loopback with the examples and a sample load.
    Dev {
        /// Directories to publish; the examples of the Joint Venture by default.
        #[arg(default_value = "examples/kurzeme")]
        directories: Vec<PathBuf>,
        /// Leaves the product up after the sample load, for use by the other commands.
        #[arg(long)]
        keep: bool,
        /// Prints the measures as JSON in the last line.
        #[arg(long)]
        json: bool,
        /// Seed of the sample load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum LogsCommand {
    /// Prints all lines about a job in the order of time.
    Explain {
        /// Id of the job.
        job: Box<str>,
        /// Files with the logs, one a process.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Prints JSON for programs in place of a table.
        #[arg(long)]
        json: bool,
    },
}
