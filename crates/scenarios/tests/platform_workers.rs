//! Tests of the simulated workers, their HTTP client and the checks of the event log.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_gang::Attempt;
use nutmegwalk_gang::HttpWorker;
use nutmegwalk_gang::TaskMetadata;
use nutmegwalk_gang::TaskState;
use nutmegwalk_gang::TaskStatus;
use nutmegwalk_gang::WorkerApi;
use nutmegwalk_net::Client;
use nutmegwalk_scenarios::platform::Event;
use nutmegwalk_scenarios::platform::EventKind;
use nutmegwalk_scenarios::platform::Platform;
use nutmegwalk_scenarios::platform::TaskEnd;
use nutmegwalk_scenarios::platform::WorkerSize;
use nutmegwalk_scenarios::platform::longest_partial_run;
use nutmegwalk_scenarios::platform::overlapping_attempts;

/// Generous timeout for a state that is expected to be reached.
const LIMIT: Duration = Duration::from_secs(30);
/// Lease that is longer than any test.
const LONG_LEASE: Duration = Duration::from_secs(600);
/// Payload of a task that does not finish during a test.
const ENDLESS: &str = r#"{"work_ms":100000000}"#;
const FIRST: Attempt = Attempt {
    epoch: 1,
    sequence: 1,
};
const SECOND: Attempt = Attempt {
    epoch: 1,
    sequence: 2,
};

fn task(job: &str, attempt: Attempt, member: u32, payload: &str) -> TaskMetadata {
    TaskMetadata {
        job: job.into(),
        attempt,
        member,
        customer: "c".into(),
        borrowed: false,
        agents: vec![SocketAddr::from(([127, 0, 0, 1], 1)); 2],
        cores: 4,
        memory_mb: 1000,
        accelerators: 4,
        payload: payload.into(),
        checkpoint_ms: 0,
    }
}

fn platform() -> (Platform, HttpWorker, HttpWorker) {
    let platform = Platform::start(1).unwrap();
    let [first, second] = ["w1", "w2"].map(|name| {
        platform.add_worker(name, WorkerSize::LARGE);
        let client = Client::new("agent", Secret::new("s")).unwrap();
        HttpWorker::new(client, platform.address(), name).with_timeout(LIMIT)
    });
    (platform, first, second)
}

/// Waits until the only task of `worker` is no longer running.
async fn wait_for_end(worker: &HttpWorker) -> TaskStatus {
    let started = Instant::now();
    loop {
        let mut tasks = worker.list().await.unwrap();
        assert_eq!(tasks.len(), 1);
        if tasks[0].state != TaskState::Running {
            return tasks.remove(0);
        }
        assert!(started.elapsed() < LIMIT);
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn kinds(events: &[Event]) -> Vec<EventKind> {
    events.iter().map(|event| event.kind).collect()
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() { compio::runtime::Runtime::new().unwrap().block_on(async $body) })*
    };
}

cases! {
    // Guards against a repeated start that runs a task twice.
    repeated_start_runs_once => {
        let (platform, worker, _) = platform();
        let work = task("j", FIRST, 0, r#"{"work_ms":30}"#);
        worker.start(&work, LONG_LEASE).await.unwrap();
        worker.start(&work, LONG_LEASE).await.unwrap();
        let status = wait_for_end(&worker).await;
        assert_eq!((status.state, status.progress_ms), (TaskState::Finished, 30));
        worker.start(&work, LONG_LEASE).await.unwrap();
        let events = platform.events();
        assert_eq!(kinds(&events), [EventKind::Started, EventKind::Ended(TaskEnd::Finished)]);
        assert_eq!(events[1].at - events[0].at, Duration::from_millis(30));
        worker.stop("j", FIRST, 0).await.unwrap();
        worker.stop("j", FIRST, 0).await.unwrap();
        assert!(worker.list().await.unwrap().is_empty());
        assert_eq!(platform.events().len(), 2);
    }

    // Guards against a failed program that is reported as finished.
    failing_program_is_reported => {
        let (_platform, worker, _) = platform();
        worker.start(&task("j", FIRST, 0, r#"{"work_ms":0,"fail":true}"#), LONG_LEASE).await.unwrap();
        assert_eq!(wait_for_end(&worker).await.state, TaskState::Failed);
        let error = worker.start(&task("k", FIRST, 0, "nonsense"), LONG_LEASE).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::BadRequest);
    }

    // Guards against a task that continues after its lease has lapsed.
    lapsed_lease_stops_the_task => {
        let (platform, worker, _) = platform();
        worker.start(&task("j", FIRST, 0, ENDLESS), Duration::from_millis(50)).await.unwrap();
        assert_eq!(wait_for_end(&worker).await.state, TaskState::Stopped);
        let error = worker.renew("j", FIRST, 0, LONG_LEASE).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::NotFound);
        let events = platform.events();
        assert_eq!(events[1].kind, EventKind::Ended(TaskEnd::LeaseLapsed));
        assert_eq!(events[1].at - events[0].at, Duration::from_millis(50));
    }

    // Guards against renewals, throttles and checkpoints without effect.
    renewed_task_resumes_from_its_checkpoint => {
        let (_platform, worker, _) = platform();
        worker.start(&task("j", FIRST, 0, ENDLESS), Duration::from_secs(60)).await.unwrap();
        worker.renew("j", FIRST, 0, LONG_LEASE).await.unwrap();
        compio::time::sleep(Duration::from_millis(20)).await;
        worker.throttle("j", FIRST, 0, 0).await.unwrap();
        let checkpoint_ms = worker.checkpoint("j", FIRST, 0).await.unwrap();
        assert!(checkpoint_ms >= 20);
        compio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(worker.checkpoint("j", FIRST, 0).await.unwrap(), checkpoint_ms);
        worker.stop("j", FIRST, 0).await.unwrap();
        let resumed = TaskMetadata { checkpoint_ms, ..task("j", SECOND, 0, ENDLESS) };
        worker.start(&resumed, LONG_LEASE).await.unwrap();
        assert!(worker.list().await.unwrap()[0].progress_ms >= checkpoint_ms);
    }

    // Guards against a worker that accepts more tasks than its resources allow.
    full_worker_refuses_starts => {
        let (_platform, worker, _) = platform();
        worker.start(&task("j", FIRST, 0, ENDLESS), LONG_LEASE).await.unwrap();
        worker.start(&task("j", FIRST, 1, ENDLESS), LONG_LEASE).await.unwrap();
        let error = worker.start(&task("k", FIRST, 0, ENDLESS), LONG_LEASE).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::InsufficientResources);
    }

    // Guards against faults of one worker that affect another, and tasks that remain after a kill.
    faults_affect_a_single_worker => {
        let (platform, worker, other) = platform();
        let short_timeout_worker = worker.clone().with_timeout(Duration::from_millis(100));
        platform.set_worker_faults("w1", |faults| faults.fails_starts = true).unwrap();
        assert!(worker.start(&task("j", FIRST, 0, ENDLESS), LONG_LEASE).await.is_err());
        platform.set_worker_faults("w1", |faults| {
            faults.fails_starts = false;
            faults.unresponsive = true;
        }).unwrap();
        let error = short_timeout_worker.start(&task("j", FIRST, 0, ENDLESS), LONG_LEASE).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::UnknownOutcome);
        other.start(&task("j", FIRST, 0, ENDLESS), LONG_LEASE).await.unwrap();
        platform.set_worker_faults("w1", |faults| {
            faults.unresponsive = false;
            faults.checkpoint_delay = Duration::from_millis(100);
        }).unwrap();
        worker.start(&task("k", FIRST, 0, ENDLESS), LONG_LEASE).await.unwrap();
        assert!(worker.checkpoint("k", FIRST, 0).await.unwrap() >= 100);
        platform.kill_worker("w1").unwrap();
        assert_eq!(worker.list().await.unwrap_err().kind, ErrorKind::Unreachable);
        platform.restart_worker("w1").unwrap();
        assert!(worker.list().await.unwrap().is_empty());
        let killed = EventKind::Ended(TaskEnd::Killed);
        assert_eq!(kinds(&platform.events()), [EventKind::Started, EventKind::Started, killed]);
        assert_eq!(platform.set_worker_faults("w9", |_| {}).unwrap_err().kind, ErrorKind::NotFound);
    }

    // Guards against checks that miss concurrent attempts of a job, or a partially running gang.
    checks_detect_violations => {
        let (platform, worker, other) = platform();
        worker.start(&task("j", FIRST, 0, ENDLESS), LONG_LEASE).await.unwrap();
        compio::time::sleep(Duration::from_millis(20)).await;
        other.start(&task("j", FIRST, 1, ENDLESS), LONG_LEASE).await.unwrap();
        assert!(overlapping_attempts(&platform.events()).is_empty());
        let partial = longest_partial_run(&platform.events(), platform.now());
        assert!(partial >= Duration::from_millis(20));
        worker.stop("j", FIRST, 0).await.unwrap();
        worker.start(&task("j", SECOND, 0, ENDLESS), LONG_LEASE).await.unwrap();
        let overlaps = overlapping_attempts(&platform.events());
        assert_eq!(overlaps.len(), 1);
        assert_eq!((overlaps[0].running, overlaps[0].started), ((FIRST, 1), (SECOND, 0)));
        other.stop("j", FIRST, 1).await.unwrap();
        other.start(&task("j", SECOND, 0, ENDLESS), LONG_LEASE).await.unwrap();
        assert_eq!(overlapping_attempts(&platform.events()).len(), 2);
    }
}
