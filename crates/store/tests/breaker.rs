//! Tests of the circuit breaker on a simulated clock.

use std::time::Duration;
use std::time::Instant;

use nutmegwalk_store::CircuitBreaker;
use nutmegwalk_store::RequestClass;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

fn open_breaker(now: Instant) -> CircuitBreaker {
    let mut breaker = CircuitBreaker::new();
    for _ in 0..5 {
        assert!(breaker.is_closed());
        breaker.record_failure(now);
    }
    breaker
}

cases! {
    // Guards against a breaker that opens after non-consecutive failures.
    opens_after_five_failures_in_a_row => {
        let now = Instant::now();
        let mut breaker = CircuitBreaker::new();
        for _ in 0..20 {
            for _ in 0..4 {
                breaker.record_failure(now);
            }
            breaker.record_success(now);
        }
        assert!(breaker.is_closed());
        assert!(!open_breaker(now).is_closed());
    }

    // Guards against probes whose delay does not increase, or increases without bound.
    probe_delay_backs_off_from_100_ms_to_5_s => {
        let mut now = Instant::now();
        let mut breaker = open_breaker(now);
        let mut wait_times = Vec::new();
        for _ in 0..12 {
            let wait_time = breaker.wait_time(RequestClass::Acceptance, now);
            wait_times.push(wait_time);
            now += wait_time;
            breaker.record_start(now);
            breaker.record_failure(now);
        }
        assert!(wait_times[0] >= Duration::from_millis(50) && wait_times[0] <= Duration::from_millis(100));
        assert!(wait_times.iter().all(|wait_time| *wait_time <= Duration::from_secs(5)));
        assert!(wait_times[11] >= Duration::from_millis(2500), "{wait_times:?}");
        // A lease of 4 s must survive a long delay between probes.
        assert!(breaker.wait_time(RequestClass::Ownership, now) <= Duration::from_secs(1));
    }

    // Guards against sending all waiting requests as probes at the same time.
    only_one_probe_is_sent_at_a_time => {
        let now = Instant::now();
        let mut breaker = open_breaker(now);
        let now = now + breaker.wait_time(RequestClass::Acceptance, now);
        breaker.record_start(now);
        assert!(breaker.wait_time(RequestClass::Acceptance, now) > Duration::ZERO);
        assert_eq!(breaker.wait_time(RequestClass::Ownership, now), Duration::ZERO);
        // A probe that was dropped by its caller does not block the others permanently.
        assert_eq!(breaker.wait_time(RequestClass::Acceptance, now + Duration::from_secs(10)), Duration::ZERO);
    }

    // Guards against a burst of all waiting requests after an outage, which would overload the store again.
    request_rate_increases_gradually_after_a_probe => {
        let mut now = Instant::now();
        let mut breaker = open_breaker(now);
        now += breaker.wait_time(RequestClass::Acceptance, now);
        breaker.record_start(now);
        breaker.record_success(now);
        let mut wait_times = Vec::new();
        while !breaker.is_closed() {
            let wait_time = breaker.wait_time(RequestClass::Acceptance, now);
            wait_times.push(wait_time);
            now += wait_time;
            breaker.record_start(now);
            breaker.record_success(now);
            assert!(wait_times.len() < 50);
        }
        assert!(wait_times.len() >= 4 && wait_times[0] >= Duration::from_millis(25), "{wait_times:?}");
        assert!(wait_times.is_sorted_by(|earlier, later| earlier >= later), "{wait_times:?}");
    }

    // Guards against a recovery that ignores a new failure of the store.
    failure_during_recovery_opens_again => {
        let mut now = Instant::now();
        let mut breaker = open_breaker(now);
        now += breaker.wait_time(RequestClass::Acceptance, now);
        breaker.record_start(now);
        breaker.record_success(now);
        breaker.record_failure(now);
        assert!(breaker.wait_time(RequestClass::Acceptance, now) >= Duration::from_millis(100));
    }
}
