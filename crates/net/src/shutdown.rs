//! Signals to a daemon: a planned stop by SIGTERM or SIGINT, and changed settings by SIGHUP.

use std::pin::pin;

use futures_util::future::select;
use log::warn;

use crate::Drain;
use nutmegwalk_base::event;

/// Number of the signal by which an init system asks a process to stop.
const SIGTERM: i32 = 15;
/// Number of the signal that Ctrl-C sends.
const SIGINT: i32 = 2;

/// Number of the signal that says that settings have changed.
const SIGHUP: i32 = 1;

/// Calls `reload` at each SIGHUP; without this the signal would end the process.
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

/// Returns a drain that starts with the first SIGTERM or SIGINT.
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
