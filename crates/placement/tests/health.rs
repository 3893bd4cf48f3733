//! Tests of the quarantine of workers: whose fault the failures on a worker are.

use std::time::Duration;
use std::time::Instant;

use nutmegwalk_base::JobId;
use nutmegwalk_placement::DomainHealth;
use nutmegwalk_placement::Failure;
use nutmegwalk_placement::FailureCause;
use nutmegwalk_placement::FailureEffect;
use nutmegwalk_placement::HealthSettings;
use nutmegwalk_workload::WorkerRef;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

/// A domain of equal workers, with the time of its clock.
struct Domain {
    health: DomainHealth,
    workers: Vec<WorkerRef>,
    began_at: Instant,
}

impl Domain {
    fn new(workers: usize) -> Self {
        let worker = |number| WorkerRef {
            id: format!("i-{number}").into(),
            born_unix_ms: 1,
            machine: None,
        };
        Self {
            health: DomainHealth::new(HealthSettings::default()),
            workers: (0..workers).map(worker).collect(),
            began_at: Instant::now(),
        }
    }

    fn at(&self, now_ms: u64) -> Instant {
        self.began_at + Duration::from_millis(now_ms)
    }

    /// Records that a run that began at `started_ms` fails.
    fn fail(&mut self, job: &str, worker: usize, started_ms: u64, now_ms: u64) -> FailureEffect {
        let started_at = self.at(started_ms);
        let job = JobId::from(job);
        let cause = FailureCause::Run {
            job: &job,
            started_at,
        };
        self.record(worker, cause, now_ms)
    }

    /// Records that a worker does not carry out an order.
    fn refuse(&mut self, worker: usize, now_ms: u64) -> FailureEffect {
        self.record(worker, FailureCause::Worker, now_ms)
    }

    fn record(&mut self, worker: usize, cause: FailureCause<'_>, now_ms: u64) -> FailureEffect {
        let now = self.at(now_ms);
        let peers: Vec<&WorkerRef> = self.workers.iter().collect();
        let failure = Failure {
            worker: &self.workers[worker],
            peers: &peers,
            cause,
        };
        self.health.record_failure(&failure, now)
    }

    fn succeed(&mut self, job: &str, worker: usize) {
        self.health
            .record_success(&job.into(), &self.workers[worker]);
    }

    /// Returns the workers in quarantine.
    fn closed(&self, now_ms: u64) -> Vec<usize> {
        let now = self.at(now_ms);
        let workers = 0..self.workers.len();
        workers
            .filter(|worker| self.health.is_quarantined(&self.workers[*worker], now))
            .collect()
    }
}

cases! {
    // Guards against a job that can never be done closing all workers, as its tasks fail on each of them.
    job_that_fails_everywhere_closes_no_worker => {
        let mut domain = Domain::new(11);
        for task in 0..55 {
            domain.fail("hopeless", task % 11, 0, 500);
            assert!(domain.closed(501).is_empty());
        }
    }

    // Guards against several hopeless jobs closing workers that each of them has failed on, for longer than it takes them to
    // fail elsewhere.
    jobs_that_fail_everywhere_close_no_worker => {
        let mut domain = Domain::new(11);
        for job in ["a", "b", "c", "d"] {
            domain.fail(job, 0, 0, 500);
        }
        assert_eq!(domain.closed(501), [0], "all failures so far are on one worker");
        for worker in 1..3 {
            for job in ["a", "b", "c", "d"] {
                domain.fail(job, worker, 600, 1_100);
            }
        }
        for worker in 3..6 {
            for job in ["a", "b", "c", "d"] {
                domain.fail(job, worker, 1_200, 1_700);
            }
        }
        assert!(domain.closed(1_701).is_empty());
    }

    // Guards against one job's failures being held against the only worker on which it has run so far.
    one_job_closes_no_worker => {
        let mut domain = Domain::new(11);
        for _ in 0..8 {
            assert_eq!(domain.fail("wide", 0, 0, 500), FailureEffect::None);
        }
        assert!(domain.closed(501).is_empty());
    }

    // Guards against a worker that fails all that it starts and gets task after task, as it is always free.
    worker_on_which_several_jobs_fail_is_closed => {
        let mut domain = Domain::new(11);
        domain.fail("a", 3, 0, 500);
        assert_eq!(domain.fail("b", 3, 100, 600), FailureEffect::Quarantined);
        assert_eq!(domain.closed(601), [3]);
        assert!(domain.closed(4_601).is_empty());
    }

    // Guards against a faulty worker that stays open because a hopeless job fails there as well.
    faulty_worker_is_closed_beside_a_hopeless_job => {
        let mut domain = Domain::new(11);
        for worker in 0..11 {
            domain.fail("hopeless", worker, 0, 500);
        }
        domain.fail("a", 3, 0, 500);
        domain.fail("b", 3, 100, 600);
        assert_eq!(domain.closed(601), [3]);
    }

    // Guards against two faulty workers that stay open because the same jobs fail on both.
    faulty_workers_are_closed_although_each_job_fails_on_both => {
        let mut domain = Domain::new(11);
        for job in ["a", "b", "c"] {
            domain.fail(job, 0, 0, 500);
            domain.fail(job, 1, 0, 500);
        }
        assert_eq!(domain.closed(501), [0, 1]);
    }

    // Guards against failures that end together, each of which doubles the quarantine.
    failures_of_one_incident_start_one_quarantine => {
        let mut domain = Domain::new(11);
        for task in 0..8 {
            domain.fail(["a", "b"][task % 2], 0, 0, 500);
        }
        assert_eq!(domain.closed(4_499), [0]);
        assert!(domain.closed(4_500).is_empty());
    }

    // Guards against a faulty worker that is tried as often as a sound one after its quarantine.
    failure_after_a_quarantine_starts_a_longer_one => {
        let mut domain = Domain::new(11);
        domain.fail("a", 0, 0, 500);
        domain.fail("b", 0, 0, 500);
        assert_eq!(domain.fail("c", 0, 4_600, 5_000), FailureEffect::Quarantined);
        assert_eq!(domain.closed(12_999), [0]);
        assert!(domain.closed(13_000).is_empty());
    }

    // Guards against a worker that stays suspected although it works again.
    success_ends_a_quarantine_and_its_history => {
        let mut domain = Domain::new(11);
        domain.fail("a", 0, 0, 500);
        domain.fail("b", 0, 0, 500);
        domain.succeed("c", 0);
        assert!(domain.closed(501).is_empty());
        assert_eq!(domain.fail("d", 0, 600, 700), FailureEffect::None);
    }

    // Guards against failures of a job that can be done being taken for the job's fault.
    job_that_succeeds_elsewhere_is_evidence_against_its_workers => {
        let mut domain = Domain::new(11);
        domain.fail("wide", 0, 0, 500);
        domain.fail("wide", 1, 0, 500);
        (2..11).for_each(|worker| domain.succeed("wide", worker));
        assert_eq!(domain.fail("a", 0, 0, 600), FailureEffect::Quarantined);
        assert_eq!(domain.fail("b", 1, 0, 600), FailureEffect::Quarantined);
    }

    // Guards against a worker that does not carry out orders and keeps getting them.
    worker_that_refuses_orders_is_closed => {
        let mut domain = Domain::new(11);
        assert_eq!(domain.refuse(0, 100), FailureEffect::None);
        assert_eq!(domain.refuse(0, 200), FailureEffect::Quarantined);
        assert_eq!(domain.refuse(0, 300), FailureEffect::None, "it was sent before");
        assert_eq!(domain.refuse(0, 4_300), FailureEffect::Quarantined);
    }

    // Guards against closing more workers than the design allows, whatever fails on them.
    at_most_a_fifth_of_the_workers_is_closed => {
        for (workers, closed) in [(1, 0), (2, 1), (4, 1), (9, 1), (11, 2), (50, 10)] {
            let mut domain = Domain::new(workers);
            for worker in 0..workers {
                let effects = [domain.refuse(worker, 100), domain.refuse(worker, 200)];
                let is_closed = effects.contains(&FailureEffect::Quarantined);
                assert_eq!(is_closed, worker < closed, "worker {worker} of {workers}");
            }
            assert_eq!(domain.closed(201).len(), closed);
        }
    }

    // Guards against jobs that are suspected for good, and against memory that grows with each of them.
    failures_are_forgotten_after_a_while => {
        let mut domain = Domain::new(11);
        domain.fail("a", 0, 0, 500);
        assert_eq!(domain.fail("b", 0, 61_000, 61_500), FailureEffect::None);
    }
}
