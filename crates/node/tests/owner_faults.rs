//! Tests of race conditions in the data-centre owner that would lose jobs, run them twice, or never start them.

mod common;

use std::time::Duration;

use common::Cluster;
use common::DATA_CENTRE;
use common::WAIT_TIMEOUT;
use common::agent_report;
use common::owner_row;
use common::record;
use common::run_on;

use nutmegwalk_base::succession::ReceivedAnswer;
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

/// Returns the report of one member of an attempt.
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

/// Sends `parts` as reports of the agents of the workers with the given indices, until `condition`.
async fn report_until(
    cluster: &Cluster,
    parts: &[(usize, AttemptReport)],
    draining: bool,
    what: &str,
    mut condition: impl AsyncFnMut() -> bool,
) {
    let client = cluster.client("test");
    let started = std::time::Instant::now();
    while !condition().await {
        assert!(started.elapsed() < WAIT_TIMEOUT, "no {what}");
        for (index, part) in parts {
            let Some(owner) = owner_row(&cluster.table) else {
                continue;
            };
            let gangs = GangReport {
                worker: format!("worker-{index}").into(),
                agent: cluster.nodes[*index].address,
                epoch_floor: Some(owner.epoch),
                sequence: 1,
                recovered: true,
                attempts: vec![part.clone()],
                digest: "".into(),
            };
            let mut report = agent_report(cluster.nodes[*index].address, gangs, 8);
            report.draining = draining;
            let owner = owner.address.parse().unwrap();
            let _ = client.send(owner, &report, Duration::from_secs(1)).await;
        }
        compio::time::sleep(Duration::from_millis(50)).await;
    }
}

cases! {
    // Guards against a cancellation that is lost because the owner sees it only as a conflict with its own
    // write.
    cancellation_that_conflicts_with_the_write_of_a_start_takes_effect => {
        let cluster = Cluster::new(1).await;
        cluster.table.hold_writes.set(true);
        let _owner = cluster.start_owner("owner-a").await;
        cluster.submit("job-1", 1, 8).await;
        // By then the row has been read and the write of the attempt waits; neither is observable here.
        compio::time::sleep(Duration::from_secs(3)).await;
        cluster.jobs.request_cancel("job-1").await.unwrap();
        cluster.table.hold_writes.set(false);
        cluster.wait_for_row("job-1", "end of the job", |row| row.state == JobState::Cancelled).await;
        assert_eq!(cluster.running(), 0);
    }

    // Guards against a late report of an ended process of an agent that stops a job its successor runs.
    job_outlives_a_late_report_of_an_ended_process_of_its_agent => {
        let cluster = Cluster::new(1).await;
        let owner = cluster.start_owner("owner-a").await;
        cluster.submit("job-1", 1, 8).await;
        cluster.wait_for("start", |cluster| cluster.running() == 1).await;
        // Longer than the time for which a report may have been made before the start.
        compio::time::sleep(Duration::from_secs(4)).await;
        let gangs = GangReport { attempts: Vec::new(), ..cluster.nodes[0].shared.agent.borrow().report() };
        let mut late = agent_report(cluster.nodes[0].address, gangs, 8);
        late.incarnation = 99;
        late.number = 1;
        late.last_answer = Some(ReceivedAnswer::default());
        let client = cluster.client("late");
        client.send(owner.address, &late, Duration::from_secs(1)).await.expect("an answer");
        compio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(cluster.attempts("job-1").len(), 1);
        assert_eq!(cluster.running(), 1);
    }

    // Guards against a job that is started by its owner while its home is being cleared, because its data
    // centre returned to service in between.
    job_that_is_being_moved_is_not_started_when_its_data_centre_returns => {
        let cluster = Cluster::new(1).await;
        let owner = cluster.start_owner("owner-a").await;
        cluster.wait_for("owner", |_| {
            owner.data_centre_owner.summary().is_ok_and(|summary| summary.workers == 1)
        }).await;
        cluster.set_in_service(false);
        compio::time::sleep(Duration::from_millis(500)).await;
        cluster.table.hold_writes.set(true);
        cluster.submit("job-1", 1, 8).await;
        cluster.wait_for("move", |_| {
            owner.data_centre_owner.explain("job-1")
                .is_ok_and(|explanation| explanation.reason.contains("being stopped"))
        }).await;
        cluster.set_in_service(true);
        compio::time::sleep(Duration::from_secs(1)).await;
        cluster.table.hold_writes.set(false);
        cluster.wait_for_row("job-1", "move", |row| &*row.home == UNASSIGNED).await;
        compio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(cluster.attempts("job-1"), []);
    }

    // Guards against a row that was read before its job ended and puts the job back into the queue.
    row_read_before_the_end_of_a_job_does_not_requeue_it => {
        let cluster = Cluster::new(1).await;
        let owner = cluster.start_owner("owner-a").await;
        cluster.submit("job-1", 1, 8).await;
        cluster.wait_for("start", |cluster| cluster.running() == 1).await;
        cluster.table.hold_reads.set(true);
        cluster.wait_for("read", |cluster| cluster.table.held_reads.get() > 0).await;
        cluster.nodes[0].worker.end_tasks(TaskState::Finished);
        cluster.wait_for_row("job-1", "end", |row| row.state == JobState::Finished).await;
        let version = cluster.jobs.read("job-1").await.unwrap().version;
        cluster.table.hold_reads.set(false);
        for _ in 0..100 {
            assert!(owner.data_centre_owner.explain("job-1").is_err(), "the job is back");
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(cluster.jobs.read("job-1").await.unwrap().version, version);
    }

    // Guards against running a job that was moved elsewhere after its index row had been read.
    row_with_another_home_is_ignored => {
        let cluster = Cluster::new(1).await;
        let owner = cluster.start_owner("owner-a").await;
        let mut moved = record("moved", 1, 8);
        cluster.jobs.accept(&moved).await.unwrap();
        let stored = cluster.jobs.read("moved").await.unwrap();
        moved.home = UNASSIGNED.into();
        let none = nutmegwalk_store::Transaction::new();
        cluster.jobs.replace(&stored, moved, &none).await.unwrap();
        let index = none.with_put(format!("home/{DATA_CENTRE}/moved"), "{}");
        cluster.table.memory.apply(&index);
        cluster.submit("job-1", 1, 4).await;
        cluster.wait_for("start", |cluster| cluster.running() == 1).await;
        compio::time::sleep(Duration::from_millis(500)).await;
        assert!(owner.data_centre_owner.explain("moved").is_err());
        assert_eq!(cluster.attempts("moved"), []);
    }

    // Guards against one malformed row that keeps all jobs of the data centre from starting.
    malformed_row_does_not_block_other_jobs => {
        let cluster = Cluster::new(1).await;
        let _owner = cluster.start_owner("owner-a").await;
        let bad = nutmegwalk_store::Transaction::new()
            .with_put("job/bad", "nonsense")
            .with_put(format!("home/{DATA_CENTRE}/bad"), "{}");
        cluster.table.memory.apply(&bad);
        cluster.submit("job-1", 1, 8).await;
        cluster.wait_for("start", |cluster| cluster.running() == 1).await;
    }

    // Guards against a job that is run again although it has finished: the last report of its lead was sent
    // before the end, and that of another member after it.
    end_reported_only_by_a_member_is_recorded => {
        let cluster = Cluster::new(2).await;
        cluster.nodes.iter().for_each(|node| node.shared.unresponsive.set(true));
        let attempt = Attempt { epoch: 1, sequence: 7 };
        let mut row = record("job-1", 2, 8);
        row.run = Some(run_on(attempt, &["worker-0", "worker-1"]));
        cluster.jobs.accept(&row).await.unwrap();
        let _owner = cluster.start_owner("owner-a").await;
        let parts = [
            (0, part("job-1", attempt, AttemptPhase::Running, true, 0)),
            (1, part("job-1", attempt, AttemptPhase::Ended, false, 1)),
        ];
        report_until(&cluster, &parts, false, "end", async || {
            cluster.row("job-1").await.run.is_none()
        }).await;
        assert_eq!(cluster.row("job-1").await.state, JobState::Finished);
    }

    // Guards against a second start of a gang that a new owner adopted on a worker whose agent is draining.
    gang_on_a_draining_worker_is_not_started_again => {
        let cluster = Cluster::new(2).await;
        cluster.nodes[0].shared.unresponsive.set(true);
        let attempt = Attempt { epoch: 1, sequence: 7 };
        let mut row = record("job-1", 1, 8);
        row.run = Some(run_on(attempt, &["worker-0"]));
        cluster.jobs.accept(&row).await.unwrap();
        let owner = cluster.start_owner("owner-a").await;
        let parts = [(0, part("job-1", attempt, AttemptPhase::Running, true, 0))];
        report_until(&cluster, &parts, true, "adoption", async || {
            owner.data_centre_owner.summary().is_ok_and(|summary| summary.running_jobs == 1)
        }).await;
        let until = std::time::Instant::now() + Duration::from_secs(3);
        report_until(&cluster, &parts, true, "time", async || std::time::Instant::now() > until).await;
        assert_eq!(cluster.attempts("job-1"), []);
        assert_eq!(cluster.row("job-1").await.run.map(|run| run.attempt), Some(attempt));
    }

    // Guards against an attempt of the owner's own term that keeps running next to its successor, after a
    // start whose agents did not answer.
    unrecorded_attempt_of_the_same_term_is_stopped => {
        let cluster = Cluster::new(2).await;
        let _owner = cluster.start_owner("owner-a").await;
        cluster.submit("job-1", 1, 8).await;
        cluster.wait_for("start", |cluster| cluster.running() == 1).await;
        let busy = usize::from(cluster.nodes[1].worker.running() == 1);
        let attempt = cluster.attempts("job-1")[0];
        let other = Attempt { sequence: attempt.sequence + 100, ..attempt };
        let parts = [(1 - busy, part("job-1", other, AttemptPhase::Running, true, 0))];
        report_until(&cluster, &parts, false, "stop", async || {
            let paths = cluster.nodes[1 - busy].shared.paths.borrow();
            paths.iter().any(|path| &**path == "/v1/gang/stop")
        }).await;
        assert_eq!(cluster.attempts("job-1"), [attempt]);
        assert_eq!(cluster.running(), 1);
    }

    // Guards against a refused start that is retried without a delay, each time with a write.
    refused_start_is_retried_with_delays => {
        let cluster = Cluster::new(1).await;
        // The agent has less capacity than it reports, as happens while an earlier task is still being stopped.
        cluster.nodes[0].shared.reported_accelerators.set(16);
        let _owner = cluster.start_owner("owner-a").await;
        cluster.submit("job-1", 1, 16).await;
        cluster.wait_for("first try", |cluster| cluster.table.job_writes.get() > 0).await;
        compio::time::sleep(Duration::from_secs(4)).await;
        let writes = cluster.table.job_writes.get();
        assert!((2..=10).contains(&writes), "{writes} writes");
    }

    // Guards against a job that is started repeatedly on a worker that answers no start.
    job_is_started_on_another_worker_when_one_does_not_answer => {
        for hanging in 0..2 {
            let cluster = Cluster::new(2).await;
            cluster.nodes[hanging].worker.hangs.set(true);
            let _owner = cluster.start_owner("owner-a").await;
            cluster.submit("job-1", 1, 8).await;
            cluster.wait_for("start", |cluster| cluster.running() == 1).await;
            cluster.check_one_attempt_at_a_time();
        }
    }
}
