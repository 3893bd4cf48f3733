//! Tests of submissions that the store executes without an answer, or cannot confirm.

mod common;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use common::CALL_LIMIT;
use common::JOB_ID;
use common::caller;
use common::intake;
use common::one_task;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::Result;
use nutmegwalk_emulator::EmulatedStore;
use nutmegwalk_intake::Caller;
use nutmegwalk_intake::Intake;
use nutmegwalk_intake::JobView;
use nutmegwalk_workload::JobRow;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() {
            compio::runtime::Runtime::new().expect("a runtime").block_on(async $body)
        })*
    };
}

/// Time limit of a call to a store that does not answer.
const SHORT_LIMIT: Duration = Duration::from_secs(4);

/// An entry host whose view of the jobs stays empty.
struct Host {
    store: EmulatedStore,
    intake: Intake,
    caller: Caller,
}

impl Host {
    fn new(store: &EmulatedStore) -> Self {
        let view = JobView::new(Rc::new(store.connection()));
        Self {
            store: store.clone(),
            intake: intake(store, &view, CALL_LIMIT),
            caller: caller(),
        }
    }

    async fn submit(&self) -> Result<()> {
        self.intake
            .submit(&self.caller, JOB_ID, one_task(), SHORT_LIMIT)
            .await
    }

    async fn submit_in_vain(&self) -> Error {
        self.submit().await.expect_err("the store is down")
    }

    /// Submits until the store is probed again; each refusal in between says that the outcome is unknown.
    async fn submit_until_known(&self) {
        let started = Instant::now();
        while let Err(error) = self.submit().await {
            assert_eq!(error.outcome(), Outcome::Unknown);
            assert!(
                started.elapsed() < CALL_LIMIT,
                "the job is not known: {error}"
            );
        }
    }

    fn is_stored(&self) -> bool {
        self.store.memory.read(&[JobRow::Accepted.key(JOB_ID)])[0].is_some()
    }
}

cases! {
    // Guards against a repetition that is answered as not run although the first attempt has stored the job.
    repetition_of_an_unresolved_submission_is_not_answered_as_not_run => {
        let host = Host::new(&EmulatedStore::new());
        host.store.goes_down_with_next_write.set(true);
        assert_eq!(host.submit_in_vain().await.kind, ErrorKind::StoreUnknown);
        assert!(host.is_stored());
        assert_eq!(host.submit_in_vain().await.outcome(), Outcome::Unknown);
        host.store.is_down.set(false);
        host.submit_until_known().await;
    }

    // Guards against a caller whose repetitions are used up within an outage, as each is answered at once.
    repetition_of_an_unresolved_submission_waits_for_the_store => {
        let host = Host::new(&EmulatedStore::new());
        host.store.goes_down_with_next_write.set(true);
        assert_eq!(host.submit_in_vain().await.kind, ErrorKind::StoreUnknown);
        let store = host.store.clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(Duration::from_millis(300)).await;
            store.is_down.set(false);
        })
        .detach();
        let repeated = host.intake.submit(&host.caller, JOB_ID, one_task(), CALL_LIMIT);
        repeated.await.expect("the job is known");
    }

    // Guards against a job that exists, as another host has accepted it, being answered as not run.
    existing_job_that_cannot_be_read_is_not_answered_as_not_run => {
        let store = EmulatedStore::new();
        Host::new(&store).submit().await.expect("the store accepts the job");
        let host = Host::new(&store);
        host.store.goes_down_with_next_write.set(true);
        assert_eq!(host.submit_in_vain().await.outcome(), Outcome::Unknown);
    }

    // Guards against a job that is accepted although no row can hold it, or refused without a reason.
    job_that_no_row_can_hold_is_refused_with_the_reason => {
        let host = Host::new(&EmulatedStore::new());
        let mut spec = one_task();
        spec.payload = "x".repeat(70_000).into();
        let result = host.intake.submit(&host.caller, JOB_ID, spec, SHORT_LIMIT).await;
        let error = result.expect_err("the job is too large");
        assert_eq!(error.kind, ErrorKind::TooLarge);
        assert!(error.detail.contains("bytes can be stored"), "{error}");
        assert!(!host.is_stored());
    }

    // Guards against callers that are kept asking for a job that no attempt can have stored.
    submission_that_reaches_no_store_is_answered_as_not_run => {
        let host = Host::new(&EmulatedStore::new());
        host.store.is_down.set(true);
        for _ in 0..2 {
            assert_eq!(host.submit_in_vain().await.outcome(), Outcome::NotRun);
        }
        assert!(!host.is_stored());
    }
}
