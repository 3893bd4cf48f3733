//! Tests of the crashes of a worker that its agent reports.

mod common;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use common::EPOCH;
use common::announcement;
use common::answer;
use common::orders;
use common::start_of;
use common::test_worker::AtStart;
use common::test_worker::TestWorker;
use common::wait_for_answer;
use common::worker;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use nutmegwalk_base::Epoch;
use nutmegwalk_base::Result;
use nutmegwalk_base::clock;
use nutmegwalk_supervisor::Announcement;
use nutmegwalk_supervisor::Orders;
use nutmegwalk_supervisor::PollAnswer;
use nutmegwalk_supervisor::PollRequest;
use nutmegwalk_supervisor::ReportAnswer;
use nutmegwalk_supervisor::StartAnswer;
use nutmegwalk_supervisor::StartRequest;
use nutmegwalk_supervisor::Supervisor;
use nutmegwalk_supervisor::SupervisorTimings;
use nutmegwalk_supervisor::TaskRun;
use nutmegwalk_supervisor::WorkerCrash;
use nutmegwalk_supervisor::WorkerPort;
use nutmegwalk_supervisor::WorkerState;
use nutmegwalk_workload::WorkerRef;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() {
            compio::runtime::Runtime::new().expect("a runtime").block_on(async $body);
        })*
    };
}

/// Worker that answers no request.
struct SilentWorker;

impl WorkerPort for SilentWorker {
    fn start<'a>(&'a self, _request: &'a StartRequest) -> LocalBoxFuture<'a, Result<StartAnswer>> {
        std::future::pending().boxed_local()
    }

    fn stop<'a>(
        &'a self,
        _worker: &'a WorkerRef,
        _run: &'a TaskRun,
        _epoch: Epoch,
    ) -> LocalBoxFuture<'a, Result<()>> {
        std::future::pending().boxed_local()
    }

    fn pace<'a>(
        &'a self,
        _worker: &'a WorkerRef,
        _run: &'a TaskRun,
        _percent: u32,
        _epoch: Epoch,
    ) -> LocalBoxFuture<'a, Result<()>> {
        std::future::pending().boxed_local()
    }

    fn poll<'a>(&'a self, _request: &'a PollRequest) -> LocalBoxFuture<'a, Result<PollAnswer>> {
        std::future::pending().boxed_local()
    }
}

/// Time for which a worker is up before a start, unless a test says otherwise.
const UP_FOR: Duration = Duration::from_millis(500);
/// The owner's clock at its last answer, in milliseconds.
const OWNER_CLOCK_MS: u64 = 10_000;

fn start_order() -> Orders {
    Orders {
        starts_expire_ms: OWNER_CLOCK_MS + 60_000,
        starts: vec![start_of(&[0])],
        ..orders(worker())
    }
}

fn as_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).expect("a short time")
}

/// Announces a worker that has been up for `up_for`, starts a run on it, crashes it `crash_after` the start, and returns
/// the report of the crash after the next incarnation has announced itself.
async fn crash_after_start(
    worker: Rc<TestWorker>,
    up_for: Duration,
    crash_after: Duration,
) -> WorkerCrash {
    let supervisor = Supervisor::new(
        Rc::clone(&worker) as Rc<dyn WorkerPort>,
        SupervisorTimings::default(),
    );
    supervisor.record_heartbeat(heartbeat(1));
    let running = supervisor.clone();
    let task = compio::runtime::spawn(async move { running.run().await });
    supervisor.apply_answer(&answer(EPOCH, OWNER_CLOCK_MS), Instant::now());
    wait_for_answer(&supervisor).await;
    compio::time::sleep(up_for).await;
    supervisor
        .execute(start_order())
        .await
        .expect("orders are accepted");
    compio::time::sleep(crash_after).await;
    worker.has_crashed.set(true);
    // Longer than it takes to notice a crash.
    compio::time::sleep(Duration::from_millis(1_500)).await;
    supervisor.record_heartbeat(heartbeat(2));
    drop(task);
    let status = supervisor.status().expect("a worker has announced itself");
    status.crashes.first().expect("a crash").clone()
}

/// Time after which a crash that was reported to an owner is reported no longer, with a margin.
const CRASH_REPORT_TIME: Duration = Duration::from_millis(15_500);

fn supervisor() -> Supervisor {
    Supervisor::new(Rc::new(SilentWorker), SupervisorTimings::default())
}

/// Returns a heartbeat of the incarnation that was born at `born_unix_ms`.
fn heartbeat(born_unix_ms: u64) -> Announcement {
    let mut announcement = announcement();
    announcement.worker.born_unix_ms = born_unix_ms;
    announcement
}

/// Returns the start times of the incarnations that are reported as crashed.
fn crashed(supervisor: &Supervisor) -> Vec<u64> {
    let status = supervisor.status().expect("a worker has announced itself");
    let crashes = status.crashes.iter();
    crashes.map(|crash| crash.worker.born_unix_ms).collect()
}

cases! {
    // Guards against a crash that no owner hears of, since the later incarnation hides it.
    replaced_incarnation_is_reported_as_crashed => {
        let supervisor = supervisor();
        for born_unix_ms in [1, 2, 3] {
            supervisor.record_heartbeat(heartbeat(born_unix_ms));
        }
        assert_eq!(crashed(&supervisor), [1, 2]);
    }

    // Guards against a crash that no owner hears of, since the report of it was answered but not applied.
    crash_in_a_report_that_was_not_applied_is_reported_again => {
        let is_forgotten_after = async |is_unconfirmed: bool| {
            let supervisor = supervisor();
            supervisor.record_heartbeat(heartbeat(1));
            supervisor.record_heartbeat(heartbeat(2));
            let answer = ReportAnswer { is_unconfirmed, ..answer(EPOCH, 2) };
            supervisor.apply_answer(&answer, clock::now());
            compio::time::sleep(CRASH_REPORT_TIME).await;
            crashed(&supervisor).is_empty()
        };
        let (unconfirmed, applied) = futures_util::join!(is_forgotten_after(true), is_forgotten_after(false));
        assert!(applied && !unconfirmed);
    }

    // Guards against blaming tasks for a worker that leaves after it has announced that.
    draining_incarnation_is_not_reported_as_crashed => {
        let supervisor = supervisor();
        let mut leaving = heartbeat(1);
        leaving.state = WorkerState::Draining { remaining_ms: None };
        supervisor.record_heartbeat(leaving);
        supervisor.record_heartbeat(heartbeat(2));
        assert!(crashed(&supervisor).is_empty());
    }

    // Guards against blaming tasks for a worker that has left permanently.
    departed_incarnation_is_not_reported_as_crashed => {
        let supervisor = supervisor();
        supervisor.record_heartbeat(heartbeat(1));
        supervisor.record_departure("i-1");
        supervisor.record_heartbeat(heartbeat(2));
        assert!(crashed(&supervisor).is_empty());
    }

    // Guards against blaming tasks for a host that has failed with its agent.
    first_incarnation_after_a_restart_of_the_agent_reports_no_crash => {
        let supervisor = supervisor();
        supervisor.record_heartbeat(heartbeat(2));
        assert!(crashed(&supervisor).is_empty());
    }

    // Guards against a task that crashes the workers that start it, and of which no owner hears.
    run_that_had_just_started_is_named => {
        let crash = crash_after_start(TestWorker::new(AtStart::Answer), UP_FOR, Duration::from_millis(20)).await;
        assert_eq!(crash.just_started.len(), 1);
        assert!(crash.up_for_ms >= as_ms(UP_FOR));
    }

    // Guards against a task that crashes its worker before the start is answered.
    run_whose_start_was_not_answered_by_a_worker_that_was_alive_is_named => {
        let worker = TestWorker::new(AtStart::Crash);
        let supervisor = Supervisor::new(Rc::clone(&worker) as Rc<dyn WorkerPort>, SupervisorTimings::default());
        supervisor.record_heartbeat(heartbeat(1));
        supervisor.apply_answer(&answer(EPOCH, OWNER_CLOCK_MS), Instant::now());
        let running = supervisor.clone();
        let task = compio::runtime::spawn(async move { running.run().await });
        wait_for_answer(&supervisor).await;
        supervisor.execute(start_order()).await.expect("orders are accepted");
        compio::time::sleep(Duration::from_millis(1_500)).await;
        drop(task);
        let status = supervisor.status().expect("a worker has announced itself");
        assert_eq!(status.silent_since_start.len(), 1);
    }

    // Guards against a job that is given up because its worker crashes while its task works.
    run_that_has_outlived_its_start_is_not_named => {
        let crash = crash_after_start(TestWorker::new(AtStart::Answer), UP_FOR, Duration::from_millis(1_500)).await;
        assert!(crash.just_started.is_empty());
    }

    // Guards against a job that is given up because workers crash again as soon as they are back.
    crash_of_a_worker_that_was_not_up_for_long_is_told_apart => {
        let crash = crash_after_start(TestWorker::new(AtStart::Answer), Duration::ZERO, Duration::from_millis(20)).await;
        assert_eq!(crash.just_started.len(), 1);
        assert!(crash.up_for_ms < as_ms(UP_FOR));
    }

    // Guards against a job that is given up for starts that were sent to a worker that had crashed before.
    start_on_a_worker_that_no_longer_answers_is_not_named => {
        let worker = TestWorker::new(AtStart::Answer);
        worker.has_crashed.set(true);
        let crash = {
            let supervisor = Supervisor::new(Rc::clone(&worker) as Rc<dyn WorkerPort>, SupervisorTimings::default());
            supervisor.record_heartbeat(heartbeat(1));
            supervisor.apply_answer(&answer(EPOCH, OWNER_CLOCK_MS), Instant::now());
            supervisor.execute(start_order()).await.expect("orders are accepted");
            supervisor.record_heartbeat(heartbeat(2));
            supervisor.status().expect("a worker has announced itself").crashes[0].clone()
        };
        assert!(crash.just_started.is_empty());
    }
}
