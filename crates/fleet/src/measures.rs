//! Metrics, explanations of job states, and invariant checks.

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
    /// Returns the metrics of the data centre.
    #[must_use]
    pub fn measures(&self, _now: Duration) -> Measures {
        let mut measures = Measures {
            queued_jobs: self.queue.len(),
            quarantined_workers: self.quarantined_count(),
            degraded_guarantees: self.degraded().len(),
            lost_accelerator_seconds: self.lost_accelerator_seconds,
            preemptions: self.preemptions,
            ..Measures::default()
        };
        for worker in self.workers.list.iter().filter(|worker| worker.is_usable()) {
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
            let usable_by_largest = self.free_accelerators_for_largest_shape() as f64;
            measures.fragmentation_ratio =
                1.0 - usable_by_largest / measures.free_accelerators as f64;
        }
        measures
    }

    /// Returns the free accelerators in the racks (or the data centre) where the largest guarantee fits.
    fn free_accelerators_for_largest_shape(&self) -> u64 {
        let size = |spec: &GuaranteeSpec| {
            (
                u64::from(spec.workers) * u64::from(spec.shape.accelerators),
                spec.adjacency,
            )
        };
        let specs = self
            .reservations
            .iter()
            .map(|reservation| &reservation.spec);
        let largest = specs.max_by_key(|spec| size(spec));
        let (shape, parts, adjacency) = largest
            .map_or((Shape::default(), 0, Adjacency::DataCentre), |spec| {
                (spec.shape, u64::from(spec.workers), spec.adjacency)
            });
        let mut locations = vec![(0_u64, 0_u64); self.workers.rack_count().max(1)];
        for worker in self.workers.list.iter().filter(|worker| worker.is_usable()) {
            let location = match adjacency {
                Adjacency::Rack => worker.rack,
                Adjacency::DataCentre => 0,
            };
            locations[location].0 += u64::from(shape.fits(worker.free()));
            locations[location].1 += u64::from(worker.free().accelerators);
        }
        locations
            .iter()
            .filter(|location| location.0 >= parts)
            .map(|location| location.1)
            .sum()
    }

    /// Returns the guarantees that the usable workers cannot hold in full. Returns none under
    /// `Policy::FirstFit`, which reserves nothing.
    #[must_use]
    pub fn degraded(&self) -> Vec<Degraded> {
        if self.policy == Policy::FirstFit {
            return Vec::new();
        }
        self.reservations
            .iter()
            .filter(|reservation| reservation.lost_parts() > 0)
            .map(|reservation| Degraded {
                customer: reservation.spec.customer.clone(),
                guarantee: reservation.spec.name.clone(),
                lost_parts: reservation.lost_parts(),
            })
            .collect()
    }

    /// Returns the workers in quarantine.
    #[must_use]
    pub fn quarantined_workers(&self) -> Vec<WorkerId> {
        let unhealthy = self.workers.list.iter().filter(|worker| !worker.healthy);
        unhealthy.map(|worker| worker.id.clone()).collect()
    }

    /// Returns the parts of all guarantees with the workers that they are reserved on.
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

    /// Returns the state of a job with its reasons, or `None` for an unknown job.
    #[must_use]
    pub fn explain(&self, job: &str) -> Option<Explanation> {
        let seq = *self.seq_by_id.get(job)?;
        let job = self.jobs.get(&seq)?;
        let hold = self.hold.as_ref().filter(|hold| hold.job == seq);
        let ahead = self.queue.ahead(&job.spec.customer, (job.arrival_ms, seq));
        let queued = job.phase == JobPhase::Queued;
        let text = match job.phase {
            JobPhase::Queued if !self.in_service => "the data centre is out of service".into(),
            JobPhase::Queued if job.failed_starts > 0 => format!(
                "{} starts failed, on {} workers; waiting for the next attempt",
                job.failed_starts,
                job.failed_on.len()
            ),
            JobPhase::Queued if hold.is_some() => {
                "capacity is held until the whole gang fits".into()
            }
            JobPhase::Queued => format!("{ahead} jobs of the customer are ahead in the queue"),
            JobPhase::Reclaiming => {
                "waiting until the borrowers of its capacity have stopped".into()
            }
            JobPhase::Starting => "starting".into(),
            JobPhase::Running if job.assignment.is_some() => "running within its guarantee".into(),
            JobPhase::Running => "running on borrowed capacity, which can be reclaimed".into(),
            JobPhase::Stopping => "stopping".into(),
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

    /// Checks the invariants of reservations and allocations, and returns the violations.
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
            let mut part_workers = Vec::new();
            for part in &reservation.parts {
                if !part.used.fits(spec.shape) {
                    report(format!("guaranteed tasks overflow a part of {name}"));
                }
                let Some(index) = part.worker else { continue };
                let worker = &self.workers.list[index];
                reserved[index] = reserved[index].plus(spec.shape);
                if !worker.is_usable() {
                    report(format!(
                        "{name} is reserved on unusable worker {}",
                        worker.id
                    ));
                }
                if part_workers.contains(&index) {
                    report(format!("{name} has two parts on {}", worker.id));
                }
                part_workers.push(index);
            }
            let racks = part_workers
                .iter()
                .map(|index| self.workers.list[*index].rack);
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
                report(format!(
                    "allocations on {} do not match the placed jobs",
                    worker.id
                ));
            }
            if !worker.used.fits(worker.capacity) && !worker.overcommitted {
                report(format!("{} is overcommitted", worker.id));
            }
        }
        found
    }
}
