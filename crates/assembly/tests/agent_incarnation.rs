//! Tests of orders that name the incarnation of the agent.

mod common;

use std::time::Duration;

use common::TestDomain;
use common::job;
use common::run;
use common::scripted_agent::ScriptedAgent;
use common::scripted_agent::first_run;
use common::scripted_agent::idle_worker;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::Result;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_net::Client;
use nutmegwalk_supervisor::Orders;
use nutmegwalk_supervisor::OrdersAnswer;
use nutmegwalk_supervisor::StartOrder;
use nutmegwalk_supervisor::TaskOutcome;
use nutmegwalk_supervisor::TaskRun;

const ORDERS_TIMEOUT: Duration = Duration::from_secs(10);
/// Incarnation that no process generates.
const ENDED_INCARNATION: Incarnation = Incarnation::MAX;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() { run(|| async $body) })* };
}

impl TestDomain {
    /// Sends orders for a worker to the agent of the only host.
    async fn order(
        &self,
        agent_incarnation: Incarnation,
        starts: Vec<StartOrder>,
        stops: Vec<TaskRun>,
    ) -> Result<OrdersAnswer> {
        let worker = self.hosts[0].worker.announcement().expect("a worker");
        let orders = Orders {
            epoch: self.owner_epoch().expect("domain has an owner"),
            worker: worker.worker,
            agent_incarnation,
            acknowledged: 0,
            starts_expire_ms: u64::MAX,
            starts,
            stops,
            paces: Vec::new(),
        };
        let agent = self.owner_address().expect("domain has an owner");
        let client = Client::new("owner", Secret::new("")).expect("HTTP client");
        client.send(agent, &orders, ORDERS_TIMEOUT).await
    }
}

fn start_of(run: &TaskRun) -> StartOrder {
    StartOrder {
        job: run.task.job.clone(),
        occurrence: run.task.occurrence,
        step: run.task.step,
        tasks: vec![run.task.index],
        run: run.run,
        payload: "work=60000".into(),
        checkpoint: None,
        ticket: None,
        known_lapse_ms: None,
    }
}

cases! {
    // Guards against a second run beside one that was started because of a lapse that an ended process of the agent found.
    orders_for_an_ended_process_of_the_agent_have_no_effect => {
        let domain = TestDomain::start(1).await;
        domain.submit("normal", "a", job(1, 600_000)).await;
        domain.wait_for_starts("a.0.0.0", 1).await;
        let stale = first_run("b.0.0.0");
        let result = domain.order(ENDED_INCARNATION, vec![start_of(&stale)], vec![first_run("a.0.0.0")]).await;
        assert_eq!(result.expect_err("another process").kind, ErrorKind::NotFound);
        compio::time::sleep(Duration::from_millis(500)).await;
        assert!(domain.hosts[0].worker.has_run_of("a.0.0.0"));
        assert!(domain.events.started_runs("b.0.0.0").is_empty());
    }

    // Guards against orders of an owner of an earlier release, which names no incarnation, that are refused.
    orders_without_an_incarnation_of_the_agent_are_carried_out => {
        let domain = TestDomain::start(1).await;
        domain.submit("normal", "a", job(1, 600_000)).await;
        domain.wait_for_starts("a.0.0.0", 1).await;
        let answer = domain.order(0, Vec::new(), vec![first_run("a.0.0.0")]).await.expect("orders are accepted");
        assert_eq!(answer.stops[0].outcome, TaskOutcome::Done);
    }

    // Guards against an owner whose orders name no process of the agent, or one that has ended.
    orders_name_the_process_of_the_agent_that_reported_last => {
        let (domain, owner) = TestDomain::start_busy(1).await;
        let agent = ScriptedAgent::start().await;
        agent.incarnation.set(7);
        domain.submit("normal", "a", job(1, 600_000)).await;
        while agent.order_incarnations().is_empty() {
            agent.report(owner, idle_worker()).await;
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        assert!(agent.order_incarnations().iter().all(|incarnation| *incarnation == 7));
        agent.incarnation.set(8);
        let mut later = idle_worker();
        later.announcement.sequence += 1;
        agent.report(owner, later).await;
        let earlier = agent.order_incarnations().len();
        domain.cancel("normal", "a").await;
        domain.wait_until("the agent gets orders", || agent.order_incarnations().len() > earlier).await;
        assert!(agent.order_incarnations()[earlier..].iter().all(|incarnation| *incarnation == 8));
    }
}
