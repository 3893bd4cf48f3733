//! Tests of orders that are sent again because their answer was lost.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::TestDomain;
use common::gang;
use common::run;
use common::scripted_agent::Reaction;
use common::scripted_agent::ScriptedAgent;
use common::scripted_agent::ended;
use common::scripted_agent::first_run;
use common::scripted_agent::idle_worker;

use nutmegwalk_supervisor::Refusal;
use nutmegwalk_supervisor::WorkerStatus;
use nutmegwalk_workload::EndKind;
use nutmegwalk_workload::JobState;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() { run(|| async $body) })* };
}

/// The only task of job `a`.
const TASK: &str = "a.0.0.0";

// Guards against a second run beside one whose order was carried out, its answer lost, and its repetition refused.
macro_rules! repetition_that_is_refused_does_not_end_the_run {
    ($($name:ident => $refusal:expr;)*) => {
        $(#[rstest::rstest] fn $name() { run(|| repeat_and_refuse($refusal)) })*
    };
}

repetition_that_is_refused_does_not_end_the_run! {
    repeated_order_that_has_expired_does_not_end_the_run => Refusal::Expired;
    repeated_order_without_a_lease_does_not_end_the_run => Refusal::LeasePassed;
    repeated_order_to_a_leaving_worker_does_not_end_the_run => Refusal::Draining;
    repeated_order_for_a_run_that_has_ended_does_not_end_it_differently => Refusal::SupersededRun;
}

async fn repeat_and_refuse(refusal: Refusal) {
    let (domain, owner) = TestDomain::start_busy(1).await;
    let agent = ScriptedAgent::start().await;
    agent
        .reactions
        .borrow_mut()
        .extend([Reaction::LoseAnswer, Reaction::Refuse(refusal)]);
    agent.report(owner, idle_worker()).await;
    domain.submit("normal", "a", gang(1, 1_000)).await;
    // The run is stopped or ordered once more, after the repeated order was refused.
    while agent.stops().is_empty() && agent.ordered_runs(TASK).len() < 3 {
        agent.report(owner, idle_worker()).await;
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(agent.ordered_runs(TASK).iter().all(|run| *run == 1));
    let end = ended(first_run(TASK), EndKind::Done);
    let last = WorkerStatus {
        ended: vec![end],
        ..idle_worker()
    };
    agent.report(owner, last).await;
    domain
        .wait_for_state("normal", "a", JobState::Completed)
        .await;
    assert!(agent.ordered_runs(TASK).iter().all(|run| *run == 1));
}

cases! {
    // Guards against a worker that gets no tasks any more, because no order was left when its agent answered again.
    worker_whose_last_order_was_not_answered_gets_tasks_again => {
        let (domain, owner) = TestDomain::start_busy(1).await;
        let agent = ScriptedAgent::start().await;
        agent.reactions.borrow_mut().push_back(Reaction::LoseAnswer);
        agent.report(owner, idle_worker()).await;
        domain.submit("normal", "a", gang(1, 1_000)).await;
        while agent.ordered_runs(TASK).is_empty() {
            agent.report(owner, idle_worker()).await;
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        let end = ended(first_run(TASK), EndKind::Done);
        let last = WorkerStatus { ended: vec![end], ..idle_worker() };
        agent.report(owner, last).await;
        domain.wait_for_state("normal", "a", JobState::Completed).await;
        // The order times out.
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(3) {
            agent.report(owner, idle_worker()).await;
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        domain.submit("normal", "b", gang(1, 1_000)).await;
        let started = Instant::now();
        while agent.ordered_runs("b.0.0.0").is_empty() {
            assert!(started.elapsed() < Duration::from_secs(20), "no order");
            agent.report(owner, idle_worker()).await;
            compio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}
