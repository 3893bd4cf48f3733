//! Tests of what the owner concludes from reports of a worker whose lease has lapsed.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use common::TestDomain;
use common::WORKER_LEASE;
use common::gang;
use common::job;
use common::run;
use common::scripted_agent::ScriptedAgent;
use common::scripted_agent::ended;
use common::scripted_agent::first_run;
use common::scripted_agent::idle_worker;
use common::scripted_agent::running;

use nutmegwalk_emulator::Event;
use nutmegwalk_supervisor::TaskRun;
use nutmegwalk_supervisor::WorkerStatus;
use nutmegwalk_workload::EndKind;
use nutmegwalk_workload::JobState;
use nutmegwalk_workload::Resources;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() { run(|| async $body) })* };
}

/// The only task of job `a`.
const TASK: &str = "a.0.0.0";

/// Returns the status of a worker whose lease has lapsed and was not renewed since.
fn lapsed_worker() -> WorkerStatus {
    WorkerStatus {
        has_lapsed: true,
        lapsed_until_ms: Some(1_000),
        ..idle_worker()
    }
}

/// Starts a domain with `hosts` busy workers, and a scripted agent whose worker gets the only task of job `a`. The
/// agent reports `lapsed` until it is ordered to start the task.
async fn place_on_scripted_worker(
    hosts: u32,
    lapsed: &WorkerStatus,
) -> (TestDomain, Rc<ScriptedAgent>, SocketAddr) {
    let (domain, owner) = TestDomain::start_busy(hosts).await;
    let agent = ScriptedAgent::start().await;
    agent.report(owner, lapsed.clone()).await;
    domain.submit("normal", "a", gang(1, 1_000)).await;
    while agent.ordered_runs(TASK).is_empty() {
        agent.report(owner, lapsed.clone()).await;
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    (domain, agent, owner)
}

cases! {
    // Guards against a second run beside one that began after the lapse that a report tells of.
    run_that_began_after_a_lapse_outlives_a_repeated_report_of_it => {
        let (domain, agent, owner) = place_on_scripted_worker(1, &lapsed_worker()).await;
        agent.report(owner, lapsed_worker()).await;
        let end = ended(first_run(TASK), EndKind::Done);
        agent.report(owner, WorkerStatus { ended: vec![end], ..idle_worker() }).await;
        domain
            .wait_until_async("the job completes or its task is ordered again", async || {
                agent.ordered_runs(TASK) != [1]
                    || domain.state("normal", "a").await == Ok(JobState::Completed)
            })
            .await;
        assert_eq!(agent.ordered_runs(TASK), [1]);
    }

    // Guards against a new owner that ends a run because of a lapse that the previous owner knew when it assigned it.
    run_inherited_with_a_lapse_found_under_an_earlier_epoch_is_stopped_before_it_starts_again => {
        let (domain, agent, owner) = place_on_scripted_worker(2, &lapsed_worker()).await;
        domain.kill_agent(domain.owner().expect("domain has an owner"));
        domain.wait_until("another agent takes over", || domain.owner_address() != Some(owner)).await;
        let owner = domain.owner_address().expect("domain has an owner");
        while agent.stops().is_empty() && agent.ordered_runs(TASK) == [1] {
            // The agent has not seen the epoch of the new owner, which may still read the jobs.
            let _ = agent.try_report(owner, lapsed_worker()).await;
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(agent.ordered_runs(TASK), [1]);
        assert_eq!(agent.stops(), [first_run(TASK)]);
        let end = ended(first_run(TASK), EndKind::Stopped);
        agent.report(owner, WorkerStatus { ended: vec![end], ..idle_worker() }).await;
        domain.cancel("normal", "busy").await;
        domain.wait_until("the task is ordered again", || {
            agent.ordered_runs(TASK) == [1, 2] || !domain.events.started_runs(TASK).is_empty()
        }).await;
    }

    // Guards against a run that stays assigned for ever to a worker that never answers a restarted agent.
    run_on_a_worker_that_does_not_answer_its_agent_starts_elsewhere => {
        let (domain, agent, owner) = place_on_scripted_worker(1, &idle_worker()).await;
        domain.cancel("normal", "busy").await;
        let unanswered = WorkerStatus { answer_age_ms: None, ..idle_worker() };
        while domain.events.started_runs(TASK).is_empty() {
            agent.report(owner, unanswered.clone()).await;
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(agent.ordered_runs(TASK), [1]);
    }

    // Guards against a start on room that the worker no longer has, because a report that an ended process of the agent
    // had sent arrives last.
    late_report_of_an_ended_agent_process_does_not_restore_its_view => {
        let (domain, owner) = TestDomain::start_busy(1).await;
        let agent = ScriptedAgent::start().await;
        let late = idle_worker();
        let mut current = idle_worker();
        current.announcement.capacity.accelerators = 4;
        current.announcement.sequence = late.announcement.sequence + 1;
        agent.incarnation.set(2);
        agent.report(owner, current.clone()).await;
        agent.report_of_ended_process(owner, late).await;
        domain.submit("normal", "a", gang(1, 100)).await;
        domain.submit("normal", "small", job(1, 100)).await;
        while agent.ordered_runs("small.0.0.0").is_empty() && agent.ordered_runs(TASK).is_empty() {
            agent.report(owner, current.clone()).await;
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        assert!(agent.ordered_runs(TASK).is_empty());
    }

    // Guards against a lapse reported by an ended process of the agent that ends a run begun under its successor.
    run_outlives_a_late_report_of_a_lapse_by_an_ended_process_of_its_agent => {
        let (domain, agent, owner) = place_on_scripted_worker(1, &idle_worker()).await;
        agent.report_of_ended_process(owner, lapsed_worker()).await;
        let end = ended(first_run(TASK), EndKind::Done);
        agent.report(owner, WorkerStatus { ended: vec![end], ..idle_worker() }).await;
        domain
            .wait_until_async("the job completes or its task is ordered again", async || {
                agent.ordered_runs(TASK) != [1]
                    || domain.state("normal", "a").await == Ok(JobState::Completed)
            })
            .await;
        assert_eq!(agent.ordered_runs(TASK), [1]);
    }

    // Guards against a second run beside one that the worker's next incarnation, under the same id, has started.
    run_listed_by_a_reborn_worker_does_not_start_again_while_it_is_listed => {
        let (domain, agent, owner) = place_on_scripted_worker(1, &idle_worker()).await;
        domain.cancel("normal", "busy").await;
        let mut reborn = WorkerStatus { running: vec![running(first_run(TASK))], ..idle_worker() };
        reborn.announcement.worker.born_unix_ms += 1;
        let listed_until = Instant::now() + Duration::from_secs(3);
        while Instant::now() < listed_until {
            agent.report(owner, reborn.clone()).await;
            assert_eq!(agent.ordered_runs(TASK), [1]);
            assert_eq!(domain.events.started_runs(TASK), []);
            compio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    // Guards against giving the room of an unexpected run away while its stop is accepted and its end not listed yet.
    unexpected_run_that_is_being_stopped_keeps_its_room => {
        let (domain, agent, owner) = place_on_scripted_worker(1, &idle_worker()).await;
        let unexpected = TaskRun { run: 7, ..first_run(TASK) };
        let end = ended(first_run(TASK), EndKind::LeaseLapsed);
        let listed = WorkerStatus { running: vec![running(unexpected.clone())], ended: vec![end], ..idle_worker() };
        let listed_until = Instant::now() + Duration::from_secs(3);
        while Instant::now() < listed_until {
            agent.report(owner, listed.clone()).await;
            assert_eq!(agent.ordered_runs(TASK), [1]);
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(agent.stops().first(), Some(&unexpected));
        let stopped = WorkerStatus { running: Vec::new(), ..listed };
        agent.report(owner, stopped).await;
        domain.wait_until("the task is ordered again", || agent.ordered_runs(TASK) == [1, 2]).await;
    }

    // Guards against a second run beside one whose order for an incarnation its successor, under the same id, carried out.
    start_that_reaches_a_reborn_worker_does_not_run_twice => {
        let domain = TestDomain::start(2).await;
        // Needs both workers.
        domain.submit("normal", "busy", gang(2, 10)).await;
        domain.wait_for_state("normal", "busy", JobState::Completed).await;
        domain.silence_heartbeats(0);
        domain.hosts[0].worker.faults.restarts_before_start.set(true);
        domain.submit("normal", "a", job(12, 3_000)).await;
        let is_started = || domain.events.events_from(0).iter().any(|logged| {
            &*logged.machine == "m-0" && &*logged.run.task.job == "a" && logged.event == Event::Started
        });
        domain.wait_until("a task of the job starts on the reborn worker", is_started).await;
        domain.resume_heartbeats(0);
        domain.wait_for_state("normal", "a", JobState::Completed).await;
        assert_eq!(domain.events.violations(), Vec::<String>::new());
    }

    // Guards against a run on a worker whose lease the owner could not grant, and which it takes for lapsed.
    worker_gets_no_tasks_before_the_owner_has_granted_its_lease => {
        let (domain, owner) = TestDomain::start_busy(1).await;
        domain.submit("normal", "a", gang(1, 1_000)).await;
        // Leases that an earlier owner could have granted are over.
        compio::time::sleep(WORKER_LEASE).await;
        let agent = ScriptedAgent::start().await;
        domain.store.is_down.set(true);
        let mut without_room = idle_worker();
        without_room.announcement.worker.id = "i-without-room".into();
        without_room.announcement.worker.born_unix_ms -= 1;
        without_room.announcement.capacity = Resources::default();
        domain
            .wait_until_async("the owner cannot grant leases", async || {
                let answer = agent.try_report(owner, without_room.clone()).await;
                answer.expect("the owner answers").hold_for_ms == 0
            })
            .await;
        agent.report(owner, idle_worker()).await;
        domain.store.is_down.set(false);
        compio::time::sleep(Duration::from_secs(2)).await;
        assert!(agent.ordered_runs(TASK).is_empty());
        while agent.ordered_runs(TASK).is_empty() {
            agent.report(owner, idle_worker()).await;
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(agent.ordered_runs(TASK), [1]);
    }
}
