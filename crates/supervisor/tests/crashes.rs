//! Tests of the crashes of a worker that its agent reports.

mod common;

use std::rc::Rc;

use common::announcement;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use nutmegwalk_base::Epoch;
use nutmegwalk_base::Result;
use nutmegwalk_supervisor::Announcement;
use nutmegwalk_supervisor::PollAnswer;
use nutmegwalk_supervisor::PollRequest;
use nutmegwalk_supervisor::StartAnswer;
use nutmegwalk_supervisor::StartRequest;
use nutmegwalk_supervisor::Supervisor;
use nutmegwalk_supervisor::SupervisorTimings;
use nutmegwalk_supervisor::TaskRun;
use nutmegwalk_supervisor::WorkerPort;
use nutmegwalk_supervisor::WorkerState;
use nutmegwalk_workload::WorkerRef;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
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
    let crashed = status.crashed.iter();
    crashed.map(|worker| worker.born_unix_ms).collect()
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
}
