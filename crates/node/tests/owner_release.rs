//! Release of waiting jobs for the balance between data centres.

mod common;

use std::time::Duration;

use common::DATA_CENTRE;
use common::Owner;
use common::World;
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

async fn ask(world: &World, owner: &Owner, workers: u32) -> Released {
    let request = ReleaseRequest {
        data_centre: "valmiera".into(),
        free: vec![FreeWorkers {
            accelerators: 8,
            workers,
        }],
    };
    let client = world.client("entry-0");
    client
        .send(owner.address, &request, Duration::from_secs(10))
        .await
        .unwrap()
}

cases! {
    // Guards against a move of jobs that run, that hold a guarantee, or that do not fit into the room.
    only_waiting_jobs_that_fit_are_released => {
        let world = World::new(1).await;
        let owner = world.start_owner("owner-a").await;
        world.submit("runs", 1, 8).await;
        world.wait_for("start", |world| world.running() == 1).await;
        let mut guaranteed = record("guaranteed", 1, 4);
        guaranteed.request.guarantee = Some("grading".into());
        world.jobs.accept(&guaranteed).await.unwrap();
        for (job, tasks) in [("wide", 3), ("first", 1), ("second", 1)] {
            world.submit(job, tasks, 8).await;
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        // The wide job fits on no hardware here and waits; the others wait for the running one.
        world.wait_for("queue", |_| {
            owner.duty.summary().is_ok_and(|told| told.releasable_jobs == 3)
        }).await;
        assert_eq!(ask(&world, &owner, 0).await.jobs, []);
        assert_eq!(ask(&world, &owner, 1).await.jobs, ["first".into()]);
        world.wait_for_row("first", "move", |row| &*row.home == UNASSIGNED).await;
        for job in ["runs", "guaranteed", "wide", "second"] {
            assert_eq!(&*world.row(job).await.home, DATA_CENTRE);
        }
        world.sites[0].worker.end_tasks(TaskState::Finished);
        world.wait_for("start of the guaranteed job", |world| world.attempts("guaranteed").len() == 1).await;
        world.sites[0].worker.end_tasks(TaskState::Finished);
        world.wait_for("start of the second", |world| world.attempts("second").len() == 1).await;
        assert_eq!(world.attempts("first"), []);
    }

    // Guards against a release that overwrites a cancel, or a start that follows the release.
    release_that_meets_a_cancel_ends_the_job => {
        let world = World::new(1).await;
        let owner = world.start_owner("owner-a").await;
        world.submit("runs", 1, 8).await;
        world.wait_for("start", |world| world.running() == 1).await;
        world.submit("waits", 1, 8).await;
        world.wait_for("queue", |_| {
            owner.duty.summary().is_ok_and(|told| told.releasable_jobs == 1)
        }).await;
        world.table.hold_writes.set(true);
        assert_eq!(ask(&world, &owner, 1).await.jobs, ["waits".into()]);
        assert_eq!(ask(&world, &owner, 1).await.jobs, []);
        world.jobs.request_cancel("waits").await.unwrap();
        world.sites[0].worker.end_tasks(TaskState::Finished);
        compio::time::sleep(Duration::from_millis(500)).await;
        world.table.hold_writes.set(false);
        world.wait_for_row("waits", "end", |row| row.state == JobState::Cancelled).await;
        assert_eq!(world.attempts("waits"), []);
    }
}
