//! Reservations: the workers that hold the parts of each guarantee.

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
use crate::search::find_workers;
use crate::worker::Workers;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;

/// One worker's part of a guarantee.
#[derive(Clone, Debug, Default)]
pub(crate) struct Part {
    /// Index of the worker, or `None` if the part is lost.
    pub(crate) worker: Option<usize>,
    /// Resources that guaranteed jobs use or claim.
    pub(crate) used: Shape,
    /// Sequence numbers of these jobs.
    pub(crate) jobs: BTreeSet<u64>,
}

/// A guarantee with its parts.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) spec: GuaranteeSpec,
    pub(crate) parts: Vec<Part>,
}

impl Reservation {
    pub(crate) fn new(spec: GuaranteeSpec, worker_count: usize) -> Self {
        // More parts than workers cannot be held. One part more than there are workers is enough to make the
        // reservation incomplete.
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

    /// Returns the number of elements of `parts` without a worker.
    fn unassigned_parts(&self) -> usize {
        self.parts
            .iter()
            .filter(|part| part.worker.is_none())
            .count()
    }

    /// Returns the parts without a worker as input of the search.
    fn item(&self, workers: &Workers) -> Item {
        let held_workers: Vec<usize> = self.parts.iter().filter_map(|part| part.worker).collect();
        let rack = held_workers
            .first()
            .map(|worker| workers.list[*worker].rack);
        Item {
            shape: self.spec.shape,
            parts: self.unassigned_parts(),
            adjacency: self.spec.adjacency,
            rack: rack.filter(|_| self.spec.adjacency == Adjacency::Rack),
            held_workers,
        }
    }

    /// Assigns the found workers to the parts without a worker.
    fn assign(&mut self, found: &[usize]) {
        let unassigned = self.parts.iter_mut().filter(|part| part.worker.is_none());
        for (part, worker) in unassigned.zip(found) {
            part.worker = Some(*worker);
        }
    }

    /// Releases the workers of all parts that no job uses.
    pub(crate) fn clear_empty_parts(&mut self) {
        for part in &mut self.parts {
            if part.jobs.is_empty() {
                part.worker = None;
            }
        }
    }
}

/// Recomputes `reserved` and `reserved_used` of all workers from the parts of all reservations.
pub(crate) fn update_reserved(reservations: &[Reservation], workers: &mut Workers) {
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

/// Returns the usable workers with the capacity that is not reserved.
pub(crate) fn bins(workers: &Workers) -> Vec<Bin> {
    let usable = workers.list.iter().enumerate();
    usable
        .filter(|(_, worker)| worker.is_usable())
        .map(|(index, worker)| Bin {
            worker: index,
            rack: worker.rack,
            unreserved: worker.capacity.minus(worker.reserved),
            free: worker.available(),
        })
        .collect()
}

/// Finds workers for the parts without a worker and moves empty parts as needed. Parts that fit on no worker
/// stay without one.
pub(crate) fn assign_missing_parts(reservations: &mut [Reservation], workers: &mut Workers) {
    update_reserved(reservations, workers);
    if reservations
        .iter()
        .all(|reservation| reservation.unassigned_parts() == 0)
    {
        return;
    }
    let was_incomplete: Vec<bool> = reservations
        .iter()
        .map(|reservation| reservation.unassigned_parts() > 0)
        .collect();
    if assign_all(reservations, workers) {
        return;
    }
    for reservation in reservations.iter_mut() {
        reservation.clear_empty_parts();
    }
    update_reserved(reservations, workers);
    if assign_all(reservations, workers) {
        return;
    }
    // Not all parts fit. Reservations that were complete come first, so that an already degraded guarantee stays
    // degraded rather than another one.
    let mut order: Vec<usize> = (0..reservations.len()).collect();
    order.sort_by_key(|index| was_incomplete[*index]);
    let bins = bins(workers);
    let mut accepted: Vec<usize> = Vec::new();
    let mut found = Vec::new();
    for index in order {
        accepted.push(index);
        let items: Vec<Item> = accepted
            .iter()
            .map(|index| reservations[*index].item(workers))
            .collect();
        match find_workers(&bins, &items) {
            Some(all) => found = all,
            None => {
                accepted.pop();
            }
        }
    }
    for (index, workers) in accepted.iter().zip(&found) {
        reservations[*index].assign(workers);
    }
    update_reserved(reservations, workers);
    for reservation in reservations.iter_mut() {
        assign_partially(reservation, workers);
    }
}

/// Assigns workers to all parts without one, or changes nothing and returns false.
fn assign_all(reservations: &mut [Reservation], workers: &mut Workers) -> bool {
    let items: Vec<Item> = reservations
        .iter()
        .map(|reservation| reservation.item(workers))
        .collect();
    let Some(found) = find_workers(&bins(workers), &items) else {
        return false;
    };
    for (reservation, found) in reservations.iter_mut().zip(&found) {
        reservation.assign(found);
    }
    update_reserved(reservations, workers);
    true
}

/// Assigns workers to as many parts of a reservation as fit.
fn assign_partially(reservation: &mut Reservation, workers: &mut Workers) {
    let mut item = reservation.item(workers);
    let bins = bins(workers);
    while item.parts > 0 {
        if let Some(found) = find_workers(&bins, std::slice::from_ref(&item)) {
            reservation.assign(&found[0]);
            for worker in &found[0] {
                let worker = &mut workers.list[*worker];
                worker.reserved = worker.reserved.plus(reservation.spec.shape);
            }
            return;
        }
        item.parts = item.parts.min(bins.len() + 1) - 1;
    }
}

/// Finds workers for the parts of all guarantees, as if no tasks ran; the result is in the order of the guarantees.
///
/// # Errors
/// `guarantees_clash` with the name of the first guarantee that does not fit together with those before it.
pub fn pack_guarantees(
    workers: &[WorkerSpec],
    guarantees: &[GuaranteeSpec],
) -> Result<Vec<Vec<WorkerId>>> {
    let mut table = Workers::default();
    for worker in workers {
        table.upsert(worker);
    }
    let free = bins(&table);
    let items: Vec<Item> = guarantees
        .iter()
        .map(|spec| Reservation::new(spec.clone(), table.list.len()).item(&table))
        .collect();
    if let Some(found) = find_workers(&free, &items) {
        let name = |worker: &usize| table.list[*worker].id.clone();
        return Ok(found
            .iter()
            .map(|parts| parts.iter().map(name).collect())
            .collect());
    }
    let fitting = (1..=items.len())
        .find(|count| find_workers(&free, &items[..*count]).is_none())
        .unwrap_or(items.len());
    let names: Vec<String> = guarantees[..fitting]
        .iter()
        .map(|spec| format!("{}/{}", spec.customer, spec.name))
        .collect();
    let (last, before) = names
        .split_last()
        .map_or(("", &[][..]), |(last, before)| (last.as_str(), before));
    let detail = if before.is_empty() {
        format!("guarantee {last} does not fit into the data centre")
    } else {
        format!(
            "guarantee {last} does not fit together with {}",
            before.join(", ")
        )
    };
    Err(Error::new(ErrorKind::GuaranteesClash, detail))
}

impl Fleet {
    /// Returns the index of the reservation of the guarantee that a job names, or `None` if the job cannot use
    /// it.
    pub(crate) fn reservation_of(&self, seq: u64) -> Option<usize> {
        let spec = &self.jobs.get(&seq)?.spec;
        let name = spec.guarantee.as_ref()?;
        let reservation = self.reservations.iter().position(|reservation| {
            reservation.spec.customer == spec.customer && reservation.spec.name == *name
        })?;
        // A guarantee whose parts may be in several racks does not cover tasks that have to be in one rack.
        (spec.adjacency <= self.reservations[reservation].spec.adjacency).then_some(reservation)
    }

    /// Chooses parts of a reservation for a job. Prefers parts whose capacity is free without a reclaim.
    pub(crate) fn fit_in_reservation(&self, seq: u64, reservation: usize) -> Option<Assignment> {
        let spec = &self.jobs.get(&seq)?.spec;
        let held = &self.reservations[reservation];
        let mut options: Vec<(bool, bool, usize, u32)> = Vec::new();
        for (index, part) in held.parts.iter().enumerate() {
            let Some(worker) = part.worker else { continue };
            let count = spec
                .shape
                .count_fitting_in(held.spec.shape.minus(part.used))
                .min(spec.tasks);
            if count > 0 {
                let need = spec.shape.times(count);
                let needs_reclaim = !need.fits(self.workers.list[worker].available());
                options.push((needs_reclaim, part.jobs.is_empty(), index, count));
            }
        }
        options.sort_unstable();
        let mut remaining = spec.tasks;
        let mut parts = Vec::new();
        for (_, _, index, count) in options {
            let assigned = count.min(remaining);
            if assigned > 0 {
                parts.push((index, assigned));
                remaining -= assigned;
            }
        }
        (remaining == 0).then_some(Assignment { reservation, parts })
    }

    /// Moves the empty parts of a reservation to workers with free capacity, if fewer of them are then on workers
    /// where a reclaim would be needed.
    pub(crate) fn move_parts_to_free_workers(&mut self, reservation: usize) {
        let occupied_parts = |fleet: &Self| {
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
        let before = occupied_parts(self);
        if before == 0 || self.reservations[reservation].lost_parts() > 0 {
            return;
        }
        let old = self.reservations[reservation].clone();
        self.reservations[reservation].clear_empty_parts();
        update_reserved(&self.reservations, &mut self.workers);
        let item = self.reservations[reservation].item(&self.workers);
        match find_workers(&bins(&self.workers), &[item]) {
            Some(found) => self.reservations[reservation].assign(&found[0]),
            None => self.reservations[reservation] = old.clone(),
        }
        if occupied_parts(self) >= before {
            self.reservations[reservation] = old;
        }
        update_reserved(&self.reservations, &mut self.workers);
    }

    /// Assigns a job to parts of its reservation.
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

    /// Removes a job from its reservation. A job that runs becomes a borrower.
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

    /// Makes the reservations valid and as complete as possible after workers, guarantees or guaranteed jobs changed.
    pub(crate) fn repair_reservations(&mut self, now: Duration) {
        if self.policy == crate::Policy::FirstFit {
            return;
        }
        for seq in self.jobs_with_invalid_parts() {
            self.convert_to_borrower(seq, now);
        }
        for reservation in &mut self.reservations {
            let full = Reservation::new(reservation.spec.clone(), self.workers.list.len());
            let added = full.parts.len().saturating_sub(reservation.parts.len());
            let parts = std::iter::repeat_n(Part::default(), added);
            reservation.parts.extend(parts);
            let is_rack_bound = reservation.spec.adjacency == Adjacency::Rack;
            let rack = |part: &Part| part.worker.map(|worker| self.workers.list[worker].rack);
            let pinned = reservation
                .parts
                .iter()
                .filter(|part| !part.jobs.is_empty());
            let pinned_rack = pinned.clone().find_map(rack);
            let target_rack = pinned_rack.or_else(|| reservation.parts.iter().find_map(rack));
            for part in &mut reservation.parts {
                let Some(worker) = part.worker else { continue };
                let worker = &self.workers.list[worker];
                let wrong_rack = is_rack_bound && Some(worker.rack) != target_rack;
                if part.jobs.is_empty() && (!worker.is_usable() || wrong_rack) {
                    part.worker = None;
                }
            }
        }
        update_reserved(&self.reservations, &mut self.workers);
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
        assign_missing_parts(&mut self.reservations, &mut self.workers);
    }

    /// Returns the guaranteed jobs whose parts are no longer valid because workers changed.
    pub(crate) fn jobs_with_invalid_parts(&self) -> BTreeSet<u64> {
        let mut pinned = vec![Shape::default(); self.workers.list.len()];
        for reservation in &self.reservations {
            for part in &reservation.parts {
                if let (Some(worker), false) = (part.worker, part.jobs.is_empty()) {
                    pinned[worker] = pinned[worker].plus(reservation.spec.shape);
                }
            }
        }
        let mut jobs = BTreeSet::new();
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
            let is_split = reservation.spec.adjacency == Adjacency::Rack && racks.len() > 1;
            for part in used {
                let is_valid = part.worker.is_some_and(|index| {
                    let worker = &self.workers.list[index];
                    worker.is_usable() && pinned[index].fits(worker.capacity)
                });
                if is_split || !is_valid {
                    jobs.extend(&part.jobs);
                }
            }
        }
        jobs
    }
}
