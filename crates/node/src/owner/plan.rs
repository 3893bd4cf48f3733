//! Planning rounds: runs the planner and carries out its actions.

use log::warn;

use crate::jobs::JobState;
use crate::owner::DataCentreOwner;
use crate::owner::job_poll::submit_queued;
use crate::owner::term::Phase;
use nutmegwalk_base::Epoch;
use nutmegwalk_fleet::Action;

impl DataCentreOwner {
    /// Runs one planning round and carries out the planner's actions.
    pub(crate) fn plan(&self, epoch: Epoch) {
        let timings = self.inner.timings;
        let actions = self.with_term(epoch, |term| {
            let unresolved = term.jobs.values().any(|entry| matches!(entry.phase, Phase::Unresolved));
            if !term.loaded || (unresolved && term.started.elapsed() < timings.rebuild) {
                return Vec::new();
            }
            term.compensate_for_pause(timings.tick);
            let now = term.now();
            for (id, worker) in &mut term.workers {
                if worker.usable && worker.last_report_at.elapsed() >= timings.worker_timeout {
                    warn!(worker = &**id; "no report from the worker for {:?}", worker.last_report_at.elapsed());
                    worker.usable = false;
                    term.fleet.record_worker_failure(id, now);
                }
            }
            if term.started.elapsed() >= timings.rebuild {
                term.log_degraded();
            }
            submit_queued(term);
            if self.inner.view.check_start_permission(&self.inner.data_centre).is_err() && term.in_service {
                // Without permission nothing can be started, and stopping gangs would only lose work.
                return Vec::new();
            }
            term.fleet.schedule(now)
        });
        for action in actions.unwrap_or_default() {
            match action {
                Action::Start {
                    job,
                    placements,
                    borrowed,
                } => self.start(epoch, &job, placements, borrowed),
                Action::Stop {
                    job,
                    reason,
                    within,
                } => self.stop(epoch, &job, reason, within),
                Action::Throttle { job } => self.throttle(epoch, &job),
                Action::Reject { job, error } => {
                    self.end_job(epoch, &job, JobState::Failed, Some(error))
                }
            }
        }
        self.return_queued_jobs(epoch);
    }
}
