//! Crashes of workers under their runs, and the jobs that are given up because of them.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::warn;

use crate::job::Assignment;
use crate::job::AssignmentState;
use crate::job::LiveRun;
use crate::job::TRIAL_TIME;
use crate::term::State;
use crate::term::Term;
use nutmegwalk_base::JobId;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_supervisor::TaskRun;
use nutmegwalk_workload::JobState;
use nutmegwalk_workload::WorkerRef;

impl Term {
    /// Records in the jobs' progress that runs are lost with `worker`, in case it has crashed.
    pub(crate) fn record_lost_runs(&self, worker: &WorkerRef, ended: &BTreeSet<&TaskRun>) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let mut lost = Vec::new();
        for (unit, run, assignment) in state.assignments_on(worker) {
            let run_of_task = TaskRun {
                task: unit.task_id(assignment.index),
                run: run.run,
            };
            if may_have_crashed(assignment) && ended.contains(&run_of_task) {
                let has_lasted = state.jobs.get(&unit.job).is_some_and(|job| {
                    job.step_of(unit).is_lasting && has_worked_for(run, TRIAL_TIME, now)
                });
                lost.push((unit.clone(), assignment.index, has_lasted));
            }
        }
        if lost.is_empty() {
            return;
        }
        let was_alone = lost.len() == 1;
        for (unit, index, has_lasted) in lost {
            let Some(job) = state.jobs.get_mut(&unit.job) else {
                continue;
            };
            let spec = &job.record.spec;
            if let Some(history) = job.progress.crash_history_mut(spec, &unit) {
                if has_lasted {
                    history.clear();
                } else {
                    history.record_lost(index, worker, was_alone);
                }
            }
            state.mark_changed(&unit.job);
        }
        state.counted_crashes.remove(worker);
    }

    /// Counts the crashes that a worker's agent has seen against the tasks that ran there, and gives up the jobs of
    /// tasks that have crashed too many workers.
    pub(crate) fn apply_crashes(self: &Rc<Self>, crashed: &[WorkerRef]) {
        if !self.is_loaded.get() {
            return;
        }
        let mut state = self.state.borrow_mut();
        for worker in crashed {
            if state.counted_crashes.insert(worker.clone()) {
                self.apply_crash(&mut state, worker);
            }
        }
    }

    fn apply_crash(&self, state: &mut State, worker: &WorkerRef) {
        let mut affected = Vec::new();
        for (id, job) in &mut state.jobs {
            if !job.progress.state.is_final() {
                let spec = &job.record.spec;
                affected.extend(job.progress.record_crash(id, spec, worker));
            }
        }
        for unit in &affected {
            state.mark_changed(&unit.job);
            let Some(progress) = state.jobs.get(&unit.job).map(|job| &job.progress) else {
                continue;
            };
            // The job may have been given up because of another unit.
            let Some(history) = progress.unit(unit).map(|unit| &unit.crash_history) else {
                continue;
            };
            self.metrics.record_crash();
            warn!(target: event::RUN_CRASHED_WORKER,
                unit:% = unit,
                worker = &*worker.id,
                born_unix_ms = worker.born_unix_ms,
                runs = affected.len(),
                crashes = history.crashes(),
                risk = history.risk().name(),
                exhausted = history.is_exhausted();
                ""
            );
            if history.is_exhausted() {
                self.give_up(state, &unit.job);
            }
        }
    }

    /// Ends a job as failed and stops its runs.
    fn give_up(&self, state: &mut State, id: &JobId) {
        let Some(job) = state.jobs.get_mut(id) else {
            return;
        };
        job.progress.end(JobState::Failed);
        job.stop_all();
        let workers: Vec<_> = job
            .units
            .values()
            .flat_map(|unit| &unit.runs)
            .flat_map(|run| &run.assignments)
            .map(|assignment| assignment.worker.id.clone())
            .collect();
        for worker in workers {
            state.queue_notification(&worker);
        }
        state.remove_all_ended_runs(id);
        self.record_job_end(state, id, clock::now());
    }
}

/// Returns whether a task is known to have begun on its worker, or may have under an earlier owner.
fn may_have_crashed(assignment: &Assignment) -> bool {
    match assignment.state {
        AssignmentState::Running | AssignmentState::Inherited => true,
        // A start that was not answered may have been sent to a worker that had crashed before.
        AssignmentState::Ordered | AssignmentState::Unstored | AssignmentState::Ended => false,
    }
}

/// Returns whether all tasks of a run have worked together for at least `time`.
fn has_worked_for(run: &LiveRun, time: Duration, now: Instant) -> bool {
    run.all_running_since
        .is_some_and(|since| now.saturating_duration_since(since) >= time)
}
