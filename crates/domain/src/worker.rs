//! A worker in the owner's memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use nutmegwalk_base::Incarnation;
use nutmegwalk_base::JobId;
use nutmegwalk_base::ProcessId;
use nutmegwalk_base::signal::Signal;
use nutmegwalk_placement::WorkerHealth;
use nutmegwalk_supervisor::Announcement;
use nutmegwalk_workload::Resources;

/// Time without a report after which a worker gets no new tasks: two intervals of reports and a margin.
const SILENT_AFTER: Duration = Duration::from_millis(2_500);
/// Time without an answer of the worker to its agent after which it gets no new tasks.
const MUTE_AFTER: Duration = Duration::from_millis(3_500);

/// An agent that reports.
#[derive(Clone, Debug)]
pub(crate) struct AgentInfo {
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u64,
    pub(crate) address: SocketAddr,
    pub(crate) is_eligible: bool,
    pub(crate) data_centre: Option<Box<str>>,
    pub(crate) heard_at: Instant,
}

/// A run that the worker has although the owner does not want it there.
#[derive(Clone, Debug)]
pub(crate) struct Stray {
    pub(crate) demand: Resources,
}

/// A life of a worker, as its agent reports it.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) announcement: Announcement,
    pub(crate) agent: ProcessId,
    pub(crate) heard_at: Instant,
    /// When the worker last answered its agent.
    pub(crate) answered_at: Option<Instant>,
    /// Instant at which the worker's lease has lapsed for certain if the agent stays silent.
    pub(crate) held_until: Instant,
    /// Ends that were taken in and are not acknowledged, with the revision of the job that holds what
    /// follows from them.
    pub(crate) pending_ends: BTreeMap<u64, Option<(JobId, u64)>>,
    /// Ends up to this number are stored.
    pub(crate) acknowledged: u64,
    /// Acknowledged number that the agent was told last.
    pub(crate) told_acknowledged: u64,
    pub(crate) strays: BTreeMap<nutmegwalk_supervisor::TaskRun, Stray>,
    pub(crate) health: WorkerHealth,
    /// Raised when there is something to tell the worker.
    pub(crate) orders: Signal,
    /// Instant until which it stays at least, if it has announced that it leaves.
    pub(crate) leaves_at: Option<Instant>,
    /// When orders last could not be delivered.
    pub(crate) unreachable_since: Option<Instant>,
}

impl Worker {
    /// Returns whether the worker and its agent have been heard of recently.
    pub(crate) fn is_in_touch(&self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        age(self.heard_at) < SILENT_AFTER
            && self.answered_at.is_some_and(|at| age(at) < MUTE_AFTER)
            && self.unreachable_since.is_none()
    }

    /// Returns whether nothing can run there any more.
    pub(crate) fn is_dead(&self, now: Instant) -> bool {
        now > self.held_until
    }
}
