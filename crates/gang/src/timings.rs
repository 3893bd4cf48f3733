//! Intervals of the gang protocol.

use std::time::Duration;

/// Intervals of the gang protocol; all processes of a data centre must use the same values.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GangTimings {
    /// Time after which a reservation that was not bound lapses, and for which a bound gang can be started.
    pub reservation: Duration,
    /// Gang lease: time for which tasks run without a renewal, and for which bound resources are held.
    pub lease: Duration,
    /// Time between two renewal rounds of the lead.
    pub renew_interval: Duration,
    /// Interval at which the lead lists the tasks of its own worker between rounds.
    pub task_poll_interval: Duration,
    /// Timeout of one request, after which it is repeated.
    pub request_timeout: Duration,
    /// Timeout of one step of the life cycle, including repeated requests.
    pub step_timeout: Duration,
    /// Minimum time for which a closed attempt is remembered, so that its late requests are refused.
    pub tombstone_retention: Duration,
}

impl Default for GangTimings {
    fn default() -> Self {
        Self {
            reservation: Duration::from_secs(5),
            lease: Duration::from_secs(6),
            renew_interval: Duration::from_secs(2),
            task_poll_interval: Duration::from_millis(500),
            // Two repeats of a request fit into one step, and a step ends before the lease of the
            // first task that it started lapses.
            request_timeout: Duration::from_secs(1),
            step_timeout: Duration::from_secs(4),
            // Much longer than any request can be in flight.
            tombstone_retention: Duration::from_secs(600),
        }
    }
}

impl GangTimings {
    /// Returns the quiet period: after this time without contact, an agent can neither run nor start a
    /// gang that it was part of.
    ///
    /// It is the sum of the time in which a bound gang can be started, of the step in which the worker
    /// may start the task, and of the gang lease for which the task then runs.
    #[must_use]
    pub fn quiet_period(&self) -> Duration {
        self.reservation + self.step_timeout + self.lease
    }
}
