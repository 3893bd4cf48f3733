//! Retry budget, which prevents retries from amplifying an overload.

use std::cell::RefCell;
use std::time::Duration;
use std::time::Instant;

/// Number of retries allowed per recent call.
const RETRY_RATIO: f64 = 0.1;
/// Retries allowed in addition, so that an entry host without recent calls can retry at all.
const EXTRA_RETRIES: f64 = 3.0;
/// Number and duration of the buckets of the sliding window; their product is the time for which a call
/// or a retry counts as recent.
const BUCKETS: usize = 10;
const BUCKET_DURATION: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Window {
    calls: [u64; BUCKETS],
    retries: [u64; BUCKETS],
    current: usize,
    since: Instant,
}

/// Limits retries to a fraction of the recent calls.
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

    /// Takes one retry from the budget; returns `false` when the budget is used up.
    pub(super) fn take_retry(&self) -> bool {
        let mut window = self.0.borrow_mut();
        window.advance();
        let calls: u64 = window.calls.iter().sum();
        let retries: u64 = window.retries.iter().sum();
        let allowed = calls as f64 * RETRY_RATIO + EXTRA_RETRIES;
        if (retries + 1) as f64 > allowed {
            return false;
        }
        let current = window.current;
        window.retries[current] += 1;
        true
    }
}

impl Window {
    /// Moves the window up to the current time and clears the buckets that it enters.
    fn advance(&mut self) {
        let mut steps = 0;
        while self.since.elapsed() >= BUCKET_DURATION && steps < BUCKETS {
            self.since += BUCKET_DURATION;
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
