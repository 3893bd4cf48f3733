//! Daemon of the entry host: parses the settings, runs until a signal, and maps errors to exit codes.

use std::process::ExitCode;

use clap::Parser;
use eyre::WrapErr;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::logging;
use nutmegwalk_base::logging::LogTarget;
use nutmegwalk_node::Entry;
use nutmegwalk_node::NodeOptions;
use nutmegwalk_node::settings::EntrySettings;
use nutmegwalk_node::shutdown;

fn main() -> ExitCode {
    let result = run();
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("nutmegwalk-entry: {report:#}");
            let kind = report
                .downcast_ref::<Error>()
                .map_or(ErrorKind::Internal, |error| error.kind);
            ExitCode::from(kind.exit_code())
        }
    }
}

fn run() -> eyre::Result<()> {
    let settings = EntrySettings::parse();
    settings.check()?;
    logging::start(settings.common.log_level, LogTarget::Stdout)?;
    let runtime = compio::runtime::Runtime::new().wrap_err("cannot start the runtime")?;
    runtime.block_on(async {
        let entry = Entry::bind(settings, NodeOptions::new()).await?;
        entry.run(shutdown::on_signal()).await;
        Ok(())
    })
}
