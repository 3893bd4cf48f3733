//! Tests of changes: versions, deltas and service states.

use std::path::Path;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_config::Change;
use nutmegwalk_config::ChangeKind;
use nutmegwalk_config::Configuration;
use nutmegwalk_config::Delta;
use nutmegwalk_config::apply;
use nutmegwalk_config::load;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

fn example() -> Configuration {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kurzeme");
    load(&[directory]).unwrap()
}

fn change(version: u64, kind: ChangeKind) -> Change {
    Change {
        version,
        by: "anna".into(),
        at_unix_ms: 0,
        kind,
    }
}

fn publish(current: &Configuration, wanted: &Configuration) -> Configuration {
    let kind = ChangeKind::Publish(Delta::between(current, wanted));
    apply(current, &change(current.version + 1, kind)).unwrap()
}

fn take_out(current: &Configuration, lost: bool) -> Configuration {
    let kind = ChangeKind::TakeOut {
        data_centre: "ventspils".into(),
        lost,
    };
    apply(current, &change(current.version + 1, kind)).unwrap()
}

cases! {
    // Guards against a version that is skipped, applied twice or replaced by an older one.
    only_the_next_version_is_applied => {
        let first = publish(&Configuration::default(), &example());
        assert_eq!(first.version, 1);
        for version in [0, 1, 3, u64::MAX] {
            let next = change(version, ChangeKind::Publish(Delta::default()));
            assert_eq!(apply(&first, &next).unwrap_err().kind, ErrorKind::Conflict);
        }
        let last = Configuration { version: u64::MAX, ..Configuration::default() };
        let next = change(0, ChangeKind::Publish(Delta::default()));
        assert_eq!(apply(&last, &next).unwrap_err().kind, ErrorKind::Conflict);
    }

    // Guards against a publish of files that returns a data centre to service.
    publish_keeps_service_states => {
        let first = publish(&Configuration::default(), &example());
        let out = take_out(&first, false);
        assert!(!out.data_centres["ventspils"].in_service);
        assert!(out.data_centres["valmiera"].in_service);
        // The files contain no service state, so publishing them again is no change.
        assert!(Delta::between(&out, &example()).is_empty());
        let mut wider = example();
        wider.data_centres.get_mut("ventspils").unwrap().racks.get_mut("v2").unwrap().workers = 3;
        let published = publish(&out, &wider);
        assert!(!published.data_centres["ventspils"].in_service);
        // Removing the data centre from the files and adding it again does not return it either.
        let mut without = wider.clone();
        without.data_centres.remove("ventspils");
        let again = publish(&publish(&published, &without), &wider);
        assert!(!again.data_centres["ventspils"].in_service);
        let kind = ChangeKind::Return { data_centre: "ventspils".into() };
        let returned = apply(&again, &change(again.version + 1, kind)).unwrap();
        assert!(returned.data_centres["ventspils"].in_service);
        assert!(returned.taken_out.is_empty());
    }

    // Guards against a dispatcher that is not notified that a data centre is lost.
    lost_is_recorded => {
        let first = publish(&Configuration::default(), &example());
        let out = take_out(&first, false);
        assert!(!out.taken_out["ventspils"].lost);
        let lost = take_out(&out, true);
        assert!(lost.taken_out["ventspils"].lost);
        assert_eq!(lost.taken_out["ventspils"].version, 3);
    }

    // Guards against a change of an unknown data centre that is applied without effect.
    unknown_data_centre_is_rejected => {
        let first = publish(&Configuration::default(), &example());
        let kind = ChangeKind::TakeOut { data_centre: "riga".into(), lost: false };
        assert_eq!(apply(&first, &change(2, kind)).unwrap_err().kind, ErrorKind::NotFound);
    }

    // Guards against a delta that does not lead to the published configuration, or that contains unchanged
    // entries.
    delta_is_minimal_and_complete => {
        let first = publish(&Configuration::default(), &example());
        let mut wanted = example();
        wanted.customers.remove("kiln-survey");
        wanted.customers.get_mut("night-audit").unwrap().weight = 9;
        let delta = Delta::between(&first, &wanted);
        assert_eq!(&*delta.summary(), "remove customer kiln-survey, set customer night-audit");
        let second = publish(&first, &wanted);
        assert_eq!(Configuration { version: 0, ..second }, wanted);
    }

    // Guards against stored changes that cannot be decoded again.
    changes_round_trip_as_json => {
        let mut wanted = example();
        wanted.customers.remove("kiln-survey");
        for kind in [
            ChangeKind::Publish(Delta::between(&example(), &wanted)),
            ChangeKind::TakeOut { data_centre: "ventspils".into(), lost: true },
            ChangeKind::Return { data_centre: "ventspils".into() },
        ] {
            let original = change(7, kind);
            let text = serde_json::to_string(&original).unwrap();
            assert_eq!(serde_json::from_str::<Change>(&text).unwrap(), original);
        }
    }
}
