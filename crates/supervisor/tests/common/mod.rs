//! A worker's announcement, the owner's answers and orders, and an agent that supervises the worker.

#![allow(dead_code, reason = "each test file uses a subset")]

pub(crate) mod test_worker;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use nutmegwalk_base::Epoch;
use nutmegwalk_base::clock;
use nutmegwalk_supervisor::Announcement;
use nutmegwalk_supervisor::Orders;
use nutmegwalk_supervisor::ReportAnswer;
use nutmegwalk_supervisor::StartOrder;
use nutmegwalk_supervisor::Supervisor;
use nutmegwalk_supervisor::SupervisorTimings;
use nutmegwalk_supervisor::WorkerPort;
use nutmegwalk_supervisor::WorkerState;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::TaskIndex;
use nutmegwalk_workload::WorkerRef;

/// Epoch of the owner.
pub(crate) const EPOCH: Epoch = 3;
/// Time for which a test waits for a state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a test looks for it.
const WAIT_INTERVAL: Duration = Duration::from_millis(2);

pub(crate) fn worker() -> WorkerRef {
    WorkerRef {
        id: "i-1".into(),
        born_unix_ms: 1,
        machine: None,
    }
}

pub(crate) fn announcement() -> Announcement {
    Announcement {
        worker: worker(),
        service: "plank-desk".into(),
        data_centre: "ventspils".into(),
        rack: None,
        labels: Vec::new(),
        capacity: Resources::default(),
        state: WorkerState::Ready,
        cold_remaining_ms: 0,
        sequence: 1,
    }
}

/// Returns an answer that allows a lease of 60 s.
pub(crate) fn answer(epoch: Epoch, owner_clock_ms: u64) -> ReportAnswer {
    ReportAnswer {
        epoch,
        worker: Some(worker()),
        acknowledged: 0,
        hold_for_ms: 60_000,
        owner_clock_ms,
        is_unconfirmed: false,
        is_standby: false,
        peers: Vec::new(),
    }
}

/// Returns orders for `worker` that do not expire, and order nothing yet.
pub(crate) fn orders(worker: WorkerRef) -> Orders {
    Orders {
        epoch: EPOCH,
        worker,
        agent_incarnation: 0,
        acknowledged: 0,
        starts_expire_ms: u64::MAX,
        starts: Vec::new(),
        stops: Vec::new(),
        paces: Vec::new(),
    }
}

/// Returns an order to start the first run of tasks of the job `a`.
pub(crate) fn start_of(tasks: &[TaskIndex]) -> StartOrder {
    StartOrder {
        job: "a".into(),
        occurrence: 0,
        step: 0,
        tasks: tasks.to_vec(),
        run: 1,
        payload: "".into(),
        checkpoint: None,
        ticket: None,
        known_lapse_ms: None,
    }
}

/// Returns a running supervisor whose worker has announced itself, and which has an answer of the owner.
pub(crate) fn run_supervisor(
    port: Rc<dyn WorkerPort>,
    timings: SupervisorTimings,
    owner: &ReportAnswer,
) -> Supervisor {
    let supervisor = Supervisor::new(port, timings);
    supervisor.record_heartbeat(announcement());
    supervisor.apply_answer(owner, clock::now());
    let running = supervisor.clone();
    compio::runtime::spawn(async move { running.run().await }).detach();
    supervisor
}

/// Waits until the worker has answered a poll.
pub(crate) async fn wait_for_answer(supervisor: &Supervisor) {
    wait_until(|| {
        let status = supervisor.status();
        status.is_some_and(|status| status.answer_age_ms.is_some())
    })
    .await;
}

pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "timeout");
        compio::time::sleep(WAIT_INTERVAL).await;
    }
}
