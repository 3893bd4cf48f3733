//! Evidence that a task crashes the workers that start it.
//!
//! A worker that crashes takes all its runs with it, so a crash alone does not tell which of them caused it, or
//! whether any did. The evidence against a task grows with the number of workers that crashed while they ran it.

use crate::TaskIndex;
use crate::WorkerRef;

/// Number of crashed workers from which a task is run on its own.
const HIGH_RISK_CRASHES: usize = 2;
/// Number of crashed workers from which a task is not run again.
const MAX_CRASHES: usize = 3;
/// Maximum number of lost runs that are kept.
const MAX_LOST: usize = 64;

/// How likely it is that a unit crashes the workers that start it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CrashRisk {
    /// No worker is known to have crashed under the unit.
    #[default]
    Low,
    /// One worker has crashed under a task of the unit.
    Raised,
    /// Several workers have crashed under a task of the unit.
    High,
}

impl CrashRisk {
    /// Returns the name used in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Low => "low",
            Self::Raised => "raised",
            Self::High => "high",
        }
    }
}

/// A crash of a worker under a task.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Crash {
    task: TaskIndex,
    worker: WorkerRef,
    /// Whether the worker had no other run.
    was_alone: bool,
}

impl Crash {
    fn fields(&self) -> (TaskIndex, &WorkerRef, bool) {
        (self.task, &self.worker, self.was_alone)
    }
}

/// Crashes of workers under the tasks of a unit.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashHistory {
    crashes: Vec<Crash>,
    /// Runs that were lost with their workers, which may have crashed.
    lost: Vec<Crash>,
}

impl CrashHistory {
    /// Returns whether no run was lost.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.lost.is_empty()
    }

    /// Records that the run of a task was lost with its worker; `was_alone` if the worker had no other run.
    pub fn record_lost(&mut self, task: TaskIndex, worker: &WorkerRef, was_alone: bool) {
        let is_same = |known: &Crash| known.task == task && known.worker == *worker;
        if self.lost.iter().any(is_same) || self.crashes.iter().any(is_same) {
            return;
        }
        if self.lost.len() == MAX_LOST {
            self.lost.remove(0);
        }
        self.lost.push(Crash {
            task,
            worker: worker.clone(),
            was_alone,
        });
    }

    /// Records that a worker has crashed; returns whether runs of the unit were lost with it.
    pub fn record_crash(&mut self, worker: &WorkerRef) -> bool {
        let is_new = |lost: &mut Crash| lost.worker == *worker;
        let confirmed: Vec<Crash> = self.lost.extract_if(.., is_new).collect();
        let has_any = !confirmed.is_empty();
        self.crashes.extend(confirmed);
        has_any
    }

    /// Adds a crash that was stored.
    pub(crate) fn restore_crash(&mut self, task: TaskIndex, worker: &WorkerRef, was_alone: bool) {
        self.crashes.push(Crash {
            task,
            worker: worker.clone(),
            was_alone,
        });
    }

    /// Returns the task and the worker of each crash, and whether the worker had no other run.
    pub(crate) fn crashed(&self) -> impl Iterator<Item = (TaskIndex, &WorkerRef, bool)> {
        self.crashes.iter().map(Crash::fields)
    }

    /// Returns the task and the worker of each lost run, and whether the worker had no other run.
    pub(crate) fn lost(&self) -> impl Iterator<Item = (TaskIndex, &WorkerRef, bool)> {
        self.lost.iter().map(Crash::fields)
    }

    /// Removes all evidence, because a run has worked for long enough.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the number of workers that have crashed under the task with the most crashes.
    #[must_use]
    pub fn crashes(&self) -> usize {
        let count = |task| self.of_task(task).count();
        self.crashes
            .iter()
            .map(|crash| count(crash.task))
            .max()
            .unwrap_or(0)
    }

    /// Returns the risk of running the unit again.
    #[must_use]
    pub fn risk(&self) -> CrashRisk {
        match self.crashes() {
            0 => CrashRisk::Low,
            1..HIGH_RISK_CRASHES => CrashRisk::Raised,
            _ => CrashRisk::High,
        }
    }

    /// Returns whether the unit must not run again: a task has crashed several workers, and one of them ran
    /// nothing else, or too many have crashed for it to be a coincidence.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        self.crashes.iter().any(|crash| {
            let count = self.of_task(crash.task).count();
            count >= MAX_CRASHES || count >= HIGH_RISK_CRASHES && crash.was_alone
        })
    }

    fn of_task(&self, task: TaskIndex) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(move |crash| crash.task == task)
    }
}
