//! Baselines that the policy is measured against.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Action;
use crate::Fleet;
use crate::JobPhase;
use crate::Policy;
use crate::Shape;
use crate::placement::Room;
use crate::placement::first_fit;
use crate::schedule::MAX_STARTS;
use nutmegwalk_base::CustomerId;

impl Fleet {
    /// Starts jobs in the order of arrival on the first workers with room.
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
            let kind = (static_customer, spec.tasks, spec.shape, spec.adjacency);
            if job.failed_on.is_empty() && failed.contains(&kind) {
                continue;
            }
            let parts = self.parts_by_customer();
            let mut rooms = Vec::new();
            for (index, worker) in self.workers.list.iter().enumerate() {
                if !worker.is_usable() || job.failed_on.contains(&index) {
                    continue;
                }
                let room = match self.policy {
                    Policy::Static => self.static_room(index, &spec.customer, &parts),
                    Policy::FirstFit | Policy::Guaranteed => worker.available(),
                };
                let tasks = spec.shape.count_fitting_in(room);
                if tasks > 0 {
                    let rack = worker.rack;
                    let worker = index;
                    rooms.push(Room {
                        worker,
                        rack,
                        tasks,
                    });
                }
            }
            match first_fit(&rooms, rack_count, spec.tasks, spec.adjacency) {
                Some(placements) => {
                    starts += 1;
                    self.start(seq, placements, now, actions);
                }
                None => failed.push(kind),
            }
        }
    }

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

    /// Returns the room of a customer on a worker: everything but other customers' parts and tasks.
    fn static_room(
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
        let mut taken = Shape::default();
        for ((other, owner), part) in parts {
            if *other == index && owner != customer {
                let inside = used.get(owner).copied().unwrap_or_default().min(*part);
                taken = taken.plus(part.minus(inside));
            }
        }
        worker.capacity.minus(worker.used.plus(taken))
    }
}
