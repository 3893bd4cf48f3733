//! Isolation of units that may crash the workers that start them.
//!
//! A crash loses all runs on the worker and makes each of them a suspect. Suspects are spread over the workers, so
//! that the next crash has fewer of them in common, and are run on their own once several workers have crashed under
//! them.

use crate::Snapshot;
use crate::WaitingStep;
use nutmegwalk_workload::CrashRisk;
use nutmegwalk_workload::Resources;

/// Where the tasks of a step may be placed with regard to other runs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Isolation {
    /// Beside any run.
    #[default]
    None,
    /// On workers without suspects.
    FromSuspects,
    /// On idle workers.
    Full,
}

/// What a worker runs, including the tasks that the current decision places there.
#[derive(Clone, Copy, Debug)]
struct Occupancy {
    crash_risk: CrashRisk,
    is_idle: bool,
}

/// Occupancy of each worker, in the order of [`Snapshot::workers`].
#[derive(Clone, Debug)]
pub(crate) struct IsolationRules {
    workers: Vec<Occupancy>,
}

impl IsolationRules {
    pub(crate) fn new(snapshot: &Snapshot) -> Self {
        let workers = snapshot.workers.iter().map(|worker| Occupancy {
            crash_risk: worker.crash_risk,
            is_idle: worker.allocated == Resources::default(),
        });
        Self {
            workers: workers.collect(),
        }
    }

    /// Records that tasks of a step are placed on a worker.
    pub(crate) fn record_placed(&mut self, step: &WaitingStep, worker: usize) {
        let occupancy = &mut self.workers[worker];
        occupancy.crash_risk = occupancy.crash_risk.max(step.crash_risk);
        occupancy.is_idle = false;
    }

    /// Returns whether a step may be placed on fewer workers because of suspects.
    pub(crate) fn restrict(&self, step: &WaitingStep) -> bool {
        (0..self.workers.len()).any(|worker| self.max_tasks(step, worker) == 0)
    }

    /// Returns how many tasks of a step a worker may accept.
    pub(crate) fn max_tasks(&self, step: &WaitingStep, worker: usize) -> u32 {
        let occupancy = self.workers[worker];
        let is_permitted = match step.isolation {
            // A guarantee does not wait for a suspect to end.
            Isolation::None => occupancy.crash_risk < CrashRisk::High || step.is_guaranteed,
            Isolation::FromSuspects => occupancy.crash_risk == CrashRisk::Low,
            Isolation::Full => occupancy.is_idle,
        };
        match (is_permitted, step.isolation) {
            (false, _) => 0,
            (true, Isolation::None) => u32::MAX,
            (true, Isolation::FromSuspects | Isolation::Full) => 1,
        }
    }
}
