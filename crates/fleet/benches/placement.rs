//! Benchmarks of placing a large gang and of a `schedule` call under load.

use std::hint::black_box;
use std::time::Duration;

use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use nutmegwalk_fleet::Action;
use nutmegwalk_fleet::Adjacency;
use nutmegwalk_fleet::Fleet;
use nutmegwalk_fleet::GuaranteeSpec;
use nutmegwalk_fleet::JobSpec;
use nutmegwalk_fleet::Policy;
use nutmegwalk_fleet::Shape;
use nutmegwalk_fleet::WorkerSpec;

const NOW: Duration = Duration::from_secs(100_000);

fn task(accelerators: u32) -> Shape {
    Shape::new(
        accelerators * 8,
        u64::from(accelerators) * 16_000,
        accelerators,
    )
}

/// Creates a data centre with racks of 20 workers and 20 guarantees that reserve half of the capacity.
fn fleet(workers: u32) -> Fleet {
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
        workers: workers / 40,
        shape: task(8),
        adjacency: Adjacency::DataCentre,
        reclaim_within: Duration::from_secs(8),
    };
    let degraded = fleet.set_guarantees((0..20).map(guarantee).collect(), Duration::ZERO);
    assert!(degraded.is_empty());
    fleet
}

/// Creates a data centre with nine tenths of its accelerators in use and one queued job per worker.
fn loaded_fleet(workers: u32) -> Fleet {
    let mut fleet = fleet(workers);
    let mut rng = StdRng::seed_from_u64(7);
    let mut placed = 0;
    for number in 0.. {
        if placed * 10 >= workers * 8 * 9 {
            break;
        }
        let spec = random_job(number, &mut rng);
        placed += spec.tasks * spec.shape.accelerators;
        let now = Duration::from_secs(u64::from(number) * 10);
        fleet
            .submit(spec, now)
            .expect("every job fits the empty hardware");
        for action in fleet.schedule(now) {
            if let Action::Start { job, .. } = action {
                fleet.record_started(&job, now);
            }
        }
    }
    for number in 0..workers {
        let spec = random_job(1_000_000 + number, &mut rng);
        fleet
            .submit(spec, NOW)
            .expect("every job fits the empty hardware");
    }
    fleet
}

/// Generates a job: 10% large gangs, 30% small gangs and 60% single tasks; a fifth names a guarantee.
fn random_job(number: u32, rng: &mut StdRng) -> JobSpec {
    let (tasks, accelerators) = match rng.random_range(0..10) {
        0 => (rng.random_range(4..17), 8),
        1..=3 => (rng.random_range(2..5), 4),
        _ => (1, rng.random_range(1..5)),
    };
    let customer = format!("c{}", rng.random_range(0..20));
    let service = format!("s{}", rng.random_range(0..4));
    let mut spec = JobSpec::new(
        format!("j{number}"),
        customer,
        service,
        tasks,
        task(accelerators),
    );
    if rng.random_bool(0.2) {
        spec.guarantee = Some("main".into());
    }
    spec
}

fn large_gang(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("gang of 1024 tasks on 650 workers");
    for (name, tasks, accelerators) in [("one accelerator each", 1024, 1), ("eight each", 128, 8)] {
        let mut empty = fleet(650);
        let gang = JobSpec::new("gang", "c0", "s", tasks, task(accelerators));
        empty.submit(gang, NOW).expect("the gang fits");
        group.bench_function(name, |bencher| {
            bencher.iter_batched_ref(
                || empty.clone(),
                |fleet| {
                    let actions = fleet.schedule(NOW);
                    assert!(matches!(&actions[..], [Action::Start { .. }]));
                    black_box(actions)
                },
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

fn schedule_call(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("schedule");
    group.sample_size(20);
    for workers in [160, 325, 650, 1300] {
        let fleet = loaded_fleet(workers);
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter_batched_ref(
                || fleet.clone(),
                |fleet| black_box(fleet.schedule(NOW)),
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, large_gang, schedule_call);
criterion_main!(benches);
