//! Crashes of workers that had just started runs, and the jobs that are given up because of them.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;

use crate::term::State;
use crate::term::Term;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::JobId;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_supervisor::TaskRun;
use nutmegwalk_supervisor::WorkerCrash;
use nutmegwalk_supervisor::WorkerStatus;
use nutmegwalk_workload::Doubt;
use nutmegwalk_workload::JobState;
use nutmegwalk_workload::StartCrash;
use nutmegwalk_workload::UnitId;
use nutmegwalk_workload::WorkerRef;

/// Longest time between two crashes in a data centre that may have one cause. A crash that counts has broken connections,
/// which the agents notice at once.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(500);
/// Time for which crashes are kept; longer than agents report them.
const CRASH_MEMORY: Duration = Duration::from_secs(60);
/// Crash of a worker that was reported in this term.
#[derive(Clone, Debug)]
pub(crate) struct KnownCrash {
    worker: WorkerRef,
    data_centre: DataCentreId,
    noticed_at: Instant,
    /// Whether the worker had just started runs.
    has_suspects: bool,
    /// Whether most other workers of the data centre crashed with it that had started nothing.
    has_common_cause: bool,
}

impl KnownCrash {
    /// Returns whether this crash and `other` may have one cause, because they came together.
    fn is_near(&self, other: &Self) -> bool {
        let (earlier, later) = (
            self.noticed_at.min(other.noticed_at),
            self.noticed_at.max(other.noticed_at),
        );
        self.data_centre == other.data_centre
            && !is_same_worker(&self.worker, &other.worker)
            && later.saturating_duration_since(earlier) <= COMMON_CAUSE_WINDOW
    }
}

/// Returns whether two incarnations are of the same worker or machine.
pub(crate) fn is_same_worker(a: &WorkerRef, b: &WorkerRef) -> bool {
    a.id == b.id || a.machine.is_some() && a.machine == b.machine
}

impl Term {
    /// Counts the crashes that a worker's agent has seen against the runs that had just started there, and gives up the
    /// jobs of tasks that crash the workers that start them.
    pub(crate) fn apply_crashes(self: &Rc<Self>, status: &WorkerStatus, now: Instant) {
        if !self.is_loaded.get() {
            return;
        }
        let mut state = self.state.borrow_mut();
        for run in &status.silent_since_start {
            if let Some(job) = state.jobs.get_mut(&run.task.job) {
                job.progress
                    .record_silence(&job.record.spec, &run.task, run.run);
            }
        }
        for crash in &status.crashes {
            let is_known = state
                .crashes
                .iter()
                .any(|known| known.worker == crash.worker);
            if !is_known {
                let data_centre = &status.announcement.data_centre;
                self.apply_crash(&mut state, crash, data_centre, now);
            }
        }
    }

    fn apply_crash(
        &self,
        state: &mut State,
        crash: &WorkerCrash,
        data_centre: &DataCentreId,
        now: Instant,
    ) {
        let age = Duration::from_millis(crash.age_ms);
        let known = KnownCrash {
            worker: crash.worker.clone(),
            data_centre: data_centre.clone(),
            noticed_at: now.checked_sub(age).unwrap_or(now),
            has_suspects: !crash.just_started.is_empty(),
            has_common_cause: false,
        };
        state
            .crashes
            .retain(|known| now.saturating_duration_since(known.noticed_at) < CRASH_MEMORY);
        state.crashes.push(known);
        state.record_common_causes(data_centre);
        let units: BTreeSet<Option<UnitId>> = crash
            .just_started
            .iter()
            .map(|run| state.unit_of(run))
            .collect();
        let is_sole = units.len() == 1;
        for run in &crash.just_started {
            self.record_start_crash(state, crash, run, is_sole);
        }
    }

    /// Holds the crash of a worker against a run that had just started there.
    fn record_start_crash(
        &self,
        state: &mut State,
        crash: &WorkerCrash,
        run: &TaskRun,
        is_sole: bool,
    ) {
        let mut crashes = state.crashes.iter();
        let has_common_cause =
            crashes.any(|known| known.worker == crash.worker && known.has_common_cause);
        let Some(job) = state.jobs.get_mut(&run.task.job) else {
            return;
        };
        let spec = &job.record.spec;
        let Some(unit) = spec.unit_of(&run.task) else {
            return;
        };
        let Some(progress) = job.progress.unit(&unit) else {
            return;
        };
        let up_for = Duration::from_millis(crash.up_for_ms);
        let is_trial = is_sole && up_for >= progress.crash_history.settling_time(run.run);
        let doubt = if !is_trial {
            Doubt::NoTrial
        } else if !crash.was_broken {
            Doubt::Silence
        } else if has_common_cause {
            Doubt::CommonCause
        } else {
            Doubt::None
        };
        let start_crash = StartCrash {
            task: run.task.index,
            run: run.run,
            worker: crash.worker.clone(),
            doubt,
        };
        if job.progress.state.is_final()
            || !job.progress.record_start_crash(spec, &unit, start_crash)
        {
            return;
        }
        let Some(history) = job.progress.unit(&unit).map(|unit| &unit.crash_history) else {
            return;
        };
        let is_exhausted = history.is_exhausted();
        self.metrics.record_crash();
        warn!(target: event::RUN_CRASHED_WORKER,
            task:% = run.task,
            run = run.run,
            worker = &*crash.worker.id,
            born_unix_ms = crash.worker.born_unix_ms,
            just_started = crash.just_started.len(),
            up_for_ms = crash.up_for_ms,
            doubt = doubt.name(),
            crashes = history.crash_count(),
            conclusive_crashes = history.conclusive_count(),
            risk = history.risk().name(),
            exhausted = is_exhausted;
            ""
        );
        state.mark_changed(&run.task.job);
        if is_exhausted {
            self.give_up(state, &run.task.job);
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

impl State {
    fn unit_of(&self, run: &TaskRun) -> Option<UnitId> {
        self.jobs.get(&run.task.job)?.record.spec.unit_of(&run.task)
    }

    /// Finds the crashes in a data centre that came together with those of most other workers there, although these had
    /// started nothing, and records that they have another reason.
    fn record_common_causes(&mut self, data_centre: &DataCentreId) {
        let workers = self.workers.values();
        let in_data_centre: Vec<&WorkerRef> = workers
            .map(|worker| &worker.announcement)
            .filter(|announcement| announcement.data_centre == *data_centre)
            .map(|announcement| &announcement.worker)
            .collect();
        let has_common_cause = |crash: &KnownCrash| {
            let others = || {
                let workers = in_data_centre.iter();
                workers.filter(|worker| !is_same_worker(worker, &crash.worker))
            };
            let crashed_with_it = others().filter(|worker| {
                self.crashes.iter().any(|other| {
                    !other.has_suspects
                        && is_same_worker(&other.worker, worker)
                        && other.is_near(crash)
                })
            });
            let crashed_with_it = crashed_with_it.count();
            crashed_with_it > 0 && crashed_with_it * 2 >= others().count()
        };
        let found: Vec<WorkerRef> = self
            .crashes
            .iter()
            .filter(|crash| crash.has_suspects && !crash.has_common_cause)
            .filter(|crash| crash.data_centre == *data_centre && has_common_cause(crash))
            .map(|crash| crash.worker.clone())
            .collect();
        for worker in &found {
            self.record_common_cause(worker);
        }
    }

    /// Records that a worker crashed for another reason than the runs that it had just started.
    fn record_common_cause(&mut self, worker: &WorkerRef) {
        for known in &mut self.crashes {
            known.has_common_cause |= known.worker == *worker;
        }
        let mut affected = Vec::new();
        for (id, job) in &mut self.jobs {
            if job
                .progress
                .record_common_cause(id, &job.record.spec, worker)
            {
                affected.push(id.clone());
            }
        }
        for id in &affected {
            self.mark_changed(id);
        }
    }

    /// Records that a worker has listed the task of a run at `listed_at`, and that its agent knows that the run has
    /// outlived its start.
    pub(crate) fn record_outlived(&mut self, run: &TaskRun, listed_at: Instant) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let Some(unit) = job.record.spec.unit_of(&run.task) else {
            return;
        };
        // The members of a gang start to work when the last one is there.
        let works_together = !job.step_of(&unit).is_gang || {
            let live = job.units.get(&unit);
            let mut runs = live.into_iter().flat_map(|live| &live.runs);
            runs.any(|live| live.run == run.run && live.has_worked_together_at(listed_at))
        };
        if works_together
            && job
                .progress
                .record_outlived(&job.record.spec, &run.task, run.run)
        {
            info!(target: event::CRASHES_DISPROVED, task:% = run.task, run = run.run; "");
            self.mark_changed(&run.task.job);
        }
    }
}
