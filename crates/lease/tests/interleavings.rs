//! Property test over random interleavings of events: two processes must never hold the lease at the same time.

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
    /// The clock advances by this many milliseconds, while no process runs.
    AdvanceClock(u64),
    /// One process runs one step.
    Step(usize, Fault),
    /// One process runs without faults until it is idle.
    RunUntilIdle(usize),
    /// One process is paused while the others run, or resumed.
    SetPaused(usize, bool),
    /// A delayed write takes effect.
    ApplyDelayedWrite(usize),
    /// One process starts to release the lease.
    Release(usize),
    /// One process is replaced by a new incarnation.
    Restart(usize),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        14 => proptest::strategy::Just(Fault::None),
        1 => proptest::strategy::Just(Fault::Down),
        2 => proptest::strategy::Just(Fault::LoseResponse),
        2 => proptest::strategy::Just(Fault::LoseRequest),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        20 => (0_u64..700).prop_map(Event::AdvanceClock),
        1 => (700_u64..6000).prop_map(Event::AdvanceClock),
        50 => (0_usize..3, fault()).prop_map(|(index, fault)| Event::Step(index, fault)),
        40 => (0_usize..3).prop_map(Event::RunUntilIdle),
        4 => (0_usize..3, proptest::bool::weighted(0.3))
            .prop_map(|(index, paused)| Event::SetPaused(index, paused)),
        4 => (0_usize..8).prop_map(Event::ApplyDelayedWrite),
        2 => (0_usize..3).prop_map(Event::Release),
        3 => (0_usize..3).prop_map(Event::Restart),
    ]
}

/// Runs `events` and returns the number of epochs in which the lease was held.
fn run_events(events: &[Event]) -> Result<usize, String> {
    let mut world = World::new();
    let mut processes: Vec<Process> = (1..=3).map(Process::new).collect();
    let mut incarnations = vec![1, 2, 3];
    let mut next_incarnation = 4;
    let mut is_paused = [false; 3];
    let mut holders: BTreeMap<u64, u64> = BTreeMap::new();
    for event in events {
        match event {
            Event::AdvanceClock(duration_ms) => world.advance(*duration_ms),
            Event::Step(index, _) | Event::RunUntilIdle(index) if is_paused[*index] => {}
            Event::SetPaused(index, paused) => is_paused[*index] = *paused,
            Event::Step(index, fault) => {
                processes[*index].step(&mut world, *fault);
            }
            Event::RunUntilIdle(index) => processes[*index].run_until_idle(&mut world),
            Event::ApplyDelayedWrite(index) => {
                if *index < world.delayed_writes.len() {
                    let transaction = world.delayed_writes.remove(*index);
                    world.table.apply(&transaction);
                }
            }
            Event::Release(index) => processes[*index].state.release(),
            Event::Restart(index) => {
                processes[*index] = Process::new(next_incarnation);
                is_paused[*index] = false;
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
            return Err(format!("the lease has several holders: {held:?}"));
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
    // Guards against any interleaving of pauses, lost responses, delayed writes, outages, releases and restarts in
    // which two processes hold the lease at the same time.
    leases_never_overlap => {
        let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
        let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
        let mut runner = TestRunner::new_with_rng(config, random);
        let epochs = std::cell::Cell::new(0);
        runner
            .run(&proptest::collection::vec(event(), 200..600), |events| {
                let held = run_events(&events).map_err(proptest::test_runner::TestCaseError::fail)?;
                epochs.set(epochs.get() + held);
                Ok(())
            })
            .unwrap();
        // Without takeovers the property would hold trivially: on average, each case must have at least one
        // takeover after the first epoch.
        assert!(epochs.get() > 2 * CASES as usize, "{} epochs", epochs.get());
    }
}
