//! One round of scheduling: waiting starts, guaranteed jobs, fair share, holds and backfill.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Action;
use crate::Adjacency;
use crate::Fleet;
use crate::JobPhase;
use crate::Placement;
use crate::Policy;
use crate::Shape;
use crate::StopReason;
use crate::fleet::CHECKPOINT_BOUND;
use crate::fleet::GANG_LEASE;
use crate::health::HealthState;
use crate::hold::Hold;
use crate::job::Assignment;
use crate::placement::Room;
use crate::placement::best_fit;
use crate::queue::QueueKey;
use nutmegwalk_base::CustomerId;

/// Most starts in one call, so that a data centre that returns does not start everything at once.
pub(crate) const MAX_STARTS: usize = 64;
/// Most waiting jobs that one call considers.
const MAX_CONSIDERED: usize = 4_096;

/// A kind of job that found no room in this round.
type Kind = (u32, Shape, Adjacency, bool);

impl Fleet {
    /// Decides what to start, stop and reject now.
    pub fn schedule(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.in_service {
            for health in &mut self.health {
                health.probe_if_due(now);
            }
            match self.policy {
                Policy::Guaranteed => {
                    // Borrowers come last, so that none is started and reclaimed in the same call.
                    self.start_pending(true, now, &mut actions);
                    self.start_guaranteed(now, &mut actions);
                    self.start_pending(false, now, &mut actions);
                    self.start_borrowers(now, &mut actions);
                }
                Policy::FirstFit | Policy::Static => self.schedule_baseline(now, &mut actions),
            }
        }
        // Stops and rejections go first.
        let mut all = std::mem::take(&mut self.outbox);
        all.append(&mut actions);
        all
    }

    /// Starts jobs whose claimed room has become free.
    fn start_pending(&mut self, guaranteed: bool, now: Duration, actions: &mut Vec<Action>) {
        for seq in self.pending.clone() {
            let job = &self.jobs[&seq];
            if job.assignment.is_some() != guaranteed {
                continue;
            }
            let possible = job.placements.iter().all(|(worker, tasks)| {
                let worker = &self.workers.list[*worker];
                let staying = worker.used.minus(worker.stopping);
                job.spec
                    .shape
                    .times(*tasks)
                    .fits(worker.capacity.minus(staying))
            });
            if !possible {
                // Something else took the room, for example a job that was adopted; choose anew.
                self.release_claims(seq, now);
                continue;
            }
            let ready = job.placements.iter().all(|(worker, tasks)| {
                let free = self.workers.list[*worker].free();
                job.spec.shape.times(*tasks).fits(free)
            });
            if ready && starts(actions) < MAX_STARTS {
                let placements = self.take_claims(seq);
                self.start(seq, placements, now, actions);
            }
        }
    }

    /// Starts, or reclaims room for, jobs that fit in what is left of their guarantee.
    fn start_guaranteed(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut failed: BTreeSet<(usize, u32, Shape)> = BTreeSet::new();
        let mut decided = starts(actions);
        for (_, seq) in self.queue.guaranteed.clone() {
            // Reclaims count like starts, because each looks at all workers.
            if decided >= MAX_STARTS {
                return;
            }
            let job = &self.jobs[&seq];
            let (tasks, shape) = (job.spec.tasks, job.spec.shape);
            if job.not_before > now {
                continue;
            }
            let Some(reservation) = self.reservation_of(seq) else {
                continue;
            };
            if failed.contains(&(reservation, tasks, shape)) {
                continue;
            }
            match self.best_assignment(seq, reservation) {
                Some(assignment) => {
                    decided += 1;
                    self.start_in_reservation(seq, assignment, now, actions);
                }
                None => {
                    failed.insert((reservation, tasks, shape));
                }
            }
        }
    }

    fn best_assignment(&mut self, seq: u64, reservation: usize) -> Option<Assignment> {
        let first = self.fit_in_reservation(seq, reservation)?;
        let needs = self.needs(seq, &first);
        if !self.all_available(&needs) {
            self.follow_free_capacity(reservation);
            return self.fit_in_reservation(seq, reservation);
        }
        Some(first)
    }

    fn needs(&self, seq: u64, assignment: &Assignment) -> Vec<(usize, Shape)> {
        let shape = self.jobs[&seq].spec.shape;
        let parts = &self.reservations[assignment.reservation].parts;
        let needs = assignment.parts.iter();
        needs
            .filter_map(|(part, tasks)| Some((parts[*part].worker?, shape.times(*tasks))))
            .collect()
    }

    fn all_available(&self, needs: &[(usize, Shape)]) -> bool {
        needs
            .iter()
            .all(|(worker, need)| need.fits(self.workers.list[*worker].available()))
    }

    fn start_in_reservation(
        &mut self,
        seq: u64,
        assignment: Assignment,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let needs = self.needs(seq, &assignment);
        let reservation = &self.reservations[assignment.reservation];
        let placements: Vec<(usize, u32)> = assignment
            .parts
            .iter()
            .filter_map(|(part, tasks)| Some((reservation.parts[*part].worker?, *tasks)))
            .collect();
        if self.all_available(&needs) {
            self.attach(seq, assignment);
            self.start(seq, placements, now, actions);
            return;
        }
        // The tasks of a silent worker end only with their gang lease, which bounds the checkpoint.
        let within = reservation.spec.reclaim_within.saturating_sub(GANG_LEASE);
        let within = within.min(CHECKPOINT_BOUND);
        if let Some(victims) = self.choose_victims(&needs, now) {
            for victim in victims {
                self.release_claims(victim, now);
                self.stop_job(victim, StopReason::Reclaimed, within, now);
            }
            self.attach(seq, assignment);
            self.claim(seq, placements);
        }
    }

    /// Starts the other jobs by fair share and age, around the hold of a waiting gang.
    fn start_borrowers(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut failed: BTreeSet<Kind> = BTreeSet::new();
        self.serve_hold(now, actions);
        let mut levels: BTreeMap<CustomerId, f64> = BTreeMap::new();
        let customers: Vec<CustomerId> = self.queue.by_customer.keys().cloned().collect();
        for customer in customers {
            let level = self.shares.level(&customer, now);
            levels.insert(customer, level);
        }
        let mut passed: BTreeMap<CustomerId, QueueKey> = BTreeMap::new();
        for _ in 0..MAX_CONSIDERED {
            if starts(actions) >= MAX_STARTS {
                return;
            }
            let lowest = levels.iter().min_by(|one, other| one.1.total_cmp(other.1));
            let Some(customer) = lowest.map(|(customer, _)| customer.clone()) else {
                return;
            };
            let Some(key) = self.next_of(&customer, passed.get(&customer)) else {
                levels.remove(&customer);
                continue;
            };
            passed.insert(customer.clone(), key);
            let seq = key.1;
            if self.jobs[&seq].not_before > now
                || self.hold.as_ref().is_some_and(|hold| hold.job == seq)
            {
                continue;
            }
            let spec = &self.jobs[&seq].spec;
            let (accelerators, cost) = (spec.accelerators(), self.expected_cost(seq));
            let brief = self.ends_before_hold(seq, now);
            let kind = (spec.tasks, spec.shape, spec.adjacency, brief);
            let plain = self.jobs[&seq].failed_on.is_empty();
            if plain && failed.contains(&kind) {
                continue;
            }
            if let Some(placements) = self.place(seq, brief) {
                self.take_spare(seq, &placements, brief);
                self.start(seq, placements, now, actions);
                if let Some(level) = levels.get_mut(&customer) {
                    *level += cost / f64::from(self.shares.weight(&customer));
                }
            } else {
                failed.insert(kind);
                if self.hold.is_none() && accelerators > 0 {
                    self.hold = self.plan_hold(seq, now);
                    // Whether a job ends before the hold has a new meaning.
                    failed.clear();
                }
            }
        }
    }

    fn next_of(&self, customer: &CustomerId, after: Option<&QueueKey>) -> Option<QueueKey> {
        let keys = self.queue.by_customer.get(customer)?;
        match after {
            Some(after) => {
                let from = std::ops::Bound::Excluded(*after);
                keys.range((from, std::ops::Bound::Unbounded)).next()
            }
            None => keys.first(),
        }
        .copied()
    }

    /// Returns the accelerator-seconds that a job is expected to take.
    fn expected_cost(&self, seq: u64) -> f64 {
        let job = &self.jobs[&seq];
        let spec = &job.spec;
        let time = self
            .run_times
            .remaining(&spec.customer, &spec.service, job.checkpoint);
        time.as_secs_f64() * spec.accelerators() as f64
    }

    fn ends_before_hold(&self, seq: u64, now: Duration) -> bool {
        let job = &self.jobs[&seq];
        let spec = &job.spec;
        let time = self
            .run_times
            .remaining(&spec.customer, &spec.service, job.checkpoint);
        self.hold
            .as_ref()
            .is_none_or(|hold| now.saturating_add(time) <= hold.start)
    }

    /// Starts the gang that has a hold, or computes anew when it will fit.
    fn serve_hold(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(hold) = self.hold.take() else {
            return;
        };
        let Some(job) = self.jobs.get(&hold.job) else {
            return;
        };
        if job.phase != JobPhase::Queued || job.not_before > now {
            return;
        }
        if let Some(placements) = self.place(hold.job, true) {
            self.start(hold.job, placements, now, actions);
            return;
        }
        if now >= hold.due && self.stop_backfilled(hold.job, now) {
            return;
        }
        let renewed = self.plan_hold(hold.job, now).map(|new| Hold {
            due: hold.due,
            ..new
        });
        if let Some(hold) = renewed
            && !self.consolidate(&hold, now)
        {
            self.hold = Some(hold);
        }
    }

    /// Stops jobs that were backfilled on a gang's hold and overran, if the gang fits then.
    fn stop_backfilled(&mut self, gang: u64, now: Duration) -> bool {
        let mut backfilled: BTreeMap<usize, Shape> = BTreeMap::new();
        for job in self.jobs.values() {
            if job.is_borrower() && job.backfilled_on == Some(gang) {
                for (worker, tasks) in &job.placements {
                    let sum = backfilled.entry(*worker).or_default();
                    *sum = sum.plus(job.spec.shape.times(*tasks));
                }
            }
        }
        if backfilled.is_empty() {
            return false;
        }
        let shape = self.jobs[&gang].spec.shape;
        let rooms = self.rooms(gang, |index, available| {
            available.plus(backfilled.get(&index).copied().unwrap_or_default())
        });
        let spec = &self.jobs[&gang].spec;
        let rack_count = self.workers.rack_count();
        let Some(placements) = best_fit(&rooms, rack_count, spec.tasks, spec.adjacency) else {
            return false;
        };
        for (worker, tasks) in &placements {
            let need = shape.times(*tasks);
            let on_worker: Vec<u64> = self.workers.list[*worker].tasks.keys().copied().collect();
            for seq in on_worker {
                let enough = need.fits(self.workers.list[*worker].available_after_stops());
                let job = &self.jobs[&seq];
                if !enough && job.is_borrower() && job.backfilled_on == Some(gang) {
                    self.stop_job(seq, StopReason::HoldDue, CHECKPOINT_BOUND, now);
                }
            }
        }
        self.claim(gang, placements);
        true
    }

    /// Returns the workers that a job may use, with the room that `room` leaves for it.
    fn rooms(&self, seq: u64, room: impl Fn(usize, Shape) -> Shape) -> Vec<Room> {
        let job = &self.jobs[&seq];
        let mut rooms = Vec::new();
        for (index, worker) in self.workers.list.iter().enumerate() {
            if !self.takes_borrowers(index) || job.failed_on.contains(&index) {
                continue;
            }
            let tasks = job
                .spec
                .shape
                .count_fitting_in(room(index, worker.available()));
            if tasks > 0 {
                rooms.push(Room {
                    worker: index,
                    rack: worker.rack,
                    tasks,
                });
            }
        }
        rooms
    }

    /// Returns whether borrowers may start on a worker; one that is probed takes one job at a time.
    fn takes_borrowers(&self, index: usize) -> bool {
        let worker = &self.workers.list[index];
        let probed = self.health[index].state == HealthState::Probing;
        worker.present && (worker.healthy || (probed && worker.tasks.is_empty()))
    }

    /// Returns whether a start on a worker is more likely to fail than elsewhere.
    fn is_doubtful(&self, seq: u64, index: usize) -> bool {
        // Workers of one rack often fail together.
        let rack = self.workers.list[index].rack;
        let failed_on = self.jobs[&seq].failed_on.iter();
        let mut failed_racks = failed_on.map(|worker| self.workers.list[*worker].rack);
        !self.health[index].failed_jobs.is_empty() || failed_racks.any(|failed| failed == rack)
    }

    /// Chooses workers for a job outside reservations, on unreserved capacity if there is enough.
    pub(crate) fn place(&self, seq: u64, ignore_hold: bool) -> Option<Vec<(usize, u32)>> {
        let spec = &self.jobs[&seq].spec;
        let rack_count = self.workers.rack_count();
        let spare = |index: usize, available: Shape| match &self.hold {
            Some(hold) if !ignore_hold => available.min(hold.spare[index]),
            _ => available,
        };
        let fit = |rooms: &[Room]| best_fit(rooms, rack_count, spec.tasks, spec.adjacency);
        let mut unreserved = self.rooms(seq, |index, available| {
            spare(index, available).minus(self.workers.list[index].unfilled())
        });
        let all = unreserved.clone();
        unreserved.retain(|room| !self.is_doubtful(seq, room.worker));
        if let Some(placements) = fit(&unreserved) {
            return Some(placements);
        }
        if unreserved.len() < all.len()
            && let Some(placements) = fit(&all)
        {
            return Some(placements);
        }
        fit(&self.rooms(seq, spare))
    }

    /// Counts a started job against the spare capacity of the hold, or as backfilled on it.
    fn take_spare(&mut self, seq: u64, placements: &[(usize, u32)], brief: bool) {
        let Some(hold) = &mut self.hold else { return };
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        let needs = placements.iter().map(|(worker, tasks)| {
            let need = job.spec.shape.times(*tasks);
            (*worker, need)
        });
        let needs: Vec<(usize, Shape)> = needs.collect();
        let beside = needs
            .iter()
            .all(|(worker, need)| need.fits(hold.spare[*worker]));
        if beside && !brief {
            for (worker, need) in needs {
                hold.spare[worker] = hold.spare[worker].minus(need);
            }
        } else if !beside {
            job.backfilled_on = Some(hold.job);
        }
    }

    /// Books the tasks of a job and tells the owner to start them.
    pub(crate) fn start(
        &mut self,
        seq: u64,
        placements: Vec<(usize, u32)>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let named = placements.iter().map(|(index, tasks)| Placement {
            worker: self.workers.list[*index].id.clone(),
            tasks: *tasks,
        });
        let named = named.collect();
        self.occupy(seq, placements, now);
        self.count_borrowed(seq, now);
        if let Some(job) = self.jobs.get(&seq) {
            actions.push(Action::Start {
                job: job.spec.id.clone(),
                placements: named,
                borrowed: job.assignment.is_none(),
            });
        }
    }
}

fn starts(actions: &[Action]) -> usize {
    let is_start = |action: &&Action| matches!(action, Action::Start { .. });
    actions.iter().filter(is_start).count()
}
