//! A job in the owner's memory.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use nutmegwalk_placement::WaitReason;
use nutmegwalk_store::RowVersion;
use nutmegwalk_workload::Attempt;
use nutmegwalk_workload::JobProgress;
use nutmegwalk_workload::JobRecord;
use nutmegwalk_workload::Occurrence;
use nutmegwalk_workload::Run;
use nutmegwalk_workload::StepIndex;
use nutmegwalk_workload::StepSpec;
use nutmegwalk_workload::TaskIndex;
use nutmegwalk_workload::UnitId;
use nutmegwalk_workload::WorkerRef;

/// Where a task's run stands, as far as the owner knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SeatState {
    /// The run is not stored yet, so it must not be started.
    Assigned,
    /// The run is stored; the worker has to be told to start it.
    Ordered,
    /// A predecessor stored the run; the worker's report will tell whether it is there.
    Inherited,
    /// The worker has it.
    Running,
    /// The run is gone.
    Ended,
}

/// Progress of stopping a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StopState {
    /// The run goes on.
    None,
    /// The worker has to be told to stop it.
    Wanted,
    /// The worker has taken the order; the end will be reported.
    Taken(Instant),
}

/// A task of a run on its worker.
#[derive(Clone, Debug)]
pub(crate) struct Seat {
    pub(crate) index: TaskIndex,
    pub(crate) worker: WorkerRef,
    pub(crate) state: SeatState,
    pub(crate) stop: StopState,
    /// When the state was entered.
    pub(crate) since: Instant,
    pub(crate) progress_percent: u32,
    /// When the worker first listed this progress.
    pub(crate) progress_since: Option<Instant>,
    /// When the worker last listed the task.
    pub(crate) listed_at: Option<Instant>,
    pub(crate) checkpoint: Option<Box<str>>,
    /// When the checkpoint last changed.
    pub(crate) checkpoint_at: Option<Instant>,
}

impl Seat {
    fn new(index: TaskIndex, worker: WorkerRef, state: SeatState, now: Instant) -> Self {
        Self {
            index,
            worker,
            state,
            stop: StopState::None,
            since: now,
            progress_percent: 0,
            progress_since: None,
            listed_at: None,
            checkpoint: None,
            checkpoint_at: None,
        }
    }

    /// Takes in the progress that the worker listed at `listed_at`.
    pub(crate) fn note_progress(&mut self, percent: u32, listed_at: Instant) {
        if percent != self.progress_percent || self.progress_since.is_none() {
            self.progress_percent = percent;
            self.progress_since = Some(listed_at);
        }
        self.listed_at = Some(listed_at);
    }

    /// Returns for how long the worker has listed the same progress since `whole_since`.
    pub(crate) fn unchanged_for(&self, whole_since: Instant) -> Duration {
        let since = self.progress_since.map(|since| since.max(whole_since));
        match (since, self.listed_at) {
            (Some(since), Some(listed_at)) => listed_at.saturating_duration_since(since),
            _ => Duration::ZERO,
        }
    }

    pub(crate) fn enter(&mut self, state: SeatState, now: Instant) {
        if self.state != state {
            self.state = state;
            self.since = now;
        }
    }
}

/// A run of a unit that is on workers or may be there.
#[derive(Clone, Debug)]
pub(crate) struct LiveRun {
    pub(crate) run: Run,
    /// Revision of the job that contains the run; it may be started when that is stored.
    pub(crate) revision: u64,
    /// When all its tasks were there.
    pub(crate) whole_since: Option<Instant>,
    /// Whether the job was covered by its customer's guarantee when the run was decided.
    pub(crate) is_guaranteed: bool,
    /// Checkpoint that the run resumed from.
    pub(crate) resumed_from: Option<Box<str>>,
    pub(crate) seats: Vec<Seat>,
}

impl LiveRun {
    pub(crate) fn new(
        unit: &UnitId,
        attempt: &Attempt,
        revision: u64,
        state: SeatState,
        now: Instant,
    ) -> Self {
        let first = unit.task.unwrap_or(0);
        let seats = (first..)
            .zip(&attempt.workers)
            .map(|(index, worker)| Seat::new(index, worker.clone(), state, now))
            .collect();
        Self {
            run: attempt.run,
            revision,
            whole_since: None,
            is_guaranteed: false,
            resumed_from: None,
            seats,
        }
    }

    pub(crate) fn is_over(&self) -> bool {
        self.seats.iter().all(|seat| seat.state == SeatState::Ended)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.seats
            .iter()
            .any(|seat| seat.stop != StopState::None || seat.state == SeatState::Ended)
    }

    pub(crate) fn is_whole(&self) -> bool {
        self.seats
            .iter()
            .all(|seat| seat.state == SeatState::Running)
    }

    /// Marks the tasks that are still there to be stopped; returns whether there are any.
    pub(crate) fn stop(&mut self) -> bool {
        let mut has_any = false;
        for seat in &mut self.seats {
            match seat.state {
                SeatState::Ended => {}
                // It was not stored, so no order was sent.
                SeatState::Assigned => seat.state = SeatState::Ended,
                SeatState::Ordered | SeatState::Inherited | SeatState::Running => {
                    if seat.stop == StopState::None {
                        seat.stop = StopState::Wanted;
                    }
                    has_any = true;
                }
            }
        }
        has_any
    }
}

/// A unit in the owner's memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct LiveUnit {
    pub(crate) runs: Vec<LiveRun>,
    /// When the unit became ready to start.
    pub(crate) ready_since: Option<Instant>,
    /// When its work was done.
    pub(crate) done_at: Option<Instant>,
    /// Workers on which it has failed.
    pub(crate) failed_on: Vec<WorkerRef>,
}

/// A job in the owner's memory.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) record: JobRecord,
    pub(crate) progress: JobProgress,
    /// Version of the stored progress; `None` when there is no row.
    pub(crate) stored_version: Option<RowVersion>,
    /// Number of the last change of `progress`.
    pub(crate) revision: u64,
    /// Number of the last change that is stored.
    pub(crate) stored_revision: u64,
    pub(crate) is_writing: bool,
    pub(crate) units: BTreeMap<UnitId, LiveUnit>,
    /// Why steps wait, as it was logged last.
    pub(crate) waits: BTreeMap<(Occurrence, StepIndex), WaitReason>,
    /// When the job was accepted, as far as the owner can tell.
    pub(crate) accepted_at: Instant,
    pub(crate) ended_at: Option<Instant>,
}

impl Job {
    pub(crate) fn new(record: JobRecord, accepted_at: Instant) -> Self {
        Self {
            record,
            progress: JobProgress::new(),
            stored_version: None,
            revision: 0,
            stored_revision: 0,
            is_writing: false,
            units: BTreeMap::new(),
            waits: BTreeMap::new(),
            accepted_at,
            ended_at: None,
        }
    }

    /// Takes over the progress that a predecessor stored.
    pub(crate) fn inherit(
        &mut self,
        id: &str,
        progress: JobProgress,
        version: RowVersion,
        now: Instant,
    ) {
        self.stored_version = Some(version);
        for (unit, attempt) in progress.attempts(id, &self.record.spec) {
            let run = LiveRun::new(&unit, attempt, 0, SeatState::Inherited, now);
            self.units.entry(unit).or_default().runs.push(run);
        }
        if progress.state.is_final() {
            self.ended_at = Some(now);
        }
        self.progress = progress;
    }

    pub(crate) fn step_of(&self, unit: &UnitId) -> &StepSpec {
        &self.record.spec.steps[unit.step as usize]
    }

    /// Marks all runs of the job to be stopped.
    pub(crate) fn stop_all(&mut self) {
        for unit in self.units.values_mut() {
            for run in &mut unit.runs {
                run.stop();
            }
        }
    }

    /// Returns the seats of the job on a worker with their units and runs.
    pub(crate) fn seats_on<'a>(
        &'a self,
        worker: &'a WorkerRef,
    ) -> impl Iterator<Item = (&'a UnitId, &'a LiveRun, &'a Seat)> {
        self.units.iter().flat_map(move |(unit, live)| {
            live.runs.iter().flat_map(move |run| {
                run.seats
                    .iter()
                    .filter(move |seat| seat.worker == *worker)
                    .map(move |seat| (unit, run, seat))
            })
        })
    }

    /// Returns the seat of a task's run.
    pub(crate) fn seat_mut(
        &mut self,
        unit: &UnitId,
        run: Run,
        index: TaskIndex,
    ) -> Option<&mut Seat> {
        self.units
            .get_mut(unit)?
            .runs
            .iter_mut()
            .find(|live| live.run == run)?
            .seats
            .iter_mut()
            .find(|seat| seat.index == index)
    }
}
