//! Outlier ejection: whether a backend server is used, from the results of its calls.

use std::time::Duration;
use std::time::Instant;

/// Consecutive failures after which a server is ejected.
const FAILURES: u32 = 3;
/// A server is slow when its answers take this many times the median of its peers, …
const SLOW_FACTOR: f64 = 3.0;
/// … and at least this much longer, so that jitter of very short calls does not count.
const SLOW_MARGIN_US: f64 = 20_000.0;
/// Answers needed before a server is judged by its latency.
const MIN_SAMPLES: u32 = 10;
/// Weight of the newest answer in the mean latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Time until the first probe of an ejected server; it doubles with each failed probe.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
const LONGEST_EJECTION: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Used,
    Ejected { until: Instant },
    Probing,
}

/// How a server may be used now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Permission {
    /// For any call.
    Use,
    /// For a single call that shows whether it has recovered.
    Probe,
    /// Not at all.
    Avoid,
}

/// What the end of an attempt says about the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Evidence {
    /// A complete answer after this time.
    Answer(Duration),
    /// No complete answer, an answer that reports a server error, or no connection.
    Failure,
    /// Nothing, for example a refusal because of load.
    Nothing,
}

/// Health of one incarnation of a backend server.
#[derive(Debug)]
pub(super) struct Health {
    state: State,
    failures: u32,
    ejection: Duration,
    latency_us: f64,
    samples: u32,
}

impl Health {
    /// Creates the health of a server that nothing is known of.
    pub(super) fn new() -> Self {
        Self {
            state: State::Used,
            failures: 0,
            ejection: FIRST_EJECTION,
            latency_us: 0.0,
            samples: 0,
        }
    }

    /// Returns how the server may be used now.
    pub(super) fn permission(&self, now: Instant) -> Permission {
        match self.state {
            State::Used => Permission::Use,
            State::Ejected { until } if until <= now => Permission::Probe,
            State::Ejected { .. } | State::Probing => Permission::Avoid,
        }
    }

    /// Returns whether the server is ejected or half-open.
    pub(super) fn is_ejected(&self) -> bool {
        self.state != State::Used
    }

    /// Returns the mean latency once there are enough answers.
    pub(super) fn latency_us(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.latency_us)
    }

    /// Marks the one probe as sent.
    pub(super) fn start_probe(&mut self) {
        self.state = State::Probing;
    }

    /// Lets the next call be the probe, because the last one ended without a result.
    pub(super) fn abandon_probe(&mut self, now: Instant) {
        if self.state == State::Probing {
            self.state = State::Ejected { until: now };
        }
    }

    /// Takes the end of an attempt into account.
    ///
    /// `is_probe` is true for the attempt that was sent as the probe. `median_us` is the median latency of the other servers of the service, and `may_eject` is
    /// false when half of the service's servers are ejected already.
    pub(super) fn record(
        &mut self,
        evidence: Evidence,
        is_probe: bool,
        median_us: Option<f64>,
        may_eject: bool,
        now: Instant,
    ) {
        let probing = is_probe && self.state == State::Probing;
        match evidence {
            Evidence::Nothing => {
                if probing {
                    self.abandon_probe(now);
                }
            }
            Evidence::Failure => {
                self.failures += 1;
                let is_outlier = self.failures >= FAILURES && self.state == State::Used;
                if probing || (is_outlier && may_eject) {
                    self.eject(now);
                }
            }
            Evidence::Answer(latency) => {
                let latency_us = latency.as_secs_f64() * 1e6;
                if probing {
                    if is_slow(latency_us, median_us) {
                        self.eject(now);
                    } else {
                        *self = Self::new();
                    }
                    return;
                }
                self.failures = 0;
                self.latency_us = if self.samples == 0 {
                    latency_us
                } else {
                    self.latency_us + LATENCY_WEIGHT * (latency_us - self.latency_us)
                };
                self.samples = self.samples.saturating_add(1);
                if self.samples >= MIN_SAMPLES
                    && is_slow(self.latency_us, median_us)
                    && may_eject
                    && self.state == State::Used
                {
                    self.eject(now);
                }
            }
        }
    }

    fn eject(&mut self, now: Instant) {
        self.state = State::Ejected {
            until: now + self.ejection,
        };
        self.ejection = (self.ejection * 2).min(LONGEST_EJECTION);
        self.failures = 0;
    }
}

fn is_slow(latency_us: f64, median_us: Option<f64>) -> bool {
    median_us.is_some_and(|median_us| {
        latency_us > median_us * SLOW_FACTOR && latency_us > median_us + SLOW_MARGIN_US
    })
}
