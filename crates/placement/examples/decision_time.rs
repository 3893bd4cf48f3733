//! Measures the time of one decision for several numbers of workers and waiting steps.
//!
//! `cargo run --release -p nutmegwalk-placement --example decision_time`

use std::time::Duration;
use std::time::Instant;

use nutmegwalk_placement::Isolation;
use nutmegwalk_placement::RunningUnit;
use nutmegwalk_placement::Snapshot;
use nutmegwalk_placement::WaitingStep;
use nutmegwalk_placement::WorkerView;
use nutmegwalk_placement::plan;
use nutmegwalk_workload::CrashRisk;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::UnitId;

/// Number of decisions over which one measurement is averaged.
const ROUNDS: u32 = 20;
/// Number of accelerators of a worker.
const ACCELERATORS: u64 = 8;

fn size(accelerators: u64) -> Resources {
    Resources::new(5_600 * accelerators, 8_000 * accelerators, accelerators)
}

fn worker(number: usize) -> WorkerView {
    WorkerView {
        service: "plank-desk".into(),
        data_centre: "ventspils".into(),
        rack: Some(format!("r-{}", number / 4).into()),
        labels: vec!["a".into()],
        capacity: size(ACCELERATORS),
        allocated: Resources::default(),
        accepts_tasks: true,
        is_quarantined: false,
        slowdown_factor: 1.0,
        leaves_in: None,
        crash_risk: CrashRisk::Low,
        up_for: Duration::MAX,
        is_starting: false,
        has_trial: false,
    }
}

fn running(worker: usize, number: u64) -> RunningUnit {
    RunningUnit {
        unit: UnitId {
            job: format!("running-{number}").into(),
            occurrence: 0,
            step: 0,
            task: Some(0),
        },
        run: 1,
        allocations: vec![(worker, size(1))],
        priority: 2,
        is_guaranteed: false,
        is_ending: false,
        is_preemptible: true,
        has_checkpoints: false,
        loss_core_s: 20.0,
        // Spread over 20 s so that no two are equal.
        remaining: Duration::from_micros(500_000 + number * 7_919_333 % 20_000_000),
        slack: Duration::from_secs(20),
    }
}

fn waiting(number: u32) -> WaitingStep {
    WaitingStep {
        job: format!("waiting-{number}").into(),
        occurrence: 0,
        step: 0,
        tasks: (0..4 + number % 9).collect(),
        is_gang: number.is_multiple_of(2),
        service: "plank-desk".into(),
        demand: size(1 << (number % 4)),
        priority: 1 + number % 2,
        is_guaranteed: false,
        is_rack_sensitive: number.is_multiple_of(3),
        data_rack: None,
        required_label: None,
        max_tasks_per_worker: None,
        started_tasks: Vec::new(),
        excluded: Vec::new(),
        allowed: None,
        crash_risk: CrashRisk::Low,
        isolation: Isolation::None,
        settling_time: Duration::ZERO,
        run_time: Duration::from_secs(2 + u64::from(number % 7)),
        waited: Duration::ZERO,
        time_to_deadline: Duration::from_secs(20),
        successors_run_time: Duration::ZERO,
        time_to_expiry: Duration::from_secs(60),
    }
}

fn main() {
    println!("workers  running  waiting  decision_ms");
    for (workers, steps) in [(11, 5), (11, 15), (57, 5), (57, 15), (57, 40), (300, 15)] {
        let mut snapshot = Snapshot {
            workers: (0..workers).map(worker).collect(),
            waiting: (0..steps).map(waiting).collect(),
            running: Vec::new(),
            spread_factor: 3.0,
        };
        for at in 0..workers {
            for _ in 0..ACCELERATORS {
                let number = snapshot.running.len() as u64;
                snapshot.running.push(running(at, number));
            }
            snapshot.workers[at].allocated = size(ACCELERATORS);
        }
        let started = Instant::now();
        for _ in 0..ROUNDS {
            std::hint::black_box(plan(std::hint::black_box(&snapshot)));
        }
        let time_ms = started.elapsed().as_secs_f64() * 1_000.0 / f64::from(ROUNDS);
        println!(
            "{workers:7}  {:7}  {steps:7}  {time_ms:11.2}",
            snapshot.running.len()
        );
    }
}
