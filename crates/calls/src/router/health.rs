//! Outlier ejection: derives from the results of calls whether a backend server may be used.

use std::time::Duration;
use std::time::Instant;

/// Number of consecutive failures after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// A server is slow when its latency exceeds the median of its peers by this factor and also by
/// [`SLOW_MARGIN_US`].
const SLOW_FACTOR: f64 = 3.0;
/// Minimum difference between the latency of a slow server and the median of its peers, in microseconds,
/// so that jitter of very short calls is ignored.
const SLOW_MARGIN_US: f64 = 20_000.0;
/// Number of answers after which the latency of a server is evaluated.
const MIN_SAMPLES: u32 = 10;
/// Weight of the newest answer in the exponential moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Bounds of the time until an ejected server is probed, which doubles with each ejection until a probe
/// succeeds.
const INITIAL_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Healthy,
    Ejected { until: Instant },
    Probing,
}

/// Permitted use of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Permission {
    /// The server may be used for any call.
    Use,
    /// The server may be used for a single call, which tests whether it has recovered.
    Probe,
    /// The server may not be used.
    Avoid,
}

/// Observation of the health of a server at the end of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Observation {
    /// A complete answer without a server error, after this time.
    Answer(Duration),
    /// No complete answer, an answer that reports a server error, or no connection.
    Failure,
    /// No information about the health, for example a refusal because of load.
    Neutral,
}

/// Health of one incarnation of a backend server.
#[derive(Debug)]
pub(super) struct Health {
    state: State,
    consecutive_failures: u32,
    next_ejection: Duration,
    latency_us: f64,
    samples: u32,
}

impl Health {
    /// Creates the health of a server without any observation.
    pub(super) fn new() -> Self {
        Self {
            state: State::Healthy,
            consecutive_failures: 0,
            next_ejection: INITIAL_EJECTION,
            latency_us: 0.0,
            samples: 0,
        }
    }

    /// Returns how the server may be used now.
    pub(super) fn permission(&self, now: Instant) -> Permission {
        match self.state {
            State::Healthy => Permission::Use,
            State::Ejected { until } if until <= now => Permission::Probe,
            State::Ejected { .. } | State::Probing => Permission::Avoid,
        }
    }

    /// Returns whether the server is ejected or being probed.
    pub(super) fn is_ejected(&self) -> bool {
        self.state != State::Healthy
    }

    /// Returns the mean latency in microseconds, or `None` before [`MIN_SAMPLES`] answers.
    pub(super) fn latency_us(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.latency_us)
    }

    /// Records that the probe is being sent.
    pub(super) fn start_probe(&mut self) {
        self.state = State::Probing;
    }

    /// Makes the next call the probe, because the current probe ended without an observation.
    pub(super) fn abandon_probe(&mut self, now: Instant) {
        if self.state == State::Probing {
            self.state = State::Ejected { until: now };
        }
    }

    /// Updates the health at the end of an attempt.
    ///
    /// `is_probe` is true for the attempt that was sent as the probe. `median_us` is the median latency of
    /// the other servers of the service at the same distance. `may_eject` is false when half of the servers
    /// of the service are ejected already.
    pub(super) fn record(
        &mut self,
        observation: Observation,
        is_probe: bool,
        median_us: Option<f64>,
        may_eject: bool,
        now: Instant,
    ) {
        let probing = is_probe && self.state == State::Probing;
        match observation {
            Observation::Neutral => {
                if probing {
                    self.abandon_probe(now);
                }
            }
            Observation::Failure => {
                self.consecutive_failures += 1;
                let is_outlier =
                    self.consecutive_failures >= FAILURES_TO_EJECT && self.state == State::Healthy;
                if probing || (is_outlier && may_eject) {
                    self.eject(now);
                }
            }
            Observation::Answer(latency) => {
                let latency_us = latency.as_secs_f64() * 1e6;
                if probing {
                    if is_slow(latency_us, median_us) {
                        self.eject(now);
                    } else {
                        *self = Self::new();
                    }
                    return;
                }
                self.consecutive_failures = 0;
                self.latency_us = if self.samples == 0 {
                    latency_us
                } else {
                    self.latency_us + LATENCY_WEIGHT * (latency_us - self.latency_us)
                };
                self.samples = self.samples.saturating_add(1);
                if self.samples >= MIN_SAMPLES
                    && is_slow(self.latency_us, median_us)
                    && may_eject
                    && self.state == State::Healthy
                {
                    self.eject(now);
                }
            }
        }
    }

    /// Ejects the server and doubles the duration of its next ejection, up to the limit.
    fn eject(&mut self, now: Instant) {
        self.state = State::Ejected {
            until: now + self.next_ejection,
        };
        self.next_ejection = (self.next_ejection * 2).min(MAX_EJECTION);
        self.consecutive_failures = 0;
    }
}

fn is_slow(latency_us: f64, median_us: Option<f64>) -> bool {
    median_us.is_some_and(|median_us| {
        latency_us > median_us * SLOW_FACTOR && latency_us > median_us + SLOW_MARGIN_US
    })
}
