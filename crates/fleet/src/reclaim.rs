//! Choice of the gangs to stop when room is needed on certain workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Fleet;
use crate::JobPhase;
use crate::Shape;

/// What one worker would have to hold. Kept as a sum, because a worker that shrank holds more than
/// its capacity.
struct Load {
    capacity: Shape,
    wanted: Shape,
}

impl Load {
    fn is_over(&self) -> bool {
        !self.wanted.fits(self.capacity)
    }
}

impl Fleet {
    /// Chooses whole borrower gangs whose stop makes room for `needs`, with little work lost.
    ///
    /// Returns none if stopping all borrowers is not enough.
    pub(crate) fn choose_victims(
        &self,
        needs: &[(usize, Shape)],
        now: Duration,
    ) -> Option<Vec<u64>> {
        let mut loads: BTreeMap<usize, Load> = BTreeMap::new();
        for (index, need) in needs {
            let worker = &self.workers.list[*index];
            let staying = worker.used.minus(worker.stopping).plus(worker.claimed);
            let load = loads.entry(*index).or_insert(Load {
                capacity: worker.capacity,
                wanted: staying,
            });
            load.wanted = load.wanted.plus(*need);
        }
        let mut candidates: BTreeSet<u64> = BTreeSet::new();
        for (worker, _) in loads.iter().filter(|(_, load)| load.is_over()) {
            candidates.extend(self.workers.list[*worker].tasks.keys());
        }
        candidates.extend(&self.pending);
        candidates.retain(|seq| {
            let job = &self.jobs[seq];
            let claims = job.phase == JobPhase::Reclaiming && job.assignment.is_none();
            job.is_borrower() || claims
        });
        let mut victims = Vec::new();
        while loads.values().any(Load::is_over) {
            let best = candidates
                .iter()
                .map(|seq| (self.cost_of_relief(*seq, &loads, now), *seq))
                .filter(|(cost, _)| cost.is_finite())
                .min_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)))?;
            candidates.remove(&best.1);
            self.relieve(best.1, &mut loads, true);
            victims.push(best.1);
        }
        // A large victim chosen late may make earlier ones unnecessary.
        let mut kept = Vec::new();
        victims.sort_by(|one, other| self.risk(*other, now).total_cmp(&self.risk(*one, now)));
        for victim in victims {
            self.relieve(victim, &mut loads, false);
            if loads.values().any(Load::is_over) {
                self.relieve(victim, &mut loads, true);
                kept.push(victim);
            }
        }
        Some(kept)
    }

    fn risk(&self, seq: u64, now: Duration) -> f64 {
        let job = &self.jobs[&seq];
        if job.phase == JobPhase::Reclaiming {
            0.0
        } else {
            // Stopping costs a restart even right after a checkpoint.
            job.work_at_risk(now) + job.spec.accelerators() as f64
        }
    }

    fn cost_of_relief(&self, seq: u64, loads: &BTreeMap<usize, Load>, now: Duration) -> f64 {
        let job = &self.jobs[&seq];
        let mut relief = 0.0;
        for (worker, tasks) in &job.placements {
            let Some(load) = loads.get(worker) else {
                continue;
            };
            let lacking = load.wanted.minus(load.capacity);
            let freed = job.spec.shape.times(*tasks).min(lacking);
            // Cores and memory count as the share of an accelerator that they usually go with.
            relief += f64::from(freed.accelerators)
                + f64::from(freed.cores) / 16.0
                + freed.memory_mb as f64 / 32_768.0;
        }
        if relief > 0.0 {
            self.risk(seq, now) / relief
        } else {
            f64::INFINITY
        }
    }

    fn relieve(&self, seq: u64, loads: &mut BTreeMap<usize, Load>, stop: bool) {
        let job = &self.jobs[&seq];
        for (worker, tasks) in &job.placements {
            if let Some(load) = loads.get_mut(worker) {
                let freed = job.spec.shape.times(*tasks);
                load.wanted = if stop {
                    load.wanted.minus(freed)
                } else {
                    load.wanted.plus(freed)
                };
            }
        }
    }
}
