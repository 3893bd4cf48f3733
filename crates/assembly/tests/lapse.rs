//! Tests of what the owner concludes from reports of a worker whose lease has lapsed.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::TestDomain;
use common::gang;
use common::run;
use common::scripted_agent::ScriptedAgent;
use common::scripted_agent::ended;
use common::scripted_agent::first_run;
use common::scripted_agent::idle_worker;

use nutmegwalk_supervisor::WorkerStatus;
use nutmegwalk_workload::EndKind;
use nutmegwalk_workload::JobState;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() { run(|| async $body) })* };
}

/// The only task of job `a`.
const TASK: &str = "a.0.0.0";

/// Starts a domain with one busy worker, and a scripted agent whose worker gets the only task of job `a`. The agent
/// reports `lapsed` until it is ordered to start the task.
async fn place_on_scripted_worker(
    lapsed: &WorkerStatus,
) -> (TestDomain, Rc<ScriptedAgent>, SocketAddr) {
    let domain = TestDomain::start(1).await;
    domain.submit("normal", "busy", gang(1, 600_000)).await;
    domain.wait_for_starts("busy.0.0.0", 1).await;
    let owner = domain.owner_address().expect("domain has an owner");
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
        let lapsed = WorkerStatus { has_lapsed: true, ..idle_worker() };
        let (domain, agent, owner) = place_on_scripted_worker(&lapsed).await;
        agent.report(owner, lapsed).await;
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
}
