//! Tests of single decisions.

mod common;

use std::time::Duration;

use common::Fixture;
use common::step;

use nutmegwalk_placement::WaitReason;
use nutmegwalk_placement::plan;
use nutmegwalk_workload::Resources;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

cases! {
    // Guards against tasks of the same decision that are not counted against the limit per worker.
    limit_of_tasks_per_worker_holds_within_one_decision => {
        let mut fixture = Fixture::new(1, 2);
        let mut tasks = step("job", 5, 1);
        tasks.max_tasks_per_worker = Some(2);
        fixture.add_waiting(tasks);
        let plan = plan(&fixture.snapshot);
        for worker in 0..2 {
            let assignments = plan.starts.iter().flat_map(|start| &start.assignments);
            assert_eq!(assignments.filter(|(_, at)| *at == worker).count(), 2);
        }
        assert_eq!(plan.waits[0].tasks, 1);
    }

    // Guards against tasks started earlier that are not counted against the limit per worker.
    limit_of_tasks_per_worker_counts_earlier_starts => {
        let mut fixture = Fixture::new(1, 1);
        let mut tasks = step("job", 2, 1);
        tasks.max_tasks_per_worker = Some(2);
        tasks.started_tasks = vec![(0, 1)];
        fixture.add_waiting(tasks);
        let plan = plan(&fixture.snapshot);
        assert_eq!(plan.starts[0].assignments.len(), 1);
    }

    // Guards against resources that are freed for an urgent task and used by a less urgent one meanwhile.
    resources_freed_by_preemption_are_kept_for_the_beneficiary => {
        let mut fixture = Fixture::new(1, 1);
        fixture.add_running("long", 8, 2, Duration::from_secs(9)).is_ending = true;
        let mut urgent = step("urgent", 1, 8);
        urgent.priority = 0;
        fixture.add_waiting(urgent);
        let mut small = step("small", 8, 1);
        small.priority = 2;
        fixture.add_waiting(small);
        let first = plan(&fixture.snapshot);
        assert!(first.starts.is_empty(), "{first:?}");
        // Half of the resources are free again.
        fixture.snapshot.workers[0].allocated = fixture.size(4);
        fixture.snapshot.running[0].allocations = vec![(0, fixture.size(4))];
        let second = plan(&fixture.snapshot);
        assert!(second.starts.is_empty(), "{second:?}");
    }

    // Guards against urgent work without a guarantee that discards much more work than its own.
    urgent_work_preempts_only_if_the_lost_work_is_limited => {
        for (loss_core_s, expected) in [(50.0, 1), (5_000.0, 0)] {
            let mut fixture = Fixture::new(1, 1);
            fixture.add_running("long", 8, 2, Duration::from_secs(9)).loss_core_s = loss_core_s;
            let mut urgent = step("urgent", 1, 8);
            urgent.priority = 0;
            fixture.add_waiting(urgent);
            assert_eq!(plan(&fixture.snapshot).preemptions.len(), expected);
        }
    }

    // Guards against a guarantee that is not honoured in order to save work.
    guaranteed_work_preempts_a_borrower_at_any_loss => {
        let mut fixture = Fixture::new(1, 1);
        fixture.add_running("long", 8, 0, Duration::from_secs(9)).loss_core_s = 1e6;
        let mut urgent = step("urgent", 1, 8);
        urgent.priority = 0;
        urgent.is_guaranteed = true;
        fixture.add_waiting(urgent);
        assert_eq!(plan(&fixture.snapshot).preemptions.len(), 1);
    }

    // Guards against a large gang that starves because small tasks take each accelerator that becomes free.
    large_gang_is_not_starved_by_small_tasks => {
        let mut fixture = Fixture::new(1, 1);
        fixture.add_running("first", 4, 1, Duration::from_secs(2));
        let mut gang = step("gang", 2, 4);
        gang.is_gang = true;
        gang.priority = 1;
        fixture.add_waiting(gang);
        let mut long = step("long", 1, 4);
        long.priority = 2;
        long.run_time = Duration::from_secs(20);
        fixture.add_waiting(long);
        let mut short = step("short", 1, 4);
        short.priority = 2;
        short.run_time = Duration::from_secs(1);
        fixture.add_waiting(short);
        let plan = plan(&fixture.snapshot);
        assert_eq!(plan.starts.len(), 1);
        assert_eq!(&*fixture.snapshot.waiting[plan.starts[0].step].job, "short");
    }

    // Guards against a gang that is started in part.
    gang_starts_whole_or_not_at_all => {
        let mut fixture = Fixture::new(1, 1);
        let mut gang = step("gang", 3, 4);
        gang.is_gang = true;
        fixture.add_waiting(gang);
        let plan = plan(&fixture.snapshot);
        assert!(plan.starts.is_empty());
        assert_eq!(plan.waits[0].reason, WaitReason::NeverFits);
    }

    // Guards against rack-sensitive tasks that are spread although they fit into one rack.
    rack_sensitive_gang_starts_in_one_rack => {
        let mut fixture = Fixture::new(3, 2);
        fixture.add_running("other", 8, 1, Duration::from_secs(5));
        let mut gang = step("gang", 2, 8);
        gang.is_gang = true;
        gang.is_rack_sensitive = true;
        fixture.add_waiting(gang);
        let plan = plan(&fixture.snapshot);
        let racks: Vec<_> = plan.starts[0]
            .assignments
            .iter()
            .map(|(_, worker)| fixture.snapshot.workers[*worker].rack.clone())
            .collect();
        assert_eq!(racks[0], racks[1]);
    }

    // Guards against work that is lost with a worker that has announced its departure.
    run_that_ends_after_its_worker_leaves_is_moved => {
        let mut fixture = Fixture::new(1, 2);
        fixture.add_running("long", 4, 1, Duration::from_secs(9)).has_checkpoints = true;
        fixture.add_running("short", 4, 1, Duration::from_secs(1)).has_checkpoints = true;
        fixture.snapshot.workers[0].accepts_tasks = false;
        fixture.snapshot.workers[0].leaves_in = Some(Duration::from_secs(2));
        assert_eq!(plan(&fixture.snapshot).moves, [0]);
        fixture.snapshot.running[0].is_ending = true;
        assert!(plan(&fixture.snapshot).moves.is_empty());
    }

    // Guards against resources that are expected to be free before their run ends, or much later.
    expected_start_is_when_the_resources_become_free => {
        for remaining_ms in [40, 1_020, 1_601, 7_777, 61_234, 3_600_001] {
            let mut fixture = Fixture::new(1, 1);
            let remaining = Duration::from_millis(remaining_ms);
            fixture.add_running("long", 8, 1, remaining);
            fixture.add_waiting(step("job", 1, 8));
            let starts_in = plan(&fixture.snapshot).waits[0].starts_in.expect("a placement");
            assert!(starts_in >= remaining, "{starts_in:?}");
            assert!(starts_in <= remaining.mul_f64(1.0 + 1.0 / 16.0) + Duration::from_millis(50), "{starts_in:?}");
        }
    }

    // Guards against stopping a run that is about to end on a worker that may stay longer than announced.
    run_that_is_about_to_end_is_not_moved => {
        let mut fixture = Fixture::new(1, 2);
        fixture.add_running("job", 4, 1, Duration::from_millis(100)).has_checkpoints = true;
        fixture.snapshot.workers[0].leaves_in = Some(Duration::ZERO);
        assert!(plan(&fixture.snapshot).moves.is_empty());
    }

    // Guards against a move that discards work that may still be done in time.
    run_without_checkpoints_is_moved_only_if_it_would_be_lost => {
        for (remaining_ms, expected) in [(2_500, 0), (3_500, 1)] {
            let mut fixture = Fixture::new(1, 2);
            fixture.add_running("job", 4, 1, Duration::from_millis(remaining_ms));
            fixture.snapshot.workers[0].leaves_in = Some(Duration::from_secs(2));
            assert_eq!(plan(&fixture.snapshot).moves.len(), expected);
        }
    }

    // Guards against small tasks that fragment an empty worker although they fit on a used one.
    small_tasks_fill_used_workers_first => {
        let mut fixture = Fixture::new(2, 2);
        fixture.add_running("other", 4, 1, Duration::from_secs(5));
        fixture.add_waiting(step("small", 1, 1));
        let plan = plan(&fixture.snapshot);
        assert_eq!(plan.starts[0].assignments[0].1, 0);
    }

    // Guards against a covered job that waits for the end of a quarantine, though workers are idle.
    covered_tasks_use_workers_in_quarantine_when_no_other_has_room => {
        let mut fixture = Fixture::new(1, 3);
        fixture.snapshot.workers[0].is_quarantined = true;
        fixture.snapshot.workers[1].is_quarantined = true;
        let mut covered = step("covered", 3, 8);
        covered.is_guaranteed = true;
        covered.waited = Duration::from_secs(1);
        fixture.add_waiting(covered);
        fixture.add_waiting(step("other", 1, 1));
        let plan = plan(&fixture.snapshot);
        let assignments = plan.starts.iter().flat_map(|start| &start.assignments);
        let mut used: Vec<usize> = assignments.map(|(_, worker)| *worker).collect();
        used.sort_unstable();
        assert_eq!(used, [0, 1, 2], "{plan:?}");
        assert!(plan.starts.iter().all(|start| start.step == 0), "{plan:?}");
    }

    // Guards against covered tasks that use up their attempts on a worker in quarantine although another has room.
    covered_tasks_avoid_workers_in_quarantine => {
        let mut fixture = Fixture::new(1, 2);
        fixture.snapshot.workers[0].is_quarantined = true;
        let mut covered = step("covered", 2, 4);
        covered.is_guaranteed = true;
        covered.waited = Duration::from_secs(1);
        fixture.add_waiting(covered);
        let plan = plan(&fixture.snapshot);
        let assignments = plan.starts.iter().flat_map(|start| &start.assignments);
        assert!(assignments.clone().count() == 2 && assignments.clone().all(|(_, worker)| *worker == 1), "{plan:?}");
    }

    // Guards against an owner whose memory is used up by tasks that need no resources.
    tasks_without_demand_start_in_bounded_number => {
        let mut fixture = Fixture::new(1, 1);
        for job in ["a", "b", "c", "d", "e", "f"] {
            let mut tasks = step(job, 8_192, 1);
            tasks.demand = Default::default();
            fixture.add_waiting(tasks);
        }
        let plan = plan(&fixture.snapshot);
        let started: usize = plan.starts.iter().map(|start| start.assignments.len()).sum();
        assert_eq!(started, 32_768);
    }

    // Guards against a gang that never starts whole, as one worker cannot start so many members in time.
    large_gang_is_spread_over_workers => {
        let mut fixture = Fixture::new(1, 4);
        let mut gang = step("gang", 500, 0);
        gang.is_gang = true;
        gang.demand = Resources::new(100, 64, 0);
        fixture.add_waiting(gang);
        let plan = plan(&fixture.snapshot);
        let assignments = &plan.starts[0].assignments;
        assert_eq!(assignments.len(), 500);
        for worker in 0..4 {
            let count = assignments.iter().filter(|(_, at)| *at == worker).count();
            assert!(count <= 128, "{count} members on worker {worker}");
        }
    }
}
