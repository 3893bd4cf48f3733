//! Selection of workers for the tasks of one step (best fit).
//!
//! Small tasks fill the fullest workers first, so that under a load of mixed sizes whole workers and racks
//! stay free for large gangs.

use std::collections::BTreeMap;

use crate::Snapshot;
use crate::WaitingStep;
use crate::limits::StepLimits;
use crate::profile::FreeResources;
use nutmegwalk_base::RackId;
use nutmegwalk_workload::CrashRisk;
use nutmegwalk_workload::Resources;

/// Slowdown factor at and above which a worker gets no tasks.
const MAX_SLOWDOWN_FACTOR: f64 = 2.0;

/// Number of tasks of a gang that one worker starts quickly. The members wait only a few seconds for each other, so a larger
/// gang is spread over more workers.
const MAX_QUICK_STARTS: u32 = 128;

/// Constraint on the distance of tasks from each other and from their data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Locality {
    /// Tasks run at full speed: in the rack of their data, and in one rack if they are rack-sensitive.
    Local,
    /// Tasks may be placed in any rack and be slowed down by the distance.
    Any,
}

/// Returns whether a worker may run tasks of the step.
pub(crate) fn is_eligible(snapshot: &Snapshot, step: &WaitingStep, index: usize) -> bool {
    let worker = &snapshot.workers[index];
    worker.accepts_tasks
        && worker.service == step.service
        && step
            .required_label
            .as_ref()
            .is_none_or(|label| worker.labels.contains(label))
        && step
            .allowed
            .as_ref()
            .is_none_or(|allowed| allowed.contains(&index))
        && worker.slowdown_factor < MAX_SLOWDOWN_FACTOR
        && worker
            .leaves_in
            .is_none_or(|leaves_in| leaves_in > step.run_time)
}

/// Returns workers with enough `free` resources for up to `tasks` tasks of a step, one entry per task.
///
/// For a gang it returns workers for all tasks or none.
pub(crate) fn find_workers(
    snapshot: &Snapshot,
    step: &WaitingStep,
    free: &FreeResources,
    limits: &StepLimits,
    tasks: u32,
    locality: Locality,
) -> Vec<usize> {
    let Some(mut counts) = counts(snapshot, step, free, limits, tasks, locality) else {
        return Vec::new();
    };
    if step.is_gang {
        if total(&counts) < u64::from(tasks) {
            return Vec::new();
        }
        spread(&mut counts, tasks);
    }
    assign_tasks(snapshot, step, free, &counts, tasks)
}

/// Reduces the counts of the workers with the most tasks of a gang as far as all tasks still fit, but not below
/// [`MAX_QUICK_STARTS`].
fn spread(counts: &mut [u32], tasks: u32) {
    let fits = |limit: u32| {
        let limited = counts.iter().map(|count| u64::from(*count.min(&limit)));
        limited.sum::<u64>() >= u64::from(tasks)
    };
    let (mut low, mut high) = (MAX_QUICK_STARTS, tasks.max(MAX_QUICK_STARTS));
    while low < high {
        let middle = low + (high - low) / 2;
        if fits(middle) {
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    counts
        .iter_mut()
        .for_each(|count| *count = (*count).min(low));
}

/// Returns whether `tasks` tasks of a step fit into `free`, which is cheaper than [`find_workers`].
pub(crate) fn fits(
    snapshot: &Snapshot,
    step: &WaitingStep,
    free: &FreeResources,
    limits: &StepLimits,
    tasks: u32,
    locality: Locality,
) -> bool {
    counts(snapshot, step, free, limits, tasks, locality)
        .is_some_and(|counts| total(&counts) >= u64::from(tasks))
}

/// Returns whether [`find_workers`] finds any worker, which takes less time.
pub(crate) fn can_start(
    snapshot: &Snapshot,
    step: &WaitingStep,
    free: &FreeResources,
    limits: &StepLimits,
    tasks: u32,
    locality: Locality,
) -> bool {
    let required = if step.is_gang { tasks } else { 1 };
    counts(snapshot, step, free, limits, tasks, locality)
        .is_some_and(|counts| total(&counts) >= u64::from(required))
}

/// Returns the number of tasks of a step that fit on each worker, at most `tasks`; `None` if the step requires a
/// rack and none is suitable, or if it is a gang and not all tasks fit.
fn counts(
    snapshot: &Snapshot,
    step: &WaitingStep,
    free: &FreeResources,
    limits: &StepLimits,
    tasks: u32,
    locality: Locality,
) -> Option<Vec<u32>> {
    let counts: Vec<u32> = free
        .iter()
        .zip(limits.max_tasks())
        .map(|(free, allowed)| count_on(step, *free, *allowed, tasks))
        .collect();
    if step.is_gang && total(&counts) < u64::from(tasks) {
        return None;
    }
    match locality {
        Locality::Any => Some(counts),
        Locality::Local => restrict_to_rack(snapshot, step, free, limits, counts, tasks),
    }
}

/// Returns the number of tasks of a step that fit into the free resources of one worker, at most `tasks`.
pub(crate) fn count_on(step: &WaitingStep, free: Resources, allowed: u32, tasks: u32) -> u32 {
    let has_room = free.accelerators >= step.demand.accelerators
        && free.memory_mb >= step.demand.memory_mb
        && free.milli_cores >= step.demand.milli_cores;
    // Most workers of a busy deployment are full, and the divisions below take far longer than comparisons.
    if allowed == 0 || !has_room {
        return 0;
    }
    let by_resources = u32::try_from(step.demand.count_fitting_in(free)).unwrap_or(u32::MAX);
    by_resources.min(allowed).min(tasks)
}

fn total(counts: &[u32]) -> u64 {
    counts.iter().map(|count| u64::from(*count)).sum()
}

/// Returns whether a placement of `tasks` tasks of a step with `locality` is limited to one rack.
pub(crate) fn needs_rack(
    step: &WaitingStep,
    limits: &StepLimits,
    tasks: u32,
    locality: Locality,
) -> bool {
    let keeps_together = step.is_rack_sensitive && (tasks > 1 || limits.started_on().is_some());
    locality == Locality::Local && (step.data_rack.is_some() || keeps_together)
}

/// Sets the task counts of all workers outside the required rack to zero.
///
/// The counts are unchanged if no rack is required; `None` if one is required and none is suitable.
fn restrict_to_rack(
    snapshot: &Snapshot,
    step: &WaitingStep,
    free: &FreeResources,
    limits: &StepLimits,
    mut counts: Vec<u32>,
    tasks: u32,
) -> Option<Vec<u32>> {
    if !needs_rack(step, limits, tasks, Locality::Local) {
        return Some(counts);
    }
    let rack = match &step.data_rack {
        Some(rack) => rack.clone(),
        None => rack_of_step(snapshot, limits)
            .or_else(|| best_fit_rack(snapshot, free, &counts, tasks))
            .or_else(|| largest_rack(snapshot, step, &counts, tasks))?,
    };
    for (count, worker) in counts.iter_mut().zip(&snapshot.workers) {
        if worker.rack.as_ref() != Some(&rack) {
            *count = 0;
        }
    }
    Some(counts)
}

/// Returns the rack in which tasks of the step have been started already.
fn rack_of_step(snapshot: &Snapshot, limits: &StepLimits) -> Option<RackId> {
    snapshot.workers[limits.started_on()?].rack.clone()
}

/// Returns the rack with the fewest free accelerators among those that fit all tasks.
fn best_fit_rack(
    snapshot: &Snapshot,
    free: &FreeResources,
    counts: &[u32],
    tasks: u32,
) -> Option<RackId> {
    let mut racks: BTreeMap<&RackId, (u64, u64)> = BTreeMap::new();
    for (index, worker) in snapshot.workers.iter().enumerate() {
        if let Some(rack) = &worker.rack {
            let (count, free_accelerators) = racks.entry(rack).or_default();
            *count += u64::from(counts[index]);
            *free_accelerators += free[index].accelerators;
        }
    }
    racks
        .into_iter()
        .filter(|(_, (count, _))| *count >= u64::from(tasks))
        .min_by_key(|(_, (_, free_accelerators))| *free_accelerators)
        .map(|(rack, _)| rack.clone())
}

/// Returns the rack that fits the most tasks at the same time, if running all tasks there in waves is faster
/// than spreading them over racks. `None` for a gang, whose tasks must start together.
fn largest_rack(
    snapshot: &Snapshot,
    step: &WaitingStep,
    counts: &[u32],
    tasks: u32,
) -> Option<RackId> {
    if step.is_gang {
        return None;
    }
    let mut racks: BTreeMap<&RackId, u32> = BTreeMap::new();
    for (index, worker) in snapshot.workers.iter().enumerate() {
        if let Some(rack) = &worker.rack {
            *racks.entry(rack).or_default() += counts[index];
        }
    }
    let (rack, count) = racks.into_iter().max_by_key(|(_, count)| *count)?;
    let waves = f64::from(tasks.div_ceil(count.max(1)));
    (count > 0 && waves < snapshot.spread_factor).then(|| rack.clone())
}

/// Assigns tasks to workers: the least slowed-down workers first, then the ones whose runs are least likely to crash
/// them, and among these the ones with the fewest resources left after the assignment. Tasks that may crash their
/// workers are assigned to the ones with the most resources left instead, which have the least to lose.
fn assign_tasks(
    snapshot: &Snapshot,
    step: &WaitingStep,
    free: &FreeResources,
    counts: &[u32],
    tasks: u32,
) -> Vec<usize> {
    let mut order: Vec<usize> = (0..counts.len()).filter(|i| counts[*i] > 0).collect();
    let leftover = |index: usize| {
        let count = u64::from(counts[index]);
        free[index].minus(step.demand.times(count))
    };
    order.sort_by(|a, b| {
        let by_slowdown = snapshot.workers[*a]
            .slowdown_factor
            .total_cmp(&snapshot.workers[*b].slowdown_factor);
        let (left_a, left_b) = (leftover(*a), leftover(*b));
        let by_risk = snapshot.workers[*a]
            .crash_risk
            .cmp(&snapshot.workers[*b].crash_risk);
        let by_leftover = left_a
            .accelerators
            .cmp(&left_b.accelerators)
            .then(left_a.milli_cores.cmp(&left_b.milli_cores));
        let by_leftover = if step.crash_risk > CrashRisk::Low && !step.is_gang {
            by_leftover.reverse()
        } else {
            by_leftover
        };
        by_slowdown.then(by_risk).then(by_leftover).then(a.cmp(b))
    });
    let mut assigned = Vec::with_capacity(tasks as usize);
    for index in order {
        let remaining = tasks as usize - assigned.len();
        assigned.extend(std::iter::repeat_n(
            index,
            remaining.min(counts[index] as usize),
        ));
        if assigned.len() == tasks as usize {
            break;
        }
    }
    assigned
}
