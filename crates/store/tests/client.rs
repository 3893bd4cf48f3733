//! Tests of batching, repeats, read-back, rate limits and priorities of the store client.

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
use nutmegwalk_store::Duty;
use nutmegwalk_store::RateLimits;
use nutmegwalk_store::StoreClient;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;

/// Generous limit for a request that is expected to succeed.
const LIMIT: Duration = Duration::from_secs(30);
/// Deadline of a request that is expected to reach it.
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
    // Guards against one write to the store for each claim of a burst.
    burst_shares_transactions => {
        let store = FaultyStore::with_faults([]);
        let client = store.client();
        let transactions: Vec<_> = (0..250).map(|index| claim(&format!("claim/a/{index}"))).collect();
        let outcomes = join_all(transactions.iter().map(|t| client.transact(Duty::Acceptance, t, LIMIT))).await;
        assert!(outcomes.iter().all(|outcome| is_committed(outcome.as_ref().unwrap())));
        assert_eq!(store.transactions.borrow().iter().sum::<usize>(), 250);
        assert!(store.transactions.borrow().len() <= 4, "{:?}", store.transactions);
        assert_eq!(client.counters().of(Duty::Acceptance).committed, 250);
        assert_eq!(client.counters().total().writes, store.transactions.borrow().len() as u64);
    }

    // Guards against one failed condition failing the other transactions of its batch.
    failed_condition_leaves_the_others_alone => {
        let store = FaultyStore::with_faults([]);
        store.memory.apply(&claim("claim/a/3"));
        store.memory.apply(&claim("claim/a/7"));
        let client = store.client();
        let transactions: Vec<_> = (0..10)
            .map(|index| claim(&format!("claim/a/{index}")).with_absent("never"))
            .collect();
        let outcomes = join_all(transactions.iter().map(|t| client.transact(Duty::Acceptance, t, LIMIT))).await;
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

    // Guards against two claims of one key in one transaction, whose conditions would both hold.
    dependent_transactions_are_kept_apart => {
        let store = FaultyStore::with_faults([]);
        let client = store.client();
        let transaction = claim(CLAIM);
        let outcomes = join_all((0..8).map(|_| client.transact(Duty::Acceptance, &transaction, LIMIT))).await;
        let committed = outcomes.iter().filter(|outcome| is_committed(outcome.as_ref().unwrap())).count();
        assert_eq!(committed, 1);
    }

    // Guards against a claim that is refused because of the client's own earlier write.
    own_write_with_lost_answer_is_success => {
        let store = FaultyStore::with_faults([Fault::LoseAnswer]);
        let client = store.client();
        assert!(is_committed(&client.transact(Duty::Acceptance, &claim(CLAIM), LIMIT).await.unwrap()));
        assert_eq!(store.transactions.borrow().len(), 1);
    }

    // Guards against a lost request that is never sent again.
    lost_request_is_repeated => {
        let store = FaultyStore::with_faults([Fault::LoseRequest, Fault::Unavailable, Fault::LoseRequest]);
        let client = store.client();
        assert!(is_committed(&client.transact(Duty::Acceptance, &claim(CLAIM), LIMIT).await.unwrap()));
        assert_eq!(store.transactions.borrow().len(), 4);
    }

    // Guards against "not run" for a write that took effect and was then replaced by another writer.
    replaced_write_with_lost_answer_is_unknown => {
        for fault in [Fault::LoseAnswerThenReplace(CLAIM), Fault::LoseRequestThenReplace(CLAIM)] {
            let store = FaultyStore::with_faults([fault]);
            let error = store.client().transact(Duty::Acceptance, &claim(CLAIM), LIMIT).await.unwrap_err();
            assert_eq!(error.kind, ErrorKind::StoreUnknown);
        }
    }

    // Guards against an unknown result where the table still shows that nothing was written.
    fenced_write_after_lost_request_is_rejected => {
        let store = FaultyStore::with_faults([Fault::LoseRequestThenReplace("owner/rezekne")]);
        store.memory.apply(&Transaction::new().with_put("owner/rezekne", "{}").with_put("job/1", "{}"));
        let transaction = Transaction::new()
            .with_version("owner/rezekne", 1)
            .with_version("job/1", 1)
            .with_put("job/1", r#"{"state":"done"}"#);
        let outcome = store.client().transact(Duty::Progress, &transaction, LIMIT).await.unwrap();
        assert_eq!(outcome, TransactionOutcome::Rejected { failed_conditions: vec![0] });
        assert_eq!(store.value("job/1").as_deref(), Some("{}"));
    }

    // Guards against "not run" at the deadline of a write whose answer did not come.
    hanging_write_is_unknown_at_the_deadline => {
        let store = FaultyStore::with_faults((0..100).map(|_| Fault::Hang));
        for duty in [Duty::Ownership, Duty::Acceptance] {
            let error = store.client().transact(duty, &claim(CLAIM), SHORT).await.unwrap_err();
            assert_eq!(error.kind, ErrorKind::StoreUnknown);
        }
    }

    // Guards against an unknown outcome where every attempt was refused.
    store_down_is_unavailable_and_nothing_is_written_later => {
        let store = FaultyStore::with_faults([]);
        let client = store.client();
        store.down.set(true);
        let error = client.transact(Duty::Acceptance, &claim(CLAIM), SHORT).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::StoreUnavailable);
        let error = client.get(Duty::Acceptance, &[CLAIM.into()], SHORT).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::StoreUnavailable);
        store.down.set(false);
        assert!(is_committed(&client.transact(Duty::Acceptance, &claim("claim/a/2"), LIMIT).await.unwrap()));
        assert_eq!(store.value(CLAIM), None);
    }

    // Guards against a write that is sent, with its batch, after its caller was told "not run".
    write_past_its_deadline_is_not_sent_with_its_batch => {
        let store = FaultyStore::with_faults([]);
        let rate_limits = RateLimits { writes_per_second: [1, 1, 1, 1], ..RateLimits::default() };
        let client = StoreClient::with_rate_limits(Rc::clone(&store) as _, Rc::clone(&store) as _, rate_limits);
        // Uses up the budget, so that the batch waits about a second for its admission.
        client.transact(Duty::Audit, &claim("audit/1"), LIMIT).await.unwrap();
        let (hasty, patient) = (claim("audit/2"), claim("audit/3"));
        let (hasty, patient) = futures_util::future::join(
            client.transact(Duty::Audit, &hasty, SHORT),
            client.transact(Duty::Audit, &patient, LIMIT),
        )
        .await;
        assert_eq!(hasty.unwrap_err().kind, ErrorKind::StoreUnavailable);
        assert!(is_committed(&patient.unwrap()));
        assert_eq!(store.value("audit/2"), None);
    }

    // Guards against an outage that is met with a request for every caller, and against no return.
    breaker_limits_attempts_in_an_outage => {
        let store = FaultyStore::with_faults([]);
        let client = store.client();
        store.down.set(true);
        let transactions: Vec<_> = (0..500).map(|index| claim(&format!("claim/a/{index}"))).collect();
        let deadline = Duration::from_millis(800);
        let outcomes = join_all(transactions.iter().map(|t| client.transact(Duty::Acceptance, t, deadline))).await;
        assert!(outcomes.iter().all(|outcome| {
            outcome.as_ref().is_err_and(|error| error.kind == ErrorKind::StoreUnavailable)
        }));
        assert!(store.transactions.borrow().len() <= 20, "{:?}", store.transactions);
        store.down.set(false);
        assert!(is_committed(&client.transact(Duty::Acceptance, &claim(CLAIM), LIMIT).await.unwrap()));
    }

    // Guards against an ownership renewal that waits behind a burst of claims or an empty budget.
    ownership_does_not_wait_behind_claims => {
        let store = FaultyStore::with_faults([]);
        let rate_limits = RateLimits { writes_per_second: [1, 1, 1, 1], ..RateLimits::default() };
        let client = StoreClient::with_rate_limits(Rc::clone(&store) as _, Rc::clone(&store) as _, rate_limits);
        let transactions: Vec<_> = (0..2000).map(|index| claim(&format!("claim/a/{index}"))).collect();
        let burst = join_all(transactions.iter().map(|t| client.transact(Duty::Acceptance, t, LIMIT)));
        let renewals = async {
            for index in 0..20 {
                let renewal = Transaction::new().with_put("owner/rezekne", format!(r#"{{"renewal":{index}}}"#));
                client.transact(Duty::Ownership, &renewal, LIMIT).await.unwrap();
            }
        };
        // The budget allows a write a second, so the burst of 20 batches is still waiting at the end.
        let first = select(renewals.boxed_local(), burst.boxed_local()).await;
        assert!(matches!(first, Either::Left(_)));
    }

    // Guards against a duty of low priority that spends the budget of a higher one.
    lower_duties_keep_to_their_budget => {
        let store = FaultyStore::with_faults([]);
        let rate_limits = RateLimits { writes_per_second: [10, 1000, 10, 1], ..RateLimits::default() };
        let client = StoreClient::with_rate_limits(Rc::clone(&store) as _, Rc::clone(&store) as _, rate_limits);
        let started = Instant::now();
        for index in 0..4 {
            client.transact(Duty::Audit, &claim(&format!("audit/{index}")), LIMIT).await.unwrap();
        }
        assert!(started.elapsed() >= Duration::from_millis(2900), "{:?}", started.elapsed());
    }

    // Guards against the writer tag changing what callers read.
    rows_read_back_as_written => {
        let store = FaultyStore::with_faults([]);
        let client = store.client();
        for (key, value) in [("a/1", "{}"), ("a/2", r#"{ "b" : 1 }"#), ("a/3", "[1]"), ("a/4", "{ }"), ("a/5", "")] {
            client.transact(Duty::Progress, &Transaction::new().with_put(key, value), LIMIT).await.unwrap();
            let rows = client.get(Duty::Progress, &[key.into()], LIMIT).await.unwrap();
            assert_eq!(&*rows[0].as_ref().unwrap().value, value);
        }
        let stored = store.value("a/2").unwrap();
        assert!(stored.starts_with(r#"{"writer":""#), "{stored}");
        let rows = client.scan(Duty::Progress, "a/", "a/1", 2, LIMIT).await.unwrap();
        assert_eq!(rows.iter().map(|row| &*row.key).collect::<Vec<_>>(), ["a/2", "a/3"]);
        assert_eq!(client.counters().of(Duty::Progress).reads, 6);
    }

    // Guards against a transaction that no attempt could carry out.
    oversized_transaction_is_refused => {
        let store = FaultyStore::with_faults([]);
        let mut transaction = Transaction::new();
        for index in 0..101 {
            transaction = transaction.with_put(format!("a/{index}"), "{}");
        }
        let error = store.client().transact(Duty::Progress, &transaction, LIMIT).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::BadRequest);
    }
}
