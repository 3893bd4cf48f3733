//! State of the planner, and its events about workers, guarantees and the data centre.

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
use crate::share::FairShare;
use crate::worker::Workers;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::JobId;

/// Time limit for the checkpoint of a gang that is being stopped.
pub(crate) const CHECKPOINT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which the tasks of an unresponsive worker end because their gang lease expires.
pub(crate) const GANG_LEASE: Duration = Duration::from_secs(6);

/// Planner of one data centre.
///
/// Jobs are identified by a sequence number internally; workers and reservations by their index.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(crate) policy: Policy,
    pub(crate) workers: Workers,
    pub(crate) health: Vec<Health>,
    pub(crate) reservations: Vec<Reservation>,
    pub(crate) jobs: BTreeMap<u64, Job>,
    pub(crate) seq_by_id: HashMap<JobId, u64>,
    pub(crate) next_seq: u64,
    pub(crate) queue: Queue,
    /// Jobs that have claimed capacity and wait for other tasks to stop.
    pub(crate) pending: BTreeSet<u64>,
    pub(crate) fair_share: FairShare,
    pub(crate) run_times: RunTimes,
    pub(crate) in_service: bool,
    pub(crate) hold: Option<Hold>,
    /// Actions caused by events, returned by the next call of `schedule`.
    pub(crate) outbox: Vec<Action>,
    pub(crate) lost_accelerator_seconds: f64,
    pub(crate) preemptions: u64,
}

impl Fleet {
    /// Creates a planner for a data centre that is in service and has no workers yet.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            workers: Workers::default(),
            health: Vec::new(),
            reservations: Vec::new(),
            jobs: BTreeMap::new(),
            seq_by_id: HashMap::new(),
            next_seq: 0,
            queue: Queue::default(),
            pending: BTreeSet::new(),
            fair_share: FairShare::default(),
            run_times: RunTimes::default(),
            in_service: true,
            hold: None,
            outbox: Vec::new(),
            lost_accelerator_seconds: 0.0,
            preemptions: 0,
        }
    }

    /// Sets the weight of a customer in the fair sharing of capacity beyond guarantees.
    pub fn set_customer_weight(&mut self, customer: &CustomerId, weight: u32, now: Duration) {
        self.fair_share.set_weight(customer, weight, now);
    }

    /// Adds a worker, or changes its capacity or rack. A worker that was lost or set unusable becomes usable
    /// again, unless it is in quarantine.
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
        self.release_invalid_claims(now);
        self.repair_reservations(now);
        self.reject_impossible_jobs();
    }

    /// Removes a worker permanently and stops the gangs that have tasks on it.
    pub fn remove_worker(&mut self, worker: &str, now: Duration) {
        let Some(index) = self.workers.index(worker) else {
            return;
        };
        self.workers.list[index].capacity = crate::Shape::default();
        self.workers.list[index].overcommitted = true;
        self.record_worker_failure(worker, now);
        self.reject_impossible_jobs();
    }

    /// Sets whether new tasks and reservations may be placed on a worker. Tasks that run on it continue.
    pub fn set_worker_usable(&mut self, worker: &str, usable: bool, now: Duration) {
        let Some(index) = self.workers.index(worker) else {
            return;
        };
        if self.workers.list[index].present != usable {
            self.workers.list[index].present = usable;
            self.release_invalid_claims(now);
            self.repair_reservations(now);
        }
    }

    /// Records that a worker and the tasks on it are lost. The worker becomes usable again with
    /// `upsert_worker` or `set_worker_usable`.
    pub fn record_worker_failure(&mut self, worker: &str, now: Duration) {
        let Some(index) = self.workers.index(worker) else {
            return;
        };
        self.workers.list[index].present = false;
        let gangs: Vec<u64> = self.workers.list[index].tasks.keys().copied().collect();
        for seq in gangs {
            self.stop_job(seq, StopReason::WorkerFailed, CHECKPOINT_TIMEOUT, now);
        }
        self.release_invalid_claims(now);
        self.repair_reservations(now);
    }

    /// Replaces all guarantees and returns those that the usable workers cannot hold in full.
    pub fn set_guarantees(&mut self, specs: Vec<GuaranteeSpec>, now: Duration) -> Vec<Degraded> {
        let worker_count = self.workers.list.len();
        let mut deduplicated: Vec<GuaranteeSpec> = Vec::new();
        for spec in specs {
            let is_same = |existing: &GuaranteeSpec| {
                existing.customer == spec.customer && existing.name == spec.name
            };
            match deduplicated.iter_mut().find(|existing| is_same(existing)) {
                Some(existing) => *existing = spec,
                None => deduplicated.push(spec),
            }
        }
        let is_unchanged = |old: &GuaranteeSpec, new: &GuaranteeSpec| {
            let reclaim_within = old.reclaim_within;
            GuaranteeSpec {
                reclaim_within,
                ..new.clone()
            } == *old
        };
        let old = self.reservations.len();
        let mut new_index = vec![None; old];
        let mut reservations = Vec::new();
        for spec in deduplicated {
            let kept = (0..old).find(|index| is_unchanged(&self.reservations[*index].spec, &spec));
            let mut reservation = Reservation::new(spec, worker_count);
            if let Some(kept) = kept {
                new_index[kept] = Some(reservations.len());
                reservation.parts.clone_from(&self.reservations[kept].parts);
            }
            reservations.push(reservation);
        }
        let guaranteed: Vec<(u64, usize)> = self
            .jobs
            .iter()
            .filter_map(|(seq, job)| Some((*seq, job.assignment.as_ref()?.reservation)))
            .collect();
        let mut without_reservation = Vec::new();
        for (seq, reservation) in &guaranteed {
            if new_index[*reservation].is_none() {
                self.convert_to_borrower(*seq, now);
                without_reservation.push(*seq);
            }
        }
        for (seq, reservation) in guaranteed {
            let assignment = self
                .jobs
                .get_mut(&seq)
                .and_then(|job| job.assignment.as_mut());
            if let (Some(assignment), Some(index)) = (assignment, new_index[reservation]) {
                assignment.reservation = index;
            }
        }
        self.reservations = reservations;
        self.repair_reservations(now);
        for seq in without_reservation {
            self.try_promote(seq, now);
        }
        self.degraded()
    }

    /// Takes the data centre out of service, which stops all gangs, or returns it to service.
    pub fn set_in_service(&mut self, in_service: bool, now: Duration) {
        self.in_service = in_service;
        if in_service {
            return;
        }
        self.hold = None;
        for seq in self.pending.clone() {
            self.release_claims(seq, now);
        }
        let all_jobs: Vec<u64> = self.jobs.keys().copied().collect();
        for seq in all_jobs {
            self.stop_job(seq, StopReason::OutOfService, CHECKPOINT_TIMEOUT, now);
        }
    }

    /// Returns the number of workers in quarantine.
    pub(crate) fn quarantined_count(&self) -> usize {
        let unhealthy = self.workers.list.iter().filter(|worker| !worker.healthy);
        unhealthy.count()
    }

    /// Puts jobs back into the queue whose claims are on unusable workers or exceed the capacity of a worker.
    pub(crate) fn release_invalid_claims(&mut self, now: Duration) {
        for seq in self.pending.clone() {
            let is_invalid = self.jobs[&seq].placements.iter().any(|(index, _)| {
                let worker = &self.workers.list[*index];
                !worker.is_usable() || !worker.claimed.fits(worker.capacity)
            });
            if is_invalid {
                self.release_claims(seq, now);
            }
        }
    }

    /// Removes a job from its reservation. A job that only has claims returns to the queue.
    pub(crate) fn convert_to_borrower(&mut self, seq: u64, now: Duration) {
        match self.jobs.get(&seq).map(|job| job.phase) {
            Some(JobPhase::Reclaiming) => {
                self.detach(seq);
                self.remove_claims(seq);
                self.enqueue(seq);
            }
            Some(_) => {
                self.detach(seq);
                self.add_borrowed_use(seq, now);
            }
            None => {}
        }
    }
}
