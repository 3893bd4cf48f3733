//! Tests of the slots, the queue and the life cycle of the backend server of an agent.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::Agent;
use common::Backend;
use common::Behaviour;
use common::TEST_TIMEOUT;
use common::client;
use common::eventually;
use http::Method;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::Result;
use nutmegwalk_base::new_incarnation;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_calls::BackendAnswer;
use nutmegwalk_calls::CallMessage;
use nutmegwalk_calls::SlotSettings;
use nutmegwalk_calls::new_attempt_id;
use nutmegwalk_net::Client;

type Task = compio::runtime::JoinHandle<Result<BackendAnswer, Error>>;

fn message(agent: &Agent, body: &str) -> CallMessage {
    CallMessage {
        request_id: "req-1".into(),
        attempt: new_attempt_id(),
        agent_incarnation: agent.incarnation,
        deadline_ms: 30_000,
        customer: "valmiera".into(),
        service: "saw".into(),
        within_rate: false,
        claimed: false,
        method: "POST".into(),
        path: "/cut".into(),
        headers: Vec::new(),
        body: Bytes::from(body.to_string()),
    }
}

fn send(agent: &Agent, message: CallMessage) -> Task {
    let address = agent.address;
    compio::runtime::spawn(async move {
        let reply = client().send(address, &message, TEST_TIMEOUT).await?;
        assert_eq!(reply.attempt, message.attempt);
        reply.result
    })
}

async fn queued(agent: &Agent, count: u32) {
    eventually("calls wait", || {
        agent.slots.report().unwrap().load.queued == count
    })
    .await;
}

async fn running(backend: &Backend, count: u32) {
    eventually("calls run", || backend.state.running.get() == count).await;
}

cases! {
    // Guards against calls of unauthenticated peers, and against announcements that divert calls or are
    // invalid.
    unauthenticated_calls_and_invalid_announcements_are_refused => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 8).await;
        let unauthenticated = Client::new("stranger", Secret::new("wrong")).unwrap();
        let error = unauthenticated.send(agent.address, &message(&agent, "x"), TEST_TIMEOUT).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::Unauthenticated);
        let announce = async |text: String| {
            let path = "/v1/backend-server";
            let client = client();
            let response = client.request(Method::PUT, agent.address, path, &[], text.into(), TEST_TIMEOUT);
            response.await.unwrap().status
        };
        let good = serde_json::to_string(&backend.announcement(4)).unwrap();
        assert_eq!(announce(good.clone()).await, 200);
        assert_eq!(announce(good.replace("127.0.0.1", "192.0.2.1")).await, 403);
        assert_eq!(announce(good.replace("\"slots\":4", "\"slots\":0")).await, 400);
        assert_eq!(announce(good.replace("\"slots\":4", "\"slots\":4000000000")).await, 400);
        assert_eq!(announce("{".into()).await, 400);
        assert_eq!(agent.slots.report().unwrap().load.slots, 4);
        assert_eq!(backend.requests(), 0);
    }

    // Guards against more concurrent calls than the server has slots, and against an unbounded queue.
    slots_and_queue_are_bounded => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 4).await;
        backend.state.is_holding_requests.set(true);
        let accepted: Vec<Task> = (0..20).map(|_| send(&agent, message(&agent, "accepted"))).collect();
        queued(&agent, 16).await;
        running(&backend, 4).await;
        let error = send(&agent, message(&agent, "refused")).await.unwrap().unwrap_err();
        assert_eq!(error.kind, ErrorKind::Overloaded);
        assert!(error.retry_after_ms.is_some());
        backend.state.is_holding_requests.set(false);
        for call in accepted {
            call.await.unwrap().unwrap();
        }
        assert_eq!(backend.state.max_running.get(), 4);
        assert_eq!(backend.runs_of("refused"), 0);
        assert_eq!(agent.slots.counts().forwarded, 20);
        assert!(backend.state.connections.get() <= 4);
    }

    // Guards against queueing a call whose deadline cannot be met, and against starting a call after its
    // deadline.
    calls_that_cannot_meet_their_deadline_are_not_started => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 1).await;
        backend.state.delay.set(Duration::from_millis(300));
        for _ in 0..3 {
            send(&agent, message(&agent, "slow")).await.unwrap().unwrap();
        }
        backend.state.is_holding_requests.set(true);
        let first = send(&agent, message(&agent, "first"));
        running(&backend, 1).await;
        // The observed service time is at least 300 ms, and another call is running.
        let mut refused = message(&agent, "refused");
        refused.deadline_ms = 300;
        let error = send(&agent, refused).await.unwrap().unwrap_err();
        assert_eq!(error.kind, ErrorKind::Overloaded);
        let mut expired = message(&agent, "expired");
        expired.deadline_ms = 2_000;
        let error = send(&agent, expired).await.unwrap().unwrap_err();
        assert_eq!(error.outcome(), Outcome::NotRun);
        backend.state.is_holding_requests.set(false);
        first.await.unwrap().unwrap();
        assert_eq!(backend.runs_of("refused") + backend.runs_of("expired"), 0);
    }

    // Guards against calls beyond their customer's rate blocking calls within their customer's rate.
    calls_within_rate_are_served_first => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 1).await;
        backend.state.is_holding_requests.set(true);
        let first = send(&agent, message(&agent, "first"));
        running(&backend, 1).await;
        let beyond: Vec<Task> = (0..16).map(|_| send(&agent, message(&agent, "beyond"))).collect();
        queued(&agent, 16).await;
        let mut within = message(&agent, "within");
        within.within_rate = true;
        let within = send(&agent, within);
        let mut results = Vec::new();
        let mut beyond = beyond.into_iter();
        // Exactly one call is evicted from the queue; all calls must end before it can be identified.
        eventually("a call is evicted", || agent.slots.counts().not_run == 1).await;
        queued(&agent, 16).await;
        backend.state.is_holding_requests.set(false);
        first.await.unwrap().unwrap();
        within.await.unwrap().unwrap();
        assert!(backend.requests() <= 4, "the call within its rate waited for {}", backend.requests());
        for call in beyond.by_ref() {
            results.push(call.await.unwrap());
        }
        let evicted: Vec<_> = results.iter().filter_map(|result| result.as_ref().err()).collect();
        assert_eq!(evicted.len(), 1);
        assert_eq!(evicted[0].kind, ErrorKind::Overloaded);
        assert_eq!(backend.runs_of("beyond"), 15);
    }

    // Guards against new calls to a leaving server, against losing calls that were accepted before, and
    // against an older heartbeat that arrives late clearing the flag `leaving`.
    leaving_server_gets_no_new_call => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 1).await;
        backend.state.is_holding_requests.set(true);
        let accepted: Vec<Task> = (0..3).map(|_| send(&agent, message(&agent, "accepted"))).collect();
        queued(&agent, 2).await;
        let mut leaving = backend.announcement(1);
        leaving.leaving = true;
        agent.slots.announce(leaving).unwrap();
        agent.slots.announce(backend.announcement(1)).unwrap();
        assert!(agent.slots.report().unwrap().leaving);
        let error = send(&agent, message(&agent, "late")).await.unwrap().unwrap_err();
        assert_eq!(error.outcome(), Outcome::NotRun);
        backend.state.is_holding_requests.set(false);
        for call in accepted {
            call.await.unwrap().unwrap();
        }
        assert_eq!(backend.runs_of("late"), 0);
    }

    // Guards against calls to the previous incarnation of a server waiting for its slots.
    new_incarnation_refuses_calls_that_wait_for_the_previous_one => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 1).await;
        backend.state.is_holding_requests.set(true);
        let first = send(&agent, message(&agent, "first"));
        running(&backend, 1).await;
        let waiting = send(&agent, message(&agent, "waiting"));
        queued(&agent, 1).await;
        let mut next = backend.announcement(1);
        next.incarnation = new_incarnation();
        agent.slots.announce(next.clone()).unwrap();
        let error = waiting.await.unwrap().unwrap_err();
        assert_eq!(error.outcome(), Outcome::NotRun);
        assert_eq!(agent.slots.report().unwrap().server_incarnation, next.incarnation);
        assert_eq!(agent.slots.report().unwrap().load.in_use, 0);
        backend.state.is_holding_requests.set(false);
        first.await.unwrap().unwrap();
        send(&agent, message(&agent, "second")).await.unwrap().unwrap();
    }

    // Guards against calls to a server that no longer sends announcements.
    server_without_recent_announcement_is_not_used => {
        let backend = Backend::start().await;
        let settings = SlotSettings { announcement_timeout: Duration::from_millis(100), ..SlotSettings::default() };
        let agent = Agent::start_with("127.0.0.1:0".parse().unwrap(), settings).await;
        agent.slots.announce(backend.announcement(8)).unwrap();
        eventually("the announcement has timed out", || agent.slots.report().is_none()).await;
        let error = send(&agent, message(&agent, "late")).await.unwrap().unwrap_err();
        assert_eq!(error.kind, ErrorKind::NoBackendServer);
        agent.slots.announce(backend.announcement(8)).unwrap();
        assert!(agent.slots.report().is_some());
    }

    // Guards against a planned stop of the agent aborting a call.
    drain_aborts_no_call => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 1).await;
        backend.state.is_holding_requests.set(true);
        let mut claimed = message(&agent, "claimed");
        claimed.claimed = true;
        let accepted = [send(&agent, claimed), send(&agent, message(&agent, "accepted"))];
        queued(&agent, 1).await;
        agent.slots.drain();
        assert!(agent.slots.report().unwrap().leaving);
        let error = send(&agent, message(&agent, "late")).await.unwrap().unwrap_err();
        assert_eq!(error.kind, ErrorKind::Draining);
        backend.state.is_holding_requests.set(false);
        agent.slots.idle().await;
        agent.stop().await;
        for call in accepted {
            call.await.unwrap().unwrap();
        }
        assert_eq!(backend.requests(), 2);
    }

    // Guards against a call that the entry host has abandoned keeping its slot.
    abandoned_call_releases_its_slot => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 1).await;
        backend.set_behaviour(Behaviour::NoAnswer);
        let abandoned = send(&agent, message(&agent, "abandoned"));
        running(&backend, 0).await;
        eventually("the call is sent", || backend.requests() == 1).await;
        drop(abandoned);
        eventually("the slot is free", || agent.slots.report().unwrap().load.in_use == 0).await;
        backend.set_behaviour(Behaviour::Echo);
        send(&agent, message(&agent, "next")).await.unwrap().unwrap();
    }

    // Guards against extreme deadlines and times or malformed requests stopping the agent.
    extreme_numbers_and_malformed_requests_are_handled => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 1).await;
        let mut endless = message(&agent, "endless");
        endless.deadline_ms = u64::MAX;
        endless.claimed = true;
        send(&agent, endless).await.unwrap().unwrap();
        let mut future = message(&agent, "odd");
        future.attempt = format!("{}-x", u64::MAX).into();
        future.claimed = true;
        let error = send(&agent, future).await.unwrap().unwrap_err();
        assert_eq!(error.kind, ErrorKind::AttemptClosed);
        for (method, path, attempt) in [
            ("CONNECT", "/", "1-x"),
            ("PO ST", "/", "1-x"),
            ("POST", "no path\r\n", "1-x"),
            ("POST", "/", "1\r\nx: y"),
        ] {
            let mut malformed = message(&agent, "malformed");
            malformed.method = method.into();
            malformed.path = path.into();
            malformed.attempt = attempt.into();
            let error = send(&agent, malformed).await.unwrap().unwrap_err();
            assert_eq!(error.kind, ErrorKind::BadRequest, "{method} {path} {attempt}");
        }
        assert_eq!(backend.requests(), 1);
    }
}
