//! Scripted scenarios of the queue, holds, worker health, cancellation and take-out.

use std::time::Duration;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_fleet::Action;
use nutmegwalk_fleet::Adjacency;
use nutmegwalk_fleet::Fleet;
use nutmegwalk_fleet::GuaranteeSpec;
use nutmegwalk_fleet::JobSpec;
use nutmegwalk_fleet::Policy;
use nutmegwalk_fleet::Shape;
use nutmegwalk_fleet::StopReason;
use nutmegwalk_fleet::WorkerSpec;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn task(accelerators: u32) -> Shape {
    Shape::new(accelerators, u64::from(accelerators) * 1000, accelerators)
}

fn fleet(workers: usize) -> Fleet {
    let mut fleet = Fleet::new(Policy::Guaranteed);
    for number in 0..workers {
        let spec = WorkerSpec {
            id: format!("w{number}").into(),
            rack: format!("r{}", number / 3).into(),
            shape: Shape::new(128, 256_000, 8),
        };
        fleet.upsert_worker(spec, secs(0));
    }
    fleet
}

fn job(id: &str, service: &str, tasks: u32, accelerators: u32) -> JobSpec {
    JobSpec::new(id, "a", service, tasks, task(accelerators))
}

type Stops = Vec<(Box<str>, StopReason)>;

/// Schedules, reports every start as successful, and returns the started and the stopped jobs.
fn step(fleet: &mut Fleet, now: Duration) -> (Vec<Box<str>>, Stops) {
    let (mut starts, mut stops) = (Vec::new(), Vec::new());
    for action in fleet.schedule(now) {
        match action {
            Action::Start { job, .. } => {
                fleet.record_started(&job, now);
                starts.push(job);
            }
            Action::Stop { job, reason, .. } => stops.push((job, reason)),
            Action::Throttle { .. } | Action::Reject { .. } => {}
        }
    }
    assert_eq!(fleet.check(), []);
    (starts, stops)
}

/// Completes four jobs of a service with the given run time, which sets its run time estimate.
fn complete_jobs(fleet: &mut Fleet, service: &str, run_time: Duration) {
    for number in 0..4 {
        let id = format!("teach-{service}-{number}");
        fleet.submit(job(&id, service, 1, 1), secs(0)).unwrap();
        let (starts, _) = step(fleet, secs(0));
        assert_eq!(starts.len(), 1);
        fleet.record_finished(&id, run_time);
    }
}

/// Schedules once and returns the worker on which job `id` is placed, if any; its start fails on workers in `bad` and
/// succeeds on others.
fn try_start(fleet: &mut Fleet, id: &str, bad: &[&str], now: Duration) -> Option<Box<str>> {
    for action in fleet.schedule(now) {
        if let Action::Start {
            job, placements, ..
        } = action
            && *job == *id
        {
            let worker = placements[0].worker.clone();
            if bad.contains(&&*worker) {
                fleet.record_start_failure(id, Some(&*worker), now);
            } else {
                fleet.record_started(id, now);
            }
            assert_eq!(fleet.check(), []);
            return Some(worker);
        }
    }
    None
}

cases! {
    // Guards against a stream of small jobs that starves a large gang, and against small jobs that wait although
    // they would end before the gang can start.
    large_gang_gets_a_hold_and_short_jobs_backfill => {
        let mut fleet = fleet(3);
        complete_jobs(&mut fleet, "long", secs(1000));
        complete_jobs(&mut fleet, "short", secs(10));
        for number in 0..2 {
            fleet.submit(job(&format!("long{number}"), "long", 1, 8), secs(1000)).unwrap();
        }
        assert_eq!(step(&mut fleet, secs(1000)).0.len(), 2);
        fleet.submit(job("large", "long", 3, 8), secs(1100)).unwrap();
        fleet.submit(job("late-long", "long", 1, 8), secs(1101)).unwrap();
        fleet.submit(job("late-short", "short", 1, 8), secs(1102)).unwrap();
        let (starts, stops) = step(&mut fleet, secs(1102));
        assert_eq!(starts, ["late-short".into()]);
        assert_eq!(stops, []);
        assert!(fleet.explain("large").unwrap().expected_start.is_some());
        for id in ["late-short", "long0"] {
            fleet.record_finished(id, secs(1200));
            assert_eq!(step(&mut fleet, secs(1200)).0, []);
        }
        fleet.record_finished("long1", secs(1900));
        assert_eq!(step(&mut fleet, secs(1900)).0, ["large".into()]);
    }

    // Guards against backfilled jobs that exceed their estimated run time and delay the gang with the hold.
    overrun_on_a_hold_is_stopped_when_the_gang_is_due => {
        let mut fleet = fleet(2);
        complete_jobs(&mut fleet, "long", secs(1000));
        complete_jobs(&mut fleet, "short", secs(10));
        fleet.submit(job("long0", "long", 1, 8), secs(1000)).unwrap();
        step(&mut fleet, secs(1000));
        fleet.submit(job("large", "long", 2, 8), secs(1001)).unwrap();
        fleet.submit(job("short0", "short", 1, 8), secs(1002)).unwrap();
        assert_eq!(step(&mut fleet, secs(1002)).0, ["short0".into()]);
        fleet.record_finished("long0", secs(2100));
        assert_eq!(step(&mut fleet, secs(2100)).1, [("short0".into(), StopReason::HoldDue)]);
        fleet.record_stopped("short0", secs(0), secs(2102));
        assert_eq!(step(&mut fleet, secs(2102)).0, ["large".into()]);
    }

    // Guards against one customer that uses all capacity beyond guarantees.
    customer_with_least_use_goes_first => {
        let mut fleet = fleet(1);
        fleet.submit(job("a0", "s", 1, 8), secs(0)).unwrap();
        step(&mut fleet, secs(0));
        fleet.submit(job("a1", "s", 1, 8), secs(1)).unwrap();
        fleet.submit(JobSpec::new("b0", "b", "s", 1, task(8)), secs(2)).unwrap();
        fleet.record_finished("a0", secs(100));
        assert_eq!(step(&mut fleet, secs(100)).0, ["b0".into()]);
    }

    // Guards against a faulty worker that keeps failing jobs, and against jobs that are rejected because of it.
    faulty_worker_is_quarantined_with_increasing_probe_intervals => {
        let mut fleet = fleet(12);
        let bad = ["w0", "w1", "w2"];
        let mut failures = Vec::new();
        for number in 0..14 {
            fleet.submit(job(&format!("j{number:02}"), "s", 1, 8), secs(0)).unwrap();
        }
        for now in 0..1200 {
            for action in fleet.schedule(secs(now)) {
                let Action::Start { job, placements, .. } = action else {
                    panic!("{action:?}");
                };
                if bad.contains(&&*placements[0].worker) {
                    fleet.record_start_failure(&job, Some(&*placements[0].worker), secs(now));
                    failures.push(now);
                } else {
                    fleet.record_started(&job, secs(now));
                }
            }
            assert_eq!(fleet.check(), []);
            assert!(fleet.quarantined_workers().len() <= 2);
        }
        assert_eq!(fleet.quarantined_workers().len(), 2);
        assert_eq!(fleet.measures(secs(1200)).running_jobs, 9);
        let early = failures.iter().filter(|now| **now < 60).count();
        let late = failures.iter().filter(|now| **now >= 600).count();
        assert!(late * 2 <= early, "{early} failures in the first minute, {late} after 10 min");
    }

    // Guards against a faulty job that puts healthy workers into quarantine or is retried indefinitely.
    faulty_job_is_rejected_without_quarantine => {
        let mut fleet = fleet(10);
        let all: Vec<String> = (0..10).map(|number| format!("w{number}")).collect();
        let all: Vec<&str> = all.iter().map(|id| &**id).collect();
        fleet.submit(job("bad", "s", 1, 8), secs(0)).unwrap();
        let mut tried = Vec::new();
        for now in 0..20 {
            tried.extend(try_start(&mut fleet, "bad", &all, secs(now)));
        }
        tried.sort();
        tried.dedup();
        assert_eq!(tried.len(), 3);
        assert!(fleet.explain("bad").is_none());
        assert!(fleet.quarantined_workers().is_empty());
    }

    // Guards against a cancellation that leaves resources allocated, in any state of the job.
    cancel_works_in_every_state => {
        let mut fleet = fleet(1);
        let guarantee = GuaranteeSpec {
            customer: "g".into(),
            name: "main".into(),
            workers: 1,
            shape: task(8),
            adjacency: Adjacency::Rack,
            reclaim_within: secs(8),
        };
        fleet.set_guarantees(vec![guarantee], secs(0));
        fleet.submit(job("borrower", "s", 1, 8), secs(0)).unwrap();
        step(&mut fleet, secs(0));
        fleet.submit(job("queued", "s", 1, 8), secs(1)).unwrap();
        fleet.cancel("queued", secs(1));
        assert!(fleet.explain("queued").is_none());
        let urgent = JobSpec::new("urgent", "g", "s", 1, task(8)).with_guarantee("main");
        fleet.submit(urgent, secs(2)).unwrap();
        let stop = vec![("borrower".into(), StopReason::Reclaimed)];
        assert_eq!(step(&mut fleet, secs(2)), (vec![], stop));
        fleet.cancel("urgent", secs(3));
        assert!(fleet.explain("urgent").is_none());
        fleet.cancel("borrower", secs(3));
        let stop = vec![("borrower".into(), StopReason::Cancelled)];
        assert_eq!(step(&mut fleet, secs(3)), (vec![], stop));
        fleet.record_stopped("borrower", secs(0), secs(4));
        assert!(fleet.explain("borrower").is_none());
        fleet.submit(job("starting", "s", 1, 8), secs(5)).unwrap();
        assert_eq!(fleet.schedule(secs(5)).len(), 1);
        fleet.cancel("starting", secs(5));
        fleet.record_start_failure("starting", Some("w0"), secs(6));
        assert!(fleet.explain("starting").is_none());
        assert_eq!(fleet.measures(secs(6)).free_accelerators, 8);
        assert_eq!(step(&mut fleet, secs(6)), (vec![], vec![]));
    }

    // Guards against starts while out of service, and against starting all jobs at the same time on return.
    take_out_stops_all_and_return_starts_a_bounded_number => {
        let mut fleet = fleet(40);
        for number in 0..300 {
            fleet.submit(job(&format!("j{number:03}"), "s", 1, 1), secs(0)).unwrap();
        }
        let mut running = Vec::new();
        for _ in 0..5 {
            running.extend(step(&mut fleet, secs(0)).0);
        }
        assert_eq!(running.len(), 300);
        fleet.set_in_service(false, secs(10));
        let (starts, stops) = step(&mut fleet, secs(10));
        assert_eq!((starts.len(), stops.len()), (0, 300));
        for id in &running {
            fleet.record_stopped(id, secs(10), secs(11));
        }
        assert_eq!(step(&mut fleet, secs(12)).0.len(), 0);
        fleet.set_in_service(true, secs(20));
        assert_eq!(step(&mut fleet, secs(20)).0.len(), 64);
    }

    // Guards against a gang that waits for hours because small jobs are spread over all racks.
    borrowers_move_when_the_gain_of_a_gang_exceeds_the_cost => {
        let mut fleet = fleet(6);
        complete_jobs(&mut fleet, "s", secs(5000));
        for number in 0..6 {
            let id = format!("wide{number}");
            fleet.submit(job(&id, "s", 1, 8), secs(5000)).unwrap();
        }
        assert_eq!(step(&mut fleet, secs(5000)).0.len(), 6);
        for number in [0, 1, 3, 4] {
            fleet.record_finished(&format!("wide{number}"), secs(5100));
        }
        fleet.record_checkpoint("wide2", secs(90), secs(5100));
        fleet.record_checkpoint("wide5", secs(90), secs(5100));
        let gang = job("gang", "s", 3, 8).with_adjacency(Adjacency::Rack);
        fleet.submit(gang, secs(5101)).unwrap();
        assert_eq!(step(&mut fleet, secs(5101)), (vec![], vec![]));
        let (starts, stops) = step(&mut fleet, secs(5102));
        assert_eq!((starts.len(), stops.len()), (0, 1));
        assert_eq!(stops[0].1, StopReason::Consolidated);
        fleet.record_stopped(&stops[0].0, secs(92), secs(5104));
        let mut starts = step(&mut fleet, secs(5104)).0;
        starts.sort();
        assert_eq!(starts, ["gang".into(), stops[0].0.clone()]);
    }

    // Guards against a rejection with the wrong cause.
    empty_job_is_a_bad_request => {
        let mut fleet = fleet(1);
        assert_eq!(fleet.submit(job("j", "s", 0, 1), secs(0)).unwrap_err().kind, ErrorKind::BadRequest);
        assert_eq!(fleet.submit(job("j", "s", 1, 0), secs(0)).unwrap_err().kind, ErrorKind::BadRequest);
        assert!(fleet.submit(job("j", "s", u32::MAX, u32::MAX), secs(0)).is_err());
    }
}
