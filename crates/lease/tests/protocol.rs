//! Tests of the lease protocol under failures, on a simulated clock.

mod support;

use support::Fault;
use support::Process;
use support::World;

use nutmegwalk_lease::owner_key;
use nutmegwalk_store::StoreClock;
use nutmegwalk_store::TransactionOutcome;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

/// Returns a simulation in which the first process holds the lease and the second has read the lease row.
fn held() -> (World, Process, Process) {
    let mut world = World::new();
    let (mut first, mut second) = (Process::new(1), Process::new(2));
    first.run_until_idle(&mut world);
    second.run_until_idle(&mut world);
    assert_eq!((first.epoch(&world), second.epoch(&world)), (Some(1), None));
    (world, first, second)
}

/// Advances the clock in steps of 100 ms and after each step runs `processes` without faults until they are idle.
fn run_for(world: &mut World, duration_ms: u64, processes: &mut [&mut Process]) {
    for _ in 0..duration_ms / 100 {
        world.advance(100);
        for process in &mut *processes {
            process.run_until_idle(world);
        }
    }
}

cases! {
    // Guards against a healthy holder that loses its lease.
    renewed_lease_is_kept => {
        let (mut world, mut first, mut second) = held();
        for _ in 0..300 {
            run_for(&mut world, 100, &mut [&mut first, &mut second]);
            assert_eq!((first.epoch(&world), second.epoch(&world)), (Some(1), None));
        }
    }

    // Guards against a takeover that is too early, and against one that is too late for urgent work.
    crashed_holder_is_replaced_after_lease_and_margin => {
        let (mut world, first, mut second) = held();
        run_for(&mut world, 4400, &mut [&mut second]);
        assert_eq!((first.epoch(&world), second.epoch(&world)), (None, None));
        run_for(&mut world, 200, &mut [&mut second]);
        assert_eq!(second.epoch(&world), Some(2));
    }

    // Guards against a contender that overestimates the age of a renewal by the delay of the response from which the
    // holder knows the store's clock, and takes over while the holder's lease is valid.
    slow_response_with_the_clock_does_not_shorten_the_lease => {
        let (mut world, mut first, mut second) = held();
        let origin = world.now;
        world.advance(1_000);
        first.state.observe_clock(Some(StoreClock { now_ms: 0, requested_at: origin }));
        first.run_until_idle(&mut world);
        for _ in 0..60 {
            let since_ms = (world.now - origin).as_millis();
            let now_ms = u64::try_from(since_ms).expect("a short test");
            second.state.observe_clock(Some(StoreClock { now_ms, requested_at: world.now }));
            second.run_until_idle(&mut world);
            assert!(first.epoch(&world).is_none() || second.epoch(&world).is_none());
            world.advance(100);
        }
        assert_eq!(second.epoch(&world), Some(2));
    }

    // Guards against a holder that still considers its lease valid after a pause, and whose writes are still accepted.
    paused_holder_is_fenced => {
        let (mut world, mut first, mut second) = held();
        let held = first.state.current(world.now).unwrap();
        run_for(&mut world, 5000, &mut [&mut second]);
        assert_eq!((first.epoch(&world), second.epoch(&world)), (None, Some(2)));
        let write = first.state.fence(&held).with_put("job/1", "{}");
        assert!(matches!(world.table.apply(&write), TransactionOutcome::Rejected { .. }));
        first.run_until_idle(&mut world);
        assert_eq!((first.epoch(&world), second.epoch(&world)), (None, Some(2)));
        assert_eq!(first.state.lease_row().unwrap().epoch, 2);
    }

    // Guards against a fenced write of the owner that is rejected because of the owner's own renewals.
    fence_remains_valid_after_renewals => {
        let (mut world, mut first, mut second) = held();
        let held = first.state.current(world.now).unwrap();
        run_for(&mut world, 3000, &mut [&mut first, &mut second]);
        let write = first.state.fence(&held).with_put("job/1", "{}");
        assert!(matches!(world.table.apply(&write), TransactionOutcome::Committed { .. }));
    }

    // Guards against a lease that is counted from too late when the process pauses after the decision to renew and
    // before the renewal takes effect: the lease must be counted from before the pause.
    renewal_is_counted_from_before_it_is_sent => {
        let (mut world, mut first, _) = held();
        world.advance(1000);
        assert!(first.step(&mut world, Fault::None));
        world.advance(2500);
        assert!(first.step(&mut world, Fault::None));
        assert!(first.step(&mut world, Fault::None));
        world.advance(1400);
        assert_eq!(first.epoch(&world), Some(1));
        world.advance(100);
        assert_eq!(first.epoch(&world), None);
    }

    // Guards against a takeover whose lease is counted from the response, which can arrive long after the write
    // took effect.
    takeover_is_counted_from_before_it_is_sent => {
        let mut world = World::new();
        let mut first = Process::new(1);
        for _ in 0..5 {
            assert!(first.step(&mut world, Fault::None));
        }
        world.advance(3900);
        assert!(first.step(&mut world, Fault::None));
        assert_eq!(first.epoch(&world), Some(1));
        world.advance(100);
        assert_eq!(first.epoch(&world), None);
    }

    // Guards against a contender that counts the lease from before its read, and so from before the renewal that it
    // read.
    contender_counts_the_lease_from_the_response => {
        let (mut world, mut first, _) = held();
        let mut third = Process::new(3);
        assert!(third.step(&mut world, Fault::None));
        run_for(&mut world, 3000, &mut [&mut first]);
        third.run_until_idle(&mut world);
        // The holder crashes here; its last renewal is valid for 4 s.
        run_for(&mut world, 4400, &mut [&mut third]);
        assert_eq!(third.epoch(&world), None);
        run_for(&mut world, 200, &mut [&mut third]);
        assert_eq!(third.epoch(&world), Some(2));
    }

    // Guards against two contenders that both take over because both have observed that the lease lapsed.
    only_one_of_two_contenders_wins => {
        let (mut world, _, mut second) = held();
        let mut third = Process::new(3);
        third.run_until_idle(&mut world);
        run_for(&mut world, 4400, &mut [&mut second, &mut third]);
        world.advance(100);
        // Both decide to write before either write takes effect.
        assert!(second.step(&mut world, Fault::None));
        assert!(third.step(&mut world, Fault::None));
        third.run_until_idle(&mut world);
        second.run_until_idle(&mut world);
        assert_eq!((second.epoch(&world), third.epoch(&world)), (None, Some(2)));
    }

    // Guards against a holder that loses the lease, or renews twice, after the response to a renewal was lost.
    renewal_with_lost_response_is_detected => {
        let (mut world, mut first, mut second) = held();
        world.advance(1000);
        assert!(first.step(&mut world, Fault::None));
        assert!(first.step(&mut world, Fault::LoseResponse));
        world.advance(500);
        first.run_until_idle(&mut world);
        // The lease is counted from the renewal at 1000 ms whose response was lost, not from the takeover.
        world.advance(3400);
        assert_eq!(first.epoch(&world), Some(1));
        world.advance(100);
        assert_eq!(first.epoch(&world), None);
        first.run_until_idle(&mut world);
        assert_eq!(first.epoch(&world), Some(1));
        second.run_until_idle(&mut world);
        assert_eq!(second.epoch(&world), None);
    }

    // Guards against a takeover with a lost response that is either ignored or counted from too late an instant.
    takeover_with_lost_response_is_detected => {
        let mut world = World::new();
        let mut first = Process::new(1);
        for fault in [Fault::None, Fault::None, Fault::None, Fault::None, Fault::LoseResponse] {
            assert!(first.step(&mut world, fault));
        }
        world.advance(3000);
        assert_eq!(first.epoch(&world), None);
        first.step(&mut world, Fault::None);
        assert!(first.step(&mut world, Fault::None));
        assert!(first.step(&mut world, Fault::None));
        assert!(first.step(&mut world, Fault::None));
        assert_eq!(first.epoch(&world), Some(1));
        let held = first.state.current(world.now).unwrap();
        let write = first.state.fence(&held).with_put("job/1", "{}");
        assert!(matches!(world.table.apply(&write), TransactionOutcome::Committed { .. }));
    }

    // Guards against a renewal that takes effect late and extends the lease as if it were a later attempt.
    delayed_renewal_is_not_mistaken_for_a_later_one => {
        let (mut world, mut first, _) = held();
        world.advance(1000);
        for fault in [Fault::None, Fault::LoseRequest, Fault::None, Fault::None, Fault::None, Fault::None] {
            assert!(first.step(&mut world, fault));
        }
        let delayed_write = world.delayed_writes.remove(0);
        world.table.apply(&delayed_write);
        world.advance(2900);
        for fault in [Fault::None, Fault::LoseRequest, Fault::None, Fault::None, Fault::None, Fault::None] {
            assert!(first.step(&mut world, fault));
        }
        world.advance(200);
        assert_eq!(first.epoch(&world), None);
    }

    // Guards against a lease that is still held after a long outage of the store, and against a takeover during the
    // outage or immediately after it.
    holder_renews_first_after_an_outage => {
        let (mut world, mut first, mut second) = held();
        for _ in 0..100 {
            world.advance(100);
            for process in [&mut first, &mut second] {
                for _ in 0..3 {
                    process.step(&mut world, Fault::Down);
                }
            }
        }
        assert_eq!((first.epoch(&world), second.epoch(&world)), (None, None));
        second.run_until_idle(&mut world);
        first.run_until_idle(&mut world);
        assert_eq!((first.epoch(&world), second.epoch(&world)), (Some(1), None));
    }

    // Guards against a lease that remains with a holder that cannot reach the store.
    contender_takes_over_when_only_the_holder_loses_the_store => {
        let (mut world, mut first, mut second) = held();
        for _ in 0..50 {
            world.advance(100);
            for _ in 0..3 {
                first.step(&mut world, Fault::Down);
            }
            second.run_until_idle(&mut world);
            assert!(first.epoch(&world).is_none() || second.epoch(&world).is_none());
        }
        assert_eq!((first.epoch(&world), second.epoch(&world)), (None, Some(2)));
    }

    // Guards against a planned stop after which contenders wait for the lease to lapse, or after which writes of the
    // old holder are accepted.
    released_lease_is_taken_over_without_waiting => {
        let (mut world, mut first, mut second) = held();
        let held = first.state.current(world.now).unwrap();
        first.state.release();
        assert_eq!(first.epoch(&world), None);
        first.run_until_idle(&mut world);
        assert!(first.is_stopped);
        let write = first.state.fence(&held).with_put("job/1", "{}");
        assert!(matches!(world.table.apply(&write), TransactionOutcome::Rejected { .. }));
        run_for(&mut world, 600, &mut [&mut second]);
        assert_eq!(second.epoch(&world), Some(2));
    }

    // Guards against a stop that waits indefinitely for a store that is down.
    release_stops_when_the_lease_has_lapsed => {
        let (mut world, mut first, _) = held();
        first.state.release();
        for _ in 0..80 {
            world.advance(100);
            first.step(&mut world, Fault::Down);
        }
        assert!(first.is_stopped);
    }

    // Guards against a replacement process that treats the lease of its predecessor as its own.
    replacement_process_waits_for_the_old_lease => {
        let (mut world, _, _) = held();
        let mut restarted = Process::new(3);
        run_for(&mut world, 4400, &mut [&mut restarted]);
        assert_eq!(restarted.epoch(&world), None);
        run_for(&mut world, 500, &mut [&mut restarted]);
        assert_eq!(restarted.epoch(&world), Some(2));
        assert!(world.table.read(&[owner_key("rezekne")])[0].is_some());
    }
}
