//! The worker's lease, on the worker's clock and on the agent's clock.

use std::time::Duration;
use std::time::Instant;

/// Share by which a worker's clock may be slow, in percent.
const MAX_CLOCK_SLOWNESS_PERCENT: u32 = 2;

/// Relates the worker's clock to the agent's, and tracks the latest possible end of the worker's lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseClock {
    /// The worker's clock at its last answer, in milliseconds.
    clock_ms: u64,
    /// Instant on the agent's clock at which that answer had arrived.
    answered_at: Instant,
    /// Latest end of the lease that the worker may have received, on its clock, in milliseconds.
    lease_until_clock_ms: u64,
    /// Number of renewals that were begun.
    renewals: u64,
}

/// A renewal whose request is being sent.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRenewal {
    number: u64,
    previous_until_clock_ms: u64,
}

impl LeaseClock {
    /// Creates the clock from an answer that had arrived by `answered_at`.
    ///
    /// An earlier incarnation of this process may have renewed the lease just before, for `max_lease` at most.
    #[must_use]
    pub fn new(clock_ms: u64, answered_at: Instant, max_lease: Duration) -> Self {
        Self {
            clock_ms,
            answered_at,
            lease_until_clock_ms: clock_ms + as_ms(max_lease),
            renewals: 0,
        }
    }

    /// Returns the worker's clock at the last answer, in milliseconds.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Returns the latest end of the lease that the worker may have received, on its clock, in milliseconds.
    #[must_use]
    pub fn lease_until_clock_ms(&self) -> u64 {
        self.lease_until_clock_ms
    }

    /// Records a later answer.
    pub fn observe(&mut self, clock_ms: u64, answered_at: Instant) {
        if clock_ms >= self.clock_ms {
            self.clock_ms = clock_ms;
            self.answered_at = answered_at;
        }
    }

    /// Returns the end of a lease that is renewed at `now`, on the worker's clock, in milliseconds.
    ///
    /// It lasts for `max_lease` from `now` at most, and has provably lapsed at `limit`, also on a slow clock.
    #[must_use]
    pub fn lease_until_ms(&self, now: Instant, limit: Instant, max_lease: Duration) -> u64 {
        let until_limit = min_clock_advance(limit.saturating_duration_since(self.answered_at));
        let since_answer = min_clock_advance(now.saturating_duration_since(self.answered_at));
        self.clock_ms + as_ms(until_limit.min(since_answer + max_lease))
    }

    /// Returns the time since the worker's last answer.
    #[must_use]
    pub fn time_since_answer(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.answered_at)
    }

    /// Records that a request with this end of the lease is being sent.
    pub fn begin_renewal(&mut self, lease_until_clock_ms: u64) -> LeaseRenewal {
        let previous_until_clock_ms = self.lease_until_clock_ms;
        self.lease_until_clock_ms = previous_until_clock_ms.max(lease_until_clock_ms);
        self.renewals += 1;
        LeaseRenewal {
            number: self.renewals,
            previous_until_clock_ms,
        }
    }

    /// Reverts a renewal whose request was not sent, unless another one was begun since.
    pub fn cancel_renewal(&mut self, renewal: LeaseRenewal) {
        // A later renewal can have the same end, and may have been received.
        if self.renewals == renewal.number {
            self.lease_until_clock_ms = renewal.previous_until_clock_ms;
        }
    }

    /// Returns whether the lease has provably lapsed at `now`.
    #[must_use]
    pub fn has_lapsed(&self, now: Instant) -> bool {
        let since_answer = min_clock_advance(now.saturating_duration_since(self.answered_at));
        self.clock_ms + as_ms(since_answer) > self.lease_until_clock_ms
    }
}

/// Returns by how much the slowest possible clock of a worker advances in `time`.
fn min_clock_advance(time: Duration) -> Duration {
    time * (100 - MAX_CLOCK_SLOWNESS_PERCENT) / 100
}

fn as_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
