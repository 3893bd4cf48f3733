//! Tests of the slots, the queue and the life cycle of the backend server beside an agent.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::Agent;
use common::Backend;
use common::Behaviour;
use common::GENEROUS;
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
        let reply = client().send(address, &message, GENEROUS).await?;
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
    // Guards against calls by strangers, and against announcements that divert or break the agent.
    strangers_are_refused => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 8).await;
        let stranger = Client::new("stranger", Secret::new("wrong")).unwrap();
        let error = stranger.send(agent.address, &message(&agent, "x"), GENEROUS).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::Unauthenticated);
        let announce = async |text: String| {
            let path = "/v1/backend-server";
            let client = client();
            let response = client.request(Method::PUT, agent.address, path, &[], text.into(), GENEROUS);
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

    // Guards against more calls at once than the server has slots, and against a queue without bound.
    slots_and_queue_are_bounded => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 4).await;
        backend.state.held.set(true);
        let accepted: Vec<Task> = (0..20).map(|_| send(&agent, message(&agent, "accepted"))).collect();
        queued(&agent, 16).await;
        running(&backend, 4).await;
        let error = send(&agent, message(&agent, "refused")).await.unwrap().unwrap_err();
        assert_eq!(error.kind, ErrorKind::Overloaded);
        assert!(error.retry_after_ms.is_some());
        backend.state.held.set(false);
        for call in accepted {
            call.await.unwrap().unwrap();
        }
        assert_eq!(backend.state.most_running.get(), 4);
        assert_eq!(backend.runs_of("refused"), 0);
        assert_eq!(agent.slots.counts().forwarded, 20);
        assert!(backend.state.connections.get() <= 4);
    }

    // Guards against a call waiting although its deadline cannot be met, and against a call that is
    // started after its deadline.
    deadlines_in_the_queue => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 1).await;
        backend.state.delay.set(Duration::from_millis(300));
        for _ in 0..3 {
            send(&agent, message(&agent, "slow")).await.unwrap().unwrap();
        }
        backend.state.held.set(true);
        let first = send(&agent, message(&agent, "first"));
        running(&backend, 1).await;
        // The observed service time is at least 300 ms, and a call is ahead.
        let mut hurried = message(&agent, "hurried");
        hurried.deadline_ms = 300;
        let error = send(&agent, hurried).await.unwrap().unwrap_err();
        assert_eq!(error.kind, ErrorKind::Overloaded);
        let mut patient = message(&agent, "patient");
        patient.deadline_ms = 2_000;
        let error = send(&agent, patient).await.unwrap().unwrap_err();
        assert_eq!(error.outcome(), Outcome::NotRun);
        backend.state.held.set(false);
        first.await.unwrap().unwrap();
        assert_eq!(backend.runs_of("hurried") + backend.runs_of("patient"), 0);
    }

    // Guards against calls beyond their customer's rate keeping out those within theirs.
    calls_within_rate_come_first => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 1).await;
        backend.state.held.set(true);
        let first = send(&agent, message(&agent, "first"));
        running(&backend, 1).await;
        let beyond: Vec<Task> = (0..16).map(|_| send(&agent, message(&agent, "beyond"))).collect();
        queued(&agent, 16).await;
        let mut within = message(&agent, "within");
        within.within_rate = true;
        let within = send(&agent, within);
        let mut results = Vec::new();
        let mut beyond = beyond.into_iter();
        // Exactly one call loses its place; which one is seen when all have ended.
        eventually("a call is displaced", || agent.slots.counts().not_run == 1).await;
        queued(&agent, 16).await;
        backend.state.held.set(false);
        first.await.unwrap().unwrap();
        within.await.unwrap().unwrap();
        assert!(backend.requests() <= 4, "the call within its rate waited for {}", backend.requests());
        for call in beyond.by_ref() {
            results.push(call.await.unwrap());
        }
        let displaced: Vec<_> = results.iter().filter_map(|result| result.as_ref().err()).collect();
        assert_eq!(displaced.len(), 1);
        assert_eq!(displaced[0].kind, ErrorKind::Overloaded);
        assert_eq!(backend.runs_of("beyond"), 15);
    }

    // Guards against new calls to a leaving server, against calls accepted before being lost, and
    // against a heartbeat that was overtaken undoing the announcement.
    leaving_server_gets_no_new_call => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 1).await;
        backend.state.held.set(true);
        let accepted: Vec<Task> = (0..3).map(|_| send(&agent, message(&agent, "accepted"))).collect();
        queued(&agent, 2).await;
        let mut leaving = backend.announcement(1);
        leaving.leaving = true;
        agent.slots.announce(leaving).unwrap();
        agent.slots.announce(backend.announcement(1)).unwrap();
        assert!(agent.slots.report().unwrap().leaving);
        let error = send(&agent, message(&agent, "late")).await.unwrap().unwrap_err();
        assert_eq!(error.outcome(), Outcome::NotRun);
        backend.state.held.set(false);
        for call in accepted {
            call.await.unwrap().unwrap();
        }
        assert_eq!(backend.runs_of("late"), 0);
    }

    // Guards against calls that were meant for a server that is gone waiting for its slots.
    new_incarnation_at_the_same_address => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 1).await;
        backend.state.held.set(true);
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
        backend.state.held.set(false);
        first.await.unwrap().unwrap();
        send(&agent, message(&agent, "second")).await.unwrap().unwrap();
    }

    // Guards against calls to a server that has stopped announcing itself.
    silent_server_is_not_used => {
        let backend = Backend::start().await;
        let settings = SlotSettings { announcement_timeout: Duration::from_millis(100), ..SlotSettings::default() };
        let agent = Agent::start_with("127.0.0.1:0".parse().unwrap(), settings).await;
        agent.slots.announce(backend.announcement(8)).unwrap();
        eventually("the server counts as silent", || agent.slots.report().is_none()).await;
        let error = send(&agent, message(&agent, "late")).await.unwrap().unwrap_err();
        assert_eq!(error.kind, ErrorKind::NoBackendServer);
        agent.slots.announce(backend.announcement(8)).unwrap();
        assert!(agent.slots.report().is_some());
    }

    // Guards against a planned stop of the agent cutting off a call.
    drain_cuts_off_no_call => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 1).await;
        backend.state.held.set(true);
        let mut claimed = message(&agent, "claimed");
        claimed.claimed = true;
        let accepted = [send(&agent, claimed), send(&agent, message(&agent, "accepted"))];
        queued(&agent, 1).await;
        agent.slots.drain();
        assert!(agent.slots.report().unwrap().leaving);
        let error = send(&agent, message(&agent, "late")).await.unwrap().unwrap_err();
        assert_eq!(error.kind, ErrorKind::Draining);
        backend.state.held.set(false);
        agent.slots.idle().await;
        agent.stop().await;
        for call in accepted {
            call.await.unwrap().unwrap();
        }
        assert_eq!(backend.requests(), 2);
    }

    // Guards against an abandoned call holding its slot for ever.
    abandoned_call_frees_its_slot => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 1).await;
        backend.behave(Behaviour::Silent);
        let abandoned = send(&agent, message(&agent, "abandoned"));
        running(&backend, 0).await;
        eventually("the call is sent", || backend.requests() == 1).await;
        drop(abandoned);
        eventually("the slot is free", || agent.slots.report().unwrap().load.in_use == 0).await;
        backend.behave(Behaviour::Echo);
        send(&agent, message(&agent, "next")).await.unwrap().unwrap();
    }

    // Guards against a hostile deadline or wait stopping the agent.
    hostile_numbers => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 1).await;
        let mut endless = message(&agent, "endless");
        endless.deadline_ms = u64::MAX;
        endless.claimed = true;
        send(&agent, endless).await.unwrap().unwrap();
        let mut odd = message(&agent, "odd");
        odd.attempt = format!("{}-x", u64::MAX).into();
        odd.claimed = true;
        let error = send(&agent, odd).await.unwrap().unwrap_err();
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
