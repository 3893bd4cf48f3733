//! Flags and subcommands of the command line.

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
    /// The subcommand.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Connection to the entry hosts.
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
    /// Prints JSON instead of tables.
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
        /// Prints the merged configuration as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Merges operators' files into a configuration and publishes it.
    Publish {
        /// Directories that hold the files.
        #[arg(required = true)]
        directories: Vec<PathBuf>,
        /// Connection to the entry hosts.
        #[command(flatten)]
        connection: Connection,
    },
    /// Takes a data centre out of service.
    TakeOut {
        /// Name of the data centre.
        data_centre: Box<str>,
        /// The data centre is known to be powered off, so its jobs may run elsewhere immediately.
        #[arg(long)]
        lost: bool,
        /// Connection to the entry hosts.
        #[command(flatten)]
        connection: Connection,
    },
    /// Returns a data centre to service.
    Return {
        /// Name of the data centre.
        data_centre: Box<str>,
        /// Connection to the entry hosts.
        #[command(flatten)]
        connection: Connection,
    },
    /// Shows the versions in force, the processes and the data centres.
    Status {
        /// Connection to the entry hosts.
        #[command(flatten)]
        connection: Connection,
    },
    /// Lists the changes with their operator, time and the versions before and after.
    Audit {
        /// Shows only changes after this version.
        #[arg(long, default_value_t = 0)]
        after: u64,
        /// Connection to the entry hosts.
        #[command(flatten)]
        connection: Connection,
    },
    /// Submits a job.
    Submit {
        /// File with the job in JSON; `-` reads standard input.
        file: PathBuf,
        /// Idempotency key; a repeated submission with the same key returns the same job.
        #[arg(long)]
        key: Option<Box<str>>,
        /// Connection to the entry hosts.
        #[command(flatten)]
        connection: Connection,
    },
    /// Shows a job.
    Job {
        /// Id of the job.
        job: Box<str>,
        /// Connection to the entry hosts.
        #[command(flatten)]
        connection: Connection,
    },
    /// Explains why a job waits or where it runs.
    Explain {
        /// Id of the job.
        job: Box<str>,
        /// Connection to the entry hosts.
        #[command(flatten)]
        connection: Connection,
    },
    /// Cancels a job.
    Cancel {
        /// Id of the job.
        job: Box<str>,
        /// Connection to the entry hosts.
        #[command(flatten)]
        connection: Connection,
    },
    /// Reads the logs of processes.
    Logs {
        /// The subcommand.
        #[command(subcommand)]
        command: LogsCommand,
    },
    /// Runs a complete deployment in one process on loopback, with the example files and a sample workload.
    Dev {
        /// Directories that hold the operators' files to publish.
        #[arg(default_value = "examples/kurzeme")]
        directories: Vec<PathBuf>,
        /// Keeps the deployment running after the sample workload, for use with the other commands.
        #[arg(long)]
        keep: bool,
        /// Prints the measurements as JSON on the last line.
        #[arg(long)]
        json: bool,
        /// Seed of the sample workload.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum LogsCommand {
    /// Prints all log lines about a job in chronological order.
    Explain {
        /// Id of the job.
        job: Box<str>,
        /// Log files, one per process.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Prints JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
}
