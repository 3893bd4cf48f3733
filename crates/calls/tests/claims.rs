//! Tests that a request marked as non-repeatable runs at most once.

mod common;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use common::Agent;
use common::Backend;
use common::Behaviour;
use common::DropAfterPolls;
use common::FaultyStore;
use common::claims;
use common::client;
use common::eventually;
use common::key;
use common::key_of_age;
use common::non_repeatable;
use common::router;
use common::store::StoreFault;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_calls::CallMessage;
use nutmegwalk_calls::Claims;
use nutmegwalk_calls::ClaimsSettings;
use nutmegwalk_calls::CloseAnswer;
use nutmegwalk_calls::CloseMessage;
use nutmegwalk_calls::CommitMode;
use nutmegwalk_calls::Router;
use nutmegwalk_calls::RouterSettings;
use nutmegwalk_calls::new_attempt_id;
use nutmegwalk_net::Fault;
use nutmegwalk_net::LinkFaults;
use nutmegwalk_store::Transaction;

const HOUR: Duration = Duration::from_secs(3600);

struct Fixture {
    store: Rc<FaultyStore>,
    backend: Backend,
    agent: Agent,
}

impl Fixture {
    async fn start() -> Self {
        let backend = Backend::start().await;
        // The number of slots suffices for every test, so that no call is refused for lack of a slot.
        let agent = Agent::with_backend(&backend, 64).await;
        Self {
            store: Rc::default(),
            backend,
            agent,
        }
    }

    fn claims(&self) -> Claims {
        claims(&self.store, ClaimsSettings::default())
    }

    /// Returns a new entry host, which shares only the store with other entry hosts.
    fn router(&self) -> Router {
        router(&[&self.agent], Some(self.claims()))
    }

    fn claim_rows(&self) -> Vec<Box<str>> {
        let rows = self.store.memory.read_range("claim/", "", 1000);
        rows.into_iter().map(|row| row.value).collect()
    }

    fn has_completed_claim(&self) -> bool {
        self.claim_rows()
            .iter()
            .any(|row| row.contains("completed"))
    }

    fn message(&self, attempt: &str, body: &str) -> CallMessage {
        CallMessage {
            request_id: "req-1".into(),
            attempt: attempt.into(),
            agent_incarnation: self.agent.incarnation,
            deadline_ms: 20_000,
            customer: "valmiera".into(),
            service: "saw".into(),
            within_rate: false,
            claimed: true,
            method: "POST".into(),
            path: "/cut".into(),
            headers: Vec::new(),
            body: Bytes::from(body.to_string()),
        }
    }

    async fn close(&self, attempt: &str) -> CloseAnswer {
        let message = CloseMessage {
            attempt: attempt.into(),
            agent_incarnation: self.agent.incarnation,
            wait_ms: 20_000,
        };
        let client = client();
        let answer = client.send(self.agent.address, &message, common::TEST_TIMEOUT);
        answer.await.unwrap()
    }
}

/// Delays calls, but not `close`, from the entry host to the agent.
struct SlowCalls;

impl LinkFaults for SlowCalls {
    fn fault(&self, _from: &str, _to: std::net::SocketAddr, path: &str) -> Fault {
        if path == "/v1/call" {
            Fault::Delay(Duration::from_millis(500))
        } else {
            Fault::None
        }
    }
}

/// Loses the answers to calls, but not to `close`.
struct LostAnswers;

impl LinkFaults for LostAnswers {
    fn fault(&self, _from: &str, _to: std::net::SocketAddr, path: &str) -> Fault {
        if path == "/v1/call" {
            Fault::LoseAnswer
        } else {
            Fault::None
        }
    }
}

/// Sends `calls` concurrent duplicates of one request through `routers` and returns their outcomes.
async fn send_duplicates(fixture: &Fixture, routers: &[Router], calls: usize) -> Vec<Outcome> {
    let key = key("duplicates");
    fixture.backend.state.is_holding_requests.set(true);
    let mut tasks = Vec::new();
    for number in 0..calls {
        let router = routers[number % routers.len()].clone();
        let request = non_repeatable(&key, "plank");
        tasks.push(compio::runtime::spawn(
            async move { router.call(request).await },
        ));
    }
    eventually("the first call runs", || fixture.backend.requests() > 0).await;
    fixture.backend.state.is_holding_requests.set(false);
    let mut outcomes = Vec::new();
    for task in tasks {
        let answer = task.await.unwrap();
        if let Ok(answer) = &answer.result {
            assert_eq!(&*answer.body, b"plank");
        }
        outcomes.push(answer.outcome());
    }
    outcomes
}

cases! {
    // Guards against a repeat running again at another entry host.
    repeat_gets_the_stored_answer => {
        let fixture = Fixture::start().await;
        let key = key("a");
        let first = fixture.router();
        assert_eq!(first.call(non_repeatable(&key, "plank")).await.outcome(), Outcome::Done);
        first.idle().await;
        let repeat = fixture.router().call(non_repeatable(&key, "plank")).await;
        assert_eq!(&*repeat.result.unwrap().body, b"plank");
        assert_eq!(repeat.attempts, 0);
        assert_eq!(fixture.backend.runs_of("plank"), 1);
    }

    // Guards against two entry hosts, or two writes in one group commit, claiming the same key.
    concurrent_duplicates_run_once => {
        let fixture = Fixture::start().await;
        let routers = [fixture.router(), fixture.router()];
        let outcomes = send_duplicates(&fixture, &routers, 60).await;
        assert_eq!(fixture.backend.runs_of("plank"), 1);
        // All duplicates reach the claim, so none may end with the outcome "not run".
        assert!(!outcomes.contains(&Outcome::NotRun), "{outcomes:?}");
        assert!(outcomes.contains(&Outcome::Done));
    }

    // Guards against a duplicate running after another one was refused for lack of a slot.
    concurrent_duplicates_on_a_busy_server_run_once => {
        let mut fixture = Fixture::start().await;
        fixture.agent.restart(&fixture.backend, 4);
        let routers = [fixture.router(), fixture.router()];
        let outcomes = send_duplicates(&fixture, &routers, 60).await;
        assert_eq!(fixture.backend.runs_of("plank"), 1);
        assert!(outcomes.contains(&Outcome::Done));
    }

    // Guards against two entry hosts claiming the same key when each claim is written separately.
    concurrent_duplicates_run_once_with_single_writes => {
        let fixture = Fixture::start().await;
        let settings = ClaimsSettings { mode: CommitMode::Single, ..ClaimsSettings::default() };
        let router = |_| router(&[&fixture.agent], Some(claims(&fixture.store, settings)));
        let routers = [router(0), router(1)];
        send_duplicates(&fixture, &routers, 60).await;
        assert_eq!(fixture.backend.runs_of("plank"), 1);
    }

    // Guards against a repeat running again, or returning a wrong outcome, after the entry host crashed at
    // any step of its call.
    repeat_after_a_crash_at_each_step_runs_at_most_once => {
        let mut stages = BTreeSet::new();
        for seed in 0..120_u32 {
            let mut fixture = Fixture::start().await;
            fixture.store.latency.set(Duration::from_millis(1));
            let restarted = seed % 4 == 3;
            let key = key(&format!("seed{seed}"));
            let first = fixture.router();
            let call = first.call(non_repeatable(&key, "plank"));
            if DropAfterPolls::new(call, seed / 4 + 1).await.is_none() {
                stages.insert(match (fixture.claim_rows().len(), fixture.backend.requests()) {
                    (0, _) => "before the claim",
                    (_, 0) => "before the request",
                    _ => "after the request",
                });
            }
            if restarted {
                fixture.agent.restart(&fixture.backend, 64);
            }
            let answer = fixture.router().call(non_repeatable(&key, "plank")).await;
            let runs = fixture.backend.runs_of("plank");
            assert!(runs <= 1, "seed {seed}: ran {runs} times");
            match answer.outcome() {
                Outcome::Done => assert_eq!(runs, 1, "seed {seed}"),
                Outcome::NotRun => assert_eq!(runs, 0, "seed {seed}"),
                Outcome::Unknown => {
                    assert!(restarted, "seed {seed}: the agent has the outcome: {:?}", answer.result);
                }
            }
        }
        assert_eq!(stages.len(), 3, "the seeds do not reach every step: {stages:?}");
    }

    // Guards against an attempt running that a paused entry host sends after it was closed and its claim was
    // taken over.
    late_attempt_is_refused_after_takeover => {
        let fixture = Fixture::start().await;
        let slow = client().with_faults(Arc::new(SlowCalls));
        let paused = Router::new(slow, RouterSettings::new("centre-1", "region-1"), Some(fixture.claims()));
        paused.update_servers(vec![fixture.agent.entry()]);
        let key = key("late");
        let call = non_repeatable(&key, "plank");
        let late = compio::runtime::spawn(async move { paused.call(call).await });
        eventually("the claim is written", || !fixture.claim_rows().is_empty()).await;
        let other = fixture.router().call(non_repeatable(&key, "plank")).await;
        assert_eq!(&*other.result.unwrap().body, b"plank");
        let late = late.await.unwrap();
        assert_eq!(&*late.result.unwrap().body, b"plank");
        assert_eq!(fixture.backend.runs_of("plank"), 1);
    }

    // Guards against starting an attempt that arrives after it was closed.
    tombstone_refuses_the_attempt => {
        let fixture = Fixture::start().await;
        let attempt = new_attempt_id();
        assert!(matches!(fixture.close(&attempt).await, CloseAnswer::NotStarted));
        let message = fixture.message(&attempt, "plank");
        let reply = client().send(fixture.agent.address, &message, common::TEST_TIMEOUT).await.unwrap();
        assert_eq!(reply.result.unwrap_err().kind, ErrorKind::AttemptClosed);
        assert!(matches!(fixture.close(&attempt).await, CloseAnswer::NotStarted));
        assert_eq!(fixture.backend.requests(), 0);
    }

    // Guards against starting an attempt whose tombstone may have expired, or an attempt addressed to the
    // previous incarnation of a restarted agent.
    old_attempts_are_refused => {
        let fixture = Fixture::start().await;
        let old = key_of_age("old", HOUR);
        assert!(matches!(fixture.close(&old).await, CloseAnswer::Unknown));
        let mut other_incarnation = fixture.message(&new_attempt_id(), "plank");
        other_incarnation.agent_incarnation ^= 1;
        for (message, kind) in [
            (fixture.message(&old, "plank"), ErrorKind::AttemptClosed),
            (other_incarnation, ErrorKind::NoBackendServer),
        ] {
            let reply = client().send(fixture.agent.address, &message, common::TEST_TIMEOUT).await.unwrap();
            assert_eq!(reply.result.unwrap_err().kind, kind);
        }
        assert_eq!(fixture.backend.requests(), 0);
    }

    // Guards against abandoning a claim, or writing it twice, when the answer of the store is lost.
    lost_store_answer_is_read_back => {
        for fault in [StoreFault::LoseAnswer, StoreFault::LoseRequest, StoreFault::Down] {
            let fixture = Fixture::start().await;
            let router = fixture.router();
            fixture.store.fail_writes(&[Some(fault), Some(fault)]);
            let answer = router.call(non_repeatable(&key("lost"), "plank")).await;
            assert_eq!(answer.outcome(), Outcome::Done, "{fault:?}: {:?}", answer.result);
            router.idle().await;
            assert_eq!(fixture.backend.runs_of("plank"), 1);
            assert!(fixture.has_completed_claim());
        }
    }

    // Guards against running a call without a claim while the store is down, and against the outcome "not
    // run" for a key of which an earlier submission may have run.
    call_does_not_run_while_the_store_is_down_and_is_unknown => {
        for fault in [StoreFault::Down, StoreFault::LoseRequest, StoreFault::Hang] {
            let fixture = Fixture::start().await;
            fixture.store.default_fault.set(Some(fault));
            let mut call = non_repeatable(&key("down"), "plank");
            call.deadline = Duration::from_millis(300);
            let answer = fixture.router().call(call).await;
            let error = answer.result.unwrap_err();
            assert_eq!(error.kind, ErrorKind::StoreUnknown, "{fault:?}: {error}");
            assert_eq!(error.outcome(), Outcome::Unknown);
            assert_eq!(fixture.backend.requests(), 0);
        }
    }

    // Guards against the outcome "not run" for a repeat while the store is down, after the first submission
    // ran.
    repeat_while_the_store_is_down_is_unknown => {
        let fixture = Fixture::start().await;
        let router = fixture.router();
        let key = key("ran");
        assert_eq!(router.call(non_repeatable(&key, "plank")).await.outcome(), Outcome::Done);
        router.idle().await;
        fixture.store.default_fault.set(Some(StoreFault::Down));
        let mut call = non_repeatable(&key, "plank");
        call.deadline = Duration::from_millis(300);
        let answer = fixture.router().call(call).await;
        assert_eq!(answer.outcome(), Outcome::Unknown, "{:?}", answer.result);
        assert_eq!(fixture.backend.requests(), 1);
    }

    // Guards against the caller waiting for the write of its answer, and against losing the answer when the
    // store is down at that moment.
    answer_is_written_when_the_store_has_recovered => {
        let fixture = Fixture::start().await;
        let router = fixture.router();
        fixture.backend.state.is_holding_requests.set(true);
        let key = key("recovered");
        let (caller, call) = (router.clone(), non_repeatable(&key, "plank"));
        let call = compio::runtime::spawn(async move { caller.call(call).await });
        eventually("the call runs", || fixture.backend.requests() > 0).await;
        fixture.store.default_fault.set(Some(StoreFault::Down));
        fixture.backend.state.is_holding_requests.set(false);
        assert_eq!(call.await.unwrap().outcome(), Outcome::Done);
        let before = fixture.store.transactions.get();
        eventually("the write is retried", || fixture.store.transactions.get() > before + 1).await;
        assert!(!fixture.has_completed_claim());
        fixture.store.default_fault.set(None);
        router.idle().await;
        assert!(fixture.has_completed_claim());
    }

    // Guards against the outcome "unknown" for a call whose answer was lost but is kept by the agent.
    lost_answer_is_fetched_by_close => {
        let fixture = Fixture::start().await;
        let lossy = client().with_faults(Arc::new(LostAnswers));
        let settings = RouterSettings::new("centre-1", "region-1");
        let router = Router::new(lossy, settings, Some(fixture.claims()));
        router.update_servers(vec![fixture.agent.entry()]);
        let answer = router.call(non_repeatable(&key("lossy"), "plank")).await;
        assert_eq!(&*answer.result.unwrap().body, b"plank");
        assert_eq!(fixture.backend.runs_of("plank"), 1);
    }

    // Guards against a request running again after a restart of the agent, which loses its records.
    restarted_agent_makes_the_outcome_unknown => {
        let mut fixture = Fixture::start().await;
        let router = fixture.router();
        fixture.backend.set_behaviour(Behaviour::Truncated);
        let key = key("restart");
        assert_eq!(router.call(non_repeatable(&key, "plank")).await.outcome(), Outcome::Unknown);
        fixture.backend.set_behaviour(Behaviour::Echo);
        fixture.agent.restart(&fixture.backend, 64);
        assert_eq!(fixture.router().call(non_repeatable(&key, "plank")).await.outcome(), Outcome::Unknown);
        assert_eq!(fixture.backend.runs_of("plank"), 1);
    }

    // Guards against answering or running another request under a key that is in use.
    key_reused_for_another_request_is_refused => {
        let fixture = Fixture::start().await;
        let router = fixture.router();
        let key = key("reused");
        assert_eq!(router.call(non_repeatable(&key, "plank")).await.outcome(), Outcome::Done);
        let error = router.call(non_repeatable(&key, "board")).await.result.unwrap_err();
        assert_eq!(error.kind, ErrorKind::KeyReused);
        assert_eq!(fixture.backend.requests(), 1);
    }

    // Guards against running a request whose key is malformed or so old that its record may have been removed.
    key_format_and_age_are_checked => {
        let fixture = Fixture::start().await;
        let router = fixture.router();
        let old = key_of_age("old", 25 * HOUR);
        let future = format!("{}0-x", key("x").split_once('-').unwrap().0);
        for (key, kind) in [
            (&*old, ErrorKind::KeyExpired),
            (&*future, ErrorKind::BadRequest),
            ("no-time", ErrorKind::BadRequest),
            ("1/../x", ErrorKind::BadRequest),
            ("", ErrorKind::BadRequest),
        ] {
            let error = router.call(non_repeatable(key, "plank")).await.result.unwrap_err();
            assert_eq!(error.kind, kind, "{key}");
        }
        let recent = key_of_age("recent", 23 * HOUR);
        assert_eq!(router.call(non_repeatable(&recent, "plank")).await.outcome(), Outcome::Done);
        assert_eq!(fixture.backend.requests(), 1);
    }

    // Guards against large answers filling the table.
    large_answer_goes_to_the_object_store => {
        let fixture = Fixture::start().await;
        let router = fixture.router();
        fixture.backend.set_behaviour(Behaviour::Large(100_000));
        let key = key("large");
        let answer = router.call(non_repeatable(&key, "plank")).await.result.unwrap();
        router.idle().await;
        assert!(fixture.claim_rows()[0].len() < 1000);
        let repeat = fixture.router().call(non_repeatable(&key, "plank")).await.result.unwrap();
        assert_eq!(repeat, answer);
        assert_eq!(fixture.backend.requests(), 1);
    }

    // Guards against the outcome "not run" for a refused repeat of a request that ran before.
    refused_repeat_returns_the_answer_of_the_earlier_run => {
        let fixture = Fixture::start().await;
        let router = fixture.router();
        let key = key("refused");
        assert_eq!(router.call(non_repeatable(&key, "plank")).await.outcome(), Outcome::Done);
        router.idle().await;
        router.update_servers(Vec::new());
        let repeat = router.call(non_repeatable(&key, "plank")).await;
        assert_eq!(&*repeat.result.unwrap().body, b"plank");
        let other = router.call(non_repeatable(&common::key("other"), "plank")).await;
        assert_eq!(other.result.unwrap_err().kind, ErrorKind::NoBackendServer);
        assert_eq!(fixture.backend.requests(), 1);
    }

    // Guards against a refused call leaving a claim whose outcome no later repeat can determine.
    refused_call_releases_its_claim => {
        let fixture = Fixture::start().await;
        let router = fixture.router();
        let entry = fixture.agent.entry();
        let mut unreachable = entry.clone();
        // Nothing listens at this address, and no other test uses it.
        unreachable.agent_address = "127.66.66.66:9".parse().unwrap();
        router.update_servers(vec![unreachable]);
        let key = key("released");
        let refused = router.call(non_repeatable(&key, "plank")).await;
        assert_eq!(refused.outcome(), Outcome::NotRun, "{:?}", refused.result);
        router.update_servers(vec![entry]);
        let repeat = router.call(non_repeatable(&key, "plank")).await;
        assert_eq!(repeat.outcome(), Outcome::Done, "{:?}", repeat.result);
        assert_eq!(fixture.backend.runs_of("plank"), 1);
    }

    // Guards against a group commit that fails as a whole because one of its keys is claimed already, and
    // against a separate write for each claim.
    group_commit_shares_writes => {
        let fixture = Fixture::start().await;
        fixture.store.latency.set(Duration::from_millis(5));
        let router = fixture.router();
        let taken = key("taken");
        assert_eq!(router.call(non_repeatable(&taken, "plank")).await.outcome(), Outcome::Done);
        router.idle().await;
        let before = fixture.store.transactions.get();
        let mut tasks = Vec::new();
        for number in 0..16 {
            let router = router.clone();
            let key = if number == 7 { taken.clone() } else { key(&format!("group{number}")) };
            tasks.push(compio::runtime::spawn(async move { router.call(non_repeatable(&key, "plank")).await }));
        }
        for task in tasks {
            let answer = task.await.unwrap();
            assert_eq!(answer.outcome(), Outcome::Done, "{:?}", answer.result);
        }
        router.idle().await;
        assert_eq!(fixture.backend.requests(), 16);
        let transactions = fixture.store.transactions.get() - before;
        assert!(transactions < 30, "{transactions} transactions for 30 rows");
    }

    // Guards against keeping rows of claims forever, and against removing a row while its key is valid.
    old_rows_are_removed => {
        let fixture = Fixture::start().await;
        let claims = fixture.claims();
        let old = key_of_age("old", 49 * HOUR);
        let recent = key_of_age("recent", 47 * HOUR);
        for key in [&old, &recent] {
            let row = Transaction::new().with_put(format!("claim/valmiera/{key}"), "{}");
            fixture.store.memory.apply(&row);
        }
        assert_eq!(claims.remove_expired("valmiera").await.unwrap(), 1);
        assert_eq!(fixture.claim_rows().len(), 1);
        assert_eq!(claims.remove_expired("valmiera").await.unwrap(), 0);
    }

    // Guards against treating a key with a malformed row as not claimed.
    malformed_claim_is_unknown => {
        let fixture = Fixture::start().await;
        let key = key("unreadable");
        let row = Transaction::new().with_put(format!("claim/valmiera/{key}"), "{");
        fixture.store.memory.apply(&row);
        assert_eq!(fixture.router().call(non_repeatable(&key, "plank")).await.outcome(), Outcome::Unknown);
        assert_eq!(fixture.backend.requests(), 0);
    }
}
