//! Progress of a job: the durable part of its state.
//!
//! It takes memory for the units that have started and are not done, and one bit for each other one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::CrashHistory;
use crate::CrashRisk;
use crate::JobSpec;
use crate::Occurrence;
use crate::OccurrenceSet;
use crate::PartId;
use crate::Run;
use crate::StartCrash;
use crate::StepIndex;
use crate::TaskId;
use crate::TaskIndex;
use crate::UnitId;
use crate::task_set::TaskSet;
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
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Number of the run, shared by the members of a gang.
    pub run: Run,
    /// Whether a task of the run has failed.
    pub has_failed: bool,
    /// Worker of each task of the unit, in the order of the tasks.
    pub workers: Vec<WorkerRef>,
}

/// Progress of a unit that has started and is not done.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UnitProgress {
    /// Number of the last run; 0 before the first one.
    pub last_run: Run,
    /// Number of runs that failed.
    pub failures: u32,
    /// Checkpoint from which the next run resumes.
    pub checkpoint: Option<Box<str>>,
    /// Runs that may have tasks on workers; more than one only for speculative steps.
    pub attempts: Vec<Attempt>,
    /// Workers that crashed when they had just started a run.
    pub crash_history: CrashHistory,
}

impl UnitProgress {
    /// Returns the time for which a worker has to be up before it starts the next run, see
    /// [`CrashHistory::settling_time`].
    #[must_use]
    pub fn next_settling_time(&self) -> Duration {
        self.crash_history.settling_time(self.last_run + 1)
    }
}

/// Progress of a step in one occurrence.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct StepProgress {
    /// Whether all units are done; `done` and `units` are empty then.
    pub(crate) is_done: bool,
    /// Units that are done.
    pub(crate) done: TaskSet,
    /// Units that have started and are not done, by their index.
    pub(crate) units: BTreeMap<TaskIndex, UnitProgress>,
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
///
/// It is stored as the rows that [`JobProgress::summary_row`] and [`JobProgress::part_row`] return.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobProgress {
    /// State as reported to the submitter.
    pub state: JobState,
    /// Steps of each occurrence that has started and is not finished.
    pub(crate) occurrences: BTreeMap<Occurrence, Vec<StepProgress>>,
    /// Occurrences of which all tasks are done.
    pub(crate) finished: OccurrenceSet,
    /// Wall-clock time at which the job ended, in milliseconds since the Unix epoch.
    pub ended_unix_ms: Option<u64>,
    /// Parts that have changed since they were last taken.
    pub(crate) changed_parts: BTreeSet<PartId>,
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
        self.finished.contains(occurrence)
    }

    /// Returns the first occurrence from `from` on that is not finished.
    #[must_use]
    pub fn first_unfinished(&self, from: Occurrence) -> Occurrence {
        self.finished.first_absent(from)
    }

    /// Returns whether all units of a step are done.
    #[must_use]
    pub fn is_step_done(&self, occurrence: Occurrence, step: StepIndex) -> bool {
        self.is_finished(occurrence) || self.step(occurrence, step).is_some_and(|step| step.is_done)
    }

    /// Returns whether the tasks of a step may start: all its predecessors are done, and it is not done itself.
    #[must_use]
    pub fn is_step_ready(&self, spec: &JobSpec, occurrence: Occurrence, step: StepIndex) -> bool {
        let Some(step_spec) = spec.step(step) else {
            return false;
        };
        !self.state.is_final()
            && !self.is_step_done(occurrence, step)
            && step_spec
                .after
                .iter()
                .all(|after| self.is_step_done(occurrence, *after))
    }

    /// Returns the progress of a unit; `None` when it was never started or is done.
    #[must_use]
    pub fn unit(&self, unit: &UnitId) -> Option<&UnitProgress> {
        let step = self.step(unit.occurrence, unit.step)?;
        step.units.get(&unit_index(unit))
    }

    /// Returns whether a unit is done.
    #[must_use]
    pub fn is_unit_done(&self, unit: &UnitId) -> bool {
        self.is_finished(unit.occurrence)
            || self
                .step(unit.occurrence, unit.step)
                .is_some_and(|step| step.is_done || step.done.contains(unit_index(unit)))
    }

    /// Returns the indices of the units of a step that are not done, as ranges in ascending order.
    pub fn open_units(
        &self,
        spec: &JobSpec,
        occurrence: Occurrence,
        step: StepIndex,
    ) -> Vec<Range<TaskIndex>> {
        let Some(step_spec) = spec.step(step) else {
            return Vec::new();
        };
        if self.is_step_done(occurrence, step) {
            return Vec::new();
        }
        let end = step_spec.unit_count();
        match self.step(occurrence, step) {
            Some(progress) => progress.done.absent_ranges(end).collect(),
            None => std::iter::once(0..end).collect(),
        }
    }

    /// Returns the indices of the started units of a step that may crash their workers, with their risk.
    pub fn risky_units(
        &self,
        occurrence: Occurrence,
        step: StepIndex,
    ) -> impl Iterator<Item = (TaskIndex, CrashRisk)> {
        let units = self.step(occurrence, step).into_iter();
        units
            .flat_map(|step| &step.units)
            .map(|(index, unit)| (*index, unit.crash_history.risk()))
            .filter(|(_, risk)| *risk > CrashRisk::Low)
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
                    progress.units.iter().flat_map(move |(index, unit)| {
                        unit.attempts.iter().map(move |attempt| {
                            let id = spec.unit_at(job, *occurrence, step, *index);
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
        let attempts = self.unit(&unit).map(|progress| &progress.attempts);
        let attempt = attempts.and_then(|attempts| attempts.iter().find(|known| known.run == run));
        let Some(attempt) = attempt else {
            return EndEffect::Ignored;
        };
        match kind {
            EndKind::Done => {
                self.finish_unit(spec, &unit);
                EndEffect::UnitDone
            }
            EndKind::Failed if !attempt.has_failed => {
                let progress = self.unit_mut(spec, &unit);
                for attempt in progress
                    .attempts
                    .iter_mut()
                    .filter(|known| known.run == run)
                {
                    attempt.has_failed = true;
                }
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
            && self
                .unit(&unit)
                .is_some_and(|unit| unit.checkpoint.as_deref() != Some(checkpoint))
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

    /// Records that a worker has crashed when it had just started a run of a unit; returns whether it is new evidence.
    pub fn record_start_crash(&mut self, spec: &JobSpec, unit: &UnitId, crash: StartCrash) -> bool {
        let is_new = self.unit(unit).is_some_and(|progress| {
            crash.run <= progress.last_run && progress.crash_history.is_new(&crash)
        });
        is_new && self.unit_mut(spec, unit).crash_history.record_crash(crash)
    }

    /// Records that a worker has been silent since the start of a run. Nothing of it is stored.
    pub fn record_silence(&mut self, spec: &JobSpec, task: &TaskId, run: Run) {
        let Some(unit) = spec.unit_of(task) else {
            return;
        };
        let steps = self.occurrences.get_mut(&unit.occurrence);
        let step = steps.and_then(|steps| steps.get_mut(unit.step as usize));
        if let Some(progress) = step.and_then(|step| step.units.get_mut(&unit_index(&unit)))
            && run <= progress.last_run
        {
            progress.crash_history.record_silence(task.index, run);
        }
    }

    /// Records that a run of a task has outlived its start; returns whether this disproves evidence against its unit.
    pub fn record_outlived(&mut self, spec: &JobSpec, task: &TaskId, run: Run) -> bool {
        let Some(unit) = spec.unit_of(task) else {
            return false;
        };
        let is_suspected = self
            .unit(&unit)
            .is_some_and(|progress| !progress.crash_history.is_empty());
        is_suspected
            && self
                .unit_mut(spec, &unit)
                .crash_history
                .record_outlived(task.index, run)
    }

    /// Records that the crash of a worker has another reason than the starts on it; returns whether it counted before.
    pub fn record_common_cause(&mut self, job: &str, spec: &JobSpec, worker: &WorkerRef) -> bool {
        let mut affected = Vec::new();
        for (occurrence, steps) in &mut self.occurrences {
            for (step, progress) in (0..).zip(steps) {
                for (index, unit) in &mut progress.units {
                    if unit.crash_history.record_common_cause(worker) {
                        affected.push(spec.unit_at(job, *occurrence, step, *index));
                    }
                }
            }
        }
        for unit in &affected {
            self.changed_parts.extend(spec.parts_of_unit(unit));
        }
        !affected.is_empty()
    }

    /// Removes a run that no longer has tasks on any worker; returns whether it was known.
    pub fn close_attempt(&mut self, spec: &JobSpec, unit: &UnitId, run: Run) -> bool {
        let attempts = self.unit(unit).map(|progress| &progress.attempts);
        let is_known =
            attempts.is_some_and(|attempts| attempts.iter().any(|known| known.run == run));
        if is_known {
            let attempts = &mut self.unit_mut(spec, unit).attempts;
            attempts.retain(|attempt| attempt.run != run);
        }
        is_known
    }

    /// Ends the job in a final state other than by completion.
    pub fn end(&mut self, state: JobState) {
        debug_assert!(state.is_final());
        self.state = state;
        self.occurrences.clear();
    }

    /// Returns the parts that have changed since the last call.
    pub fn take_changed_parts(&mut self) -> BTreeSet<PartId> {
        std::mem::take(&mut self.changed_parts)
    }

    pub(crate) fn step(&self, occurrence: Occurrence, step: StepIndex) -> Option<&StepProgress> {
        self.occurrences.get(&occurrence)?.get(step as usize)
    }

    /// Returns the progress of a step, and creates that of its occurrence if needed.
    pub(crate) fn step_mut(
        &mut self,
        spec: &JobSpec,
        occurrence: Occurrence,
        step: StepIndex,
    ) -> &mut StepProgress {
        let steps = self
            .occurrences
            .entry(occurrence)
            .or_insert_with(|| vec![StepProgress::default(); spec.steps.len()]);
        &mut steps[step as usize]
    }

    /// Returns the progress of a unit that is not done for a change, and creates it if needed.
    fn unit_mut(&mut self, spec: &JobSpec, unit: &UnitId) -> &mut UnitProgress {
        self.changed_parts.extend(spec.parts_of_unit(unit));
        let step = self.step_mut(spec, unit.occurrence, unit.step);
        step.units.entry(unit_index(unit)).or_default()
    }

    /// Marks a unit as done, and its step, its occurrence and the job if all their parts are done.
    fn finish_unit(&mut self, spec: &JobSpec, unit: &UnitId) {
        self.changed_parts.extend(spec.parts_of_unit(unit));
        let unit_count = spec.steps[unit.step as usize].unit_count();
        let step = self.step_mut(spec, unit.occurrence, unit.step);
        step.units.remove(&unit_index(unit));
        step.done.insert(unit_index(unit));
        if step.done.len() < unit_count {
            return;
        }
        *step = StepProgress {
            is_done: true,
            ..StepProgress::default()
        };
        let is_finished = self
            .occurrences
            .get(&unit.occurrence)
            .is_some_and(|steps| steps.iter().all(|step| step.is_done));
        if !is_finished {
            return;
        }
        self.occurrences.remove(&unit.occurrence);
        self.finished.insert(unit.occurrence);
        if self.finished.first_absent(0) >= spec.occurrences() {
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

    /// Returns the id of the unit with this index in its step, which is 0 for a gang.
    #[must_use]
    pub fn unit_at(
        &self,
        job: &str,
        occurrence: Occurrence,
        step: StepIndex,
        index: TaskIndex,
    ) -> UnitId {
        let is_gang = self.step(step).is_some_and(|step| step.is_gang);
        UnitId {
            job: job.into(),
            occurrence,
            step,
            task: (!is_gang).then_some(index),
        }
    }
}

/// Returns the index of a unit within its step.
pub(crate) fn unit_index(unit: &UnitId) -> TaskIndex {
    unit.task.unwrap_or(0)
}
