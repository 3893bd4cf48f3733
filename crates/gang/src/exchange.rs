//! Requests that are repeated while their outcome is unknown.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::backoff::Backoff;
use nutmegwalk_net::Client;
use nutmegwalk_net::Message;

/// Sends `message` until it is answered or `deadline` has passed; `check` runs before each send.
///
/// Every message of the gang protocol is idempotent by attempt, so a repeat is safe.
pub(crate) async fn send_until<M: Message>(
    client: &Client,
    to: SocketAddr,
    message: &M,
    exchange: Duration,
    deadline: Instant,
    check: impl Fn() -> Result<()>,
) -> Result<M::Answer> {
    let mut backoff = Backoff::new(exchange / 32, exchange / 2);
    let mut last = Error::new(
        ErrorKind::DeadlineExceeded,
        format!("no time left for {to}"),
    );
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(last);
        }
        check()?;
        match client.send(to, message, exchange.min(left)).await {
            Err(error) if is_repeatable(error.kind) => last = error,
            answer => return answer,
        }
        let left = deadline.saturating_duration_since(Instant::now());
        compio::time::sleep(backoff.next_delay().min(left)).await;
    }
}

/// Returns whether the same message may get another answer soon.
fn is_repeatable(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Draining
            | ErrorKind::Overloaded
            | ErrorKind::RequestTimeout
            | ErrorKind::UnknownOutcome
            | ErrorKind::Unreachable
    )
}
