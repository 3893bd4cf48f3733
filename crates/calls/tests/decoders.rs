//! Tests of the decoders of messages and call headers with arbitrary bytes.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_calls::Announcement;
use nutmegwalk_calls::CallMessage;
use nutmegwalk_calls::CallReply;
use nutmegwalk_calls::CallRequest;
use nutmegwalk_calls::CloseAnswer;
use nutmegwalk_calls::CloseMessage;
use nutmegwalk_calls::DEADLINE_HEADER;
use nutmegwalk_calls::KEY_HEADER;
use nutmegwalk_calls::Load;
use nutmegwalk_calls::REPEAT_HEADER;
use nutmegwalk_calls::Repeat;
use nutmegwalk_net::Message;
use nutmegwalk_net::Request;
use nutmegwalk_net::decode;
use nutmegwalk_net::encode;

/// Path, query and the values of the repeat, key and deadline headers.
type ArbitraryCall = (
    String,
    String,
    Option<Vec<u8>>,
    Option<Vec<u8>>,
    Option<Vec<u8>>,
);

/// Number of cases of each property.
const CASES: u32 = 2000;

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Generates arbitrary bytes, and modifications and prefixes of the encoding of a valid value.
fn arbitrary_bytes(valid: &Bytes) -> impl Strategy<Value = Vec<u8>> + use<> {
    let (whole, part) = (valid.to_vec(), valid.to_vec());
    let changed = (0..whole.len(), any::<u8>()).prop_map(move |(at, byte)| {
        let mut bytes = whole.clone();
        bytes[at] = byte;
        bytes
    });
    let truncated = (0..part.len()).prop_map(move |length| part[..length].to_vec());
    // Headers of arrays, maps, strings, binaries and extensions with the maximum length.
    let max_length = prop_oneof![
        Just(0xdd_u8),
        Just(0xdf),
        Just(0xdb),
        Just(0xc6),
        Just(0xc9)
    ]
    .prop_map(|marker| vec![marker, 0xff, 0xff, 0xff, 0xff, 0x91]);
    let nested = (1..5000_usize).prop_map(|depth| vec![0x91; depth]);
    let random = proptest::collection::vec(any::<u8>(), 0..300);
    prop_oneof![random, changed, truncated, max_length, nested]
}

/// Checks that arbitrary bytes are either decoded as a valid value or refused with `bad_request`.
fn check_message<M: Message>(valid: &M) {
    let check = |bytes: Vec<u8>| match decode::<M>(&bytes) {
        Ok(_) => Ok(()),
        Err(error) if error.kind == ErrorKind::BadRequest => Ok(()),
        Err(error) => Err(TestCaseError::fail(error.to_string())),
    };
    let bytes = encode(valid).unwrap();
    assert!(decode::<M>(&bytes).is_ok());
    runner().run(&arbitrary_bytes(&bytes), check).unwrap();
    // Answers also come from a peer and must not stop the process that sent the request.
    let check_answer = |bytes: Vec<u8>| match decode::<M::Answer>(&bytes) {
        Err(error) if error.kind != ErrorKind::BadRequest => {
            Err(TestCaseError::fail(error.to_string()))
        }
        _ => Ok(()),
    };
    runner()
        .run(&arbitrary_bytes(&bytes), check_answer)
        .unwrap();
}

fn call() -> CallMessage {
    CallMessage {
        request_id: "req-1".into(),
        attempt: "1-a".into(),
        agent_incarnation: 7,
        deadline_ms: 500,
        customer: "oak".into(),
        service: "plank-desk".into(),
        within_rate: true,
        claimed: false,
        method: "POST".into(),
        path: "/grade".into(),
        headers: vec![("x-plank".into(), Bytes::from_static(b"12"))],
        body: Bytes::from_static(b"body"),
    }
}

fn close() -> CloseMessage {
    CloseMessage {
        attempt: "1-a".into(),
        agent_incarnation: 7,
        wait_ms: 100,
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() $body)*
    };
}

cases! {
    // Guards against a malformed call stopping or blocking an agent.
    malformed_call_messages_are_refused => { check_message(&call()); }

    // Guards against a malformed close stopping or blocking an agent.
    malformed_close_messages_are_refused => { check_message(&close()); }

    // Guards against a malformed answer of an agent stopping or blocking an entry host.
    malformed_replies_are_refused => {
        let reply = CallReply {
            attempt: "1-a".into(),
            result: Err(nutmegwalk_base::Error::new(ErrorKind::Overloaded, "full")),
            load: Load::default(),
            server_incarnation: 3,
        };
        for bytes in [encode(&reply).unwrap(), encode(&CloseAnswer::NotStarted).unwrap()] {
            let check = |bytes: Vec<u8>| {
                let kinds = [
                    decode::<CallReply>(&bytes).err().map(|error| error.kind),
                    decode::<CloseAnswer>(&bytes).err().map(|error| error.kind),
                ];
                let is_bad = |kind: &Option<ErrorKind>| kind.is_none_or(|kind| kind == ErrorKind::BadRequest);
                match kinds.iter().all(is_bad) {
                    true => Ok(()),
                    false => Err(TestCaseError::fail(format!("{kinds:?}"))),
                }
            };
            runner().run(&arbitrary_bytes(&bytes), check).unwrap();
        }
    }

    // Guards against a malformed announcement of a backend server stopping its agent.
    malformed_announcements_do_not_stop_the_agent => {
        let announcement = Announcement {
            incarnation: 1,
            service: "plank-desk".into(),
            address: "127.0.0.1:9".parse().unwrap(),
            slots: 8,
            connections: 64,
            leaving: false,
        };
        let bytes = Bytes::from(serde_json::to_vec(&announcement).unwrap());
        let check = |bytes: Vec<u8>| {
            let _ = serde_json::from_slice::<Announcement>(&bytes);
            Ok(())
        };
        runner().run(&arbitrary_bytes(&bytes), check).unwrap();
    }

    // Guards against call headers or paths that stop an entry host, that result in a call without a deadline,
    // or that result in an unmarked call although the caller marked it as non-repeatable.
    malformed_call_headers_are_refused => {
        let value = || prop_oneof![
            Just(b"always".to_vec()),
            Just(b"never".to_vec()),
            Just(b"0".to_vec()),
            Just(b"18446744073709551615".to_vec()),
            Just(b"18446744073709551616".to_vec()),
            Just(b"-1".to_vec()),
            proptest::collection::vec(any::<u8>(), 0..40),
        ];
        let header = || proptest::option::of(value());
        let path = prop_oneof!["/call/.{0,40}", "[^?#]{0,40}"];
        let strategy = (path, ".{0,20}", header(), header(), header());
        let check = |(path, query, repeat, key, deadline): ArbitraryCall| {
            let mut headers = HeaderMap::new();
            let values = [(REPEAT_HEADER, &repeat), (KEY_HEADER, &key), (DEADLINE_HEADER, &deadline)];
            for (name, value) in values {
                if let Some(value) = value.as_ref().and_then(|value| HeaderValue::from_bytes(value).ok()) {
                    headers.insert(HeaderName::from_static(name), value);
                }
            }
            let is_text = headers.values().all(|value| value.to_str().is_ok());
            let marked_never = headers.get(REPEAT_HEADER).is_some_and(|value| value == "never");
            let request = Request {
                method: Method::POST,
                path: path.into(),
                query: query.into(),
                headers,
                body: Bytes::new(),
                request_id: "req-1".into(),
                peer: "127.0.0.1:9".parse().unwrap(),
            };
            match CallRequest::from_http(&request, "oak", |_| Duration::from_secs(1)) {
                Ok(call) => {
                    proptest::prop_assert!(is_text, "a header that is not text was ignored");
                    proptest::prop_assert!(call.deadline <= Duration::from_secs(60) && !call.deadline.is_zero());
                    proptest::prop_assert_eq!(marked_never, matches!(call.repeat, Repeat::Never { .. }));
                }
                Err(error) => proptest::prop_assert_eq!(error.kind, ErrorKind::BadRequest),
            }
            Ok(())
        };
        runner().run(&strategy, check).unwrap();
    }

    // Guards against ignoring the second of two contradictory header values.
    repeated_call_headers_are_refused => {
        for name in [REPEAT_HEADER, KEY_HEADER, DEADLINE_HEADER] {
            let mut headers = HeaderMap::new();
            headers.insert(REPEAT_HEADER, HeaderValue::from_static("never"));
            headers.insert(KEY_HEADER, HeaderValue::from_static("1-a"));
            headers.insert(DEADLINE_HEADER, HeaderValue::from_static("100"));
            let request = |headers| Request {
                method: Method::POST,
                path: "/call/plank-desk/grade".into(),
                query: "".into(),
                headers,
                body: Bytes::new(),
                request_id: "req-1".into(),
                peer: "127.0.0.1:9".parse().unwrap(),
            };
            let read = |headers| CallRequest::from_http(&request(headers), "oak", |_| Duration::from_secs(1));
            assert!(read(headers.clone()).is_ok());
            headers.append(name, HeaderValue::from_static("always"));
            assert_eq!(read(headers).unwrap_err().kind, ErrorKind::BadRequest, "{name}");
        }
    }
}
