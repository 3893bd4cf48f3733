//! Scheduling state of jobs.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::JobPhase;
use crate::JobSpec;

/// Tasks of a guaranteed job within the parts of its reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Assignment {
    /// Index of the reservation.
    pub(crate) reservation: usize,
    /// Index of each part used and the number of tasks in it.
    pub(crate) parts: Vec<(usize, u32)>,
}

/// A job with its scheduling state.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    /// Time of acceptance in milliseconds since the origin of `now`; negative if it was before the origin.
    pub(crate) arrival_ms: i64,
    pub(crate) phase: JobPhase,
    /// Index of each worker and the number of tasks on it; empty while the job is queued.
    pub(crate) placements: Vec<(usize, u32)>,
    /// Set while the job runs within its guarantee.
    pub(crate) assignment: Option<Assignment>,
    /// Whether the job was cancelled and is removed once it has stopped.
    pub(crate) is_cancelled: bool,
    /// Time at which the current attempt began to do work.
    pub(crate) started: Option<Duration>,
    /// Work contained in the checkpoint that the current attempt resumed from.
    pub(crate) resumed_from: Duration,
    /// Work contained in the last checkpoint, as run time.
    pub(crate) checkpoint: Duration,
    /// Time of the last checkpoint, or of the start of the attempt if that is later.
    pub(crate) checkpoint_at: Duration,
    /// Workers on which the job failed to start.
    pub(crate) failed_on: BTreeSet<usize>,
    /// Number of failed starts since the last successful one.
    pub(crate) failed_starts: u32,
    /// Earliest time of the next start, after a failed one.
    pub(crate) not_before: Duration,
    /// Sequence number of the gang on whose held capacity the job was backfilled.
    pub(crate) backfilled_on: Option<u64>,
}

impl Job {
    pub(crate) fn new(spec: JobSpec, now: Duration) -> Self {
        let millis = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
        Self {
            arrival_ms: millis(now).saturating_sub(millis(spec.time_since_accepted)),
            phase: JobPhase::Queued,
            placements: Vec::new(),
            assignment: None,
            is_cancelled: false,
            started: None,
            resumed_from: spec.checkpoint,
            checkpoint: spec.checkpoint,
            checkpoint_at: now,
            failed_on: BTreeSet::new(),
            failed_starts: 0,
            not_before: Duration::ZERO,
            backfilled_on: None,
            spec,
        }
    }

    /// Returns whether the job has resources allocated.
    pub(crate) fn is_placed(&self) -> bool {
        matches!(
            self.phase,
            JobPhase::Starting | JobPhase::Running | JobPhase::Stopping
        )
    }

    /// Returns whether the job is starting or running on borrowed capacity.
    pub(crate) fn is_borrower(&self) -> bool {
        matches!(self.phase, JobPhase::Starting | JobPhase::Running) && self.assignment.is_none()
    }

    /// Returns the work done so far, as run time.
    pub(crate) fn work_done(&self, now: Duration) -> Duration {
        self.started.map_or(self.checkpoint, |started| {
            let elapsed = now.saturating_sub(started);
            self.resumed_from.saturating_add(elapsed)
        })
    }

    /// Returns the accelerator-seconds of work that a stop without a new checkpoint would lose.
    pub(crate) fn work_at_risk(&self, now: Duration) -> f64 {
        if self.started.is_none() {
            return 0.0;
        }
        now.saturating_sub(self.checkpoint_at).as_secs_f64() * self.spec.accelerators() as f64
    }
}
