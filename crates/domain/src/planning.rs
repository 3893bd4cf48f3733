//! Scheduling loop: when decisions are made, and how they are carried out.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::info;

use crate::job::AssignedAfter;
use crate::job::AssignmentState;
use crate::job::Job;
use crate::job::LiveRun;
use crate::metrics::DecisionStats;
use crate::run_index::RunIndex;
use crate::term::Term;
use crate::term::as_ms;
use crate::worker::Worker;
use nutmegwalk_base::WorkerId;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_placement::RunningUnit;
use nutmegwalk_placement::Snapshot;
use nutmegwalk_placement::Start;
use nutmegwalk_placement::WaitingStep;
use nutmegwalk_placement::WaitingTasks;
use nutmegwalk_placement::plan;
use nutmegwalk_workload::Attempt;
use nutmegwalk_workload::Run;
use nutmegwalk_workload::TaskIndex;
use nutmegwalk_workload::UnitId;
use nutmegwalk_workload::WorkerRef;

/// Interval of decisions without a signal. It also bounds the delay with which timeouts are detected.
const DECISION_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two decisions, so that a burst of events leads to a single decision.
const MIN_DECISION_PAUSE: Duration = Duration::from_millis(3);
/// Longest pause between two decisions of a busy owner; short against the time within which urgent jobs start.
const MAX_DECISION_PAUSE: Duration = Duration::from_millis(150);
/// Interval at which timeouts are checked.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time for which a new owner waits for reports of the workers that have inherited runs.
const INHERITED_REPORT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which a new owner waits for reports even if there are no inherited runs.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of places in the log line of a start.
const MAX_LOGGED_PLACES: usize = 64;

impl Term {
    /// Checks timeouts and makes decisions after changes, until the task is dropped.
    pub(crate) async fn run_planner(self: Rc<Self>) {
        let mut timeouts_checked_at = None;
        loop {
            // The timeout is the normal case without changes.
            let _ = compio::time::timeout(DECISION_INTERVAL, self.wake.raised()).await;
            let begun_at = clock::now();
            let is_check_due = timeouts_checked_at
                .is_none_or(|at| begun_at.saturating_duration_since(at) >= TIMEOUT_CHECK_INTERVAL);
            if is_check_due {
                timeouts_checked_at = Some(begun_at);
                self.check_timeouts();
            }
            if self.may_start() {
                self.plan_and_apply();
            }
            self.flush_without_wake();
            self.state.borrow_mut().needs_decision = false;
            compio::time::sleep(MIN_DECISION_PAUSE).await;
            let taken = clock::now().saturating_duration_since(begun_at);
            compio::time::sleep(pause_after(taken)).await;
        }
    }

    /// Returns whether tasks may be started now.
    fn may_start(&self) -> bool {
        let is_permitted = self
            .starts_permitted_until()
            .is_some_and(|until| clock::now() < until);
        self.is_loaded.get() && self.is_valid() && is_permitted && self.has_worker_reports()
    }

    /// Returns whether the workers with inherited runs have reported, or the time to wait for them has passed.
    fn has_worker_reports(&self) -> bool {
        let age = clock::now().saturating_duration_since(self.started_at);
        if age > INHERITED_REPORT_TIMEOUT {
            return true;
        }
        let state = self.state.borrow();
        let has_inherited = state.jobs.values().any(|job| {
            let runs = job.units.values().flat_map(|unit| &unit.runs);
            runs.flat_map(|run| &run.assignments)
                .any(|assignment| assignment.state == AssignmentState::Inherited)
        });
        age > FIRST_REPORT_DELAY && !has_inherited
    }

    /// Makes one decision and carries it out.
    fn plan_and_apply(self: &Rc<Self>) {
        let now = clock::now();
        let (snapshot, worker_refs) = self.snapshot(now);
        let decision = self.decisions.get() + 1;
        if self.decisions.replace(decision) == 0 {
            self.metrics
                .record_takeover(now.saturating_duration_since(self.started_at));
        }
        let is_leaving = snapshot
            .workers
            .iter()
            .any(|worker| worker.leaves_in.is_some());
        if snapshot.waiting.is_empty() && !is_leaving {
            return;
        }
        let plan = plan(&snapshot);
        self.metrics.record_decision(
            clock::now().saturating_duration_since(now),
            decision_stats(&snapshot),
        );
        for running in &plan.moves {
            self.move_run(&snapshot.running[*running]);
        }
        for preemption in &plan.preemptions {
            let victim = &snapshot.running[preemption.victim];
            let beneficiary = &snapshot.waiting[preemption.beneficiary];
            self.preempt(victim, beneficiary);
        }
        for start in &plan.starts {
            self.start(&snapshot, start, &worker_refs, now);
        }
        for waiting in &plan.waits {
            self.record_wait(&snapshot.waiting[waiting.step], waiting);
        }
    }

    /// Stops a run because one of its workers leaves before its end.
    fn move_run(&self, running: &RunningUnit) {
        info!(target: event::RUN_MOVED,
            unit:% = running.unit,
            run = running.run,
            remaining_ms = as_ms(running.remaining),
            loss_core_s = running.loss_core_s;
            "stopping the run, one of its workers leaves before it ends"
        );
        self.metrics.record_move();
        self.stop_run(&running.unit, running.run);
    }

    /// Stops a run so that `beneficiary` can start.
    fn preempt(&self, victim: &RunningUnit, beneficiary: &WaitingStep) {
        info!(target: event::RUN_DISPLACED,
            unit:% = victim.unit,
            run = victim.run,
            beneficiary = &*beneficiary.job,
            loss_core_s = victim.loss_core_s,
            beneficiary_guaranteed = beneficiary.is_guaranteed;
            ""
        );
        self.metrics.record_preemption();
        self.stop_run(&victim.unit, victim.run);
    }

    /// Adds runs for the tasks of a start to the job's progress and logs the assignments.
    fn start(&self, snapshot: &Snapshot, start: &Start, worker_refs: &[WorkerRef], now: Instant) {
        let step = &snapshot.waiting[start.step];
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(job) = state.jobs.get_mut(&step.job) else {
            return;
        };
        let assignments = || {
            start
                .assignments
                .iter()
                .map(|(task, worker)| (*task, &worker_refs[*worker]))
        };
        let mut runs = Vec::new();
        if step.is_gang {
            let unit = unit_id(step, None);
            let workers = assignments().map(|(_, worker)| worker.clone()).collect();
            runs.push(begin_run(
                job,
                &mut state.runs,
                &state.workers,
                unit,
                workers,
                step.is_guaranteed,
                now,
            ));
        } else {
            for (task, worker) in assignments() {
                let unit = unit_id(step, Some(task));
                runs.push(begin_run(
                    job,
                    &mut state.runs,
                    &state.workers,
                    unit,
                    vec![worker.clone()],
                    step.is_guaranteed,
                    now,
                ));
            }
        }
        job.waits
            .remove(&(step.occurrence, step.step, step.crash_risk));
        let places = places(assignments());
        info!(target: event::TASKS_PLACED,
            decision = self.decisions.get(),
            job = &*step.job,
            occurrence = step.occurrence,
            step = step.step,
            run = runs.iter().max().copied().unwrap_or(0),
            places = places.as_str(),
            waited_ms = as_ms(step.waited),
            slack_ms = as_ms(step.slack()),
            priority = step.priority,
            guaranteed = step.is_guaranteed;
            ""
        );
        state.mark_changed(&step.job);
    }

    /// Records why tasks wait, and logs it if the reason has changed.
    fn record_wait(&self, step: &WaitingStep, waiting: &WaitingTasks) {
        let mut state = self.state.borrow_mut();
        let Some(job) = state.jobs.get_mut(&step.job) else {
            return;
        };
        let key = (step.occurrence, step.step, step.crash_risk);
        if job.waits.insert(key, waiting.reason) == Some(waiting.reason) {
            return;
        }
        info!(target: event::TASKS_WAIT,
            job = &*step.job,
            occurrence = step.occurrence,
            step = step.step,
            tasks = waiting.tasks,
            reason = waiting.reason.name(),
            starts_in_ms = waiting.starts_in.map_or(0, as_ms),
            slack_ms = as_ms(step.slack()),
            priority = step.priority,
            guaranteed = step.is_guaranteed;
            ""
        );
    }
}

/// Returns the pause after a decision that took `taken`, with the time that other work of the process delayed it.
///
/// A busy owner decides less often, so that reports, orders and the renewal of its lease get at least half of its
/// processor time.
fn pause_after(taken: Duration) -> Duration {
    taken
        .saturating_sub(MIN_DECISION_PAUSE)
        .min(MAX_DECISION_PAUSE)
}

/// Returns the size of the input of a decision.
fn decision_stats(snapshot: &Snapshot) -> DecisionStats {
    let open = || {
        snapshot
            .workers
            .iter()
            .filter(|worker| worker.accepts_tasks && !worker.is_quarantined)
    };
    let waiting = snapshot.waiting.iter();
    let workers_open = open().count();
    DecisionStats {
        tasks_waiting: waiting.map(|step| u64::from(step.count())).sum(),
        runs: snapshot.running.len() as u64,
        workers_open: workers_open as u64,
        workers_closed: (snapshot.workers.len() - workers_open) as u64,
        accelerators_free: open()
            .map(|worker| worker.free().accelerators)
            .fold(0, u64::saturating_add),
    }
}

/// Adds a run to the job's progress. It is started once that is stored.
fn begin_run(
    job: &mut Job,
    index: &mut RunIndex,
    known_workers: &BTreeMap<WorkerId, Worker>,
    unit: UnitId,
    workers: Vec<WorkerRef>,
    is_guaranteed: bool,
    now: Instant,
) -> Run {
    let spec = &job.record.spec;
    let checkpoint = job
        .progress
        .unit(&unit)
        .and_then(|unit| unit.checkpoint.clone());
    let run = job.progress.start_run(spec, &unit, workers.clone());
    let attempt = Attempt {
        run,
        has_failed: false,
        workers,
    };
    let mut live = LiveRun::new(
        &unit,
        &attempt,
        job.revision + 1,
        AssignmentState::Unstored,
        |worker| {
            let known = known_workers.get(&worker.id);
            AssignedAfter::Lapse(known.and_then(|known| known.lapsed_until_ms))
        },
        now,
    );
    live.resumed_from = checkpoint;
    live.is_guaranteed = is_guaranteed;
    index.insert(&unit, &live);
    job.units.entry(unit).or_default().runs.push(live);
    run
}

/// Returns the tasks and their workers for the log, such as `0-3@i-7f3a 4@i-91c2`.
fn places<'a>(assignments: impl Iterator<Item = (TaskIndex, &'a WorkerRef)>) -> String {
    let mut ranges: Vec<(TaskIndex, TaskIndex, &WorkerRef)> = Vec::new();
    for (task, worker) in assignments {
        match ranges.last_mut() {
            Some((_, last, known)) if *last + 1 == task && *known == worker => *last = task,
            _ => ranges.push((task, task, worker)),
        }
    }
    let texts = ranges
        .iter()
        .take(MAX_LOGGED_PLACES)
        .map(|(first, last, worker)| {
            if first == last {
                format!("{first}@{}", worker.id)
            } else {
                format!("{first}-{last}@{}", worker.id)
            }
        });
    let text = texts.collect::<Vec<_>>().join(" ");
    match ranges.len().saturating_sub(MAX_LOGGED_PLACES) {
        0 => text,
        more => format!("{text} and {more} more"),
    }
}

fn unit_id(step: &WaitingStep, task: Option<TaskIndex>) -> UnitId {
    UnitId {
        job: step.job.clone(),
        occurrence: step.occurrence,
        step: step.step,
        task,
    }
}
