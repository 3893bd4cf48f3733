//! Snapshots for decisions: the workers, the waiting steps and the running units at one time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::job::Assignment;
use crate::job::AssignmentState;
use crate::job::Job;
use crate::job::LiveRun;
use crate::term::State;
use crate::term::Term;
use crate::urgency::Urgency;
use crate::worker::Worker;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::JobId;
use nutmegwalk_placement::Isolation;
use nutmegwalk_placement::RunningUnit;
use nutmegwalk_placement::Snapshot;
use nutmegwalk_placement::WaitingStep;
use nutmegwalk_placement::WorkerView;
use nutmegwalk_workload::CrashRisk;
use nutmegwalk_workload::JobSpec;
use nutmegwalk_workload::Occurrence;
use nutmegwalk_workload::QueuePolicy;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::StepIndex;
use nutmegwalk_workload::UnitId;
use nutmegwalk_workload::WorkerRef;

/// Number of cores that one accelerator counts as in amounts of work.
const CORES_PER_ACCELERATOR: u64 = 8;
/// Margin after the due time of an occurrence, in milliseconds, for differences between clocks.
const DUE_MARGIN_MS: u64 = 20;
/// Maximum number of occurrences of one job that are considered at a time. Any number of them can be due when the
/// interval is short or the job was due long ago.
const MAX_DUE_OCCURRENCES: usize = 64;
/// Time after which a suspect no longer waits for a worker on which a crash does little harm.
const MAX_ISOLATION_WAIT: Duration = Duration::from_millis(1_500);
/// Run time that a stop loses although the task writes a checkpoint then.
const CHECKPOINT_LOSS: Duration = Duration::from_millis(200);

impl Term {
    /// Builds a snapshot, and returns it with the incarnations of its workers in the same order.
    pub(crate) fn snapshot(&self, now: Instant) -> (Snapshot, Vec<WorkerRef>) {
        let mut state = self.state.borrow_mut();
        let unix_ms = self.wall_clock.unix_ms();
        self.record_ready_units(&mut state, unix_ms, now);
        let state = &*state;
        let worker_refs: Vec<WorkerRef> = state
            .workers
            .values()
            .map(|worker| worker.announcement.worker.clone())
            .collect();
        let index_of: BTreeMap<&WorkerRef, usize> = worker_refs
            .iter()
            .enumerate()
            .map(|(index, worker)| (worker, index))
            .collect();
        let mut snapshot = Snapshot {
            workers: state
                .workers
                .values()
                .map(|worker| self.worker_view(worker, now))
                .collect(),
            waiting: Vec::new(),
            running: Vec::new(),
            spread_factor: self.settings.spread_factor,
        };
        let guaranteed = self.guaranteed_jobs(state);
        let active = state
            .jobs
            .iter()
            .filter(|(_, job)| !job.progress.state.is_final() || !job.units.is_empty());
        for (id, job) in active {
            let policy = self.policy_of(job);
            let is_guaranteed = guaranteed.contains(id);
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
                    let crash_risk = job.crash_risk_of(unit, run, now);
                    for (worker, size) in &running.allocations {
                        let worker = &mut snapshot.workers[*worker];
                        worker.allocated = worker.allocated.plus(*size);
                        worker.crash_risk = worker.crash_risk.max(crash_risk);
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
        (snapshot, worker_refs)
    }

    /// Returns the state of a worker with only unexpected runs allocated.
    fn worker_view(&self, worker: &Worker, now: Instant) -> WorkerView {
        let announcement = &worker.announcement;
        let allocated = worker
            .unexpected_runs
            .values()
            .fold(Resources::default(), |sum, unexpected| {
                sum.plus(unexpected.demand)
            });
        let is_ready = announcement.state == nutmegwalk_supervisor::WorkerState::Ready;
        WorkerView {
            service: announcement.service.clone(),
            data_centre: announcement.data_centre.clone(),
            rack: announcement.rack.clone(),
            labels: announcement.labels.clone(),
            capacity: announcement.capacity,
            allocated,
            accepts_tasks: is_ready
                && worker.is_responsive(now)
                && !worker.health.is_quarantined(now)
                && !self.policy.is_out_of_service(&announcement.data_centre),
            slowdown_factor: 1.0,
            leaves_in: worker.leaves_at.map(|at| at.saturating_duration_since(now)),
            crash_risk: CrashRisk::Low,
        }
    }

    /// Records the units that have become ready to start, and removes units that are done and have no runs.
    fn record_ready_units(&self, state: &mut State, unix_ms: u64, now: Instant) {
        for (id, job) in &mut state.jobs {
            if job.progress.state.is_final() {
                continue;
            }
            for occurrence in due_occurrences(job, unix_ms) {
                for unit in job.progress.ready_units(id, &job.record.spec, occurrence) {
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

    /// Returns the jobs that are covered by their customers' guarantees. Older jobs are covered first.
    fn guaranteed_jobs<'a>(&self, state: &'a State) -> BTreeSet<&'a JobId> {
        let configuration = self.policy.configuration();
        let mut by_customer: BTreeMap<&CustomerId, Vec<(Instant, &JobId, u64)>> = BTreeMap::new();
        for (id, job) in &state.jobs {
            let Some(customer) = &job.record.customer else {
                continue;
            };
            if job.progress.state.is_final() || self.policy_of(job).priority > 0 {
                continue;
            }
            let accelerators = accelerators_of(&job.record.spec);
            by_customer
                .entry(customer)
                .or_default()
                .push((job.accepted_at, id, accelerators));
        }
        let mut covered = BTreeSet::new();
        for (customer, mut jobs) in by_customer {
            let mut available = configuration
                .customers
                .get(customer)
                .map_or(0, |customer| customer.guaranteed_accelerators);
            jobs.sort_unstable();
            for (_, id, accelerators) in jobs {
                if accelerators > 0 && accelerators <= available {
                    available -= accelerators;
                    covered.insert(id);
                }
            }
        }
        covered
    }
}

/// Returns the number of accelerators of a job's largest step.
fn accelerators_of(spec: &JobSpec) -> u64 {
    spec.steps
        .iter()
        .map(|step| {
            step.demand
                .accelerators
                .saturating_mul(u64::from(step.tasks))
        })
        .max()
        .unwrap_or(0)
}

/// Returns the first occurrences of a job that are due and not finished.
fn due_occurrences(job: &Job, unix_ms: u64) -> Vec<Occurrence> {
    let first = job.progress.first_unfinished();
    let Some(repeat) = &job.record.spec.repeat else {
        return if first == 0 { vec![0] } else { Vec::new() };
    };
    let latest_due_ms = unix_ms.saturating_sub(DUE_MARGIN_MS);
    (first..repeat.count)
        .take_while(|occurrence| repeat.due_unix_ms(*occurrence) <= latest_due_ms)
        .filter(|occurrence| !job.progress.is_finished(*occurrence))
        .take(MAX_DUE_OCCURRENCES)
        .collect()
}

/// Returns the state of a run for a snapshot.
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
        .all_running_since
        .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
    let remaining = if step.is_lasting {
        Duration::MAX / 4
    } else {
        remaining(run, expected, elapsed)
    };
    let active: Vec<&Assignment> = run
        .assignments
        .iter()
        .filter(|assignment| assignment.state != AssignmentState::Ended)
        .collect();
    let allocations = active
        .iter()
        .filter_map(|assignment| {
            Some((
                *index_of.get(&assignment.worker)?,
                step.allocated_resources(),
            ))
        })
        .collect();
    let unsaved = if step.has_checkpoints {
        CHECKPOINT_LOSS
    } else {
        elapsed
    };
    let accelerator_cores = step
        .demand
        .accelerators
        .saturating_mul(CORES_PER_ACCELERATOR);
    let cores = accelerator_cores.saturating_add(step.demand.milli_cores / 1000);
    #[expect(clippy::cast_precision_loss, reason = "cores of a unit")]
    let loss_core_s = cores as f64 * active.len() as f64 * unsaved.as_secs_f64();
    let is_done = job.progress.state.is_final() || job.progress.is_unit_done(unit);
    RunningUnit {
        unit: unit.clone(),
        run: run.run,
        allocations,
        priority: policy.priority,
        is_guaranteed,
        is_ending: is_done || run.is_stopping(),
        is_preemptible: !step.is_lasting,
        has_checkpoints: step.has_checkpoints,
        loss_core_s,
        remaining,
        slack: urgency.slack(unit, expected),
    }
}

/// Estimates the time until a run ends: from its progress if that is between 10 and 99 percent and the run did
/// not resume from a checkpoint, else from the expected run time.
fn remaining(run: &LiveRun, expected: Duration, elapsed: Duration) -> Duration {
    const MIN_REMAINING: Duration = Duration::from_millis(100);
    let percent = run
        .assignments
        .iter()
        .map(|assignment| assignment.progress_percent)
        .min()
        .unwrap_or(0);
    let estimate = if (10..100).contains(&percent) && run.resumed_from.is_none() {
        elapsed * (100 - percent) / percent
    } else {
        expected.saturating_sub(elapsed)
    };
    estimate.max(MIN_REMAINING)
}

/// Collects the waiting tasks of a job by step.
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
        let mut steps: BTreeMap<(Occurrence, StepIndex, CrashRisk), Vec<&UnitId>> = BTreeMap::new();
        for (unit, live) in &self.job.units {
            if live.runs.is_empty() && live.ready_since.is_some() {
                let crash_risk = self.job.placement_risk_of(unit);
                let key = (unit.occurrence, unit.step, crash_risk);
                steps.entry(key).or_default().push(unit);
            }
        }
        // One decision does not see what it places for another part of the same step, so a step with a limit for
        // each worker takes part with one group of tasks at a time.
        let mut limited = BTreeSet::new();
        steps
            .into_values()
            .filter(|units| {
                self.job.step_of(units[0]).max_tasks_per_worker.is_none()
                    || limited.insert((units[0].occurrence, units[0].step))
            })
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
            demand: step.allocated_resources(),
            priority: self.policy.priority,
            is_guaranteed: self.is_guaranteed,
            is_rack_sensitive: step.is_rack_sensitive,
            data_rack: step.data_rack.clone(),
            required_label: step.required_label.clone(),
            max_tasks_per_worker: step.max_tasks_per_worker,
            started_tasks: self.started_tasks(first),
            excluded: self.excluded(units),
            allowed: None,
            crash_risk: self.job.placement_risk_of(first),
            isolation: self.isolation(units),
            run_time: self.urgency.run_times[first.step as usize],
            waited: waited.unwrap_or_default(),
            time_to_deadline: time(&self.urgency.time_to_deadline),
            successors_run_time: self.urgency.successors_run_time[first.step as usize],
            time_to_expiry: time(&self.urgency.time_to_expiry),
        }
    }

    /// Returns how far the tasks have to be kept apart from others, so that a crash does little harm.
    fn isolation(&self, units: &[&UnitId]) -> Isolation {
        let waits_too_long = units
            .iter()
            .filter_map(|unit| self.job.units.get(*unit))
            .filter_map(|live| live.last_run_ended_at.or(live.ready_since))
            .any(|at| self.now.saturating_duration_since(at) > MAX_ISOLATION_WAIT);
        match self.job.placement_risk_of(units[0]) {
            _ if waits_too_long => Isolation::None,
            CrashRisk::Low => Isolation::None,
            CrashRisk::Raised => Isolation::FromSuspects,
            CrashRisk::High => Isolation::Full,
        }
    }

    /// Returns the workers with tasks of the same step that have not ended, and the number of these tasks.
    fn started_tasks(&self, first: &UnitId) -> Vec<(usize, u32)> {
        let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
        let same_step = self
            .job
            .units
            .iter()
            .filter(|(unit, _)| unit.step == first.step && unit.occurrence == first.occurrence);
        for assignment in same_step
            .flat_map(|(_, live)| &live.runs)
            .flat_map(|run| &run.assignments)
        {
            if assignment.state != AssignmentState::Ended
                && let Some(index) = self.index_of.get(&assignment.worker)
            {
                *counts.entry(*index).or_default() += 1;
            }
        }
        counts.into_iter().collect()
    }

    /// Returns the workers on which units have failed or stalled; none if these are more than half of all workers.
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
