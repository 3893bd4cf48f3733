//! Promotion of running borrowers into their guarantee.

use std::time::Duration;

use crate::Fleet;
use crate::Policy;
use crate::job::Assignment;

impl Fleet {
    /// Makes a running borrower guaranteed if its reservation can be moved to where it runs.
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
        let lost_before: u32 = self.reservations.iter().map(|one| one.lost_parts()).sum();
        let mut trial = self.reservations.clone();
        trial[index].clear_empty_parts();
        let part_shape = trial[index].spec.shape;
        let mut parts = Vec::new();
        for (worker, tasks) in &placements {
            let need = spec.shape.times(*tasks);
            let on = |part: &crate::reservation::Part| part.worker == Some(*worker);
            let existing = trial[index].parts.iter().position(on);
            let empty = || {
                trial[index]
                    .parts
                    .iter()
                    .position(|part| part.worker.is_none())
            };
            let Some(part) = existing.or_else(empty) else {
                return;
            };
            let slot = &mut trial[index].parts[part];
            if !need.plus(slot.used).fits(part_shape) || !self.workers.list[*worker].is_usable() {
                return;
            }
            slot.worker = Some(*worker);
            slot.used = slot.used.plus(need);
            slot.jobs.insert(seq);
            parts.push((part, *tasks));
        }
        for (other, reservation) in trial.iter_mut().enumerate() {
            if other != index {
                reservation.clear_empty_parts();
            }
        }
        let old = std::mem::replace(&mut self.reservations, trial);
        let valid = self.jobs_outside_reservations().is_empty();
        if valid {
            crate::reservation::complete(&mut self.reservations, &mut self.workers);
        }
        let lost: u32 = self.reservations.iter().map(|one| one.lost_parts()).sum();
        if valid && lost <= lost_before {
            self.count_not_borrowed(seq, now);
            if let Some(job) = self.jobs.get_mut(&seq) {
                job.assignment = Some(Assignment {
                    reservation: index,
                    parts,
                });
            }
        } else {
            self.reservations = old;
            crate::reservation::book(&self.reservations, &mut self.workers);
        }
    }
}
