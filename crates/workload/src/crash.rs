//! Evidence that a task crashes the workers that start it.
//!
//! Workers also crash for reasons of their own, and take healthy runs with them. So a crash counts only if its witness,
//! the agent beside the worker, names the run among those that had just started; and a later run that outlives its start
//! proves that the task does not crash each worker that starts it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Run;
use crate::TaskIndex;
use crate::WorkerRef;

/// Number of crashes from which a task is run on its own.
const HIGH_RISK_CRASHES: usize = 2;
/// Number of conclusive crashes from which a task is not run again.
const MAX_CONCLUSIVE_CRASHES: usize = 3;
/// Number of crashes in a row, each at a trial, from which a task is not run again although there may have been other
/// reasons.
const MAX_TRIAL_CRASHES: usize = 4;
/// Time for which a worker has to be up until a crash right after a start is likely to be caused by the start. Workers that
/// crash again and again for reasons of their own are rarely up for so long.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Limit of the rise of the settling time.
const MAX_SETTLING_FACTOR: u32 = 5;

/// How likely it is that a unit crashes the workers that start it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CrashRisk {
    /// No worker is known to have crashed when it started the unit.
    #[default]
    Low,
    /// One worker has crashed when it had just started a task of the unit.
    Raised,
    /// Several workers in a row have crashed when they had just started a task of the unit.
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

/// A crash of a worker that had just started a run of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartCrash {
    /// Index of the task.
    pub task: TaskIndex,
    /// Number of the run.
    pub run: Run,
    /// Incarnation that has crashed.
    pub worker: WorkerRef,
    /// What else may have been the reason.
    pub doubt: Doubt,
}

/// Reasons other than the start of a task for which a worker may have crashed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Doubt {
    /// No other reason is known.
    None,
    /// Most other workers of the data centre crashed at the same time, and had started nothing.
    CommonCause,
    /// The worker only fell silent, so that its host or link may have failed.
    Silence,
    /// The worker had just started other runs as well, or had not been up for long.
    NoTrial,
}

impl Doubt {
    /// Returns the name used in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::CommonCause => "common_cause",
            Self::Silence => "silence",
            Self::NoTrial => "no_trial",
        }
    }
}

/// Crashes of workers that had just started tasks of a unit, and that no later run has disproved.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashHistory {
    crashes: Vec<StartCrash>,
    /// Last run of each task that has disproved crashes. A report of these may be repeated.
    disproved: Vec<(TaskIndex, Run)>,
    /// Runs whose workers have been silent since their start, and may have crashed. Not stored.
    silent: Vec<(TaskIndex, Run)>,
}

impl CrashHistory {
    /// Returns whether there is neither evidence nor a suspicion.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.silent.is_empty()
    }

    /// Records that a worker has been silent since the start of a run. It is a suspicion until it is known whether the
    /// worker has crashed.
    pub fn record_silence(&mut self, task: TaskIndex, run: Run) {
        let is_resolved = self.is_disproved(task, run) || self.has_crash(task, run);
        if !is_resolved && !self.silent.contains(&(task, run)) {
            self.silent.push((task, run));
        }
    }

    /// Returns the number of runs of which it is not known yet whether a worker has crashed at their start, of the task with
    /// the most of them.
    #[must_use]
    pub fn silent_count(&self) -> usize {
        let of_task = |task| {
            self.silent
                .iter()
                .filter(|(known, _)| *known == task)
                .count()
        };
        let tasks = self.silent.iter().map(|(task, _)| *task);
        tasks.map(of_task).max().unwrap_or(0)
    }

    /// Returns the time for which a worker has to be up before it starts `run`, so that a crash would be evidence. It rises
    /// with the crashes at earlier runs, since workers whose lives are all a little longer would otherwise always crash at
    /// the start. Other members of a gang that crash their workers at the same run do not change it.
    #[must_use]
    pub fn settling_time(&self, run: Run) -> Duration {
        let crashes = self.largest_count(|crash| crash.run < run);
        let crashes = u32::try_from(crashes).unwrap_or(u32::MAX);
        SETTLING_TIME.saturating_mul(crashes.clamp(1, MAX_SETTLING_FACTOR))
    }

    fn has_crash(&self, task: TaskIndex, run: Run) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|known| known.task == task && known.run == run)
    }

    fn is_disproved(&self, task: TaskIndex, run: Run) -> bool {
        let mut disproved = self.disproved.iter();
        disproved.any(|(known, last)| *known == task && *last >= run)
    }

    /// Returns whether a crash would be new evidence.
    #[must_use]
    pub fn is_new(&self, crash: &StartCrash) -> bool {
        !self.has_crash(crash.task, crash.run) && !self.is_disproved(crash.task, crash.run)
    }

    /// Records a crash; returns whether it is new evidence.
    pub fn record_crash(&mut self, crash: StartCrash) -> bool {
        let is_new = self.is_new(&crash);
        if is_new {
            self.silent
                .retain(|(task, run)| *task != crash.task || *run > crash.run);
            self.crashes.push(crash);
        }
        is_new
    }

    /// Records a run that has disproved crashes, from a row.
    pub(crate) fn restore_disproved(&mut self, task: TaskIndex, run: Run) {
        self.disproved.push((task, run));
    }

    /// Returns the last run of each task that has disproved crashes.
    pub(crate) fn disproved(&self) -> &[(TaskIndex, Run)] {
        &self.disproved
    }

    /// Records that a run of a task has outlived its start; returns whether this disproves any evidence.
    pub fn record_outlived(&mut self, task: TaskIndex, run: Run) -> bool {
        self.silent
            .retain(|(known, last)| *known != task || *last > run);
        let before = self.crashes.len();
        self.crashes
            .retain(|crash| crash.task != task || crash.run > run);
        if self.crashes.len() == before {
            return false;
        }
        self.disproved.retain(|(known, _)| *known != task);
        self.disproved.push((task, run));
        true
    }

    /// Records that the crash of a worker has another reason as well; returns whether it was conclusive before.
    pub fn record_common_cause(&mut self, worker: &WorkerRef) -> bool {
        let mut has_any = false;
        for crash in &mut self.crashes {
            if crash.worker == *worker {
                has_any |= crash.doubt == Doubt::None;
                crash.doubt = crash.doubt.max(Doubt::CommonCause);
            }
        }
        has_any
    }

    /// Returns the crashes.
    #[must_use]
    pub fn crashes(&self) -> &[StartCrash] {
        &self.crashes
    }

    /// Returns the number of crashes in a row under the task with the most of them.
    #[must_use]
    pub fn crash_count(&self) -> usize {
        self.largest_count(|_| true)
    }

    /// Returns the number of conclusive crashes in a row under the task with the most of them.
    #[must_use]
    pub fn conclusive_count(&self) -> usize {
        self.largest_count(|crash| crash.doubt == Doubt::None)
    }

    /// Returns the risk of running the unit again.
    #[must_use]
    pub fn risk(&self) -> CrashRisk {
        match self.crash_count() + self.silent_count() {
            0 => CrashRisk::Low,
            1..HIGH_RISK_CRASHES => CrashRisk::Raised,
            _ => CrashRisk::High,
        }
    }

    /// Returns whether the unit must not run again, because a task has crashed each worker that started it, and no other
    /// reason is known for several of these crashes.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        self.conclusive_count() >= MAX_CONCLUSIVE_CRASHES
            || self.largest_count(|crash| crash.doubt < Doubt::NoTrial) >= MAX_TRIAL_CRASHES
    }

    /// Returns the number of crashes for which `counts` holds, under the task with the most of them.
    fn largest_count(&self, counts: impl Fn(&StartCrash) -> bool) -> usize {
        let of_task = |task| {
            let crashes = self.crashes.iter();
            crashes
                .filter(|crash| crash.task == task && counts(crash))
                .count()
        };
        let tasks = self.crashes.iter().map(|crash| crash.task);
        tasks.map(of_task).max().unwrap_or(0)
    }
}
