//! Tests of the simulated store, of its HTTP adapter and of the store client on top of them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_net::Client;
use nutmegwalk_scenarios::platform::Platform;
use nutmegwalk_store::HttpStore;
use nutmegwalk_store::ObjectStore;
use nutmegwalk_store::RequestClass;
use nutmegwalk_store::StoreClient;
use nutmegwalk_store::TableStore;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;

/// Generous timeout for a request that is expected to succeed.
const LIMIT: Duration = Duration::from_secs(60);

fn store(process: &str, address: SocketAddr) -> HttpStore {
    HttpStore::new(Client::new(process, Secret::new("s")).unwrap(), address)
}

fn client(process: &str, address: SocketAddr) -> StoreClient {
    let store = Rc::new(store(process, address));
    StoreClient::new(Rc::clone(&store) as _, store)
}

fn claim(key: &str) -> Transaction {
    Transaction::new()
        .with_absent(key)
        .with_put(key, r#"{"by":"me"}"#)
}

fn is_committed(outcome: &TransactionOutcome) -> bool {
    matches!(outcome, TransactionOutcome::Committed { .. })
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() { compio::runtime::Runtime::new().unwrap().block_on(async $body) })*
    };
}

cases! {
    // Guards against an adapter and a platform that use different paths or bodies.
    rows_and_objects_round_trip_over_http => {
        let platform = Platform::start(1).unwrap();
        let store = store("entry-1", platform.address());
        let outcome = store.transact(&claim("job/1")).await.unwrap();
        assert!(is_committed(&outcome));
        let outcome = store.transact(&claim("job/1").with_absent("other")).await.unwrap();
        assert_eq!(outcome, TransactionOutcome::Rejected { failed_conditions: vec![0] });
        let rows = store.get(&["job/2".into(), "job/1".into()]).await.unwrap();
        assert!(rows[0].is_none());
        assert_eq!(&*rows[1].as_ref().unwrap().value, r#"{"by":"me"}"#);
        assert_eq!(store.scan("job/", "", 10).await.unwrap().len(), 1);
        for name in ["answers/1", "answers/Rēzekne ?#%"] {
            assert_eq!(store.get_object(name).await.unwrap(), None);
            store.put_object(name, Bytes::from_static(b"content")).await.unwrap();
            assert_eq!(store.get_object(name).await.unwrap().as_deref(), Some(&b"content"[..]));
        }
        let counters = platform.store_counters();
        assert_eq!((counters.writes, counters.reads), (4, 6));
        assert_eq!(counters.processes["entry-1"].writes, 4);
    }

    // Guards against the outcome "not run" for a write whose answer was lost, and an unknown outcome for a
    // request that had no effect.
    error_kinds_reflect_the_known_outcome => {
        let platform = Platform::start(1).unwrap();
        let store = store("entry-1", platform.address()).with_timeout(Duration::from_millis(200));
        platform.set_store_faults(|faults| faults.lost_answers = 1.0);
        let error = store.transact(&claim("job/1")).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::StoreUnknown);
        assert!(platform.with_store(|memory| memory.read(&["job/1".into()])[0].is_some()));
        assert_eq!(store.put_object("a", Bytes::new()).await.unwrap_err().kind, ErrorKind::StoreUnknown);
        platform.set_store_faults(|faults| {
            faults.lost_answers = 0.0;
            faults.unresponsive = true;
        });
        assert_eq!(store.transact(&claim("job/2")).await.unwrap_err().kind, ErrorKind::StoreUnknown);
        assert_eq!(store.get(&["job/1".into()]).await.unwrap_err().kind, ErrorKind::StoreUnavailable);
        platform.set_store_faults(|faults| {
            faults.unresponsive = false;
            faults.writes_per_second = Some(0);
        });
        let _ = store.transact(&claim("job/3")).await;
        assert_eq!(store.transact(&claim("job/4")).await.unwrap_err().kind, ErrorKind::StoreUnavailable);
        assert_eq!(platform.store_counters().rate_limited, 1);
        platform.set_store_faults(|faults| faults.down = true);
        assert_eq!(store.transact(&claim("job/5")).await.unwrap_err().kind, ErrorKind::StoreUnavailable);
        let address = platform.address();
        drop(platform);
        let store = self::store("entry-2", address);
        assert_eq!(store.transact(&claim("job/6")).await.unwrap_err().kind, ErrorKind::StoreUnavailable);
    }

    // Guards against a store outage of some processes that affects the others.
    store_is_down_only_for_named_processes => {
        let platform = Platform::start(1).unwrap();
        platform.set_store_faults(|faults| {
            faults.down_for.insert("entry-1".into());
        });
        let deadline = Duration::from_millis(300);
        let disconnected = client("entry-1", platform.address());
        let error = disconnected.transact(RequestClass::Acceptance, &claim("job/1"), deadline).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::StoreUnavailable);
        let other = client("entry-2", platform.address());
        assert!(is_committed(&other.transact(RequestClass::Acceptance, &claim("job/1"), LIMIT).await.unwrap()));
    }

    // Guards against unknown outcomes that are returned to callers although reading back the rows resolves them.
    lost_answers_are_resolved_by_read_back => {
        let platform = Platform::start(7).unwrap();
        platform.set_store_faults(|faults| faults.lost_answers = 0.4);
        let client = client("entry-1", platform.address());
        for round in 0..10 {
            let transactions: Vec<_> = (0..20).map(|index| claim(&format!("claim/{round}/{index}"))).collect();
            let outcomes =
                join_all(transactions.iter().map(|t| client.transact(RequestClass::Acceptance, t, LIMIT))).await;
            assert!(outcomes.iter().all(|outcome| is_committed(outcome.as_ref().unwrap())));
        }
        assert!(platform.store_counters().lost_answers > 0);
        assert_eq!(platform.with_store(|memory| memory.read_range("claim/", "", 1000).len()), 200);
    }

    // Guards against a client whose load keeps a slow or rate-limited store from recovering.
    claims_succeed_under_a_rate_limit => {
        let platform = Platform::start(1).unwrap();
        platform.set_store_faults(|faults| {
            faults.writes_per_second = Some(20);
            faults.latency = Duration::from_millis(20);
        });
        let client = client("entry-1", platform.address());
        let transactions: Vec<_> = (0..1000).map(|index| claim(&format!("claim/{index}"))).collect();
        let outcomes =
            join_all(transactions.iter().map(|t| client.transact(RequestClass::Acceptance, t, LIMIT))).await;
        assert!(outcomes.iter().all(|outcome| is_committed(outcome.as_ref().unwrap())));
        assert!(platform.store_counters().writes <= 20, "{:?}", platform.store_counters());
    }
}
