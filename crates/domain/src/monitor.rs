//! Periodic checks: workers whose lease has expired, runs that start late or stall, and stops that have to be
//! retried.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::warn;

use crate::job::Assignment;
use crate::job::AssignmentState;
use crate::job::LiveRun;
use crate::job::StopState;
use crate::term::Term;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_placement::TaskProgress;
use nutmegwalk_workload::Run;
use nutmegwalk_workload::UnitId;
use nutmegwalk_workload::WorkerRef;

/// Time after which a stop that was accepted without a reported end is ordered again.
pub(crate) const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which the other members of a completed gang may still be listed as running before they are stopped.
const DONE_GRACE_PERIOD: Duration = Duration::from_millis(1_500);

/// Time for which an order to start a run may wait until it is sent, as a multiple of the time for the start itself.
const MAX_UNSENT_TIMEOUTS: u32 = 5;

impl Term {
    /// Checks all timeouts and handles those that have passed.
    pub(crate) fn check_timeouts(self: &Rc<Self>) {
        let now = clock::now();
        for worker in self.expired_workers(now) {
            let reason = "no report was received for longer than its lease";
            self.handle_lost_worker(&worker, None, reason);
        }
        for (unit, run) in self.late_runs(now) {
            warn!(target: event::RUN_LATE, unit:% = unit, run = run; "the run did not start in time on all workers, stopping it");
            self.stop_run(&unit, run);
        }
        for (unit, run, workers) in self.stalled_runs() {
            self.stop_stalled_run(&unit, run, &workers);
        }
        self.retry_stops(now);
    }

    /// Returns the stalled runs, with the workers of their stalled tasks.
    fn stalled_runs(&self) -> Vec<(UnitId, Run, Vec<WorkerRef>)> {
        let state = self.state.borrow();
        let mut stalled = Vec::new();
        for job in state.jobs.values() {
            for (unit, live) in &job.units {
                let step = job.step_of(unit);
                // Tasks of lasting and filler steps work at their own pace and report no progress.
                if step.is_lasting || step.is_filler {
                    continue;
                }
                let run_time = state
                    .run_times
                    .expected(&job.record.queue, step.estimate_ms);
                for run in live.runs.iter().filter(|run| !run.is_stopping()) {
                    let workers = stalled_workers(run, step.has_checkpoints, run_time);
                    if !workers.is_empty() {
                        stalled.push((unit.clone(), run.run, workers));
                    }
                }
            }
        }
        stalled
    }

    /// Stops a stalled run, so that its unit starts on other workers.
    fn stop_stalled_run(&self, unit: &UnitId, run: Run, workers: &[WorkerRef]) {
        let names: Vec<&str> = workers.iter().map(|worker| &*worker.id).collect();
        warn!(target: event::RUN_STALLED,
            unit:% = unit,
            run = run,
            workers = names.join(" ").as_str();
            "the run makes no progress, stopping it"
        );
        {
            let mut state = self.state.borrow_mut();
            let mut started_at = clock::now();
            if let Some(job) = state.jobs.get_mut(&unit.job)
                && let Some(live) = job.units.get_mut(unit)
            {
                live.failed_on.extend_from_slice(workers);
                let stalled = live.runs.iter().find(|live| live.run == run);
                started_at = stalled
                    .and_then(|live| live.all_running_since)
                    .unwrap_or(started_at);
            }
            // The members of a gang stall together, so the worker that caused it cannot be identified.
            if let [worker] = workers {
                self.record_run_failure(&mut state, worker, &unit.job, started_at);
            }
        }
        self.stop_run(unit, run);
    }

    /// Returns the runs that did not start on all their workers within the start timeout.
    fn late_runs(&self, now: Instant) -> Vec<(UnitId, Run)> {
        let state = self.state.borrow();
        let mut late = Vec::new();
        for job in state.jobs.values() {
            for (unit, live) in &job.units {
                let is_late = |run: &&LiveRun| {
                    !run.is_stopping() && is_start_late(run, self.settings.start_timeout, now)
                };
                let runs = live.runs.iter().filter(is_late);
                late.extend(runs.map(|run| (unit.clone(), run.run)));
            }
        }
        late
    }

    /// Retries stops that were accepted without a reported end, and stops runs that outlast their unit.
    fn retry_stops(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        let mut to_notify = Vec::new();
        for job in state.jobs.values_mut() {
            for live in job.units.values_mut() {
                let is_overdue = live
                    .done_at
                    .is_some_and(|at| now.saturating_duration_since(at) > DONE_GRACE_PERIOD);
                for assignment in live.runs.iter_mut().flat_map(|run| &mut run.assignments) {
                    let is_retry_due = matches!(
                        assignment.stop,
                        StopState::Accepted(at) if now.saturating_duration_since(at) > STOP_RETRY_INTERVAL
                    );
                    if assignment.state != AssignmentState::Ended
                        && (is_retry_due || is_overdue && assignment.stop == StopState::None)
                    {
                        assignment.stop = StopState::Requested;
                    }
                    if assignment.stop == StopState::Requested
                        && assignment.state != AssignmentState::Ended
                    {
                        to_notify.push(assignment.worker.id.clone());
                    }
                }
            }
        }
        for worker in to_notify {
            state.queue_notification(&worker);
        }
    }

    /// Returns the worker incarnations that have runs although their lease has expired.
    fn expired_workers(&self, now: Instant) -> Vec<WorkerRef> {
        let state = self.state.borrow();
        let inherited_until = self.started_at + self.settings.worker_lease;
        let mut expired = Vec::new();
        for job in state.jobs.values() {
            for run in job.units.values().flat_map(|unit| &unit.runs) {
                for assignment in &run.assignments {
                    if assignment.state == AssignmentState::Ended
                        || expired.contains(&assignment.worker)
                    {
                        continue;
                    }
                    let is_lease_expired = match state.workers.get(&assignment.worker.id) {
                        Some(worker) if worker.announcement.worker == assignment.worker => {
                            worker.is_lease_expired(now) && now > inherited_until
                        }
                        _ => now > inherited_until,
                    };
                    if is_lease_expired {
                        expired.push(assignment.worker.clone());
                    }
                }
            }
        }
        expired
    }
}

/// Returns whether tasks of a run have not started in time since the first order to start one was sent. Orders that were
/// not sent yet wait for others to the same worker, for a limited time.
fn is_start_late(run: &LiveRun, timeout: Duration, now: Instant) -> bool {
    let age = |since: Instant| now.saturating_duration_since(since);
    let mut waiting = run
        .assignments
        .iter()
        .filter(|assignment| assignment.state == AssignmentState::Ordered);
    match run.first_sent_at() {
        Some(sent_at) => waiting.next().is_some() && age(sent_at) > timeout,
        None => waiting.any(|assignment| age(assignment.since) > timeout * MAX_UNSENT_TIMEOUTS),
    }
}

/// Returns the workers of the stalled tasks of a run.
fn stalled_workers(run: &LiveRun, has_checkpoints: bool, run_time: Duration) -> Vec<WorkerRef> {
    let Some(all_running_since) = run.all_running_since else {
        return Vec::new();
    };
    let is_stalled = |assignment: &&Assignment| {
        let progress = TaskProgress {
            percent: assignment.progress_percent,
            stalled_for: assignment.unchanged_for(all_running_since),
            has_checkpoints,
            run_time,
        };
        progress.is_stalled()
    };
    let assignments = run.assignments.iter().filter(is_stalled);
    assignments
        .map(|assignment| assignment.worker.clone())
        .collect()
}
