//! An entry host of a deployment with one queue.

use std::rc::Rc;
use std::time::Duration;

use nutmegwalk_base::metrics::Metrics;
use nutmegwalk_emulator::EmulatedStore;
use nutmegwalk_intake::Caller;
use nutmegwalk_intake::Intake;
use nutmegwalk_intake::IntakeMetrics;
use nutmegwalk_intake::IntakeSettings;
use nutmegwalk_intake::JobView;
use nutmegwalk_store::Reachability;
use nutmegwalk_store::StoreClient;
use nutmegwalk_workload::JobConfiguration;
use nutmegwalk_workload::JobSpec;
use nutmegwalk_workload::Queue;
use nutmegwalk_workload::QueuePolicy;
use nutmegwalk_workload::StepSpec;

/// Time limit of a call, long enough for a busy machine.
pub(crate) const CALL_LIMIT: Duration = Duration::from_secs(60);
pub(crate) const JOB_ID: &str = "a";

/// Reports a store that is down as unreachable for longer than calls wait for it.
struct ReportsOutages(EmulatedStore);

impl Reachability for ReportsOutages {
    fn unreachable_for(&self) -> Option<Duration> {
        self.0.is_down.get().then_some(Duration::from_secs(2))
    }
}

/// Returns the intake of an entry host that answers from `view` and writes to `store` within `store_deadline`.
pub(crate) fn intake(store: &EmulatedStore, view: &JobView, store_deadline: Duration) -> Intake {
    let shared = Rc::new(store.clone());
    let settings = IntakeSettings {
        store_deadline,
        ..IntakeSettings::default()
    };
    let metrics = Metrics::new().expect("metrics");
    Intake::new(
        settings,
        StoreClient::new(shared.clone(), shared),
        Rc::new(ReportsOutages(store.clone())),
        view.clone(),
        IntakeMetrics::new(&metrics.meter()),
    )
}

/// Returns a caller of the customer `mill`.
pub(crate) fn caller() -> Caller {
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

/// Returns a job of one task.
pub(crate) fn one_task() -> JobSpec {
    JobSpec {
        payload: "work".into(),
        steps: vec![StepSpec {
            tasks: 1,
            ..StepSpec::default()
        }],
        repeat: None,
    }
}
