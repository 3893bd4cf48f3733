//! Tests that callers receive only complete answers to their own requests, and that the outcome "not run" is
//! correct.

mod common;

use std::time::Duration;

use common::Agent;
use common::Backend;
use common::Behaviour;
use common::request;
use common::router;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_calls::OUTCOME_HEADER;

/// Deadline of calls that the server does not answer in time.
const SHORT_DEADLINE: Duration = Duration::from_secs(2);

macro_rules! bad_answers {
    ($($name:ident: $behaviour:expr => $kind:ident;)*) => {
        $(
            #[rstest::rstest]
            fn $name() {
                common::block_on(async {
                    let backend = Backend::start().await;
                    let agent = Agent::with_backend(&backend, 8).await;
                    let router = router(&[&agent], None);
                    backend.set_behaviour($behaviour);
                    let mut faulty = request("plank");
                    if $behaviour == Behaviour::NoAnswer {
                        faulty.deadline = SHORT_DEADLINE;
                    }
                    let answer = router.call(faulty).await;
                    let error = answer.result.clone().unwrap_err();
                    assert_eq!(error.kind, ErrorKind::$kind, "{error}");
                    assert_eq!(answer.outcome(), Outcome::Unknown);
                    assert_eq!(backend.requests(), 1, "an unmarked call is not retried");
                    // The next call receives its own answer, on another connection.
                    backend.set_behaviour(Behaviour::Echo);
                    let next = router.call(request("board")).await;
                    assert_eq!(&*next.result.unwrap().body, b"board");
                    assert_eq!(backend.state.connections.get(), 2);
                });
            }
        )*
    };
}

// Guards against forwarding an incomplete or malformed answer or the answer to another request, and against
// reusing the connection of such an answer.
bad_answers! {
    truncated_answer: Behaviour::Truncated => BadGateway;
    truncated_chunked_answer: Behaviour::TruncatedChunks => BadGateway;
    invalid_http: Behaviour::InvalidHttp => UnknownOutcome;
    answer_to_another_request: Behaviour::OtherRequestId => BadGateway;
    answer_without_length: Behaviour::WithoutLength => BadGateway;
    answer_over_the_limit: Behaviour::Large(9 << 20) => BadGateway;
    no_answer: Behaviour::NoAnswer => UnknownOutcome;
}

cases! {
    // Guards against an answer losing its body, its outcome or the caller's request id.
    complete_answer_is_forwarded => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 8).await;
        let router = router(&[&agent], None);
        let call = request("plank");
        let id = call.request_id.clone();
        let response = router.call(call).await.into_response();
        assert_eq!(response.status, 200);
        assert_eq!(&*response.body, b"plank");
        assert_eq!(response.headers[OUTCOME_HEADER], "done");
        assert_eq!(response.headers["nutmegwalk-request-id"], &*id);
    }

    // Guards against the second copy of an answer reaching the next caller on the connection.
    duplicated_answer_is_not_delivered_to_other_calls => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 1).await;
        let router = router(&[&agent], None);
        backend.set_behaviour(Behaviour::Duplicated);
        let mut answered = 0;
        for number in 0..50 {
            let body = format!("plank-{number}");
            if let Ok(answer) = router.call(request(&body)).await.result {
                assert_eq!(&*answer.body, body.as_bytes());
                answered += 1;
            }
        }
        assert!(answered > 0);
    }

    // Guards against the answer of a timed out exchange reaching the next caller.
    late_answer_is_not_delivered_to_other_calls => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 8).await;
        let router = router(&[&agent], None);
        backend.state.is_holding_requests.set(true);
        let mut late = request("late");
        late.deadline = SHORT_DEADLINE;
        let answer = router.call(late).await;
        assert_eq!(answer.outcome(), Outcome::Unknown);
        backend.state.is_holding_requests.set(false);
        for number in 0..10 {
            let body = format!("plank-{number}");
            let answer = router.call(request(&body)).await;
            assert_eq!(&*answer.result.unwrap().body, body.as_bytes());
        }
        assert_eq!(backend.runs_of("late"), 1);
    }

    // Guards against the outcome "unknown" for a call of which nothing was sent.
    call_to_an_unreachable_server_is_not_run => {
        let backend = Backend::start().await;
        let agent = Agent::start().await;
        let mut unreachable = backend.announcement(8);
        // Nothing listens at this address, and no other test uses it.
        unreachable.address = "127.66.66.66:9".parse().unwrap();
        agent.slots.announce(unreachable).unwrap();
        let router = router(&[&agent], None);
        let answer = router.call(request("plank")).await;
        let error = answer.result.clone().unwrap_err();
        assert_eq!(error.kind, ErrorKind::Unreachable, "{error}");
        assert_eq!(answer.outcome(), Outcome::NotRun);
    }

    // Guards against treating a request as lost because the server had closed the pooled connection.
    closed_idle_connection_is_replaced => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 8).await;
        let router = router(&[&agent], None);
        assert_eq!(router.call(request("one")).await.outcome(), Outcome::Done);
        let address = backend.address;
        drop(backend);
        let backend = Backend::start_at(address).await;
        // The incarnation is the same, only the connections were lost. At most the first request may be
        // unknown: it may have been written before the end of its connection was detected.
        let mut outcomes = Vec::new();
        for body in ["two", "three", "four"] {
            let outcome = router.call(request(body)).await.outcome();
            assert_eq!(backend.runs_of(body), u32::from(outcome == Outcome::Done));
            outcomes.push(outcome);
        }
        assert_eq!(outcomes[1..], [Outcome::Done, Outcome::Done]);
    }
}
