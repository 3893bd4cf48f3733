//! Incarnations of workers that a later incarnation replaces.

use std::collections::BTreeSet;

use log::info;

use crate::term::Term;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_supervisor::Report;
use nutmegwalk_workload::Run;
use nutmegwalk_workload::TaskIndex;
use nutmegwalk_workload::UnitId;
use nutmegwalk_workload::WorkerRef;

impl Term {
    /// Ends the incarnations of workers that `worker` supersedes. Their runs are lost.
    ///
    /// Orders name the worker's id only, so an incarnation with the same id may have started runs of the earlier one, or
    /// start them later. They are stopped there first.
    pub(crate) fn end_superseded_workers(&self, report: &Report, worker: &WorkerRef) {
        for superseded in self.superseded_workers(report, worker) {
            info!(target: event::WORKER_SUPERSEDED,
                worker = &*superseded.id,
                born_unix_ms = superseded.born_unix_ms,
                successor = &*worker.id,
                successor_born_unix_ms = worker.born_unix_ms,
                agent_incarnation = report.incarnation,
                report = report.sequence;
                ""
            );
            if superseded.id == worker.id {
                self.stop_on_successor(&superseded, worker);
            } else {
                self.handle_lost_worker(
                    &superseded,
                    Some(report.sequence),
                    "a later incarnation of the worker has started",
                );
            }
            let mut state = self.state.borrow_mut();
            if state
                .workers
                .get(&superseded.id)
                .is_some_and(|known| known.announcement.worker == superseded)
            {
                state.workers.remove(&superseded.id);
                state.health.remove_worker(&superseded);
                state.task_capacity.clear();
                state.needs_decision = true;
            }
        }
    }

    /// Assigns the runs on an incarnation of a worker to its successor with the same id, and stops them.
    fn stop_on_successor(&self, superseded: &WorkerRef, successor: &WorkerRef) {
        let now = clock::now();
        let moved: Vec<(UnitId, Run, TaskIndex)> = self
            .state
            .borrow()
            .assignments_on(superseded)
            .map(|(unit, run, assignment)| (unit.clone(), run.run, assignment.index))
            .collect();
        let mut state = self.state.borrow_mut();
        for (unit, run, index) in &moved {
            let job = state.jobs.get_mut(&unit.job);
            if let Some(assignment) = job.and_then(|job| job.assignment_mut(unit, *run, *index)) {
                assignment.move_to_successor(successor.clone(), now);
            }
        }
        drop(state);
        let runs: BTreeSet<(UnitId, Run)> = moved
            .into_iter()
            .map(|(unit, run, _)| (unit, run))
            .collect();
        for (unit, run) in runs {
            self.stop_run(&unit, run);
        }
    }

    /// Returns the incarnations that `worker` supersedes: earlier ones reported by the same agent, and earlier
    /// ones with the same id or machine that have runs assigned.
    fn superseded_workers(&self, report: &Report, worker: &WorkerRef) -> Vec<WorkerRef> {
        let state = self.state.borrow();
        let known = state
            .workers
            .values()
            .filter(|known| known.agent == report.agent)
            .map(|known| &known.announcement.worker)
            // The time of day may have been set back between the two starts.
            .filter(|known| *known != worker);
        let assigned = state
            .jobs
            .values()
            .flat_map(|job| job.units.values())
            .flat_map(|unit| &unit.runs)
            .flat_map(|run| &run.assignments)
            .map(|assignment| &assignment.worker)
            .filter(|assigned| assigned.is_superseded_by(worker));
        let superseded: BTreeSet<&WorkerRef> = known.chain(assigned).collect();
        superseded.into_iter().cloned().collect()
    }
}
