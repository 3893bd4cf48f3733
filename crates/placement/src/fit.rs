//! Choice of workers for one unit.
//!
//! Answers a load of mixed sizes: small tasks fill the fullest workers first, so that whole workers and
//! racks stay free for the large gangs.

use std::collections::BTreeMap;

use nutmegwalk_base::RackId;
use nutmegwalk_workload::Resources;

use crate::Snapshot;
use crate::WaitingUnit;

/// Free room of each worker, in the order of [`Snapshot::workers`].
pub(crate) type Room = Vec<Resources>;

/// A worker is not used when tasks take this many times as long there as elsewhere.
const TOO_SLOW: f64 = 2.0;

/// How far a place for a unit may be compromised.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Locality {
    /// Tasks run at full speed: in one rack if they are sensitive, near their data.
    Near,
    /// Tasks may be slowed down by the distance between racks.
    Any,
}

/// Finds workers for all tasks of a unit in `room`.
pub(crate) fn place(
    snapshot: &Snapshot,
    unit: &WaitingUnit,
    room: &Room,
    locality: Locality,
) -> Option<Vec<usize>> {
    let counts = counts(snapshot, unit, room);
    match locality {
        Locality::Any => fill(snapshot, unit, room, &counts),
        Locality::Near => {
            if let Some(rack) = &unit.data_rack {
                return fill(snapshot, unit, room, &only_rack(snapshot, &counts, rack));
            }
            if !unit.is_rack_sensitive || unit.tasks == 1 {
                return fill(snapshot, unit, room, &counts);
            }
            let rack = tightest_rack(snapshot, unit, room, &counts)?;
            fill(snapshot, unit, room, &only_rack(snapshot, &counts, &rack))
        }
    }
}

/// Returns the number of tasks of the unit that each worker can take.
pub(crate) fn counts(snapshot: &Snapshot, unit: &WaitingUnit, room: &Room) -> Vec<u32> {
    let count = |index: usize| {
        if !is_eligible(snapshot, unit, index) {
            return 0;
        }
        let by_room = unit.demand.count_in(room[index]);
        let by_room = u32::try_from(by_room).unwrap_or(u32::MAX);
        let by_spread = unit.max_tasks_per_worker.map_or(u32::MAX, |limit| {
            let there = unit.step_tasks.iter().find(|(worker, _)| *worker == index);
            limit.saturating_sub(there.map_or(0, |(_, count)| *count))
        });
        by_room.min(by_spread).min(unit.tasks)
    };
    (0..snapshot.workers.len()).map(count).collect()
}

/// Returns whether tasks of the unit may run on a worker at all.
fn is_eligible(snapshot: &Snapshot, unit: &WaitingUnit, index: usize) -> bool {
    let worker = &snapshot.workers[index];
    worker.is_open
        && worker.service == unit.service
        && unit
            .required_label
            .as_ref()
            .is_none_or(|label| worker.labels.contains(label))
        && !unit.excluded.contains(&index)
        && unit
            .allowed
            .as_ref()
            .is_none_or(|allowed| allowed.contains(&index))
        && worker.slowness < TOO_SLOW
        && worker.leaves_in.is_none_or(|left| left > unit.run_time)
}

fn only_rack(snapshot: &Snapshot, counts: &[u32], rack: &RackId) -> Vec<u32> {
    let keep = |(index, count): (usize, &u32)| {
        let is_there = snapshot.workers[index].rack.as_ref() == Some(rack);
        if is_there { *count } else { 0 }
    };
    counts.iter().enumerate().map(keep).collect()
}

/// Returns the rack that can take the whole unit and has the least room left over.
fn tightest_rack(
    snapshot: &Snapshot,
    unit: &WaitingUnit,
    room: &Room,
    counts: &[u32],
) -> Option<RackId> {
    let mut racks: BTreeMap<&RackId, (u64, u64)> = BTreeMap::new();
    for (index, worker) in snapshot.workers.iter().enumerate() {
        if let Some(rack) = &worker.rack {
            let (tasks, free) = racks.entry(rack).or_default();
            *tasks += u64::from(counts[index]);
            *free += room[index].accelerators;
        }
    }
    racks
        .into_iter()
        .filter(|(_, (tasks, _))| *tasks >= u64::from(unit.tasks))
        .min_by_key(|(_, (_, free))| *free)
        .map(|(rack, _)| rack.clone())
}

/// Deals the tasks to workers, the fullest sound ones first.
fn fill(
    snapshot: &Snapshot,
    unit: &WaitingUnit,
    room: &Room,
    counts: &[u32],
) -> Option<Vec<usize>> {
    let total: u64 = counts.iter().map(|count| u64::from(*count)).sum();
    if total < u64::from(unit.tasks) {
        return None;
    }
    let mut order: Vec<usize> = (0..counts.len()).filter(|i| counts[*i] > 0).collect();
    let leftover = |index: usize| {
        let count = u64::from(counts[index]);
        room[index].minus(unit.demand.times(count))
    };
    order.sort_by(|a, b| {
        let slowness = snapshot.workers[*a]
            .slowness
            .total_cmp(&snapshot.workers[*b].slowness);
        let (left_a, left_b) = (leftover(*a), leftover(*b));
        slowness
            .then(left_a.accelerators.cmp(&left_b.accelerators))
            .then(left_a.milli_cores.cmp(&left_b.milli_cores))
            .then(a.cmp(b))
    });
    let mut places = Vec::with_capacity(unit.tasks as usize);
    for index in order {
        let missing = unit.tasks as usize - places.len();
        places.extend(std::iter::repeat_n(
            index,
            missing.min(counts[index] as usize),
        ));
        if places.len() == unit.tasks as usize {
            return Some(places);
        }
    }
    None
}

/// Takes the room of a placed unit.
pub(crate) fn take(room: &mut Room, unit: &WaitingUnit, places: &[usize]) {
    for index in places {
        room[*index] = room[*index].minus(unit.demand);
    }
}
