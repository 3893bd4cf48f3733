//! Decisions: when they are taken, and carrying out what they say.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::info;

use crate::job::Job;
use crate::job::LiveRun;
use crate::job::SeatState;
use crate::metrics::DecisionFigures;
use crate::term::Term;
use crate::term::as_ms;
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

/// Interval of decisions without a signal, which also bounds how late lapsed times are noticed.
const INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two decisions, so that a burst of events leads to one.
const PAUSE: Duration = Duration::from_millis(3);
/// Time for which a new owner waits for the reports of workers that have runs.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// Time for which a new owner waits for reports in any case.
const FIRST_REPORTS: Duration = Duration::from_millis(250);

impl Term {
    /// Decides whenever something has changed, until the task is dropped.
    pub(crate) async fn decide(self: Rc<Self>) {
        loop {
            // Running into the limit is the usual case.
            let _ = compio::time::timeout(INTERVAL, self.wake.raised()).await;
            self.look_after();
            if self.may_start() {
                self.decide_once();
            }
            self.flush_quietly();
            compio::time::sleep(PAUSE).await;
        }
    }

    /// Returns whether tasks may be started now.
    fn may_start(&self) -> bool {
        let is_policy_fresh = self
            .policy
            .age()
            .is_some_and(|age| age < self.settings.max_policy_age);
        self.is_loaded.get() && self.is_valid() && is_policy_fresh && self.is_settled()
    }

    /// Returns whether the workers that may have runs of a predecessor have reported.
    fn is_settled(&self) -> bool {
        let age = clock::now().saturating_duration_since(self.started_at);
        if age > SETTLE_TIME {
            return true;
        }
        let state = self.state.borrow();
        let has_inherited = state.jobs.values().any(|job| {
            let runs = job.units.values().flat_map(|unit| &unit.runs);
            runs.flat_map(|run| &run.seats)
                .any(|seat| seat.state == SeatState::Inherited)
        });
        age > FIRST_REPORTS && !has_inherited
    }

    fn decide_once(self: &Rc<Self>) {
        let now = clock::now();
        let (snapshot, lives) = self.snapshot(now);
        if !self.has_decided.replace(true) {
            self.metrics
                .took_over(now.saturating_duration_since(self.started_at));
        }
        let is_leaving = snapshot
            .workers
            .iter()
            .any(|worker| worker.leaves_in.is_some());
        if snapshot.waiting.is_empty() && !is_leaving {
            return;
        }
        let plan = plan(&snapshot);
        self.metrics.decided(
            clock::now().saturating_duration_since(now),
            figures_of(&snapshot),
        );
        for running in &plan.moves {
            self.move_away(&snapshot.running[*running]);
        }
        for preemption in &plan.preemptions {
            let victim = &snapshot.running[preemption.victim];
            let beneficiary = &snapshot.waiting[preemption.beneficiary];
            self.preempt(victim, beneficiary);
        }
        for start in &plan.starts {
            self.start(&snapshot, start, &lives, now);
        }
        for waiting in &plan.waits {
            self.note_wait(&snapshot.waiting[waiting.step], waiting);
        }
    }

    fn move_away(&self, running: &RunningUnit) {
        info!(target: event::RUN_MOVED,
            unit:% = running.unit,
            run = running.run,
            remaining_ms = as_ms(running.remaining),
            loss_core_s = running.loss_core_s;
            "stopped, since a worker of the run leaves before its end"
        );
        self.metrics.moved();
        self.stop_run(&running.unit, running.run);
    }

    fn preempt(&self, victim: &RunningUnit, beneficiary: &WaitingStep) {
        info!(target: event::RUN_DISPLACED,
            unit:% = victim.unit,
            run = victim.run,
            beneficiary = &*beneficiary.job,
            loss_core_s = victim.loss_core_s,
            beneficiary_guaranteed = beneficiary.is_guaranteed;
            ""
        );
        self.metrics.displaced();
        self.stop_run(&victim.unit, victim.run);
    }

    fn start(&self, snapshot: &Snapshot, start: &Start, lives: &[WorkerRef], now: Instant) {
        let step = &snapshot.waiting[start.step];
        let mut state = self.state.borrow_mut();
        let Some(job) = state.jobs.get_mut(&step.job) else {
            return;
        };
        let assignments = || {
            start
                .assignments
                .iter()
                .map(|(task, worker)| (*task, &lives[*worker]))
        };
        let mut runs = Vec::new();
        if step.is_gang {
            let unit = unit_id(step, None);
            let workers = assignments().map(|(_, worker)| worker.clone()).collect();
            runs.push(begin(job, unit, workers, step.is_guaranteed, now));
        } else {
            for (task, worker) in assignments() {
                let unit = unit_id(step, Some(task));
                runs.push(begin(
                    job,
                    unit,
                    vec![worker.clone()],
                    step.is_guaranteed,
                    now,
                ));
            }
        }
        job.waits.remove(&(step.occurrence, step.step));
        let places: Vec<String> = assignments()
            .map(|(task, worker)| format!("{task}@{}", worker.id))
            .collect();
        info!(target: event::TASKS_PLACED,
            job = &*step.job,
            occurrence = step.occurrence,
            step = step.step,
            run = runs.iter().max().copied().unwrap_or(0),
            places = places.join(" ").as_str(),
            waited_ms = as_ms(step.waited),
            slack_ms = as_ms(step.slack()),
            priority = step.priority,
            guaranteed = step.is_guaranteed;
            ""
        );
        state.touch(&step.job);
    }

    /// Logs why tasks wait, when the reason is another one than before.
    fn note_wait(&self, step: &WaitingStep, waiting: &WaitingTasks) {
        let mut state = self.state.borrow_mut();
        let Some(job) = state.jobs.get_mut(&step.job) else {
            return;
        };
        let key = (step.occurrence, step.step);
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

fn figures_of(snapshot: &Snapshot) -> DecisionFigures {
    let open = || {
        snapshot
            .workers
            .iter()
            .filter(|worker| worker.accepts_tasks)
    };
    let waiting = snapshot.waiting.iter();
    let workers_open = open().count();
    DecisionFigures {
        tasks_waiting: waiting.map(|step| u64::from(step.count())).sum(),
        runs: snapshot.running.len() as u64,
        workers_open: workers_open as u64,
        workers_closed: (snapshot.workers.len() - workers_open) as u64,
        accelerators_free: open().map(|worker| worker.free().accelerators).sum(),
    }
}

/// Begins a run in the job's progress, to be started when that is stored.
fn begin(
    job: &mut Job,
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
    let mut live = LiveRun::new(&unit, &attempt, job.revision + 1, SeatState::Assigned, now);
    live.resumed_from = checkpoint;
    live.is_guaranteed = is_guaranteed;
    job.units.entry(unit).or_default().runs.push(live);
    run
}

fn unit_id(step: &WaitingStep, task: Option<TaskIndex>) -> UnitId {
    UnitId {
        job: step.job.clone(),
        occurrence: step.occurrence,
        step: step.step,
        task,
    }
}
