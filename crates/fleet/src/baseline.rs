//! Baseline policies that the default policy is compared with.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Action;
use crate::Fleet;
use crate::JobPhase;
use crate::Policy;
use crate::Shape;
use crate::placement::Candidate;
use crate::placement::first_fit;
use crate::schedule::MAX_STARTS;
use nutmegwalk_base::CustomerId;

impl Fleet {
    /// Starts jobs in the order of arrival on the first workers with available capacity.
    pub(crate) fn schedule_baseline(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let rack_count = self.workers.rack_count();
        let mut starts = 0;
        let mut failed = Vec::new();
        for (_, seq) in self.queue.by_arrival() {
            let job = &self.jobs[&seq];
            if starts >= MAX_STARTS {
                return;
            }
            if job.not_before > now || job.phase != JobPhase::Queued {
                continue;
            }
            let spec = &job.spec;
            let customer = spec.customer.clone();
            let static_customer = (self.policy == Policy::Static).then_some(customer);
            let class = (static_customer, spec.tasks, spec.shape, spec.adjacency);
            if job.failed_on.is_empty() && failed.contains(&class) {
                continue;
            }
            let parts = self.parts_by_customer();
            let mut candidates = Vec::new();
            for (index, worker) in self.workers.list.iter().enumerate() {
                if !worker.is_usable() || job.failed_on.contains(&index) {
                    continue;
                }
                let available = match self.policy {
                    Policy::Static => self.static_capacity(index, &spec.customer, &parts),
                    Policy::FirstFit | Policy::Guaranteed => worker.available(),
                };
                let tasks = spec.shape.count_fitting_in(available);
                if tasks > 0 {
                    let rack = worker.rack;
                    let worker = index;
                    candidates.push(Candidate {
                        worker,
                        rack,
                        tasks,
                    });
                }
            }
            match first_fit(&candidates, rack_count, spec.tasks, spec.adjacency) {
                Some(placements) => {
                    starts += 1;
                    self.start(seq, placements, now, actions);
                }
                None => failed.push(class),
            }
        }
    }

    /// Returns the reserved resources by worker index and customer; empty unless the policy is static.
    fn parts_by_customer(&self) -> BTreeMap<(usize, CustomerId), Shape> {
        let mut parts: BTreeMap<(usize, CustomerId), Shape> = BTreeMap::new();
        if self.policy == Policy::Static {
            for reservation in &self.reservations {
                for part in &reservation.parts {
                    if let Some(worker) = part.worker {
                        let key = (worker, reservation.spec.customer.clone());
                        let sum = parts.entry(key).or_default();
                        *sum = sum.plus(reservation.spec.shape);
                    }
                }
            }
        }
        parts
    }

    /// Returns the capacity of a worker that a customer may use: what remains after the resources of all tasks and
    /// the unused parts of other customers.
    fn static_capacity(
        &self,
        index: usize,
        customer: &CustomerId,
        parts: &BTreeMap<(usize, CustomerId), Shape>,
    ) -> Shape {
        let worker = &self.workers.list[index];
        let mut used: BTreeMap<&CustomerId, Shape> = BTreeMap::new();
        for (seq, tasks) in &worker.tasks {
            let spec = &self.jobs[seq].spec;
            let sum = used.entry(&spec.customer).or_default();
            *sum = sum.plus(spec.shape.times(*tasks));
        }
        let mut reserved_by_others = Shape::default();
        for ((part_worker, part_customer), part) in parts {
            if *part_worker == index && part_customer != customer {
                let used_in_part = used
                    .get(part_customer)
                    .copied()
                    .unwrap_or_default()
                    .min(*part);
                reserved_by_others = reserved_by_others.plus(part.minus(used_in_part));
            }
        }
        worker.capacity.minus(worker.used.plus(reserved_by_others))
    }
}
