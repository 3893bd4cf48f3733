//! Tests of a process whose direct connection to the store fails while a peer can reach the store.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_emulator::EmulatedStore;
use nutmegwalk_net::Client;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Handler;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;
use nutmegwalk_net::Server;
use nutmegwalk_net::ServerLimits;
use nutmegwalk_relay::PeerList;
use nutmegwalk_relay::RelayServer;
use nutmegwalk_relay::RelayTimings;
use nutmegwalk_relay::RelayedStore;
use nutmegwalk_store::Change;
use nutmegwalk_store::Follower;
use nutmegwalk_store::FollowerTimings;
use nutmegwalk_store::Reachability;
use nutmegwalk_store::Replica;
use nutmegwalk_store::Row;
use nutmegwalk_store::TableStore;
use nutmegwalk_store::Transaction;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() {
            compio::runtime::Runtime::new().expect("a runtime").block_on(async $body)
        })*
    };
}

/// Generous time limit for an expected event, also on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a request of the follower waits for a change, and the additional time for its response.
const FOLLOWER_TIMINGS: FollowerTimings = FollowerTimings {
    min_interval: Duration::ZERO,
    wait: Duration::from_millis(100),
    response_margin: Duration::from_millis(400),
};

/// A process that forwards requests of its peers to the store.
struct Peer(RelayServer);

impl Handler for Peer {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        let answer = self.0.handle(&request).await;
        answer.unwrap_or_else(|| Response::new(404, ""))
    }
}

/// Counts the changes that a follower applies.
#[derive(Default)]
struct ChangeCounter {
    changes: Cell<usize>,
}

impl Replica for ChangeCounter {
    fn reset(&self, _rows: Vec<Row>) {}

    fn apply(&self, _change: Change) {
        self.changes.set(self.changes.get() + 1);
    }
}

async fn start_peer(store: &EmulatedStore) -> SocketAddr {
    let store = Rc::new(store.clone());
    let server = Server::bind(
        "127.0.0.1:0".parse().expect("an address"),
        ServerLimits::default(),
    );
    let server = server.await.expect("a free port");
    let address = server.local_address();
    let peer = Peer(RelayServer::new(store.clone(), store, Secret::new("")));
    compio::runtime::spawn(server.serve(Rc::new(peer), Drain::new())).detach();
    address
}

/// Returns a store whose direct connection is `direct`, with one peer.
fn relayed_store(direct: &EmulatedStore, peer: SocketAddr, timings: RelayTimings) -> RelayedStore {
    let direct = Rc::new(direct.clone());
    let peers = PeerList::new();
    peers.set(vec![peer]);
    let client = Client::new("test", Secret::new("")).expect("a client");
    RelayedStore::new(direct.clone(), direct, client, peers, timings)
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "not in time: {what}");
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn put(store: &EmulatedStore, number: usize) {
    let key = format!("job/{number}");
    store.memory.apply(&Transaction::new().with_put(key, "{}"));
}

cases! {
    // Guards against a feed that makes no progress because its requests spend their time on a failing direct
    // connection, in particular after a slow one, when the direct timeout has become longer than that of a request.
    feed_continues_through_a_peer => {
        let store = EmulatedStore::new();
        let direct = store.connection();
        let peer = start_peer(&store).await;
        let timings = RelayTimings {
            min_direct_timeout: Duration::from_millis(300),
            max_direct_timeout: Duration::from_secs(10),
            probe_interval: Duration::from_millis(1),
            ..RelayTimings::default()
        };
        let follower = Rc::new(Follower::with_timings(
            Rc::new(relayed_store(&direct, peer, timings)),
            "job/",
            FOLLOWER_TIMINGS,
        ));
        let counter = Rc::new(ChangeCounter::default());
        let (following, replica) = (Rc::clone(&follower), Rc::clone(&counter));
        compio::runtime::spawn(async move { following.run(&*replica).await }).detach();
        wait_until("the first read", || follower.confirmed_at().is_some()).await;
        direct.close();
        for number in 1..=5 {
            put(&store, number);
            wait_until("a change", || counter.changes.get() >= number).await;
        }
    }

    // Guards against a process that continues to use peers although its direct connection works again, and against
    // one that reports the store as unreachable although a peer can reach it.
    restored_direct_connection_is_used_again => {
        let store = EmulatedStore::new();
        let direct = store.connection();
        let peer = start_peer(&store).await;
        let store_under_test = relayed_store(&direct, peer, RelayTimings::default());
        direct.is_connection_down.set(true);
        let keys = ["job/1".into()];
        store_under_test.get(&keys).await.expect("a peer answers");
        assert!(store_under_test.direct_outage().is_some());
        assert!(store_under_test.unreachable_for().is_none());
        direct.is_connection_down.set(false);
        let started = Instant::now();
        while store_under_test.direct_outage().is_some() {
            assert!(started.elapsed() < TIMEOUT, "the direct connection is not probed");
            store_under_test.get(&keys).await.expect("an answer");
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    // Guards against a write that a peer has executed without an answer being reported as not executed.
    relayed_write_without_an_answer_has_an_unknown_outcome => {
        let store = EmulatedStore::new();
        let direct = store.connection();
        let peer = start_peer(&store).await;
        let store_under_test = relayed_store(&direct, peer, RelayTimings::default());
        direct.is_connection_down.set(true);
        store.goes_down_with_next_write.set(true);
        let transaction = Transaction::new().with_put("job/1", "{}");
        let error = store_under_test.transact(&transaction).await.expect_err("the answer is lost");
        assert!(store.memory.read(&["job/1".into()])[0].is_some());
        assert_eq!(error.kind, ErrorKind::StoreUnknown);
    }

    // Guards against callers that are told to ask again although nothing was written on any route.
    write_that_no_route_executes_is_reported_as_not_run => {
        let store = EmulatedStore::new();
        let peer = start_peer(&store).await;
        let store_under_test = relayed_store(&store, peer, RelayTimings::default());
        store.is_down.set(true);
        let transaction = Transaction::new().with_put("job/1", "{}");
        let error = store_under_test.transact(&transaction).await.expect_err("the store is down");
        assert_eq!(error.kind, ErrorKind::StoreUnavailable);
    }

    // Guards against admitting callers while no process can reach the store.
    store_that_is_down_is_reported_as_unreachable => {
        let store = EmulatedStore::new();
        let peer = start_peer(&store).await;
        let store_under_test = relayed_store(&store, peer, RelayTimings::default());
        store.is_down.set(true);
        store_under_test.get(&["job/1".into()]).await.expect_err("the store is down");
        assert!(store_under_test.unreachable_for().is_some());
        store.is_down.set(false);
        let started = Instant::now();
        while store_under_test.unreachable_for().is_some() {
            assert!(started.elapsed() < TIMEOUT, "the store is still reported as unreachable");
            // The result does not matter here, only the reachability that follows from it.
            let _ = store_under_test.get(&["job/1".into()]).await;
        }
    }
}
