//! Random orders of events: two processes must never hold the lease at once.

mod support;

use std::collections::BTreeMap;

use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use support::Fault;
use support::Process;
use support::World;

const CASES: u32 = 300;

#[derive(Clone, Debug)]
enum Event {
    /// Time passes for all, while nobody works.
    Pause(u64),
    /// One process does one part of its work.
    Proceed(usize, Fault),
    /// One process works without faults until it has nothing to do.
    Settle(usize),
    /// One process is paused while the others work, or resumed.
    Freeze(usize, bool),
    /// A write that was on its way takes effect.
    Late(usize),
    /// One process is asked to release.
    Release(usize),
    /// One process is replaced by a new incarnation.
    Restart(usize),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        14 => proptest::strategy::Just(Fault::None),
        1 => proptest::strategy::Just(Fault::Down),
        2 => proptest::strategy::Just(Fault::LoseAnswer),
        2 => proptest::strategy::Just(Fault::LoseRequest),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        20 => (0_u64..700).prop_map(Event::Pause),
        1 => (700_u64..6000).prop_map(Event::Pause),
        50 => (0_usize..3, fault()).prop_map(|(index, fault)| Event::Proceed(index, fault)),
        40 => (0_usize..3).prop_map(Event::Settle),
        4 => (0_usize..3, proptest::bool::weighted(0.3))
            .prop_map(|(index, frozen)| Event::Freeze(index, frozen)),
        4 => (0_usize..8).prop_map(Event::Late),
        2 => (0_usize..3).prop_map(Event::Release),
        3 => (0_usize..3).prop_map(Event::Restart),
    ]
}

/// Plays `events`; returns the number of epochs in which the lease was held.
fn play(events: &[Event]) -> Result<usize, String> {
    let mut world = World::new();
    let mut processes: Vec<Process> = (1..=3).map(Process::new).collect();
    let mut incarnations = vec![1, 2, 3];
    let mut next_incarnation = 4;
    let mut is_frozen = [false; 3];
    let mut holders: BTreeMap<u64, u64> = BTreeMap::new();
    for event in events {
        match event {
            Event::Pause(time_ms) => world.advance(*time_ms),
            Event::Proceed(index, _) | Event::Settle(index) if is_frozen[*index] => {}
            Event::Freeze(index, frozen) => is_frozen[*index] = *frozen,
            Event::Proceed(index, fault) => {
                processes[*index].proceed(&mut world, *fault);
            }
            Event::Settle(index) => processes[*index].settle(&mut world),
            Event::Late(index) => {
                if *index < world.late.len() {
                    let transaction = world.late.remove(*index);
                    world.table.apply(&transaction);
                }
            }
            Event::Release(index) => processes[*index].state.release(),
            Event::Restart(index) => {
                processes[*index] = Process::new(next_incarnation);
                is_frozen[*index] = false;
                incarnations[*index] = next_incarnation;
                next_incarnation += 1;
            }
        }
        let held: Vec<(u64, u64)> = processes
            .iter()
            .zip(&incarnations)
            .filter_map(|(process, incarnation)| Some((process.epoch(&world)?, *incarnation)))
            .collect();
        if held.len() > 1 {
            return Err(format!("held at once: {held:?}"));
        }
        for (epoch, incarnation) in held {
            if *holders.entry(epoch).or_insert(incarnation) != incarnation {
                return Err(format!("epoch {epoch} had two holders"));
            }
            if holders.keys().next_back() != Some(&epoch) {
                return Err(format!("epoch {epoch} was held after a later one"));
            }
        }
    }
    Ok(holders.len())
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

cases! {
    // Guards against any order of pauses, lost answers, late writes, outages, releases and restarts in
    // which two processes hold the lease at once.
    leases_never_overlap => {
        let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
        let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
        let mut runner = TestRunner::new_with_rng(config, random);
        let epochs = std::cell::Cell::new(0);
        runner
            .run(&proptest::collection::vec(event(), 200..600), |events| {
                let held = play(&events).map_err(proptest::test_runner::TestCaseError::fail)?;
                epochs.set(epochs.get() + held);
                Ok(())
            })
            .unwrap();
        // A test in which the lease hardly ever moves would prove nothing: on average, each case must
        // have at least one takeover after the first epoch.
        assert!(epochs.get() > 2 * CASES as usize, "{} epochs", epochs.get());
    }
}
