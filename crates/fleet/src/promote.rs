//! Promotion of borrowers to guaranteed jobs.

use std::time::Duration;

use crate::Fleet;
use crate::Policy;
use crate::job::Assignment;

impl Fleet {
    /// Makes a borrower guaranteed if the parts of its reservation can be moved to the workers that it runs on
    /// without increasing the total number of lost parts.
    pub(crate) fn try_promote(&mut self, seq: u64, now: Duration) {
        if self.policy != Policy::Guaranteed {
            return;
        }
        let Some(index) = self.reservation_of(seq) else {
            return;
        };
        let Some(job) = self.jobs.get(&seq).filter(|job| job.is_borrower()) else {
            return;
        };
        let spec = job.spec.clone();
        let placements = job.placements.clone();
        let lost_before: u32 = self
            .reservations
            .iter()
            .map(|reservation| reservation.lost_parts())
            .sum();
        let mut trial = self.reservations.clone();
        trial[index].clear_empty_parts();
        let part_shape = trial[index].spec.shape;
        let mut parts = Vec::new();
        for (worker, tasks) in &placements {
            let need = spec.shape.times(*tasks);
            let is_on_worker = |part: &crate::reservation::Part| part.worker == Some(*worker);
            let existing = trial[index].parts.iter().position(is_on_worker);
            let empty = || {
                trial[index]
                    .parts
                    .iter()
                    .position(|part| part.worker.is_none())
            };
            let Some(part) = existing.or_else(empty) else {
                return;
            };
            let target = &mut trial[index].parts[part];
            if !need.plus(target.used).fits(part_shape) || !self.workers.list[*worker].is_usable() {
                return;
            }
            target.worker = Some(*worker);
            target.used = target.used.plus(need);
            target.jobs.insert(seq);
            parts.push((part, *tasks));
        }
        for (other_index, reservation) in trial.iter_mut().enumerate() {
            if other_index != index {
                reservation.clear_empty_parts();
            }
        }
        let old = std::mem::replace(&mut self.reservations, trial);
        let is_valid = self.jobs_with_invalid_parts().is_empty();
        if is_valid {
            crate::reservation::assign_missing_parts(&mut self.reservations, &mut self.workers);
        }
        let lost: u32 = self
            .reservations
            .iter()
            .map(|reservation| reservation.lost_parts())
            .sum();
        if is_valid && lost <= lost_before {
            self.remove_borrowed_use(seq, now);
            if let Some(job) = self.jobs.get_mut(&seq) {
                job.assignment = Some(Assignment {
                    reservation: index,
                    parts,
                });
            }
        } else {
            self.reservations = old;
            crate::reservation::update_reserved(&self.reservations, &mut self.workers);
        }
    }
}
