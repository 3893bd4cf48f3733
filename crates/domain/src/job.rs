//! In-memory state of a job.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::readiness::Readiness;
use nutmegwalk_base::JobId;
use nutmegwalk_placement::WaitReason;
use nutmegwalk_store::RowVersion;
use nutmegwalk_supervisor::WorkerStatus;
use nutmegwalk_workload::Attempt;
use nutmegwalk_workload::CrashRisk;
use nutmegwalk_workload::JobProgress;
use nutmegwalk_workload::JobRecord;
use nutmegwalk_workload::Occurrence;
use nutmegwalk_workload::PartId;
use nutmegwalk_workload::Run;
use nutmegwalk_workload::StepIndex;
use nutmegwalk_workload::StepSpec;
use nutmegwalk_workload::TaskIndex;
use nutmegwalk_workload::UnitId;
use nutmegwalk_workload::WorkerRef;

/// Time around the start of a suspect in which its worker starts nothing else: the window in which a task may crash its
/// worker at its start, and the time that an order takes.
pub(crate) const TRIAL_TIME: Duration = Duration::from_millis(600);

/// State of the run of a task on its worker, as known to the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AssignmentState {
    /// The run is not stored yet and must not be started.
    Unstored,
    /// The run is stored; the worker has to be ordered to start it.
    Ordered,
    /// A previous owner stored the run; the worker's next report shows whether it has it.
    Inherited,
    /// The worker has the run.
    Running,
    /// The run has ended or is lost.
    Ended,
}

/// State of stopping the run of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StopState {
    /// No stop is requested.
    None,
    /// The worker has to be ordered to stop the run.
    Requested,
    /// The worker accepted the stop order at this time and will report the end.
    Accepted(Instant),
}

/// What the owner knew of the worker's lease when it assigned a run. A lapse that is reported later ends only runs
/// that are older than it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AssignedAfter {
    /// A previous owner assigned the run, and what it knew is not stored.
    EarlierTerm,
    /// This owner assigned the run when this was the last reported lapse, as the end of that lease on the worker's
    /// clock, in milliseconds.
    Lapse(Option<u64>),
}

impl AssignedAfter {
    /// Returns whether a status shows that the lease under which the run was started, if it was, has lapsed.
    /// `is_current_epoch` tells whether the agent had seen the epoch of this term when it made the status.
    pub(crate) fn has_lapsed(self, status: &WorkerStatus, is_current_epoch: bool) -> bool {
        match self {
            // The agent carries out no more orders of earlier epochs.
            Self::EarlierTerm => status.has_lapsed && is_current_epoch,
            Self::Lapse(known_ms) => known_ms < status.lapsed_until_ms,
        }
    }
}

/// Assignment of a task of a run to a worker.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    pub(crate) index: TaskIndex,
    pub(crate) worker: WorkerRef,
    pub(crate) assigned_after: AssignedAfter,
    pub(crate) state: AssignmentState,
    pub(crate) stop: StopState,
    /// Number of orders to start the run that the agent has received or may have received.
    pub(crate) start_orders: u32,
    /// When the first order to start the run was sent.
    pub(crate) sent_at: Option<Instant>,
    /// When `state` was entered.
    pub(crate) since: Instant,
    pub(crate) progress_percent: u32,
    /// When the worker first listed the current progress.
    pub(crate) progress_since: Option<Instant>,
    /// When the worker last listed the task.
    pub(crate) listed_at: Option<Instant>,
    pub(crate) checkpoint: Option<Box<str>>,
    /// When `checkpoint` last changed.
    pub(crate) checkpoint_at: Option<Instant>,
}

impl Assignment {
    fn new(
        index: TaskIndex,
        worker: WorkerRef,
        assigned_after: AssignedAfter,
        state: AssignmentState,
        now: Instant,
    ) -> Self {
        Self {
            index,
            worker,
            assigned_after,
            state,
            stop: StopState::None,
            start_orders: 0,
            sent_at: None,
            since: now,
            progress_percent: 0,
            progress_since: None,
            listed_at: None,
            checkpoint: None,
            checkpoint_at: None,
        }
    }

    /// Assigns the task to the next incarnation of its worker, which may have the run, unless it has ended or was never
    /// ordered.
    pub(crate) fn move_to_successor(&mut self, successor: WorkerRef, now: Instant) {
        match self.state {
            AssignmentState::Ended => {}
            AssignmentState::Unstored => self.enter(AssignmentState::Ended, now),
            AssignmentState::Ordered | AssignmentState::Inherited | AssignmentState::Running => {
                self.worker = successor;
                self.enter(AssignmentState::Inherited, now);
                self.assigned_after = AssignedAfter::EarlierTerm;
                self.stop = StopState::None;
            }
        }
    }

    /// Returns whether the run has not started yet, or has just started.
    pub(crate) fn is_starting(&self, now: Instant) -> bool {
        match self.state {
            AssignmentState::Unstored | AssignmentState::Ordered => true,
            AssignmentState::Inherited | AssignmentState::Running => {
                now.saturating_duration_since(self.since) < TRIAL_TIME
            }
            AssignmentState::Ended => false,
        }
    }

    /// Records the progress that the worker listed at `listed_at`.
    pub(crate) fn record_progress(&mut self, percent: u32, listed_at: Instant) {
        if percent != self.progress_percent || self.progress_since.is_none() {
            self.progress_percent = percent;
            self.progress_since = Some(listed_at);
        }
        self.listed_at = Some(listed_at);
    }

    /// Returns for how long the worker has listed the same progress since `all_running_since`.
    pub(crate) fn unchanged_for(&self, all_running_since: Instant) -> Duration {
        let since = self
            .progress_since
            .map(|since| since.max(all_running_since));
        match (since, self.listed_at) {
            (Some(since), Some(listed_at)) => listed_at.saturating_duration_since(since),
            _ => Duration::ZERO,
        }
    }

    /// Enters a state, and records the time if it is a different one.
    pub(crate) fn enter(&mut self, state: AssignmentState, now: Instant) {
        if self.state != state {
            self.state = state;
            self.since = now;
        }
    }
}

/// A run of a unit that is or may be on workers.
#[derive(Clone, Debug)]
pub(crate) struct LiveRun {
    pub(crate) run: Run,
    /// First revision of the job that contains the run. The run may be started once that is stored.
    pub(crate) revision: u64,
    /// When all tasks of the run were first known to be running.
    pub(crate) all_running_since: Option<Instant>,
    /// Whether the job was covered by its customer's guarantee when the run was planned.
    pub(crate) is_guaranteed: bool,
    /// Checkpoint from which the run resumed.
    pub(crate) resumed_from: Option<Box<str>>,
    /// Assignments in the order of the tasks.
    pub(crate) assignments: Vec<Assignment>,
    /// Whether the stop of all tasks was requested.
    pub(crate) is_stop_requested: bool,
    /// Number of tasks from the first one on that are known to have ended. Each end asks whether it is the last one, and
    /// must not look at all members of a large gang.
    ended: Cell<usize>,
    /// Number of tasks from the first one on that were seen running, for the same reason.
    seen_running: Cell<usize>,
}

impl LiveRun {
    pub(crate) fn new(
        unit: &UnitId,
        attempt: &Attempt,
        revision: u64,
        state: AssignmentState,
        assigned_after: impl Fn(&WorkerRef) -> AssignedAfter,
        now: Instant,
    ) -> Self {
        let first = unit.task.unwrap_or(0);
        let assignments = (first..)
            .zip(&attempt.workers)
            .map(|(index, worker)| {
                Assignment::new(index, worker.clone(), assigned_after(worker), state, now)
            })
            .collect();
        Self {
            run: attempt.run,
            revision,
            all_running_since: None,
            is_guaranteed: false,
            resumed_from: None,
            assignments,
            is_stop_requested: false,
            ended: Cell::new(0),
            seen_running: Cell::new(0),
        }
    }

    /// Returns the assignment of a task of the run.
    pub(crate) fn assignment_mut(&mut self, index: TaskIndex) -> Option<&mut Assignment> {
        let first = self.assignments.first()?.index;
        let position = index.checked_sub(first)?;
        self.assignments.get_mut(position as usize)
    }

    /// Returns the workers to which tasks of the run are assigned, each once.
    pub(crate) fn workers(&self) -> BTreeSet<&WorkerRef> {
        self.assignments
            .iter()
            .map(|assignment| &assignment.worker)
            .collect()
    }

    /// Returns whether a list that was made at `listed_at` shows the run after all its tasks have worked together for a
    /// while.
    pub(crate) fn has_worked_together_at(&self, listed_at: Instant) -> bool {
        self.all_running_since
            .is_some_and(|since| listed_at.saturating_duration_since(since) >= TRIAL_TIME)
    }

    /// Returns whether all tasks of the run have ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.advance(&self.ended, AssignmentState::Ended)
    }

    /// Returns when the first order to start a task of the run was sent; `None` if none was.
    pub(crate) fn first_sent_at(&self) -> Option<Instant> {
        self.assignments
            .iter()
            .filter_map(|assignment| assignment.sent_at)
            .min()
    }

    /// Returns whether a task of the run is being stopped or has ended.
    pub(crate) fn is_stopping(&self) -> bool {
        self.assignments.iter().any(|assignment| {
            assignment.stop != StopState::None || assignment.state == AssignmentState::Ended
        })
    }

    /// Returns whether all tasks of the run are running.
    pub(crate) fn is_fully_running(&self) -> bool {
        // A task that was seen running may have ended since.
        self.advance(&self.seen_running, AssignmentState::Running)
            && self
                .assignments
                .iter()
                .all(|assignment| assignment.state == AssignmentState::Running)
    }

    /// Advances `count` past the tasks in `state`; returns whether it has reached the last one.
    fn advance(&self, count: &Cell<usize>, state: AssignmentState) -> bool {
        let following = self.assignments[count.get()..].iter();
        let advanced = following.take_while(|assignment| assignment.state == state);
        count.set(count.get() + advanced.count());
        count.get() == self.assignments.len()
    }

    /// Requests the stop of all tasks that have not ended; returns whether a worker has to be ordered to do so.
    pub(crate) fn stop(&mut self) -> bool {
        self.is_stop_requested = true;
        let mut has_any = false;
        for assignment in &mut self.assignments {
            match assignment.state {
                AssignmentState::Ended => {}
                // The run was not stored, so no start was ordered.
                AssignmentState::Unstored => assignment.state = AssignmentState::Ended,
                AssignmentState::Ordered
                | AssignmentState::Inherited
                | AssignmentState::Running => {
                    if assignment.stop == StopState::None {
                        assignment.stop = StopState::Requested;
                    }
                    has_any = true;
                }
            }
        }
        has_any
    }
}

/// In-memory state of a unit that has started in this term or has runs of an earlier one.
#[derive(Clone, Debug, Default)]
pub(crate) struct LiveUnit {
    pub(crate) runs: Vec<LiveRun>,
    /// When the unit completed.
    pub(crate) done_at: Option<Instant>,
    /// When the last of the unit's runs ended.
    pub(crate) last_run_ended_at: Option<Instant>,
    /// Workers on which the unit has failed or stalled.
    pub(crate) failed_on: Vec<WorkerRef>,
}

/// In-memory state of a job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) record: JobRecord,
    pub(crate) progress: JobProgress,
    /// Version of the stored progress row; `None` if there is none.
    pub(crate) stored_version: Option<RowVersion>,
    /// Number of changes of `progress` in this term.
    pub(crate) revision: u64,
    /// Highest revision that is stored.
    pub(crate) stored_revision: u64,
    /// Whether a task is writing the progress.
    pub(crate) is_writing: bool,
    /// When the store last refused the progress because of its content.
    pub(crate) refused_at: Option<Instant>,
    /// Revision that is being stored.
    pub(crate) written_revision: u64,
    /// Parts of the progress that have to be written until that revision is stored.
    pub(crate) unstored_parts: BTreeSet<PartId>,
    /// Parts of the progress that have a row in the store, or may have one.
    pub(crate) stored_parts: BTreeSet<PartId>,
    /// Units that have started. Units that wait for their first run take no memory.
    pub(crate) units: BTreeMap<UnitId, LiveUnit>,
    pub(crate) readiness: Readiness,
    /// Reason why each step waits, as logged last.
    pub(crate) waits: BTreeMap<(Occurrence, StepIndex, CrashRisk), WaitReason>,
    /// Estimated time at which the job was accepted.
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
            refused_at: None,
            written_revision: 0,
            unstored_parts: BTreeSet::new(),
            stored_parts: BTreeSet::new(),
            units: BTreeMap::new(),
            readiness: Readiness::default(),
            waits: BTreeMap::new(),
            accepted_at,
            ended_at: None,
        }
    }

    /// Applies the progress that a previous owner stored, of which `parts` have rows of their own.
    pub(crate) fn inherit(
        &mut self,
        id: &str,
        progress: JobProgress,
        version: RowVersion,
        parts: BTreeSet<PartId>,
        now: Instant,
    ) {
        self.stored_version = Some(version);
        self.stored_parts = parts;
        for (unit, attempt) in progress.attempts(id, &self.record.spec) {
            let run = LiveRun::new(
                &unit,
                attempt,
                0,
                AssignmentState::Inherited,
                |_| AssignedAfter::EarlierTerm,
                now,
            );
            self.units.entry(unit).or_default().runs.push(run);
        }
        if progress.state.is_final() {
            self.ended_at = Some(now);
        }
        self.progress = progress;
    }

    /// Returns the step of a unit.
    pub(crate) fn step_of(&self, unit: &UnitId) -> &StepSpec {
        &self.record.spec.steps[unit.step as usize]
    }

    /// Returns the risk that a run crashes its worker.
    pub(crate) fn crash_risk_of(&self, unit: &UnitId) -> CrashRisk {
        if self.progress.is_unit_done(unit) {
            CrashRisk::Low
        } else {
            self.progress.crash_risk(unit)
        }
    }

    /// Requests the stop of all runs of the job.
    pub(crate) fn stop_all(&mut self) {
        for unit in self.units.values_mut() {
            for run in &mut unit.runs {
                run.stop();
            }
        }
    }

    /// Returns the assignment of a task in a run of its unit.
    pub(crate) fn assignment_mut(
        &mut self,
        unit: &UnitId,
        run: Run,
        index: TaskIndex,
    ) -> Option<&mut Assignment> {
        self.units
            .get_mut(unit)?
            .runs
            .iter_mut()
            .find(|live| live.run == run)?
            .assignment_mut(index)
    }

    /// Returns the units of a step that have started.
    pub(crate) fn started_units(
        &self,
        id: &JobId,
        occurrence: Occurrence,
        step: StepIndex,
    ) -> impl Iterator<Item = (&UnitId, &LiveUnit)> {
        let bound = |task| UnitId {
            job: id.clone(),
            occurrence,
            step,
            task,
        };
        self.units.range(bound(None)..=bound(Some(TaskIndex::MAX)))
    }
}
