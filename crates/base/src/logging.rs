//! JSON-line logs on standard error.

use log::LevelFilter;
use log4rs::Config;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::console::Target;
use log4rs::config::Appender;
use log4rs::config::Root;
use log4rs::encode::json::JsonEncoder;

use crate::Error;
use crate::ErrorKind;

const APPENDER: &str = "stderr";

/// Starts logging of records at `level` and above, one JSON object a line.
///
/// # Errors
/// `internal` when logging was started before.
pub fn start(level: LevelFilter) -> Result<(), Error> {
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(console)))
        .build(Root::builder().appender(APPENDER).build(level))
        .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
    log4rs::init_config(config)
        .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
    Ok(())
}
