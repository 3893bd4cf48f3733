//! Request rate limits by duty.

use std::time::Duration;
use std::time::Instant;

use crate::Duty;

/// Requests a second that one process allows itself, by duty in order of priority.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateLimits {
    /// Transactions and object writes a second.
    pub writes_per_second: [u32; 4],
    /// Reads a second.
    pub reads_per_second: [u32; 4],
}

impl Default for RateLimits {
    /// The store takes several hundred writes and about 2,000 reads a second from the whole deployment;
    /// a few entry hosts do most of them, and one transaction carries up to 100 rows.
    fn default() -> Self {
        Self {
            writes_per_second: [10, 50, 30, 10],
            reads_per_second: [50, 200, 100, 50],
        }
    }
}

/// Token buckets of one kind of request.
///
/// A duty takes its own tokens first and then those of duties with lower priority. Ownership is never
/// delayed; its requests are still drawn from the others' tokens.
#[derive(Debug)]
pub(crate) struct Buckets {
    rates: [u32; 4],
    tokens: [f64; 4],
    filled_at: Instant,
}

impl Buckets {
    pub(crate) fn new(rates: [u32; 4], now: Instant) -> Self {
        Self {
            rates,
            tokens: rates.map(burst),
            filled_at: now,
        }
    }

    /// Returns how long a request must wait; zero when it may be sent now.
    pub(crate) fn wait(&mut self, duty: Duty, now: Instant) -> Duration {
        self.fill(now);
        if duty == Duty::Ownership || self.source(duty).is_some() {
            return Duration::ZERO;
        }
        let rate = f64::from(self.rates[duty.index()].max(1));
        let missing = 1.0 - self.tokens[duty.index()];
        Duration::from_secs_f64(missing / rate).max(Duration::from_millis(1))
    }

    /// Takes a token for a request that is sent.
    pub(crate) fn take(&mut self, duty: Duty) {
        if let Some(source) = self.source(duty) {
            self.tokens[source] -= 1.0;
        }
    }

    fn source(&self, duty: Duty) -> Option<usize> {
        (duty.index()..self.tokens.len()).find(|index| self.tokens[*index] >= 1.0)
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        for (tokens, rate) in self.tokens.iter_mut().zip(self.rates) {
            *tokens = (*tokens + elapsed * f64::from(rate)).min(burst(rate));
        }
    }
}

/// Largest number of tokens saved up: half a second's worth.
fn burst(rate: u32) -> f64 {
    (f64::from(rate) / 2.0).max(1.0)
}
