//! Life cycle of gangs without network faults: start, renewal, commands, end and reports.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::Cluster;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_gang::AttemptPhase;
use nutmegwalk_gang::GangEnd;
use nutmegwalk_gang::GangTimings;
use nutmegwalk_gang::TaskState;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() { compio::runtime::Runtime::new().unwrap().block_on(async $body) })*
    };
}

cases! {
    // Guards against a gang that starts or stops only in part, or is not renewed beyond its first lease.
    gang_starts_renews_and_stops_as_a_whole => {
        let cluster = Cluster::new(3).await;
        let spec = cluster.spec(1, 1, 6);
        let gang = cluster.driver.start(spec.clone()).await.unwrap();
        assert_eq!(cluster.running(), 6);
        let end = Instant::now() + cluster.timings.lease * 2;
        cluster.wait_for("second lease", |_| Instant::now() > end).await;
        assert_eq!(cluster.running(), 6);
        let stopped = cluster.driver.stop(gang).await;
        assert!(stopped.is_stop_confirmed());
        assert_eq!(stopped.members().len(), 6);
        assert_eq!(cluster.running(), 0);
        cluster.check();
    }

    // Guards against a finished gang that keeps its resources or loses its final report.
    finished_gang_is_reported_until_acknowledged => {
        let cluster = Cluster::new(2).await;
        cluster.driver.start(cluster.spec(1, 1, 4)).await.unwrap();
        for node in &cluster.nodes {
            node.worker.end_tasks(TaskState::Finished);
        }
        cluster.wait_for("final reports", |cluster| {
            cluster.nodes.iter().all(|node| {
                let report = node.agent.report();
                report.attempts.iter().all(|attempt| attempt.end == Some(GangEnd::Finished)
                    && attempt.phase == AttemptPhase::Ended)
            })
        }).await;
        let lead = cluster.nodes[0].agent.report();
        assert!(lead.attempts[0].lead);
        assert_eq!(cluster.nodes[0].worker.listed(), 2);
        cluster.nodes[0].agent.acknowledge(lead.sequence);
        assert!(cluster.nodes[0].agent.report().attempts.is_empty());
        assert_ne!(cluster.nodes[0].agent.report().digest, lead.digest);
        cluster.wait_for("removal of the tasks", |cluster| cluster.nodes[0].worker.listed() == 0).await;
        assert_eq!(cluster.nodes[1].agent.report().attempts.len(), 1);
        let refused = cluster.driver.start(cluster.spec(1, 1, 4)).await.unwrap_err();
        assert_eq!(refused.error.kind, ErrorKind::AttemptClosed);
        cluster.driver.start(cluster.spec(1, 2, 4)).await.unwrap();
        cluster.check();
    }

    // Guards against capacity that stays allocated until the next regular round after the tasks have
    // finished. Here the next round is later than the timeout of the wait.
    end_is_detected_between_rounds => {
        let timings = GangTimings {
            renew_interval: Duration::from_secs(300),
            lease: Duration::from_secs(900),
            task_poll_interval: Duration::from_millis(50),
            ..common::timings()
        };
        let cluster = Cluster::with_timings(2, timings).await;
        cluster.driver.start(cluster.spec(1, 1, 4)).await.unwrap();
        for node in &cluster.nodes {
            node.worker.end_tasks(TaskState::Finished);
        }
        cluster.wait_for("the end", |cluster| {
            cluster.nodes[0].agent.report().attempts.iter().all(|attempt| attempt.end == Some(GangEnd::Finished))
        }).await;
        assert_eq!(cluster.nodes[1].worker.renewals.get(), 0);
        cluster.check();
    }

    // Guards against a reclaim that waits for a worker that never answers its checkpoint.
    checkpoint_and_stop_ends_at_the_time_limit => {
        let cluster = Cluster::new(2).await;
        let gang = cluster.driver.start(cluster.spec(1, 1, 4)).await.unwrap();
        cluster.driver.throttle(&gang, 20).await.unwrap();
        assert_eq!(cluster.nodes[1].worker.throttled_percent.get(), 20);
        let stopped = cluster.driver.checkpoint_and_stop(gang, Duration::from_millis(500)).await;
        assert_eq!(stopped.checkpoint_ms(), Some(1000));
        let gang = cluster.driver.start(cluster.spec(1, 2, 4)).await.unwrap();
        cluster.nodes[1].worker.hang_checkpoint.set(true);
        let stopped = cluster.driver.checkpoint_and_stop(gang, Duration::from_millis(500)).await;
        assert!(stopped.is_stop_confirmed());
        assert_eq!(stopped.checkpoint_ms(), Some(0));
        assert_eq!(cluster.running(), 0);
        cluster.check();
    }

    // Guards against resources that are allocated to two gangs, and against a reservation that never lapses.
    resources_are_held_until_the_reservation_lapses => {
        let cluster = Cluster::new(1).await;
        let reserved = cluster.driver.reserve(cluster.spec(1, 1, 8)).await.unwrap();
        let mut other = cluster.spec(1, 2, 1);
        other.job = "job-2".into();
        let refused = cluster.driver.start(other.clone()).await.unwrap_err();
        assert_eq!(refused.error.kind, ErrorKind::InsufficientResources);
        assert_eq!(refused.worker.as_deref(), Some("worker-0"));
        cluster.wait_for("lapse", |cluster| cluster.nodes[0].agent.report().attempts.is_empty()).await;
        other.attempt = cluster.spec(1, 3, 1).attempt;
        cluster.driver.start(other).await.unwrap();
        // Guards against a bind by an owner that was paused after its reservation.
        let lapsed = cluster.driver.bind(reserved).await.unwrap_err();
        assert_eq!(lapsed.error.kind, ErrorKind::AttemptClosed);
        assert!(lapsed.is_stop_confirmed);
        cluster.check();
    }
}
