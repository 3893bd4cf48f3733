//! Worker health: tells bad workers from bad jobs.

use std::collections::BTreeSet;
use std::time::Duration;

/// Jobs that have to fail on a worker, and not elsewhere, before it is quarantined.
const JOBS_FOR_QUARANTINE: usize = 2;
/// First interval until a quarantined worker is tried again.
const FIRST_PROBE: Duration = Duration::from_secs(5);
/// Longest interval between probes.
const LAST_PROBE: Duration = Duration::from_secs(600);

/// Health of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Jobs that failed to start here since the last success.
    pub(crate) failed_jobs: BTreeSet<u64>,
    pub(crate) state: HealthState,
    /// Interval of the next quarantine.
    interval: Duration,
}

/// Whether a worker may be used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum HealthState {
    /// May be used.
    #[default]
    Good,
    /// Takes nothing before the given time.
    Quarantined { until: Duration },
    /// Takes one job as a probe.
    Probing,
}

impl Health {
    /// Returns whether enough jobs failed here that failed nowhere else.
    pub(crate) fn is_suspect(&self, failed_elsewhere: impl Fn(u64) -> bool) -> bool {
        let only_here = self
            .failed_jobs
            .iter()
            .filter(|job| !failed_elsewhere(**job));
        only_here.count() >= JOBS_FOR_QUARANTINE
    }

    /// Puts the worker into quarantine, each time for longer.
    pub(crate) fn quarantine(&mut self, now: Duration) {
        self.interval = (self.interval * 2).clamp(FIRST_PROBE, LAST_PROBE);
        self.state = HealthState::Quarantined {
            until: now.saturating_add(self.interval),
        };
    }

    /// Lets the worker take one probe if its time has come.
    pub(crate) fn probe_if_due(&mut self, now: Duration) {
        if let HealthState::Quarantined { until } = self.state
            && until <= now
        {
            self.state = HealthState::Probing;
        }
    }

    /// Records a start that worked.
    pub(crate) fn recover(&mut self) {
        *self = Self::default();
    }
}

/// Returns how many of `workers` may be in quarantine: a fifth, and one in small data centres.
pub(crate) fn quarantine_limit(workers: usize) -> usize {
    (workers / 5).max(usize::from(workers > 1))
}
