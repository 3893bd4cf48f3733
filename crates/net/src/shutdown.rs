//! Signal handling of daemons: SIGTERM and SIGINT start a graceful shutdown, SIGHUP reports changed settings.

use std::pin::pin;

use futures_util::future::select;
use log::warn;

use crate::Drain;
use nutmegwalk_base::event;

/// Number of the signal that an init system sends to stop a process.
const SIGTERM: i32 = 15;
/// Number of the signal that Ctrl-C sends.
const SIGINT: i32 = 2;

/// Number of the signal that reports that settings have changed.
const SIGHUP: i32 = 1;

/// Calls `reload` on each SIGHUP, whose default action would terminate the process.
pub fn on_reload(mut reload: impl FnMut() + 'static) {
    compio::runtime::spawn(async move {
        loop {
            match compio::signal::unix::signal(SIGHUP).await {
                Ok(()) => reload(),
                Err(error) => {
                    warn!(target: event::SIGNALS_LOST, "cannot wait for SIGHUP: {error}");
                    return;
                }
            }
        }
    })
    .detach();
}

/// Returns a drain that starts at the first SIGTERM or SIGINT.
#[must_use]
pub fn on_signal() -> Drain {
    let drain = Drain::new();
    let stop = drain.clone();
    compio::runtime::spawn(async move {
        let terminate = pin!(compio::signal::unix::signal(SIGTERM));
        let interrupt = pin!(compio::signal::unix::signal(SIGINT));
        let (received, _) = select(terminate, interrupt).await.factor_first();
        if let Err(error) = received {
            warn!(target: event::SIGNALS_LOST, "cannot wait for signals: {error}");
            std::future::pending::<()>().await;
        }
        stop.start();
    })
    .detach();
    drain
}
