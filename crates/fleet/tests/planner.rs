//! Scripted scenarios of guarantees, admission and adoption.

use std::time::Duration;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_fleet::Action;
use nutmegwalk_fleet::Adjacency;
use nutmegwalk_fleet::Admission;
use nutmegwalk_fleet::Fleet;
use nutmegwalk_fleet::GuaranteeSpec;
use nutmegwalk_fleet::JobPhase;
use nutmegwalk_fleet::JobSpec;
use nutmegwalk_fleet::Placement;
use nutmegwalk_fleet::Policy;
use nutmegwalk_fleet::Shape;
use nutmegwalk_fleet::StopReason;
use nutmegwalk_fleet::WorkerSpec;
use nutmegwalk_fleet::pack_guarantees;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn task(accelerators: u32) -> Shape {
    Shape::new(accelerators, u64::from(accelerators) * 1000, accelerators)
}

fn worker(number: usize) -> WorkerSpec {
    WorkerSpec {
        id: format!("w{number}").into(),
        rack: format!("r{}", number / 3).into(),
        shape: Shape::new(128, 256_000, 8),
    }
}

fn guarantee(customer: &str, workers: u32, adjacency: Adjacency) -> GuaranteeSpec {
    GuaranteeSpec {
        customer: customer.into(),
        name: "main".into(),
        workers,
        shape: task(8),
        adjacency,
        reclaim_within: secs(8),
    }
}

fn fleet(workers: usize) -> Fleet {
    let mut fleet = Fleet::new(Policy::Guaranteed);
    for number in 0..workers {
        fleet.upsert_worker(worker(number), secs(0));
    }
    fleet
}

fn job(id: &str, customer: &str, tasks: u32, accelerators: u32) -> JobSpec {
    JobSpec::new(id, customer, "inspect", tasks, task(accelerators))
}

/// Schedules, reports every start as successful, and returns the actions.
fn step(fleet: &mut Fleet, now: Duration) -> Vec<Action> {
    let actions = fleet.schedule(now);
    for action in &actions {
        if let Action::Start { job, .. } = action {
            fleet.record_started(job, now);
        }
    }
    assert_eq!(fleet.check(), []);
    actions
}

fn started(actions: &[Action]) -> Vec<&str> {
    let mut jobs = Vec::new();
    for action in actions {
        if let Action::Start { job, .. } = action {
            jobs.push(&**job);
        }
    }
    jobs
}

fn stopped(actions: &[Action]) -> Vec<(&str, StopReason)> {
    let mut jobs = Vec::new();
    for action in actions {
        if let Action::Stop { job, reason, .. } = action {
            jobs.push((&**job, *reason));
        }
    }
    jobs
}

cases! {
    // Guards against guaranteed capacity that cannot be reclaimed from borrowers, and against a start before the
    // borrowers have stopped.
    guaranteed_job_reclaims_its_shape => {
        let mut fleet = fleet(3);
        assert!(fleet.set_guarantees(vec![guarantee("a", 2, Adjacency::Rack)], secs(0)).is_empty());
        for number in 0..3 {
            fleet.submit(job(&format!("b{number}"), "b", 1, 8), secs(1)).unwrap();
        }
        assert_eq!(started(&step(&mut fleet, secs(1))).len(), 3);
        fleet.record_checkpoint("b0", secs(50), secs(55));
        fleet.record_checkpoint("b2", secs(50), secs(55));
        let wanted = job("a0", "a", 2, 8).with_guarantee("main");
        assert_eq!(fleet.submit(wanted, secs(60)), Ok(Admission::Guaranteed));
        let actions = step(&mut fleet, secs(60));
        let stops = stopped(&actions);
        assert_eq!(stops.len(), 2);
        assert!(stops.iter().all(|stop| stop.1 == StopReason::Reclaimed));
        assert!(actions.iter().all(|action| !matches!(
            action,
            Action::Stop { within, .. } if *within > secs(2)
        )));
        assert_eq!(fleet.explain("a0").unwrap().phase, JobPhase::Reclaiming);
        fleet.record_stopped(stops[0].0, secs(60), secs(61));
        assert!(started(&step(&mut fleet, secs(61))).is_empty());
        fleet.record_stopped(stops[1].0, secs(60), secs(62));
        assert_eq!(started(&step(&mut fleet, secs(62))), ["a0"]);
    }

    // Guards against accepting a job that can never start.
    job_that_never_fits_is_rejected => {
        let mut fleet = fleet(4);
        let spread = job("a", "a", 4, 8);
        assert!(fleet.submit(spread.clone(), secs(0)).is_ok());
        let same_rack = JobSpec { id: "b".into(), ..spread }.with_adjacency(Adjacency::Rack);
        assert_eq!(fleet.submit(same_rack, secs(0)).unwrap_err().kind, ErrorKind::NeverFits);
        let wide = job("c", "a", 1, 9);
        assert_eq!(fleet.submit(wide, secs(0)).unwrap_err().kind, ErrorKind::NeverFits);
        fleet.remove_worker("w3", secs(1));
        let actions = step(&mut fleet, secs(1));
        assert!(matches!(&actions[..], [Action::Reject { job, .. }] if **job == *"a"));
    }

    // Guards against a rebuilt planner that ignores running jobs, as after a change of the owner.
    adopted_jobs_use_capacity_within_their_guarantee => {
        let mut fleet = fleet(3);
        fleet.set_guarantees(vec![guarantee("a", 2, Adjacency::Rack)], secs(0));
        let place = |number: usize| Placement { worker: worker(number).id, tasks: 1 };
        let spec = job("a0", "a", 2, 8).with_guarantee("main");
        fleet.add_running_job(spec, vec![place(1), place(2)], secs(0));
        assert!(!fleet.explain("a0").unwrap().borrowed);
        fleet.submit(job("b0", "b", 2, 8), secs(1)).unwrap();
        assert!(step(&mut fleet, secs(1)).is_empty());
        fleet.record_finished("a0", secs(5));
        assert_eq!(started(&step(&mut fleet, secs(5))), ["b0"]);
    }

    // Guards against publishing guarantees that no placement can hold together.
    clashing_guarantees_are_named => {
        let workers: Vec<WorkerSpec> = (0..4).map(worker).collect();
        let same_rack = guarantee("a", 2, Adjacency::Rack);
        let any_rack = guarantee("b", 2, Adjacency::DataCentre);
        assert!(pack_guarantees(&workers, &[any_rack.clone(), same_rack.clone()]).is_ok());
        let other = guarantee("c", 1, Adjacency::DataCentre);
        let error = pack_guarantees(&workers, &[same_rack, any_rack, other]).unwrap_err();
        assert_eq!(error.kind, ErrorKind::GuaranteesClash);
        assert!(error.detail.contains("c/main"), "{error}");
    }
}
