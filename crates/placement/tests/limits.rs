//! Tests of limits on the tasks of a step, over all that one decision places.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use common::Fixture;
use common::step;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use nutmegwalk_placement::Isolation;
use nutmegwalk_placement::Plan;
use nutmegwalk_placement::Snapshot;
use nutmegwalk_placement::WaitingStep;
use nutmegwalk_placement::plan;
use nutmegwalk_workload::CrashRisk;
use nutmegwalk_workload::Resources;

/// Number of generated snapshots.
const SNAPSHOTS: u64 = 4_000;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

/// Returns a step with a limit of one task a worker.
fn limited(tasks: u32) -> WaitingStep {
    let mut limited = step("job", tasks, 1);
    limited.max_tasks_per_worker = Some(1);
    limited
}

/// Returns the workers on which a plan starts tasks, one entry per task.
fn workers_of(plan: &Plan) -> Vec<usize> {
    let assignments = plan.starts.iter().flat_map(|start| &start.assignments);
    let mut workers: Vec<usize> = assignments.map(|(_, worker)| *worker).collect();
    workers.sort_unstable();
    workers
}

/// Returns tasks that may crash their workers, and that run alone on these for a trial.
fn suspects(mut step: WaitingStep) -> WaitingStep {
    step.crash_risk = CrashRisk::Raised;
    step.isolation = Isolation::Trial;
    step
}

cases! {
    // Guards against a limit that forgets the tasks placed before workers are used where the step has failed.
    limit_holds_when_workers_are_used_where_tasks_have_failed => {
        let mut fixture = Fixture::new(1, 3);
        let mut tasks = limited(2);
        tasks.excluded = vec![1, 2];
        fixture.add_waiting(tasks);
        assert_eq!(workers_of(&plan(&fixture.snapshot)), [0, 1]);
    }

    // Guards against a limit that forgets the tasks placed before workers in quarantine are used.
    limit_holds_when_workers_in_quarantine_are_used => {
        let mut fixture = Fixture::new(1, 2);
        fixture.snapshot.workers[1].is_quarantined = true;
        let mut tasks = limited(2);
        tasks.is_guaranteed = true;
        tasks.waited = Duration::from_secs(1);
        fixture.add_waiting(tasks);
        assert_eq!(workers_of(&plan(&fixture.snapshot)), [0, 1]);
    }

    // Guards against a limit that is forgotten by the second of two last resorts.
    limit_holds_when_both_last_resorts_are_used => {
        let mut fixture = Fixture::new(1, 3);
        fixture.snapshot.workers[1].is_quarantined = true;
        let mut tasks = limited(4);
        tasks.is_guaranteed = true;
        tasks.waited = Duration::from_secs(1);
        tasks.excluded = vec![2];
        fixture.add_waiting(tasks);
        assert_eq!(workers_of(&plan(&fixture.snapshot)), [0, 1, 2]);
    }

    // Guards against a limit that counts each part of a step for itself.
    limit_holds_over_all_parts_of_a_step => {
        let mut fixture = Fixture::new(1, 2);
        fixture.add_waiting(limited(1));
        let mut others = limited(2);
        others.crash_risk = CrashRisk::Raised;
        others.tasks = [1, 2].into_iter().collect();
        fixture.add_waiting(others);
        let plan = plan(&fixture.snapshot);
        assert_eq!(workers_of(&plan), [0, 1]);
        assert_eq!(plan.waits.iter().map(|wait| wait.tasks).sum::<u32>(), 1);
    }

    // Guards against tasks that have to be in one rack and are spread, as they are placed in two parts.
    parts_of_a_rack_sensitive_step_start_in_one_rack => {
        let mut fixture = Fixture::new(2, 2);
        // Two tasks are placed where the least is free, and a suspect where the most is.
        for worker in [2, 3] {
            fixture.snapshot.workers[worker].allocated = fixture.size(6);
        }
        let mut tasks = step("job", 2, 1);
        tasks.is_rack_sensitive = true;
        fixture.add_waiting(tasks.clone());
        let mut other = suspects(tasks);
        other.tasks = [2].into_iter().collect();
        fixture.add_waiting(other);
        let workers = workers_of(&plan(&fixture.snapshot));
        let racks: BTreeSet<_> = workers.iter().map(|worker| &fixture.snapshot.workers[*worker].rack).collect();
        assert_eq!((workers.len(), racks.len()), (3, 1), "{workers:?}");
    }

    // Guards against any path of a decision that goes beyond a limit, a capacity or a label, or places a task twice.
    every_plan_keeps_the_limits => {
        let mut last_resorts = 0;
        for seed in 0..SNAPSHOTS {
            let snapshot = generate(&mut StdRng::seed_from_u64(seed));
            let plan = plan(&snapshot);
            last_resorts += check(&snapshot, &plan, seed);
        }
        // The paths that the property is about are taken.
        assert!(last_resorts > SNAPSHOTS / 20, "{last_resorts} plans use a last resort");
    }
}

/// Returns a random snapshot with steps in parts, with limits, failures, suspects and workers in quarantine.
fn generate(random: &mut StdRng) -> Snapshot {
    let mut fixture = Fixture::new(random.random_range(1..=3), random.random_range(1..=4));
    let workers = fixture.snapshot.workers.len();
    for index in 0..workers {
        let allocated = fixture.size(random.random_range(0..=8));
        let worker = &mut fixture.snapshot.workers[index];
        worker.allocated = allocated;
        worker.is_quarantined = random.random_bool(0.25);
        worker.is_starting = random.random_bool(0.1);
        worker.accepts_tasks = random.random_bool(0.95);
        if random.random_bool(0.2) {
            worker.labels = vec!["b".into()];
        }
    }
    for running in 0..random.random_range(0..=3) {
        let remaining = Duration::from_secs(random.random_range(1..=90));
        if fixture.snapshot.workers[0].free().accelerators > 0 {
            fixture.add_running(&format!("running-{running}"), 1, 2, remaining);
        }
    }
    for job in 0..random.random_range(1..=3) {
        let mut template = step(&format!("job-{job}"), 0, random.random_range(0..=4));
        template.priority = random.random_range(0..=2);
        template.is_guaranteed = template.priority == 0 && random.random_bool(0.5);
        template.waited = Duration::from_millis(random.random_range(0..=2_000));
        template.is_rack_sensitive = random.random_bool(0.3);
        template.required_label = random.random_bool(0.3).then(|| "b".into());
        template.max_tasks_per_worker = random.random_bool(0.8).then(|| random.random_range(1..=3));
        for worker in 0..workers {
            if random.random_bool(0.2) {
                template.started_tasks.push((worker, 1));
            }
        }
        let mut first_task = 0;
        for part in 0..random.random_range(1..=3) {
            let mut waiting = template.clone();
            let count = random.random_range(1..=6);
            waiting.tasks = (first_task..first_task + count).collect();
            first_task += count;
            waiting.excluded = (0..workers).filter(|_| random.random_bool(0.3)).collect();
            if part > 0 {
                waiting.crash_risk = CrashRisk::Raised;
                if random.random_bool(0.5) {
                    waiting.isolation = Isolation::Trial;
                }
            }
            fixture.add_waiting(waiting);
        }
    }
    fixture.snapshot
}

/// Checks a plan; returns whether it uses a worker of a last resort, as a number.
fn check(snapshot: &Snapshot, plan: &Plan, seed: u64) -> u64 {
    let mut started: BTreeMap<(&str, usize), u32> = BTreeMap::new();
    let mut allocated: BTreeMap<usize, Resources> = BTreeMap::new();
    let mut tasks = BTreeSet::new();
    let mut uses_last_resort = false;
    for start in &plan.starts {
        let step = &snapshot.waiting[start.step];
        for (task, worker) in &start.assignments {
            let view = &snapshot.workers[*worker];
            assert!(
                tasks.insert((&*step.job, *task)),
                "seed {seed}: task {task} starts twice"
            );
            assert!(view.accepts_tasks, "seed {seed}: closed worker {worker}");
            let has_label = step.required_label.as_ref();
            let has_label = has_label.is_none_or(|label| view.labels.contains(label));
            assert!(has_label, "seed {seed}: worker {worker} lacks the label");
            uses_last_resort |= view.is_quarantined || step.excluded.contains(worker);
            let earlier = step.started_tasks.iter().find(|(at, _)| at == worker);
            let count = started
                .entry((&step.job, *worker))
                .or_insert(earlier.map_or(0, |(_, count)| *count));
            *count += 1;
            let limit = step.max_tasks_per_worker.unwrap_or(u32::MAX);
            assert!(
                *count <= limit,
                "seed {seed}: {count} tasks on worker {worker}, limit {limit}"
            );
            let sum = allocated.entry(*worker).or_default();
            *sum = sum.plus(step.demand);
            assert!(
                sum.fits(view.free()),
                "seed {seed}: worker {worker} has too little room"
            );
        }
    }
    for (index, step) in snapshot.waiting.iter().enumerate() {
        let of_step = plan.starts.iter().filter(|start| start.step == index);
        let placed: usize = of_step.map(|start| start.assignments.len()).sum();
        let waits = plan.waits.iter().filter(|wait| wait.step == index);
        let waiting: u32 = waits.map(|wait| wait.tasks).sum();
        assert_eq!(
            placed as u32 + waiting,
            step.count(),
            "seed {seed}: step {index}"
        );
    }
    u64::from(uses_last_resort)
}
