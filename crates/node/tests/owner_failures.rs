//! Tests of the ownership of a data centre under failures of owners, agents, workers and the store.

mod common;

use std::time::Duration;

use common::Cluster;
use common::Owner;
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

/// Submits `count` jobs of one whole worker each and waits until all are running.
async fn run_jobs(cluster: &Cluster, count: usize) -> Vec<String> {
    let jobs: Vec<String> = (0..count).map(|number| format!("job-{number}")).collect();
    for job in &jobs {
        cluster.submit(job, 1, 8).await;
    }
    cluster
        .wait_for("start of all jobs", |cluster| cluster.running() == count)
        .await;
    for job in &jobs {
        cluster
            .wait_for_row(job, "attempt", |row| row.run.is_some())
            .await;
    }
    jobs
}

async fn wait_for_owner(cluster: &Cluster, owner: &Owner, running: u32) {
    cluster
        .wait_for("adoption", |_| {
            let summary = owner.data_centre_owner.summary();
            summary.is_ok_and(|summary| summary.running_jobs == running)
        })
        .await;
}

async fn finish_all(cluster: &Cluster, jobs: &[String]) {
    for job in jobs {
        while cluster.row(job).await.state != JobState::Finished {
            cluster
                .nodes
                .iter()
                .for_each(|node| node.worker.end_tasks(TaskState::Finished));
            compio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

cases! {
    // Guards against a new owner that restarts the gangs of a crashed one, or misses their ends.
    gangs_of_a_killed_owner_are_adopted => {
        let cluster = Cluster::new(3).await;
        let first = cluster.start_owner("owner-a").await;
        let jobs = run_jobs(&cluster, 3).await;
        let second = cluster.start_owner("owner-b").await;
        cluster.kill(&first);
        wait_for_owner(&cluster, &second, 3).await;
        let placed: Vec<usize> = jobs.iter().map(|job| cluster.attempts(job).len()).collect();
        assert_eq!((placed, cluster.running()), (vec![1, 1, 1], 3));
        finish_all(&cluster, &jobs).await;
        for job in &jobs {
            assert_eq!(cluster.attempts(job).len(), 1);
        }
    }

    // Guards against an end that is lost, or a job that runs again, because no owner existed when the
    // gang ended.
    end_of_a_gang_without_an_owner_is_recorded => {
        let cluster = Cluster::new(2).await;
        let first = cluster.start_owner("owner-a").await;
        cluster.submit("pair", 2, 8).await;
        cluster.wait_for("start", |cluster| cluster.running() == 2).await;
        cluster.kill(&first);
        cluster.wait_for("end of the lease", |_| first.ownership.current().is_none()).await;
        cluster.nodes.iter().for_each(|node| node.worker.end_tasks(TaskState::Finished));
        compio::time::sleep(Duration::from_secs(1)).await;
        let _second = cluster.start_owner("owner-b").await;
        cluster.wait_for_row("pair", "end", |row| row.state == JobState::Finished).await;
        assert_eq!(cluster.attempts("pair").len(), 1);
    }

    // Guards against an owner with an expired lease whose commands are accepted or whose writes take effect.
    owner_with_an_expired_lease_can_neither_command_nor_write => {
        let cluster = Cluster::new(2).await;
        let first = cluster.start_owner("owner-a").await;
        let jobs = run_jobs(&cluster, 1).await;
        let held = first.ownership.current().unwrap();
        let second = cluster.start_owner("owner-b").await;
        cluster.stop_renewals(&first);
        wait_for_owner(&cluster, &second, 1).await;
        // These are the next steps of a paused owner: it writes the row, then stops the gang under its old epoch.
        let stored = cluster.jobs.read(&jobs[0]).await.unwrap();
        let fence = first.ownership.fence(&held);
        let written = cluster.jobs.replace(&stored, stored.record.clone(), &fence).await;
        assert_eq!(written.unwrap_err().kind, ErrorKind::StaleEpoch);
        let stop = nutmegwalk_gang::messages::Stop {
            job: jobs[0].as_str().into(),
            attempt: cluster.attempts(&jobs[0])[0],
            epoch: held.epoch,
        };
        for node in &cluster.nodes {
            let answer = cluster.client("owner-a").send(node.address, &stop, Duration::from_secs(5)).await;
            assert_eq!(answer.unwrap_err().kind, ErrorKind::StaleEpoch);
        }
        assert_eq!(cluster.running(), 1);
        assert!(first.data_centre_owner.summary().is_err());
    }

    // Guards against two owners that act at the same time, also while the ownership moves between them.
    only_one_of_two_owners_acts => {
        let cluster = Cluster::new(2).await;
        let owners = [cluster.start_owner("owner-a").await, cluster.start_owner("owner-b").await];
        let jobs = run_jobs(&cluster, 2).await;
        for _ in 0..3 {
            let acting: Vec<&Owner> =
                owners.iter().filter(|owner| owner.ownership.current().is_some()).collect();
            assert!(acting.len() <= 1);
            compio::time::sleep(Duration::from_millis(200)).await;
        }
        let row = owner_row(&cluster.table).unwrap();
        let [first, second] = &owners;
        let (acting, other) = if *row.holder == *first.name { (first, second) } else { (second, first) };
        acting.ownership.release().await.unwrap();
        wait_for_owner(&cluster, other, 2).await;
        assert!(acting.data_centre_owner.summary().is_err());
        finish_all(&cluster, &jobs).await;
        for job in &jobs {
            assert_eq!(cluster.attempts(job).len(), 1);
        }
    }

    // Guards against a gang that is started again because its agents restarted.
    gang_keeps_running_when_its_agents_restart => {
        let cluster = Cluster::new(2).await;
        let owner = cluster.start_owner("owner-a").await;
        cluster.submit("pair", 2, 8).await;
        cluster.wait_for("start", |cluster| cluster.running() == 2).await;
        wait_for_owner(&cluster, &owner, 1).await;
        for index in 0..2 {
            cluster.restart_agent(index).await;
            compio::time::sleep(Duration::from_millis(500)).await;
        }
        compio::time::sleep(common::timings().gang.lease * 2).await;
        assert_eq!((cluster.attempts("pair").len(), cluster.running()), (1, 2));
        finish_all(&cluster, &["pair".into()]).await;
        assert_eq!(cluster.attempts("pair").len(), 1);
    }

    // Guards against a gang that keeps running in part, or whose job is lost, after a worker lost its task.
    gang_is_started_again_when_a_worker_restarts => {
        let cluster = Cluster::new(2).await;
        let _owner = cluster.start_owner("owner-a").await;
        cluster.submit("pair", 2, 8).await;
        cluster.wait_for("start", |cluster| cluster.running() == 2).await;
        cluster.nodes[1].worker.restart();
        cluster.wait_for("second attempt", |cluster| {
            cluster.attempts("pair").len() == 2 && cluster.running() == 2
        }).await;
        cluster.check_one_attempt_at_a_time();
        finish_all(&cluster, &["pair".into()]).await;
    }

    // Guards against cancellations that are lost, or that leave tasks running, when they race with starts.
    cancellations_racing_with_starts_leave_no_tasks => {
        let cluster = Cluster::new(3).await;
        let _owner = cluster.start_owner("owner-a").await;
        let jobs: Vec<String> = (0..40).map(|number| format!("job-{number}")).collect();
        for (number, job) in jobs.iter().enumerate() {
            cluster.submit(job, 1 + number as u32 % 3, 1).await;
            if number % 4 == 3 {
                compio::time::sleep(Duration::from_millis(40)).await;
                for job in &jobs[number - 3..=number] {
                    cluster.jobs.request_cancel(job).await.unwrap();
                }
            }
        }
        for job in &jobs {
            cluster.wait_for_row(job, "end", |row| row.state == JobState::Cancelled).await;
        }
        cluster.wait_for("end of all tasks", |cluster| cluster.running() == 0).await;
        cluster.check_one_attempt_at_a_time();
    }

    // Guards against a store outage that ends running tasks, loses accepted jobs, or lets the owner start
    // tasks without its lease.
    running_tasks_survive_a_store_outage => {
        let cluster = Cluster::new(2).await;
        let owner = cluster.start_owner("owner-a").await;
        let mut jobs = run_jobs(&cluster, 1).await;
        cluster.submit("accepted", 1, 4).await;
        cluster.table.unavailable.set(true);
        cluster.wait_for("end of the lease", |_| owner.ownership.current().is_none()).await;
        let starts = cluster.events.borrow().len();
        cluster.submit("during", 1, 4).await;
        compio::time::sleep(Duration::from_secs(4)).await;
        assert_eq!(cluster.events.borrow().len(), starts, "{:?}", cluster.events.borrow());
        cluster.table.unavailable.set(false);
        jobs.extend(["accepted".into(), "during".into()]);
        cluster.wait_for("start of all jobs", |cluster| cluster.running() == 3).await;
        assert_eq!(cluster.attempts(&jobs[0]).len(), 1);
        finish_all(&cluster, &jobs).await;
        cluster.check_one_attempt_at_a_time();
    }

    // Guards against a job that is started twice, or whose end is missed, because the answer to a write of
    // its row was lost.
    row_writes_with_lost_answers_are_recognised => {
        let cluster = Cluster::new(3).await;
        let owner = cluster.start_owner("owner-a").await;
        cluster.table.lost_answers.set(3);
        let jobs = run_jobs(&cluster, 3).await;
        wait_for_owner(&cluster, &owner, 3).await;
        cluster.table.lost_answers.set(3);
        finish_all(&cluster, &jobs).await;
        for job in &jobs {
            assert_eq!(cluster.attempts(job).len(), 1);
            cluster.wait_for("end", |_| owner.data_centre_owner.explain(job).is_err()).await;
        }
        assert_eq!(cluster.table.lost_answers.get(), 0);
        assert_eq!(owner.data_centre_owner.summary().unwrap().free_accelerators, 24);
    }

    // Guards against a start after a take-out, and against jobs that stay in a data centre out of service.
    take_out_during_starts_moves_all_jobs => {
        let cluster = Cluster::new(3).await;
        let owner = cluster.start_owner("owner-a").await;
        cluster.wait_for("owner", |_| {
            owner.data_centre_owner.summary().is_ok_and(|summary| summary.workers == 3)
        }).await;
        let jobs: Vec<String> = (0..24).map(|number| format!("job-{number}")).collect();
        for (number, job) in jobs.iter().enumerate() {
            cluster.submit(job, 1 + number as u32 % 2, 2).await;
        }
        cluster.wait_for("first start", |cluster| !cluster.events.borrow().is_empty()).await;
        cluster.set_in_service(false);
        let starts = || cluster.events.borrow().iter().filter(|event| event.end.is_none()).count();
        let before = starts();
        for job in &jobs {
            cluster.wait_for_row(job, "move", |row| &*row.home == UNASSIGNED && row.run.is_none()).await;
        }
        assert_eq!((starts(), cluster.running()), (before, 0));
        cluster.check_one_attempt_at_a_time();
    }
}
