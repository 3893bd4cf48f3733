//! Worker health: distinguishes faulty workers from faulty jobs.

use std::collections::BTreeSet;
use std::time::Duration;

/// Number of jobs that have to fail on a worker, and on no other, before it is quarantined.
const MIN_FAILED_JOBS: usize = 2;
/// Duration of the first quarantine, until the worker is probed.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(5);
/// Maximum duration of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(600);

/// Health of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Jobs that failed to start on the worker since the last successful start.
    pub(crate) failed_jobs: BTreeSet<u64>,
    pub(crate) state: HealthState,
    /// Duration of the last quarantine; zero before the first one.
    quarantine_duration: Duration,
}

/// Whether a worker may be used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum HealthState {
    /// May be used.
    #[default]
    Healthy,
    /// Accepts no jobs before the given time.
    Quarantined { until: Duration },
    /// Accepts one job at a time as a probe.
    Probing,
}

impl Health {
    /// Returns whether enough jobs failed on this worker that failed on no other one.
    pub(crate) fn is_suspect(&self, failed_elsewhere: impl Fn(u64) -> bool) -> bool {
        let failed_only_here = self
            .failed_jobs
            .iter()
            .filter(|job| !failed_elsewhere(**job));
        failed_only_here.count() >= MIN_FAILED_JOBS
    }

    /// Quarantines the worker, each time for twice as long within the limits.
    pub(crate) fn quarantine(&mut self, now: Duration) {
        self.quarantine_duration =
            (self.quarantine_duration * 2).clamp(INITIAL_QUARANTINE, MAX_QUARANTINE);
        self.state = HealthState::Quarantined {
            until: now.saturating_add(self.quarantine_duration),
        };
    }

    /// Lets the worker accept a probe once its quarantine has ended.
    pub(crate) fn probe_if_due(&mut self, now: Duration) {
        if let HealthState::Quarantined { until } = self.state
            && until <= now
        {
            self.state = HealthState::Probing;
        }
    }

    /// Records a successful start, which resets the health.
    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }
}

/// Returns how many of `workers` may be in quarantine: a fifth, but at least one if there are several workers.
pub(crate) fn quarantine_limit(workers: usize) -> usize {
    (workers / 5).max(usize::from(workers > 1))
}
