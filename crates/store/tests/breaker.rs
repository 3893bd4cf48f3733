//! Tests of the circuit breaker on a simulated clock.

use std::time::Duration;
use std::time::Instant;

use nutmegwalk_store::Breaker;
use nutmegwalk_store::Duty;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

fn opened(now: Instant) -> Breaker {
    let mut breaker = Breaker::new();
    for _ in 0..5 {
        assert!(breaker.is_closed());
        breaker.failed(now);
    }
    breaker
}

cases! {
    // Guards against a breaker that opens although requests succeed in between.
    opens_after_five_failures_in_a_row => {
        let now = Instant::now();
        let mut breaker = Breaker::new();
        for _ in 0..20 {
            for _ in 0..4 {
                breaker.failed(now);
            }
            breaker.succeeded(now);
        }
        assert!(breaker.is_closed());
        assert!(!opened(now).is_closed());
    }

    // Guards against probes that never slow down or stop coming.
    probes_back_off_from_100_ms_to_5_s => {
        let mut now = Instant::now();
        let mut breaker = opened(now);
        let mut waits = Vec::new();
        for _ in 0..12 {
            let wait = breaker.wait(Duty::Acceptance, now);
            waits.push(wait);
            now += wait;
            breaker.start(now);
            breaker.failed(now);
        }
        assert!(waits[0] >= Duration::from_millis(50) && waits[0] <= Duration::from_millis(100));
        assert!(waits.iter().all(|wait| *wait <= Duration::from_secs(5)));
        assert!(waits[11] >= Duration::from_millis(2500), "{waits:?}");
        // A lease of 4 s must survive a long delay between probes.
        assert!(breaker.wait(Duty::Ownership, now) <= Duration::from_secs(1));
    }

    // Guards against all waiting requests being sent as probes at once.
    one_probe_at_a_time => {
        let now = Instant::now();
        let mut breaker = opened(now);
        let now = now + breaker.wait(Duty::Acceptance, now);
        breaker.start(now);
        assert!(breaker.wait(Duty::Acceptance, now) > Duration::ZERO);
        assert_eq!(breaker.wait(Duty::Ownership, now), Duration::ZERO);
        // A probe whose caller went away does not block the others for good.
        assert_eq!(breaker.wait(Duty::Acceptance, now + Duration::from_secs(10)), Duration::ZERO);
    }

    // Guards against a burst of everything that waited, which would bring the store down again.
    returns_at_a_growing_pace => {
        let mut now = Instant::now();
        let mut breaker = opened(now);
        now += breaker.wait(Duty::Acceptance, now);
        breaker.start(now);
        breaker.succeeded(now);
        let mut gaps = Vec::new();
        while !breaker.is_closed() {
            let wait = breaker.wait(Duty::Acceptance, now);
            gaps.push(wait);
            now += wait;
            breaker.start(now);
            breaker.succeeded(now);
            assert!(gaps.len() < 50);
        }
        assert!(gaps.len() >= 4 && gaps[0] >= Duration::from_millis(25), "{gaps:?}");
        assert!(gaps.is_sorted_by(|earlier, later| earlier >= later), "{gaps:?}");
    }

    // Guards against a return that ignores that the store fails again.
    failure_during_the_return_opens_again => {
        let mut now = Instant::now();
        let mut breaker = opened(now);
        now += breaker.wait(Duty::Acceptance, now);
        breaker.start(now);
        breaker.succeeded(now);
        breaker.failed(now);
        assert!(breaker.wait(Duty::Acceptance, now) >= Duration::from_millis(100));
    }
}
