//! Circuit breaker in front of the store.

use std::time::Duration;
use std::time::Instant;

use crate::RequestClass;
use nutmegwalk_base::backoff::Backoff;

/// Number of consecutive failures that open the breaker.
const FAILURE_THRESHOLD: u32 = 5;
/// Delay before the first probe.
const INITIAL_PROBE_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between probes.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(5);
/// Longest delay between probes for ownership, so that four renewals fit into a lease of 4 s.
const MAX_OWNERSHIP_PROBE_DELAY: Duration = Duration::from_secs(1);
/// Time after which a probe without a result is considered dropped by its caller.
const PROBE_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval at which waiting requests check whether a probe has ended.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between requests after the first successful probe; each success halves it.
const INITIAL_REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// The breaker closes when the interval between requests falls below this.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Closed {
        failures: u32,
    },
    Open {
        since: Instant,
        delay: Duration,
    },
    Probing {
        since: Instant,
    },
    Recovering {
        next_at: Instant,
        interval: Duration,
    },
}

/// Opens after consecutive failures, probes with backoff, and increases the request rate gradually until it closes.
#[derive(Debug)]
pub struct CircuitBreaker {
    state: State,
    backoff: Backoff,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self::new()
    }
}

impl CircuitBreaker {
    /// Creates a closed breaker.
    #[must_use]
    pub fn new() -> Self {
        Self::with_max_probe_delay(MAX_PROBE_DELAY)
    }

    /// Creates a closed breaker whose delay between probes never exceeds `max_probe_delay`.
    #[must_use]
    pub fn with_max_probe_delay(max_probe_delay: Duration) -> Self {
        Self {
            state: State::Closed { failures: 0 },
            backoff: Backoff::new(INITIAL_PROBE_DELAY.min(max_probe_delay), max_probe_delay),
        }
    }

    /// Returns whether the breaker admits every request.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Returns how long a request must wait; zero if it may be sent now.
    #[must_use]
    pub fn wait_time(&self, class: RequestClass, now: Instant) -> Duration {
        let is_ownership = class == RequestClass::Ownership;
        match self.state {
            State::Closed { .. } => Duration::ZERO,
            State::Open { since, delay } if is_ownership => {
                (since + delay.min(MAX_OWNERSHIP_PROBE_DELAY)).saturating_duration_since(now)
            }
            State::Open { since, delay } => (since + delay).saturating_duration_since(now),
            State::Probing { since } if is_ownership || now >= since + PROBE_TIMEOUT => {
                Duration::ZERO
            }
            State::Probing { .. } => PROBE_POLL_INTERVAL,
            State::Recovering { .. } if is_ownership => Duration::ZERO,
            State::Recovering { next_at, .. } => next_at.saturating_duration_since(now),
        }
    }

    /// Records that a request is being sent.
    pub fn record_start(&mut self, now: Instant) {
        match self.state {
            State::Closed { .. } => {}
            State::Open { .. } | State::Probing { .. } => {
                self.state = State::Probing { since: now };
            }
            State::Recovering { interval, .. } => {
                self.state = State::Recovering {
                    next_at: now + interval,
                    interval,
                };
            }
        }
    }

    /// Records that the store answered a request.
    pub fn record_success(&mut self, now: Instant) {
        self.state = match self.state {
            State::Recovering { interval, .. } if interval / 2 < MIN_REQUEST_INTERVAL => {
                self.backoff.reset();
                State::Closed { failures: 0 }
            }
            State::Recovering { next_at, interval } => State::Recovering {
                next_at: next_at.min(now + interval / 2),
                interval: interval / 2,
            },
            State::Closed { .. } => State::Closed { failures: 0 },
            State::Open { .. } | State::Probing { .. } => State::Recovering {
                next_at: now + INITIAL_REQUEST_INTERVAL,
                interval: INITIAL_REQUEST_INTERVAL,
            },
        };
    }

    /// Records that the store did not answer a request.
    pub fn record_failure(&mut self, now: Instant) {
        match self.state {
            State::Closed { failures } if failures + 1 < FAILURE_THRESHOLD => {
                self.state = State::Closed {
                    failures: failures + 1,
                };
            }
            // Failures of requests that were in flight when the breaker opened carry no new information.
            State::Open { .. } => {}
            State::Closed { .. } | State::Probing { .. } | State::Recovering { .. } => {
                let delay = self.backoff.next_delay();
                self.state = State::Open { since: now, delay };
            }
        }
    }
}
