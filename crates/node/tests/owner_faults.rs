//! Faults of a data-centre owner between its awaits: jobs lost, run twice, or never started.

mod common;

use std::time::Duration;

use common::DATA_CENTRE;
use common::LIMIT;
use common::World;
use common::agent_report;
use common::owner_row;
use common::record;
use common::run_on;

use nutmegwalk_gang::Attempt;
use nutmegwalk_gang::AttemptPhase;
use nutmegwalk_gang::AttemptReport;
use nutmegwalk_gang::GangEnd;
use nutmegwalk_gang::GangReport;
use nutmegwalk_gang::MemberReport;
use nutmegwalk_gang::TaskState;
use nutmegwalk_node::jobs::JobState;
use nutmegwalk_node::jobs::UNASSIGNED;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() { compio::runtime::Runtime::new().unwrap().block_on(async $body) })*
    };
}

fn part(
    job: &str,
    attempt: Attempt,
    phase: AttemptPhase,
    lead: bool,
    member: u32,
) -> AttemptReport {
    let end = (phase == AttemptPhase::Ended).then_some(GangEnd::Finished);
    let state = if end.is_some() {
        TaskState::Finished
    } else {
        TaskState::Running
    };
    AttemptReport {
        job: job.into(),
        attempt,
        phase,
        lead,
        end,
        members: vec![MemberReport {
            member,
            state: Some(state),
            progress_ms: 0,
            checkpoint_ms: 0,
        }],
    }
}

/// Sends what the agent of worker `index` would report, until `reached`.
async fn report_until(
    world: &World,
    parts: &[(usize, AttemptReport)],
    draining: bool,
    what: &str,
    mut reached: impl AsyncFnMut() -> bool,
) {
    let client = world.client("test");
    let started = std::time::Instant::now();
    while !reached().await {
        assert!(started.elapsed() < LIMIT, "no {what}");
        for (index, part) in parts {
            let Some(owner) = owner_row(&world.table) else {
                continue;
            };
            let gangs = GangReport {
                worker: format!("worker-{index}").into(),
                agent: world.sites[*index].address,
                epoch_floor: Some(owner.epoch),
                sequence: 1,
                recovered: true,
                attempts: vec![part.clone()],
                digest: "".into(),
            };
            let mut report = agent_report(world.sites[*index].address, gangs, 8);
            report.draining = draining;
            let owner = owner.address.parse().unwrap();
            let _ = client.send(owner, &report, Duration::from_secs(1)).await;
        }
        compio::time::sleep(Duration::from_millis(50)).await;
    }
}

cases! {
    // Guards against a cancel that is lost because the owner met it only as a conflict of its own write.
    cancel_that_meets_the_write_of_a_start_is_obeyed => {
        let world = World::new(1).await;
        world.table.hold_writes.set(true);
        let _owner = world.start_owner("owner-a").await;
        world.submit("job-1", 1, 8).await;
        // The row is read and the write of the attempt waits; nothing else can be seen from outside.
        compio::time::sleep(Duration::from_secs(3)).await;
        world.jobs.request_cancel("job-1").await.unwrap();
        world.table.hold_writes.set(false);
        world.wait_for_row("job-1", "end of the job", |row| row.state == JobState::Cancelled).await;
        assert_eq!(world.running(), 0);
    }

    // Guards against a job that is started by an owner that is about to give it away, because its data
    // centre returned in between.
    job_that_moves_away_is_not_started_when_its_data_centre_returns => {
        let world = World::new(1).await;
        let owner = world.start_owner("owner-a").await;
        world.wait_for("owner", |_| owner.duty.summary().is_ok_and(|summary| summary.workers == 1)).await;
        world.set_in_service(false);
        compio::time::sleep(Duration::from_millis(500)).await;
        world.table.hold_writes.set(true);
        world.submit("job-1", 1, 8).await;
        world.wait_for("move", |_| {
            owner.duty.explain("job-1").is_ok_and(|told| told.reason.contains("being stopped"))
        }).await;
        world.set_in_service(true);
        compio::time::sleep(Duration::from_secs(1)).await;
        world.table.hold_writes.set(false);
        world.wait_for_row("job-1", "move", |row| &*row.home == UNASSIGNED).await;
        compio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(world.attempts("job-1"), []);
    }

    // Guards against rows that were read before a job ended and bring it back into the queue.
    row_read_before_the_end_of_a_job_does_not_bring_it_back => {
        let world = World::new(1).await;
        let owner = world.start_owner("owner-a").await;
        world.submit("job-1", 1, 8).await;
        world.wait_for("start", |world| world.running() == 1).await;
        world.table.hold_reads.set(true);
        world.wait_for("read", |world| world.table.held_reads.get() > 0).await;
        world.sites[0].worker.end_tasks(TaskState::Finished);
        world.wait_for_row("job-1", "end", |row| row.state == JobState::Finished).await;
        let version = world.jobs.read("job-1").await.unwrap().version;
        world.table.hold_reads.set(false);
        for _ in 0..100 {
            assert!(owner.duty.explain("job-1").is_err(), "the job is back");
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(world.jobs.read("job-1").await.unwrap().version, version);
    }

    // Guards against a job that another data centre has, and whose index row was read before it left.
    row_of_another_home_is_not_taken_over => {
        let world = World::new(1).await;
        let owner = world.start_owner("owner-a").await;
        let mut moved = record("moved", 1, 8);
        world.jobs.accept(&moved).await.unwrap();
        let stored = world.jobs.read("moved").await.unwrap();
        moved.home = UNASSIGNED.into();
        let none = nutmegwalk_store::Transaction::new();
        world.jobs.replace(&stored, moved, &none).await.unwrap();
        let index = none.with_put(format!("home/{DATA_CENTRE}/moved"), "{}");
        world.table.memory.apply(&index);
        world.submit("job-1", 1, 4).await;
        world.wait_for("start", |world| world.running() == 1).await;
        compio::time::sleep(Duration::from_millis(500)).await;
        assert!(owner.duty.explain("moved").is_err());
        assert_eq!(world.attempts("moved"), []);
    }

    // Guards against one malformed row that keeps all jobs of the data centre from starting.
    malformed_row_does_not_hold_up_the_others => {
        let world = World::new(1).await;
        let _owner = world.start_owner("owner-a").await;
        let bad = nutmegwalk_store::Transaction::new()
            .with_put("job/bad", "nonsense")
            .with_put(format!("home/{DATA_CENTRE}/bad"), "{}");
        world.table.memory.apply(&bad);
        world.submit("job-1", 1, 8).await;
        world.wait_for("start", |world| world.running() == 1).await;
    }

    // Guards against a job that is run again although it has finished: its lead reported last before
    // the end and another member after it.
    end_seen_by_a_member_only_counts => {
        let world = World::new(2).await;
        world.sites.iter().for_each(|site| site.shared.silent.set(true));
        let attempt = Attempt { epoch: 1, sequence: 7 };
        let mut row = record("job-1", 2, 8);
        row.run = Some(run_on(attempt, &["worker-0", "worker-1"]));
        world.jobs.accept(&row).await.unwrap();
        let _owner = world.start_owner("owner-a").await;
        let parts = [
            (0, part("job-1", attempt, AttemptPhase::Running, true, 0)),
            (1, part("job-1", attempt, AttemptPhase::Ended, false, 1)),
        ];
        report_until(&world, &parts, false, "end", async || {
            world.row("job-1").await.run.is_none()
        }).await;
        assert_eq!(world.row("job-1").await.state, JobState::Finished);
    }

    // Guards against a second start of a gang that a new owner adopted on a worker whose agent drains.
    gang_on_a_draining_worker_is_not_started_again => {
        let world = World::new(2).await;
        world.sites[0].shared.silent.set(true);
        let attempt = Attempt { epoch: 1, sequence: 7 };
        let mut row = record("job-1", 1, 8);
        row.run = Some(run_on(attempt, &["worker-0"]));
        world.jobs.accept(&row).await.unwrap();
        let owner = world.start_owner("owner-a").await;
        let parts = [(0, part("job-1", attempt, AttemptPhase::Running, true, 0))];
        report_until(&world, &parts, true, "adoption", async || {
            owner.duty.summary().is_ok_and(|summary| summary.running_jobs == 1)
        }).await;
        let until = std::time::Instant::now() + Duration::from_secs(3);
        report_until(&world, &parts, true, "time", async || std::time::Instant::now() > until).await;
        assert_eq!(world.attempts("job-1"), []);
        assert_eq!(world.row("job-1").await.run.map(|run| run.attempt), Some(attempt));
    }

    // Guards against an attempt of the owner's own term that runs on beside its successor, after a start
    // whose agents did not answer.
    unrecorded_attempt_of_the_same_term_is_stopped => {
        let world = World::new(2).await;
        let _owner = world.start_owner("owner-a").await;
        world.submit("job-1", 1, 8).await;
        world.wait_for("start", |world| world.running() == 1).await;
        let busy = usize::from(world.sites[1].worker.running() == 1);
        let attempt = world.attempts("job-1")[0];
        let other = Attempt { sequence: attempt.sequence + 100, ..attempt };
        let parts = [(1 - busy, part("job-1", other, AttemptPhase::Running, true, 0))];
        report_until(&world, &parts, false, "stop", async || {
            let paths = world.sites[1 - busy].shared.paths.borrow();
            paths.iter().any(|path| &**path == "/v1/gang/stop")
        }).await;
        assert_eq!(world.attempts("job-1"), [attempt]);
        assert_eq!(world.running(), 1);
    }

    // Guards against a refused start that is repeated without a pause, each time with a write.
    refused_start_is_repeated_with_pauses => {
        let world = World::new(1).await;
        // The agent has less than it reports, as while an earlier task is still being stopped.
        world.sites[0].shared.reported.set(16);
        let _owner = world.start_owner("owner-a").await;
        world.submit("job-1", 1, 16).await;
        world.wait_for("first try", |world| world.table.job_writes.get() > 0).await;
        compio::time::sleep(Duration::from_secs(4)).await;
        let writes = world.table.job_writes.get();
        assert!((2..=10).contains(&writes), "{writes} writes");
    }

    // Guards against a job that is started again and again on a worker that answers no start.
    job_is_started_elsewhere_when_a_worker_does_not_answer => {
        for hanging in 0..2 {
            let world = World::new(2).await;
            world.sites[hanging].worker.hangs.set(true);
            let _owner = world.start_owner("owner-a").await;
            world.submit("job-1", 1, 8).await;
            world.wait_for("start", |world| world.running() == 1).await;
            world.check_runs_once();
        }
    }
}
