//! Progress of a job: the durable part of its state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::CrashHistory;
use crate::CrashRisk;
use crate::JobSpec;
use crate::Occurrence;
use crate::Run;
use crate::StepIndex;
use crate::StepSpec;
use crate::TaskId;
use crate::UnitId;
use nutmegwalk_base::WorkerId;

/// One incarnation of a worker. A restarted worker may have the same id as before, but has another start time.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct WorkerRef {
    /// Id of the worker.
    pub id: WorkerId,
    /// Start time of this incarnation, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// Machine that the incarnation runs on, if the worker reports one. A later incarnation on the same machine
    /// means that this one has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub machine: Option<Box<str>>,
}

impl WorkerRef {
    /// Returns whether `other` is a later incarnation of the same worker or machine, which means that this one has
    /// ended.
    #[must_use]
    pub fn is_superseded_by(&self, other: &Self) -> bool {
        let is_same =
            self.id == other.id || self.machine.is_some() && self.machine == other.machine;
        is_same && self.born_unix_ms < other.born_unix_ms
    }
}

/// State of a job, as reported to its submitter.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// The job is accepted and no task was started.
    #[default]
    Pending,
    /// At least one task was started.
    Running,
    /// All tasks are done.
    Completed,
    /// A unit failed as often as its queue allows.
    Failed,
    /// The submitter cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns whether the job has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

impl JobState {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Pending => "pending",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// How the run of a task ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndKind {
    /// The work is done.
    Done,
    /// The task failed, because of the task itself or of the worker.
    Failed,
    /// The task was stopped on request.
    Stopped,
    /// The lease of the worker expired.
    LeaseLapsed,
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang were not present in time.
    GangIncomplete,
    /// The run was lost without a report: its worker crashed, or the order to start it never arrived.
    Lost,
}

impl EndKind {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::LeaseLapsed => "lease_lapsed",
            Self::GangBroken => "gang_broken",
            Self::GangIncomplete => "gang_incomplete",
            Self::Lost => "lost",
        }
    }
}

/// A run of a unit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attempt {
    /// Number of the run, shared by the members of a gang.
    pub run: Run,
    /// Whether a task of the run has failed.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_failed: bool,
    /// Worker of each task of the unit, in the order of the tasks.
    pub workers: Vec<WorkerRef>,
}

/// Progress of a unit.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UnitProgress {
    /// Number of the last run; 0 before the first one.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub last_run: Run,
    /// Number of runs that failed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// Whether the work is done.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_done: bool,
    /// Checkpoint from which the next run resumes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Box<str>>,
    /// Runs that may have tasks on workers; more than one only for speculative steps.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub attempts: Vec<Attempt>,
    /// Workers that crashed while they had a run.
    #[serde(default, skip_serializing_if = "CrashHistory::is_empty")]
    pub crash_history: CrashHistory,
}

/// Progress of a step in one occurrence.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepProgress {
    /// Whether all units are done; `units` is empty then.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_done: bool,
    /// Units in the order of the tasks; empty before the first start and once the step is done.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub units: Vec<UnitProgress>,
}

impl StepProgress {
    fn fits(&self, spec: &StepSpec) -> bool {
        let has_all_units = self.units.len() == spec.unit_count() as usize;
        let tasks = spec.tasks_per_unit() as usize;
        (self.units.is_empty() || has_all_units) && self.units.iter().all(|unit| unit.fits(tasks))
    }
}

impl UnitProgress {
    /// Returns whether this can be the progress of a unit with this number of tasks, and a later run has a number.
    fn fits(&self, tasks: usize) -> bool {
        let fits = |attempt: &Attempt| {
            attempt.workers.len() == tasks && (1..=self.last_run).contains(&attempt.run)
        };
        self.last_run < Run::MAX && self.attempts.iter().all(fits)
    }
}

/// Effect of a reported end of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndEffect {
    /// Nothing changed, because the run is not a current attempt or its unit or job has already ended.
    Ignored,
    /// The unit is done.
    UnitDone,
    /// A run of the unit failed; `is_exhausted` is set if the queue allows no further run.
    Failed {
        /// Whether the unit has reached the maximum number of failures of its queue.
        is_exhausted: bool,
    },
    /// The run ended for another reason, or its failure was counted before.
    Interrupted,
}

/// Durable progress of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobProgress {
    /// State as reported to the submitter.
    pub state: JobState,
    /// Steps of each occurrence that has started and is not finished.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    occurrences: BTreeMap<Occurrence, Vec<StepProgress>>,
    /// All occurrences below this one are finished.
    #[serde(default, skip_serializing_if = "is_zero")]
    finished_below: Occurrence,
    /// Finished occurrences that are not below `finished_below`.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    finished: BTreeSet<Occurrence>,
    /// Wall-clock time at which the job ended, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_unix_ms: Option<u64>,
}

impl JobProgress {
    /// Creates the progress of a job without any started task.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether all tasks of `occurrence` are done.
    #[must_use]
    pub fn is_finished(&self, occurrence: Occurrence) -> bool {
        occurrence < self.finished_below || self.finished.contains(&occurrence)
    }

    /// Returns the first occurrence that is not finished.
    #[must_use]
    pub fn first_unfinished(&self) -> Occurrence {
        self.finished_below
    }

    /// Returns whether all units of a step are done.
    #[must_use]
    pub fn is_step_done(&self, occurrence: Occurrence, step: StepIndex) -> bool {
        self.is_finished(occurrence) || self.step(occurrence, step).is_some_and(|step| step.is_done)
    }

    /// Returns the progress of a unit; `None` when it was never started or its step is done.
    #[must_use]
    pub fn unit(&self, unit: &UnitId) -> Option<&UnitProgress> {
        self.step(unit.occurrence, unit.step)?
            .units
            .get(unit_index(unit))
    }

    /// Returns whether a unit is done.
    #[must_use]
    pub fn is_unit_done(&self, unit: &UnitId) -> bool {
        self.is_step_done(unit.occurrence, unit.step)
            || self.unit(unit).is_some_and(|unit| unit.is_done)
    }

    /// Returns the units of `occurrence` whose predecessors are done and that are not done themselves.
    #[must_use]
    pub fn ready_units(&self, job: &str, spec: &JobSpec, occurrence: Occurrence) -> Vec<UnitId> {
        if self.state.is_final() || self.is_finished(occurrence) {
            return Vec::new();
        }
        let mut ready = Vec::new();
        for (step, step_spec) in (0..).zip(&spec.steps) {
            let is_ready = !self.is_step_done(occurrence, step)
                && step_spec
                    .after
                    .iter()
                    .all(|after| self.is_step_done(occurrence, *after));
            if !is_ready {
                continue;
            }
            let units = (0..step_spec.unit_count()).map(|index| UnitId {
                job: job.into(),
                occurrence,
                step,
                task: (!step_spec.is_gang).then_some(index),
            });
            ready.extend(units.filter(|unit| !self.is_unit_done(unit)));
        }
        ready
    }

    /// Returns every run that may have tasks on workers.
    pub fn attempts<'a>(
        &'a self,
        job: &'a str,
        spec: &'a JobSpec,
    ) -> impl Iterator<Item = (UnitId, &'a Attempt)> {
        self.occurrences
            .iter()
            .flat_map(move |(occurrence, steps)| {
                (0..).zip(steps).flat_map(move |(step, progress)| {
                    let units = (0..).zip(&progress.units);
                    units.flat_map(move |(index, unit)| {
                        unit.attempts.iter().map(move |attempt| {
                            let is_gang = spec.step(step).is_some_and(|step| step.is_gang);
                            let id = UnitId {
                                job: job.into(),
                                occurrence: *occurrence,
                                step,
                                task: (!is_gang).then_some(index),
                            };
                            (id, attempt)
                        })
                    })
                })
            })
    }

    /// Records the start of a run of a unit and returns the number of the run; `workers` has one entry per task.
    pub fn start_run(&mut self, spec: &JobSpec, unit: &UnitId, workers: Vec<WorkerRef>) -> Run {
        debug_assert!(!self.state.is_final());
        debug_assert!(!self.is_unit_done(unit));
        self.state = JobState::Running;
        let progress = self.unit_mut(spec, unit);
        progress.last_run += 1;
        let run = progress.last_run;
        progress.attempts.push(Attempt {
            run,
            has_failed: false,
            workers,
        });
        run
    }

    /// Records that the run of a task has ended.
    ///
    /// `max_failures` is the number of failed runs after which the unit is exhausted; `None` for no limit.
    pub fn record_end(
        &mut self,
        spec: &JobSpec,
        task: &TaskId,
        run: Run,
        kind: EndKind,
        max_failures: Option<u32>,
    ) -> EndEffect {
        let Some(unit) = spec.unit_of(task) else {
            return EndEffect::Ignored;
        };
        if self.state.is_final() || self.is_unit_done(&unit) {
            return EndEffect::Ignored;
        }
        let progress = self.unit_mut(spec, &unit);
        let Some(attempt) = progress
            .attempts
            .iter_mut()
            .find(|attempt| attempt.run == run)
        else {
            return EndEffect::Ignored;
        };
        match kind {
            EndKind::Done => {
                progress.is_done = true;
                progress.attempts.clear();
                progress.checkpoint = None;
                progress.crash_history.clear();
                self.finish_step(spec, &unit);
                EndEffect::UnitDone
            }
            EndKind::Failed if !attempt.has_failed => {
                attempt.has_failed = true;
                progress.failures = progress.failures.saturating_add(1);
                let is_exhausted = max_failures.is_some_and(|limit| progress.failures >= limit);
                EndEffect::Failed { is_exhausted }
            }
            _ => EndEffect::Interrupted,
        }
    }

    /// Stores a checkpoint from which the next run of the task's unit resumes. An empty checkpoint is ignored.
    pub fn save_checkpoint(&mut self, spec: &JobSpec, task: &TaskId, checkpoint: &str) {
        if let Some(unit) = spec.unit_of(task)
            && !checkpoint.is_empty()
            && !self.is_unit_done(&unit)
        {
            self.unit_mut(spec, &unit).checkpoint = Some(checkpoint.into());
        }
    }

    /// Returns the risk that a unit crashes the workers that start it.
    #[must_use]
    pub fn crash_risk(&self, unit: &UnitId) -> CrashRisk {
        self.unit(unit)
            .map_or(CrashRisk::Low, |unit| unit.crash_history.risk())
    }

    /// Returns the crash history of a unit; `None` when it was never started or its step is done.
    pub fn crash_history_mut(&mut self, unit: &UnitId) -> Option<&mut CrashHistory> {
        let steps = self.occurrences.get_mut(&unit.occurrence)?;
        let step = steps.get_mut(unit.step as usize)?;
        let progress = step.units.get_mut(unit_index(unit))?;
        Some(&mut progress.crash_history)
    }

    /// Records that a worker has crashed; returns the units of which runs were lost with it.
    pub fn record_crash(&mut self, job: &str, spec: &JobSpec, worker: &WorkerRef) -> Vec<UnitId> {
        let mut affected = Vec::new();
        for (occurrence, steps) in &mut self.occurrences {
            for (step, progress) in (0..).zip(steps) {
                let is_gang = spec.step(step).is_some_and(|step| step.is_gang);
                for (index, unit) in (0..).zip(&mut progress.units) {
                    if !unit.is_done && unit.crash_history.record_crash(worker) {
                        affected.push(UnitId {
                            job: job.into(),
                            occurrence: *occurrence,
                            step,
                            task: (!is_gang).then_some(index),
                        });
                    }
                }
            }
        }
        affected
    }

    /// Removes a run that no longer has tasks on any worker.
    pub fn close_attempt(&mut self, unit: &UnitId, run: Run) {
        let Some(steps) = self.occurrences.get_mut(&unit.occurrence) else {
            return;
        };
        let step = steps.get_mut(unit.step as usize);
        if let Some(progress) = step.and_then(|step| step.units.get_mut(unit_index(unit))) {
            progress.attempts.retain(|attempt| attempt.run != run);
        }
    }

    /// Returns whether this can be the progress of a job with `spec`. A row of another writer may differ from it in
    /// the number of steps, units or workers.
    #[must_use]
    pub fn fits(&self, spec: &JobSpec) -> bool {
        let occurrences = spec.occurrences();
        let is_occurrence = |occurrence: &Occurrence| *occurrence < occurrences;
        self.finished_below <= occurrences
            && self.finished.iter().all(is_occurrence)
            && self.occurrences.keys().all(is_occurrence)
            && self.occurrences.values().all(|steps| {
                steps.len() == spec.steps.len()
                    && steps
                        .iter()
                        .zip(&spec.steps)
                        .all(|(step, step_spec)| step.fits(step_spec))
            })
    }

    /// Ends the job in a final state other than by completion.
    pub fn end(&mut self, state: JobState) {
        debug_assert!(state.is_final());
        self.state = state;
        self.occurrences.clear();
    }

    fn step(&self, occurrence: Occurrence, step: StepIndex) -> Option<&StepProgress> {
        self.occurrences.get(&occurrence)?.get(step as usize)
    }

    /// Returns the progress of a unit, and creates that of its occurrence and step if needed.
    fn unit_mut(&mut self, spec: &JobSpec, unit: &UnitId) -> &mut UnitProgress {
        let steps = self
            .occurrences
            .entry(unit.occurrence)
            .or_insert_with(|| vec![StepProgress::default(); spec.steps.len()]);
        let step = &mut steps[unit.step as usize];
        if step.units.is_empty() {
            let count = spec.steps[unit.step as usize].unit_count() as usize;
            step.units = vec![UnitProgress::default(); count];
        }
        &mut step.units[unit_index(unit)]
    }

    /// Marks the unit's step, its occurrence and the job as done if all their parts are done.
    fn finish_step(&mut self, spec: &JobSpec, unit: &UnitId) {
        let Some(steps) = self.occurrences.get_mut(&unit.occurrence) else {
            return;
        };
        let step = &mut steps[unit.step as usize];
        if !step.units.iter().all(|unit| unit.is_done) {
            return;
        }
        *step = StepProgress {
            is_done: true,
            units: Vec::new(),
        };
        if !steps.iter().all(|step| step.is_done) {
            return;
        }
        self.occurrences.remove(&unit.occurrence);
        self.finished.insert(unit.occurrence);
        while self.finished.remove(&self.finished_below) {
            self.finished_below += 1;
        }
        if self.finished_below >= spec.occurrences() {
            self.state = JobState::Completed;
        }
    }
}

impl JobSpec {
    /// Returns the unit that a task belongs to; `None` if the job has no such task.
    #[must_use]
    pub fn unit_of(&self, task: &TaskId) -> Option<UnitId> {
        let step = self.step(task.step)?;
        let exists = task.index < step.tasks && task.occurrence < self.occurrences();
        exists.then(|| UnitId {
            job: task.job.clone(),
            occurrence: task.occurrence,
            step: task.step,
            task: (!step.is_gang).then_some(task.index),
        })
    }
}

/// Returns the index of a unit within its step.
fn unit_index(unit: &UnitId) -> usize {
    unit.task.unwrap_or(0) as usize
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(value: &u32) -> bool {
    *value == 0
}
