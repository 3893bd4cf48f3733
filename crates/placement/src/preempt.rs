//! Choice of the runs that give way to a more urgent step.
//!
//! Answers a load in which all accelerators are taken by long work when an urgent job arrives. Whole units
//! are stopped, those first whose stop loses the least work.

use std::collections::BTreeSet;

use crate::RunningUnit;
use crate::Snapshot;
use crate::WaitingStep;
use crate::fit::Allowance;
use crate::fit::Locality;
use crate::fit::place;
use crate::profile::Room;
use nutmegwalk_base::RackId;

/// Factor on the work lost with a victim whose job becomes late by it.
const LATE_LOSS_FACTOR: f64 = 2.0;
/// Loss that each stop counts as in addition, in core-seconds: the time to stop and start again.
const STOP_LOSS_CORE_S: f64 = 5.0;

/// Runs that give way together.
#[derive(Clone, Debug)]
pub(crate) struct Victims {
    /// Positions in [`Snapshot::running`].
    pub(crate) running: Vec<usize>,
    /// What their stop loses, in core-seconds.
    pub(crate) loss_core_s: f64,
}

/// What victims are looked for.
pub(crate) struct Search<'a> {
    pub(crate) snapshot: &'a Snapshot,
    pub(crate) step: &'a WaitingStep,
    pub(crate) allowance: &'a Allowance,
    pub(crate) tasks: u32,
    pub(crate) locality: Locality,
    /// Runs that give way already.
    pub(crate) taken: &'a BTreeSet<usize>,
}

impl Search<'_> {
    /// Finds the runs whose stop makes room for the tasks with the least loss.
    ///
    /// `room` is what will be free when everything that is being stopped has ended.
    pub(crate) fn run(&self, room: &Room) -> Option<Victims> {
        let racks: BTreeSet<Option<&RackId>> =
            if self.locality == Locality::Near && self.step.is_rack_sensitive && self.tasks > 1 {
                let workers = self.snapshot.workers.iter();
                workers
                    .map(|worker| worker.rack.as_ref())
                    .filter(Option::is_some)
                    .collect()
            } else {
                BTreeSet::from([None])
            };
        racks
            .into_iter()
            .filter_map(|rack| self.run_in(room, rack))
            .min_by(|a, b| a.loss_core_s.total_cmp(&b.loss_core_s))
    }

    /// Finds victims on the workers of one rack, or on all workers.
    fn run_in(&self, room: &Room, rack: Option<&RackId>) -> Option<Victims> {
        let is_here = |worker: usize| {
            self.allowance[worker] > 0
                && (rack.is_none() || self.snapshot.workers[worker].rack.as_ref() == rack)
        };
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
        let mut candidates: Vec<usize> = (0..self.snapshot.running.len())
            .filter(|index| {
                let victim = &self.snapshot.running[*index];
                !self.taken.contains(index)
                    && must_give_way(self.step, victim)
                    && victim
                        .allocations
                        .iter()
                        .any(|(worker, _)| is_here(*worker))
            })
            .collect();
        candidates.sort_by(|a, b| self.cost(*a).total_cmp(&self.cost(*b)));
        let mut chosen = Vec::new();
        for index in candidates {
            if self.fits(&room) {
                break;
            }
            give(&mut room, &self.snapshot.running[index], &is_here);
            chosen.push(index);
        }
        if !self.fits(&room) {
            return None;
        }
        self.spare_needless(&mut room, &mut chosen, &is_here);
        let loss_core_s = chosen.iter().map(|index| self.cost(*index)).sum();
        Some(Victims {
            running: chosen,
            loss_core_s,
        })
    }

    fn fits(&self, room: &Room) -> bool {
        let places = place(
            self.snapshot,
            self.step,
            room,
            self.allowance,
            self.tasks,
            self.locality,
        );
        places.len() == self.tasks as usize
    }

    /// Keeps the victims whose room is not needed after all, the most costly first.
    fn spare_needless(
        &self,
        room: &mut Room,
        chosen: &mut Vec<usize>,
        is_here: &dyn Fn(usize) -> bool,
    ) {
        for position in (0..chosen.len()).rev() {
            let victim = &self.snapshot.running[chosen[position]];
            let mut without = room.clone();
            for (worker, size) in victim
                .allocations
                .iter()
                .filter(|(worker, _)| is_here(*worker))
            {
                without[*worker] = without[*worker].minus(*size);
            }
            if self.fits(&without) {
                *room = without;
                chosen.remove(position);
            }
        }
    }

    /// Returns what the stop of a run loses, in core-seconds.
    fn cost(&self, index: usize) -> f64 {
        let victim = &self.snapshot.running[index];
        let becomes_late = victim.slack < victim.remaining;
        let factor = if becomes_late { LATE_LOSS_FACTOR } else { 1.0 };
        victim.loss_core_s * factor + STOP_LOSS_CORE_S
    }
}

/// Returns whether `victim` has to give way to `step`.
fn must_give_way(step: &WaitingStep, victim: &RunningUnit) -> bool {
    victim.is_preemptible
        && !victim.is_ending
        && !victim.is_guaranteed
        && (victim.priority > step.priority
            || (step.is_guaranteed && victim.priority >= step.priority))
}

fn give(room: &mut Room, victim: &RunningUnit, is_here: &dyn Fn(usize) -> bool) {
    for (worker, size) in victim
        .allocations
        .iter()
        .filter(|(worker, _)| is_here(*worker))
    {
        room[*worker] = room[*worker].plus(*size);
    }
}
