//! Planner of one data centre, called directly as `nutmegwalk_fleet::Fleet`.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::SEED;
use crate::report::Output;
use crate::system::resident_mb;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_fleet::Action;
use nutmegwalk_fleet::Adjacency;
use nutmegwalk_fleet::Fleet;
use nutmegwalk_fleet::GuaranteeSpec;
use nutmegwalk_fleet::JobSpec;
use nutmegwalk_fleet::Policy;
use nutmegwalk_fleet::Shape;
use nutmegwalk_fleet::WorkerSpec;

const NOW: Duration = Duration::from_secs(100_000);
/// Number of rounds over which the median is taken.
const ROUNDS: usize = 15;
/// Number of copies over which the memory of one planner is averaged.
const COPIES: usize = 20;

fn task(accelerators: u32) -> Shape {
    Shape::new(
        accelerators * 8,
        u64::from(accelerators) * 16_000,
        accelerators,
    )
}

fn random_job(number: u32, customers: u32, random: &mut StdRng) -> JobSpec {
    let (tasks, accelerators) = match random.random_range(0..10) {
        0 => (random.random_range(4..17), 8),
        1..=3 => (random.random_range(2..5), 4),
        _ => (1, random.random_range(1..5)),
    };
    let customer = format!("c{}", random.random_range(0..customers));
    let service = format!("s{}", random.random_range(0..4));
    JobSpec::new(
        format!("j{number}"),
        customer,
        service,
        tasks,
        task(accelerators),
    )
}

/// Returns a data centre without jobs. Each customer has a guarantee of one worker, for up to half of the
/// workers.
fn empty_fleet(workers: u32, customers: u32) -> Fleet {
    let mut fleet = Fleet::new(Policy::Guaranteed);
    for number in 0..workers {
        let spec = WorkerSpec {
            id: format!("w{number}").into(),
            rack: format!("r{}", number / 20).into(),
            shape: Shape::new(128, 256_000, 8),
        };
        fleet.upsert_worker(spec, Duration::ZERO);
    }
    let guarantee = |number: u32| GuaranteeSpec {
        customer: format!("c{number}").into(),
        name: "main".into(),
        workers: 1,
        shape: task(8),
        adjacency: Adjacency::DataCentre,
        reclaim_within: Duration::from_secs(8),
    };
    let holders = customers.min(workers / 2);
    fleet.set_guarantees((0..holders).map(guarantee).collect(), Duration::ZERO);
    fleet
}

/// Returns a data centre with jobs for 90 percent of its accelerators, started as far as they fit, and with
/// `queued` further waiting jobs.
fn loaded_fleet(workers: u32, customers: u32, queued: u32) -> Fleet {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut fleet = empty_fleet(workers, customers);
    let mut submitted = 0;
    for number in 0.. {
        if submitted * 10 >= workers * 8 * 9 {
            break;
        }
        let spec = random_job(number, customers, &mut random);
        submitted += spec.tasks * spec.shape.accelerators;
        let now = Duration::from_secs(u64::from(number) * 10);
        let _ = fleet.submit(spec, now);
        start_all(&mut fleet, now);
    }
    for number in 0..queued {
        let _ = fleet.submit(random_job(1_000_000 + number, customers, &mut random), NOW);
    }
    fleet
}

fn start_all(fleet: &mut Fleet, now: Duration) -> usize {
    let mut started = 0;
    for action in fleet.schedule(now) {
        if let Action::Start { job, .. } = action {
            fleet.record_started(&job, now);
            started += 1;
        }
    }
    started
}

fn median_ms(mut round: impl FnMut() -> Duration) -> f64 {
    let mut times: Vec<Duration> = (0..ROUNDS).map(|_| round()).collect();
    times.sort();
    times[ROUNDS / 2].as_secs_f64() * 1000.0
}

/// Returns the times in milliseconds of the first decision on a loaded data centre, and of a decision when
/// nothing has changed.
fn decision_times_ms(fleet: &Fleet) -> (f64, f64) {
    let first = median_ms(|| {
        let mut fleet = fleet.clone();
        let started = Instant::now();
        std::hint::black_box(fleet.schedule(NOW));
        started.elapsed()
    });
    let mut settled = fleet.clone();
    for _ in 0..20 {
        if start_all(&mut settled, NOW) == 0 {
            break;
        }
    }
    let next = median_ms(|| {
        let started = Instant::now();
        std::hint::black_box(settled.schedule(NOW));
        started.elapsed()
    });
    (first, next)
}

/// Returns the time in milliseconds to place a gang of 1,024 one-accelerator tasks on empty workers.
fn gang_time_ms(workers: u32, customers: u32) -> Result<f64> {
    let mut empty = empty_fleet(workers, customers);
    empty.submit(JobSpec::new("gang", "c0", "s0", 1024, task(1)), NOW)?;
    let mut is_started = true;
    let time = median_ms(|| {
        let mut fleet = empty.clone();
        let started = Instant::now();
        let actions = std::hint::black_box(fleet.schedule(NOW));
        is_started &= matches!(&actions[..], [Action::Start { .. }]);
        started.elapsed()
    });
    if is_started {
        return Ok(time);
    }
    Err(Error::new(ErrorKind::Internal, "the gang was not placed"))
}

pub(crate) fn measure(output: &mut Output) -> Result<()> {
    let (mut first, mut next, mut memory, mut large) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for workers in [160, 325, 650, 1300] {
        let size = f64::from(workers);
        let fleet = loaded_fleet(workers, 20, workers);
        let (decision, unchanged) = decision_times_ms(&fleet);
        first.push((size, decision));
        next.push((size, unchanged));
        large.push((size, gang_time_ms(workers, 20)?));
        let before = resident_mb();
        let copies = vec![fleet; COPIES];
        memory.push((size, (resident_mb() - before) / (COPIES - 1) as f64));
        drop(copies);
    }
    output.add_measurement(
        "planner/first decision, queue of one job a worker",
        "worker",
        "ms",
        first,
    );
    output.add_measurement(
        "planner/decision without a change, queue of one job a worker",
        "worker",
        "ms",
        next,
    );
    output.add_measurement(
        "planner/gang of 1,024 tasks on empty workers",
        "worker",
        "ms",
        large,
    );
    output.add_measurement(
        "planner/memory, queue of one job a worker",
        "worker",
        "MB",
        memory,
    );

    let (mut first, mut next, mut full) = (Vec::new(), Vec::new(), Vec::new());
    for customers in [15, 150, 590] {
        let (decision, unchanged) = decision_times_ms(&loaded_fleet(650, customers, 650));
        first.push((f64::from(customers), decision));
        next.push((f64::from(customers), unchanged));
        full.push((
            f64::from(customers),
            decision_times_ms(&loaded_fleet(650, customers, 0)).1,
        ));
    }
    output.add_measurement(
        "planner/first decision, 650 workers, 650 queued",
        "customer",
        "ms",
        first,
    );
    output.add_measurement(
        "planner/decision without a change, 650 workers, 650 queued",
        "customer",
        "ms",
        next,
    );
    output.add_measurement(
        "planner/decision without a change, 650 workers, no queue",
        "customer",
        "ms",
        full,
    );
    Ok(())
}
