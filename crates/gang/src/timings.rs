//! Intervals of the gang protocol.

use std::time::Duration;

/// Intervals of the gang protocol; all processes of a data centre use the same ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GangTimings {
    /// Time after which a reservation that was not bound lapses.
    pub reservation: Duration,
    /// Gang lease: time for which tasks run without a renewal, and for which a bind lasts.
    pub lease: Duration,
    /// Time between two renewal rounds of the lead.
    pub renew_interval: Duration,
    /// Time between two looks of the lead at its own worker's tasks.
    pub watch_interval: Duration,
    /// Time for the answer to one request before it is repeated.
    pub exchange: Duration,
    /// Time for one step of the life cycle, with repeats.
    pub step: Duration,
    /// Time for which a closed attempt is remembered.
    pub tombstone: Duration,
}

impl Default for GangTimings {
    fn default() -> Self {
        Self {
            reservation: Duration::from_secs(5),
            lease: Duration::from_secs(6),
            renew_interval: Duration::from_secs(2),
            watch_interval: Duration::from_millis(500),
            // Two repeats fit into one step, and a step ends before the lease of the first task that
            // it started lapses.
            exchange: Duration::from_secs(1),
            step: Duration::from_secs(4),
            // Far longer than any request can be under way.
            tombstone: Duration::from_secs(600),
        }
    }
}

impl GangTimings {
    /// Returns the silence after which an agent can neither run nor start a gang that it was part of:
    /// a bind can be started for the length of a reservation, the worker may take a step to start
    /// the task, and the task then runs for one gang lease.
    #[must_use]
    pub fn quiet(&self) -> Duration {
        self.reservation + self.step + self.lease
    }
}
