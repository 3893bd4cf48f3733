//! Failure tests of the lease protocol on a simulated clock.

mod support;

use support::Fault;
use support::Process;
use support::World;

use nutmegwalk_lease::owner_key;
use nutmegwalk_store::TransactionOutcome;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

/// Returns a world in which the first process holds the lease and the second has seen that.
fn held() -> (World, Process, Process) {
    let mut world = World::new();
    let (mut first, mut second) = (Process::new(1), Process::new(2));
    first.settle(&mut world);
    second.settle(&mut world);
    assert_eq!((first.epoch(&world), second.epoch(&world)), (Some(1), None));
    (world, first, second)
}

/// Lets time pass in steps of 100 ms, in each of which `processes` work without faults.
fn pass(world: &mut World, time_ms: u64, processes: &mut [&mut Process]) {
    for _ in 0..time_ms / 100 {
        world.advance(100);
        for process in &mut *processes {
            process.settle(world);
        }
    }
}

cases! {
    // Guards against a healthy holder that loses its lease.
    renewed_lease_is_kept => {
        let (mut world, mut first, mut second) = held();
        for _ in 0..300 {
            pass(&mut world, 100, &mut [&mut first, &mut second]);
            assert_eq!((first.epoch(&world), second.epoch(&world)), (Some(1), None));
        }
    }

    // Guards against a takeover that is too early, and against one that comes too late for urgent work.
    dead_holder_is_replaced_after_lease_and_margin => {
        let (mut world, first, mut second) = held();
        pass(&mut world, 4400, &mut [&mut second]);
        assert_eq!((first.epoch(&world), second.epoch(&world)), (None, None));
        pass(&mut world, 200, &mut [&mut second]);
        assert_eq!(second.epoch(&world), Some(2));
    }

    // Guards against a holder that believes in its lease after a pause, and whose writes still pass.
    paused_holder_finds_itself_fenced => {
        let (mut world, mut first, mut second) = held();
        let held = first.state.current(world.now).unwrap();
        pass(&mut world, 5000, &mut [&mut second]);
        assert_eq!((first.epoch(&world), second.epoch(&world)), (None, Some(2)));
        let write = first.state.fence(&held).with_put("job/1", "{}");
        assert!(matches!(world.table.apply(&write), TransactionOutcome::Rejected { .. }));
        first.settle(&mut world);
        assert_eq!((first.epoch(&world), second.epoch(&world)), (None, Some(2)));
        assert_eq!(first.state.owner().unwrap().epoch, 2);
    }

    // Guards against a write of the owner that fails because of its own renewal.
    fence_outlives_renewals => {
        let (mut world, mut first, mut second) = held();
        let held = first.state.current(world.now).unwrap();
        pass(&mut world, 3000, &mut [&mut first, &mut second]);
        let write = first.state.fence(&held).with_put("job/1", "{}");
        assert!(matches!(world.table.apply(&write), TransactionOutcome::Committed { .. }));
    }

    // Guards against a pause between the decision to renew and the renewal: the lease that it brings
    // must be counted from before the pause.
    pause_before_the_renewal_takes_effect_costs_lease_time => {
        let (mut world, mut first, _) = held();
        world.advance(1000);
        assert!(first.proceed(&mut world, Fault::None));
        world.advance(2500);
        assert!(first.proceed(&mut world, Fault::None));
        assert!(first.proceed(&mut world, Fault::None));
        world.advance(1400);
        assert_eq!(first.epoch(&world), Some(1));
        world.advance(100);
        assert_eq!(first.epoch(&world), None);
    }

    // Guards against a takeover whose lease is counted from the answer, which can come long after the
    // write took effect.
    pause_before_the_answer_to_a_takeover_costs_lease_time => {
        let mut world = World::new();
        let mut first = Process::new(1);
        for _ in 0..5 {
            assert!(first.proceed(&mut world, Fault::None));
        }
        world.advance(3900);
        assert!(first.proceed(&mut world, Fault::None));
        assert_eq!(first.epoch(&world), Some(1));
        world.advance(100);
        assert_eq!(first.epoch(&world), None);
    }

    // Guards against a contender that counts from before it read, and so from before the renewal.
    contender_counts_from_the_answer => {
        let (mut world, mut first, _) = held();
        let mut third = Process::new(3);
        assert!(third.proceed(&mut world, Fault::None));
        pass(&mut world, 3000, &mut [&mut first]);
        third.settle(&mut world);
        // The holder dies here; its last renewal is good for 4 s.
        pass(&mut world, 4400, &mut [&mut third]);
        assert_eq!(third.epoch(&world), None);
        pass(&mut world, 200, &mut [&mut third]);
        assert_eq!(third.epoch(&world), Some(2));
    }

    // Guards against two contenders that both take over because both saw the lease lapse.
    only_one_of_two_contenders_wins => {
        let (mut world, _, mut second) = held();
        let mut third = Process::new(3);
        third.settle(&mut world);
        pass(&mut world, 4400, &mut [&mut second, &mut third]);
        world.advance(100);
        // Both decide to write before either write takes effect.
        assert!(second.proceed(&mut world, Fault::None));
        assert!(third.proceed(&mut world, Fault::None));
        third.settle(&mut world);
        second.settle(&mut world);
        assert_eq!((second.epoch(&world), third.epoch(&world)), (None, Some(2)));
    }

    // Guards against a holder that gives up, or renews twice, after the answer to a renewal was lost.
    lost_answer_of_a_renewal_is_recognised => {
        let (mut world, mut first, mut second) = held();
        world.advance(1000);
        assert!(first.proceed(&mut world, Fault::None));
        assert!(first.proceed(&mut world, Fault::LoseAnswer));
        world.advance(500);
        first.settle(&mut world);
        // Counted from the lost renewal at 1000 ms, not from the takeover.
        world.advance(3400);
        assert_eq!(first.epoch(&world), Some(1));
        world.advance(100);
        assert_eq!(first.epoch(&world), None);
        first.settle(&mut world);
        assert_eq!(first.epoch(&world), Some(1));
        second.settle(&mut world);
        assert_eq!(second.epoch(&world), None);
    }

    // Guards against a takeover with a lost answer that is either forgotten or counted from too late.
    lost_answer_of_a_takeover_is_recognised => {
        let mut world = World::new();
        let mut first = Process::new(1);
        for fault in [Fault::None, Fault::None, Fault::None, Fault::None, Fault::LoseAnswer] {
            assert!(first.proceed(&mut world, fault));
        }
        world.advance(3000);
        assert_eq!(first.epoch(&world), None);
        first.proceed(&mut world, Fault::None);
        assert!(first.proceed(&mut world, Fault::None));
        assert!(first.proceed(&mut world, Fault::None));
        assert!(first.proceed(&mut world, Fault::None));
        assert_eq!(first.epoch(&world), Some(1));
        let held = first.state.current(world.now).unwrap();
        let write = first.state.fence(&held).with_put("job/1", "{}");
        assert!(matches!(world.table.apply(&write), TransactionOutcome::Committed { .. }));
    }

    // Guards against a renewal that takes effect late and gives a lease counted from a later attempt.
    late_effect_of_an_earlier_renewal_does_not_count_for_a_later_one => {
        let (mut world, mut first, _) = held();
        world.advance(1000);
        for fault in [Fault::None, Fault::LoseRequest, Fault::None, Fault::None, Fault::None, Fault::None] {
            assert!(first.proceed(&mut world, fault));
        }
        let late = world.late.remove(0);
        world.table.apply(&late);
        world.advance(2900);
        for fault in [Fault::None, Fault::LoseRequest, Fault::None, Fault::None, Fault::None, Fault::None] {
            assert!(first.proceed(&mut world, fault));
        }
        world.advance(200);
        assert_eq!(first.epoch(&world), None);
    }

    // Guards against a lease that outlives an outage of the store, and a takeover during or right after it.
    holder_renews_first_after_an_outage => {
        let (mut world, mut first, mut second) = held();
        for _ in 0..100 {
            world.advance(100);
            for process in [&mut first, &mut second] {
                for _ in 0..3 {
                    process.proceed(&mut world, Fault::Down);
                }
            }
        }
        assert_eq!((first.epoch(&world), second.epoch(&world)), (None, None));
        second.settle(&mut world);
        first.settle(&mut world);
        assert_eq!((first.epoch(&world), second.epoch(&world)), (Some(1), None));
    }

    // Guards against a lease that stays with a holder that cannot reach the store.
    lease_moves_when_the_store_is_down_for_the_holder_only => {
        let (mut world, mut first, mut second) = held();
        for _ in 0..50 {
            world.advance(100);
            for _ in 0..3 {
                first.proceed(&mut world, Fault::Down);
            }
            second.settle(&mut world);
            assert!(first.epoch(&world).is_none() || second.epoch(&world).is_none());
        }
        assert_eq!((first.epoch(&world), second.epoch(&world)), (None, Some(2)));
    }

    // Guards against a planned stop that costs the wait for the lease, or after which old writes pass.
    released_lease_moves_at_once => {
        let (mut world, mut first, mut second) = held();
        let held = first.state.current(world.now).unwrap();
        first.state.release();
        assert_eq!(first.epoch(&world), None);
        first.settle(&mut world);
        assert!(first.is_stopped);
        let write = first.state.fence(&held).with_put("job/1", "{}");
        assert!(matches!(world.table.apply(&write), TransactionOutcome::Rejected { .. }));
        pass(&mut world, 600, &mut [&mut second]);
        assert_eq!(second.epoch(&world), Some(2));
    }

    // Guards against a stop that waits for a store that is down.
    release_ends_when_the_lease_has_lapsed => {
        let (mut world, mut first, _) = held();
        first.state.release();
        for _ in 0..80 {
            world.advance(100);
            first.proceed(&mut world, Fault::Down);
        }
        assert!(first.is_stopped);
    }

    // Guards against a restarted process that takes its predecessor's lease for its own.
    restarted_holder_waits_for_the_old_lease => {
        let (mut world, _, _) = held();
        let mut restarted = Process::new(3);
        pass(&mut world, 4400, &mut [&mut restarted]);
        assert_eq!(restarted.epoch(&world), None);
        pass(&mut world, 500, &mut [&mut restarted]);
        assert_eq!(restarted.epoch(&world), Some(2));
        assert!(world.table.read(&[owner_key("rezekne")])[0].is_some());
    }
}
