//! Tests of cancelling a job that the entry host knows less of than the store.

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

/// Time for a call on a busy machine.
const LIMIT: Duration = Duration::from_secs(60);
const ID: &str = "a";

/// A store that can always be reached.
struct Reached;

impl Reachability for Reached {
    fn unreachable_for(&self) -> Option<Duration> {
        None
    }
}

/// An entry host with one accepted job, whose feed stands still from then on.
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
        let following = view.clone();
        compio::runtime::spawn(async move { following.run().await }).detach();
        let shared = Rc::new(store.clone());
        let settings = IntakeSettings {
            store_deadline: LIMIT,
            ..IntakeSettings::default()
        };
        let metrics = Metrics::new().expect("metrics");
        let intake = Intake::new(
            settings,
            StoreClient::new(shared.clone(), shared),
            Rc::new(Reached),
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
        let submitted = host.intake.submit(&host.caller, ID, spec, LIMIT).await;
        submitted.expect("the store takes it");
        let started = Instant::now();
        while view.age().is_none() {
            assert!(started.elapsed() < LIMIT, "the feed is not read");
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        feed.close();
        host
    }

    /// Stores the job's progress past the entry host.
    fn progress(&self, state: Option<JobState>) {
        let mut progress = JobProgress::new();
        if let Some(state) = state {
            progress.end(state);
        }
        let text = serde_json::to_string(&progress).expect("progress can be encoded");
        let row = Transaction::new().with_put(JobRow::Progress.key(ID), text);
        self.store.memory.apply(&row);
    }

    fn is_cancel_stored(&self) -> bool {
        self.store.memory.read(&[JobRow::Cancelled.key(ID)])[0].is_some()
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
        subpath: ID.into(),
        customer: Some("mill".into()),
    }
}

cases! {
    // Guards against a cancellation that is confirmed although the job has completed, and a state that goes
    // back from cancelled to completed.
    job_that_has_completed_is_not_cancelled => {
        let host = Host::new().await;
        host.progress(Some(JobState::Completed));
        let error = host.intake.cancel(&host.caller, ID, LIMIT).await.expect_err("it has ended");
        assert_eq!(error.kind, ErrorKind::NotFound);
        assert!(!host.is_cancel_stored());
        assert_eq!(host.intake.state(&host.caller, ID, LIMIT).await, Ok(JobState::Completed));
    }

    // Guards against a cancellation that is refused because the job has moved on.
    job_that_has_moved_on_is_cancelled => {
        let host = Host::new().await;
        host.progress(None);
        host.intake.cancel(&host.caller, ID, LIMIT).await.expect("it runs");
        assert!(host.is_cancel_stored());
        assert_eq!(host.intake.state(&host.caller, ID, LIMIT).await, Ok(JobState::Cancelled));
        host.intake.cancel(&host.caller, ID, LIMIT).await.expect("again is no error");
    }
}
