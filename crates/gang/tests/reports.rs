//! Agent reports, their acknowledgement, and which jobs a new owner may restart because of them.

mod common;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use common::Cluster;
use common::WAIT_LIMIT;

use nutmegwalk_base::secret::Secret;
use nutmegwalk_gang::AttemptPhase;
use nutmegwalk_gang::GangReport;
use nutmegwalk_gang::ReportAcknowledgement;
use nutmegwalk_gang::ReportCollector;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Handler;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;
use nutmegwalk_net::Server;
use nutmegwalk_net::ServerLimits;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() { compio::runtime::Runtime::new().unwrap().block_on(async $body) })*
    };
}

#[derive(Default)]
struct Owner {
    reports: RefCell<Vec<GangReport>>,
}

impl Handler for Owner {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        let report = request.message::<GangReport>(&Secret::new("s"));
        let answer = report.map(|report| {
            let sequence = report.sequence;
            self.reports.borrow_mut().push(report);
            ReportAcknowledgement { sequence }
        });
        Response::message(&answer)
    }
}

fn collector(cluster: &Cluster, epoch: u64, now: Instant) -> ReportCollector {
    ReportCollector::new(
        epoch,
        cluster.nodes.iter().map(|node| node.address),
        &cluster.timings,
        now,
    )
}

cases! {
    // Guards against a second start of a running job because its agent has not reported to a new owner.
    new_owner_waits_for_unresponsive_agents => {
        let cluster = Cluster::new(3).await;
        cluster.driver.start(cluster.spec(1, 1, 6)).await.unwrap();
        cluster.crash(2);
        let now = Instant::now();
        let mut collector = collector(&cluster, 2, now);
        for node in &cluster.nodes[..2] {
            assert!(!collector.accept(node.agent.report()), "the agent still accepts epoch 1");
            node.agent.set_epoch_floor(2);
            assert!(collector.accept(node.agent.report()));
        }
        let later = now + cluster.timings.quiet_period() + Duration::from_millis(1);
        assert!(collector.may_run("job-1", later));
        assert_eq!(collector.attempts("job-1").filter(|(_, attempt)| attempt.lead).count(), 1);
        assert!(collector.may_run("job-2", now));
        assert!(!collector.may_run("job-2", later));
        cluster.wait_until_ended().await;
        cluster.wait_for("final reports", |cluster| cluster.nodes[..2].iter().all(|node| {
            node.agent.report().attempts.iter().all(|a| a.phase == AttemptPhase::Ended)
        })).await;
        for node in &cluster.nodes[..2] {
            assert!(collector.accept(node.agent.report()));
        }
        assert!(collector.may_run("job-1", now));
        assert!(!collector.may_run("job-1", later));
        cluster.check();
    }

    // Guards against a bound gang that an earlier owner starts after the new owner has concluded from the
    // reports that it does not run.
    bound_gang_cannot_start_once_its_report_is_accepted => {
        let cluster = Cluster::new(2).await;
        let bound = cluster.driver.bind(cluster.driver.reserve(cluster.spec(1, 1, 4)).await.unwrap()).await.unwrap();
        let now = Instant::now();
        let mut collector = collector(&cluster, 2, now);
        for node in &cluster.nodes {
            node.agent.set_epoch_floor(2);
            assert!(collector.accept(node.agent.report()));
        }
        assert!(!collector.may_run("job-1", now));
        cluster.driver.launch(bound).await.unwrap_err();
        assert_eq!(cluster.log.starts(cluster.spec(1, 1, 4).attempt), 0);
    }

    // Guards against a final report that is lost or never dropped.
    final_report_is_sent_until_acknowledged => {
        let cluster = Cluster::new(1).await;
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), ServerLimits::default()).await.unwrap();
        let address = server.local_address();
        let owner = Rc::new(Owner::default());
        compio::runtime::spawn(server.serve(Rc::clone(&owner), Drain::new())).detach();
        let gang = cluster.driver.start(cluster.spec(1, 1, 2)).await.unwrap();
        let agent = &cluster.nodes[0].agent;
        let running = agent.report();
        cluster.driver.stop(gang).await;
        cluster.faults.once("/v1/gang/report", nutmegwalk_net::Fault::LoseAnswer);
        agent.send_report(address, WAIT_LIMIT).await.unwrap_err();
        assert_eq!(agent.report().attempts.len(), 1);
        agent.acknowledge(running.sequence);
        assert_eq!(agent.report().attempts.len(), 1, "the acknowledged report was sent before the end");
        agent.send_report(address, WAIT_LIMIT).await.unwrap();
        assert!(agent.report().attempts.is_empty());
        let reports = owner.reports.borrow();
        assert_eq!(reports.len(), 2);
        assert_eq!(reports[0].digest, reports[1].digest);
        assert_ne!(reports[0].digest, running.digest);
    }
}
