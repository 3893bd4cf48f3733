//! Tests that callers get whole answers to their own requests, and that "not run" is true.

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

/// A deadline that a silent server is made to miss.
const SHORT: Duration = Duration::from_secs(2);

macro_rules! bad_answers {
    ($($name:ident: $behaviour:expr => $kind:ident;)*) => {
        $(
            #[rstest::rstest]
            fn $name() {
                common::block_on(async {
                    let backend = Backend::start().await;
                    let agent = Agent::with_backend(&backend, 8).await;
                    let router = router(&[&agent], None);
                    backend.behave($behaviour);
                    let mut bad = request("plank");
                    if $behaviour == Behaviour::Silent {
                        bad.deadline = SHORT;
                    }
                    let answer = router.call(bad).await;
                    let error = answer.result.clone().unwrap_err();
                    assert_eq!(error.kind, ErrorKind::$kind, "{error}");
                    assert_eq!(answer.outcome(), Outcome::Unknown);
                    assert_eq!(backend.requests(), 1, "an unmarked call is not tried again");
                    // The next call gets its own answer, on another connection.
                    backend.behave(Behaviour::Echo);
                    let next = router.call(request("board")).await;
                    assert_eq!(&*next.result.unwrap().body, b"board");
                    assert_eq!(backend.state.connections.get(), 2);
                });
            }
        )*
    };
}

// Guards against an incomplete, foreign or malformed answer being passed on, and against its
// connection being used again.
bad_answers! {
    answer_cut_short: Behaviour::CutShort => BadGateway;
    chunked_answer_cut_short: Behaviour::CutChunks => BadGateway;
    garbage: Behaviour::Garbage => UnknownOutcome;
    answer_to_another_request: Behaviour::Crossed => BadGateway;
    answer_without_length: Behaviour::Unbounded => BadGateway;
    answer_over_the_limit: Behaviour::Large(9 << 20) => BadGateway;
    no_answer: Behaviour::Silent => UnknownOutcome;
}

cases! {
    // Guards against an answer losing its body, its outcome or the caller's request id.
    whole_answer_is_passed_on => {
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
    duplicated_answer_reaches_nobody_else => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 1).await;
        let router = router(&[&agent], None);
        backend.behave(Behaviour::Twice);
        let mut whole = 0;
        for number in 0..50 {
            let body = format!("plank-{number}");
            if let Ok(answer) = router.call(request(&body)).await.result {
                assert_eq!(&*answer.body, body.as_bytes());
                whole += 1;
            }
        }
        assert!(whole > 0);
    }

    // Guards against the answer of an abandoned exchange reaching the next caller.
    late_answer_reaches_nobody_else => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 8).await;
        let router = router(&[&agent], None);
        backend.state.held.set(true);
        let mut late = request("late");
        late.deadline = SHORT;
        let answer = router.call(late).await;
        assert_eq!(answer.outcome(), Outcome::Unknown);
        backend.state.held.set(false);
        for number in 0..10 {
            let body = format!("plank-{number}");
            let answer = router.call(request(&body)).await;
            assert_eq!(&*answer.result.unwrap().body, body.as_bytes());
        }
        assert_eq!(backend.runs_of("late"), 1);
    }

    // Guards against "unknown" for a call of which nothing was sent.
    server_that_is_gone_is_not_run => {
        let backend = Backend::start().await;
        let agent = Agent::start().await;
        let mut gone = backend.announcement(8);
        // Nothing listens there, and no other test takes the port.
        gone.address = "127.66.66.66:9".parse().unwrap();
        agent.slots.announce(gone).unwrap();
        let router = router(&[&agent], None);
        let answer = router.call(request("plank")).await;
        let error = answer.result.clone().unwrap_err();
        assert_eq!(error.kind, ErrorKind::Unreachable, "{error}");
        assert_eq!(answer.outcome(), Outcome::NotRun);
    }

    // Guards against a pooled connection that the server closed being taken for a lost request.
    closed_idle_connection_is_replaced => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 8).await;
        let router = router(&[&agent], None);
        assert_eq!(router.call(request("one")).await.outcome(), Outcome::Done);
        let address = backend.address;
        drop(backend);
        let backend = Backend::start_at(address).await;
        // The same incarnation: only the connections were lost. A request that was written before the
        // end of its connection was noticed is unknown, but it is the last one.
        let mut outcomes = Vec::new();
        for body in ["two", "three", "four"] {
            let outcome = router.call(request(body)).await.outcome();
            assert_eq!(backend.runs_of(body), u32::from(outcome == Outcome::Done));
            outcomes.push(outcome);
        }
        assert_eq!(outcomes[1..], [Outcome::Done, Outcome::Done]);
    }
}
