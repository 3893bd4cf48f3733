//! Choice of the gangs to stop when room is needed on certain workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Fleet;
use crate::JobPhase;
use crate::Shape;

impl Fleet {
    /// Chooses whole borrower gangs whose stop makes room for `needs`, with little work lost.
    ///
    /// Returns none if stopping all borrowers is not enough.
    pub(crate) fn choose_victims(
        &self,
        needs: &[(usize, Shape)],
        now: Duration,
    ) -> Option<Vec<u64>> {
        let mut room: BTreeMap<usize, (Shape, Shape)> = needs
            .iter()
            .map(|(worker, need)| (*worker, (*need, self.room_after_stops(*worker))))
            .collect();
        let mut candidates: BTreeSet<u64> = BTreeSet::new();
        for (worker, (need, available)) in &room {
            if !need.fits(*available) {
                candidates.extend(self.workers.list[*worker].tasks.keys());
            }
        }
        candidates.extend(&self.pending);
        candidates.retain(|seq| {
            let job = &self.jobs[seq];
            let claims = job.phase == JobPhase::Reclaiming && job.assignment.is_none();
            job.is_borrower() || claims
        });
        let mut victims = Vec::new();
        while room
            .values()
            .any(|(need, available)| !need.fits(*available))
        {
            let best = candidates
                .iter()
                .map(|seq| (self.cost_of_relief(*seq, &room, now), *seq))
                .filter(|(cost, _)| cost.is_finite())
                .min_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)))?;
            candidates.remove(&best.1);
            self.relieve(best.1, &mut room, true);
            victims.push(best.1);
        }
        // A large victim chosen late may make earlier ones unnecessary.
        let mut kept = Vec::new();
        victims.sort_by(|one, other| self.risk(*other, now).total_cmp(&self.risk(*one, now)));
        for victim in victims {
            self.relieve(victim, &mut room, false);
            if room
                .values()
                .any(|(need, available)| !need.fits(*available))
            {
                self.relieve(victim, &mut room, true);
                kept.push(victim);
            }
        }
        Some(kept)
    }

    /// Returns room as a difference of sums, so that adding and taking away victims is exact.
    fn room_after_stops(&self, worker: usize) -> Shape {
        self.workers.list[worker].available_after_stops()
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

    fn cost_of_relief(
        &self,
        seq: u64,
        room: &BTreeMap<usize, (Shape, Shape)>,
        now: Duration,
    ) -> f64 {
        let job = &self.jobs[&seq];
        let mut relief = 0.0;
        for (worker, tasks) in &job.placements {
            let Some((need, available)) = room.get(worker) else {
                continue;
            };
            let lacking = need.minus(*available);
            let freed = job.spec.shape.times(*tasks).min(lacking);
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

    fn relieve(&self, seq: u64, room: &mut BTreeMap<usize, (Shape, Shape)>, add: bool) {
        let job = &self.jobs[&seq];
        for (worker, tasks) in &job.placements {
            if let Some((_, available)) = room.get_mut(worker) {
                let freed = job.spec.shape.times(*tasks);
                *available = if add {
                    available.plus(freed)
                } else {
                    available.minus(freed)
                };
            }
        }
    }
}
