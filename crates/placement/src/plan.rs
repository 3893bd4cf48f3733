//! The planner: decides which tasks start on which workers, which runs are preempted, and which tasks wait.
//!
//! Steps are evaluated in order of rank, and each gets the earliest placement that does not delay a step
//! with a higher rank (conservative backfilling), so small tasks that keep arriving do not starve a large
//! gang. A step whose earliest placement is now starts.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Plan;
use crate::Preemption;
use crate::Snapshot;
use crate::Start;
use crate::WaitReason;
use crate::WaitingStep;
use crate::WaitingTasks;
use crate::fit::Locality;
use crate::fit::can_start;
use crate::fit::find_workers;
use crate::fit::needs_rack;
use crate::isolation::IsolationRules;
use crate::leaving::runs_to_move;
use crate::limits::LastResort;
use crate::limits::PlacedTasks;
use crate::limits::StepLimits;
use crate::preempt::VictimSearch;
use crate::profile::AvailabilityProfile;
use crate::profile::FreeResources;
use crate::profile::STOP_TIME;
use crate::profile::release_time;
use crate::rank::rank;
use crate::rank::total_capacity;

/// Number of steps for which a future placement is computed; it bounds the time of a decision. Steps covered
/// by a guarantee are always evaluated.
const MAX_PLANNED: usize = 12;
/// Maximum number of tasks that run at a time. It bounds the memory of the owner, which keeps about 1 KB for each of them,
/// where tasks that need hardly any resources could run in any number.
const MAX_RUNNING_TASKS: usize = 32_768;
/// Time for which a step covered by a guarantee waits for runs to end before it preempts others. Together
/// with the time to store the decision and to stop tasks it stays below the promised reclaim time.
const RECLAIM_GRACE_PERIOD: Duration = Duration::from_millis(600);
/// Time from now that can be foreseen. What would start later waits for tasks that last, and may never start.
const FORESEEABLE_TIME: Duration = Duration::from_secs(60);
/// A step that is not covered by a guarantee preempts others only if the work lost is at most this many
/// times its own work.
const MAX_LOSS_FACTOR: f64 = 2.0;
/// Number of cores that one accelerator counts as in amounts of work.
pub(crate) const CORES_PER_ACCELERATOR: u64 = 8;

/// Decides for one snapshot which tasks start, which runs are preempted or moved, and which tasks wait.
#[must_use]
pub fn plan(snapshot: &Snapshot) -> Plan {
    let mut planner = Planner::new(snapshot);
    let mut order: Vec<usize> = (0..snapshot.waiting.len()).collect();
    let capacity = total_capacity(snapshot);
    order.sort_by_key(|index| (rank(&snapshot.waiting[*index], capacity), *index));
    for index in order {
        planner.plan_step(index);
    }
    planner.plan
}

/// Working state of one decision.
struct Planner<'a> {
    snapshot: &'a Snapshot,
    profile: AvailabilityProfile,
    /// Free resources if nothing ran.
    empty: FreeResources,
    /// Number of steps for which future placements were computed.
    planned: usize,
    /// Positions in [`Snapshot::running`] of the runs that this decision stops.
    stopped_runs: BTreeSet<usize>,
    isolation_rules: IsolationRules,
    /// Tasks that this decision starts.
    placed: PlacedTasks<'a>,
    /// Number of tasks that may start in this decision.
    startable: u32,
    plan: Plan,
}

/// Placements of a step that start in the future.
#[derive(Default)]
struct FuturePlacements {
    /// Start time and workers of each group of tasks that start together.
    batches: Vec<(Duration, Vec<usize>)>,
    /// Time until all tasks have started; `None` if not all of them have a placement.
    all_start_in: Option<Duration>,
}

/// Tasks of a step that are not placed yet.
#[derive(Clone)]
struct RemainingTasks {
    tasks: u32,
    limits: StepLimits,
}

impl<'a> Planner<'a> {
    fn new(snapshot: &'a Snapshot) -> Self {
        let moves = runs_to_move(snapshot);
        let mut profile = AvailabilityProfile::new(snapshot);
        for running in moves.iter().map(|index| &snapshot.running[*index]) {
            profile.release(&running.allocations, STOP_TIME, release_time(running));
        }
        Self {
            snapshot,
            profile,
            empty: snapshot
                .workers
                .iter()
                .map(|worker| worker.capacity)
                .collect(),
            planned: 0,
            stopped_runs: moves.iter().copied().collect(),
            isolation_rules: IsolationRules::new(snapshot),
            placed: PlacedTasks::default(),
            startable: startable_tasks(snapshot),
            plan: Plan {
                moves,
                ..Plan::default()
            },
        }
    }

    /// Starts, plans or records as waiting the tasks of one step.
    fn plan_step(&mut self, index: usize) {
        let step = &self.snapshot.waiting[index];
        let mut remaining = RemainingTasks {
            tasks: step.count(),
            limits: self.limits(step, LastResort::None),
        };
        let Some(locality) = self.best_locality(step, &remaining) else {
            if self.start_on_quarantined(index, &mut remaining, None)
                || self.start_where_failed(index, &mut remaining)
            {
                return;
            }
            let mut reason = WaitReason::NeverFits;
            if self.isolation_rules.restrict(step) {
                reason = WaitReason::Isolated;
                self.keep_place(step, remaining.tasks);
            }
            self.record_wait(index, remaining.tasks, reason, None);
            return;
        };
        self.start(index, &mut remaining, locality);
        if remaining.tasks == 0 {
            return;
        }
        if self.planned >= MAX_PLANNED && !step.is_guaranteed {
            self.record_wait(index, remaining.tasks, WaitReason::NotEvaluated, None);
            return;
        }
        self.planned += 1;
        let future = self.future_placements(step, &remaining, locality);
        let starts_in = future.all_start_in;
        if self.preempt(index, &remaining, locality, starts_in) {
            return;
        }
        if locality == Locality::Local && self.relax_locality(index, &mut remaining, starts_in) {
            return;
        }
        if self.start_on_quarantined(index, &mut remaining, starts_in) {
            return;
        }
        let first_start = future.batches.first().map(|(time, _)| *time);
        if first_start.is_none_or(|time| time > FORESEEABLE_TIME)
            && self.start_where_failed(index, &mut remaining)
        {
            return;
        }
        for (time, workers) in &future.batches {
            self.profile
                .allocate(workers, step.demand, *time, step.run_time);
        }
        self.record_wait(index, remaining.tasks, WaitReason::Planned, starts_in);
    }

    /// Keeps a place for tasks that wait until a worker starts nothing else or has been up for long enough, so that later
    /// tasks do not take it meanwhile.
    fn keep_place(&mut self, step: &WaitingStep, tasks: u32) {
        if self.planned >= MAX_PLANNED && !step.is_guaranteed {
            return;
        }
        self.planned += 1;
        let rules = self.isolation_rules.without_waits();
        let mut remaining = RemainingTasks {
            tasks,
            limits: self
                .placed
                .limits(self.snapshot, &rules, step, LastResort::None),
        };
        let Some(locality) = self.best_locality(step, &remaining) else {
            return;
        };
        let free = self.profile.free_during(STOP_TIME, step.run_time);
        let workers = self.find_workers(step, &free, &remaining, locality);
        self.profile
            .allocate(&workers, step.demand, STOP_TIME, step.run_time);
        remaining.remove_placed(&workers);
        if remaining.tasks == 0 {
            return;
        }
        let future = self.future_placements(step, &remaining, locality);
        for (time, workers) in &future.batches {
            self.profile
                .allocate(workers, step.demand, *time, step.run_time);
        }
    }

    /// Returns where further tasks of a step may be placed now.
    fn limits(&self, step: &WaitingStep, last_resort: LastResort) -> StepLimits {
        self.placed
            .limits(self.snapshot, &self.isolation_rules, step, last_resort)
    }

    /// Returns the strictest locality with which tasks of the step would fit if all workers were empty;
    /// `None` if they do not fit at all.
    fn best_locality(&self, step: &WaitingStep, remaining: &RemainingTasks) -> Option<Locality> {
        [Locality::Local, Locality::Any]
            .into_iter()
            .find(|locality| self.can_start(step, &self.empty, remaining, *locality))
    }

    /// Returns workers with enough `free` resources for the remaining tasks of a step.
    fn find_workers(
        &self,
        step: &WaitingStep,
        free: &FreeResources,
        remaining: &RemainingTasks,
        locality: Locality,
    ) -> Vec<usize> {
        find_workers(
            self.snapshot,
            step,
            free,
            &remaining.limits,
            remaining.tasks,
            locality,
        )
    }

    /// Returns whether [`Self::find_workers`] finds any worker, which takes less time.
    fn can_start(
        &self,
        step: &WaitingStep,
        free: &FreeResources,
        remaining: &RemainingTasks,
        locality: Locality,
    ) -> bool {
        let limits = &remaining.limits;
        can_start(self.snapshot, step, free, limits, remaining.tasks, locality)
    }

    /// Starts the tasks that fit now without delaying a step with a higher rank.
    fn start(&mut self, index: usize, remaining: &mut RemainingTasks, locality: Locality) {
        let step = &self.snapshot.waiting[index];
        if step.is_gang && remaining.tasks > self.startable {
            return;
        }
        let free = self.profile.free_during(Duration::ZERO, step.run_time);
        let mut workers = self.find_workers(step, &free, remaining, locality);
        workers.truncate(self.startable as usize);
        self.start_on(index, remaining, &workers, step.run_time);
    }

    /// Starts remaining tasks on `workers`, one entry per task, and allocates their resources for `duration`.
    fn start_on(
        &mut self,
        index: usize,
        remaining: &mut RemainingTasks,
        workers: &[usize],
        duration: Duration,
    ) {
        if workers.is_empty() {
            return;
        }
        let step = &self.snapshot.waiting[index];
        self.profile
            .allocate(workers, step.demand, Duration::ZERO, duration);
        let first = step.tasks.len() - remaining.tasks;
        let tasks = step.tasks.iter().skip(first as usize);
        let assignments = tasks.zip(workers.iter().copied());
        self.plan.starts.push(Start {
            step: index,
            assignments: assignments.collect(),
        });
        for worker in workers {
            self.isolation_rules.record_placed(step, *worker);
        }
        self.placed.record(step, workers);
        let before = remaining.tasks;
        remaining.remove_placed(workers);
        self.startable -= before - remaining.tasks;
    }

    /// Returns the earliest placements of the remaining tasks: of all tasks at the same time for a gang, else
    /// of as many at a time as fit.
    fn future_placements(
        &self,
        step: &WaitingStep,
        remaining: &RemainingTasks,
        locality: Locality,
    ) -> FuturePlacements {
        let mut future = FuturePlacements::default();
        let mut remaining = remaining.clone();
        let mut profile = self.profile.clone();
        // With a required rack the choice of the rack depends on the number of tasks, so there is no shortcut.
        let has_shortcut = !needs_rack(step, &remaining.limits, remaining.tasks, locality);
        for time in &self.profile.times()[1..] {
            // What is free throughout the run time is at most what is free at its start.
            if has_shortcut && !self.can_start(step, profile.free_at(*time), &remaining, locality) {
                continue;
            }
            let free = profile.free_during(*time, step.run_time);
            let workers = self.find_workers(step, &free, &remaining, locality);
            if workers.is_empty() {
                continue;
            }
            profile.allocate(&workers, step.demand, *time, step.run_time);
            remaining.remove_placed(&workers);
            future.batches.push((*time, workers));
            if remaining.tasks == 0 {
                future.all_start_in = Some(*time);
                break;
            }
        }
        future
    }

    /// Preempts other runs if the step may do so rather than wait until `starts_in`; returns whether it did.
    ///
    /// The freed resources are allocated to the step in the profile.
    fn preempt(
        &mut self,
        index: usize,
        remaining: &RemainingTasks,
        locality: Locality,
        starts_in: Option<Duration>,
    ) -> bool {
        let step = &self.snapshot.waiting[index];
        if !may_preempt(step, starts_in.unwrap_or(Duration::MAX)) {
            return false;
        }
        let mut free = self.profile.free_during(STOP_TIME, step.run_time);
        let search = VictimSearch {
            snapshot: self.snapshot,
            step,
            limits: &remaining.limits,
            tasks: remaining.tasks,
            locality,
            stopped_runs: &self.stopped_runs,
        };
        let Some(victims) = search.find(&free) else {
            return false;
        };
        if !step.is_guaranteed && victims.loss_core_s > work_core_s(step) * MAX_LOSS_FACTOR {
            return false;
        }
        for victim in victims.running {
            let running = &self.snapshot.running[victim];
            self.profile
                .release(&running.allocations, STOP_TIME, release_time(running));
            for (worker, size) in &running.allocations {
                free[*worker] = free[*worker].plus(*size);
            }
            self.stopped_runs.insert(victim);
            self.plan.preemptions.push(Preemption {
                victim,
                beneficiary: index,
            });
        }
        let workers = self.find_workers(step, &free, remaining, locality);
        self.profile
            .allocate(&workers, step.demand, STOP_TIME, step.run_time);
        self.record_wait(index, remaining.tasks, WaitReason::Planned, Some(STOP_TIME));
        true
    }

    /// Drops the locality constraint if the tasks complete earlier without it or their guarantee requires it;
    /// returns whether they are placed then.
    fn relax_locality(
        &mut self,
        index: usize,
        remaining: &mut RemainingTasks,
        starts_in: Option<Duration>,
    ) -> bool {
        if self.start_spread(index, remaining, starts_in) {
            return true;
        }
        let step = &self.snapshot.waiting[index];
        // The guarantee covers the start of the tasks, not their locality.
        if !step.is_guaranteed || !may_preempt(step, starts_in.unwrap_or(Duration::MAX)) {
            return false;
        }
        self.start(index, remaining, Locality::Any);
        remaining.tasks == 0 || self.preempt(index, remaining, Locality::Any, None)
    }

    /// Starts the tasks on workers in quarantine as well if their guarantee requires it and no other worker has room in
    /// time; returns whether all are placed then.
    fn start_on_quarantined(
        &mut self,
        index: usize,
        remaining: &mut RemainingTasks,
        starts_in: Option<Duration>,
    ) -> bool {
        let step = &self.snapshot.waiting[index];
        let has_any = self
            .snapshot
            .workers
            .iter()
            .any(|worker| worker.is_quarantined);
        if !has_any || !step.is_guaranteed || !may_preempt(step, starts_in.unwrap_or(Duration::MAX))
        {
            return false;
        }
        self.start_with(index, remaining, LastResort::Quarantined)
    }

    /// Starts the tasks on workers where tasks of the step have failed as well; returns whether all are placed then.
    fn start_where_failed(&mut self, index: usize, remaining: &mut RemainingTasks) -> bool {
        let step = &self.snapshot.waiting[index];
        !step.excluded.is_empty() && self.start_with(index, remaining, LastResort::Excluded)
    }

    /// Starts the tasks on the workers of a last resort as well; returns whether all are placed then.
    fn start_with(
        &mut self,
        index: usize,
        remaining: &mut RemainingTasks,
        last_resort: LastResort,
    ) -> bool {
        let step = &self.snapshot.waiting[index];
        remaining.limits = self.limits(step, last_resort);
        self.start(index, remaining, Locality::Any);
        remaining.tasks == 0
    }

    /// Starts the tasks spread over racks if they end earlier than with a later local placement; returns
    /// whether it did.
    fn start_spread(
        &mut self,
        index: usize,
        remaining: &mut RemainingTasks,
        starts_in: Option<Duration>,
    ) -> bool {
        let step = &self.snapshot.waiting[index];
        let spread_time = step.run_time.mul_f64(self.snapshot.spread_factor);
        let local_end = starts_in
            .unwrap_or(Duration::MAX)
            .saturating_add(step.run_time);
        if spread_time >= local_end {
            return false;
        }
        let free = self.profile.free_during(Duration::ZERO, spread_time);
        let workers = self.find_workers(step, &free, remaining, Locality::Any);
        if workers.len() < remaining.tasks as usize || remaining.tasks > self.startable {
            return false;
        }
        self.start_on(index, remaining, &workers, spread_time);
        true
    }

    /// Adds waiting tasks to the plan.
    fn record_wait(
        &mut self,
        index: usize,
        tasks: u32,
        reason: WaitReason,
        starts_in: Option<Duration>,
    ) {
        self.plan.waits.push(WaitingTasks {
            step: index,
            tasks,
            reason,
            starts_in,
        });
    }
}

impl RemainingTasks {
    /// Subtracts tasks that were placed on `workers`, one entry per task.
    fn remove_placed(&mut self, workers: &[usize]) {
        self.tasks -= u32::try_from(workers.len()).unwrap_or(u32::MAX);
        self.limits.record_placed(workers);
    }
}

/// Returns how many tasks may start beside those that run.
fn startable_tasks(snapshot: &Snapshot) -> u32 {
    let running = snapshot.running.iter().map(|run| run.allocations.len());
    let startable = MAX_RUNNING_TASKS.saturating_sub(running.sum());
    u32::try_from(startable).unwrap_or(u32::MAX)
}

/// Returns whether a step that would otherwise start in `starts_in` may preempt other runs.
fn may_preempt(step: &WaitingStep, starts_in: Duration) -> bool {
    if step.is_guaranteed {
        return starts_in
            > RECLAIM_GRACE_PERIOD
                .saturating_sub(step.waited)
                .max(STOP_TIME);
    }
    // Without a guarantee only steps of the highest priority preempt, and only if the job would be late
    // otherwise and can still be in time with the preemption.
    step.priority == 0 && starts_in > step.slack() && step.slack() > STOP_TIME
}

/// Returns the expected work of the waiting tasks of a step, in core-seconds.
fn work_core_s(step: &WaitingStep) -> f64 {
    let accelerator_cores = step
        .demand
        .accelerators
        .saturating_mul(CORES_PER_ACCELERATOR);
    let cores = accelerator_cores.saturating_add(step.demand.milli_cores / 1000);
    #[expect(clippy::cast_precision_loss, reason = "cores of a step")]
    let cores = cores as f64 * f64::from(step.count());
    cores * step.run_time.as_secs_f64()
}
