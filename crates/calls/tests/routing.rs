//! Tests of server selection, retries and outlier ejection.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::Agent;
use common::Backend;
use common::Behaviour;
use common::eventually;
use common::request;
use common::router;
use common::router_with;

use nutmegwalk_base::Outcome;
use nutmegwalk_base::new_incarnation;
use nutmegwalk_calls::Repeat;
use nutmegwalk_calls::Router;
use nutmegwalk_calls::RouterSettings;
use nutmegwalk_calls::RoutingPolicy;
use nutmegwalk_calls::ServerEntry;

struct Fleet {
    backends: Vec<Backend>,
    agents: Vec<Agent>,
}

impl Fleet {
    async fn start(count: usize, slots: u32) -> Self {
        let mut fleet = Self {
            backends: Vec::new(),
            agents: Vec::new(),
        };
        for _ in 0..count {
            let backend = Backend::start().await;
            fleet
                .agents
                .push(Agent::with_backend(&backend, slots).await);
            fleet.backends.push(backend);
        }
        fleet
    }

    fn entries(&self) -> Vec<ServerEntry> {
        self.agents.iter().map(Agent::entry).collect()
    }

    fn router(&self) -> Router {
        router(&self.agents.iter().collect::<Vec<_>>(), None)
    }

    fn requests(&self) -> Vec<u64> {
        self.backends.iter().map(Backend::requests).collect()
    }
}

/// Returns an address at which nothing listens. A free port of 127.0.0.1 is not suitable, since another test
/// may bind it at any time.
fn unreachable_address() -> SocketAddr {
    "127.66.66.66:9".parse().unwrap()
}

async fn outcomes(router: &Router, calls: usize) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for _ in 0..calls {
        outcomes.push(router.call(request("plank")).await.outcome());
    }
    outcomes
}

fn count(outcomes: &[Outcome], expected: Outcome) -> usize {
    outcomes
        .iter()
        .filter(|outcome| **outcome == expected)
        .count()
}

cases! {
    // Guards against ejecting the only server that is not leaving because it is slower than a leaving one.
    last_server_that_is_not_leaving_is_not_ejected => {
        let fleet = Fleet::start(2, 8).await;
        let router = fleet.router();
        assert_eq!(count(&outcomes(&router, 60).await, Outcome::Done), 60);
        fleet.backends[1].state.delay.set(Duration::from_millis(60));
        let mut entries = fleet.entries();
        entries[0].leaving = true;
        router.update_servers(entries);
        assert_eq!(count(&outcomes(&router, 30).await, Outcome::Done), 30);
    }

    // Guards against traffic over billed cross-region links while a nearer server can accept the call, and
    // against cross-region bytes that are not counted for a customer.
    nearest_server_is_used_and_cross_region_bytes_are_counted => {
        let fleet = Fleet::start(3, 1).await;
        let places = [("centre-1", "region-1"), ("centre-2", "region-1"), ("centre-3", "region-2")];
        let entries: Vec<ServerEntry> = fleet.agents.iter().zip(places)
            .map(|(agent, (data_centre, region))| agent.entry_in(data_centre, region)).collect();
        let router = fleet.router();
        router.update_servers(entries.clone());
        assert_eq!(count(&outcomes(&router, 10).await, Outcome::Done), 10);
        assert_eq!(fleet.requests(), [10, 0, 0]);
        assert!(router.cross_region_bytes().is_empty());
        router.update_servers(entries[1..].to_vec());
        assert_eq!(count(&outcomes(&router, 10).await, Outcome::Done), 10);
        assert_eq!(fleet.requests(), [10, 10, 0]);
        router.update_servers(entries[2..].to_vec());
        assert_eq!(count(&outcomes(&router, 10).await, Outcome::Done), 10);
        assert_eq!(fleet.requests(), [10, 10, 10]);
        // 10 calls with 5 bytes in each direction.
        assert_eq!(router.cross_region_bytes()["valmiera"], 100);
        // If the queues of the nearer servers are full, a call goes to a server at a greater distance.
        let mut full = entries;
        for entry in &mut full[..2] {
            entry.load.queued = entry.load.queue_limit;
            entry.server_incarnation ^= 1;
        }
        router.update_servers(full);
        assert_eq!(router.call(request("plank")).await.outcome(), Outcome::Done);
        assert_eq!(fleet.requests(), [10, 10, 11]);
    }

    // Guards against a busy server receiving as many calls as idle ones.
    busy_server_gets_fewer_calls => {
        let fleet = Fleet::start(2, 8).await;
        let router = fleet.router();
        fleet.backends[0].state.is_holding_requests.set(true);
        let mut held = Vec::new();
        while fleet.requests()[0] == 0 {
            let router = router.clone();
            held.push(compio::runtime::spawn(async move { router.call(request("held")).await }));
            let before: u64 = fleet.requests().iter().sum();
            eventually("the call arrives", || fleet.requests().iter().sum::<u64>() > before).await;
        }
        let before = fleet.requests();
        assert_eq!(count(&outcomes(&router, 20).await, Outcome::Done), 20);
        assert_eq!(fleet.requests(), [before[0], before[1] + 20]);
        fleet.backends[0].state.is_holding_requests.set(false);
        for call in held {
            assert_eq!(call.await.unwrap().outcome(), Outcome::Done);
        }
    }

    // Guards against a failing server attracting calls, and against a recovered server not being used again.
    failing_server_is_ejected_and_used_again_after_recovery => {
        let fleet = Fleet::start(3, 8).await;
        let router = fleet.router();
        fleet.backends[0].set_behaviour(Behaviour::Status(500));
        outcomes(&router, 100).await;
        // Three failures eject the server; after that, a probe each second may follow.
        assert!(fleet.requests()[0] < 15, "{:?}", fleet.requests());
        fleet.backends[0].set_behaviour(Behaviour::Echo);
        let before = fleet.requests()[0];
        let start = std::time::Instant::now();
        while fleet.requests()[0] < before + 10 {
            assert!(start.elapsed() < common::TEST_TIMEOUT, "the recovered server is not used");
            assert_eq!(router.call(request("plank")).await.outcome(), Outcome::Done);
            compio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    // Guards against ejecting all servers because of a fault that all of them have.
    at_most_half_of_the_servers_are_ejected => {
        let fleet = Fleet::start(4, 8).await;
        let router = fleet.router();
        for backend in &fleet.backends {
            backend.set_behaviour(Behaviour::Status(500));
        }
        outcomes(&router, 200).await;
        let mut requests = fleet.requests();
        requests.sort_unstable();
        assert!(requests[2] > 30 && requests[3] > 30, "{requests:?}");
    }

    // Guards against a slow server receiving its full share of calls.
    slow_server_is_ejected => {
        let fleet = Fleet::start(3, 8).await;
        let router = fleet.router();
        fleet.backends[0].state.delay.set(Duration::from_millis(250));
        assert_eq!(count(&outcomes(&router, 150).await, Outcome::Done), 150);
        // Ten answers suffice to detect that the server is slow; a third of the calls would be 50.
        assert!(fleet.requests()[0] <= 25, "{:?}", fleet.requests());
    }

    // Guards against a retry storm when a third of the servers stop at the same time.
    retries_are_limited_when_a_third_of_the_servers_stop => {
        let mut fleet = Fleet::start(6, 8).await;
        let router = fleet.router();
        assert_eq!(count(&outcomes(&router, 60).await, Outcome::Done), 60);
        fleet.backends.truncate(4);
        let before = router.counts();
        let results = outcomes(&router, 300).await;
        let after = router.counts();
        let attempts = after.attempts - before.attempts;
        // The retry budget is 10% of the 360 calls plus 3.
        assert!(attempts <= 300 + 36 + 3, "{attempts} attempts for 300 calls");
        // Only a request in flight on a connection that is lost is unknown; the others have a known outcome.
        assert!(count(&results, Outcome::Done) >= 280, "{} done", count(&results, Outcome::Done));
        assert_eq!(count(&results[200..], Outcome::Done), 100);
    }

    // Guards against retries amplifying an overload; the baseline shows the attempts without a budget.
    refusals_are_retried_within_the_budget => {
        let fleet = Fleet::start(2, 8).await;
        let mut entries = fleet.entries();
        for entry in &mut entries {
            entry.agent_address = unreachable_address();
        }
        let mut attempts = Vec::new();
        for policy in [RoutingPolicy::TwoChoices, RoutingPolicy::NoBudget] {
            let settings = RouterSettings::new("centre-1", "region-1").with_policy(policy);
            let router = router_with(settings, &[], None);
            router.update_servers(entries.clone());
            let results = outcomes(&router, 10).await;
            assert_eq!(count(&results, Outcome::NotRun), 10, "{results:?}");
            attempts.push(router.counts().attempts);
        }
        assert!(attempts[0] <= 10 + 1 + 3, "{attempts:?}");
        assert_eq!(attempts[1], 100);
        assert_eq!(fleet.requests(), [0, 0]);
    }

    // Guards against failed calls and unnecessary attempts because of a leaving server, before and after its
    // report arrives.
    leaving_server_is_avoided => {
        let fleet = Fleet::start(2, 8).await;
        let router = fleet.router();
        let mut leaving = fleet.backends[0].announcement(8);
        leaving.leaving = true;
        fleet.agents[0].slots.announce(leaving).unwrap();
        // A refused call provably did not run, so it is retried at the other server. After one refusal, the
        // leaving server is not used again.
        assert_eq!(count(&outcomes(&router, 5).await, Outcome::Done), 5);
        assert!(router.counts().attempts <= 6);
        router.update_servers(fleet.entries());
        let before = router.counts().attempts;
        assert_eq!(count(&outcomes(&router, 20).await, Outcome::Done), 20);
        assert_eq!(router.counts().attempts - before, 20);
        assert_eq!(fleet.requests(), [0, 25]);
    }

    // Guards against a restarted server inheriting the ejection of its previous incarnation.
    new_incarnation_is_a_new_server => {
        let fleet = Fleet::start(2, 8).await;
        let router = fleet.router();
        fleet.backends[0].set_behaviour(Behaviour::Status(500));
        outcomes(&router, 30).await;
        let before = fleet.requests()[0];
        assert!(before < 10, "{before}");
        fleet.backends[0].set_behaviour(Behaviour::Echo);
        let mut restarted = fleet.backends[0].announcement(8);
        restarted.incarnation = new_incarnation();
        fleet.agents[0].slots.announce(restarted).unwrap();
        router.update_servers(fleet.entries());
        outcomes(&router, 40).await;
        assert!(fleet.requests()[0] > before + 5, "{:?}", fleet.requests());
    }

    // Guards against reporting a call that may have run as not run after a refused retry, and against not
    // retrying repeatable calls.
    refused_retry_does_not_hide_an_unknown_attempt => {
        let fleet = Fleet::start(2, 8).await;
        let router = fleet.router();
        let mut entries = fleet.entries();
        entries[1].agent_address = unreachable_address();
        fleet.backends[0].set_behaviour(Behaviour::Truncated);
        for _ in 0..20 {
            // New incarnations keep both servers from being ejected.
            entries[0].server_incarnation ^= 1;
            entries[1].server_incarnation ^= 1;
            router.update_servers(entries.clone());
            let before = fleet.requests()[0];
            let answer = router.call(request("plank").with_repeat(Repeat::Always)).await;
            if fleet.requests()[0] > before {
                assert_eq!(answer.outcome(), Outcome::Unknown);
            } else {
                assert_eq!(answer.outcome(), Outcome::NotRun, "{:?}", answer.result);
            }
        }
        entries[1] = fleet.agents[1].entry();
        // The retry budget of a new entry host is not used up.
        let router = fleet.router();
        router.update_servers(entries);
        let answer = router.call(request("board").with_repeat(Repeat::Always)).await;
        assert_eq!(answer.outcome(), Outcome::Done);
    }

    // Guards against a planned stop of an entry host aborting a call.
    drain_of_an_entry_host_aborts_no_call => {
        let fleet = Fleet::start(1, 8).await;
        let router = fleet.router();
        fleet.backends[0].state.is_holding_requests.set(true);
        let caller = router.clone();
        let call = compio::runtime::spawn(async move { caller.call(request("plank")).await });
        eventually("the call runs", || fleet.requests() == [1]).await;
        router.drain();
        let refused = router.call(request("late")).await;
        assert_eq!(refused.outcome(), Outcome::NotRun);
        fleet.backends[0].state.is_holding_requests.set(false);
        router.idle().await;
        assert_eq!(call.await.unwrap().outcome(), Outcome::Done);
        assert_eq!(fleet.requests(), [1]);
    }

    // Guards against the baseline `RoundRobin` not distributing calls in turn.
    round_robin_distributes_calls_evenly => {
        let fleet = Fleet::start(3, 8).await;
        let settings = RouterSettings::new("centre-1", "region-1").with_policy(RoutingPolicy::RoundRobin);
        let router = router_with(settings, &fleet.agents.iter().collect::<Vec<_>>(), None);
        assert_eq!(count(&outcomes(&router, 30).await, Outcome::Done), 30);
        assert_eq!(fleet.requests(), [10, 10, 10]);
    }
}
