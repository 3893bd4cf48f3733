//! Choice of workers for the tasks of one step.
//!
//! Answers a load of mixed sizes: small tasks fill the fullest workers first, so that whole workers and
//! racks stay free for the large gangs.

use std::collections::BTreeMap;

use crate::Snapshot;
use crate::WaitingStep;
use crate::profile::Room;
use nutmegwalk_base::RackId;

/// A worker is not used when tasks take this many times as long there as elsewhere.
const TOO_SLOW: f64 = 2.0;

/// How far a place may be compromised.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Locality {
    /// Tasks run at full speed: in one rack if they are sensitive, near their data.
    Near,
    /// Tasks may be slowed down by the distance between racks.
    Any,
}

/// Number of tasks of a step that each worker may still take, apart from room.
pub(crate) type Allowance = Vec<u32>;

/// Returns what each worker may take of a step, apart from room.
pub(crate) fn allowance(snapshot: &Snapshot, step: &WaitingStep) -> Allowance {
    let allowed = |index: usize| {
        if !is_eligible(snapshot, step, index) {
            return 0;
        }
        step.max_tasks_per_worker.map_or(u32::MAX, |limit| {
            let there = step.step_tasks.iter().find(|(worker, _)| *worker == index);
            limit.saturating_sub(there.map_or(0, |(_, count)| *count))
        })
    };
    (0..snapshot.workers.len()).map(allowed).collect()
}

/// Returns whether tasks of the step may run on a worker at all.
fn is_eligible(snapshot: &Snapshot, step: &WaitingStep, index: usize) -> bool {
    let worker = &snapshot.workers[index];
    worker.accepts_tasks
        && worker.service == step.service
        && step
            .required_label
            .as_ref()
            .is_none_or(|label| worker.labels.contains(label))
        && !step.excluded.contains(&index)
        && step
            .allowed
            .as_ref()
            .is_none_or(|allowed| allowed.contains(&index))
        && worker.slowdown_factor < TOO_SLOW
        && worker.leaves_in.is_none_or(|left| left > step.run_time)
}

/// Finds workers for up to `tasks` tasks of a step in `room`: for all of them or none if it is a gang.
pub(crate) fn place(
    snapshot: &Snapshot,
    step: &WaitingStep,
    room: &Room,
    allowance: &Allowance,
    tasks: u32,
    locality: Locality,
) -> Vec<usize> {
    let counts: Vec<u32> = room
        .iter()
        .zip(allowance)
        .map(|(room, allowed)| {
            let by_room = u32::try_from(step.demand.count_fitting_in(*room)).unwrap_or(u32::MAX);
            by_room.min(*allowed).min(tasks)
        })
        .collect();
    let counts = match locality {
        Locality::Any => counts,
        Locality::Near => match near(snapshot, step, room, &counts, tasks) {
            Some(counts) => counts,
            None => return Vec::new(),
        },
    };
    let total: u64 = counts.iter().map(|count| u64::from(*count)).sum();
    if step.is_gang && total < u64::from(tasks) {
        return Vec::new();
    }
    deal(snapshot, step, room, &counts, tasks)
}

/// Leaves only the workers on which the tasks run at full speed.
fn near(
    snapshot: &Snapshot,
    step: &WaitingStep,
    room: &Room,
    counts: &[u32],
    tasks: u32,
) -> Option<Vec<u32>> {
    let rack = match &step.data_rack {
        Some(rack) => rack.clone(),
        None if step.is_rack_sensitive && (tasks > 1 || !step.step_tasks.is_empty()) => {
            rack_of_step(snapshot, step)
                .or_else(|| tightest_rack(snapshot, room, counts, tasks))
                .or_else(|| roomiest_rack(snapshot, step, counts, tasks))?
        }
        None => return Some(counts.to_vec()),
    };
    let keep = |(index, count): (usize, &u32)| {
        let is_there = snapshot.workers[index].rack.as_ref() == Some(&rack);
        if is_there { *count } else { 0 }
    };
    Some(counts.iter().enumerate().map(keep).collect())
}

/// Returns the rack on which other tasks of the step are.
fn rack_of_step(snapshot: &Snapshot, step: &WaitingStep) -> Option<RackId> {
    let (worker, _) = step.step_tasks.first()?;
    snapshot.workers[*worker].rack.clone()
}

/// Returns the rack that can take all the tasks and has the least room left over.
fn tightest_rack(snapshot: &Snapshot, room: &Room, counts: &[u32], tasks: u32) -> Option<RackId> {
    let mut racks: BTreeMap<&RackId, (u64, u64)> = BTreeMap::new();
    for (index, worker) in snapshot.workers.iter().enumerate() {
        if let Some(rack) = &worker.rack {
            let (count, free) = racks.entry(rack).or_default();
            *count += u64::from(counts[index]);
            *free += room[index].accelerators;
        }
    }
    racks
        .into_iter()
        .filter(|(_, (count, _))| *count >= u64::from(tasks))
        .min_by_key(|(_, (_, free))| *free)
        .map(|(rack, _)| rack.clone())
}

/// Returns the rack that can take the most of the tasks, if these can run there one after another faster
/// than spread over racks.
fn roomiest_rack(
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

/// Deals tasks to workers, the fullest sound ones first.
fn deal(
    snapshot: &Snapshot,
    step: &WaitingStep,
    room: &Room,
    counts: &[u32],
    tasks: u32,
) -> Vec<usize> {
    let mut order: Vec<usize> = (0..counts.len()).filter(|i| counts[*i] > 0).collect();
    let leftover = |index: usize| {
        let count = u64::from(counts[index]);
        room[index].minus(step.demand.times(count))
    };
    order.sort_by(|a, b| {
        let slowness = snapshot.workers[*a]
            .slowdown_factor
            .total_cmp(&snapshot.workers[*b].slowdown_factor);
        let (left_a, left_b) = (leftover(*a), leftover(*b));
        slowness
            .then(left_a.accelerators.cmp(&left_b.accelerators))
            .then(left_a.milli_cores.cmp(&left_b.milli_cores))
            .then(a.cmp(b))
    });
    let mut places = Vec::with_capacity(tasks as usize);
    for index in order {
        let missing = tasks as usize - places.len();
        places.extend(std::iter::repeat_n(
            index,
            missing.min(counts[index] as usize),
        ));
        if places.len() == tasks as usize {
            break;
        }
    }
    places
}
