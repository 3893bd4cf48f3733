//! Property tests: changes in random order through two upstreams, and damaged messages.

mod common;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use common::address;
use common::block_on;
use common::example;
use common::example_with_weight;
use common::report;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use nutmegwalk_base::secret::Secret;
use nutmegwalk_config::Change;
use nutmegwalk_config::ChangeKind;
use nutmegwalk_config::Configuration;
use nutmegwalk_config::Delta;
use nutmegwalk_config::apply;
use nutmegwalk_net::Client;
use nutmegwalk_net::decode;
use nutmegwalk_net::encode;
use nutmegwalk_sync::Membership;
use nutmegwalk_sync::OwnerRow;
use nutmegwalk_sync::OwnerValue;
use nutmegwalk_sync::Peer;
use nutmegwalk_sync::ReportUpdate;
use nutmegwalk_sync::Role;
use nutmegwalk_sync::SyncAnswer;
use nutmegwalk_sync::SyncClient;
use nutmegwalk_sync::SyncRequest;
use nutmegwalk_sync::SyncServer;
use nutmegwalk_sync::VersionStep;
use nutmegwalk_sync::View;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() { block_on(async $body) })* };
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]))
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The upstream advances by a number of versions, as changes or as one snapshot.
    Advance(usize, usize, bool),
    /// The upstream confirms its version.
    Confirm(usize),
    /// The agent polls the upstream; the answer stays in flight.
    Poll(usize, usize),
    /// The in-flight answer with this index arrives.
    Deliver(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..2_usize, 1..6_usize, any::<bool>()).prop_map(|(a, b, c)| Event::Advance(a, b, c)),
        (0..2_usize).prop_map(Event::Confirm),
        (0..2_usize, 0..2_usize).prop_map(|(a, b)| Event::Poll(a, b)),
        (0..8_usize).prop_map(Event::Deliver),
    ]
}

/// Returns `length` versions in order after version 0, made by a publish, a take-out and a return in turn.
fn version_sequence(length: u32) -> Vec<VersionStep> {
    let mut current = Rc::new(Configuration::default());
    let mut steps = vec![VersionStep {
        configuration: Rc::clone(&current),
        change: None,
    }];
    for number in 0..length {
        let kind = match number % 3 {
            1 => ChangeKind::TakeOut {
                data_centre: "ventspils".into(),
                lost: false,
            },
            2 => ChangeKind::Return {
                data_centre: "ventspils".into(),
            },
            _ => ChangeKind::Publish(Delta::between(&current, &example_with_weight(100 + number))),
        };
        let change = Change {
            version: current.version + 1,
            by: "anna".into(),
            at_unix_ms: 0,
            kind,
        };
        current = Rc::new(apply(&current, &change).unwrap());
        steps.push(VersionStep {
            configuration: Rc::clone(&current),
            change: Some(Rc::new(change)),
        });
    }
    steps
}

fn server(view: &View) -> SyncServer {
    let timings = common::timings();
    SyncServer::new(
        view.clone(),
        Membership::new(timings),
        Secret::new("s"),
        timings,
    )
}

fn client(view: &View) -> SyncClient {
    let http = Client::new("agent", Secret::new("s")).unwrap();
    let own = report("agent", Role::Agent, Some("ventspils"), address(1));
    SyncClient::new(http, view.clone(), own, Vec::new(), common::timings())
}

fn request(view: &View) -> SyncRequest {
    SyncRequest {
        role: Role::Agent,
        data_centre: Some("ventspils".into()),
        held_version: view.version(),
        held_owners: BTreeMap::new(),
        reports: vec![ReportUpdate {
            process: "agent".into(),
            incarnation: 1,
            revision: 1,
            confirmed_version: view.version(),
            silent_ms: 0,
            digest: Some(5),
            report: Some(report("agent", Role::Agent, None, address(1))),
        }],
    }
}

cases! {
    // Guards against a version that decreases, one version with two contents, and a confirmation that looks
    // newer than it is because its answer was delayed in flight.
    version_never_decreases_in_random_order => {
        let steps = version_sequence(60);
        let timings = common::timings();
        runner(400).run(&vec(event(), 1..120), |events| {
            let upstreams = [View::new(timings), View::new(timings)];
            let servers = [server(&upstreams[0]), server(&upstreams[1])];
            let agents = [View::new(timings), View::new(timings)];
            let clients = [client(&agents[0]), client(&agents[1])];
            let mut in_flight: Vec<(usize, SyncAnswer, Instant)> = Vec::new();
            for event in events {
                match event {
                    Event::Advance(upstream, count, as_snapshot) => {
                        let current = usize::try_from(upstreams[upstream].version()).unwrap();
                        let to = (current + count).min(steps.len() - 1);
                        let mut new: Vec<VersionStep> = steps[current + 1..=to].to_vec();
                        if as_snapshot && let Some(last) = new.pop() {
                            new = vec![VersionStep { change: None, ..last }];
                        }
                        upstreams[upstream].advance(&new);
                    }
                    Event::Confirm(upstream) => {
                        upstreams[upstream].confirm(upstreams[upstream].version(), Instant::now());
                    }
                    Event::Poll(agent, upstream) => {
                        let sent = Instant::now();
                        let answer = servers[upstream].answer(&request(&agents[agent]), Instant::now());
                        in_flight.push((agent, answer, sent));
                    }
                    Event::Deliver(index) if index < in_flight.len() => {
                        let (agent, answer, sent) = in_flight.remove(index);
                        let (before, confirmed) = (agents[agent].version(), agents[agent].confirmed_at());
                        let version = answer.version;
                        clients[agent].accept(answer, sent).unwrap();
                        prop_assert!(agents[agent].version() >= before);
                        prop_assert!(agents[agent].version() >= version);
                        if version < before {
                            prop_assert_eq!(agents[agent].confirmed_at(), confirmed);
                        }
                        prop_assert!(agents[agent].confirmed_at().is_none_or(|at| at <= sent || Some(at) == confirmed));
                    }
                    Event::Deliver(_) => {}
                }
                for view in upstreams.iter().chain(&agents) {
                    let current = view.configuration();
                    let expected = &steps[usize::try_from(current.version).unwrap()];
                    prop_assert_eq!(&current, &expected.configuration);
                }
            }
            Ok(())
        }).unwrap();
    }

    // Guards against a damaged message from a peer that makes the process panic.
    damaged_messages_never_panic => {
        let timings = common::timings();
        let steps = version_sequence(3);
        let view = View::new(timings);
        view.advance(&steps[1..]);
        view.confirm(3, Instant::now());
        view.update_owners([("ventspils".into(), OwnerValue { version: 4, value: "{}".into() })], &[]);
        let serving = server(&view);
        let encoded_request = encode(&request(&View::new(timings))).unwrap();
        let mut answer = serving.answer(&request(&View::new(timings)), Instant::now());
        answer.snapshot = Some(Box::new(Configuration { version: 9, ..example() }));
        answer.relays = vec![Peer { process: "relay".into(), address: address(2) }];
        answer.owners.push(OwnerRow { duty: "x".into(), version: u64::MAX, value: "".into() });
        answer.removed_owners.push("y".into());
        answer.wanted.push("agent".into());
        let encoded_answer = encode(&answer).unwrap();
        let handle = |bytes: &[u8]| {
            if let Ok(request) = decode::<SyncRequest>(bytes) {
                let _ = serving.answer(&request, Instant::now());
            }
            if let Ok(answer) = decode::<SyncAnswer>(bytes) {
                let _ = client(&View::new(timings)).accept(answer.clone(), Instant::now());
                let _ = client(&view).accept(answer, Instant::now());
            }
        };
        runner(2000).run(&vec(any::<u8>(), 0..200), |bytes| {
            handle(&bytes);
            Ok(())
        }).unwrap();
        for message in [encoded_request, encoded_answer] {
            let changes = vec((0..message.len(), any::<u8>()), 1..4);
            runner(1000).run(&(changes, 0..=message.len()), |(changes, length)| {
                let mut bytes = message.to_vec();
                for (position, byte) in changes {
                    bytes[position] = byte;
                }
                handle(&bytes);
                bytes.truncate(length);
                handle(&bytes);
                Ok(())
            }).unwrap();
            handle(&message);
        }
    }

    // Guards against overflows caused by extreme numbers in messages.
    extreme_numbers_never_panic => {
        let timings = common::timings();
        let steps = version_sequence(3);
        let view = View::new(timings);
        view.advance(&steps[1..]);
        let serving = server(&view);
        for extreme in [0, 1, u64::MAX - 1, u64::MAX] {
            let mut request = request(&view);
            request.held_version = extreme;
            request.held_owners = BTreeMap::from([("ventspils".into(), extreme)]);
            for update in &mut request.reports {
                update.silent_ms = extreme;
                update.revision = extreme;
                update.confirmed_version = extreme;
            }
            let mut answer = serving.answer(&request, Instant::now());
            answer.version = extreme;
            answer.age_ms = Some(extreme);
            answer.snapshot = Some(Box::new(Configuration { version: extreme, ..example() }));
            for change in &mut answer.changes {
                change.version = extreme;
            }
            let target = View::new(timings);
            let _ = client(&target).accept(answer.clone(), Instant::now());
            let _ = client(&target).accept(answer, Instant::now());
            assert!(target.age().is_none_or(|age| age >= Duration::from_millis(extreme.min(1))));
        }
    }
}
