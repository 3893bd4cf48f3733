//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;

/// Generates growing delays, each chosen at random between half of the current bound and the bound.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial: Duration,
    limit: Duration,
    bound: Duration,
}

impl Backoff {
    /// Creates a backoff whose bound doubles from `initial` up to `limit`.
    #[must_use]
    pub fn new(initial: Duration, limit: Duration) -> Self {
        debug_assert!(initial <= limit);
        Self {
            initial,
            limit,
            bound: initial,
        }
    }

    /// Returns the next delay and doubles the bound, up to the limit.
    pub fn next_delay(&mut self) -> Duration {
        let bound = self.bound;
        self.bound = (bound * 2).min(self.limit);
        bound.mul_f64(rand::rng().random_range(0.5..=1.0))
    }

    /// Resets the bound to its initial value.
    pub fn reset(&mut self) {
        self.bound = self.initial;
    }
}
