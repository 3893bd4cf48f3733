//! Tests of cancelling a job while the entry host's view of it is behind the store.

mod common;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use common::CALL_LIMIT;
use common::JOB_ID;
use common::caller;
use common::intake;
use common::one_task;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_emulator::EmulatedStore;
use nutmegwalk_intake::Caller;
use nutmegwalk_intake::Intake;
use nutmegwalk_intake::JobView;
use nutmegwalk_store::Transaction;
use nutmegwalk_workload::JobProgress;
use nutmegwalk_workload::JobRow;
use nutmegwalk_workload::JobState;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() {
            compio::runtime::Runtime::new().expect("a runtime").block_on(async $body)
        })*
    };
}

/// An entry host with one accepted job, whose feed delivers nothing afterwards.
struct Host {
    store: EmulatedStore,
    intake: Intake,
    caller: Caller,
}

impl Host {
    async fn new() -> Self {
        Self::with_tasks(1).await
    }

    /// Creates a host whose job has `tasks` tasks.
    async fn with_tasks(tasks: u32) -> Self {
        let store = EmulatedStore::new();
        let feed = store.connection();
        let view = JobView::new(Rc::new(feed.clone()));
        let follower = view.clone();
        compio::runtime::spawn(async move { follower.run().await }).detach();
        let intake = intake(&store, &view, CALL_LIMIT);
        let host = Self {
            store,
            intake,
            caller: caller(),
        };
        let mut spec = one_task();
        spec.steps[0].tasks = tasks;
        let submitted = host
            .intake
            .submit(&host.caller, JOB_ID, spec, CALL_LIMIT)
            .await;
        submitted.expect("the store accepts the job");
        let started = Instant::now();
        while view.age().is_none() {
            assert!(started.elapsed() < CALL_LIMIT, "the feed is not read");
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        feed.close();
        host
    }

    /// Stores the job's progress without the entry host noticing.
    fn store_progress(&self, state: Option<JobState>) {
        let mut progress = JobProgress::new();
        if let Some(state) = state {
            progress.end(state);
        }
        let text = progress
            .summary_row(&one_task())
            .expect("progress can be encoded");
        let row = Transaction::new().with_put(JobRow::Progress.key(JOB_ID), text);
        self.store.memory.apply(&row);
    }

    fn is_cancel_stored(&self) -> bool {
        self.store.memory.read(&[JobRow::Cancelled.key(JOB_ID)])[0].is_some()
    }
}

cases! {
    // Guards against a cancellation that is confirmed although the job has completed, and against a state that
    // changes from cancelled to completed.
    job_that_has_completed_is_not_cancelled => {
        let host = Host::new().await;
        host.store_progress(Some(JobState::Completed));
        let error = host.intake.cancel(&host.caller, JOB_ID, CALL_LIMIT).await.expect_err("the job has ended");
        assert_eq!(error.kind, ErrorKind::NotFound);
        assert!(!host.is_cancel_stored());
        assert_eq!(host.intake.state(&host.caller, JOB_ID, CALL_LIMIT).await, Ok(JobState::Completed));
    }

    // Guards against a cancellation that is refused because the job has made progress.
    job_that_has_made_progress_is_cancelled => {
        let host = Host::new().await;
        host.store_progress(None);
        host.intake.cancel(&host.caller, JOB_ID, CALL_LIMIT).await.expect("the job is running");
        assert!(host.is_cancel_stored());
        assert_eq!(host.intake.state(&host.caller, JOB_ID, CALL_LIMIT).await, Ok(JobState::Cancelled));
        host.intake.cancel(&host.caller, JOB_ID, CALL_LIMIT).await.expect("a repeated cancellation succeeds");
    }

    // Guards against a large job that cannot be cancelled, as its progress changes with each of its many runs.
    large_job_whose_progress_keeps_changing_is_cancelled => {
        let host = Host::with_tasks(2_500).await;
        let store = host.store.clone();
        let progress = Transaction::new().with_put(JobRow::Progress.key(JOB_ID), r#"{"state":"running"}"#);
        let writer = compio::runtime::spawn(async move {
            loop {
                store.memory.apply(&progress);
                compio::time::sleep(Duration::from_micros(100)).await;
            }
        });
        host.intake.cancel(&host.caller, JOB_ID, CALL_LIMIT).await.expect("the job has not ended");
        drop(writer);
        assert!(host.is_cancel_stored());
    }

    // Guards against a cancellation of a large job that is confirmed although the job has completed.
    large_job_that_has_completed_is_not_cancelled => {
        let host = Host::with_tasks(2_500).await;
        host.store_progress(Some(JobState::Completed));
        let mark = Transaction::new().with_put(JobRow::Ended.key(JOB_ID), "{}");
        host.store.memory.apply(&mark);
        let error = host.intake.cancel(&host.caller, JOB_ID, CALL_LIMIT).await.expect_err("the job has ended");
        assert_eq!(error.kind, ErrorKind::NotFound);
        assert!(!host.is_cancel_stored());
    }
}
