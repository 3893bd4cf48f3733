//! Simulation of a seeded load on the planner, as an event loop in virtual time.

pub(crate) mod arrivals;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use self::arrivals::Arrival;
use self::arrivals::DAY;
use self::arrivals::Deployment;
use self::arrivals::HOUR;
use self::arrivals::arrivals;
use self::arrivals::guarantees;
use nutmegwalk_fleet::Action;
use nutmegwalk_fleet::Fleet;
use nutmegwalk_fleet::Policy;
use nutmegwalk_fleet::Shape;
use nutmegwalk_fleet::WorkerSpec;

/// Time between two checkpoints of a running job, in seconds.
const CHECKPOINT_INTERVAL: u64 = 600;

/// Metrics of one simulation; times are in seconds.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) completed: u64,
    pub(crate) unfinished: usize,
    /// Time from arrival to completion, of all jobs.
    pub(crate) completion: Histogram<u64>,
    /// Time from arrival to completion, of large gangs.
    pub(crate) large: Histogram<u64>,
    /// Time from arrival to completion, of the daily guaranteed gang.
    pub(crate) block: Histogram<u64>,
    /// Time from arrival to the first start, of jobs with a guarantee.
    pub(crate) urgent_delay: Histogram<u64>,
    /// Mean fragmentation ratio.
    pub(crate) fragmentation: f64,
    /// Mean fraction of all accelerators in use.
    pub(crate) utilisation: f64,
    /// Accelerator-hours of work lost.
    pub(crate) lost_hours: f64,
    pub(crate) preemptions: u64,
    pub(crate) violations: usize,
}

#[derive(Clone, Debug)]
struct JobProgress {
    arrival: Arrival,
    done: u64,
    started: Option<u64>,
    attempt: u64,
    first_start: Option<u64>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Finish(usize, u64),
    Stopped(usize, u64),
    Arrive(usize),
    Fail(usize),
    Repair(usize),
    Tick,
}

struct Simulation {
    fleet: Fleet,
    jobs: Vec<JobProgress>,
    by_id: BTreeMap<Box<str>, usize>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    rng: StdRng,
    outcome: Outcome,
}

/// Simulates the load of a seed under a policy.
pub(crate) fn run(policy: Policy, deployment: Deployment, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(policy);
    for number in 0..deployment.workers {
        let spec = WorkerSpec {
            id: format!("w{number}").into(),
            rack: format!("r{}", number / 3).into(),
            shape: Shape::new(128, 256_000, 8),
        };
        fleet.upsert_worker(spec, Duration::ZERO);
    }
    assert!(
        fleet
            .set_guarantees(guarantees(deployment.workers), Duration::ZERO)
            .is_empty()
    );
    let arrivals = arrivals(deployment, &mut rng);
    let mut events = BinaryHeap::new();
    for (index, arrival) in arrivals.iter().enumerate() {
        events.push(Reverse((arrival.at, Event::Arrive(index))));
    }
    let end = deployment.days * DAY;
    for at in (0..end).step_by(60) {
        events.push(Reverse((at, Event::Tick)));
    }
    for _ in 0..deployment.days / 2 {
        let (at, worker) = (
            rng.random_range(0..end),
            rng.random_range(0..deployment.workers),
        );
        events.push(Reverse((at, Event::Fail(worker))));
        events.push(Reverse((at + HOUR / 2, Event::Repair(worker))));
    }
    let histogram = || Histogram::new_with_max(100 * DAY, 3).expect("the bounds are valid");
    let by_id = arrivals
        .iter()
        .enumerate()
        .map(|(index, arrival)| (arrival.spec.id.clone(), index));
    let by_id = by_id.collect();
    let progress = |arrival| JobProgress {
        arrival,
        done: 0,
        started: None,
        attempt: 0,
        first_start: None,
    };
    let mut simulation = Simulation {
        fleet,
        jobs: arrivals.into_iter().map(progress).collect(),
        by_id,
        events,
        rng: StdRng::seed_from_u64(seed + 1),
        outcome: Outcome {
            completed: 0,
            unfinished: 0,
            completion: histogram(),
            large: histogram(),
            block: histogram(),
            urgent_delay: histogram(),
            fragmentation: 0.0,
            utilisation: 0.0,
            lost_hours: 0.0,
            preemptions: 0,
            violations: 0,
        },
    };
    let mut ticks = 0.0;
    // Jobs that never start would keep the loop running. It ends three days after the load and counts them as
    // unfinished.
    while let Some(Reverse((now, event))) = simulation
        .events
        .pop()
        .filter(|entry| entry.0.0 < end + 3 * DAY)
    {
        simulation.handle(now, event);
        if event == Event::Tick {
            let measures = simulation.fleet.measures(Duration::from_secs(now));
            ticks += 1.0;
            simulation.outcome.fragmentation += measures.fragmentation_ratio;
            let busy = measures.usable_accelerators - measures.free_accelerators;
            simulation.outcome.utilisation += busy as f64 / (deployment.workers * 8) as f64;
        }
    }
    let measures = simulation.fleet.measures(Duration::from_secs(end));
    let mut outcome = simulation.outcome;
    outcome.unfinished = simulation.jobs.len() - usize::try_from(outcome.completed).unwrap_or(0);
    outcome.fragmentation /= ticks;
    outcome.utilisation /= ticks;
    outcome.lost_hours = measures.lost_accelerator_seconds / HOUR as f64;
    outcome.preemptions = measures.preemptions;
    outcome
}

impl Simulation {
    fn handle(&mut self, at: u64, event: Event) {
        let now = Duration::from_secs(at);
        match event {
            Event::Arrive(index) => {
                let spec = self.jobs[index].arrival.spec.clone();
                self.fleet
                    .submit(spec, now)
                    .expect("every job fits the empty hardware");
            }
            Event::Finish(index, attempt) if self.jobs[index].attempt == attempt => {
                let job = &mut self.jobs[index];
                job.attempt += 1;
                let arrival = &job.arrival;
                self.fleet.record_finished(&arrival.spec.id, now);
                let time = at - arrival.at;
                let outcome = &mut self.outcome;
                outcome.completed += 1;
                outcome.completion.saturating_record(time);
                match &*arrival.spec.service {
                    "block" => outcome.block.saturating_record(time),
                    "large" => outcome.large.saturating_record(time),
                    _ => {}
                }
            }
            Event::Stopped(index, attempt) if self.jobs[index].attempt == attempt => {
                let job = &mut self.jobs[index];
                job.attempt += 1;
                let ran = at - job.started.take().unwrap_or(at);
                // One checkpoint in ten is not written within the time limit.
                let kept = if self.rng.random_bool(0.9) {
                    ran
                } else {
                    ran - ran % CHECKPOINT_INTERVAL
                };
                job.done += kept;
                let done = Duration::from_secs(job.done);
                self.fleet.record_stopped(&job.arrival.spec.id, done, now);
            }
            Event::Fail(worker) => self.fleet.record_worker_failure(&format!("w{worker}"), now),
            Event::Repair(worker) => self
                .fleet
                .set_worker_usable(&format!("w{worker}"), true, now),
            Event::Tick => {
                for job in &self.jobs {
                    let ran = job.started.map_or(0, |started| at - started);
                    if ran > 0 && ran.is_multiple_of(CHECKPOINT_INTERVAL) {
                        let done = Duration::from_secs(job.done + ran);
                        self.fleet
                            .record_checkpoint(&job.arrival.spec.id, done, now);
                    }
                }
            }
            Event::Finish(..) | Event::Stopped(..) => return,
        }
        for action in self.fleet.schedule(now) {
            match action {
                Action::Start { job: id, .. } => {
                    let index = self.by_id[&id];
                    let job = &mut self.jobs[index];
                    job.started = Some(at);
                    if job.first_start.is_none() && job.arrival.spec.guarantee.is_some() {
                        self.outcome
                            .urgent_delay
                            .saturating_record(at - job.arrival.at);
                    }
                    job.first_start.get_or_insert(at);
                    let end = at + job.arrival.work - job.done;
                    self.events
                        .push(Reverse((end, Event::Finish(index, job.attempt))));
                    self.fleet.record_started(&id, now);
                }
                Action::Stop {
                    job: id, within, ..
                } => {
                    let index = self.by_id[&id];
                    let event = Event::Stopped(index, self.jobs[index].attempt);
                    self.events.push(Reverse((at + within.as_secs(), event)));
                }
                Action::Throttle { .. } => {}
                Action::Reject { job, error } => panic!("{job} is rejected: {error}"),
            }
        }
        self.outcome.violations += self.fleet.check().len();
    }
}
