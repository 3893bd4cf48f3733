//! Tests of the choice of servers, of retries and of outlier ejection.

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

/// An address at which nothing listens. Ports of 127.0.0.1 would not do, since other tests may take
/// one as soon as it is free.
fn dead_address() -> SocketAddr {
    "127.66.66.66:9".parse().unwrap()
}

async fn outcomes(router: &Router, calls: usize) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for _ in 0..calls {
        outcomes.push(router.call(request("plank")).await.outcome());
    }
    outcomes
}

fn count(outcomes: &[Outcome], wanted: Outcome) -> usize {
    outcomes
        .iter()
        .filter(|outcome| **outcome == wanted)
        .count()
}

cases! {
    // Guards against the last server that stays being ejected because it is slower than one that leaves.
    last_server_that_stays_is_not_ejected => {
        let fleet = Fleet::start(2, 8).await;
        let router = fleet.router();
        assert_eq!(count(&outcomes(&router, 60).await, Outcome::Done), 60);
        fleet.backends[1].state.delay.set(Duration::from_millis(60));
        let mut entries = fleet.entries();
        entries[0].leaving = true;
        router.update_servers(entries);
        assert_eq!(count(&outcomes(&router, 30).await, Outcome::Done), 30);
    }

    // Guards against traffic over billed links while near servers can take the call, and against
    // bytes that nobody is billed for.
    nearest_first_and_cross_region_bytes => {
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
        // Both ways, 5 bytes each.
        assert_eq!(router.cross_region_bytes()["valmiera"], 100);
        // A full queue is a reason to go farther.
        let mut full = entries;
        for entry in &mut full[..2] {
            entry.load.queued = entry.load.queue_limit;
            entry.server_incarnation ^= 1;
        }
        router.update_servers(full);
        assert_eq!(router.call(request("plank")).await.outcome(), Outcome::Done);
        assert_eq!(fleet.requests(), [10, 10, 11]);
    }

    // Guards against a busy server getting as many calls as idle ones.
    busy_server_gets_fewer_calls => {
        let fleet = Fleet::start(2, 8).await;
        let router = fleet.router();
        fleet.backends[0].state.held.set(true);
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
        fleet.backends[0].state.held.set(false);
        for call in held {
            assert_eq!(call.await.unwrap().outcome(), Outcome::Done);
        }
    }

    // Guards against a server that fails everything attracting calls, and against one that has
    // recovered staying out.
    server_that_fails_all_is_ejected_and_returns => {
        let fleet = Fleet::start(3, 8).await;
        let router = fleet.router();
        fleet.backends[0].behave(Behaviour::Status(500));
        outcomes(&router, 100).await;
        // Three failures eject it; a probe each second may follow.
        assert!(fleet.requests()[0] < 15, "{:?}", fleet.requests());
        fleet.backends[0].behave(Behaviour::Echo);
        let before = fleet.requests()[0];
        let start = std::time::Instant::now();
        while fleet.requests()[0] < before + 10 {
            assert!(start.elapsed() < common::GENEROUS, "the server does not return");
            assert_eq!(router.call(request("plank")).await.outcome(), Outcome::Done);
            compio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    // Guards against a fault that all servers share leaving none of them.
    at_most_half_is_ejected => {
        let fleet = Fleet::start(4, 8).await;
        let router = fleet.router();
        for backend in &fleet.backends {
            backend.behave(Behaviour::Status(500));
        }
        outcomes(&router, 200).await;
        let mut requests = fleet.requests();
        requests.sort_unstable();
        assert!(requests[2] > 30 && requests[3] > 30, "{requests:?}");
    }

    // Guards against a slow server getting its full share of calls.
    slow_server_is_ejected => {
        let fleet = Fleet::start(3, 8).await;
        let router = fleet.router();
        fleet.backends[0].state.delay.set(Duration::from_millis(250));
        assert_eq!(count(&outcomes(&router, 150).await, Outcome::Done), 150);
        // Ten answers show that it is slow; a third of the calls would be 50.
        assert!(fleet.requests()[0] <= 25, "{:?}", fleet.requests());
    }

    // Guards against a retry storm when a third of the servers die at once.
    third_of_the_servers_dies => {
        let mut fleet = Fleet::start(6, 8).await;
        let router = fleet.router();
        assert_eq!(count(&outcomes(&router, 60).await, Outcome::Done), 60);
        fleet.backends.truncate(4);
        let before = router.counts();
        let seen = outcomes(&router, 300).await;
        let after = router.counts();
        let attempts = after.attempts - before.attempts;
        // 10% of the 360 calls and 3.
        assert!(attempts <= 300 + 36 + 3, "{attempts} attempts for 300 calls");
        // A request in flight on a connection that ends is unknown; everything else is proved.
        assert!(count(&seen, Outcome::Done) >= 280, "{} done", count(&seen, Outcome::Done));
        assert_eq!(count(&seen[200..], Outcome::Done), 100);
    }

    // Guards against retries multiplying an overload; the baseline shows what the budget prevents.
    refusals_are_retried_within_the_budget => {
        let fleet = Fleet::start(2, 8).await;
        let mut entries = fleet.entries();
        for entry in &mut entries {
            entry.agent_address = dead_address();
        }
        let mut attempts = Vec::new();
        for policy in [RoutingPolicy::TwoChoices, RoutingPolicy::NoBudget] {
            let settings = RouterSettings::new("centre-1", "region-1").with_policy(policy);
            let router = router_with(settings, &[], None);
            router.update_servers(entries.clone());
            let seen = outcomes(&router, 10).await;
            assert_eq!(count(&seen, Outcome::NotRun), 10, "{seen:?}");
            attempts.push(router.counts().attempts);
        }
        assert!(attempts[0] <= 10 + 1 + 3, "{attempts:?}");
        assert_eq!(attempts[1], 100);
        assert_eq!(fleet.requests(), [0, 0]);
    }

    // Guards against a leaving server costing callers anything before and after the report.
    leaving_server_is_avoided => {
        let fleet = Fleet::start(2, 8).await;
        let router = fleet.router();
        let mut leaving = fleet.backends[0].announcement(8);
        leaving.leaving = true;
        fleet.agents[0].slots.announce(leaving).unwrap();
        // The refusal is proved, so the call goes to the other server; one refusal is enough.
        assert_eq!(count(&outcomes(&router, 5).await, Outcome::Done), 5);
        assert!(router.counts().attempts <= 6);
        router.update_servers(fleet.entries());
        let before = router.counts().attempts;
        assert_eq!(count(&outcomes(&router, 20).await, Outcome::Done), 20);
        assert_eq!(router.counts().attempts - before, 20);
        assert_eq!(fleet.requests(), [0, 25]);
    }

    // Guards against a restarted server inheriting the ejection of its predecessor.
    new_incarnation_is_a_new_server => {
        let fleet = Fleet::start(2, 8).await;
        let router = fleet.router();
        fleet.backends[0].behave(Behaviour::Status(500));
        outcomes(&router, 30).await;
        let before = fleet.requests()[0];
        assert!(before < 10, "{before}");
        fleet.backends[0].behave(Behaviour::Echo);
        let mut restarted = fleet.backends[0].announcement(8);
        restarted.incarnation = new_incarnation();
        fleet.agents[0].slots.announce(restarted).unwrap();
        router.update_servers(fleet.entries());
        outcomes(&router, 40).await;
        assert!(fleet.requests()[0] > before + 5, "{:?}", fleet.requests());
    }

    // Guards against a call that may have run being reported as not run after a refused retry, and
    // against repeatable calls not being repeated.
    refused_retry_does_not_hide_an_unknown_attempt => {
        let fleet = Fleet::start(2, 8).await;
        let router = fleet.router();
        let mut entries = fleet.entries();
        entries[1].agent_address = dead_address();
        fleet.backends[0].behave(Behaviour::CutShort);
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
        // A new entry host, whose retry budget is not used up.
        let router = fleet.router();
        router.update_servers(entries);
        let answer = router.call(request("board").with_repeat(Repeat::Always)).await;
        assert_eq!(answer.outcome(), Outcome::Done);
    }

    // Guards against a planned stop of an entry host cutting off a call.
    drain_of_an_entry_host_cuts_off_no_call => {
        let fleet = Fleet::start(1, 8).await;
        let router = fleet.router();
        fleet.backends[0].state.held.set(true);
        let caller = router.clone();
        let call = compio::runtime::spawn(async move { caller.call(request("plank")).await });
        eventually("the call runs", || fleet.requests() == [1]).await;
        router.drain();
        let refused = router.call(request("late")).await;
        assert_eq!(refused.outcome(), Outcome::NotRun);
        fleet.backends[0].state.held.set(false);
        router.idle().await;
        assert_eq!(call.await.unwrap().outcome(), Outcome::Done);
        assert_eq!(fleet.requests(), [1]);
    }

    // Guards against the baseline being something else than what it is named after.
    round_robin_takes_turns => {
        let fleet = Fleet::start(3, 8).await;
        let settings = RouterSettings::new("centre-1", "region-1").with_policy(RoutingPolicy::RoundRobin);
        let router = router_with(settings, &fleet.agents.iter().collect::<Vec<_>>(), None);
        assert_eq!(count(&outcomes(&router, 30).await, Outcome::Done), 30);
        assert_eq!(fleet.requests(), [10, 10, 10]);
    }
}
