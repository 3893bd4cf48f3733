//! Withdrawal of the starts for which a worker no longer has the capacity.

use log::info;

use crate::job::Assignment;
use crate::job::AssignmentState;
use crate::job::StopState;
use crate::term::State;
use crate::term::Term;
use nutmegwalk_base::event;
use nutmegwalk_placement::starts_to_withdraw;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::Run;
use nutmegwalk_workload::UnitId;
use nutmegwalk_workload::WorkerRef;

impl Term {
    /// Stops the runs that a worker has not started yet and for which its capacity, as last announced, is too small.
    pub(crate) fn withdraw_excess_starts(&self, worker: &WorkerRef) {
        let withdrawn = self.state.borrow().excess_starts(worker);
        for (unit, run) in withdrawn {
            info!(target: event::START_WITHDRAWN, unit:% = unit, run = run, worker = &*worker.id; "");
            self.stop_run(&unit, run);
        }
    }
}

impl State {
    fn excess_starts(&self, worker: &WorkerRef) -> Vec<(UnitId, Run)> {
        let Some(known) = self.workers.get(&worker.id) else {
            return Vec::new();
        };
        if known.announcement.worker != *worker {
            return Vec::new();
        }
        let unexpected = known.unexpected_runs.values();
        let mut occupied = unexpected.fold(Resources::default(), |sum, run| sum.plus(run.demand));
        let mut starts = Vec::new();
        let mut demands = Vec::new();
        for (unit, run, assignment) in self.assignments_on(worker) {
            let Some(job) = self.jobs.get(&unit.job) else {
                continue;
            };
            let demand = job.step_of(unit).allocated_resources();
            if is_start_pending(assignment) {
                starts.push((unit.clone(), run.run));
                demands.push(demand);
            } else if assignment.state != AssignmentState::Ended {
                occupied = occupied.plus(demand);
            }
        }
        let withdrawn = starts_to_withdraw(known.announcement.capacity, occupied, &demands);
        let mut runs: Vec<_> = withdrawn
            .into_iter()
            .map(|index| starts[index].clone())
            .collect();
        // The members of a gang on one worker are withdrawn together.
        runs.dedup();
        runs
    }
}

/// Returns whether the run of a task has not been started by its worker and is not being stopped.
fn is_start_pending(assignment: &Assignment) -> bool {
    assignment.stop == StopState::None
        && matches!(
            assignment.state,
            AssignmentState::Unstored | AssignmentState::Ordered
        )
}
