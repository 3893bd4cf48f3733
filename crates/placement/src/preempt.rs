//! Choice of the runs that give way to a more urgent unit.
//!
//! Answers a load in which all accelerators are taken by long work when an urgent job arrives. Whole units
//! are stopped, those first whose stop loses the least work.

use std::collections::BTreeSet;

use nutmegwalk_base::RackId;

use crate::RunningUnit;
use crate::Snapshot;
use crate::WaitingUnit;
use crate::fit::Locality;
use crate::fit::Room;
use crate::fit::place;

/// Returns whether `victim` has to give way to `unit`.
fn must_give_way(unit: &WaitingUnit, victim: &RunningUnit) -> bool {
    victim.may_give_way
        && !victim.is_ending
        && !victim.is_guaranteed
        && (victim.priority > unit.priority
            || (unit.is_guaranteed && victim.priority >= unit.priority))
}

/// Finds the runs whose stop makes room for the unit with the least loss.
///
/// `room` is what will be free when everything that is being stopped has ended.
pub(crate) fn victims(
    snapshot: &Snapshot,
    unit: &WaitingUnit,
    room: &Room,
    locality: Locality,
) -> Option<(Vec<usize>, f64)> {
    let racks: BTreeSet<Option<&RackId>> =
        if locality == Locality::Near && unit.is_rack_sensitive && unit.tasks > 1 {
            let racks = snapshot.workers.iter().map(|worker| worker.rack.as_ref());
            racks.filter(Option::is_some).collect()
        } else {
            BTreeSet::from([None])
        };
    racks
        .into_iter()
        .filter_map(|rack| victims_in(snapshot, unit, room, locality, rack))
        .min_by(|a, b| a.1.total_cmp(&b.1))
}

/// Finds victims on the workers of one rack, or on all workers.
fn victims_in(
    snapshot: &Snapshot,
    unit: &WaitingUnit,
    room: &Room,
    locality: Locality,
    rack: Option<&RackId>,
) -> Option<(Vec<usize>, f64)> {
    let is_here = |worker: usize| rack.is_none() || snapshot.workers[worker].rack.as_ref() == rack;
    let mut room: Room = room
        .iter()
        .enumerate()
        .map(|(worker, free)| {
            if is_here(worker) {
                *free
            } else {
                Default::default()
            }
        })
        .collect();
    let mut candidates: Vec<usize> = (0..snapshot.running.len())
        .filter(|index| {
            let victim = &snapshot.running[*index];
            must_give_way(unit, victim) && victim.seats.iter().any(|(worker, _)| is_here(*worker))
        })
        .collect();
    candidates.sort_by(|a, b| cost(&snapshot.running[*a]).total_cmp(&cost(&snapshot.running[*b])));
    let mut chosen = Vec::new();
    for index in candidates {
        if place(snapshot, unit, &room, locality).is_some() {
            break;
        }
        give(&mut room, &snapshot.running[index], &is_here);
        chosen.push(index);
    }
    place(snapshot, unit, &room, locality)?;
    spare_needless(snapshot, unit, &mut room, locality, &mut chosen, &is_here);
    let loss = chosen
        .iter()
        .map(|index| cost(&snapshot.running[*index]))
        .sum();
    Some((chosen, loss))
}

/// Keeps the victims whose room is not needed after all, the most costly first.
fn spare_needless(
    snapshot: &Snapshot,
    unit: &WaitingUnit,
    room: &mut Room,
    locality: Locality,
    chosen: &mut Vec<usize>,
    is_here: &dyn Fn(usize) -> bool,
) {
    for position in (0..chosen.len()).rev() {
        let victim = &snapshot.running[chosen[position]];
        let mut without = room.clone();
        for (worker, size) in victim.seats.iter().filter(|(worker, _)| is_here(*worker)) {
            without[*worker] = without[*worker].minus(*size);
        }
        if place(snapshot, unit, &without, locality).is_some() {
            *room = without;
            chosen.remove(position);
        }
    }
}

fn give(room: &mut Room, victim: &RunningUnit, is_here: &dyn Fn(usize) -> bool) {
    for (worker, size) in victim.seats.iter().filter(|(worker, _)| is_here(*worker)) {
        room[*worker] = room[*worker].plus(*size);
    }
}

/// Work that is lost by a stop; a job that becomes late by it counts double.
fn cost(victim: &RunningUnit) -> f64 {
    let is_tight = victim.slack < victim.remaining;
    victim.loss_core_s * if is_tight { 2.0 } else { 1.0 } + 1.0
}
