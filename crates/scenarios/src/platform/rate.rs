//! Rate limit of the simulated store.

use std::time::Instant;

/// A token bucket that holds at most a tenth of a second's worth of requests.
#[derive(Debug, Default)]
pub(crate) struct RateLimit {
    tokens: f64,
    filled_at: Option<Instant>,
}

impl RateLimit {
    /// Returns whether a request at `now` is within the limit of `per_second`, and consumes a token if so.
    /// `None` stands for no limit.
    pub(crate) fn admit(&mut self, per_second: Option<u32>, now: Instant) -> bool {
        let Some(per_second) = per_second else {
            self.filled_at = None;
            return true;
        };
        let rate = f64::from(per_second);
        let capacity = (rate / 10.0).max(1.0);
        self.tokens = match self.filled_at {
            Some(filled_at) => {
                let elapsed = now.saturating_duration_since(filled_at).as_secs_f64();
                (self.tokens + elapsed * rate).min(capacity)
            }
            None => capacity,
        };
        self.filled_at = Some(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
