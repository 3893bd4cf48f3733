//! Jobs and their states.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::JobPhase;
use crate::JobSpec;

/// Tasks of a guaranteed job within the parts of its reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Assignment {
    pub(crate) reservation: usize,
    /// Part and number of tasks in it.
    pub(crate) parts: Vec<(usize, u32)>,
}

/// A job that the planner knows.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    /// Milliseconds from the origin to the job's acceptance; negative before the origin.
    pub(crate) arrival_ms: i64,
    pub(crate) phase: JobPhase,
    /// Worker and number of tasks; empty while the job is queued.
    pub(crate) placements: Vec<(usize, u32)>,
    /// Set while the job runs within its guarantee.
    pub(crate) assignment: Option<Assignment>,
    /// Whether the job is to be forgotten once it has stopped.
    pub(crate) ending: bool,
    /// When the job began to do work.
    pub(crate) started: Option<Duration>,
    /// Work that the running attempt started from.
    pub(crate) resumed_from: Duration,
    /// Work contained in the last checkpoint.
    pub(crate) checkpoint: Duration,
    /// When the last checkpoint was made, or the start of the attempt.
    pub(crate) checkpoint_at: Duration,
    /// Workers on which the job failed to start.
    pub(crate) failed_on: BTreeSet<usize>,
    pub(crate) failed_starts: u32,
    /// The job waits until then after a failed start.
    pub(crate) not_before: Duration,
    /// Gang on whose held capacity the job was backfilled.
    pub(crate) backfilled_on: Option<u64>,
}

impl Job {
    pub(crate) fn new(spec: JobSpec, now: Duration) -> Self {
        let millis = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
        Self {
            arrival_ms: millis(now).saturating_sub(millis(spec.age)),
            phase: JobPhase::Queued,
            placements: Vec::new(),
            assignment: None,
            ending: false,
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

    /// Returns whether tasks of the job take resources.
    pub(crate) fn is_placed(&self) -> bool {
        matches!(
            self.phase,
            JobPhase::Starting | JobPhase::Running | JobPhase::Stopping
        )
    }

    /// Returns whether the job runs, or is told to, on borrowed capacity.
    pub(crate) fn is_borrower(&self) -> bool {
        matches!(self.phase, JobPhase::Starting | JobPhase::Running) && self.assignment.is_none()
    }

    /// Returns the work done so far.
    pub(crate) fn done(&self, now: Duration) -> Duration {
        self.started.map_or(self.checkpoint, |started| {
            let elapsed = now.saturating_sub(started);
            self.resumed_from.saturating_add(elapsed)
        })
    }

    /// Returns the accelerator-seconds that a stop without a new checkpoint loses.
    pub(crate) fn work_at_risk(&self, now: Duration) -> f64 {
        if self.started.is_none() {
            return 0.0;
        }
        now.saturating_sub(self.checkpoint_at).as_secs_f64() * self.spec.accelerators() as f64
    }
}
