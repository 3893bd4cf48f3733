//! Reservations: concrete workers for each guarantee.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Adjacency;
use crate::Fleet;
use crate::GuaranteeSpec;
use crate::Shape;
use crate::WorkerSpec;
use crate::job::Assignment;
use crate::search::Bin;
use crate::search::Item;
use crate::search::find;
use crate::worker::Workers;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;

/// One worker's part of a guarantee.
#[derive(Clone, Debug, Default)]
pub(crate) struct Part {
    pub(crate) worker: Option<usize>,
    /// Resources that guaranteed jobs take or have claimed.
    pub(crate) used: Shape,
    pub(crate) jobs: BTreeSet<u64>,
}

/// A guarantee and where its parts are.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) spec: GuaranteeSpec,
    pub(crate) parts: Vec<Part>,
}

impl Reservation {
    pub(crate) fn new(spec: GuaranteeSpec, worker_count: usize) -> Self {
        // A guarantee of more parts than workers cannot be held; one part too many shows that.
        let parts = (spec.workers as usize).min(worker_count + 1);
        Self {
            spec,
            parts: vec![Part::default(); parts],
        }
    }

    /// Returns the number of parts without a worker.
    pub(crate) fn lost_parts(&self) -> u32 {
        let held = self
            .parts
            .iter()
            .filter(|part| part.worker.is_some())
            .count();
        self.spec
            .workers
            .saturating_sub(u32::try_from(held).unwrap_or(u32::MAX))
    }

    fn missing(&self) -> usize {
        self.parts
            .iter()
            .filter(|part| part.worker.is_none())
            .count()
    }

    /// Describes the parts without a worker to the search.
    fn item(&self, workers: &Workers) -> Item {
        let taken: Vec<usize> = self.parts.iter().filter_map(|part| part.worker).collect();
        let rack = taken.first().map(|worker| workers.list[*worker].rack);
        Item {
            shape: self.spec.shape,
            parts: self.missing(),
            adjacency: self.spec.adjacency,
            rack: rack.filter(|_| self.spec.adjacency == Adjacency::Rack),
            taken,
        }
    }

    fn fill(&mut self, found: &[usize]) {
        let missing = self.parts.iter_mut().filter(|part| part.worker.is_none());
        for (part, worker) in missing.zip(found) {
            part.worker = Some(*worker);
        }
    }

    /// Gives up the workers of all parts that no job uses.
    pub(crate) fn clear_empty_parts(&mut self) {
        for part in &mut self.parts {
            if part.jobs.is_empty() {
                part.worker = None;
            }
        }
    }
}

/// Books the parts of all reservations on the workers.
pub(crate) fn book(reservations: &[Reservation], workers: &mut Workers) {
    for worker in &mut workers.list {
        worker.reserved = Shape::default();
        worker.reserved_used = Shape::default();
    }
    for reservation in reservations {
        for part in &reservation.parts {
            if let Some(worker) = part.worker {
                let worker = &mut workers.list[worker];
                worker.reserved = worker.reserved.plus(reservation.spec.shape);
                worker.reserved_used = worker.reserved_used.plus(part.used);
            }
        }
    }
}

/// Returns the usable workers with the room that the booked parts leave.
pub(crate) fn bins(workers: &Workers) -> Vec<Bin> {
    let usable = workers.list.iter().enumerate();
    usable
        .filter(|(_, worker)| worker.is_usable())
        .map(|(index, worker)| Bin {
            worker: index,
            rack: worker.rack,
            room: worker.capacity.minus(worker.reserved),
            free: worker.available(),
        })
        .collect()
}

/// Finds workers for missing parts, moving empty parts as needed; what cannot be held stays missing.
pub(crate) fn complete(reservations: &mut [Reservation], workers: &mut Workers) {
    book(reservations, workers);
    if reservations.iter().all(|one| one.missing() == 0) {
        return;
    }
    let were_lost: Vec<bool> = reservations.iter().map(|one| one.missing() > 0).collect();
    if fill_all(reservations, workers) {
        return;
    }
    for reservation in reservations.iter_mut() {
        reservation.clear_empty_parts();
    }
    book(reservations, workers);
    if fill_all(reservations, workers) {
        return;
    }
    // Not all fit. Those that were whole come first, so that a loss does not wander.
    let mut order: Vec<usize> = (0..reservations.len()).collect();
    order.sort_by_key(|index| were_lost[*index]);
    let free = bins(workers);
    let mut accepted: Vec<usize> = Vec::new();
    let mut found = Vec::new();
    for index in order {
        accepted.push(index);
        let items: Vec<Item> = accepted
            .iter()
            .map(|index| reservations[*index].item(workers))
            .collect();
        match find(&free, &items) {
            Some(all) => found = all,
            None => {
                accepted.pop();
            }
        }
    }
    for (index, workers) in accepted.iter().zip(&found) {
        reservations[*index].fill(workers);
    }
    book(reservations, workers);
    for reservation in reservations.iter_mut() {
        fill_partly(reservation, workers);
    }
}

fn fill_all(reservations: &mut [Reservation], workers: &mut Workers) -> bool {
    let items: Vec<Item> = reservations.iter().map(|one| one.item(workers)).collect();
    let Some(found) = find(&bins(workers), &items) else {
        return false;
    };
    for (reservation, found) in reservations.iter_mut().zip(&found) {
        reservation.fill(found);
    }
    book(reservations, workers);
    true
}

/// Holds as many parts of a guarantee as there is room for.
fn fill_partly(reservation: &mut Reservation, workers: &mut Workers) {
    let mut item = reservation.item(workers);
    let bins = bins(workers);
    while item.parts > 0 {
        if let Some(found) = find(&bins, std::slice::from_ref(&item)) {
            reservation.fill(&found[0]);
            for worker in &found[0] {
                let worker = &mut workers.list[*worker];
                worker.reserved = worker.reserved.plus(reservation.spec.shape);
            }
            return;
        }
        item.parts = item.parts.min(bins.len() + 1) - 1;
    }
}

/// Finds workers for all guarantees on empty hardware, in their order.
///
/// # Errors
/// `guarantees_clash` with the name of the first guarantee that does not fit beside those before it.
pub fn embed(workers: &[WorkerSpec], guarantees: &[GuaranteeSpec]) -> Result<Vec<Vec<WorkerId>>> {
    let mut table = Workers::default();
    for worker in workers {
        table.upsert(worker);
    }
    let free = bins(&table);
    let items: Vec<Item> = guarantees
        .iter()
        .map(|spec| Reservation::new(spec.clone(), table.list.len()).item(&table))
        .collect();
    if let Some(found) = find(&free, &items) {
        let name = |worker: &usize| table.list[*worker].id.clone();
        return Ok(found
            .iter()
            .map(|parts| parts.iter().map(name).collect())
            .collect());
    }
    let fitting = (1..=items.len())
        .find(|count| find(&free, &items[..*count]).is_none())
        .unwrap_or(items.len());
    let names: Vec<String> = guarantees[..fitting]
        .iter()
        .map(|spec| format!("{}/{}", spec.customer, spec.name))
        .collect();
    let (last, before) = names
        .split_last()
        .map_or(("", &[][..]), |(last, before)| (last.as_str(), before));
    let detail = if before.is_empty() {
        format!("guarantee {last} does not fit on the hardware")
    } else {
        format!("guarantee {last} does not fit beside {}", before.join(", "))
    };
    Err(Error::new(ErrorKind::GuaranteesClash, detail))
}

impl Fleet {
    /// Returns the index of the reservation that a job names.
    pub(crate) fn reservation_of(&self, seq: u64) -> Option<usize> {
        let spec = &self.jobs.get(&seq)?.spec;
        let name = spec.guarantee.as_ref()?;
        let reservation = self
            .reservations
            .iter()
            .position(|one| one.spec.customer == spec.customer && one.spec.name == *name)?;
        // Tasks that have to be in one rack are promised nothing by a guarantee without that.
        (spec.adjacency <= self.reservations[reservation].spec.adjacency).then_some(reservation)
    }

    /// Chooses parts of a reservation for a job, those without need for reclaim first.
    pub(crate) fn fit_in_reservation(&self, seq: u64, reservation: usize) -> Option<Assignment> {
        let spec = &self.jobs.get(&seq)?.spec;
        let held = &self.reservations[reservation];
        let mut rooms: Vec<(bool, bool, usize, u32)> = Vec::new();
        for (index, part) in held.parts.iter().enumerate() {
            let Some(worker) = part.worker else { continue };
            let count = spec
                .shape
                .count_fitting_in(held.spec.shape.minus(part.used))
                .min(spec.tasks);
            if count > 0 {
                let need = spec.shape.times(count);
                let waits = !need.fits(self.workers.list[worker].available());
                rooms.push((waits, part.jobs.is_empty(), index, count));
            }
        }
        rooms.sort_unstable();
        let mut left = spec.tasks;
        let mut parts = Vec::new();
        for (_, _, index, count) in rooms {
            let taken = count.min(left);
            if taken > 0 {
                parts.push((index, taken));
                left -= taken;
            }
        }
        (left == 0).then_some(Assignment { reservation, parts })
    }

    /// Moves the empty parts of a reservation to workers with free capacity, if that saves reclaim.
    pub(crate) fn follow_free_capacity(&mut self, reservation: usize) {
        let busy = |fleet: &Self| {
            let held = &fleet.reservations[reservation];
            let empty = held.parts.iter().filter(|part| part.jobs.is_empty());
            empty
                .filter_map(|part| part.worker)
                .filter(|worker| {
                    let free = fleet.workers.list[*worker].available();
                    !held.spec.shape.fits(free)
                })
                .count()
        };
        let before = busy(self);
        if before == 0 || self.reservations[reservation].lost_parts() > 0 {
            return;
        }
        let old = self.reservations[reservation].clone();
        self.reservations[reservation].clear_empty_parts();
        book(&self.reservations, &mut self.workers);
        let item = self.reservations[reservation].item(&self.workers);
        match find(&bins(&self.workers), &[item]) {
            Some(found) => self.reservations[reservation].fill(&found[0]),
            None => self.reservations[reservation] = old.clone(),
        }
        if busy(self) >= before {
            self.reservations[reservation] = old;
        }
        book(&self.reservations, &mut self.workers);
    }

    /// Puts a job into parts of its reservation.
    pub(crate) fn attach(&mut self, seq: u64, assignment: Assignment) {
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        debug_assert!(job.assignment.is_none());
        for (index, tasks) in &assignment.parts {
            let part = &mut self.reservations[assignment.reservation].parts[*index];
            let need = job.spec.shape.times(*tasks);
            part.used = part.used.plus(need);
            part.jobs.insert(seq);
            if let Some(worker) = part.worker {
                let worker = &mut self.workers.list[worker];
                worker.reserved_used = worker.reserved_used.plus(need);
            }
        }
        job.assignment = Some(assignment);
    }

    /// Takes a job out of its reservation; a job that runs becomes a borrower.
    pub(crate) fn detach(&mut self, seq: u64) {
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        let Some(assignment) = job.assignment.take() else {
            return;
        };
        for (index, tasks) in &assignment.parts {
            let part = &mut self.reservations[assignment.reservation].parts[*index];
            let need = job.spec.shape.times(*tasks);
            part.used = part.used.minus(need);
            part.jobs.remove(&seq);
            if let Some(worker) = part.worker {
                let worker = &mut self.workers.list[worker];
                worker.reserved_used = worker.reserved_used.minus(need);
            }
        }
    }

    /// Restores the reservations after workers, guarantees or guaranteed jobs have changed.
    pub(crate) fn repair_reservations(&mut self, now: Duration) {
        if self.policy == crate::Policy::FirstFit {
            return;
        }
        for seq in self.jobs_outside_reservations() {
            self.turn_into_borrower(seq, now);
        }
        for reservation in &mut self.reservations {
            let wanted = Reservation::new(reservation.spec.clone(), self.workers.list.len());
            let missing = wanted.parts.len().saturating_sub(reservation.parts.len());
            let part = std::iter::repeat_n(Part::default(), missing);
            reservation.parts.extend(part);
            let rack_bound = reservation.spec.adjacency == Adjacency::Rack;
            let rack = |part: &Part| part.worker.map(|worker| self.workers.list[worker].rack);
            let pinned = reservation
                .parts
                .iter()
                .filter(|part| !part.jobs.is_empty());
            let pinned_rack = pinned.clone().find_map(rack);
            let home = pinned_rack.or_else(|| reservation.parts.iter().find_map(rack));
            for part in &mut reservation.parts {
                let Some(worker) = part.worker else { continue };
                let worker = &self.workers.list[worker];
                let wrong_rack = rack_bound && Some(worker.rack) != home;
                if part.jobs.is_empty() && (!worker.is_usable() || wrong_rack) {
                    part.worker = None;
                }
            }
        }
        book(&self.reservations, &mut self.workers);
        for reservation in &mut self.reservations {
            for part in &mut reservation.parts {
                let Some(index) = part.worker else { continue };
                let worker = &mut self.workers.list[index];
                if part.jobs.is_empty() && !worker.reserved.fits(worker.capacity) {
                    part.worker = None;
                    worker.reserved = worker.reserved.minus(reservation.spec.shape);
                }
            }
        }
        complete(&mut self.reservations, &mut self.workers);
    }

    /// Returns guaranteed jobs whose parts are no longer valid because their workers changed.
    pub(crate) fn jobs_outside_reservations(&self) -> BTreeSet<u64> {
        let mut pinned = vec![Shape::default(); self.workers.list.len()];
        for reservation in &self.reservations {
            for part in &reservation.parts {
                if let (Some(worker), false) = (part.worker, part.jobs.is_empty()) {
                    pinned[worker] = pinned[worker].plus(reservation.spec.shape);
                }
            }
        }
        let mut outside = BTreeSet::new();
        for reservation in &self.reservations {
            let used = reservation
                .parts
                .iter()
                .filter(|part| !part.jobs.is_empty());
            let racks: BTreeSet<usize> = used
                .clone()
                .filter_map(|part| part.worker)
                .map(|worker| self.workers.list[worker].rack)
                .collect();
            let split = reservation.spec.adjacency == Adjacency::Rack && racks.len() > 1;
            for part in used {
                let valid = part.worker.is_some_and(|index| {
                    let worker = &self.workers.list[index];
                    worker.is_usable() && pinned[index].fits(worker.capacity)
                });
                if split || !valid {
                    outside.extend(&part.jobs);
                }
            }
        }
        outside
    }
}
