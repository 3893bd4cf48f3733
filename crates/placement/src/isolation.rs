//! Isolation of units that may crash the workers that start them.
//!
//! A crash makes each run that the worker had just started a suspect. The next start of a suspect is a trial: its worker
//! starts nothing else meanwhile, so that another crash can have no other start as its reason. Once several workers have
//! crashed at their start, suspects are placed on idle workers, where a crash does the least harm.

use std::time::Duration;

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
    /// On workers that start nothing else.
    Trial,
    /// On workers that start nothing else and have no suspects.
    FromSuspects,
    /// On idle workers that start nothing else.
    Full,
}

/// What a worker runs, including the tasks that the current decision places there.
#[derive(Clone, Copy, Debug)]
struct Occupancy {
    crash_risk: CrashRisk,
    is_idle: bool,
    up_for: Duration,
    is_starting: bool,
    has_trial: bool,
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
            up_for: worker.up_for,
            is_starting: worker.is_starting,
            has_trial: worker.has_trial,
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
        occupancy.is_starting = true;
        occupancy.has_trial |= step.crash_risk > CrashRisk::Low;
    }

    /// Returns the rules as if all workers had been up for long and started nothing.
    pub(crate) fn without_waits(&self) -> Self {
        let mut workers = self.workers.clone();
        for occupancy in &mut workers {
            occupancy.up_for = Duration::MAX;
            occupancy.is_starting = false;
            occupancy.has_trial = false;
        }
        Self { workers }
    }

    /// Returns whether a step may be placed on fewer workers because of suspects.
    pub(crate) fn restrict(&self, step: &WaitingStep) -> bool {
        (0..self.workers.len()).any(|worker| self.max_tasks(step, worker) == 0)
    }

    /// Returns how many tasks of a step a worker may accept.
    pub(crate) fn max_tasks(&self, step: &WaitingStep, worker: usize) -> u32 {
        let occupancy = self.workers[worker];
        let admits_trial = !occupancy.is_starting && occupancy.up_for >= step.settling_time;
        let is_permitted = match step.isolation {
            // A guarantee does not wait for a suspect to end.
            Isolation::None => {
                !occupancy.has_trial
                    && (occupancy.crash_risk < CrashRisk::High || step.is_guaranteed)
            }
            Isolation::Trial => admits_trial,
            Isolation::FromSuspects => admits_trial && occupancy.crash_risk == CrashRisk::Low,
            Isolation::Full => admits_trial && occupancy.is_idle,
        };
        match step.isolation {
            _ if !is_permitted => 0,
            Isolation::None => u32::MAX,
            // The members of a gang are one suspect.
            _ if step.is_gang => u32::MAX,
            Isolation::Trial | Isolation::FromSuspects | Isolation::Full => 1,
        }
    }
}
