//! Tests of reports of an ended process of an agent that arrive after those of its successor.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::TestDomain;
use common::gang;
use common::job;
use common::run;
use common::scripted_agent::ScriptedAgent;
use common::scripted_agent::ended;
use common::scripted_agent::first_run;
use common::scripted_agent::idle_worker;
use common::scripted_agent::running;

use nutmegwalk_base::Incarnation;
use nutmegwalk_supervisor::Report;
use nutmegwalk_supervisor::WorkerStatus;
use nutmegwalk_workload::EndKind;
use nutmegwalk_workload::JobState;

const ENDED_PROCESS: Incarnation = 1;
const LIVING_PROCESS: Incarnation = 2;
/// The only task of job `a`.
const TASK: &str = "a.0.0.0";
/// Start time of the worker's first life, in milliseconds since 1970.
const FIRST_BORN_UNIX_MS: u64 = 10_000;
/// Silence after which the owner gives a worker no tasks; shorter than the lease of its runs.
const SILENCE: Duration = Duration::from_millis(2_800);

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() { run(|| async $body) })* };
}

/// Returns the status of the first life of a worker, reported by the process that has ended since.
fn first_life() -> WorkerStatus {
    let mut life = idle_worker();
    life.announcement.worker.born_unix_ms = FIRST_BORN_UNIX_MS;
    life
}

/// Returns the status of the second life, which has another id.
fn second_life() -> WorkerStatus {
    let mut life = first_life();
    life.announcement.worker.id = "i-second".into();
    life.announcement.worker.born_unix_ms += 1_000;
    life
}

/// Returns the status of a second life that began after the time of day was set back.
fn second_life_with_earlier_time() -> WorkerStatus {
    let mut life = second_life();
    life.announcement.worker.born_unix_ms = FIRST_BORN_UNIX_MS - 1_000;
    life
}

/// A domain whose only free worker is in its second life and has started the task of job `a`.
struct Successor {
    domain: TestDomain,
    agent: Rc<ScriptedAgent>,
    owner: SocketAddr,
    life: WorkerStatus,
    /// Last report of the ended process, which has not arrived yet.
    held: Report,
}

impl Successor {
    async fn start(hosts: u32, life: WorkerStatus) -> Self {
        let (domain, owner) = TestDomain::start_busy(hosts).await;
        let agent = ScriptedAgent::start().await;
        agent.incarnation.set(ENDED_PROCESS);
        agent.report(owner, first_life()).await;
        let held = agent.make_report(first_life());
        agent.incarnation.set(LIVING_PROCESS);
        agent.report(owner, life.clone()).await;
        domain.submit("normal", "a", gang(1, 1_000)).await;
        while agent.ordered_runs(TASK).is_empty() {
            agent.report(owner, life.clone()).await;
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        let successor = Self {
            domain,
            agent,
            owner,
            life,
            held,
        };
        successor.report_running().await;
        successor
    }

    /// Reports that the task runs.
    async fn report_running(&self) {
        let running = vec![running(first_run(TASK))];
        let status = WorkerStatus {
            running,
            ..self.life.clone()
        };
        self.agent.report(self.owner, status).await;
    }

    async fn deliver_held(&self) {
        let answer = self.agent.deliver(self.owner, &self.held).await;
        answer.expect("the owner answers");
    }

    /// Kills the owner, and waits until another agent is.
    async fn replace_owner(&mut self) {
        let epoch = self.domain.owner_epoch().expect("domain has an owner");
        self.domain
            .kill_agent(self.domain.owner().expect("domain has an owner"));
        let is_replaced = || self.domain.owner_epoch().is_some_and(|known| known > epoch);
        self.domain.wait_until("another owner", is_replaced).await;
        self.owner = self.domain.owner_address().expect("domain has an owner");
        let is_ready = async || {
            self.agent
                .deliver(self.owner, &self.unrelated_report())
                .await
                .is_ok()
        };
        self.domain
            .wait_until_async("the owner accepts reports", is_ready)
            .await;
    }

    /// Returns a report of an agent that plays no part.
    fn unrelated_report(&self) -> Report {
        Report {
            agent: "unrelated".into(),
            worker: None,
            ..self.held.clone()
        }
    }

    /// Asserts that the first run is not ended or stopped by the owner before the worker reports its end.
    async fn assert_run_outlives(&self) {
        self.report_running().await;
        let end = ended(first_run(TASK), EndKind::Done);
        let status = WorkerStatus {
            ended: vec![end],
            ..self.life.clone()
        };
        let is_over = async || {
            self.agent.report(self.owner, status.clone()).await;
            self.agent.ordered_runs(TASK) != [1]
                || self.domain.state("normal", "a").await == Ok(JobState::Completed)
        };
        self.domain
            .wait_until_async("the job completes or its task is ordered again", is_over)
            .await;
        assert_eq!(self.agent.ordered_runs(TASK), [1]);
        assert!(self.agent.stops().is_empty());
    }
}

cases! {
    // Guards against a late report of an ended process that supersedes a living worker, whose task then runs twice.
    run_outlives_a_late_report_of_the_former_life => {
        let successor = Successor::start(1, second_life()).await;
        successor.deliver_held().await;
        successor.assert_run_outlives().await;
    }

    // The same if the second life has an earlier start time, so that start times give the wrong order.
    run_outlives_a_late_report_of_a_former_life_with_a_later_start_time => {
        let successor = Successor::start(1, second_life_with_earlier_time()).await;
        successor.deliver_held().await;
        successor.assert_run_outlives().await;
    }

    // The same if the living process has not reported for a while.
    run_outlives_a_late_report_that_arrives_after_a_silence => {
        let successor = Successor::start(1, second_life()).await;
        compio::time::sleep(SILENCE).await;
        successor.deliver_held().await;
        successor.assert_run_outlives().await;
    }

    // The same at an owner that has heard of the living process only.
    run_outlives_a_late_report_to_an_owner_that_knows_the_successor => {
        let mut successor = Successor::start(2, second_life()).await;
        successor.replace_owner().await;
        successor.report_running().await;
        successor.deliver_held().await;
        successor.assert_run_outlives().await;
    }

    // The same at an owner that has heard of neither process, if the start times give the wrong order.
    run_outlives_a_late_report_to_an_owner_that_knows_neither_process => {
        let mut successor = Successor::start(2, second_life_with_earlier_time()).await;
        successor.replace_owner().await;
        successor.deliver_held().await;
        successor.assert_run_outlives().await;
    }

    // Guards against orders for an ended process after its late report from a time when it had no worker.
    orders_name_the_living_process_after_a_late_report_without_a_worker => {
        let (domain, owner) = TestDomain::start_busy(1).await;
        let agent = ScriptedAgent::start().await;
        agent.incarnation.set(ENDED_PROCESS);
        let held = Report { worker: None, ..agent.make_report(first_life()) };
        agent.report(owner, first_life()).await;
        agent.incarnation.set(LIVING_PROCESS);
        agent.report(owner, second_life()).await;
        agent.deliver(owner, &held).await.expect("the owner answers");
        domain.submit("normal", "a", job(1, 1_000)).await;
        domain.wait_until("the agent gets an order", || !agent.ordered_runs(TASK).is_empty()).await;
        assert_eq!(agent.order_incarnations(), [LIVING_PROCESS]);
    }

    // Guards against a living process that is kept out by what it cannot have confirmed yet.
    successor_that_has_received_no_answer_is_asked_once_for_a_confirmation => {
        let (_domain, owner) = TestDomain::start_busy(1).await;
        let agent = ScriptedAgent::start().await;
        agent.incarnation.set(ENDED_PROCESS);
        agent.report(owner, first_life()).await;
        let held = agent.make_report(first_life());
        agent.incarnation.set(LIVING_PROCESS);
        let first = agent.deliver(owner, &agent.make_report(second_life())).await.expect("an answer");
        assert!(first.is_unconfirmed && first.hold_for_ms == 0);
        let answer = agent.try_report(owner, second_life()).await.expect("an answer");
        assert!(!answer.is_unconfirmed && answer.hold_for_ms > 0);
        let late = agent.deliver(owner, &held).await.expect("an answer");
        assert!(late.is_unconfirmed && late.hold_for_ms == 0);
    }
}
