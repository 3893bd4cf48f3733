//! Refusal of calls during an outage of the store, and the time after which their callers should retry.
//!
//! A call that waits for a store that is known to be unreachable keeps its caller from trying another host or
//! retrying later, so it is refused without trying the store. Callers have few attempts and would use them up
//! within the outage if they retried at a constant interval. The time to the next attempt therefore grows with
//! the duration of the outage.

use std::time::Duration;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// Time for which the store may be unreachable before calls are refused immediately. Shorter outages end within
/// the time that a call may wait anyway.
const OUTAGE_GRACE_PERIOD: Duration = Duration::from_millis(700);
/// Minimum time after which a refused caller retries; the `retry-after` header has a resolution of one second.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Ratio of the time to the next attempt to the duration of the outage so far. With this value, five attempts
/// span an outage of 10 s.
const RETRY_AFTER_FACTOR: f64 = 1.5;
/// Maximum time after which a refused caller retries. It bounds the time from the end of an outage until the
/// caller is served.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// Checks that the store has not been unreachable for longer than the grace period.
///
/// # Errors
/// `store_unavailable` when the call has to be refused; it means that the call did not run.
pub(crate) fn check_reachable(unreachable_for: Option<Duration>) -> Result<()> {
    match unreachable_for {
        Some(time) if time >= OUTAGE_GRACE_PERIOD => {
            let detail = format!("the store has been out of reach for {time:?}");
            Err(Error::new(ErrorKind::StoreUnavailable, detail))
        }
        _ => Ok(()),
    }
}

/// Returns the time after which a refused caller should retry, in whole seconds, given how long the store has
/// been unreachable; `None` when it is reachable.
#[must_use]
pub fn retry_after(unreachable_for: Option<Duration>) -> Duration {
    let wait = unreachable_for
        .unwrap_or_default()
        .mul_f64(RETRY_AFTER_FACTOR)
        .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    Duration::from_secs_f64(wait.as_secs_f64().ceil())
}
