//! Judgement of a worker from the ends of the tasks that it ran.
//!
//! Answers workers that fail everything they start: without it a retried task comes back to them, since
//! they are always free, and uses up its attempts.

use std::time::Duration;
use std::time::Instant;

/// When a worker is set aside.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HealthSettings {
    /// Failures in a row, of different units, after which the worker is set aside.
    pub failures_to_quarantine: u32,
    /// Time for which it is set aside first; it doubles each time.
    pub initial_quarantine: Duration,
    /// Longest time for which it is set aside.
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

/// What is known about the soundness of one worker.
#[derive(Clone, Debug)]
pub struct WorkerHealth {
    settings: HealthSettings,
    failures_in_row: u32,
    quarantine: Duration,
    until: Option<Instant>,
}

impl WorkerHealth {
    /// Creates the record of a worker about which nothing is known.
    #[must_use]
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            failures_in_row: 0,
            quarantine: settings.initial_quarantine,
            until: None,
        }
    }

    /// Takes in a run that was done.
    pub fn succeeded(&mut self) {
        self.failures_in_row = 0;
        self.quarantine = self.settings.initial_quarantine;
        self.until = None;
    }

    /// Takes in a run that failed; returns whether the worker was set aside by it.
    pub fn failed(&mut self, now: Instant) -> bool {
        self.failures_in_row += 1;
        if self.failures_in_row < self.settings.failures_to_quarantine {
            return false;
        }
        // One failure after the quarantine is enough for the next one.
        self.failures_in_row = self.settings.failures_to_quarantine - 1;
        self.until = Some(now + self.quarantine);
        self.quarantine = (self.quarantine * 2).min(self.settings.max_quarantine);
        true
    }

    /// Returns whether the worker gets no tasks at `now`.
    #[must_use]
    pub fn is_quarantined(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
