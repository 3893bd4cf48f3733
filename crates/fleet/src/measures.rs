//! Measures, explanations and the check of invariants.

use std::time::Duration;

use crate::Adjacency;
use crate::Admission;
use crate::Degraded;
use crate::Explanation;
use crate::Fleet;
use crate::GuaranteeSpec;
use crate::JobPhase;
use crate::Measures;
use crate::Policy;
use crate::ReservedPart;
use crate::Shape;
use crate::Violation;
use nutmegwalk_base::WorkerId;

impl Fleet {
    /// Returns figures about the data centre.
    #[must_use]
    pub fn measures(&self, _now: Duration) -> Measures {
        let mut measures = Measures {
            queued_jobs: self.queue.len(),
            quarantined_workers: self.quarantined(),
            degraded_guarantees: self.degraded().len(),
            lost_accelerator_seconds: self.lost_accelerator_seconds,
            preemptions: self.preemptions,
            ..Measures::default()
        };
        for worker in self.workers.list.iter().filter(|one| one.is_usable()) {
            measures.usable_accelerators += u64::from(worker.capacity.accelerators);
            measures.free_accelerators += u64::from(worker.free().accelerators);
        }
        for job in self.jobs.values().filter(|job| job.is_placed()) {
            measures.running_jobs += usize::from(job.phase != JobPhase::Stopping);
            if job.assignment.is_none() {
                let sum = measures.borrowed_accelerators;
                measures.borrowed_accelerators = sum.saturating_add(job.spec.accelerators());
            }
        }
        if measures.free_accelerators > 0 {
            let usable = self.free_accelerators_for_largest_shape() as f64;
            measures.fragmentation_ratio = 1.0 - usable / measures.free_accelerators as f64;
        }
        measures
    }

    /// Returns the free accelerators in racks (or the data centre) where the largest shape fits.
    fn free_accelerators_for_largest_shape(&self) -> u64 {
        let size = |spec: &GuaranteeSpec| {
            (
                u64::from(spec.workers) * u64::from(spec.shape.accelerators),
                spec.adjacency,
            )
        };
        let specs = self.reservations.iter().map(|one| &one.spec);
        let largest = specs.max_by_key(|spec| size(spec));
        let (shape, parts, adjacency) = largest
            .map_or((Shape::default(), 0, Adjacency::DataCentre), |spec| {
                (spec.shape, u64::from(spec.workers), spec.adjacency)
            });
        let mut rooms = vec![(0_u64, 0_u64); self.workers.rack_count().max(1)];
        for worker in self.workers.list.iter().filter(|one| one.is_usable()) {
            let location = match adjacency {
                Adjacency::Rack => worker.rack,
                Adjacency::DataCentre => 0,
            };
            rooms[location].0 += u64::from(shape.fits(worker.free()));
            rooms[location].1 += u64::from(worker.free().accelerators);
        }
        rooms
            .iter()
            .filter(|room| room.0 >= parts)
            .map(|room| room.1)
            .sum()
    }

    /// Returns the guarantees that the hardware cannot hold; first fit holds none and reports none.
    #[must_use]
    pub fn degraded(&self) -> Vec<Degraded> {
        if self.policy == Policy::FirstFit {
            return Vec::new();
        }
        self.reservations
            .iter()
            .filter(|one| one.lost_parts() > 0)
            .map(|one| Degraded {
                customer: one.spec.customer.clone(),
                guarantee: one.spec.name.clone(),
                lost_parts: one.lost_parts(),
            })
            .collect()
    }

    /// Returns the workers in quarantine.
    #[must_use]
    pub fn quarantined_workers(&self) -> Vec<WorkerId> {
        let unhealthy = self.workers.list.iter().filter(|one| !one.healthy);
        unhealthy.map(|worker| worker.id.clone()).collect()
    }

    /// Returns all parts of guarantees with the workers that they are on.
    #[must_use]
    pub fn reserved_parts(&self) -> Vec<ReservedPart> {
        let mut parts = Vec::new();
        for reservation in &self.reservations {
            for part in &reservation.parts {
                parts.push(ReservedPart {
                    customer: reservation.spec.customer.clone(),
                    guarantee: reservation.spec.name.clone(),
                    worker: part.worker.map(|index| self.workers.list[index].id.clone()),
                    used: part.used,
                });
            }
        }
        parts
    }

    /// Returns the guarantees and expected times behind a job's state, or none for an unknown job.
    #[must_use]
    pub fn explain(&self, job: &str) -> Option<Explanation> {
        let seq = *self.ids.get(job)?;
        let job = self.jobs.get(&seq)?;
        let hold = self.hold.as_ref().filter(|hold| hold.job == seq);
        let ahead = self.queue.ahead(&job.spec.customer, (job.arrival_ms, seq));
        let queued = job.phase == JobPhase::Queued;
        let text = match job.phase {
            JobPhase::Queued if !self.in_service => "the data centre is out of service".into(),
            JobPhase::Queued if job.failed_starts > 0 => format!(
                "{} starts failed, on {} workers; waits for the next try",
                job.failed_starts,
                job.failed_on.len()
            ),
            JobPhase::Queued if hold.is_some() => {
                "capacity is held until the whole gang fits".into()
            }
            JobPhase::Queued => format!("{ahead} jobs of the customer are ahead in the queue"),
            JobPhase::Reclaiming => "waits until borrowers of its capacity have stopped".into(),
            JobPhase::Starting => "was told to start".into(),
            JobPhase::Running if job.assignment.is_some() => "runs within its guarantee".into(),
            JobPhase::Running => "runs on borrowed capacity and can be reclaimed".into(),
            JobPhase::Stopping => "was told to stop".into(),
        };
        Some(Explanation {
            phase: job.phase,
            borrowed: if queued {
                self.admission(seq) == Admission::Borrowed
            } else {
                job.assignment.is_none()
            },
            ahead: if queued { ahead } else { 0 },
            expected_start: hold.map(|hold| hold.start),
            text: text.into_boxed_str(),
        })
    }

    /// Checks the invariants of reservations and bookings.
    #[must_use]
    pub fn check(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        let mut report = |detail: String| {
            found.push(Violation {
                detail: detail.into_boxed_str(),
            });
        };
        let mut used = vec![Shape::default(); self.workers.list.len()];
        let mut claimed = vec![Shape::default(); self.workers.list.len()];
        for job in self.jobs.values() {
            for (worker, tasks) in &job.placements {
                let need = job.spec.shape.times(*tasks);
                let sum = if job.is_placed() {
                    &mut used
                } else {
                    &mut claimed
                };
                sum[*worker] = sum[*worker].plus(need);
            }
        }
        let mut reserved = vec![Shape::default(); self.workers.list.len()];
        for reservation in &self.reservations {
            let spec = &reservation.spec;
            let name = format!("{}/{}", spec.customer, spec.name);
            let mut taken = Vec::new();
            for part in &reservation.parts {
                if !part.used.fits(spec.shape) {
                    report(format!("guaranteed tasks overflow a part of {name}"));
                }
                let Some(index) = part.worker else { continue };
                let worker = &self.workers.list[index];
                reserved[index] = reserved[index].plus(spec.shape);
                if !worker.is_usable() {
                    report(format!("{name} is reserved on unusable {}", worker.id));
                }
                if taken.contains(&index) {
                    report(format!("{name} has two parts on {}", worker.id));
                }
                taken.push(index);
            }
            let racks = taken.iter().map(|index| self.workers.list[*index].rack);
            let mut racks: Vec<usize> = racks.collect();
            racks.dedup();
            if spec.adjacency == Adjacency::Rack && racks.len() > 1 {
                report(format!("{name} is spread over racks"));
            }
        }
        for (index, worker) in self.workers.list.iter().enumerate() {
            if !reserved[index].fits(worker.capacity) {
                report(format!("reservations on {} overlap", worker.id));
            }
            if used[index] != worker.used || claimed[index] != worker.claimed {
                report(format!("bookings on {} do not add up", worker.id));
            }
            if !worker.used.fits(worker.capacity) && !worker.overcommitted {
                report(format!("{} is overcommitted", worker.id));
            }
        }
        found
    }
}
