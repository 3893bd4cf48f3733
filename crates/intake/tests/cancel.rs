//! Tests of cancelling a job while the entry host's view of it is behind the store.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::metrics::Metrics;
use nutmegwalk_emulator::EmulatedStore;
use nutmegwalk_intake::Caller;
use nutmegwalk_intake::Intake;
use nutmegwalk_intake::IntakeMetrics;
use nutmegwalk_intake::IntakeSettings;
use nutmegwalk_intake::JobView;
use nutmegwalk_store::Reachability;
use nutmegwalk_store::StoreClient;
use nutmegwalk_store::Transaction;
use nutmegwalk_workload::JobConfiguration;
use nutmegwalk_workload::JobProgress;
use nutmegwalk_workload::JobRow;
use nutmegwalk_workload::JobSpec;
use nutmegwalk_workload::JobState;
use nutmegwalk_workload::Queue;
use nutmegwalk_workload::QueuePolicy;
use nutmegwalk_workload::StepSpec;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() {
            compio::runtime::Runtime::new().expect("a runtime").block_on(async $body)
        })*
    };
}

/// Time limit of a call, long enough for a busy machine.
const CALL_LIMIT: Duration = Duration::from_secs(60);
const JOB_ID: &str = "a";

/// Reports the store as always reachable.
struct AlwaysReachable;

impl Reachability for AlwaysReachable {
    fn unreachable_for(&self) -> Option<Duration> {
        None
    }
}

/// An entry host with one accepted job, whose feed delivers nothing afterwards.
struct Host {
    store: EmulatedStore,
    intake: Intake,
    caller: Caller,
}

impl Host {
    async fn new() -> Self {
        let store = EmulatedStore::new();
        let feed = store.connection();
        let view = JobView::new(Rc::new(feed.clone()));
        let follower = view.clone();
        compio::runtime::spawn(async move { follower.run().await }).detach();
        let shared = Rc::new(store.clone());
        let settings = IntakeSettings {
            store_deadline: CALL_LIMIT,
            ..IntakeSettings::default()
        };
        let metrics = Metrics::new().expect("metrics");
        let intake = Intake::new(
            settings,
            StoreClient::new(shared.clone(), shared),
            Rc::new(AlwaysReachable),
            view.clone(),
            IntakeMetrics::new(&metrics.meter()),
        );
        let host = Self {
            store,
            intake,
            caller: caller(),
        };
        let spec = JobSpec {
            payload: "work".into(),
            steps: vec![StepSpec {
                tasks: 1,
                ..StepSpec::default()
            }],
            repeat: None,
        };
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
        let text = serde_json::to_string(&progress).expect("progress can be encoded");
        let row = Transaction::new().with_put(JobRow::Progress.key(JOB_ID), text);
        self.store.memory.apply(&row);
    }

    fn is_cancel_stored(&self) -> bool {
        self.store.memory.read(&[JobRow::Cancelled.key(JOB_ID)])[0].is_some()
    }
}

fn caller() -> Caller {
    Caller {
        configuration: Rc::new(JobConfiguration::default()),
        queue: Queue {
            name: "normal".into(),
            host: "host".into(),
            path_prefix: "/normal/".into(),
            is_anonymous: false,
            policy: QueuePolicy {
                service: "plank-desk".into(),
                priority: 1,
                max_failures: 2,
                stretch: 3.0,
                completion_slack_ms: 1_000,
                advice: None,
            },
        },
        subpath: JOB_ID.into(),
        customer: Some("mill".into()),
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
}
