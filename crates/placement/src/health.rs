//! Quarantine of workers on which runs fail repeatedly.
//!
//! A worker that fails every task is always free. Without quarantine a retried task is placed on it again
//! and uses up its attempts.

use std::time::Duration;
use std::time::Instant;

/// Thresholds and durations of the quarantine of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HealthSettings {
    /// Consecutive failures after which the worker is quarantined. They are usually of different units, since a
    /// unit avoids the workers on which it has failed.
    pub failures_to_quarantine: u32,
    /// Duration of the first quarantine; each further quarantine lasts twice as long as the one before.
    pub initial_quarantine: Duration,
    /// Upper bound of the duration of a quarantine.
    pub max_quarantine: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            failures_to_quarantine: 2,
            initial_quarantine: Duration::from_secs(4),
            max_quarantine: Duration::from_secs(30),
        }
    }
}

/// Failure history and quarantine state of one worker.
#[derive(Clone, Debug)]
pub struct WorkerHealth {
    settings: HealthSettings,
    consecutive_failures: u32,
    next_quarantine: Duration,
    quarantined_until: Option<Instant>,
}

impl WorkerHealth {
    /// Creates the state of a worker without recorded runs.
    #[must_use]
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            consecutive_failures: 0,
            next_quarantine: settings.initial_quarantine,
            quarantined_until: None,
        }
    }

    /// Records a completed run, which ends the quarantine and resets its duration.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.next_quarantine = self.settings.initial_quarantine;
        self.quarantined_until = None;
    }

    /// Records a failed run; returns whether it starts a quarantine.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < self.settings.failures_to_quarantine {
            return false;
        }
        // After a quarantine, a single failure starts the next one.
        self.consecutive_failures = self.settings.failures_to_quarantine - 1;
        self.quarantined_until = Some(now + self.next_quarantine);
        self.next_quarantine = (self.next_quarantine * 2).min(self.settings.max_quarantine);
        true
    }

    /// Returns whether the worker is in quarantine at `now`, so that it gets no tasks.
    #[must_use]
    pub fn is_quarantined(&self, now: Instant) -> bool {
        self.quarantined_until
            .is_some_and(|quarantined_until| now < quarantined_until)
    }
}
