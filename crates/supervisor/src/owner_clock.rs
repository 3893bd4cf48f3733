//! The clock of the domain's owner, as known to an agent.

use std::time::Instant;

use nutmegwalk_base::Epoch;

/// Lower bound of the owner's clock, from its answers to reports.
///
/// Orders to start tasks expire at a time on the owner's clock. The bound shows that an order has expired although
/// it was delayed on its way, or in this process, by an unknown time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerClock {
    epoch: Epoch,
    clock_ms: u64,
    received_at: Instant,
}

impl OwnerClock {
    /// Creates the clock of the owner with `epoch`, which showed `clock_ms` before `received_at`.
    #[must_use]
    pub fn new(epoch: Epoch, clock_ms: u64, received_at: Instant) -> Self {
        Self {
            epoch,
            clock_ms,
            received_at,
        }
    }

    /// Returns the earliest time that the clock can show at `now`, in milliseconds.
    fn earliest_ms(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.received_at);
        self.clock_ms + u64::try_from(since.as_millis()).unwrap_or(u64::MAX / 2)
    }

    /// Returns whether an order of the owner with `epoch` that expires at `expiry_ms` is not known to have expired
    /// at `now`. An order of another owner, whose clock is unknown, counts as expired.
    #[must_use]
    pub fn is_before(&self, epoch: Epoch, expiry_ms: u64, now: Instant) -> bool {
        self.epoch == epoch && self.earliest_ms(now) < expiry_ms
    }

    /// Returns the better of this bound and a later one: that of the later epoch, or the higher one.
    #[must_use]
    pub fn improved_by(self, other: Self, now: Instant) -> Self {
        let key = |clock: &Self| (clock.epoch, clock.earliest_ms(now));
        if key(&other) >= key(&self) {
            other
        } else {
            self
        }
    }
}
