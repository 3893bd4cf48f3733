//! Reports of agents, their acknowledgement, and what a new owner concludes from them.

mod common;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use common::LIMIT;
use common::World;

use nutmegwalk_base::secret::Secret;
use nutmegwalk_gang::AttemptPhase;
use nutmegwalk_gang::GangReport;
use nutmegwalk_gang::Rebuild;
use nutmegwalk_gang::ReportAcknowledgement;
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

fn rebuild(world: &World, epoch: u64, now: Instant) -> Rebuild {
    Rebuild::new(
        epoch,
        world.nodes.iter().map(|node| node.address),
        &world.timings,
        now,
    )
}

cases! {
    // Guards against a job that is started twice because a new owner takes silence for absence.
    new_owner_waits_for_silent_agents => {
        let world = World::new(3).await;
        world.driver.start(world.spec(1, 1, 6)).await.unwrap();
        world.kill(2);
        let now = Instant::now();
        let mut rebuild = rebuild(&world, 2, now);
        for node in &world.nodes[..2] {
            assert!(!rebuild.accept(node.agent.report()), "the agent still obeys epoch 1");
            node.agent.set_epoch_floor(2);
            assert!(rebuild.accept(node.agent.report()));
        }
        let later = now + world.timings.quiet() + Duration::from_millis(1);
        assert!(rebuild.may_run("job-1", later));
        assert_eq!(rebuild.attempts("job-1").filter(|(_, attempt)| attempt.lead).count(), 1);
        assert!(rebuild.may_run("job-2", now));
        assert!(!rebuild.may_run("job-2", later));
        world.wait_until_ended().await;
        world.wait_for("final reports", |world| world.nodes[..2].iter().all(|node| {
            node.agent.report().attempts.iter().all(|a| a.phase == AttemptPhase::Ended)
        })).await;
        for node in &world.nodes[..2] {
            assert!(rebuild.accept(node.agent.report()));
        }
        assert!(rebuild.may_run("job-1", now));
        assert!(!rebuild.may_run("job-1", later));
        world.check();
    }

    // Guards against a bound gang that an earlier owner starts after the new owner has counted it out.
    bound_gang_cannot_start_once_its_report_counts => {
        let world = World::new(2).await;
        let bound = world.driver.bind(world.driver.reserve(world.spec(1, 1, 4)).await.unwrap()).await.unwrap();
        let now = Instant::now();
        let mut rebuild = rebuild(&world, 2, now);
        for node in &world.nodes {
            node.agent.set_epoch_floor(2);
            assert!(rebuild.accept(node.agent.report()));
        }
        assert!(!rebuild.may_run("job-1", now));
        world.driver.launch(bound).await.unwrap_err();
        assert_eq!(world.log.starts(world.spec(1, 1, 4).attempt), 0);
    }

    // Guards against a final report that is lost, or kept for ever.
    final_report_is_sent_until_acknowledged => {
        let world = World::new(1).await;
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), ServerLimits::default()).await.unwrap();
        let address = server.local_address();
        let owner = Rc::new(Owner::default());
        compio::runtime::spawn(server.serve(Rc::clone(&owner), Drain::new())).detach();
        let gang = world.driver.start(world.spec(1, 1, 2)).await.unwrap();
        let agent = &world.nodes[0].agent;
        let running = agent.report();
        world.driver.stop(gang).await;
        world.faults.once("/v1/gang/report", nutmegwalk_net::Fault::LoseAnswer);
        agent.send_report(address, LIMIT).await.unwrap_err();
        assert_eq!(agent.report().attempts.len(), 1);
        agent.acknowledge(running.sequence);
        assert_eq!(agent.report().attempts.len(), 1, "the acknowledged report had no end");
        agent.send_report(address, LIMIT).await.unwrap();
        assert!(agent.report().attempts.is_empty());
        let reports = owner.reports.borrow();
        assert_eq!(reports.len(), 2);
        assert_eq!(reports[0].digest, reports[1].digest);
        assert_ne!(reports[0].digest, running.digest);
    }
}
