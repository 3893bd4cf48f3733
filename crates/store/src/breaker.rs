//! Circuit breaker in front of the store.

use std::time::Duration;
use std::time::Instant;

use crate::Duty;
use nutmegwalk_base::backoff::Backoff;

/// Failures in a row that open the breaker.
const FAILURES_TO_OPEN: u32 = 5;
/// Delay before the first probe.
const FIRST_PROBE: Duration = Duration::from_millis(100);
/// Longest delay between probes.
const LONGEST_PROBE: Duration = Duration::from_secs(5);
/// Longest delay between probes for ownership: four renewals must fit into a lease of 4 s.
const LONGEST_OWNERSHIP_PROBE: Duration = Duration::from_secs(1);
/// A probe that has not ended after this time was dropped by its caller.
const PROBE_LIMIT: Duration = Duration::from_secs(6);
/// Interval at which requests look whether a probe has ended.
const PROBE_POLL: Duration = Duration::from_millis(20);
/// Gap between requests after the first successful probe; each success halves it.
const FIRST_GAP: Duration = Duration::from_millis(50);
/// The breaker is closed when the gap falls below this.
const SMALLEST_GAP: Duration = Duration::from_millis(2);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Closed { failures: u32 },
    Open { since: Instant, delay: Duration },
    Probing { since: Instant },
    Recovering { next_at: Instant, gap: Duration },
}

/// Opens after failures in a row, probes with backoff, and returns to full rate at a growing pace.
#[derive(Debug)]
pub struct Breaker {
    state: State,
    backoff: Backoff,
}

impl Default for Breaker {
    fn default() -> Self {
        Self::new()
    }
}

impl Breaker {
    /// Creates a closed breaker.
    #[must_use]
    pub fn new() -> Self {
        Self::with_max_probe_delay(LONGEST_PROBE)
    }

    /// Creates a closed breaker that probes at least this often.
    #[must_use]
    pub fn with_max_probe_delay(max_probe_delay: Duration) -> Self {
        Self {
            state: State::Closed { failures: 0 },
            backoff: Backoff::new(FIRST_PROBE.min(max_probe_delay), max_probe_delay),
        }
    }

    /// Returns whether every request is let through.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Returns how long a request must wait; zero when it may be sent now.
    #[must_use]
    pub fn wait(&self, duty: Duty, now: Instant) -> Duration {
        let ownership = duty == Duty::Ownership;
        match self.state {
            State::Closed { .. } => Duration::ZERO,
            State::Open { since, delay } if ownership => {
                (since + delay.min(LONGEST_OWNERSHIP_PROBE)).saturating_duration_since(now)
            }
            State::Open { since, delay } => (since + delay).saturating_duration_since(now),
            State::Probing { since } if ownership || now >= since + PROBE_LIMIT => Duration::ZERO,
            State::Probing { .. } => PROBE_POLL,
            State::Recovering { .. } if ownership => Duration::ZERO,
            State::Recovering { next_at, .. } => next_at.saturating_duration_since(now),
        }
    }

    /// Notes that a request is sent.
    pub fn start(&mut self, now: Instant) {
        match self.state {
            State::Closed { .. } => {}
            State::Open { .. } | State::Probing { .. } => {
                self.state = State::Probing { since: now };
            }
            State::Recovering { gap, .. } => {
                self.state = State::Recovering {
                    next_at: now + gap,
                    gap,
                };
            }
        }
    }

    /// Notes that the store answered.
    pub fn succeeded(&mut self, now: Instant) {
        self.state = match self.state {
            State::Recovering { gap, .. } if gap / 2 < SMALLEST_GAP => {
                self.backoff.reset();
                State::Closed { failures: 0 }
            }
            State::Recovering { next_at, gap } => State::Recovering {
                next_at: next_at.min(now + gap / 2),
                gap: gap / 2,
            },
            State::Closed { .. } => State::Closed { failures: 0 },
            State::Open { .. } | State::Probing { .. } => State::Recovering {
                next_at: now + FIRST_GAP,
                gap: FIRST_GAP,
            },
        };
    }

    /// Notes that the store did not answer.
    pub fn failed(&mut self, now: Instant) {
        match self.state {
            State::Closed { failures } if failures + 1 < FAILURES_TO_OPEN => {
                self.state = State::Closed {
                    failures: failures + 1,
                };
            }
            // Requests that were in flight when the breaker opened tell nothing new.
            State::Open { .. } => {}
            State::Closed { .. } | State::Probing { .. } | State::Recovering { .. } => {
                let delay = self.backoff.next_delay();
                self.state = State::Open { since: now, delay };
            }
        }
    }
}
