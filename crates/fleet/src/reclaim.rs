//! Selection of the gangs to stop when capacity is needed on certain workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Fleet;
use crate::JobPhase;
use crate::Shape;

/// Capacity of a worker and the demand on it. The demand is kept as a sum rather than as the free remainder,
/// because the demand on a worker that shrank can exceed its capacity.
struct Load {
    capacity: Shape,
    demand: Shape,
}

impl Load {
    fn is_over(&self) -> bool {
        !self.demand.fits(self.capacity)
    }
}

impl Fleet {
    /// Chooses borrower gangs to stop as a whole so that `needs` become available, with little work lost.
    ///
    /// Returns `None` if stopping all borrowers is not enough.
    pub(crate) fn choose_victims(
        &self,
        needs: &[(usize, Shape)],
        now: Duration,
    ) -> Option<Vec<u64>> {
        let mut loads: BTreeMap<usize, Load> = BTreeMap::new();
        for (index, need) in needs {
            let worker = &self.workers.list[*index];
            let not_stopping = worker.used.minus(worker.stopping).plus(worker.claimed);
            let load = loads.entry(*index).or_insert(Load {
                capacity: worker.capacity,
                demand: not_stopping,
            });
            load.demand = load.demand.plus(*need);
        }
        let mut candidates: BTreeSet<u64> = BTreeSet::new();
        for (worker, _) in loads.iter().filter(|(_, load)| load.is_over()) {
            candidates.extend(self.workers.list[*worker].tasks.keys());
        }
        candidates.extend(&self.pending);
        candidates.retain(|seq| {
            let job = &self.jobs[seq];
            let is_claiming_borrower =
                job.phase == JobPhase::Reclaiming && job.assignment.is_none();
            job.is_borrower() || is_claiming_borrower
        });
        let mut victims = Vec::new();
        while loads.values().any(Load::is_over) {
            let best = candidates
                .iter()
                .map(|seq| (self.cost_per_freed_share(*seq, &loads, now), *seq))
                .filter(|(cost, _)| cost.is_finite())
                .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))?;
            candidates.remove(&best.1);
            self.update_loads(best.1, &mut loads, true);
            victims.push(best.1);
        }
        // A large victim that was chosen late may make earlier ones unnecessary.
        let mut kept = Vec::new();
        victims.sort_by(|a, b| {
            self.preemption_cost(*b, now)
                .total_cmp(&self.preemption_cost(*a, now))
        });
        for victim in victims {
            self.update_loads(victim, &mut loads, false);
            if loads.values().any(Load::is_over) {
                self.update_loads(victim, &mut loads, true);
                kept.push(victim);
            }
        }
        Some(kept)
    }

    /// Returns the cost of stopping a job, in accelerator-seconds; zero for a job that only has claims.
    fn preemption_cost(&self, seq: u64, now: Duration) -> f64 {
        let job = &self.jobs[&seq];
        if job.phase == JobPhase::Reclaiming {
            0.0
        } else {
            // A stop costs a restart even directly after a checkpoint, so each accelerator adds one second.
            job.work_at_risk(now) + job.spec.accelerators() as f64
        }
    }

    /// Returns the cost of stopping a job relative to the excess demand that the stop removes, in accelerators;
    /// infinite if it removes none.
    fn cost_per_freed_share(&self, seq: u64, loads: &BTreeMap<usize, Load>, now: Duration) -> f64 {
        let job = &self.jobs[&seq];
        let mut freed_share = 0.0;
        for (worker, tasks) in &job.placements {
            let Some(load) = loads.get(worker) else {
                continue;
            };
            let excess = load.demand.minus(load.capacity);
            let freed = job.spec.shape.times(*tasks).min(excess);
            // An accelerator usually goes with 16 cores and 32,768 MB, so these count as much as one accelerator.
            freed_share += f64::from(freed.accelerators)
                + f64::from(freed.cores) / 16.0
                + freed.memory_mb as f64 / 32_768.0;
        }
        if freed_share > 0.0 {
            self.preemption_cost(seq, now) / freed_share
        } else {
            f64::INFINITY
        }
    }

    /// Subtracts the demand of a job from the loads, or adds it back if `stop` is not set.
    fn update_loads(&self, seq: u64, loads: &mut BTreeMap<usize, Load>, stop: bool) {
        let job = &self.jobs[&seq];
        for (worker, tasks) in &job.placements {
            if let Some(load) = loads.get_mut(worker) {
                let freed = job.spec.shape.times(*tasks);
                load.demand = if stop {
                    load.demand.minus(freed)
                } else {
                    load.demand.plus(freed)
                };
            }
        }
    }
}
