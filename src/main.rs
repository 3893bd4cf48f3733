//! Command line for operators and callers.

mod api;
mod cli;
mod commands;
mod dev;
mod logs;
mod table;

use std::process::ExitCode;

use clap::Parser;

use crate::cli::Cli;
use crate::cli::Command;
use crate::cli::LogsCommand;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

fn main() -> ExitCode {
    let command = Cli::parse().command;
    let result = match command {
        Command::Check { directories, json } => commands::check(&directories, json),
        Command::Dev {
            directories,
            keep,
            json,
            seed,
        } => dev::run(&directories, keep, json, seed),
        Command::Logs {
            command: LogsCommand::Explain { job, files, json },
        } => logs::explain(&job, &files, json),
        connected => compio::runtime::Runtime::new()
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))
            .and_then(|runtime| runtime.block_on(run_connected(connected))),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("nutmegwalk: {error}");
            ExitCode::from(error.kind.exit_code())
        }
    }
}

async fn run_connected(command: Command) -> Result<()> {
    match command {
        Command::Publish {
            directories,
            connection,
        } => commands::publish(&directories, connection).await,
        Command::TakeOut {
            data_centre,
            lost,
            connection,
        } => commands::take_out(data_centre, lost, connection).await,
        Command::Return {
            data_centre,
            connection,
        } => commands::return_to_service(data_centre, connection).await,
        Command::Status { connection } => commands::status(connection).await,
        Command::Audit { after, connection } => commands::audit(after, connection).await,
        Command::Submit {
            file,
            key,
            connection,
        } => commands::submit(&file, key, connection).await,
        Command::Job { job, connection } => commands::job(&job, connection).await,
        Command::Explain { job, connection } => commands::explain(&job, connection).await,
        Command::Cancel { job, connection } => commands::cancel(&job, connection).await,
        Command::Check { .. } | Command::Dev { .. } | Command::Logs { .. } => Ok(()),
    }
}
