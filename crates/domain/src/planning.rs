//! Decisions: building what `nutmegwalk-placement` looks at, and carrying out what it says.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;

use crate::job::Job;
use crate::job::LiveRun;
use crate::job::Seat;
use crate::job::SeatState;
use crate::job::StopState;
use crate::term::State;
use crate::term::Term;
use crate::term::as_ms;
use crate::worker::Worker;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::JobId;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_placement::RunningUnit;
use nutmegwalk_placement::Snapshot;
use nutmegwalk_placement::Start;
use nutmegwalk_placement::Waiting;
use nutmegwalk_placement::WaitingStep;
use nutmegwalk_placement::WorkerView;
use nutmegwalk_placement::plan;
use nutmegwalk_workload::Attempt;
use nutmegwalk_workload::JobSpec;
use nutmegwalk_workload::Occurrence;
use nutmegwalk_workload::QueuePolicy;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::Run;
use nutmegwalk_workload::StepIndex;
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
/// Time after which a stop that was taken and not followed by an end is repeated.
const STOP_REPEAT: Duration = Duration::from_millis(1_000);
/// Time for which the other members of a gang that is done may still be listed as running.
const DONE_LINGER: Duration = Duration::from_millis(1_500);
/// Cores that an accelerator counts as when work is weighed.
const CORES_PER_ACCELERATOR: u64 = 8;
/// A job is of no use to its submitter after this many times the time in which it should complete.
const LATE_FACTOR: f64 = 3.0;
/// Margin after the time at which a recurrence is due, for clocks that differ.
const DUE_MARGIN_MS: u64 = 20;
/// Work that a stop loses although the task writes a checkpoint then.
const CHECKPOINT_LOSS: Duration = Duration::from_millis(200);

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

    /// Notices what follows from the passing of time.
    fn look_after(self: &Rc<Self>) {
        let now = clock::now();
        for worker in self.dead_workers(now) {
            self.lose_worker(&worker, "nothing was heard for longer than its lease lasts");
        }
        for (unit, run) in self.late_runs(now) {
            warn!(target: event::RUN_LATE, unit:% = unit, run = run; "the run did not start in time on all workers, stopping it");
            self.stop_run(&unit, run);
        }
        self.repeat_stops(now);
    }

    /// Returns the runs that did not start in time on all their workers.
    fn late_runs(&self, now: Instant) -> Vec<(UnitId, Run)> {
        let state = self.state.borrow();
        let mut late = Vec::new();
        for job in state.jobs.values() {
            for (unit, live) in &job.units {
                let is_late = |run: &&LiveRun| {
                    !run.is_stopping()
                        && run.seats.iter().any(|seat| {
                            let age = now.saturating_duration_since(seat.since);
                            seat.state == SeatState::Ordered && age > self.settings.start_within
                        })
                };
                let runs = live.runs.iter().filter(is_late);
                late.extend(runs.map(|run| (unit.clone(), run.run)));
            }
        }
        late
    }

    /// Repeats stops that were taken and not followed by an end, and stops what outlasts its unit.
    fn repeat_stops(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        let mut to_tell = Vec::new();
        for job in state.jobs.values_mut() {
            for live in job.units.values_mut() {
                let lingers = live
                    .done_at
                    .is_some_and(|at| now.saturating_duration_since(at) > DONE_LINGER);
                for seat in live.runs.iter_mut().flat_map(|run| &mut run.seats) {
                    let is_repeat = matches!(
                        seat.stop,
                        StopState::Taken(at) if now.saturating_duration_since(at) > STOP_REPEAT
                    );
                    if seat.state != SeatState::Ended
                        && (is_repeat || lingers && seat.stop == StopState::None)
                    {
                        seat.stop = StopState::Wanted;
                    }
                    if seat.stop == StopState::Wanted && seat.state != SeatState::Ended {
                        to_tell.push(seat.worker.id.clone());
                    }
                }
            }
        }
        for worker in to_tell {
            state.tell(&worker);
        }
    }

    /// Returns the lives of workers that have runs and cannot be alive any more.
    fn dead_workers(&self, now: Instant) -> Vec<WorkerRef> {
        let state = self.state.borrow();
        let inherited_until = self.started_at + self.settings.hold_for;
        let mut dead = Vec::new();
        for job in state.jobs.values() {
            for run in job.units.values().flat_map(|unit| &unit.runs) {
                for seat in &run.seats {
                    if seat.state == SeatState::Ended || dead.contains(&seat.worker) {
                        continue;
                    }
                    let is_dead = match state.workers.get(&seat.worker.id) {
                        Some(worker) if worker.announcement.worker == seat.worker => {
                            worker.is_dead(now) && now > inherited_until
                        }
                        _ => now > inherited_until,
                    };
                    if is_dead {
                        dead.push(seat.worker.clone());
                    }
                }
            }
        }
        dead
    }

    fn decide_once(self: &Rc<Self>) {
        let now = clock::now();
        let (snapshot, lives) = self.snapshot(now);
        if snapshot.waiting.is_empty() {
            return;
        }
        let plan = plan(&snapshot);
        for preemption in &plan.preemptions {
            let victim = &snapshot.running[preemption.running];
            let beneficiary = &snapshot.waiting[preemption.beneficiary];
            self.preempt(victim, beneficiary);
        }
        for start in &plan.starts {
            self.start(&snapshot, start, &lives, now);
        }
        for waiting in &plan.waits {
            self.note_wait(&snapshot.waiting[waiting.waiting], waiting);
        }
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
        self.stop_run(&victim.unit, victim.run);
    }

    fn start(&self, snapshot: &Snapshot, start: &Start, lives: &[WorkerRef], now: Instant) {
        let step = &snapshot.waiting[start.waiting];
        let mut state = self.state.borrow_mut();
        let Some(job) = state.jobs.get_mut(&step.job) else {
            return;
        };
        let seats = || {
            start
                .seats
                .iter()
                .map(|(task, worker)| (*task, &lives[*worker]))
        };
        let mut runs = Vec::new();
        if step.is_gang {
            let unit = unit_id(step, None);
            let workers = seats().map(|(_, worker)| worker.clone()).collect();
            runs.push(begin(job, unit, workers, now));
        } else {
            for (task, worker) in seats() {
                let unit = unit_id(step, Some(task));
                runs.push(begin(job, unit, vec![worker.clone()], now));
            }
        }
        job.waits.remove(&(step.occurrence, step.step));
        let places: Vec<String> = seats()
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
    fn note_wait(&self, step: &WaitingStep, waiting: &Waiting) {
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

    /// Builds what a decision looks at, and the life of each worker in it.
    fn snapshot(&self, now: Instant) -> (Snapshot, Vec<WorkerRef>) {
        let mut state = self.state.borrow_mut();
        let unix_ms = self.wall.unix_ms();
        self.note_ready(&mut state, unix_ms, now);
        let state = &*state;
        let lives: Vec<WorkerRef> = state
            .workers
            .values()
            .map(|worker| worker.announcement.worker.clone())
            .collect();
        let index_of: BTreeMap<&WorkerRef, usize> = lives
            .iter()
            .enumerate()
            .map(|(index, life)| (life, index))
            .collect();
        let mut snapshot = Snapshot {
            workers: state
                .workers
                .values()
                .map(|worker| self.view_of(worker, now))
                .collect(),
            waiting: Vec::new(),
            running: Vec::new(),
            spread_factor: self.settings.spread_factor,
        };
        let guaranteed = self.guaranteed_jobs(state);
        for (id, job) in &state.jobs {
            let policy = self.policy_of(job);
            let is_guaranteed = guaranteed.contains(&id);
            let urgency = Urgency::new(state, job, &policy, unix_ms, now);
            for (unit, live) in &job.units {
                for run in &live.runs {
                    let running = running_unit(
                        job,
                        unit,
                        run,
                        &policy,
                        is_guaranteed,
                        &urgency,
                        &index_of,
                        now,
                    );
                    for (worker, size) in &running.seats {
                        let booked = &mut snapshot.workers[*worker].booked;
                        *booked = booked.plus(*size);
                    }
                    snapshot.running.push(running);
                }
            }
            let steps = WaitingSteps {
                id,
                job,
                policy: &policy,
                is_guaranteed,
                urgency: &urgency,
                index_of: &index_of,
                worker_count: state.workers.len(),
                now,
            };
            snapshot.waiting.extend(steps.collect());
        }
        (snapshot, lives)
    }

    fn view_of(&self, worker: &Worker, now: Instant) -> WorkerView {
        let announcement = &worker.announcement;
        let booked = worker
            .strays
            .values()
            .fold(Resources::default(), |sum, stray| sum.plus(stray.demand));
        let is_ready = announcement.state == nutmegwalk_supervisor::WorkerState::Ready;
        WorkerView {
            service: announcement.service.clone(),
            data_centre: announcement.data_centre.clone(),
            rack: announcement.rack.clone(),
            labels: announcement.labels.clone(),
            capacity: announcement.capacity,
            booked,
            is_open: is_ready
                && worker.is_in_touch(now)
                && !worker.health.is_quarantined(now)
                && !self.policy.is_out_of_service(&announcement.data_centre),
            slowness: 1.0,
            leaves_in: None,
        }
    }

    /// Notes the units that have become ready to start.
    fn note_ready(&self, state: &mut State, unix_ms: u64, now: Instant) {
        for (id, job) in &mut state.jobs {
            if job.progress.state.is_final() {
                continue;
            }
            for occurrence in due_occurrences(job, unix_ms) {
                for unit in job.progress.open_units(id, &job.record.spec, occurrence) {
                    let live = job.units.entry(unit).or_default();
                    live.ready_since.get_or_insert(now);
                }
            }
            let progress = &job.progress;
            job.units
                .retain(|unit, live| !live.runs.is_empty() || !progress.is_unit_done(unit));
        }
        for job in state.jobs.values_mut() {
            if job.progress.state.is_final() {
                job.units.retain(|_, live| !live.runs.is_empty());
            }
        }
    }

    /// Returns the jobs that are covered by their customers' guarantees, the oldest first.
    fn guaranteed_jobs<'a>(&self, state: &'a State) -> Vec<&'a JobId> {
        let configuration = self.policy.configuration();
        let mut by_customer: BTreeMap<&CustomerId, Vec<(Instant, &JobId, u64)>> = BTreeMap::new();
        for (id, job) in &state.jobs {
            let Some(customer) = &job.record.customer else {
                continue;
            };
            if job.progress.state.is_final() || self.policy_of(job).priority > 0 {
                continue;
            }
            let need = accelerators_of(&job.record.spec);
            by_customer
                .entry(customer)
                .or_default()
                .push((job.accepted_at, id, need));
        }
        let mut covered = Vec::new();
        for (customer, mut jobs) in by_customer {
            let mut left = configuration
                .customers
                .get(customer)
                .map_or(0, |customer| customer.guaranteed_accelerators);
            jobs.sort_unstable();
            for (_, id, need) in jobs {
                if need > 0 && need <= left {
                    left -= need;
                    covered.push(id);
                }
            }
        }
        covered
    }
}

/// Returns the accelerators that a job takes at its widest step.
fn accelerators_of(spec: &JobSpec) -> u64 {
    spec.steps
        .iter()
        .map(|step| step.demand.accelerators * u64::from(step.tasks))
        .max()
        .unwrap_or(0)
}

/// Returns the occurrences of a job that are due and not finished.
fn due_occurrences(job: &Job, unix_ms: u64) -> Vec<Occurrence> {
    let first = job.progress.first_unfinished();
    let Some(repeat) = &job.record.spec.repeat else {
        return if first == 0 { vec![0] } else { Vec::new() };
    };
    (first..repeat.count)
        .take_while(|occurrence| repeat.due_unix_ms(*occurrence) + DUE_MARGIN_MS <= unix_ms)
        .filter(|occurrence| !job.progress.is_finished(*occurrence))
        .collect()
}

/// How soon a job should complete.
struct Urgency {
    /// Expected run time of each step on a sound worker.
    run_times: Vec<Duration>,
    /// Longest chain of work that comes after each step.
    after: Vec<Duration>,
    /// Time until each occurrence should complete.
    due_in: BTreeMap<Occurrence, Duration>,
    /// Time until a job that is late is worth nothing.
    worthless_in: BTreeMap<Occurrence, Duration>,
}

impl Urgency {
    fn new(state: &State, job: &Job, policy: &QueuePolicy, unix_ms: u64, now: Instant) -> Self {
        let spec = &job.record.spec;
        let run_times: Vec<Duration> = spec
            .steps
            .iter()
            .map(|step| {
                state
                    .run_times
                    .expected(&job.record.queue, step.estimate_ms)
            })
            .collect();
        let after = chains_after(spec, &run_times);
        let chain = longest_chain(spec, &run_times, state, &policy.service);
        let objective =
            chain.mul_f64(policy.stretch) + Duration::from_millis(policy.completion_slack_ms);
        let worthless = objective.mul_f64(LATE_FACTOR);
        let mut due_in = BTreeMap::new();
        let mut worthless_in = BTreeMap::new();
        let open: Vec<Occurrence> = job.units.keys().map(|unit| unit.occurrence).collect();
        for occurrence in open {
            let age = match &spec.repeat {
                Some(repeat) => {
                    Duration::from_millis(unix_ms.saturating_sub(repeat.due_unix_ms(occurrence)))
                }
                None => now.saturating_duration_since(job.accepted_at),
            };
            due_in.insert(occurrence, objective.saturating_sub(age));
            worthless_in.insert(occurrence, worthless.saturating_sub(age));
        }
        Self {
            run_times,
            after,
            due_in,
            worthless_in,
        }
    }

    fn slack(&self, unit: &UnitId, remaining: Duration) -> Duration {
        let due_in = self
            .due_in
            .get(&unit.occurrence)
            .copied()
            .unwrap_or_default();
        due_in.saturating_sub(remaining + self.after[unit.step as usize])
    }
}

/// Returns the longest chain of work of a job, in which a step that is wider than a quarter of its
/// service's room counts in waves.
fn longest_chain(spec: &JobSpec, run_times: &[Duration], state: &State, service: &str) -> Duration {
    let in_waves: Vec<Duration> = spec
        .steps
        .iter()
        .zip(run_times)
        .map(|(step, run_time)| {
            let at_once: u64 = state
                .workers
                .values()
                .filter(|worker| &*worker.announcement.service == service)
                .map(|worker| step.booked().count_in(worker.announcement.capacity))
                .sum();
            run_time.mul_f64(waves(step.tasks, at_once))
        })
        .collect();
    let after = chains_after(spec, &in_waves);
    (0..spec.steps.len())
        .map(|step| in_waves[step] + after[step])
        .max()
        .unwrap_or_default()
}

/// Returns in how many waves tasks run that take a quarter of the room, where `at_once` fit on all workers.
fn waves(tasks: u32, at_once: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "tasks of a deployment")]
    let quarter = at_once.max(1) as f64 / 4.0;
    (f64::from(tasks) / quarter).max(1.0)
}

/// Returns the longest chain of work after each step.
fn chains_after(spec: &JobSpec, run_times: &[Duration]) -> Vec<Duration> {
    let mut after = vec![Duration::ZERO; spec.steps.len()];
    for step in (0..spec.steps.len()).rev() {
        let chain = run_times[step] + after[step];
        for before in &spec.steps[step].after {
            let before = *before as usize;
            after[before] = after[before].max(chain);
        }
    }
    after
}

#[expect(
    clippy::too_many_arguments,
    reason = "gathers one view from many sources"
)]
fn running_unit(
    job: &Job,
    unit: &UnitId,
    run: &LiveRun,
    policy: &QueuePolicy,
    is_guaranteed: bool,
    urgency: &Urgency,
    index_of: &BTreeMap<&WorkerRef, usize>,
    now: Instant,
) -> RunningUnit {
    let step = job.step_of(unit);
    let expected = urgency.run_times[unit.step as usize];
    let elapsed = run
        .whole_since
        .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
    let remaining = if step.is_lasting {
        Duration::MAX / 4
    } else {
        remaining(run, expected, elapsed)
    };
    let there: Vec<&Seat> = run
        .seats
        .iter()
        .filter(|seat| seat.state != SeatState::Ended)
        .collect();
    let seats = there
        .iter()
        .filter_map(|seat| Some((*index_of.get(&seat.worker)?, step.booked())))
        .collect();
    let unsaved = if step.has_checkpoints {
        CHECKPOINT_LOSS
    } else {
        elapsed
    };
    let cores = step.demand.milli_cores / 1000 + step.demand.accelerators * CORES_PER_ACCELERATOR;
    #[expect(clippy::cast_precision_loss, reason = "cores of a unit")]
    let loss_core_s = (cores * there.len() as u64) as f64 * unsaved.as_secs_f64();
    let is_done = job.progress.state.is_final() || job.progress.is_unit_done(unit);
    RunningUnit {
        unit: unit.clone(),
        run: run.run,
        seats,
        priority: policy.priority,
        is_guaranteed,
        is_ending: is_done || run.is_stopping(),
        may_give_way: !step.is_lasting,
        loss_core_s,
        remaining,
        slack: urgency.slack(unit, expected),
    }
}

/// Estimates the time until a run ends, from its progress if it has made some.
fn remaining(run: &LiveRun, expected: Duration, elapsed: Duration) -> Duration {
    const SHORTEST: Duration = Duration::from_millis(100);
    let percent = run
        .seats
        .iter()
        .map(|seat| seat.progress_percent)
        .min()
        .unwrap_or(0);
    let left = if (10..100).contains(&percent) && run.resumed_from.is_none() {
        elapsed * (100 - percent) / percent
    } else {
        expected.saturating_sub(elapsed)
    };
    left.max(SHORTEST)
}

/// Begins a run in the job's progress, to be started when that is stored.
fn begin(job: &mut Job, unit: UnitId, workers: Vec<WorkerRef>, now: Instant) -> Run {
    let spec = &job.record.spec;
    let checkpoint = job
        .progress
        .unit(&unit)
        .and_then(|unit| unit.checkpoint.clone());
    let run = job.progress.begin(spec, &unit, workers.clone());
    let attempt = Attempt {
        run,
        has_failed: false,
        workers,
    };
    let mut live = LiveRun::new(&unit, &attempt, job.revision + 1, SeatState::Assigned, now);
    live.resumed_from = checkpoint;
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

/// Gathers the tasks of a job that wait, by step.
struct WaitingSteps<'a> {
    id: &'a JobId,
    job: &'a Job,
    policy: &'a QueuePolicy,
    is_guaranteed: bool,
    urgency: &'a Urgency,
    index_of: &'a BTreeMap<&'a WorkerRef, usize>,
    worker_count: usize,
    now: Instant,
}

impl WaitingSteps<'_> {
    fn collect(&self) -> Vec<WaitingStep> {
        let mut steps: BTreeMap<(Occurrence, StepIndex), Vec<&UnitId>> = BTreeMap::new();
        for (unit, live) in &self.job.units {
            if live.runs.is_empty() && live.ready_since.is_some() {
                let key = (unit.occurrence, unit.step);
                steps.entry(key).or_default().push(unit);
            }
        }
        steps
            .into_values()
            .map(|units| self.waiting_step(&units))
            .collect()
    }

    fn waiting_step(&self, units: &[&UnitId]) -> WaitingStep {
        let first = units[0];
        let step = self.job.step_of(first);
        let tasks = match first.task {
            None => (0..step.tasks).collect(),
            Some(_) => units.iter().filter_map(|unit| unit.task).collect(),
        };
        let time = |times: &BTreeMap<Occurrence, Duration>| {
            times.get(&first.occurrence).copied().unwrap_or_default()
        };
        let waited = units
            .iter()
            .filter_map(|unit| self.job.units.get(*unit)?.ready_since)
            .map(|since| self.now.saturating_duration_since(since))
            .max();
        WaitingStep {
            job: self.id.clone(),
            occurrence: first.occurrence,
            step: first.step,
            tasks,
            is_gang: step.is_gang,
            service: self.policy.service.clone(),
            demand: step.booked(),
            priority: self.policy.priority,
            is_guaranteed: self.is_guaranteed,
            is_rack_sensitive: step.is_rack_sensitive,
            data_rack: step.data_rack.clone(),
            required_label: step.required_label.clone(),
            max_tasks_per_worker: step.max_tasks_per_worker,
            step_tasks: self.step_tasks(first),
            excluded: self.excluded(units),
            allowed: None,
            run_time: self.urgency.run_times[first.step as usize],
            waited: waited.unwrap_or_default(),
            due_in: time(&self.urgency.due_in),
            after_it: self.urgency.after[first.step as usize],
            worthless_in: time(&self.urgency.worthless_in),
        }
    }

    /// Returns the workers of the step's tasks that are started already.
    fn step_tasks(&self, of: &UnitId) -> Vec<(usize, u32)> {
        let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
        let same_step = self
            .job
            .units
            .iter()
            .filter(|(unit, _)| unit.step == of.step && unit.occurrence == of.occurrence);
        for seat in same_step
            .flat_map(|(_, live)| &live.runs)
            .flat_map(|run| &run.seats)
        {
            if seat.state != SeatState::Ended
                && let Some(index) = self.index_of.get(&seat.worker)
            {
                *counts.entry(*index).or_default() += 1;
            }
        }
        counts.into_iter().collect()
    }

    /// Returns the workers on which tasks of the step have failed, unless these are most of all workers.
    fn excluded(&self, units: &[&UnitId]) -> Vec<usize> {
        let mut excluded: Vec<usize> = units
            .iter()
            .filter_map(|unit| self.job.units.get(*unit))
            .flat_map(|live| &live.failed_on)
            .filter_map(|worker| self.index_of.get(worker).copied())
            .collect();
        excluded.sort_unstable();
        excluded.dedup();
        if excluded.len() * 2 > self.worker_count {
            excluded.clear();
        }
        excluded
    }
}
