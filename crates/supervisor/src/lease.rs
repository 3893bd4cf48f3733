//! The worker's lease on the worker's clock and on the clock of the agent.

use std::time::Duration;
use std::time::Instant;

/// A worker's clock may be slow by this share, in percent.
const CLOCK_SLOW_PERCENT: u32 = 2;

/// Relates the worker's clock to the agent's, and knows how long the lease may last.
#[derive(Clone, Copy, Debug)]
pub struct LeaseClock {
    /// The worker's clock when it answered last, in milliseconds.
    clock_ms: u64,
    /// An instant after that answer.
    answered_at: Instant,
    /// Latest end of the lease that the worker may have been given, on its clock, in milliseconds.
    lease_until_clock_ms: u64,
}

impl LeaseClock {
    /// Creates the clock from an answer that arrived before `answered_at`.
    ///
    /// A predecessor of this process may have renewed the lease just before, by `max_lease` at most.
    #[must_use]
    pub fn new(clock_ms: u64, answered_at: Instant, max_lease: Duration) -> Self {
        Self {
            clock_ms,
            answered_at,
            lease_until_clock_ms: clock_ms + as_ms(max_lease),
        }
    }

    /// Returns the worker's clock at the last answer, in milliseconds.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Takes in a later answer.
    pub fn observe(&mut self, clock_ms: u64, answered_at: Instant) {
        if clock_ms >= self.clock_ms {
            self.clock_ms = clock_ms;
            self.answered_at = answered_at;
        }
    }

    /// Returns the end of a lease that is renewed at `now`, on the worker's clock, in milliseconds.
    ///
    /// It lasts for `max_lease` from now and has lapsed at `horizon` for certain, also on a slow clock.
    #[must_use]
    pub fn lease_until_ms(&self, now: Instant, horizon: Instant, max_lease: Duration) -> u64 {
        let until_horizon = slowest(horizon.saturating_duration_since(self.answered_at));
        let since_answer = slowest(now.saturating_duration_since(self.answered_at));
        self.clock_ms + as_ms(until_horizon.min(since_answer + max_lease))
    }

    /// Returns how long ago the worker answered.
    #[must_use]
    pub fn time_since_answer(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.answered_at)
    }

    /// Notes that a request with this end of the lease is being sent; returns the end known before.
    pub fn begin_renewal(&mut self, lease_until_clock_ms: u64) -> u64 {
        let before = self.lease_until_clock_ms;
        self.lease_until_clock_ms = before.max(lease_until_clock_ms);
        before
    }

    /// Takes back the last [`LeaseClock::begin_renewal`], because the request was not sent after all.
    pub fn cancel_renewal(&mut self, lease_until_clock_ms: u64, before: u64) {
        // Another request may have moved the end on meanwhile.
        if self.lease_until_clock_ms == lease_until_clock_ms {
            self.lease_until_clock_ms = before;
        }
    }

    /// Returns whether the lease has lapsed at `now` for certain.
    #[must_use]
    pub fn has_lapsed(&self, now: Instant) -> bool {
        let since_answer = slowest(now.saturating_duration_since(self.answered_at));
        self.clock_ms + as_ms(since_answer) > self.lease_until_clock_ms
    }
}

/// Returns the time that passes on the slowest clock meanwhile.
fn slowest(time: Duration) -> Duration {
    time * (100 - CLOCK_SLOW_PERCENT) / 100
}

fn as_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
