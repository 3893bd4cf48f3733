//! Regular checkpoints of running gangs.

mod common;

use std::time::Duration;

use common::World;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() { compio::runtime::Runtime::new().unwrap().block_on(async $body) })*
    };
}

cases! {
    // Guards against a gang that begins again from its start because it lost a member, and against one
    // that resumes from work that not all members have saved.
    lost_member_costs_only_the_work_since_the_last_checkpoint => {
        let world = World::new(2).await;
        let _owner = world.start_owner("owner-a").await;
        world.sites[0].worker.progress_ms.set(90_000);
        world.sites[1].worker.progress_ms.set(70_000);
        world.submit("pair", 2, 8).await;
        world.wait_for_row("pair", "checkpoint", |row| row.checkpoint_ms == 70_000).await;
        world.sites[1].worker.progress_ms.set(80_000);
        world.wait_for_row("pair", "second checkpoint", |row| row.checkpoint_ms == 80_000).await;
        world.sites[1].worker.restart();
        world.wait_for("second attempt", |world| {
            world.attempts("pair").len() == 2 && world.running() == 2
        }).await;
        let second = world.attempts("pair")[1];
        let log = world.log.borrow();
        let resumed = log.iter().filter(|event| event.attempt == second && event.end.is_none());
        assert_eq!(resumed.map(|event| event.resumed_ms).collect::<Vec<_>>(), [80_000, 80_000]);
    }

    // Guards against a write for each checkpoint that brings nothing new, and for each member.
    checkpoints_without_progress_are_not_written => {
        let world = World::new(2).await;
        let _owner = world.start_owner("owner-a").await;
        world.sites.iter().for_each(|site| site.worker.progress_ms.set(1000));
        world.submit("pair", 2, 8).await;
        world.wait_for_row("pair", "checkpoint", |row| row.checkpoint_ms == 1000).await;
        let before = world.table.job_writes.get();
        let asked = |world: &World| {
            let paths = world.sites[0].shared.paths.borrow();
            paths.iter().filter(|path| &***path == "/v1/gang/checkpoint").count()
        };
        let first = asked(&world);
        world.wait_for("five more checkpoints", |world| asked(world) >= first + 5).await;
        compio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(world.table.job_writes.get(), before);
    }
}
