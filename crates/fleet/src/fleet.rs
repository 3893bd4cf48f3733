//! The planner's state, and events about workers, guarantees and the data centre.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::Action;
use crate::Degraded;
use crate::GuaranteeSpec;
use crate::JobPhase;
use crate::Policy;
use crate::StopReason;
use crate::WorkerSpec;
use crate::health::Health;
use crate::hold::Hold;
use crate::job::Job;
use crate::queue::Queue;
use crate::reservation::Reservation;
use crate::run_time::RunTimes;
use crate::share::Shares;
use crate::worker::Workers;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::JobId;

/// Time that a stopped gang has for its checkpoint.
pub(crate) const CHECKPOINT_BOUND: Duration = Duration::from_secs(2);
/// Time after which the tasks of a silent worker end by their gang lease.
pub(crate) const GANG_LEASE: Duration = Duration::from_secs(6);

/// The planner of one data centre.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(crate) policy: Policy,
    pub(crate) workers: Workers,
    pub(crate) health: Vec<Health>,
    pub(crate) reservations: Vec<Reservation>,
    pub(crate) jobs: BTreeMap<u64, Job>,
    pub(crate) ids: HashMap<JobId, u64>,
    pub(crate) next_seq: u64,
    pub(crate) queue: Queue,
    /// Jobs that have a place and wait for other tasks to stop.
    pub(crate) pending: BTreeSet<u64>,
    pub(crate) shares: Shares,
    pub(crate) run_times: RunTimes,
    pub(crate) in_service: bool,
    pub(crate) hold: Option<Hold>,
    /// Actions that events have led to, handed out by the next call of `schedule`.
    pub(crate) outbox: Vec<Action>,
    pub(crate) lost_accelerator_seconds: f64,
    pub(crate) preemptions: u64,
}

impl Fleet {
    /// Creates a planner without workers, in service.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            workers: Workers::default(),
            health: Vec::new(),
            reservations: Vec::new(),
            jobs: BTreeMap::new(),
            ids: HashMap::new(),
            next_seq: 0,
            queue: Queue::default(),
            pending: BTreeSet::new(),
            shares: Shares::default(),
            run_times: RunTimes::default(),
            in_service: true,
            hold: None,
            outbox: Vec::new(),
            lost_accelerator_seconds: 0.0,
            preemptions: 0,
        }
    }

    /// Sets the weight of a customer in fair sharing beyond guarantees.
    pub fn set_customer_weight(&mut self, customer: &CustomerId, weight: u32, now: Duration) {
        self.shares.set_weight(customer, weight, now);
    }

    /// Adds a worker, or changes its size or rack; a worker that was away is usable again.
    pub fn upsert_worker(&mut self, spec: WorkerSpec, now: Duration) {
        let known = self.workers.index(&spec.id);
        let unchanged = known.is_some_and(|index| {
            let worker = &self.workers.list[index];
            worker.present && worker.capacity == spec.shape
        });
        let rack_before = known.map(|index| self.workers.list[index].rack);
        let index = self.workers.upsert(&spec);
        self.health
            .resize_with(self.workers.list.len(), Health::default);
        if unchanged && rack_before == Some(self.workers.list[index].rack) {
            return;
        }
        self.release_claims_on_unfit_workers(now);
        self.repair_reservations(now);
        self.reject_impossible_jobs();
    }

    /// Removes a worker for good; its gangs are stopped.
    pub fn remove_worker(&mut self, worker: &str, now: Duration) {
        let Some(index) = self.workers.index(worker) else {
            return;
        };
        self.workers.list[index].capacity = crate::Shape::default();
        self.workers.list[index].overcommitted = true;
        self.worker_failed(worker, now);
        self.reject_impossible_jobs();
    }

    /// Says whether new tasks and reservations may be placed on a worker; tasks on it go on.
    pub fn set_worker_usable(&mut self, worker: &str, usable: bool, now: Duration) {
        let Some(index) = self.workers.index(worker) else {
            return;
        };
        if self.workers.list[index].present != usable {
            self.workers.list[index].present = usable;
            self.release_claims_on_unfit_workers(now);
            self.repair_reservations(now);
        }
    }

    /// Records that a worker is lost with its tasks; it is used again after `upsert_worker` or
    /// `set_worker_usable`.
    pub fn worker_failed(&mut self, worker: &str, now: Duration) {
        let Some(index) = self.workers.index(worker) else {
            return;
        };
        self.workers.list[index].present = false;
        let gangs: Vec<u64> = self.workers.list[index].tasks.keys().copied().collect();
        for seq in gangs {
            self.stop_job(seq, StopReason::WorkerFailed, CHECKPOINT_BOUND, now);
        }
        self.release_claims_on_unfit_workers(now);
        self.repair_reservations(now);
    }

    /// Replaces all guarantees and returns those that the hardware cannot hold.
    pub fn set_guarantees(&mut self, specs: Vec<GuaranteeSpec>, now: Duration) -> Vec<Degraded> {
        let worker_count = self.workers.list.len();
        let mut wanted: Vec<GuaranteeSpec> = Vec::new();
        for spec in specs {
            let same = |one: &GuaranteeSpec| one.customer == spec.customer && one.name == spec.name;
            match wanted.iter_mut().find(|one| same(one)) {
                Some(one) => *one = spec,
                None => wanted.push(spec),
            }
        }
        let is_kept = |old: &GuaranteeSpec, new: &GuaranteeSpec| {
            let within = old.reclaim_within;
            GuaranteeSpec {
                reclaim_within: within,
                ..new.clone()
            } == *old
        };
        let old = self.reservations.len();
        let mut moved_to = vec![None; old];
        let mut reservations = Vec::new();
        for spec in wanted {
            let kept = (0..old).find(|index| is_kept(&self.reservations[*index].spec, &spec));
            let mut reservation = Reservation::new(spec, worker_count);
            if let Some(kept) = kept {
                moved_to[kept] = Some(reservations.len());
                reservation.parts.clone_from(&self.reservations[kept].parts);
            }
            reservations.push(reservation);
        }
        let guaranteed: Vec<(u64, usize)> = self
            .jobs
            .iter()
            .filter_map(|(seq, job)| Some((*seq, job.assignment.as_ref()?.reservation)))
            .collect();
        let mut homeless = Vec::new();
        for (seq, reservation) in &guaranteed {
            if moved_to[*reservation].is_none() {
                self.turn_into_borrower(*seq, now);
                homeless.push(*seq);
            }
        }
        for (seq, reservation) in guaranteed {
            let assignment = self
                .jobs
                .get_mut(&seq)
                .and_then(|job| job.assignment.as_mut());
            if let (Some(assignment), Some(index)) = (assignment, moved_to[reservation]) {
                assignment.reservation = index;
            }
        }
        self.reservations = reservations;
        self.repair_reservations(now);
        for seq in homeless {
            self.try_promote(seq, now);
        }
        self.degraded()
    }

    /// Takes the data centre out of service, which stops all gangs, or returns it.
    pub fn set_in_service(&mut self, in_service: bool, now: Duration) {
        self.in_service = in_service;
        if in_service {
            return;
        }
        self.hold = None;
        for seq in self.pending.clone() {
            self.release_claims(seq, now);
        }
        let placed: Vec<u64> = self.jobs.keys().copied().collect();
        for seq in placed {
            self.stop_job(seq, StopReason::OutOfService, CHECKPOINT_BOUND, now);
        }
    }

    /// Returns the number of workers in quarantine.
    pub(crate) fn quarantined(&self) -> usize {
        let unhealthy = self.workers.list.iter().filter(|one| !one.healthy);
        unhealthy.count()
    }

    /// Puts jobs that wait for claimed room on unusable workers back into the queue.
    pub(crate) fn release_claims_on_unfit_workers(&mut self, now: Duration) {
        for seq in self.pending.clone() {
            let unfit = self.jobs[&seq].placements.iter().any(|(index, _)| {
                let worker = &self.workers.list[*index];
                !worker.is_usable() || !worker.claimed.fits(worker.capacity)
            });
            if unfit {
                self.release_claims(seq, now);
            }
        }
    }

    /// Takes a job out of its reservation; one that only has claims waits again.
    pub(crate) fn turn_into_borrower(&mut self, seq: u64, now: Duration) {
        match self.jobs.get(&seq).map(|job| job.phase) {
            Some(JobPhase::Reclaiming) => {
                self.detach(seq);
                self.take_claims(seq);
                self.enqueue(seq);
            }
            Some(_) => {
                self.detach(seq);
                self.count_borrowed(seq, now);
            }
            None => {}
        }
    }
}
