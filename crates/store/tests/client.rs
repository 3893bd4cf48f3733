//! Tests of batching, retries, read-back, rate limits and priorities of the store client.

mod support;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::join_all;
use futures_util::future::select;
use support::Fault;
use support::FaultyStore;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_store::RateLimits;
use nutmegwalk_store::RequestClass;
use nutmegwalk_store::StoreClient;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;

/// Generous deadline of a request that is expected to succeed.
const LIMIT: Duration = Duration::from_secs(30);
/// Deadline of a request that is expected to time out.
const SHORT: Duration = Duration::from_millis(300);

const CLAIM: &str = "claim/a/1";

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
    // Guards against sending one transaction to the store for each claim of a burst.
    burst_is_sent_in_few_transactions => {
        let store = FaultyStore::with_faults([]);
        let client = store.client();
        let transactions: Vec<_> = (0..250).map(|index| claim(&format!("claim/a/{index}"))).collect();
        let outcomes = join_all(transactions.iter().map(|t| client.transact(RequestClass::Acceptance, t, LIMIT))).await;
        assert!(outcomes.iter().all(|outcome| is_committed(outcome.as_ref().unwrap())));
        assert_eq!(store.transactions.borrow().iter().sum::<usize>(), 250);
        assert!(store.transactions.borrow().len() <= 4, "{:?}", store.transactions);
        assert_eq!(client.counters().of(RequestClass::Acceptance).committed, 250);
        assert_eq!(client.counters().total().writes, store.transactions.borrow().len() as u64);
    }

    // Guards against a batch that the store refuses for its size, with all transactions in it.
    batch_of_long_rows_stays_within_the_size_of_a_transaction => {
        let store = FaultyStore::with_faults([]);
        let client = store.client();
        let value = format!(r#"{{"text":"{}"}}"#, "x".repeat(40_000));
        let transactions: Vec<_> = (0..60)
            .map(|index| Transaction::new().with_put(format!("job/{index}"), value.clone()))
            .collect();
        let outcomes = join_all(transactions.iter().map(|t| client.transact(RequestClass::Progress, t, LIMIT))).await;
        assert!(outcomes.iter().all(|outcome| is_committed(outcome.as_ref().unwrap())));
        let rows = store.transactions.borrow().iter().copied().max().expect("a transaction");
        // In base64 the rows take a third more, and the store accepts 1 MB.
        assert!(rows * value.len() * 4 / 3 < 1_000_000, "{rows} rows in one transaction");
    }

    // Guards against a failed condition that also rejects the other transactions of its batch.
    failed_condition_does_not_reject_other_transactions => {
        let store = FaultyStore::with_faults([]);
        store.memory.apply(&claim("claim/a/3"));
        store.memory.apply(&claim("claim/a/7"));
        let client = store.client();
        let transactions: Vec<_> = (0..10)
            .map(|index| claim(&format!("claim/a/{index}")).with_absent("never"))
            .collect();
        let outcomes = join_all(transactions.iter().map(|t| client.transact(RequestClass::Acceptance, t, LIMIT))).await;
        for (index, outcome) in outcomes.into_iter().enumerate() {
            let outcome = outcome.unwrap();
            if index == 3 || index == 7 {
                assert_eq!(outcome, TransactionOutcome::Rejected { failed_conditions: vec![0] });
            } else {
                assert!(is_committed(&outcome), "{index}: {outcome:?}");
            }
        }
        assert_eq!(store.transactions.borrow().len(), 2);
    }

    // Guards against two claims of the same key in one transaction, whose conditions would both hold.
    dependent_transactions_are_not_batched_together => {
        let store = FaultyStore::with_faults([]);
        let client = store.client();
        let transaction = claim(CLAIM);
        let outcomes = join_all((0..8).map(|_| client.transact(RequestClass::Acceptance, &transaction, LIMIT))).await;
        let committed = outcomes.iter().filter(|outcome| is_committed(outcome.as_ref().unwrap())).count();
        assert_eq!(committed, 1);
    }

    // Guards against a claim that is rejected because of the client's own earlier write.
    own_write_with_lost_response_is_committed => {
        let store = FaultyStore::with_faults([Fault::LoseResponse]);
        let client = store.client();
        assert!(is_committed(&client.transact(RequestClass::Acceptance, &claim(CLAIM), LIMIT).await.unwrap()));
        assert_eq!(store.transactions.borrow().len(), 1);
    }

    // Guards against a lost request that is never retried.
    lost_request_is_retried => {
        let store = FaultyStore::with_faults([Fault::LoseRequest, Fault::Unavailable, Fault::LoseRequest]);
        let client = store.client();
        assert!(is_committed(&client.transact(RequestClass::Acceptance, &claim(CLAIM), LIMIT).await.unwrap()));
        assert_eq!(store.transactions.borrow().len(), 4);
    }

    // Guards against reporting "not run" for a write that may have taken effect before another writer replaced the row.
    replaced_write_with_lost_response_is_unknown => {
        for fault in [Fault::LoseResponseThenReplace(CLAIM), Fault::LoseRequestThenReplace(CLAIM)] {
            let store = FaultyStore::with_faults([fault]);
            let error = store.client().transact(RequestClass::Acceptance, &claim(CLAIM), LIMIT).await.unwrap_err();
            assert_eq!(error.kind, ErrorKind::StoreUnknown);
        }
    }

    // Guards against an unknown outcome although the table proves that nothing was written.
    fenced_write_after_lost_request_is_rejected => {
        let store = FaultyStore::with_faults([Fault::LoseRequestThenReplace("owner/rezekne")]);
        store.memory.apply(&Transaction::new().with_put("owner/rezekne", "{}").with_put("job/1", "{}"));
        let transaction = Transaction::new()
            .with_version("owner/rezekne", 1)
            .with_version("job/1", 1)
            .with_put("job/1", r#"{"state":"done"}"#);
        let outcome = store.client().transact(RequestClass::Progress, &transaction, LIMIT).await.unwrap();
        assert_eq!(outcome, TransactionOutcome::Rejected { failed_conditions: vec![0] });
        assert_eq!(store.value("job/1").as_deref(), Some("{}"));
    }

    // Guards against reporting "not run" at the deadline of a write whose response has not arrived.
    hanging_write_is_unknown_at_the_deadline => {
        let store = FaultyStore::with_faults((0..100).map(|_| Fault::Hang));
        for class in [RequestClass::Ownership, RequestClass::Acceptance] {
            let error = store.client().transact(class, &claim(CLAIM), SHORT).await.unwrap_err();
            assert_eq!(error.kind, ErrorKind::StoreUnknown);
        }
    }

    // Guards against an unknown outcome although every attempt failed without taking effect.
    store_down_is_unavailable_and_nothing_is_written_later => {
        let store = FaultyStore::with_faults([]);
        let client = store.client();
        store.is_down.set(true);
        let error = client.transact(RequestClass::Acceptance, &claim(CLAIM), SHORT).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::StoreUnavailable);
        let error = client.get(RequestClass::Acceptance, &[CLAIM.into()], SHORT).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::StoreUnavailable);
        store.is_down.set(false);
        assert!(is_committed(&client.transact(RequestClass::Acceptance, &claim("claim/a/2"), LIMIT).await.unwrap()));
        assert_eq!(store.value(CLAIM), None);
    }

    // Guards against a write that is sent with its batch after its caller has received "not run".
    write_past_its_deadline_is_not_sent_with_its_batch => {
        let store = FaultyStore::with_faults([]);
        let rate_limits = RateLimits { writes_per_second: [1, 1, 1, 1], ..RateLimits::default() };
        let client = StoreClient::with_rate_limits(Rc::clone(&store) as _, Rc::clone(&store) as _, rate_limits);
        // Consumes all tokens, so that the batch waits for about a second until it is admitted.
        client.transact(RequestClass::Audit, &claim("audit/1"), LIMIT).await.unwrap();
        let (short, long) = (claim("audit/2"), claim("audit/3"));
        let (short, long) = futures_util::future::join(
            client.transact(RequestClass::Audit, &short, SHORT),
            client.transact(RequestClass::Audit, &long, LIMIT),
        )
        .await;
        assert_eq!(short.unwrap_err().kind, ErrorKind::StoreUnavailable);
        assert!(is_committed(&long.unwrap()));
        assert_eq!(store.value("audit/2"), None);
    }

    // Guards against sending a request for every caller during an outage, and against a client that does not recover.
    breaker_limits_attempts_in_an_outage => {
        let store = FaultyStore::with_faults([]);
        let client = store.client();
        store.is_down.set(true);
        let transactions: Vec<_> = (0..500).map(|index| claim(&format!("claim/a/{index}"))).collect();
        let deadline = Duration::from_millis(800);
        let outcomes = join_all(transactions.iter().map(|t| client.transact(RequestClass::Acceptance, t, deadline))).await;
        assert!(outcomes.iter().all(|outcome| {
            outcome.as_ref().is_err_and(|error| error.kind == ErrorKind::StoreUnavailable)
        }));
        assert!(store.transactions.borrow().len() <= 20, "{:?}", store.transactions);
        store.is_down.set(false);
        assert!(is_committed(&client.transact(RequestClass::Acceptance, &claim(CLAIM), LIMIT).await.unwrap()));
    }

    // Guards against an ownership renewal that waits behind a burst of claims or for tokens.
    ownership_does_not_wait_behind_claims => {
        let store = FaultyStore::with_faults([]);
        let rate_limits = RateLimits { writes_per_second: [1, 1, 1, 1], ..RateLimits::default() };
        let client = StoreClient::with_rate_limits(Rc::clone(&store) as _, Rc::clone(&store) as _, rate_limits);
        let transactions: Vec<_> = (0..2000).map(|index| claim(&format!("claim/a/{index}"))).collect();
        let burst = join_all(transactions.iter().map(|t| client.transact(RequestClass::Acceptance, t, LIMIT)));
        let renewals = async {
            for index in 0..20 {
                let renewal = Transaction::new().with_put("owner/rezekne", format!(r#"{{"renewal":{index}}}"#));
                client.transact(RequestClass::Ownership, &renewal, LIMIT).await.unwrap();
            }
        };
        // The rate limit allows one write per second, so the burst of 20 batches is still waiting at the end.
        let first = select(renewals.boxed_local(), burst.boxed_local()).await;
        assert!(matches!(first, Either::Left(_)));
    }

    // Guards against a request class of low priority that consumes the tokens of one of higher priority.
    lower_classes_stay_within_their_rate_limit => {
        let store = FaultyStore::with_faults([]);
        let rate_limits = RateLimits { writes_per_second: [10, 1000, 10, 1], ..RateLimits::default() };
        let client = StoreClient::with_rate_limits(Rc::clone(&store) as _, Rc::clone(&store) as _, rate_limits);
        let started = Instant::now();
        for index in 0..4 {
            client.transact(RequestClass::Audit, &claim(&format!("audit/{index}")), LIMIT).await.unwrap();
        }
        assert!(started.elapsed() >= Duration::from_millis(2900), "{:?}", started.elapsed());
    }

    // Guards against writer tags that change what callers read.
    rows_read_back_as_written => {
        let store = FaultyStore::with_faults([]);
        let client = store.client();
        for (key, value) in [("a/1", "{}"), ("a/2", r#"{ "b" : 1 }"#), ("a/3", "[1]"), ("a/4", "{ }"), ("a/5", "")] {
            client.transact(RequestClass::Progress, &Transaction::new().with_put(key, value), LIMIT).await.unwrap();
            let rows = client.get(RequestClass::Progress, &[key.into()], LIMIT).await.unwrap();
            assert_eq!(&*rows[0].as_ref().unwrap().value, value);
        }
        let stored = store.value("a/2").unwrap();
        assert!(stored.starts_with(r#"{"writer":""#), "{stored}");
        let rows = client.scan(RequestClass::Progress, "a/", "a/1", 2, LIMIT).await.unwrap();
        assert_eq!(rows.iter().map(|row| &*row.key).collect::<Vec<_>>(), ["a/2", "a/3"]);
        assert_eq!(client.counters().of(RequestClass::Progress).reads, 6);
    }

    // Guards against accepting a transaction that exceeds the store's limit, so that every attempt would fail.
    oversized_transaction_is_rejected => {
        let store = FaultyStore::with_faults([]);
        let mut transaction = Transaction::new();
        for index in 0..101 {
            transaction = transaction.with_put(format!("a/{index}"), "{}");
        }
        let error = store.client().transact(RequestClass::Progress, &transaction, LIMIT).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::BadRequest);
    }
}
