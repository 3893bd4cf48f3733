//! The retry budget, which keeps retries from multiplying an overload.

use std::cell::RefCell;
use std::time::Duration;
use std::time::Instant;

/// Retries allowed for each recent call.
const RETRY_RATIO: f64 = 0.1;
/// Retries allowed without any recent call, so that a quiet entry host can retry at all.
const FREE_RETRIES: f64 = 3.0;
/// How long a call or a retry counts as recent is the length of a bucket times their number.
const BUCKETS: usize = 10;
const BUCKET_LENGTH: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Window {
    calls: [u64; BUCKETS],
    retries: [u64; BUCKETS],
    current: usize,
    since: Instant,
}

/// Counts recent calls and retries.
#[derive(Debug)]
pub(super) struct RetryBudget(RefCell<Window>);

impl RetryBudget {
    /// Creates a budget without recent calls.
    pub(super) fn new() -> Self {
        Self(RefCell::new(Window {
            calls: [0; BUCKETS],
            retries: [0; BUCKETS],
            current: 0,
            since: Instant::now(),
        }))
    }

    /// Counts a call.
    pub(super) fn record_call(&self) {
        let mut window = self.0.borrow_mut();
        window.advance();
        let current = window.current;
        window.calls[current] += 1;
    }

    /// Takes one retry from the budget; returns whether there was one left.
    pub(super) fn take_retry(&self) -> bool {
        let mut window = self.0.borrow_mut();
        window.advance();
        let calls: u64 = window.calls.iter().sum();
        let retries: u64 = window.retries.iter().sum();
        let allowed = calls as f64 * RETRY_RATIO + FREE_RETRIES;
        if (retries + 1) as f64 > allowed {
            return false;
        }
        let current = window.current;
        window.retries[current] += 1;
        true
    }
}

impl Window {
    fn advance(&mut self) {
        let mut steps = 0;
        while self.since.elapsed() >= BUCKET_LENGTH && steps < BUCKETS {
            self.since += BUCKET_LENGTH;
            self.current = (self.current + 1) % BUCKETS;
            self.calls[self.current] = 0;
            self.retries[self.current] = 0;
            steps += 1;
        }
        if steps == BUCKETS {
            self.since = Instant::now();
        }
    }
}
