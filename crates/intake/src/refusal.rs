//! When a call is refused without trying the store, and when its caller should come back.
//!
//! Answers an outage of the store under load. A call that waits for a store that is known to be out of
//! reach keeps its caller from another host and from a later try. Callers have few tries: told to come back
//! after a constant time they use them up within the outage, so each is told to stay away the longer, the
//! longer the outage has lasted.

use std::time::Duration;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// Time for which the store may be out of reach before calls are refused at once: shorter outages end
/// within the time that a call waits anyway.
const GRACE: Duration = Duration::from_millis(700);
/// Shortest time after which a refused caller comes back; the header counts in seconds.
const SHORTEST_RETRY: Duration = Duration::from_secs(1);
/// Share of the time that the outage has lasted for which a refused caller stays away: with it five tries
/// span an outage of 10 s.
const GROWTH: f64 = 1.5;
/// Longest time after which a refused caller comes back: it bounds how long after the end of an outage the
/// caller is served.
const LONGEST_RETRY: Duration = Duration::from_secs(4);

/// Returns an error if a call has to be refused because the store has been out of reach for so long.
///
/// # Errors
/// `store_unavailable`, which says that the call did not run.
pub(crate) fn check(unreachable_for: Option<Duration>) -> Result<()> {
    match unreachable_for {
        Some(time) if time >= GRACE => {
            let detail = format!("the store has been out of reach for {time:?}");
            Err(Error::new(ErrorKind::StoreUnavailable, detail))
        }
        _ => Ok(()),
    }
}

/// Returns when a refused caller should come back, in whole seconds, given for how long the store has been
/// out of reach.
#[must_use]
pub fn retry_after(unreachable_for: Option<Duration>) -> Duration {
    let wait = unreachable_for
        .unwrap_or_default()
        .mul_f64(GROWTH)
        .clamp(SHORTEST_RETRY, LONGEST_RETRY);
    Duration::from_secs_f64(wait.as_secs_f64().ceil())
}
