//! Random orders of losses, delays, cuts, deaths and cancels, from fixed seeds.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::LIMIT;
use common::Rule;
use common::World;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;

use nutmegwalk_gang::GangTimings;
use nutmegwalk_net::Fault;

const AGENTS: usize = 3;
const PATHS: [&str; 8] = [
    "/v1/gang/reserve",
    "/v1/gang/bind",
    "/v1/gang/start",
    "/v1/gang/start-members",
    "/v1/gang/renew",
    "/v1/gang/abort",
    "/v1/gang/stop",
    "/v1/gang/end-members",
];

#[derive(Clone, Copy, Debug)]
enum Event {
    Fault {
        path: usize,
        to: usize,
        fault: Fault,
        count: u32,
    },
    Cancel,
    Kill(usize),
    Restart(usize),
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let fault = prop_oneof![
        Just(Fault::Cut),
        Just(Fault::LoseAnswer),
        (50_u64..600).prop_map(|delay_ms| Fault::Delay(Duration::from_millis(delay_ms))),
    ];
    prop_oneof![
        4 => (0..PATHS.len(), 0..AGENTS, fault, 1_u32..12).prop_map(|(path, to, fault, count)| {
            Event::Fault { path, to, fault, count }
        }),
        1 => Just(Event::Cancel),
        1 => (0..AGENTS).prop_map(Event::Kill),
        2 => (0..AGENTS).prop_map(Event::Restart),
        3 => (1_u64..400).prop_map(Event::Wait),
    ]
}

fn timings() -> GangTimings {
    GangTimings {
        reservation: Duration::from_millis(600),
        lease: Duration::from_millis(800),
        renew_interval: Duration::from_millis(150),
        exchange: Duration::from_millis(200),
        step: Duration::from_millis(400),
        ..GangTimings::default()
    }
}

/// Starts attempt after attempt while `events` happen, as an owner does, and stops the last one.
async fn play(events: Vec<Event>) {
    let mut world = World::with_timings(AGENTS, timings()).await;
    let driver = world.driver.clone();
    let specs: Vec<_> = (1..=200)
        .map(|sequence| world.spec(1, sequence, 6))
        .collect();
    let (log, attempts) = (std::rc::Rc::clone(&world.log), specs.clone());
    let owner = compio::runtime::spawn(async move {
        for spec in attempts {
            match driver.start(spec).await {
                Ok(gang) => {
                    compio::time::sleep(Duration::from_millis(300)).await;
                    let stopped = driver.stop(gang).await;
                    if !stopped.is_settled() {
                        return;
                    }
                }
                Err(failure) if !failure.is_settled => return,
                Err(_) => {}
            }
            assert!(log.events().len() < 100_000);
        }
    });
    let mut dead = [false; AGENTS];
    for event in events {
        match event {
            Event::Fault {
                path,
                to,
                fault,
                count,
            } => world.faults.add(Rule {
                from: None,
                to: Some(world.nodes[to].address),
                path: PATHS[path],
                fault,
                count,
            }),
            Event::Cancel => {
                for spec in &specs {
                    world.driver.cancel(&spec.job, spec.attempt);
                }
            }
            Event::Kill(index) if !dead[index] => {
                world.kill(index);
                dead[index] = true;
            }
            Event::Restart(index) if dead[index] => {
                world.restart(index).await;
                world.nodes[index].agent.recover().await.unwrap();
                world.nodes[index].agent.set_epoch_floor(1);
                dead[index] = false;
            }
            Event::Kill(_) | Event::Restart(_) => {}
            Event::Wait(wait_ms) => compio::time::sleep(Duration::from_millis(wait_ms)).await,
        }
    }
    drop(owner);
    world.faults.clear();
    for (index, is_dead) in dead.into_iter().enumerate() {
        if is_dead {
            world.restart(index).await;
            world.nodes[index].agent.recover().await.unwrap();
            world.nodes[index].agent.set_epoch_floor(1);
        }
    }
    // A new owner stops what it finds, and then the job can run again.
    for node in &world.nodes {
        node.agent.set_epoch_floor(2);
    }
    for spec in specs {
        let reported = |world: &World| {
            let reports = world
                .nodes
                .iter()
                .flat_map(|node| node.agent.report().attempts);
            reports
                .filter(|report| report.attempt == spec.attempt)
                .count()
                > 0
        };
        if reported(&world) {
            let gang = world.driver.adopt(spec, 2);
            assert!(world.driver.stop(gang).await.is_settled());
        }
    }
    assert_eq!(world.running(), 0);
    let deadline = Instant::now() + LIMIT;
    for sequence in 1.. {
        assert!(Instant::now() < deadline, "no start without faults");
        if world.driver.start(world.spec(2, sequence, 6)).await.is_ok() {
            break;
        }
    }
    world.check();
}

// Guards against orders of failures that nobody thought of.
#[rstest]
fn random_order_keeps_gangs_whole(#[values(11, 23, 37, 41, 53, 67)] seed: u8) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let config = Config {
        cases: 5,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
        .run(&vec(event(), 5..40), |events| {
            compio::runtime::Runtime::new()
                .unwrap()
                .block_on(play(events));
            Ok(())
        })
        .unwrap();
}
