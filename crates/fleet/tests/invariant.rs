//! Random event sequences on the planner, checked after each event by the independent checker.

mod checker;

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::checker::Checker;
use crate::checker::JobModel;
use crate::checker::WorkerModel;
use crate::checker::amount;
use nutmegwalk_fleet::Adjacency;
use nutmegwalk_fleet::Fleet;
use nutmegwalk_fleet::GuaranteeSpec;
use nutmegwalk_fleet::JobSpec;
use nutmegwalk_fleet::Placement;
use nutmegwalk_fleet::Policy;
use nutmegwalk_fleet::Shape;
use nutmegwalk_fleet::WorkerSpec;

#[derive(Clone, Debug)]
enum Event {
    Submit {
        customer: u8,
        tasks: u32,
        accelerators: u32,
        same_rack: bool,
        with_guarantee: bool,
    },
    Adopt {
        customer: u8,
        worker: u8,
        accelerators: u32,
        with_guarantee: bool,
    },
    Cancel(u8),
    Started(u8),
    StartFailed(u8, bool),
    Finished(u8),
    Stopped(u8, u64),
    Checkpointed(u8),
    WorkerFailed(u8),
    Usable(u8, bool),
    Upsert(u8, u32),
    Guarantees(Vec<(u8, u32, u32, bool)>),
    InService(bool),
    Wait(u64),
    Schedule,
}

fn event() -> impl Strategy<Value = Event> {
    let submit = (0..3_u8, 1..4_u32, 1..9_u32, any::<bool>(), any::<bool>()).prop_map(
        |(customer, tasks, accelerators, same_rack, with_guarantee)| Event::Submit {
            customer,
            tasks,
            accelerators,
            same_rack,
            with_guarantee,
        },
    );
    let adopt = (0..3_u8, 0..6_u8, 1..9_u32, any::<bool>()).prop_map(
        |(customer, worker, accelerators, with_guarantee)| Event::Adopt {
            customer,
            worker,
            accelerators,
            with_guarantee,
        },
    );
    let guarantee = (0..3_u8, 1..4_u32, 1..9_u32, any::<bool>());
    prop_oneof![
        6 => submit,
        1 => adopt,
        1 => any::<u8>().prop_map(Event::Cancel),
        4 => any::<u8>().prop_map(Event::Started),
        2 => (any::<u8>(), any::<bool>()).prop_map(|(job, is_known)| Event::StartFailed(job, is_known)),
        2 => any::<u8>().prop_map(Event::Finished),
        4 => (any::<u8>(), 0..50_u64).prop_map(|(job, done)| Event::Stopped(job, done)),
        1 => any::<u8>().prop_map(Event::Checkpointed),
        1 => (0..6_u8).prop_map(Event::WorkerFailed),
        2 => (0..6_u8, any::<bool>()).prop_map(|(worker, usable)| Event::Usable(worker, usable)),
        1 => (0..6_u8, 4..9_u32).prop_map(|(worker, size)| Event::Upsert(worker, size)),
        1 => vec(guarantee, 0..4).prop_map(Event::Guarantees),
        1 => prop_oneof![1 => Just(false), 2 => Just(true)].prop_map(Event::InService),
        2 => (1..100_u64).prop_map(Event::Wait),
        8 => Just(Event::Schedule),
    ]
}

fn shape(accelerators: u32) -> Shape {
    Shape::new(
        accelerators * 16,
        u64::from(accelerators) * 32_000,
        accelerators,
    )
}

struct Scenario {
    policy: Policy,
    fleet: Fleet,
    checker: Checker,
    now: Duration,
    next_job: u32,
}

impl Scenario {
    fn new(policy: Policy, workers: u8) -> Self {
        let mut scenario = Self {
            policy,
            fleet: Fleet::new(policy),
            checker: Checker {
                in_service: true,
                ..Checker::default()
            },
            now: Duration::ZERO,
            next_job: 0,
        };
        for worker in 0..workers {
            scenario.upsert(worker, 8);
        }
        scenario
    }

    fn upsert(&mut self, number: u8, accelerators: u32) {
        let spec = WorkerSpec {
            id: format!("w{number}").into(),
            rack: format!("r{}", number / 3).into(),
            shape: shape(accelerators),
        };
        let model = WorkerModel {
            rack: u32::from(number / 3),
            size: amount(spec.shape, 1),
            present: true,
        };
        self.checker.workers.insert(spec.id.clone(), model);
        self.fleet.upsert_worker(spec, self.now);
    }

    fn add_job(
        &mut self,
        customer: u8,
        tasks: u32,
        accelerators: u32,
        with_guarantee: bool,
    ) -> JobSpec {
        self.next_job += 1;
        let id = format!("j{:04}", self.next_job);
        let mut spec = JobSpec::new(id, format!("c{customer}"), "s", tasks, shape(accelerators));
        spec.guarantee = with_guarantee.then(|| "main".into());
        spec
    }

    /// Returns one of the jobs for which `predicate` holds, selected by `number`.
    fn pick(&self, number: u8, predicate: impl Fn(&JobModel) -> bool) -> Option<Box<str>> {
        let jobs = self.checker.jobs.iter().filter(|(_, job)| predicate(job));
        let ids: Vec<&Box<str>> = jobs.map(|(id, _)| id).collect();
        (!ids.is_empty()).then(|| ids[usize::from(number) % ids.len()].clone())
    }

    fn apply(&mut self, event: &Event) {
        let now = self.now;
        match event {
            Event::Submit {
                customer,
                tasks,
                accelerators,
                same_rack,
                with_guarantee,
            } => {
                let mut spec = self.add_job(*customer, *tasks, *accelerators, *with_guarantee);
                if *same_rack {
                    spec.adjacency = Adjacency::Rack;
                }
                if self.fleet.submit(spec.clone(), now).is_ok() {
                    self.record_job(spec, Vec::new());
                }
            }
            Event::Adopt {
                customer,
                worker,
                accelerators,
                with_guarantee,
            } => self.adopt(*customer, *worker, *accelerators, *with_guarantee),
            Event::Cancel(number) => {
                if let Some(id) = self.pick(*number, |_| true) {
                    self.fleet.cancel(&id, now);
                    self.checker.cancelled.insert(id.clone());
                    let job = self.checker.jobs.get_mut(&id).unwrap();
                    job.cancelled = true;
                    if job.placements.is_empty() {
                        self.checker.jobs.remove(&id);
                    }
                }
            }
            Event::Started(number) => {
                if let Some(id) = self.pick(*number, |job| !job.placements.is_empty()) {
                    self.fleet.record_started(&id, now);
                    self.checker.jobs.get_mut(&id).unwrap().confirmed = true;
                }
            }
            Event::StartFailed(number, is_known) => {
                let failing = |job: &JobModel| !job.placements.is_empty() && !job.confirmed;
                if let Some(id) = self.pick(*number, failing) {
                    let worker = self.checker.jobs[&id].placements[0].worker.clone();
                    self.fleet
                        .record_start_failure(&id, is_known.then_some(&*worker), now);
                    self.record_end(&id);
                }
            }
            Event::Finished(number) => {
                if let Some(id) = self.pick(*number, |job| job.confirmed) {
                    self.fleet.record_finished(&id, now);
                    self.checker.jobs.remove(&id);
                }
            }
            Event::Stopped(number, done) => {
                if let Some(id) = self.pick(*number, |job| job.stopping) {
                    self.fleet
                        .record_stopped(&id, Duration::from_secs(*done), now);
                    self.record_end(&id);
                }
            }
            Event::Checkpointed(number) => {
                if let Some(id) = self.pick(*number, |job| job.confirmed) {
                    self.fleet.record_checkpoint(&id, now, now);
                }
            }
            Event::WorkerFailed(number) => {
                self.fleet.record_worker_failure(&format!("w{number}"), now);
                self.set_present(*number, false);
            }
            Event::Usable(number, usable) => {
                self.fleet
                    .set_worker_usable(&format!("w{number}"), *usable, now);
                self.set_present(*number, *usable);
            }
            Event::Upsert(number, accelerators) => {
                if self.checker.workers.contains_key(&*format!("w{number}")) {
                    self.upsert(*number, *accelerators);
                }
            }
            Event::Guarantees(list) => {
                let mut specs: Vec<GuaranteeSpec> = Vec::new();
                for (customer, workers, accelerators, same_rack) in list {
                    let customer: Box<str> = format!("c{customer}").into();
                    specs.retain(|spec| spec.customer != customer);
                    specs.push(GuaranteeSpec {
                        customer,
                        name: "main".into(),
                        workers: *workers,
                        shape: shape(*accelerators),
                        adjacency: if *same_rack {
                            Adjacency::Rack
                        } else {
                            Adjacency::DataCentre
                        },
                        reclaim_within: Duration::from_secs(8),
                    });
                }
                self.checker.guarantees.clone_from(&specs);
                let degraded = self.fleet.set_guarantees(specs, now);
                assert_eq!(degraded, self.fleet.degraded());
            }
            Event::InService(in_service) => {
                self.checker.in_service = *in_service;
                self.fleet.set_in_service(*in_service, now);
            }
            Event::Wait(seconds) => self.now += Duration::from_secs(*seconds),
            Event::Schedule => {
                let actions = self.fleet.schedule(now);
                self.checker.record_actions(&actions);
            }
        }
        if self.policy == Policy::Guaranteed {
            self.checker.check(&self.fleet);
        } else {
            assert_eq!(self.fleet.check(), []);
        }
    }

    /// Adopts a job with one task on a worker, if it fits there.
    fn adopt(&mut self, customer: u8, worker: u8, accelerators: u32, with_guarantee: bool) {
        let id: Box<str> = format!("w{worker}").into();
        let Some(model) = self.checker.workers.get(&id) else {
            return;
        };
        let used: u64 = self
            .checker
            .jobs
            .values()
            .flat_map(|job| job.placements.iter().map(move |placement| (job, placement)))
            .filter(|(_, placement)| placement.worker == id)
            .map(|(job, placement)| amount(job.spec.shape, placement.tasks)[0])
            .sum();
        if used + u64::from(accelerators) <= model.size[0] {
            let spec = self.add_job(customer, 1, accelerators, with_guarantee);
            let placements = vec![Placement {
                worker: id,
                tasks: 1,
            }];
            self.record_job(spec.clone(), placements.clone());
            self.fleet.add_running_job(spec, placements, self.now);
        }
    }

    fn record_job(&mut self, spec: JobSpec, placements: Vec<Placement>) {
        let id = spec.id.clone();
        let confirmed = !placements.is_empty();
        let model = JobModel {
            spec,
            placements,
            confirmed,
            stopping: false,
            cancelled: false,
        };
        self.checker.jobs.insert(id, model);
    }

    /// Records in the model that the tasks of a job have ended.
    fn record_end(&mut self, id: &str) {
        let job = self.checker.jobs.get_mut(id).unwrap();
        job.placements.clear();
        job.confirmed = false;
        job.stopping = false;
        if job.cancelled {
            self.checker.jobs.remove(id);
        }
    }

    fn set_present(&mut self, number: u8, present: bool) {
        if let Some(worker) = self.checker.workers.get_mut(&*format!("w{number}")) {
            worker.present = present;
        }
    }
}

fn run(policy: Policy, seed: u8, cases: u32) {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let searches = std::cell::Cell::new(0);
    let reclaims = std::cell::Cell::new(0);
    let sequences = (3..7_u8, vec(event(), 1..120));
    let result = runner.run(&sequences, |(workers, events)| {
        let mut scenario = Scenario::new(policy, workers);
        for event in &events {
            scenario.apply(event);
        }
        scenario.apply(&Event::Schedule);
        scenario.checker.check_no_job_lost(&scenario.fleet);
        searches.set(searches.get() + scenario.checker.searches);
        reclaims.set(reclaims.get() + scenario.checker.reclaims);
        Ok(())
    });
    if let Err(error) = result {
        panic!("seed {seed}: {error}");
    }
    println!(
        "seed {seed}: {} reclaims and {} searches",
        reclaims.get(),
        searches.get()
    );
    assert!(
        policy != Policy::Guaranteed || reclaims.get() > 0 && searches.get() > 0,
        "the sequences tested no reclaim or no search"
    );
}

// Guards against event sequences after which guaranteed capacity cannot be reclaimed.
#[rstest::rstest]
fn guarantees_hold_after_every_event(#[values(1, 2, 3, 4)] seed: u8) {
    let cases = std::env::var("NUTMEGWALK_CASES").ok();
    run(
        Policy::Guaranteed,
        seed,
        cases.and_then(|cases| cases.parse().ok()).unwrap_or(100),
    );
}

// Guards against baselines that overcommit workers, split gangs or panic, which would invalidate the comparison with
// them.
#[rstest::rstest]
fn baselines_keep_all_invariants(#[values(Policy::FirstFit, Policy::Static)] policy: Policy) {
    run(policy, 5, 100);
}

// Guards against arithmetic overflow on times and sizes at the limits of their range.
#[rstest::rstest]
fn extreme_values_do_not_panic() {
    let mut fleet = Fleet::new(Policy::Guaranteed);
    let largest = Shape::new(u32::MAX, u64::MAX, u32::MAX);
    let spec = WorkerSpec {
        id: "w0".into(),
        rack: "r0".into(),
        shape: largest,
    };
    let guarantee = GuaranteeSpec {
        customer: "c0".into(),
        name: "main".into(),
        workers: u32::MAX,
        shape: largest,
        adjacency: Adjacency::Rack,
        reclaim_within: Duration::ZERO,
    };
    fleet.upsert_worker(spec, Duration::MAX);
    let degraded = fleet.set_guarantees(vec![guarantee], Duration::ZERO);
    assert_eq!(degraded[0].lost_parts, u32::MAX - 1);
    for (id, tasks) in [("j0", 1), ("j1", u32::MAX)] {
        let mut job = JobSpec::new(id, "c0", "s", tasks, largest).with_guarantee("main");
        job.checkpoint = Duration::MAX;
        job.time_since_accepted = Duration::MAX;
        let placements = vec![Placement {
            worker: "w0".into(),
            tasks,
        }];
        assert_eq!(fleet.submit(job.clone(), Duration::MAX).is_ok(), tasks == 1);
        fleet.add_running_job(job, placements, Duration::MAX);
    }
    for now in [Duration::MAX, Duration::ZERO, Duration::MAX] {
        fleet
            .submit(JobSpec::new("j2", "c1", "s", 1, largest), now)
            .unwrap();
        fleet.schedule(now);
        let _ = fleet.measures(now);
        fleet.record_start_failure("j2", Some("w0"), now);
        fleet.record_stopped("j1", Duration::MAX, now);
        fleet.record_finished("j0", now);
    }
}
