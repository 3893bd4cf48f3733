//! Snapshots for decisions: the workers, the waiting steps and the running units at one time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::crash::is_same_worker;
use crate::job::Assignment;
use crate::job::AssignmentState;
use crate::job::Job;
use crate::job::LiveRun;
use crate::job::LiveUnit;
use crate::term::State;
use crate::term::Term;
use crate::urgency::Urgency;
use crate::worker::Worker;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::JobId;
use nutmegwalk_placement::DomainHealth;
use nutmegwalk_placement::Isolation;
use nutmegwalk_placement::RunningUnit;
use nutmegwalk_placement::Snapshot;
use nutmegwalk_placement::TaskList;
use nutmegwalk_placement::WaitingStep;
use nutmegwalk_placement::WorkerView;
use nutmegwalk_workload::CrashRisk;
use nutmegwalk_workload::JobSpec;
use nutmegwalk_workload::Occurrence;
use nutmegwalk_workload::QueuePolicy;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::StepIndex;
use nutmegwalk_workload::UnitId;
use nutmegwalk_workload::UnitProgress;
use nutmegwalk_workload::WorkerRef;

/// Number of cores that one accelerator counts as in amounts of work.
const CORES_PER_ACCELERATOR: u64 = 8;
/// Time after which a suspect no longer waits for a worker on which a crash does little harm.
const MAX_ISOLATION_WAIT: Duration = Duration::from_millis(1_500);
/// Run time that a stop loses although the task writes a checkpoint then.
const CHECKPOINT_LOSS: Duration = Duration::from_millis(200);

impl Term {
    /// Builds a snapshot, and returns it with the incarnations of its workers in the same order.
    pub(crate) fn snapshot(&self, now: Instant) -> (Snapshot, Vec<WorkerRef>) {
        let mut state = self.state.borrow_mut();
        let unix_ms = self.wall_clock.unix_ms();
        self.refresh_readiness(&mut state, unix_ms, now);
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
                .map(|worker| self.worker_view(worker, &state.health, now))
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
                    let crash_risk = job.crash_risk_of(unit);
                    for (worker, size) in &running.allocations {
                        let worker = &mut snapshot.workers[*worker];
                        worker.allocated = worker.allocated.plus(*size);
                        worker.crash_risk = worker.crash_risk.max(crash_risk);
                    }
                    let starting = run.assignments.iter();
                    for assignment in starting.filter(|assignment| assignment.is_starting(now)) {
                        if let Some(index) = index_of.get(&assignment.worker) {
                            let worker = &mut snapshot.workers[*index];
                            worker.is_starting = true;
                            worker.has_trial |= crash_risk > CrashRisk::Low;
                        }
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
    fn worker_view(&self, worker: &Worker, health: &DomainHealth, now: Instant) -> WorkerView {
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
                && !self.policy.is_out_of_service(&announcement.data_centre),
            is_quarantined: health.is_quarantined(&announcement.worker, now),
            slowdown_factor: 1.0,
            leaves_in: worker.leaves_at.map(|at| at.saturating_duration_since(now)),
            crash_risk: CrashRisk::Low,
            up_for: worker.up_for(now),
            is_starting: worker.is_starting(now),
            has_trial: false,
        }
    }

    /// Records the steps that have become ready to start, and removes units that are done and have no runs.
    fn refresh_readiness(&self, state: &mut State, unix_ms: u64, now: Instant) {
        for job in state.jobs.values_mut() {
            job.refresh_readiness(unix_ms, now);
            let progress = &job.progress;
            let is_final = progress.state.is_final();
            job.units.retain(|unit, live| {
                !live.runs.is_empty() || !is_final && !progress.is_unit_done(unit)
            });
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
        let mut steps = Vec::new();
        if self.job.is_refused(self.now) {
            return steps;
        }
        for (occurrence, step, ready_since) in self.job.readiness.steps() {
            let groups = self.job.waiting_tasks(self.id, occurrence, step, self.now);
            for (crash_risk, tasks) in groups {
                let group = Group {
                    occurrence,
                    step,
                    crash_risk,
                    ready_since,
                };
                steps.push(self.waiting_step(&group, tasks));
            }
        }
        steps
    }

    fn waiting_step(&self, group: &Group, tasks: TaskList) -> WaitingStep {
        let step = &self.job.record.spec.steps[group.step as usize];
        let time = |times: &BTreeMap<Occurrence, Duration>| {
            times.get(&group.occurrence).copied().unwrap_or_default()
        };
        let started: Vec<(&UnitId, &LiveUnit)> = self
            .job
            .started_units(self.id, group.occurrence, group.step)
            .collect();
        let waits = |(unit, live): &&(&UnitId, &LiveUnit)| {
            live.runs.is_empty() && self.job.crash_risk_of(unit) == group.crash_risk
        };
        let waiting: Vec<&LiveUnit> = started
            .iter()
            .filter(waits)
            .map(|(_, live)| *live)
            .collect();
        let waiting_units = started.iter().filter(waits).map(|(unit, _)| *unit);
        let progress: Vec<&UnitProgress> = waiting_units
            .filter_map(|unit| self.job.progress.unit(unit))
            .collect();
        let crashes = progress
            .iter()
            .flat_map(|unit| unit.crash_history.crashes());
        let crashed: Vec<&WorkerRef> = crashes.map(|crash| &crash.worker).collect();
        let settling_times = progress.iter().map(|unit| unit.next_settling_time());
        let settling_time = settling_times.max().unwrap_or_default();
        WaitingStep {
            job: self.id.clone(),
            occurrence: group.occurrence,
            step: group.step,
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
            started_tasks: self.started_tasks(&started),
            excluded: self.excluded(&waiting, &crashed),
            allowed: None,
            crash_risk: group.crash_risk,
            isolation: self.isolation(group, &waiting),
            settling_time,
            run_time: self.urgency.run_times[group.step as usize],
            waited: self.now.saturating_duration_since(group.ready_since),
            time_to_deadline: time(&self.urgency.time_to_deadline),
            successors_run_time: self.urgency.successors_run_time[group.step as usize],
            time_to_expiry: time(&self.urgency.time_to_expiry),
        }
    }

    /// Returns how far the tasks have to be kept apart from others, so that a crash does little harm.
    fn isolation(&self, group: &Group, waiting: &[&LiveUnit]) -> Isolation {
        let has_waited =
            |since: Instant| self.now.saturating_duration_since(since) > MAX_ISOLATION_WAIT;
        // Tasks that have not run in this term wait since their step became ready.
        let has_others = self
            .job
            .progress
            .risky_units(group.occurrence, group.step)
            .filter(|(_, risk)| *risk == group.crash_risk)
            .nth(waiting.len())
            .is_some();
        let since = |live: &&LiveUnit| live.last_run_ended_at.unwrap_or(group.ready_since);
        let waits_too_long = waiting.iter().map(since).any(has_waited)
            || has_others && has_waited(group.ready_since);
        // The members of a gang need many workers at once, which are rarely all without another start.
        let is_gang = self.job.record.spec.steps[group.step as usize].is_gang;
        match group.crash_risk {
            CrashRisk::Low => Isolation::None,
            CrashRisk::Raised if is_gang && waits_too_long => Isolation::None,
            _ if is_gang || waits_too_long => Isolation::Trial,
            CrashRisk::Raised => Isolation::FromSuspects,
            CrashRisk::High => Isolation::Full,
        }
    }

    /// Returns the workers with tasks of a step that have not ended, and the number of these tasks.
    fn started_tasks(&self, started: &[(&UnitId, &LiveUnit)]) -> Vec<(usize, u32)> {
        let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
        for assignment in started
            .iter()
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

    /// Returns the workers on which units have failed or stalled, or which have crashed at their start; none if these are
    /// more than half of all workers.
    fn excluded(&self, waiting: &[&LiveUnit], crashed: &[&WorkerRef]) -> Vec<usize> {
        let failed = waiting.iter().flat_map(|live| &live.failed_on);
        let mut excluded: Vec<usize> = failed
            .filter_map(|worker| self.index_of.get(worker).copied())
            .collect();
        for worker in crashed {
            // A later incarnation is the same machine.
            let successors = self.index_of.iter();
            let successors = successors.filter(|(known, _)| is_same_worker(known, worker));
            excluded.extend(successors.map(|(_, index)| *index));
        }
        excluded.sort_unstable();
        excluded.dedup();
        if excluded.len() * 2 > self.worker_count {
            excluded.clear();
        }
        excluded
    }
}

/// Waiting tasks of a step that are equally likely to crash their workers.
struct Group {
    occurrence: Occurrence,
    step: StepIndex,
    crash_risk: CrashRisk,
    /// When the step became ready.
    ready_since: Instant,
}
