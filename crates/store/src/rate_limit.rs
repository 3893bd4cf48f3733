//! Request rate limits per request class.

use std::time::Duration;
use std::time::Instant;

use crate::RequestClass;

/// Limits on the request rate of one process; each array holds one limit per request class, in order of priority.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateLimits {
    /// Transactions and object writes per second.
    pub writes_per_second: [u32; 4],
    /// Reads per second.
    pub reads_per_second: [u32; 4],
}

impl Default for RateLimits {
    /// The store handles several hundred writes and about 2,000 reads per second for the whole deployment. A few entry
    /// hosts send most of them, and one transaction writes up to 100 rows.
    fn default() -> Self {
        Self {
            writes_per_second: [10, 50, 30, 10],
            reads_per_second: [50, 200, 100, 50],
        }
    }
}

/// Token buckets for one kind of request, one bucket per request class.
///
/// A class uses the tokens of its own bucket first and then those of classes with lower priority. Ownership is never
/// delayed, but its requests also consume tokens.
#[derive(Debug)]
pub(crate) struct TokenBuckets {
    rates: [u32; 4],
    tokens: [f64; 4],
    refilled_at: Instant,
}

impl TokenBuckets {
    pub(crate) fn new(rates: [u32; 4], now: Instant) -> Self {
        Self {
            rates,
            tokens: rates.map(capacity),
            refilled_at: now,
        }
    }

    /// Returns how long a request must wait; zero if it may be sent now.
    pub(crate) fn wait_time(&mut self, class: RequestClass, now: Instant) -> Duration {
        self.refill(now);
        if class == RequestClass::Ownership || self.available_bucket(class).is_some() {
            return Duration::ZERO;
        }
        let rate = f64::from(self.rates[class.index()].max(1));
        let missing = 1.0 - self.tokens[class.index()];
        Duration::from_secs_f64(missing / rate).max(Duration::from_millis(1))
    }

    /// Consumes a token for a request that is being sent.
    pub(crate) fn take(&mut self, class: RequestClass) {
        if let Some(bucket) = self.available_bucket(class) {
            self.tokens[bucket] -= 1.0;
        }
    }

    /// Returns the index of the first bucket that has a token and that `class` may use.
    fn available_bucket(&self, class: RequestClass) -> Option<usize> {
        (class.index()..self.tokens.len()).find(|index| self.tokens[*index] >= 1.0)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = now;
        for (tokens, rate) in self.tokens.iter_mut().zip(self.rates) {
            *tokens = (*tokens + elapsed * f64::from(rate)).min(capacity(rate));
        }
    }
}

/// Returns the capacity of a bucket: the tokens of half a second, but at least one.
fn capacity(rate: u32) -> f64 {
    (f64::from(rate) / 2.0).max(1.0)
}
