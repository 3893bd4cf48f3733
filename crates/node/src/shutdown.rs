//! Planned stop of a daemon by SIGTERM or SIGINT.

use std::pin::pin;

use futures_util::future::select;
use log::warn;

use nutmegwalk_net::Drain;

/// Number of the signal by which an init system asks a process to stop.
const SIGTERM: i32 = 15;
/// Number of the signal that Ctrl-C sends.
const SIGINT: i32 = 2;

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
            warn!("cannot wait for signals: {error}");
            std::future::pending::<()>().await;
        }
        stop.start();
    })
    .detach();
    drain
}
