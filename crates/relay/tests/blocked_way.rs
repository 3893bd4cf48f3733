//! Tests of a process whose own way to the store is blocked while a peer reaches it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

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

/// Time for anything to happen on a busy machine.
const PATIENCE: Duration = Duration::from_secs(30);
/// Time for which a follower's request waits for a change, and the time for its answer beyond that.
const FOLLOWING: FollowerTimings = FollowerTimings {
    wait: Duration::from_millis(100),
    response_margin: Duration::from_millis(400),
};

/// A process that passes requests on.
struct Peer(RelayServer);

impl Handler for Peer {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        let answer = self.0.handle(&request).await;
        answer.unwrap_or_else(|| Response::new(404, ""))
    }
}

/// Counts the changes that a follower passes on.
#[derive(Default)]
struct Count {
    changes: Cell<usize>,
}

impl Replica for Count {
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

/// Returns a store whose own way is `own`, with one peer.
fn relayed(own: &EmulatedStore, peer: SocketAddr, timings: RelayTimings) -> RelayedStore {
    let own = Rc::new(own.clone());
    let peers = PeerList::new();
    peers.set(vec![peer]);
    let client = Client::new("test", Secret::new("")).expect("a client");
    RelayedStore::new(own.clone(), own, client, peers, timings)
}

async fn until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < PATIENCE, "not in time: {what}");
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn put(store: &EmulatedStore, number: usize) {
    let key = format!("job/{number}");
    store.memory.apply(&Transaction::new().with_put(key, "{}"));
}

cases! {
    // Guards against a feed that spends the time of its requests on a way that is blocked, in particular
    // one that was slow before, so that answers are given more time than requests have.
    feed_goes_on_through_a_peer => {
        let store = EmulatedStore::new();
        let own = store.connection();
        let peer = start_peer(&store).await;
        let timings = RelayTimings {
            direct_timeout: Duration::from_millis(300),
            max_direct_timeout: Duration::from_secs(10),
            probe_interval: Duration::from_millis(1),
            ..RelayTimings::default()
        };
        let follower = Rc::new(Follower::with_timings(
            Rc::new(relayed(&own, peer, timings)),
            "job/",
            FOLLOWING,
        ));
        let count = Rc::new(Count::default());
        let (following, replica) = (Rc::clone(&follower), Rc::clone(&count));
        compio::runtime::spawn(async move { following.run(&*replica).await }).detach();
        until("the first read", || follower.confirmed_at().is_some()).await;
        own.close();
        for number in 1..=5 {
            put(&store, number);
            until("a change", || count.changes.get() >= number).await;
        }
    }

    // Guards against a process that goes on asking peers although its own way works again, and one that
    // takes the store for unreachable although a peer reaches it.
    own_way_is_found_again => {
        let store = EmulatedStore::new();
        let own = store.connection();
        let peer = start_peer(&store).await;
        let way = relayed(&own, peer, RelayTimings::default());
        own.is_connection_down.set(true);
        let keys = ["job/1".into()];
        way.get(&keys).await.expect("a peer answers");
        assert!(way.blocked_for().is_some());
        assert!(way.unreachable_for().is_none());
        own.is_connection_down.set(false);
        let started = Instant::now();
        while way.blocked_for().is_some() {
            assert!(started.elapsed() < PATIENCE, "the own way is not tried");
            way.get(&keys).await.expect("an answer");
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    // Guards against callers that are let in while nobody reaches the store.
    store_that_nobody_reaches_is_unreachable => {
        let store = EmulatedStore::new();
        let peer = start_peer(&store).await;
        let way = relayed(&store, peer, RelayTimings::default());
        store.is_down.set(true);
        way.get(&["job/1".into()]).await.expect_err("the store is down");
        assert!(way.unreachable_for().is_some());
        store.is_down.set(false);
        let started = Instant::now();
        while way.unreachable_for().is_some() {
            assert!(started.elapsed() < PATIENCE, "the store is not found again");
            // A failure is as good as an answer here.
            let _ = way.get(&["job/1".into()]).await;
        }
    }
}
