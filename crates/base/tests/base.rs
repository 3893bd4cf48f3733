//! Tests of error kinds, secrets, backoff and metrics.

use std::collections::HashSet;
use std::time::Duration;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::backoff::Backoff;
use nutmegwalk_base::metrics::Metrics;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_base::secret::token_digest;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

cases! {
    // Guards against two kinds that a client cannot distinguish.
    kind_names_are_unique_and_round_trip => {
        let names: HashSet<_> = ErrorKind::ALL.iter().map(|kind| kind.name()).collect();
        assert_eq!(names.len(), ErrorKind::ALL.len());
        for kind in ErrorKind::ALL {
            assert_eq!(ErrorKind::from_name(kind.name()), Some(*kind));
        }
    }

    // Guards against an error that claims more than is known: a lost answer never means "not run".
    lost_answers_have_unknown_outcome => {
        for kind in [ErrorKind::UnknownOutcome, ErrorKind::StoreUnknown, ErrorKind::BadGateway, ErrorKind::KeyExpired] {
            assert_eq!(Error::new(kind, "x").outcome(), Outcome::Unknown);
        }
    }

    // Guards against secrets in debug output, and thus in logs.
    secret_is_not_printed => {
        let secret = Secret::new("hunter2");
        assert!(!format!("{secret:?}").contains("hunter2"));
        assert!(secret.matches("hunter2"));
        assert!(!secret.matches("hunter"));
        assert_eq!(token_digest("a").len(), 64);
    }

    // Guards against retries without a delay and against delays over the limit.
    backoff_grows_to_its_limit => {
        let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(5));
        for _ in 0..20 {
            let delay = backoff.next_delay();
            assert!(delay >= Duration::from_millis(50) && delay <= Duration::from_secs(5));
        }
        assert!(backoff.next_delay() >= Duration::from_millis(2500));
    }

    // Guards against an exporter that is not attached to the meter.
    counters_are_exported => {
        let metrics = Metrics::new().unwrap();
        metrics.meter().u64_counter("calls").build().add(3, &[]);
        let text = String::from_utf8(metrics.to_text().unwrap()).unwrap();
        assert!(text.contains("calls_total 3"), "{text}");
    }
}
