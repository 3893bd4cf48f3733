//! Selection of the runs to preempt for a more urgent step.
//!
//! When long runs occupy all accelerators, an urgent step starts in time only if some of them are stopped.
//! Units are stopped as a whole, those first that lose the least work.

use std::collections::BTreeSet;

use crate::RunningUnit;
use crate::Snapshot;
use crate::WaitingStep;
use crate::fit::Locality;
use crate::fit::count_on;
use crate::fit::fits;
use crate::fit::needs_rack;
use crate::limits::StepLimits;
use crate::profile::FreeResources;
use nutmegwalk_base::RackId;
use nutmegwalk_workload::Resources;

/// Factor on the lost work of a victim whose job becomes late by the preemption.
const LATE_LOSS_FACTOR: f64 = 2.0;
/// Fixed cost added for each victim, in core-seconds, for stopping and restarting it.
const STOP_LOSS_CORE_S: f64 = 5.0;

/// Runs that are preempted together.
#[derive(Clone, Debug)]
pub(crate) struct Victims {
    /// Positions in [`Snapshot::running`].
    pub(crate) running: Vec<usize>,
    /// Total cost of their preemption, in core-seconds.
    pub(crate) loss_core_s: f64,
}

/// Search for the runs to preempt for one step.
pub(crate) struct VictimSearch<'a> {
    pub(crate) snapshot: &'a Snapshot,
    pub(crate) step: &'a WaitingStep,
    pub(crate) limits: &'a StepLimits,
    pub(crate) tasks: u32,
    pub(crate) locality: Locality,
    /// Positions in [`Snapshot::running`] of the runs that the decision stops already.
    pub(crate) stopped_runs: &'a BTreeSet<usize>,
}

impl VictimSearch<'_> {
    /// Returns the runs whose preemption frees enough resources for the tasks at the lowest cost.
    ///
    /// `free` holds the resources that are free once all runs that are being stopped have ended.
    pub(crate) fn find(&self, free: &FreeResources) -> Option<Victims> {
        let racks: BTreeSet<Option<&RackId>> =
            if self.locality == Locality::Local && self.step.is_rack_sensitive && self.tasks > 1 {
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
            .filter_map(|rack| self.find_on(free, rack))
            .min_by(|a, b| a.loss_core_s.total_cmp(&b.loss_core_s))
    }

    /// Returns victims on the workers of one rack, or on all workers if `rack` is `None`.
    fn find_on(&self, free: &FreeResources, rack: Option<&RackId>) -> Option<Victims> {
        let is_in_scope = |worker: usize| {
            self.limits.max_tasks_on(worker) > 0
                && (rack.is_none() || self.snapshot.workers[worker].rack.as_ref() == rack)
        };
        let free = free
            .iter()
            .enumerate()
            .map(|(worker, free)| {
                if is_in_scope(worker) {
                    *free
                } else {
                    Resources::default()
                }
            })
            .collect();
        let mut room = Room::new(self, free);
        let mut candidates: Vec<usize> = (0..self.snapshot.running.len())
            .filter(|index| {
                let victim = &self.snapshot.running[*index];
                !self.stopped_runs.contains(index)
                    && is_preemptible_for(self.step, victim)
                    && victim
                        .allocations
                        .iter()
                        .any(|(worker, _)| is_in_scope(*worker))
            })
            .collect();
        candidates.sort_by(|a, b| self.cost(*a).total_cmp(&self.cost(*b)));
        let mut chosen = Vec::new();
        for index in candidates {
            if room.fits() {
                break;
            }
            room.release(&self.snapshot.running[index], &is_in_scope);
            chosen.push(index);
        }
        if !room.fits() {
            return None;
        }
        self.drop_unneeded(&mut room, &mut chosen, &is_in_scope);
        let loss_core_s = chosen.iter().map(|index| self.cost(*index)).sum();
        Some(Victims {
            running: chosen,
            loss_core_s,
        })
    }

    /// Removes the victims whose resources turn out not to be needed, starting with the most costly. The
    /// candidates were added in order of cost, so a later one can make earlier ones unnecessary.
    fn drop_unneeded(
        &self,
        room: &mut Room,
        chosen: &mut Vec<usize>,
        is_in_scope: &dyn Fn(usize) -> bool,
    ) {
        for position in (0..chosen.len()).rev() {
            let victim = &self.snapshot.running[chosen[position]];
            room.occupy(victim, is_in_scope);
            if room.fits() {
                chosen.remove(position);
            } else {
                room.release(victim, is_in_scope);
            }
        }
    }

    /// Returns the cost of preempting a run, in core-seconds.
    fn cost(&self, index: usize) -> f64 {
        let victim = &self.snapshot.running[index];
        let becomes_late = victim.slack < victim.remaining;
        let factor = if becomes_late { LATE_LOSS_FACTOR } else { 1.0 };
        victim.loss_core_s * factor + STOP_LOSS_CORE_S
    }
}

/// Returns whether `victim` may be preempted for `step`.
fn is_preemptible_for(step: &WaitingStep, victim: &RunningUnit) -> bool {
    victim.is_preemptible
        && !victim.is_ending
        && !victim.is_guaranteed
        && (victim.priority > step.priority
            || (step.is_guaranteed && victim.priority >= step.priority))
}

/// Room for the tasks of a search while victims are added and removed.
///
/// The number of tasks that fit is kept for each worker, so that a victim costs as much as it has tasks.
struct Room<'a> {
    search: &'a VictimSearch<'a>,
    free: FreeResources,
    counts: Vec<u32>,
    total: u64,
    is_in_one_rack: bool,
}

impl<'a> Room<'a> {
    fn new(search: &'a VictimSearch<'a>, free: FreeResources) -> Self {
        let workers = free.len();
        let mut room = Self {
            search,
            free,
            counts: vec![0; workers],
            total: 0,
            is_in_one_rack: needs_rack(search.step, search.limits, search.tasks, search.locality),
        };
        (0..workers).for_each(|worker| room.recount(worker));
        room
    }

    /// Returns whether all tasks of the search fit.
    fn fits(&self) -> bool {
        if self.total < u64::from(self.search.tasks) {
            return false;
        }
        !self.is_in_one_rack
            || fits(
                self.search.snapshot,
                self.search.step,
                &self.free,
                self.search.limits,
                self.search.tasks,
                self.search.locality,
            )
    }

    /// Adds the resources that stopping `victim` releases on the workers in scope.
    fn release(&mut self, victim: &RunningUnit, is_in_scope: &dyn Fn(usize) -> bool) {
        for (worker, size) in &victim.allocations {
            if is_in_scope(*worker) {
                self.free[*worker] = self.free[*worker].plus(*size);
                self.recount(*worker);
            }
        }
    }

    /// Takes back the resources that `victim` releases on the workers in scope.
    fn occupy(&mut self, victim: &RunningUnit, is_in_scope: &dyn Fn(usize) -> bool) {
        for (worker, size) in &victim.allocations {
            if is_in_scope(*worker) {
                self.free[*worker] = self.free[*worker].minus(*size);
                self.recount(*worker);
            }
        }
    }

    fn recount(&mut self, worker: usize) {
        let search = self.search;
        let allowed = search.limits.max_tasks_on(worker);
        let count = count_on(search.step, self.free[worker], allowed, search.tasks);
        let before = std::mem::replace(&mut self.counts[worker], count);
        self.total = self.total + u64::from(count) - u64::from(before);
    }
}
