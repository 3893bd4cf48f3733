//! Tests of membership: liveness, incarnations, reports and digests.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::address;
use common::report;

use nutmegwalk_sync::Membership;
use nutmegwalk_sync::Payload;
use nutmegwalk_sync::Recorded;
use nutmegwalk_sync::Report;
use nutmegwalk_sync::ReportUpdate;
use nutmegwalk_sync::Role;
use nutmegwalk_sync::SyncTimings;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

fn agent(process: &str) -> Report {
    report(process, Role::Agent, Some("ventspils"), address(1))
}

fn full(report: &Report) -> ReportUpdate {
    ReportUpdate {
        report: Some(report.clone()),
        ..sign(report)
    }
}

fn sign(report: &Report) -> ReportUpdate {
    ReportUpdate {
        process: report.process.clone(),
        incarnation: report.incarnation,
        revision: report.revision,
        confirmed_version: 1,
        silent_ms: 0,
        digest: None,
        report: None,
    }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

struct Bench {
    membership: Membership,
    now: Instant,
}

impl Bench {
    fn new() -> Self {
        // Later than the process's start, so that earlier instants exist.
        let now = Instant::now() + seconds(3600);
        Self {
            membership: Membership::new(SyncTimings::default()),
            now,
        }
    }

    fn record(&self, update: &ReportUpdate) -> Recorded {
        self.membership.record(update, true, self.now)
    }

    /// Lets time pass with regular ticks, as [`Membership::run`] makes them.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(500).min(end - self.now);
            self.membership.tick(self.now);
        }
    }

    fn alive(&self) -> usize {
        self.membership.alive().len()
    }
}

cases! {
    // Guards against a failed process that keeps getting work, and a slow one that loses it.
    silence_for_five_seconds_is_failure => {
        let mut bench = Bench::new();
        let a = agent("a");
        assert_eq!(bench.record(&full(&a)), Recorded::Accepted);
        bench.membership.tick(bench.now);
        let revision = bench.membership.revision();
        bench.pass(Duration::from_millis(4900));
        assert_eq!((bench.alive(), bench.membership.revision()), (1, revision));
        bench.pass(Duration::from_millis(100));
        assert_eq!(bench.alive(), 0);
        assert!(bench.membership.revision() > revision);
        assert!(!bench.membership.get("a").unwrap().alive);
        assert_eq!(bench.record(&sign(&a)), Recorded::Accepted);
        assert_eq!(bench.alive(), 1);
        bench.pass(seconds(601));
        assert!(bench.membership.get("a").is_none());
    }

    // Guards against declaring everyone failed because this process itself was paused.
    own_pause_is_not_silence_of_others => {
        let mut bench = Bench::new();
        bench.membership.tick(bench.now);
        bench.record(&full(&agent("a")));
        bench.now += seconds(30);
        bench.membership.tick(bench.now);
        assert_eq!(bench.alive(), 1);
        bench.pass(seconds(6));
        assert_eq!(bench.alive(), 0);
    }

    // Guards against a restarted process that is shadowed by its predecessor.
    new_incarnation_replaces_the_old_one => {
        let mut bench = Bench::new();
        let old = agent("a");
        bench.record(&full(&old));
        bench.pass(seconds(1));
        let mut new = agent("a");
        new.address = address(2);
        assert_eq!(bench.record(&sign(&new)), Recorded::Wanted);
        assert_eq!(bench.membership.get("a").unwrap().report.incarnation, old.incarnation);
        assert_eq!(bench.record(&full(&new)), Recorded::Accepted);
        bench.pass(seconds(1));
        assert_eq!(bench.record(&full(&old)), Recorded::Refused);
        assert_eq!(bench.membership.get("a").unwrap().report.address, address(2));
    }

    // Guards against a relay that still passes on the predecessor to a receiver that never heard it itself.
    incarnation_heard_earlier_is_refused => {
        let bench = Bench::new();
        let (old, new) = (agent("a"), agent("a"));
        bench.record(&full(&new));
        let late = ReportUpdate { silent_ms: 1500, ..full(&old) };
        assert_eq!(bench.record(&late), Recorded::Refused);
        assert_eq!(bench.membership.get("a").unwrap().report.incarnation, new.incarnation);
    }

    // Guards against routing by a report that is out of date.
    only_newer_revisions_replace_a_report => {
        let bench = Bench::new();
        let mut a = agent("a");
        a.revision = 5;
        bench.record(&full(&a));
        let revision = bench.membership.revision();
        let older = Report { revision: 4, payload: Payload::new(b"old"), ..a.clone() };
        bench.record(&full(&older));
        assert_eq!(bench.membership.get("a").unwrap().report.payload, Payload::default());
        assert_eq!(bench.record(&sign(&a)), Recorded::Accepted);
        assert_eq!(bench.membership.revision(), revision);
        let newer = Report { revision: 6, payload: Payload::new(b"new"), draining: true, ..a };
        assert_eq!(bench.record(&sign(&newer)), Recorded::Wanted);
        assert_eq!(bench.record(&full(&newer)), Recorded::Accepted);
        assert!(bench.membership.get("a").unwrap().report.draining);
        assert!(bench.membership.revision() > revision);
    }

    // Guards against a report that differs although its revision is the same.
    digest_finds_and_repairs_a_difference => {
        let bench = Bench::new();
        let damaged = agent("a");
        let right = Report { payload: Payload::new(b"right"), ..damaged.clone() };
        bench.record(&full(&damaged));
        assert_eq!(bench.record(&sign(&right)), Recorded::Accepted);
        let checked = ReportUpdate { digest: Some(right.digest()), ..sign(&right) };
        assert_eq!(bench.record(&checked), Recorded::Wanted);
        bench.record(&full(&right));
        assert_eq!(bench.record(&checked), Recorded::Accepted);
        assert_eq!(bench.membership.get("a").unwrap().report.payload.as_bytes(), b"right");
    }

    // Guards against updates that contradict themselves or lie in an impossible past.
    contradicting_updates_are_refused => {
        let bench = Bench::new();
        let a = agent("a");
        for update in [
            ReportUpdate { process: "b".into(), ..full(&a) },
            ReportUpdate { incarnation: 7, ..full(&a) },
            ReportUpdate { revision: 9, ..full(&a) },
            ReportUpdate { silent_ms: 5000, ..full(&a) },
            ReportUpdate { silent_ms: u64::MAX, ..full(&a) },
        ] {
            assert_eq!(bench.record(&update), Recorded::Refused);
        }
        assert_eq!(bench.alive(), 0);
    }

    // Guards against "in force everywhere" being reported while a live process is behind.
    confirmed_versions_are_collected => {
        let mut bench = Bench::new();
        assert_eq!(bench.membership.oldest_confirmed(), None);
        for (process, confirmed_version) in [("a", 4), ("b", 6), ("c", 2)] {
            bench.record(&ReportUpdate { confirmed_version, ..full(&agent(process)) });
        }
        assert_eq!(bench.membership.oldest_confirmed(), Some(2));
        assert_eq!(bench.membership.not_confirmed(5), ["a".into(), "c".into()]);
        for process in ["a", "b"] {
            bench.pass(seconds(3));
            let member = bench.membership.get(process).unwrap();
            bench.record(&ReportUpdate { confirmed_version: 6, ..sign(&member.report) });
        }
        // The failed process no longer counts.
        assert_eq!(bench.membership.not_confirmed(6), Vec::<Box<str>>::new());
        assert_eq!(bench.membership.in_data_centre("ventspils", Role::Agent).len(), 2);
        assert_eq!(bench.membership.in_data_centre("valmiera", Role::Agent).len(), 0);
        assert_eq!(bench.membership.in_data_centre("ventspils", Role::Entry).len(), 0);
    }
}
