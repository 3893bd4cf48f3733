//! Tests of single decisions.

mod common;

use std::time::Duration;

use common::Scene;
use common::step;

use nutmegwalk_placement::WaitReason;
use nutmegwalk_placement::plan;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

cases! {
    // Guards against tasks of one decision that are not counted against the limit a worker.
    limit_of_tasks_a_worker_holds_within_one_decision => {
        let mut scene = Scene::new(1, 2);
        let mut tasks = step("job", 5, 1);
        tasks.max_tasks_per_worker = Some(2);
        scene.wait(tasks);
        let plan = plan(&scene.snapshot);
        for worker in 0..2 {
            let there = plan.starts.iter().flat_map(|start| &start.assignments);
            assert_eq!(there.filter(|(_, at)| *at == worker).count(), 2);
        }
        assert_eq!(plan.waits[0].tasks, 1);
    }

    // Guards against tasks that were started before and are forgotten in the limit a worker.
    limit_of_tasks_a_worker_counts_earlier_starts => {
        let mut scene = Scene::new(1, 1);
        let mut tasks = step("job", 2, 1);
        tasks.max_tasks_per_worker = Some(2);
        tasks.step_tasks = vec![(0, 1)];
        scene.wait(tasks);
        let plan = plan(&scene.snapshot);
        assert_eq!(plan.starts[0].assignments.len(), 1);
    }

    // Guards against room that is freed for an urgent task and taken by a less urgent one meanwhile.
    room_of_a_preemption_is_kept_for_its_beneficiary => {
        let mut scene = Scene::new(1, 1);
        scene.run("long", 8, 2, Duration::from_secs(9)).is_ending = true;
        let mut urgent = step("urgent", 1, 8);
        urgent.priority = 0;
        scene.wait(urgent);
        let mut small = step("small", 8, 1);
        small.priority = 2;
        scene.wait(small);
        let first = plan(&scene.snapshot);
        assert!(first.starts.is_empty(), "{first:?}");
        // Half of the room has come back.
        scene.snapshot.workers[0].allocated = scene.size(4);
        scene.snapshot.running[0].allocations = vec![(0, scene.size(4))];
        let second = plan(&scene.snapshot);
        assert!(second.starts.is_empty(), "{second:?}");
    }

    // Guards against urgent work beyond a guarantee that throws away more work than it is itself.
    urgent_work_displaces_only_less_work_than_its_own => {
        for (loss_core_s, expected) in [(50.0, 1), (5_000.0, 0)] {
            let mut scene = Scene::new(1, 1);
            scene.run("long", 8, 2, Duration::from_secs(9)).loss_core_s = loss_core_s;
            let mut urgent = step("urgent", 1, 8);
            urgent.priority = 0;
            scene.wait(urgent);
            assert_eq!(plan(&scene.snapshot).preemptions.len(), expected);
        }
    }

    // Guards against a guarantee that gives way to the wish to save work.
    guaranteed_work_displaces_any_borrower => {
        let mut scene = Scene::new(1, 1);
        scene.run("long", 8, 0, Duration::from_secs(9)).loss_core_s = 1e6;
        let mut urgent = step("urgent", 1, 8);
        urgent.priority = 0;
        urgent.is_guaranteed = true;
        scene.wait(urgent);
        assert_eq!(plan(&scene.snapshot).preemptions.len(), 1);
    }

    // Guards against a large gang that starves because small tasks take each accelerator that comes free.
    large_gang_is_not_starved_by_small_tasks => {
        let mut scene = Scene::new(1, 1);
        scene.run("first", 4, 1, Duration::from_secs(2));
        let mut gang = step("gang", 2, 4);
        gang.is_gang = true;
        gang.priority = 1;
        scene.wait(gang);
        let mut long = step("long", 1, 4);
        long.priority = 2;
        long.run_time = Duration::from_secs(20);
        scene.wait(long);
        let mut short = step("short", 1, 4);
        short.priority = 2;
        short.run_time = Duration::from_secs(1);
        scene.wait(short);
        let plan = plan(&scene.snapshot);
        assert_eq!(plan.starts.len(), 1);
        assert_eq!(&*scene.snapshot.waiting[plan.starts[0].waiting].job, "short");
    }

    // Guards against a gang of which only a part is started.
    gang_starts_whole_or_not_at_all => {
        let mut scene = Scene::new(1, 1);
        let mut gang = step("gang", 3, 4);
        gang.is_gang = true;
        scene.wait(gang);
        let plan = plan(&scene.snapshot);
        assert!(plan.starts.is_empty());
        assert_eq!(plan.waits[0].reason, WaitReason::NeverFits);
    }

    // Guards against rack-sensitive tasks that are spread although a rack has room.
    rack_sensitive_gang_takes_the_tightest_rack_that_holds_it => {
        let mut scene = Scene::new(3, 2);
        scene.run("other", 8, 1, Duration::from_secs(5));
        let mut gang = step("gang", 2, 8);
        gang.is_gang = true;
        gang.is_rack_sensitive = true;
        scene.wait(gang);
        let plan = plan(&scene.snapshot);
        let racks: Vec<_> = plan.starts[0]
            .assignments
            .iter()
            .map(|(_, worker)| scene.snapshot.workers[*worker].rack.clone())
            .collect();
        assert_eq!(racks[0], racks[1]);
    }

    // Guards against work that is lost with a worker that has said that it leaves.
    run_that_outlasts_its_worker_moves => {
        let mut scene = Scene::new(1, 2);
        scene.run("long", 4, 1, Duration::from_secs(9)).has_checkpoints = true;
        scene.run("short", 4, 1, Duration::from_secs(1)).has_checkpoints = true;
        scene.snapshot.workers[0].accepts_tasks = false;
        scene.snapshot.workers[0].leaves_in = Some(Duration::from_secs(2));
        assert_eq!(plan(&scene.snapshot).moves, [0]);
        scene.snapshot.running[0].is_ending = true;
        assert!(plan(&scene.snapshot).moves.is_empty());
    }

    // Guards against room that is taken to be free before the run in it ends, or much later.
    foreseen_start_is_when_the_room_becomes_free => {
        for remaining_ms in [40, 1_020, 1_601, 7_777, 61_234, 3_600_001] {
            let mut scene = Scene::new(1, 1);
            let remaining = Duration::from_millis(remaining_ms);
            scene.run("long", 8, 1, remaining);
            scene.wait(step("job", 1, 8));
            let starts_in = plan(&scene.snapshot).waits[0].starts_in.expect("a place");
            assert!(starts_in >= remaining, "{starts_in:?}");
            assert!(starts_in <= remaining.mul_f64(1.0 + 1.0 / 16.0) + Duration::from_millis(50), "{starts_in:?}");
        }
    }

    // Guards against a stop of a run that is about to end by itself on a worker that may stay longer.
    run_that_is_about_to_end_does_not_move => {
        let mut scene = Scene::new(1, 2);
        scene.run("job", 4, 1, Duration::from_millis(100)).has_checkpoints = true;
        scene.snapshot.workers[0].leaves_in = Some(Duration::ZERO);
        assert!(plan(&scene.snapshot).moves.is_empty());
    }

    // Guards against a move that throws away work that may still end in time.
    run_without_checkpoints_moves_only_when_it_is_lost_otherwise => {
        for (remaining_ms, expected) in [(2_500, 0), (3_500, 1)] {
            let mut scene = Scene::new(1, 2);
            scene.run("job", 4, 1, Duration::from_millis(remaining_ms));
            scene.snapshot.workers[0].leaves_in = Some(Duration::from_secs(2));
            assert_eq!(plan(&scene.snapshot).moves.len(), expected);
        }
    }

    // Guards against small tasks that break up an empty worker although a used one has room.
    small_tasks_fill_used_workers_first => {
        let mut scene = Scene::new(2, 2);
        scene.run("other", 4, 1, Duration::from_secs(5));
        scene.wait(step("small", 1, 1));
        let plan = plan(&scene.snapshot);
        assert_eq!(plan.starts[0].assignments[0].1, 0);
    }
}
