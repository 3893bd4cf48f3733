//! Tests of the periodic checkpoints of running gangs.

mod common;

use std::time::Duration;

use common::Cluster;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() { compio::runtime::Runtime::new().unwrap().block_on(async $body) })*
    };
}

cases! {
    // Guards against a gang that restarts from the beginning after losing a member, and against one that
    // resumes from work that not all members have saved.
    lost_member_costs_only_the_work_since_the_last_checkpoint => {
        let cluster = Cluster::new(2).await;
        let _owner = cluster.start_owner("owner-a").await;
        cluster.nodes[0].worker.progress_ms.set(90_000);
        cluster.nodes[1].worker.progress_ms.set(70_000);
        cluster.submit("pair", 2, 8).await;
        cluster.wait_for_row("pair", "checkpoint", |row| row.checkpoint_ms == 70_000).await;
        cluster.nodes[1].worker.progress_ms.set(80_000);
        cluster.wait_for_row("pair", "second checkpoint", |row| row.checkpoint_ms == 80_000).await;
        cluster.nodes[1].worker.restart();
        cluster.wait_for("second attempt", |cluster| {
            cluster.attempts("pair").len() == 2 && cluster.running() == 2
        }).await;
        let second = cluster.attempts("pair")[1];
        let events = cluster.events.borrow();
        let resumed = events.iter().filter(|event| event.attempt == second && event.end.is_none());
        assert_eq!(resumed.map(|event| event.resumed_ms).collect::<Vec<_>>(), [80_000, 80_000]);
    }

    // Guards against a write for each checkpoint without progress, and for each member.
    checkpoints_without_progress_are_not_written => {
        let cluster = Cluster::new(2).await;
        let _owner = cluster.start_owner("owner-a").await;
        cluster.nodes.iter().for_each(|node| node.worker.progress_ms.set(1000));
        cluster.submit("pair", 2, 8).await;
        cluster.wait_for_row("pair", "checkpoint", |row| row.checkpoint_ms == 1000).await;
        let before = cluster.table.job_writes.get();
        let requests = |cluster: &Cluster| {
            let paths = cluster.nodes[0].shared.paths.borrow();
            paths.iter().filter(|path| &***path == "/v1/gang/checkpoint").count()
        };
        let first = requests(&cluster);
        cluster.wait_for("five more checkpoints", |cluster| requests(cluster) >= first + 5).await;
        compio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(cluster.table.job_writes.get(), before);
    }
}
