//! Rows that store the progress of a job: a summary, and parts of a bounded size.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::Range;

use serde::Deserialize;
use serde::Serialize;

use crate::Attempt;
use crate::Doubt;
use crate::JobProgress;
use crate::JobSpec;
use crate::JobState;
use crate::Occurrence;
use crate::OccurrenceSet;
use crate::PartId;
use crate::Run;
use crate::StartCrash;
use crate::StepIndex;
use crate::TaskIndex;
use crate::UnitProgress;
use crate::WorkerRef;
use crate::progress::StepProgress;
use crate::task_set::TaskSet;
use crate::task_set::WORD_BITS;

/// Length, in bytes, beyond which a row holds no evidence of crashes. Without it, a row is shorter than that.
const MAX_ROW_BYTES: usize = 48 << 10;

/// Summary of the progress of a job, with its parts if they have no rows of their own.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Summary {
    state: JobState,
    #[serde(default, skip_serializing_if = "OccurrenceSet::is_empty")]
    finished: OccurrenceSet,
    /// Done steps of each occurrence in progress, as words of 64 bits.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    done_steps: BTreeMap<Occurrence, Vec<u64>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ended_unix_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    parts: Vec<(Occurrence, StepIndex, u32, Part)>,
}

/// State of a job in its summary; the other fields are skipped.
#[derive(Deserialize)]
struct SummaryState {
    state: JobState,
}

/// Progress of consecutive tasks of a step.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Part {
    /// Units that are done, one bit each.
    #[serde(default, skip_serializing_if = "is_zero")]
    done: u64,
    /// Workers that are named below by their position.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    workers: Vec<WorkerRef>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    units: Vec<PartUnit>,
}

/// Progress of a unit, as far as a part holds it. Only the first part of a gang has more than its attempts and crashes.
#[derive(Debug, Default, Deserialize, Serialize)]
struct PartUnit {
    index: TaskIndex,
    run: Run,
    #[serde(default, skip_serializing_if = "is_default")]
    failures: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    checkpoint: Option<Box<str>>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    attempts: Vec<PartAttempt>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    start_crashes: Vec<PartCrash>,
    /// Runs of tasks that have disproved crashes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    disproved: Vec<(TaskIndex, Run)>,
}

/// The tasks of a part in a run of their unit.
#[derive(Debug, Deserialize, Serialize)]
struct PartAttempt {
    run: Run,
    #[serde(default, skip_serializing_if = "is_default")]
    has_failed: bool,
    /// Positions of the workers, each with the number of consecutive tasks on it.
    on: Vec<(usize, u32)>,
}

/// Task, run, position of the worker, and doubt about the crash.
type PartCrash = (TaskIndex, Run, usize, Doubt);

/// Reason why rows are not the progress of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowError {
    /// A row cannot be decoded.
    Malformed(Box<str>),
    /// A row names an occurrence, step, task, run or worker that does not exist.
    Mismatch(Box<str>),
}

impl fmt::Display for RowError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(detail) => write!(formatter, "malformed: {detail}"),
            Self::Mismatch(detail) => write!(formatter, "it does not match the job: {detail}"),
        }
    }
}

impl JobProgress {
    /// Returns the content of the summary row.
    ///
    /// # Errors
    /// When the progress cannot be encoded.
    pub fn summary_row(&self, spec: &JobSpec) -> Result<String, serde_json::Error> {
        let mut summary = Summary {
            state: self.state,
            finished: self.finished.clone(),
            ended_unix_ms: self.ended_unix_ms,
            ..Summary::default()
        };
        for (occurrence, steps) in &self.occurrences {
            let mut done = TaskSet::default();
            for (index, _) in (0..).zip(steps).filter(|(_, step)| step.is_done) {
                done.insert(index);
            }
            if done.len() > 0 {
                summary.done_steps.insert(*occurrence, done.into_words());
            }
        }
        if !spec.has_part_rows() {
            for id in self.parts(spec) {
                if let Some(part) = self.part(spec, id) {
                    summary.parts.push((id.occurrence, id.step, id.index, part));
                }
            }
        }
        encode_within(MAX_ROW_BYTES, &mut summary, |summary| {
            summary
                .parts
                .iter_mut()
                .map(|(_, _, _, part)| part)
                .collect()
        })
    }

    /// Returns the content of the row of a part; `None` if nothing is known of its tasks, or their step is done.
    ///
    /// # Errors
    /// When the part cannot be encoded.
    pub fn part_row(
        &self,
        spec: &JobSpec,
        id: PartId,
    ) -> Result<Option<String>, serde_json::Error> {
        let Some(mut part) = self.part(spec, id) else {
            return Ok(None);
        };
        encode_within(MAX_ROW_BYTES, &mut part, |part| vec![part]).map(Some)
    }

    /// Returns the state in a summary row, without decoding the rest.
    ///
    /// # Errors
    /// When the row is malformed.
    pub fn state_of_row(summary: &str) -> Result<JobState, serde_json::Error> {
        Ok(serde_json::from_str::<SummaryState>(summary)?.state)
    }

    /// Decodes the progress of a job from its rows. Parts of steps that are done are ignored.
    ///
    /// # Errors
    /// When a row is malformed, or cannot be of a job with `spec`.
    pub fn from_rows<'a>(
        spec: &JobSpec,
        summary: &str,
        parts: impl IntoIterator<Item = (PartId, &'a str)>,
    ) -> Result<Self, RowError> {
        let summary: Summary = decode(summary)?;
        let mut progress = Self {
            state: summary.state,
            finished: summary.finished,
            ended_unix_ms: summary.ended_unix_ms,
            ..Self::default()
        };
        if progress.finished.end() > spec.occurrences() {
            return Err(mismatch("occurrence", progress.finished.end() - 1));
        }
        progress.apply_done_steps(spec, &summary.done_steps)?;
        let inline = summary.parts.into_iter();
        for (occurrence, step, index, part) in inline {
            let id = PartId {
                occurrence,
                step,
                index,
            };
            progress.apply_part(spec, id, part)?;
        }
        // The tasks of a gang are appended in their order.
        let parts: BTreeMap<PartId, &str> = parts.into_iter().collect();
        for (id, text) in parts {
            progress.apply_part(spec, id, decode(text)?)?;
        }
        progress.drop_incomplete_attempts(spec);
        Ok(progress)
    }

    /// Returns whether a part belongs to a step that is done, or to a job that has ended, so that its row is not needed.
    #[must_use]
    pub fn is_part_obsolete(&self, id: PartId) -> bool {
        self.state.is_final() || self.is_step_done(id.occurrence, id.step)
    }

    /// Returns the parts of the steps in progress.
    fn parts(&self, spec: &JobSpec) -> Vec<PartId> {
        let mut ids = Vec::new();
        for (occurrence, steps) in &self.occurrences {
            for ((step, progress), step_spec) in (0..).zip(steps).zip(&spec.steps) {
                if !progress.is_done {
                    ids.extend((0..step_spec.part_count()).map(|index| PartId {
                        occurrence: *occurrence,
                        step,
                        index,
                    }));
                }
            }
        }
        ids
    }

    fn part(&self, spec: &JobSpec, id: PartId) -> Option<Part> {
        let step_spec = spec.step(id.step)?;
        let step = self.step(id.occurrence, id.step)?;
        if step.is_done || id.index >= step_spec.part_count() {
            return None;
        }
        let tasks = step_spec.tasks_of_part(id.index);
        let mut writer = PartWriter::default();
        if step_spec.is_gang {
            if let Some(unit) = step.units.get(&0) {
                let is_first = id.index == 0;
                writer.add_unit(0, unit, &tasks, is_first, 0);
            }
        } else {
            writer.part.done = step.done.word(id.index);
            for (index, unit) in step.units.range(tasks) {
                writer.add_unit(*index, unit, &(*index..index + 1), true, *index);
            }
        }
        let is_empty = writer.part.done == 0 && writer.part.units.is_empty();
        (!is_empty).then_some(writer.part)
    }

    fn apply_done_steps(
        &mut self,
        spec: &JobSpec,
        done_steps: &BTreeMap<Occurrence, Vec<u64>>,
    ) -> Result<(), RowError> {
        for (occurrence, words) in done_steps {
            if *occurrence >= spec.occurrences() {
                return Err(mismatch("occurrence", *occurrence));
            }
            for (word, bits) in words.iter().enumerate() {
                for bit in (0..WORD_BITS).filter(|bit| bits & (1_u64 << bit) != 0) {
                    let step = word * WORD_BITS as usize + bit as usize;
                    if step >= spec.steps.len() {
                        return Err(mismatch("step", step));
                    }
                    #[expect(clippy::cast_possible_truncation, reason = "an index of a step")]
                    let progress = self.step_mut(spec, *occurrence, step as StepIndex);
                    *progress = StepProgress {
                        is_done: true,
                        ..StepProgress::default()
                    };
                }
            }
        }
        Ok(())
    }

    fn apply_part(&mut self, spec: &JobSpec, id: PartId, part: Part) -> Result<(), RowError> {
        let Some(step_spec) = spec.step(id.step) else {
            return Err(mismatch("step", id.step));
        };
        if id.occurrence >= spec.occurrences() {
            return Err(mismatch("occurrence", id.occurrence));
        }
        if id.index >= step_spec.part_count() {
            return Err(mismatch("part", id.index));
        }
        if self.is_part_obsolete(id) {
            return Ok(());
        }
        let tasks = step_spec.tasks_of_part(id.index);
        let step = self.step_mut(spec, id.occurrence, id.step);
        if !step_spec.is_gang {
            let unused = tasks.len() < WORD_BITS as usize && part.done >> tasks.len() != 0;
            if unused {
                return Err(mismatch("done task of part", id.index));
            }
            step.done.set_word(id.index, part.done);
        }
        for unit in part.units {
            let is_member = if step_spec.is_gang {
                unit.index == 0
            } else {
                tasks.contains(&unit.index) && !step.done.contains(unit.index)
            };
            if !is_member {
                return Err(mismatch("task", unit.index));
            }
            let covered = if step_spec.is_gang {
                tasks.clone()
            } else {
                unit.index..unit.index + 1
            };
            let progress = step.units.entry(unit.index).or_default();
            unit.apply(
                progress,
                &part.workers,
                &covered,
                id.index == 0 || !step_spec.is_gang,
            )?;
        }
        Ok(())
    }

    /// Removes the runs of which parts are missing. They were never started, as that follows the last part, or all
    /// their tasks have ended, as parts are changed together only after that.
    fn drop_incomplete_attempts(&mut self, spec: &JobSpec) {
        for steps in self.occurrences.values_mut() {
            for (progress, step_spec) in steps.iter_mut().zip(&spec.steps) {
                let tasks = step_spec.tasks_per_unit() as usize;
                for unit in progress.units.values_mut() {
                    unit.attempts
                        .retain(|attempt| attempt.workers.len() == tasks);
                }
            }
        }
    }
}

impl Part {
    /// Removes the workers that no unit names.
    fn drop_unused_workers(&mut self) {
        let mut used = BTreeSet::new();
        for unit in &self.units {
            let attempts = unit.attempts.iter().flat_map(|attempt| &attempt.on);
            used.extend(attempts.map(|(worker, _)| *worker));
            used.extend(unit.start_crashes.iter().map(|(_, _, worker, _)| *worker));
        }
        let positions: BTreeMap<usize, usize> = used.iter().copied().zip(0..).collect();
        let workers = std::mem::take(&mut self.workers);
        self.workers = workers
            .into_iter()
            .enumerate()
            .filter(|(position, _)| used.contains(position))
            .map(|(_, worker)| worker)
            .collect();
        for unit in &mut self.units {
            for (worker, _) in unit.attempts.iter_mut().flat_map(|attempt| &mut attempt.on) {
                *worker = positions[worker];
            }
            for (_, _, worker, _) in &mut unit.start_crashes {
                *worker = positions[worker];
            }
        }
    }
}

/// Builds a part and numbers the workers that it names.
#[derive(Default)]
struct PartWriter<'a> {
    part: Part,
    positions: BTreeMap<&'a WorkerRef, usize>,
}

impl<'a> PartWriter<'a> {
    fn position(&mut self, worker: &'a WorkerRef) -> usize {
        let next = self.positions.len();
        let position = *self.positions.entry(worker).or_insert(next);
        if position == next {
            self.part.workers.push(worker.clone());
        }
        position
    }

    /// Adds what a part holds of a unit. `tasks` are the tasks of the part, and `first` is the first task of the unit.
    fn add_unit(
        &mut self,
        index: TaskIndex,
        unit: &'a UnitProgress,
        tasks: &Range<TaskIndex>,
        is_first_part: bool,
        first: TaskIndex,
    ) {
        let mut attempts = Vec::new();
        for attempt in &unit.attempts {
            let workers = attempt
                .workers
                .iter()
                .skip((tasks.start - first) as usize)
                .take(tasks.len());
            let mut on: Vec<(usize, u32)> = Vec::new();
            for worker in workers {
                let position = self.position(worker);
                match on.last_mut() {
                    Some((last, count)) if *last == position => *count += 1,
                    _ => on.push((position, 1)),
                }
            }
            attempts.push(PartAttempt {
                run: attempt.run,
                has_failed: attempt.has_failed,
                on,
            });
        }
        let crashes = unit.crash_history.crashes().iter();
        let start_crashes = crashes
            .filter(|crash| tasks.contains(&crash.task))
            .map(|crash| {
                let worker = self.position(&crash.worker);
                (crash.task, crash.run, worker, crash.doubt)
            })
            .collect();
        let disproved = unit.crash_history.disproved().iter().copied();
        let disproved = disproved.filter(|(task, _)| tasks.contains(task));
        let unit = PartUnit {
            index,
            run: unit.last_run,
            failures: if is_first_part { unit.failures } else { 0 },
            checkpoint: unit.checkpoint.clone().filter(|_| is_first_part),
            attempts,
            start_crashes,
            disproved: disproved.collect(),
        };
        self.part.units.push(unit);
    }
}

impl PartUnit {
    /// Adds what the part holds to the progress of its unit. Parts of a unit are applied in order.
    fn apply(
        self,
        progress: &mut UnitProgress,
        workers: &[WorkerRef],
        tasks: &Range<TaskIndex>,
        is_first_part: bool,
    ) -> Result<(), RowError> {
        let worker = |position: usize| {
            workers
                .get(position)
                .ok_or_else(|| mismatch("worker", position))
        };
        progress.last_run = progress.last_run.max(self.run);
        // A later run has to have a number.
        if progress.last_run == Run::MAX {
            return Err(mismatch("run", self.run));
        }
        if is_first_part {
            progress.failures = self.failures;
            progress.checkpoint = self.checkpoint;
        }
        for attempt in self.attempts {
            if attempt.run == 0 || attempt.run > self.run {
                return Err(mismatch("run", attempt.run));
            }
            let count: u64 = attempt.on.iter().map(|(_, count)| u64::from(*count)).sum();
            if count != tasks.len() as u64 {
                return Err(mismatch("number of tasks of run", attempt.run));
            }
            let position = progress
                .attempts
                .iter()
                .position(|known| known.run == attempt.run);
            let position = position.unwrap_or_else(|| {
                progress.attempts.push(Attempt {
                    run: attempt.run,
                    has_failed: false,
                    workers: Vec::new(),
                });
                progress.attempts.len() - 1
            });
            let known = &mut progress.attempts[position];
            if is_first_part {
                known.has_failed = attempt.has_failed;
            }
            // A run with a gap stays short and is dropped.
            if known.workers.len() != tasks.start as usize && !is_first_part {
                continue;
            }
            for (position, count) in attempt.on {
                let worker = worker(position)?;
                known
                    .workers
                    .extend(std::iter::repeat_n(worker.clone(), count as usize));
            }
        }
        for (task, run) in self.disproved {
            check_task(tasks, task)?;
            progress.crash_history.restore_disproved(task, run);
        }
        for (task, run, position, doubt) in self.start_crashes {
            check_task(tasks, task)?;
            progress.crash_history.record_crash(StartCrash {
                task,
                run,
                worker: worker(position)?.clone(),
                doubt,
            });
        }
        Ok(())
    }
}

/// Encodes a row. The evidence of crashes is left out of its parts if the row would be longer than `limit` bytes with it.
fn encode_within<T: Serialize>(
    limit: usize,
    row: &mut T,
    parts: impl Fn(&mut T) -> Vec<&mut Part>,
) -> Result<String, serde_json::Error> {
    let text = serde_json::to_string(row)?;
    if text.len() <= limit {
        return Ok(text);
    }
    for part in parts(row) {
        for unit in &mut part.units {
            unit.start_crashes.clear();
            unit.disproved.clear();
        }
        part.drop_unused_workers();
    }
    serde_json::to_string(row)
}

fn check_task(tasks: &Range<TaskIndex>, task: TaskIndex) -> Result<(), RowError> {
    if tasks.contains(&task) {
        return Ok(());
    }
    Err(mismatch("task", task))
}

fn decode<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, RowError> {
    serde_json::from_str(text).map_err(|error| RowError::Malformed(error.to_string().into()))
}

fn mismatch(what: &str, value: impl fmt::Display) -> RowError {
    RowError::Mismatch(format!("{what} {value}").into())
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(value: &u64) -> bool {
    *value == 0
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
