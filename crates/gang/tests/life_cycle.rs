//! Life cycle of gangs without faults: start, renewal, commands, end and reports.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::World;

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
    // Guards against a gang that does not start whole, is not renewed past its lease, or ends in part.
    gang_starts_is_renewed_and_stops_whole => {
        let world = World::new(3).await;
        let spec = world.spec(1, 1, 6);
        let gang = world.driver.start(spec.clone()).await.unwrap();
        assert_eq!(world.running(), 6);
        let end = Instant::now() + world.timings.lease * 2;
        world.wait_for("second lease", |_| Instant::now() > end).await;
        assert_eq!(world.running(), 6);
        let stopped = world.driver.stop(gang).await;
        assert!(stopped.is_settled());
        assert_eq!(stopped.members().len(), 6);
        assert_eq!(world.running(), 0);
        world.check();
    }

    // Guards against a finished gang that keeps its resources or loses its final report.
    finished_gang_is_reported_until_acknowledged => {
        let world = World::new(2).await;
        world.driver.start(world.spec(1, 1, 4)).await.unwrap();
        for node in &world.nodes {
            node.worker.end_tasks(TaskState::Finished);
        }
        world.wait_for("final reports", |world| {
            world.nodes.iter().all(|node| {
                let report = node.agent.report();
                report.attempts.iter().all(|attempt| attempt.end == Some(GangEnd::Finished)
                    && attempt.phase == AttemptPhase::Ended)
            })
        }).await;
        let lead = world.nodes[0].agent.report();
        assert!(lead.attempts[0].lead);
        assert_eq!(world.nodes[0].worker.listed(), 2);
        world.nodes[0].agent.acknowledge(lead.sequence);
        assert!(world.nodes[0].agent.report().attempts.is_empty());
        assert_ne!(world.nodes[0].agent.report().digest, lead.digest);
        world.wait_for("forgotten tasks", |world| world.nodes[0].worker.listed() == 0).await;
        assert_eq!(world.nodes[1].agent.report().attempts.len(), 1);
        let refused = world.driver.start(world.spec(1, 1, 4)).await.unwrap_err();
        assert_eq!(refused.error.kind, ErrorKind::AttemptClosed);
        world.driver.start(world.spec(1, 2, 4)).await.unwrap();
        world.check();
    }

    // Guards against capacity that stays taken until the next regular round after the tasks have
    // finished: here that round comes after the limit of the wait.
    end_is_found_between_rounds => {
        let timings = GangTimings {
            renew_interval: Duration::from_secs(300),
            lease: Duration::from_secs(900),
            watch_interval: Duration::from_millis(50),
            ..common::timings()
        };
        let world = World::with_timings(2, timings).await;
        world.driver.start(world.spec(1, 1, 4)).await.unwrap();
        for node in &world.nodes {
            node.worker.end_tasks(TaskState::Finished);
        }
        world.wait_for("the end", |world| {
            world.nodes[0].agent.report().attempts.iter().all(|attempt| attempt.end == Some(GangEnd::Finished))
        }).await;
        assert_eq!(world.nodes[1].worker.renewals.get(), 0);
        world.check();
    }

    // Guards against a reclaim that waits for a worker that never answers its checkpoint.
    checkpoint_stops_at_the_bound => {
        let world = World::new(2).await;
        let gang = world.driver.start(world.spec(1, 1, 4)).await.unwrap();
        world.driver.throttle(&gang, 20).await.unwrap();
        assert_eq!(world.nodes[1].worker.throttled_percent.get(), 20);
        let stopped = world.driver.checkpoint_and_stop(gang, Duration::from_millis(500)).await;
        assert_eq!(stopped.checkpoint_ms(), Some(1000));
        let gang = world.driver.start(world.spec(1, 2, 4)).await.unwrap();
        world.nodes[1].worker.hang_checkpoint.set(true);
        let stopped = world.driver.checkpoint_and_stop(gang, Duration::from_millis(500)).await;
        assert!(stopped.is_settled());
        assert_eq!(stopped.checkpoint_ms(), Some(0));
        assert_eq!(world.running(), 0);
        world.check();
    }

    // Guards against resources given to two gangs, and against a reservation that never lapses.
    resources_are_held_until_the_reservation_lapses => {
        let world = World::new(1).await;
        let reserved = world.driver.reserve(world.spec(1, 1, 8)).await.unwrap();
        let mut other = world.spec(1, 2, 1);
        other.job = "job-2".into();
        let refused = world.driver.start(other.clone()).await.unwrap_err();
        assert_eq!(refused.error.kind, ErrorKind::InsufficientResources);
        assert_eq!(refused.worker.as_deref(), Some("worker-0"));
        world.wait_for("lapse", |world| world.nodes[0].agent.report().attempts.is_empty()).await;
        other.attempt = world.spec(1, 3, 1).attempt;
        world.driver.start(other).await.unwrap();
        // Guards against an owner that was paused between reserve and bind.
        let lapsed = world.driver.bind(reserved).await.unwrap_err();
        assert_eq!(lapsed.error.kind, ErrorKind::AttemptClosed);
        assert!(lapsed.is_settled);
        world.check();
    }
}
