//! Ownership of a data centre under failures of owners, agents, workers and the store.

mod common;

use std::time::Duration;

use common::Owner;
use common::World;
use common::owner_row;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_gang::TaskState;
use nutmegwalk_node::jobs::JobState;
use nutmegwalk_node::jobs::UNASSIGNED;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() { compio::runtime::Runtime::new().unwrap().block_on(async $body) })*
    };
}

/// Submits `count` jobs of one whole worker each and waits until all run.
async fn run_jobs(world: &World, count: usize) -> Vec<String> {
    let jobs: Vec<String> = (0..count).map(|number| format!("job-{number}")).collect();
    for job in &jobs {
        world.submit(job, 1, 8).await;
    }
    world
        .wait_for("start of all jobs", |world| world.running() == count)
        .await;
    for job in &jobs {
        world
            .wait_for_row(job, "attempt", |row| row.run.is_some())
            .await;
    }
    jobs
}

async fn wait_for_owner(world: &World, owner: &Owner, running: u32) {
    world
        .wait_for("adoption", |_| {
            let summary = owner.duty.summary();
            summary.is_ok_and(|summary| summary.running_jobs == running)
        })
        .await;
}

async fn finish_all(world: &World, jobs: &[String]) {
    for job in jobs {
        while world.row(job).await.state != JobState::Finished {
            world
                .sites
                .iter()
                .for_each(|site| site.worker.end_tasks(TaskState::Finished));
            compio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

cases! {
    // Guards against a new owner that restarts the gangs of a dead one, or never learns of their end.
    gangs_of_a_killed_owner_are_adopted => {
        let world = World::new(3).await;
        let first = world.start_owner("owner-a").await;
        let jobs = run_jobs(&world, 3).await;
        let second = world.start_owner("owner-b").await;
        world.kill(&first);
        wait_for_owner(&world, &second, 3).await;
        let placed: Vec<usize> = jobs.iter().map(|job| world.attempts(job).len()).collect();
        assert_eq!((placed, world.running()), (vec![1, 1, 1], 3));
        finish_all(&world, &jobs).await;
        for job in &jobs {
            assert_eq!(world.attempts(job).len(), 1);
        }
    }

    // Guards against the end of a gang that is lost, or a job that runs again, because no owner existed
    // when the gang ended.
    end_of_a_gang_without_an_owner_is_recorded => {
        let world = World::new(2).await;
        let first = world.start_owner("owner-a").await;
        world.submit("pair", 2, 8).await;
        world.wait_for("start", |world| world.running() == 2).await;
        world.kill(&first);
        world.wait_for("end of the lease", |_| first.ownership.current().is_none()).await;
        world.sites.iter().for_each(|site| site.worker.end_tasks(TaskState::Finished));
        compio::time::sleep(Duration::from_secs(1)).await;
        let _second = world.start_owner("owner-b").await;
        world.wait_for_row("pair", "end", |row| row.state == JobState::Finished).await;
        assert_eq!(world.attempts("pair").len(), 1);
    }

    // Guards against an owner without its lease whose commands are obeyed or whose writes take effect.
    owner_past_its_lease_can_neither_command_nor_write => {
        let world = World::new(2).await;
        let first = world.start_owner("owner-a").await;
        let jobs = run_jobs(&world, 1).await;
        let held = first.ownership.current().unwrap();
        let second = world.start_owner("owner-b").await;
        world.stop_renewals(&first);
        wait_for_owner(&world, &second, 1).await;
        // What a paused owner would do next: write the row, then stop the gang under its old epoch.
        let stored = world.jobs.read(&jobs[0]).await.unwrap();
        let fence = first.ownership.fence(&held);
        let written = world.jobs.replace(&stored, stored.record.clone(), &fence).await;
        assert_eq!(written.unwrap_err().kind, ErrorKind::StaleEpoch);
        let stop = nutmegwalk_gang::messages::Stop {
            job: jobs[0].as_str().into(),
            attempt: world.attempts(&jobs[0])[0],
            epoch: held.epoch,
        };
        for site in &world.sites {
            let answer = world.client("owner-a").send(site.address, &stop, Duration::from_secs(5)).await;
            assert_eq!(answer.unwrap_err().kind, ErrorKind::StaleEpoch);
        }
        assert_eq!(world.running(), 1);
        assert!(first.duty.summary().is_err());
    }

    // Guards against two owners that both act, also while the duty moves from one to the other.
    one_of_two_owners_acts => {
        let world = World::new(2).await;
        let owners = [world.start_owner("owner-a").await, world.start_owner("owner-b").await];
        let jobs = run_jobs(&world, 2).await;
        for _ in 0..3 {
            let acting: Vec<&Owner> =
                owners.iter().filter(|owner| owner.ownership.current().is_some()).collect();
            assert!(acting.len() <= 1);
            compio::time::sleep(Duration::from_millis(200)).await;
        }
        let row = owner_row(&world.table).unwrap();
        let [first, second] = &owners;
        let (acting, other) = if *row.holder == *first.name { (first, second) } else { (second, first) };
        acting.ownership.release().await.unwrap();
        wait_for_owner(&world, other, 2).await;
        assert!(acting.duty.summary().is_err());
        finish_all(&world, &jobs).await;
        for job in &jobs {
            assert_eq!(world.attempts(job).len(), 1);
        }
    }

    // Guards against a gang that is started again because the agent beside it restarted.
    gang_goes_on_when_its_agent_restarts => {
        let world = World::new(2).await;
        let owner = world.start_owner("owner-a").await;
        world.submit("pair", 2, 8).await;
        world.wait_for("start", |world| world.running() == 2).await;
        wait_for_owner(&world, &owner, 1).await;
        for index in 0..2 {
            world.restart_agent(index).await;
            compio::time::sleep(Duration::from_millis(500)).await;
        }
        compio::time::sleep(common::timings().gang.lease * 2).await;
        assert_eq!((world.attempts("pair").len(), world.running()), (1, 2));
        finish_all(&world, &["pair".into()]).await;
        assert_eq!(world.attempts("pair").len(), 1);
    }

    // Guards against a gang of which a part runs on, or whose job is lost, after a worker lost its task.
    gang_is_started_again_when_a_worker_restarts => {
        let world = World::new(2).await;
        let _owner = world.start_owner("owner-a").await;
        world.submit("pair", 2, 8).await;
        world.wait_for("start", |world| world.running() == 2).await;
        world.sites[1].worker.restart();
        world.wait_for("second attempt", |world| {
            world.attempts("pair").len() == 2 && world.running() == 2
        }).await;
        world.check_runs_once();
        finish_all(&world, &["pair".into()]).await;
    }

    // Guards against cancels that are lost, or tasks that stay behind, when they race with starts.
    cancel_wave_racing_with_starts_leaves_nothing => {
        let world = World::new(3).await;
        let _owner = world.start_owner("owner-a").await;
        let jobs: Vec<String> = (0..40).map(|number| format!("job-{number}")).collect();
        for (number, job) in jobs.iter().enumerate() {
            world.submit(job, 1 + number as u32 % 3, 1).await;
            if number % 4 == 3 {
                compio::time::sleep(Duration::from_millis(40)).await;
                for job in &jobs[number - 3..=number] {
                    world.jobs.request_cancel(job).await.unwrap();
                }
            }
        }
        for job in &jobs {
            world.wait_for_row(job, "end", |row| row.state == JobState::Cancelled).await;
        }
        world.wait_for("end of all tasks", |world| world.running() == 0).await;
        world.check_runs_once();
    }

    // Guards against an outage of the store that ends running work, loses accepted jobs, or lets the
    // owner start something without its lease.
    running_work_outlives_an_outage_of_the_store => {
        let world = World::new(2).await;
        let owner = world.start_owner("owner-a").await;
        let mut jobs = run_jobs(&world, 1).await;
        world.submit("accepted", 1, 4).await;
        world.table.down.set(true);
        world.wait_for("end of the lease", |_| owner.ownership.current().is_none()).await;
        let starts = world.log.borrow().len();
        world.submit("during", 1, 4).await;
        compio::time::sleep(Duration::from_secs(4)).await;
        assert_eq!(world.log.borrow().len(), starts, "{:?}", world.log.borrow());
        world.table.down.set(false);
        jobs.extend(["accepted".into(), "during".into()]);
        world.wait_for("start of all jobs", |world| world.running() == 3).await;
        assert_eq!(world.attempts(&jobs[0]).len(), 1);
        finish_all(&world, &jobs).await;
        world.check_runs_once();
    }

    // Guards against a write whose answer was lost: a job that is started twice or whose end is not known.
    lost_answers_of_row_writes_are_recognised => {
        let world = World::new(3).await;
        let owner = world.start_owner("owner-a").await;
        world.table.lost_answers.set(3);
        let jobs = run_jobs(&world, 3).await;
        wait_for_owner(&world, &owner, 3).await;
        world.table.lost_answers.set(3);
        finish_all(&world, &jobs).await;
        for job in &jobs {
            assert_eq!(world.attempts(job).len(), 1);
            world.wait_for("end", |_| owner.duty.explain(job).is_err()).await;
        }
        assert_eq!(world.table.lost_answers.get(), 0);
        assert_eq!(owner.duty.summary().unwrap().free_accelerators, 24);
    }

    // Guards against a start after a take-out, and against jobs that stay in a data centre that is out.
    take_out_while_jobs_start_moves_them_all => {
        let world = World::new(3).await;
        let owner = world.start_owner("owner-a").await;
        world.wait_for("owner", |_| {
            owner.duty.summary().is_ok_and(|summary| summary.workers == 3)
        }).await;
        let jobs: Vec<String> = (0..24).map(|number| format!("job-{number}")).collect();
        for (number, job) in jobs.iter().enumerate() {
            world.submit(job, 1 + number as u32 % 2, 2).await;
        }
        world.wait_for("first start", |world| !world.log.borrow().is_empty()).await;
        world.set_in_service(false);
        let starts = || world.log.borrow().iter().filter(|event| event.end.is_none()).count();
        let before = starts();
        for job in &jobs {
            world.wait_for_row(job, "move", |row| &*row.home == UNASSIGNED && row.run.is_none()).await;
        }
        assert_eq!((starts(), world.running()), (before, 0));
        world.check_runs_once();
    }
}
