//! Generator of the seeded load of one data centre.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use nutmegwalk_fleet::Adjacency;
use nutmegwalk_fleet::GuaranteeSpec;
use nutmegwalk_fleet::JobSpec;
use nutmegwalk_fleet::Shape;

pub(crate) const HOUR: u64 = 3_600;
pub(crate) const DAY: u64 = 24 * HOUR;

/// Size of a data centre and of its load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deployment {
    pub(crate) workers: usize,
    pub(crate) days: u64,
    /// Accelerator-seconds of borrowed work that arrive for each accelerator-second of hardware.
    pub(crate) offered: f64,
}

/// A job that is submitted at a time; times are in seconds.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: u64,
    pub(crate) spec: JobSpec,
    /// Actual run time.
    pub(crate) work: u64,
}

fn task(accelerators: u32) -> Shape {
    Shape::new(
        accelerators * 8,
        u64::from(accelerators) * 16_000,
        accelerators,
    )
}

pub(crate) fn guarantees(workers: usize) -> Vec<GuaranteeSpec> {
    let list: &[(&str, u32, u32)] = match workers {
        0..=5 => &[("c0", 2, 8), ("c1", 1, 8)],
        _ => &[("c0", 3, 8), ("c1", 2, 8), ("c2", 1, 8), ("c3", 1, 4)],
    };
    let spec = |&(customer, workers, size): &(&str, u32, u32)| GuaranteeSpec {
        customer: customer.into(),
        name: "main".into(),
        workers,
        shape: task(size),
        adjacency: Adjacency::Rack,
        reclaim_within: Duration::from_secs(8),
    };
    list.iter().map(spec).collect()
}

/// Generates the arrivals of all days in order of time: bursts of small jobs, a few large gangs, urgent jobs, and one
/// guaranteed gang a day, the block.
pub(crate) fn arrivals(deployment: Deployment, rng: &mut StdRng) -> Vec<Arrival> {
    let mut list = Vec::new();
    let specs = guarantees(deployment.workers);
    let end = deployment.days * DAY;
    let mut push =
        |at: u64, customer: &str, service: &str, size: (u32, u32), work: u64, rng: &mut StdRng| {
            let id = format!("{service}-{at}-{}", rng.random::<u32>());
            let mut spec = JobSpec::new(id, customer, service, size.0, task(size.1))
                .with_adjacency(Adjacency::Rack);
            // Declared run times are wrong by up to a factor of ten in both directions.
            let factor = 10_f64.powf(rng.random_range(-1.0..1.0));
            spec.declared_run_time = Duration::from_secs_f64(work as f64 * factor);
            if matches!(service, "block" | "urgent") {
                spec.guarantee = Some("main".into());
            }
            list.push(Arrival { at, spec, work });
        };
    for day in 0..deployment.days {
        let block = (specs[0].workers, specs[0].shape.accelerators);
        push(day * DAY + 6 * HOUR, "c0", "block", block, 2 * HOUR, rng);
        for spec in &specs[1..] {
            for _ in 0..3 {
                let at = day * DAY + rng.random_range(0..DAY);
                let size = (1, spec.shape.accelerators);
                push(
                    at,
                    &spec.customer,
                    "urgent",
                    size,
                    rng.random_range(600..1800),
                    rng,
                );
            }
        }
    }
    // A third of the borrowed work is in large gangs; the other two thirds are bursts of small jobs.
    let budget = deployment.offered * (deployment.workers * 8) as f64 * end as f64;
    let mut remaining_large = budget / 3.0;
    while remaining_large > 0.0 {
        let spec = &specs[rng.random_range(0..2)];
        let work = rng.random_range(2 * HOUR..6 * HOUR);
        let at = rng.random_range(0..end);
        push(at, &spec.customer, "large", (spec.workers, 8), work, rng);
        remaining_large -= (u64::from(spec.workers) * 8 * work) as f64;
    }
    let mut remaining_small = budget * 2.0 / 3.0;
    while remaining_small > 0.0 {
        let at = rng.random_range(0..end);
        let customer = format!("c{}", rng.random_range(0..4));
        for _ in 0..rng.random_range(4..24) {
            let accelerators = [1, 1, 2, 4][rng.random_range(0..4)];
            let is_short = rng.random_bool(0.7);
            let (service, work) = if is_short {
                ("brief", rng.random_range(300..1800))
            } else {
                ("inspect", rng.random_range(HOUR..4 * HOUR))
            };
            push(
                at + rng.random_range(0..120),
                &customer,
                service,
                (1, accelerators),
                work,
                rng,
            );
            remaining_small -= (u64::from(accelerators) * work) as f64;
        }
    }
    list.sort_by(|a, b| (a.at, &a.spec.id).cmp(&(b.at, &b.spec.id)));
    list
}
