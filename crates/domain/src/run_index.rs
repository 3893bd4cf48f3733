//! Index from workers to the runs that have tasks on them.
//!
//! Reports and orders concern one worker each. With the index they cost as much as the worker has runs, not as much
//! as the domain has.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::job::LiveRun;
use nutmegwalk_base::WorkerId;
use nutmegwalk_workload::Run;
use nutmegwalk_workload::UnitId;

/// Unit and number of a run.
pub(crate) type RunKey = (UnitId, Run);

/// Runs by the workers to which their tasks are assigned.
#[derive(Debug, Default)]
pub(crate) struct RunIndex {
    by_worker: BTreeMap<WorkerId, BTreeSet<RunKey>>,
}

impl RunIndex {
    /// Adds a run to each of its workers.
    pub(crate) fn insert(&mut self, unit: &UnitId, run: &LiveRun) {
        for assignment in &run.assignments {
            self.by_worker
                .entry(assignment.worker.id.clone())
                .or_default()
                .insert((unit.clone(), run.run));
        }
    }

    /// Removes a run from each of its workers.
    pub(crate) fn remove(&mut self, unit: &UnitId, run: &LiveRun) {
        let key = (unit.clone(), run.run);
        for assignment in &run.assignments {
            if let Some(runs) = self.by_worker.get_mut(&assignment.worker.id) {
                runs.remove(&key);
                if runs.is_empty() {
                    self.by_worker.remove(&assignment.worker.id);
                }
            }
        }
    }

    /// Returns the runs with tasks on any incarnation of a worker.
    pub(crate) fn runs_on(&self, worker: &str) -> impl Iterator<Item = &RunKey> {
        self.by_worker.get(worker).into_iter().flatten()
    }
}
