//! One round of scheduling: jobs with claims, guaranteed jobs, fair share, holds and backfill.

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
use crate::fleet::CHECKPOINT_TIMEOUT;
use crate::fleet::GANG_LEASE;
use crate::health::HealthState;
use crate::hold::Hold;
use crate::job::Assignment;
use crate::placement::Candidate;
use crate::placement::best_fit;
use crate::queue::QueueKey;
use nutmegwalk_base::CustomerId;

/// Maximum number of starts in one call, so that a returning data centre does not start all its jobs at once.
pub(crate) const MAX_STARTS: usize = 64;
/// Maximum number of queued jobs that one call considers.
const MAX_CONSIDERED: usize = 4_096;

/// Class of jobs with equal placement requirements: number of tasks, shape, locality constraint, and whether
/// the job is expected to end before the hold starts. Once a job of a class does not fit, the others of the
/// class are skipped for the rest of the round.
type JobClass = (u32, Shape, Adjacency, bool);

impl Fleet {
    /// Returns the jobs to start, stop and reject now.
    pub fn schedule(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.in_service {
            for health in &mut self.health {
                health.probe_if_due(now);
            }
            match self.policy {
                Policy::Guaranteed => {
                    // Borrowers come last, so that no job is started and reclaimed in the same call.
                    self.start_pending(true, now, &mut actions);
                    self.start_guaranteed(now, &mut actions);
                    self.start_pending(false, now, &mut actions);
                    self.start_borrowers(now, &mut actions);
                }
                Policy::FirstFit | Policy::Static => self.schedule_baseline(now, &mut actions),
            }
        }
        // Stops and rejections precede starts.
        let mut all = std::mem::take(&mut self.outbox);
        all.append(&mut actions);
        all
    }

    /// Starts jobs whose claimed capacity has become free.
    fn start_pending(&mut self, guaranteed: bool, now: Duration, actions: &mut Vec<Action>) {
        for seq in self.pending.clone() {
            let job = &self.jobs[&seq];
            if job.assignment.is_some() != guaranteed {
                continue;
            }
            let is_possible = job.placements.iter().all(|(worker, tasks)| {
                let worker = &self.workers.list[*worker];
                let not_stopping = worker.used.minus(worker.stopping);
                job.spec
                    .shape
                    .times(*tasks)
                    .fits(worker.capacity.minus(not_stopping))
            });
            if !is_possible {
                // Other jobs use the capacity, for example one from `add_running_job`, so place the job again.
                self.release_claims(seq, now);
                continue;
            }
            let is_free = job.placements.iter().all(|(worker, tasks)| {
                let free = self.workers.list[*worker].free();
                job.spec.shape.times(*tasks).fits(free)
            });
            if is_free && count_starts(actions) < MAX_STARTS {
                let placements = self.remove_claims(seq);
                self.start(seq, placements, now, actions);
            }
        }
    }

    /// Starts, or reclaims capacity for, jobs that fit into the unused parts of their guarantee.
    fn start_guaranteed(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut failed: BTreeSet<(usize, u32, Shape)> = BTreeSet::new();
        let mut decided = count_starts(actions);
        for (_, seq) in self.queue.guaranteed.clone() {
            // Reclaims count like starts, because each of them may scan all workers.
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

    /// Chooses parts of a reservation for a job. Moves empty parts to workers with free capacity first if the job
    /// would have to wait otherwise.
    fn best_assignment(&mut self, seq: u64, reservation: usize) -> Option<Assignment> {
        let first = self.fit_in_reservation(seq, reservation)?;
        let needs = self.needs(seq, &first);
        if !self.all_available(&needs) {
            self.move_parts_to_free_workers(reservation);
            return self.fit_in_reservation(seq, reservation);
        }
        Some(first)
    }

    /// Returns the capacity that an assignment needs on each worker.
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

    /// Starts a job in its reservation, or stops borrowers and claims the capacity if it is not available.
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
        // The tasks of an unresponsive worker end only when their gang lease expires, so the checkpoint gets only
        // the part of the reclaim time that remains after the lease.
        let within = reservation.spec.reclaim_within.saturating_sub(GANG_LEASE);
        let within = within.min(CHECKPOINT_TIMEOUT);
        if let Some(victims) = self.choose_victims(&needs, now) {
            for victim in victims {
                self.release_claims(victim, now);
                self.stop_job(victim, StopReason::Reclaimed, within, now);
            }
            self.attach(seq, assignment);
            self.claim(seq, placements);
        }
    }

    /// Starts the other jobs by fair share and age, unless they are expected to delay the gang that has a hold.
    fn start_borrowers(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut failed: BTreeSet<JobClass> = BTreeSet::new();
        self.process_hold(now, actions);
        let mut use_by_customer: BTreeMap<CustomerId, f64> = BTreeMap::new();
        let customers: Vec<CustomerId> = self.queue.by_customer.keys().cloned().collect();
        for customer in customers {
            let weighted_use = self.fair_share.weighted_use(&customer, now);
            use_by_customer.insert(customer, weighted_use);
        }
        let mut last_considered: BTreeMap<CustomerId, QueueKey> = BTreeMap::new();
        for _ in 0..MAX_CONSIDERED {
            if count_starts(actions) >= MAX_STARTS {
                return;
            }
            let lowest = use_by_customer.iter().min_by(|a, b| a.1.total_cmp(b.1));
            let Some(customer) = lowest.map(|(customer, _)| customer.clone()) else {
                return;
            };
            let Some(key) = self.next_queued(&customer, last_considered.get(&customer)) else {
                use_by_customer.remove(&customer);
                continue;
            };
            last_considered.insert(customer.clone(), key);
            let seq = key.1;
            if self.jobs[&seq].not_before > now
                || self.hold.as_ref().is_some_and(|hold| hold.job == seq)
            {
                continue;
            }
            let spec = &self.jobs[&seq].spec;
            let (accelerators, cost) = (spec.accelerators(), self.expected_cost(seq));
            let ends_before_hold = self.ends_before_hold(seq, now);
            let class = (spec.tasks, spec.shape, spec.adjacency, ends_before_hold);
            let has_no_failures = self.jobs[&seq].failed_on.is_empty();
            if has_no_failures && failed.contains(&class) {
                continue;
            }
            if let Some(placements) = self.place(seq, ends_before_hold) {
                self.charge_hold(seq, &placements, ends_before_hold);
                self.start(seq, placements, now, actions);
                if let Some(weighted_use) = use_by_customer.get_mut(&customer) {
                    *weighted_use += cost / f64::from(self.fair_share.weight(&customer));
                }
            } else {
                failed.insert(class);
                if self.hold.is_none() && accelerators > 0 {
                    self.hold = self.plan_hold(seq, now);
                    // Whether a job ends before the hold depends on the hold, which is new.
                    failed.clear();
                }
            }
        }
    }

    /// Returns the oldest queued job of a customer, or the next one after `after` if that is given.
    fn next_queued(&self, customer: &CustomerId, after: Option<&QueueKey>) -> Option<QueueKey> {
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

    /// Returns the accelerator-seconds that a job is expected to use until it ends.
    fn expected_cost(&self, seq: u64) -> f64 {
        let job = &self.jobs[&seq];
        let spec = &job.spec;
        let time = self
            .run_times
            .remaining(&spec.customer, &spec.service, job.checkpoint);
        time.as_secs_f64() * spec.accelerators() as f64
    }

    /// Returns whether a job that starts now is expected to end before the gang with the hold starts.
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

    /// Starts the gang that has a hold if it fits now; otherwise stops overdue backfilled jobs, consolidates
    /// borrowers, or renews the hold.
    fn process_hold(&mut self, now: Duration, actions: &mut Vec<Action>) {
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

    /// Stops jobs that were backfilled on the hold of an overdue gang, if that makes the gang fit.
    ///
    /// Returns whether the gang now has claims.
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
        let candidates = self.candidates(gang, |index, available| {
            available.plus(backfilled.get(&index).copied().unwrap_or_default())
        });
        let spec = &self.jobs[&gang].spec;
        let rack_count = self.workers.rack_count();
        let Some(placements) = best_fit(&candidates, rack_count, spec.tasks, spec.adjacency) else {
            return false;
        };
        for (worker, tasks) in &placements {
            let need = shape.times(*tasks);
            let on_worker: Vec<u64> = self.workers.list[*worker].tasks.keys().copied().collect();
            for seq in on_worker {
                let is_sufficient = need.fits(self.workers.list[*worker].available_after_stops());
                let job = &self.jobs[&seq];
                if !is_sufficient && job.is_borrower() && job.backfilled_on == Some(gang) {
                    self.stop_job(seq, StopReason::HoldDue, CHECKPOINT_TIMEOUT, now);
                }
            }
        }
        self.claim(gang, placements);
        true
    }

    /// Returns the workers that a job may use, with the number of its tasks that fit into the capacity that
    /// `usable` returns for the worker's index and available capacity.
    fn candidates(&self, seq: u64, usable: impl Fn(usize, Shape) -> Shape) -> Vec<Candidate> {
        let job = &self.jobs[&seq];
        let mut candidates = Vec::new();
        for (index, worker) in self.workers.list.iter().enumerate() {
            if !self.accepts_borrowers(index) || job.failed_on.contains(&index) {
                continue;
            }
            let tasks = job
                .spec
                .shape
                .count_fitting_in(usable(index, worker.available()));
            if tasks > 0 {
                candidates.push(Candidate {
                    worker: index,
                    rack: worker.rack,
                    tasks,
                });
            }
        }
        candidates
    }

    /// Returns whether borrowers may start on a worker. A worker that is being probed accepts one job at a time.
    fn accepts_borrowers(&self, index: usize) -> bool {
        let worker = &self.workers.list[index];
        let is_probing = self.health[index].state == HealthState::Probing;
        worker.present && (worker.healthy || (is_probing && worker.tasks.is_empty()))
    }

    /// Returns whether a start of a job on a worker is more likely to fail than on other workers.
    fn is_failure_prone(&self, seq: u64, index: usize) -> bool {
        // Workers in the same rack often fail together.
        let rack = self.workers.list[index].rack;
        let failed_on = self.jobs[&seq].failed_on.iter();
        let mut failed_racks = failed_on.map(|worker| self.workers.list[*worker].rack);
        !self.health[index].failed_jobs.is_empty() || failed_racks.any(|failed| failed == rack)
    }

    /// Chooses workers for a job outside its guarantee.
    ///
    /// Prefers unreserved capacity on workers that are not failure-prone for the job, then any unreserved
    /// capacity, then capacity reserved for guarantees as well. Unless `ignore_hold` is set, leaves the capacity
    /// of the hold free.
    pub(crate) fn place(&self, seq: u64, ignore_hold: bool) -> Option<Vec<(usize, u32)>> {
        let spec = &self.jobs[&seq].spec;
        let rack_count = self.workers.rack_count();
        let spare = |index: usize, available: Shape| match &self.hold {
            Some(hold) if !ignore_hold => available.min(hold.spare[index]),
            _ => available,
        };
        let fit =
            |candidates: &[Candidate]| best_fit(candidates, rack_count, spec.tasks, spec.adjacency);
        let mut unreserved = self.candidates(seq, |index, available| {
            spare(index, available).minus(self.workers.list[index].unused_reserved())
        });
        let all = unreserved.clone();
        unreserved.retain(|candidate| !self.is_failure_prone(seq, candidate.worker));
        if let Some(placements) = fit(&unreserved) {
            return Some(placements);
        }
        if unreserved.len() < all.len()
            && let Some(placements) = fit(&all)
        {
            return Some(placements);
        }
        fit(&self.candidates(seq, spare))
    }

    /// Charges a job that starts to the spare capacity of the hold, or marks it as backfilled if it does not fit
    /// there. A job that fits and ends before the hold starts is not charged.
    fn charge_hold(&mut self, seq: u64, placements: &[(usize, u32)], ends_before_hold: bool) {
        let Some(hold) = &mut self.hold else { return };
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        let needs = placements.iter().map(|(worker, tasks)| {
            let need = job.spec.shape.times(*tasks);
            (*worker, need)
        });
        let needs: Vec<(usize, Shape)> = needs.collect();
        let fits_in_spare = needs
            .iter()
            .all(|(worker, need)| need.fits(hold.spare[*worker]));
        if fits_in_spare && !ends_before_hold {
            for (worker, need) in needs {
                hold.spare[worker] = hold.spare[worker].minus(need);
            }
        } else if !fits_in_spare {
            job.backfilled_on = Some(hold.job);
        }
    }

    /// Allocates resources for the tasks of a job and adds its `Start` action.
    pub(crate) fn start(
        &mut self,
        seq: u64,
        placements: Vec<(usize, u32)>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let named_placements = placements.iter().map(|(index, tasks)| Placement {
            worker: self.workers.list[*index].id.clone(),
            tasks: *tasks,
        });
        let named_placements = named_placements.collect();
        self.allocate(seq, placements, now);
        self.add_borrowed_use(seq, now);
        if let Some(job) = self.jobs.get(&seq) {
            actions.push(Action::Start {
                job: job.spec.id.clone(),
                placements: named_placements,
                borrowed: job.assignment.is_none(),
            });
        }
    }
}

/// Returns the number of starts among `actions`.
fn count_starts(actions: &[Action]) -> usize {
    let is_start = |action: &&Action| matches!(action, Action::Start { .. });
    actions.iter().filter(is_start).count()
}
