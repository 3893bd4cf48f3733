//! Tests of membership: liveness, incarnations, reports and digests.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::address;
use common::report;

use nutmegwalk_sync::Membership;
use nutmegwalk_sync::Payload;
use nutmegwalk_sync::RecordOutcome;
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

fn with_report(report: &Report) -> ReportUpdate {
    ReportUpdate {
        report: Some(report.clone()),
        ..heartbeat(report)
    }
}

fn heartbeat(report: &Report) -> ReportUpdate {
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

struct Fixture {
    membership: Membership,
    now: Instant,
}

impl Fixture {
    fn new() -> Self {
        // In the future, so that earlier instants can be represented.
        let now = Instant::now() + seconds(3600);
        Self {
            membership: Membership::new(SyncTimings::default()),
            now,
        }
    }

    fn record(&self, update: &ReportUpdate) -> RecordOutcome {
        self.membership.record(update, true, self.now)
    }

    /// Advances the time with regular ticks, as [`Membership::run`] does.
    fn advance_time(&mut self, time: Duration) {
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
    // Guards against a failed process that counts as alive and gets work, and a slow one that counts as failed
    // and loses its work.
    process_fails_after_five_seconds_without_contact => {
        let mut fixture = Fixture::new();
        let a = agent("a");
        assert_eq!(fixture.record(&with_report(&a)), RecordOutcome::Accepted);
        fixture.membership.tick(fixture.now);
        let revision = fixture.membership.revision();
        fixture.advance_time(Duration::from_millis(4900));
        assert_eq!((fixture.alive(), fixture.membership.revision()), (1, revision));
        fixture.advance_time(Duration::from_millis(100));
        assert_eq!(fixture.alive(), 0);
        assert!(fixture.membership.revision() > revision);
        assert!(!fixture.membership.get("a").unwrap().alive);
        assert_eq!(fixture.record(&heartbeat(&a)), RecordOutcome::Accepted);
        assert_eq!(fixture.alive(), 1);
        fixture.advance_time(seconds(601));
        assert!(fixture.membership.get("a").is_none());
    }

    // Guards against marking all processes as failed because this process itself was paused.
    own_pause_does_not_fail_other_processes => {
        let mut fixture = Fixture::new();
        fixture.membership.tick(fixture.now);
        fixture.record(&with_report(&agent("a")));
        fixture.now += seconds(30);
        fixture.membership.tick(fixture.now);
        assert_eq!(fixture.alive(), 1);
        fixture.advance_time(seconds(6));
        assert_eq!(fixture.alive(), 0);
    }

    // Guards against a restarted process whose reports are ignored in favour of its previous incarnation.
    new_incarnation_replaces_the_old_one => {
        let mut fixture = Fixture::new();
        let old = agent("a");
        fixture.record(&with_report(&old));
        fixture.advance_time(seconds(1));
        let mut new = agent("a");
        new.address = address(2);
        assert_eq!(fixture.record(&heartbeat(&new)), RecordOutcome::ReportNeeded);
        assert_eq!(fixture.membership.get("a").unwrap().report.incarnation, old.incarnation);
        assert_eq!(fixture.record(&with_report(&new)), RecordOutcome::Accepted);
        fixture.advance_time(seconds(1));
        assert_eq!(fixture.record(&with_report(&old)), RecordOutcome::Rejected);
        assert_eq!(fixture.membership.get("a").unwrap().report.address, address(2));
    }

    // Guards against a relay that still forwards the previous incarnation to a receiver that has only received
    // the new one.
    incarnation_with_earlier_contact_is_rejected => {
        let fixture = Fixture::new();
        let (old, new) = (agent("a"), agent("a"));
        fixture.record(&with_report(&new));
        let late = ReportUpdate { silent_ms: 1500, ..with_report(&old) };
        assert_eq!(fixture.record(&late), RecordOutcome::Rejected);
        assert_eq!(fixture.membership.get("a").unwrap().report.incarnation, new.incarnation);
    }

    // Guards against a late update of an ended incarnation, at a receiver that has only heard of its successor, that keeps the
    // successor out.
    incarnation_outlives_a_late_update_of_the_one_before => {
        let mut fixture = Fixture::new();
        let (old, new) = (agent("a"), agent("a"));
        fixture.record(&with_report(&new));
        fixture.advance_time(seconds(1));
        fixture.record(&with_report(&old));
        for _ in 0..3 {
            fixture.advance_time(seconds(1));
            fixture.record(&with_report(&new));
        }
        assert_eq!(fixture.membership.get("a").unwrap().report.incarnation, new.incarnation);
    }

    // Guards against an older report that replaces a newer one, so that requests are routed by outdated data.
    only_newer_revisions_replace_a_report => {
        let fixture = Fixture::new();
        let mut a = agent("a");
        a.revision = 5;
        fixture.record(&with_report(&a));
        let revision = fixture.membership.revision();
        let older = Report { revision: 4, payload: Payload::new(b"old"), ..a.clone() };
        fixture.record(&with_report(&older));
        assert_eq!(fixture.membership.get("a").unwrap().report.payload, Payload::default());
        assert_eq!(fixture.record(&heartbeat(&a)), RecordOutcome::Accepted);
        assert_eq!(fixture.membership.revision(), revision);
        let newer = Report { revision: 6, payload: Payload::new(b"new"), draining: true, ..a };
        assert_eq!(fixture.record(&heartbeat(&newer)), RecordOutcome::ReportNeeded);
        assert_eq!(fixture.record(&with_report(&newer)), RecordOutcome::Accepted);
        assert!(fixture.membership.get("a").unwrap().report.draining);
        assert!(fixture.membership.revision() > revision);
    }

    // Guards against a report that stays different although its revision is the same.
    digest_detects_and_repairs_a_difference => {
        let fixture = Fixture::new();
        let damaged = agent("a");
        let right = Report { payload: Payload::new(b"right"), ..damaged.clone() };
        fixture.record(&with_report(&damaged));
        assert_eq!(fixture.record(&heartbeat(&right)), RecordOutcome::Accepted);
        let checked = ReportUpdate { digest: Some(right.digest()), ..heartbeat(&right) };
        assert_eq!(fixture.record(&checked), RecordOutcome::ReportNeeded);
        fixture.record(&with_report(&right));
        assert_eq!(fixture.record(&checked), RecordOutcome::Accepted);
        assert_eq!(fixture.membership.get("a").unwrap().report.payload.as_bytes(), b"right");
    }

    // Guards against accepting updates that are inconsistent, or whose last contact is too long ago.
    inconsistent_updates_are_rejected => {
        let fixture = Fixture::new();
        let a = agent("a");
        for update in [
            ReportUpdate { process: "b".into(), ..with_report(&a) },
            ReportUpdate { incarnation: 7, ..with_report(&a) },
            ReportUpdate { revision: 9, ..with_report(&a) },
            ReportUpdate { silent_ms: 5000, ..with_report(&a) },
            ReportUpdate { silent_ms: u64::MAX, ..with_report(&a) },
        ] {
            assert_eq!(fixture.record(&update), RecordOutcome::Rejected);
        }
        assert_eq!(fixture.alive(), 0);
    }

    // Guards against a version reported as in force everywhere while a live process still has an older one.
    confirmed_versions_are_collected => {
        let mut fixture = Fixture::new();
        assert_eq!(fixture.membership.oldest_confirmed(), None);
        for (process, confirmed_version) in [("a", 4), ("b", 6), ("c", 2)] {
            fixture.record(&ReportUpdate { confirmed_version, ..with_report(&agent(process)) });
        }
        assert_eq!(fixture.membership.oldest_confirmed(), Some(2));
        assert_eq!(fixture.membership.not_confirmed(5), ["a".into(), "c".into()]);
        for process in ["a", "b"] {
            fixture.advance_time(seconds(3));
            let member = fixture.membership.get(process).unwrap();
            fixture.record(&ReportUpdate { confirmed_version: 6, ..heartbeat(&member.report) });
        }
        // The failed process no longer counts.
        assert_eq!(fixture.membership.not_confirmed(6), Vec::<Box<str>>::new());
        assert_eq!(fixture.membership.in_data_centre("ventspils", Role::Agent).len(), 2);
        assert_eq!(fixture.membership.in_data_centre("valmiera", Role::Agent).len(), 0);
        assert_eq!(fixture.membership.in_data_centre("ventspils", Role::Entry).len(), 0);
    }
}
