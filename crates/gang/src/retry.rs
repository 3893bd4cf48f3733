//! Requests that are repeated after transient errors.

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
/// One try waits for its answer for `request_timeout` at most.
///
/// Every message of the gang protocol is idempotent within its attempt, so a repeat is safe.
pub(crate) async fn send_until<M: Message>(
    client: &Client,
    to: SocketAddr,
    message: &M,
    request_timeout: Duration,
    deadline: Instant,
    check: impl Fn() -> Result<()>,
) -> Result<M::Answer> {
    let mut backoff = Backoff::new(request_timeout / 32, request_timeout / 2);
    let mut last_error = Error::new(
        ErrorKind::DeadlineExceeded,
        format!("the deadline passed before the request to {to} was sent"),
    );
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(last_error);
        }
        check()?;
        match client
            .send(to, message, request_timeout.min(remaining))
            .await
        {
            Err(error) if is_transient(error.kind) => last_error = error,
            answer => return answer,
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        compio::time::sleep(backoff.next_delay().min(remaining)).await;
    }
}

/// Returns whether an error of this kind is transient, so that a repeat may succeed.
fn is_transient(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Draining
            | ErrorKind::Overloaded
            | ErrorKind::RequestTimeout
            | ErrorKind::UnknownOutcome
            | ErrorKind::Unreachable
    )
}
