//! Tests of the release of waiting jobs for balancing between data centres.

mod common;

use std::time::Duration;

use common::Cluster;
use common::DATA_CENTRE;
use common::Owner;
use common::record;

use nutmegwalk_gang::TaskState;
use nutmegwalk_node::api::FreeWorkers;
use nutmegwalk_node::jobs::JobState;
use nutmegwalk_node::jobs::UNASSIGNED;
use nutmegwalk_node::owner::messages::ReleaseRequest;
use nutmegwalk_node::owner::messages::Released;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() { compio::runtime::Runtime::new().unwrap().block_on(async $body) })*
    };
}

/// Requests the release of jobs that fit on `workers` workers with 8 free accelerators each.
async fn request_release(cluster: &Cluster, owner: &Owner, workers: u32) -> Released {
    let request = ReleaseRequest {
        data_centre: "valmiera".into(),
        free: vec![FreeWorkers {
            accelerators: 8,
            workers,
        }],
    };
    let client = cluster.client("entry-0");
    client
        .send(owner.address, &request, Duration::from_secs(10))
        .await
        .unwrap()
}

cases! {
    // Guards against the release of jobs that run, that use a guarantee, or that do not fit.
    only_waiting_jobs_that_fit_are_released => {
        let cluster = Cluster::new(1).await;
        let owner = cluster.start_owner("owner-a").await;
        cluster.submit("runs", 1, 8).await;
        cluster.wait_for("start", |cluster| cluster.running() == 1).await;
        let mut guaranteed = record("guaranteed", 1, 4);
        guaranteed.request.guarantee = Some("grading".into());
        cluster.jobs.accept(&guaranteed).await.unwrap();
        for (job, tasks) in [("wide", 3), ("first", 1), ("second", 1)] {
            cluster.submit(job, tasks, 8).await;
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        // The wide job needs more workers than exist here; the others wait for the running one.
        cluster.wait_for("queue", |_| {
            owner.data_centre_owner.summary().is_ok_and(|summary| summary.releasable_jobs == 3)
        }).await;
        assert_eq!(request_release(&cluster, &owner, 0).await.jobs, []);
        assert_eq!(request_release(&cluster, &owner, 1).await.jobs, ["first".into()]);
        cluster.wait_for_row("first", "move", |row| &*row.home == UNASSIGNED).await;
        for job in ["runs", "guaranteed", "wide", "second"] {
            assert_eq!(&*cluster.row(job).await.home, DATA_CENTRE);
        }
        cluster.nodes[0].worker.end_tasks(TaskState::Finished);
        cluster.wait_for("start of the guaranteed job", |cluster| cluster.attempts("guaranteed").len() == 1).await;
        cluster.nodes[0].worker.end_tasks(TaskState::Finished);
        cluster.wait_for("start of the second", |cluster| cluster.attempts("second").len() == 1).await;
        assert_eq!(cluster.attempts("first"), []);
    }

    // Guards against a release that overwrites a cancellation, or a start after the release.
    release_that_conflicts_with_a_cancellation_cancels_the_job => {
        let cluster = Cluster::new(1).await;
        let owner = cluster.start_owner("owner-a").await;
        cluster.submit("runs", 1, 8).await;
        cluster.wait_for("start", |cluster| cluster.running() == 1).await;
        cluster.submit("waits", 1, 8).await;
        cluster.wait_for("queue", |_| {
            owner.data_centre_owner.summary().is_ok_and(|summary| summary.releasable_jobs == 1)
        }).await;
        cluster.table.hold_writes.set(true);
        assert_eq!(request_release(&cluster, &owner, 1).await.jobs, ["waits".into()]);
        assert_eq!(request_release(&cluster, &owner, 1).await.jobs, []);
        cluster.jobs.request_cancel("waits").await.unwrap();
        cluster.nodes[0].worker.end_tasks(TaskState::Finished);
        compio::time::sleep(Duration::from_millis(500)).await;
        cluster.table.hold_writes.set(false);
        cluster.wait_for_row("waits", "end", |row| row.state == JobState::Cancelled).await;
        assert_eq!(cluster.attempts("waits"), []);
    }
}
