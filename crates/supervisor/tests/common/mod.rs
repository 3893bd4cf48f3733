//! A worker's announcement and the owner's answer to its agent's report.

#![allow(dead_code, reason = "each test file uses a subset")]

use nutmegwalk_base::Epoch;
use nutmegwalk_supervisor::Announcement;
use nutmegwalk_supervisor::ReportAnswer;
use nutmegwalk_supervisor::WorkerState;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::WorkerRef;

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
        is_standby: false,
        peers: Vec::new(),
    }
}
