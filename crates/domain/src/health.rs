//! Failures that may be the fault of a worker.

use std::time::Duration;
use std::time::Instant;

use log::warn;

use crate::job::LiveRun;
use crate::term::State;
use crate::term::Term;
use nutmegwalk_base::JobId;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_placement::Failure;
use nutmegwalk_placement::FailureCause;
use nutmegwalk_placement::FailureEffect;
use nutmegwalk_workload::StepSpec;
use nutmegwalk_workload::WorkerRef;

/// Time after which a task that lasts is past its startup. Later it may fail at any time without a fault of its worker.
const LASTING_STARTUP: Duration = Duration::from_secs(2);

impl Term {
    /// Records that a worker did not carry out an order, which can start a quarantine.
    pub(crate) fn record_worker_failure(&self, worker: &WorkerRef) {
        let mut state = self.state.borrow_mut();
        self.record_failure(&mut state, worker, FailureCause::Worker);
    }

    /// Records that a run of a job failed or made no progress on a worker, which can start a quarantine.
    pub(crate) fn record_run_failure(
        &self,
        state: &mut State,
        worker: &WorkerRef,
        job: &JobId,
        started_at: Instant,
    ) {
        self.record_failure(state, worker, FailureCause::Run { job, started_at });
    }

    fn record_failure(&self, state: &mut State, worker: &WorkerRef, cause: FailureCause<'_>) {
        let Some(known) = state.workers.get(&worker.id) else {
            return;
        };
        if known.announcement.worker != *worker {
            return;
        }
        let service = &known.announcement.service;
        let announcements = state.workers.values().map(|known| &known.announcement);
        let peers: Vec<&WorkerRef> = announcements
            .filter(|announcement| announcement.service == *service)
            .map(|announcement| &announcement.worker)
            .collect();
        let failure = Failure {
            worker,
            peers: &peers,
            cause,
        };
        match state.health.record_failure(&failure, clock::now()) {
            FailureEffect::None => {}
            FailureEffect::Quarantined => {
                self.metrics.record_quarantine();
                warn!(target: event::WORKER_SET_ASIDE, worker = &*worker.id, cause:? = cause; "worker quarantined: runs of several jobs fail there, or it does not carry out orders");
            }
            FailureEffect::KeptOpen => {
                warn!(target: event::WORKER_KEPT_OPEN, worker = &*worker.id, cause:? = cause; "worker not quarantined: too many others are");
            }
        }
    }
}

/// Returns whether a worker may be at fault for the failure of a run at `now`.
pub(crate) fn may_be_worker_fault(step: &StepSpec, run: &LiveRun, now: Instant) -> bool {
    let is_started = run
        .all_running_since
        .is_some_and(|since| now.saturating_duration_since(since) >= LASTING_STARTUP);
    !step.is_lasting || !is_started
}
