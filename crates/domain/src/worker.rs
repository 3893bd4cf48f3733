//! In-memory state of a worker and its agent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::job::TRIAL_TIME;
use crate::monitor::STOP_RETRY_INTERVAL;
use nutmegwalk_base::JobId;
use nutmegwalk_base::ProcessId;
use nutmegwalk_base::signal::Signal;
use nutmegwalk_base::succession::Contact;
use nutmegwalk_supervisor::ANSWER_TIMEOUT;
use nutmegwalk_supervisor::Announcement;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::WorkerRef;

/// Time without a report after which a worker gets no new tasks: two report intervals and a margin.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// An agent that has sent a report.
#[derive(Clone, Debug)]
pub(crate) struct AgentInfo {
    pub(crate) contact: Contact,
    pub(crate) address: SocketAddr,
    /// Whether the agent can take over the ownership.
    pub(crate) is_eligible: bool,
    pub(crate) data_centre: Option<Box<str>>,
    /// Worker in its last report, if that worker has answered the agent.
    pub(crate) worker: Option<WorkerRef>,
    pub(crate) last_report_at: Instant,
}

/// A run that a worker has although the owner does not expect it there.
#[derive(Clone, Debug)]
pub(crate) struct UnexpectedRun {
    pub(crate) demand: Resources,
    /// When the worker accepted the order to stop the run. It still takes room until it is no longer listed.
    pub(crate) stop_accepted_at: Option<Instant>,
}

impl UnexpectedRun {
    /// Returns whether the worker has to be ordered to stop the run.
    pub(crate) fn needs_stop(&self, now: Instant) -> bool {
        self.stop_accepted_at
            .is_none_or(|at| now.saturating_duration_since(at) > STOP_RETRY_INTERVAL)
    }
}

/// An incarnation of a worker, as reported by its agent.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) announcement: Announcement,
    pub(crate) agent: ProcessId,
    pub(crate) last_report_at: Instant,
    /// When the worker last answered its agent.
    pub(crate) answered_at: Option<Instant>,
    /// Time at which the worker's lease is guaranteed to have lapsed if no further report is answered.
    pub(crate) lease_expires_at: Instant,
    /// Last reported lapse of the worker's lease, as the end of that lease on the worker's clock, in milliseconds.
    pub(crate) lapsed_until_ms: Option<u64>,
    /// Ends that were applied and are not acknowledged yet, by number, with the revision of the job that
    /// contains their effects.
    pub(crate) pending_ends: BTreeMap<u64, Option<(JobId, u64)>>,
    /// Number up to which the effects of all ends are stored.
    pub(crate) acknowledged: u64,
    pub(crate) unexpected_runs: BTreeMap<nutmegwalk_supervisor::TaskRun, UnexpectedRun>,
    /// Raised when there may be new orders for the worker.
    pub(crate) orders: Signal,
    /// Earliest time at which the worker leaves, if it has announced that.
    pub(crate) leaves_at: Option<Instant>,
    /// When the delivery of orders first failed; `None` if the last delivery succeeded. Empty orders are sent
    /// meanwhile, which show when the agent can be reached again.
    pub(crate) unreachable_since: Option<Instant>,
    /// When the incarnation first announced itself to its agent; `None` if the agent does not tell.
    pub(crate) up_since: Option<Instant>,
    /// When a start was last ordered, or its execution was confirmed.
    pub(crate) last_start_at: Option<Instant>,
}

impl Worker {
    /// Returns whether the agent has reported and the worker has answered recently, the owner has granted its lease, and
    /// orders can be delivered.
    pub(crate) fn is_responsive(&self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        age(self.last_report_at) < REPORT_TIMEOUT
            && self.answered_at.is_some_and(|at| age(at) < ANSWER_TIMEOUT)
            && !self.is_lease_expired(now)
            && self.unreachable_since.is_none()
    }

    /// Returns for how long the incarnation has been up; long if its agent does not tell.
    pub(crate) fn up_for(&self, now: Instant) -> Duration {
        self.up_since
            .map_or(Duration::MAX, |since| now.saturating_duration_since(since))
    }

    /// Returns whether the worker has just started a run, or is about to.
    pub(crate) fn is_starting(&self, now: Instant) -> bool {
        self.last_start_at
            .is_some_and(|at| now.saturating_duration_since(at) < TRIAL_TIME)
    }

    /// Returns whether empty orders have to show that the agent, which reports, can be reached again.
    pub(crate) fn needs_probe(&self, now: Instant) -> bool {
        self.unreachable_since.is_some()
            && now.saturating_duration_since(self.last_report_at) < REPORT_TIMEOUT
    }

    /// Returns whether the worker's lease is guaranteed to have lapsed, so that no run can be there any more.
    pub(crate) fn is_lease_expired(&self, now: Instant) -> bool {
        now > self.lease_expires_at
    }
}
