//! The owner's handle on a gang, typed by the state of its life cycle.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use crate::Attempt;
use crate::MemberReport;
use crate::MemberSpec;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;
use nutmegwalk_net::Drain;

/// One member of a gang and the worker that it is assigned to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GangMember {
    /// Index and resources of the member.
    pub spec: MemberSpec,
    /// Agent of the worker.
    pub agent: SocketAddr,
    /// Worker that runs the member.
    pub worker: WorkerId,
}

/// A gang to start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GangSpec {
    /// Job of the gang.
    pub job: JobId,
    /// Attempt; greater than all earlier attempts of the job.
    pub attempt: Attempt,
    /// Customer of the job.
    pub customer: CustomerId,
    /// Whether the tasks use resources beyond the customer's guarantee.
    pub borrowed: bool,
    /// Payload of the job.
    pub payload: Box<str>,
    /// Work done at the checkpoint to resume from, in milliseconds.
    pub checkpoint_ms: u64,
    /// Members 0, 1, … in order; the agent of member 0 leads.
    pub members: Vec<GangMember>,
}

/// A start that did not succeed; the attempt was aborted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartFailure {
    /// Worker that refused or failed; `None` if the failure is not specific to one worker.
    pub worker: Option<WorkerId>,
    /// Cause of the failure.
    pub error: Error,
    /// Whether provably no part of the gang runs; only then may the job be started again.
    pub is_stop_confirmed: bool,
}

/// State: all members are reserved.
#[derive(Debug)]
pub struct Reserved;
/// State: all members are bound, and the lead is designated.
#[derive(Debug)]
pub struct Bound;
/// State: all members run.
#[derive(Debug)]
pub struct Running;
/// State: every member whose agent answered has stopped; the others may run until their leases lapse.
#[derive(Debug)]
pub struct Releasing {
    pub(super) answers: BTreeMap<SocketAddr, Result<Vec<MemberReport>>>,
    /// Time at which the first agent confirmed that it has closed the attempt.
    pub(super) first_closed_at: Option<Instant>,
}
/// State: the agents were commanded to stop or abort the gang.
#[derive(Debug)]
pub struct Stopped {
    pub(super) members: Vec<MemberReport>,
    pub(super) is_stop_confirmed: bool,
}

/// Handle on a gang in state `S` of its life cycle.
#[derive(Debug)]
pub struct GangHandle<S> {
    pub(super) plan: Rc<Plan>,
    pub(super) state: S,
}

/// Data shared by all commands of a handle.
#[derive(Debug)]
pub(super) struct Plan {
    pub(super) spec: GangSpec,
    /// Epoch of the commands: the attempt's, or a later one for an adopted gang.
    pub(super) epoch: Epoch,
    pub(super) by_agent: BTreeMap<SocketAddr, Vec<MemberSpec>>,
    /// Triggered when the start is cancelled.
    pub(super) cancel: Rc<Drain>,
}

impl<S> GangHandle<S> {
    /// Returns the specification with which the gang was started or adopted.
    #[must_use]
    pub fn spec(&self) -> &GangSpec {
        &self.plan.spec
    }

    pub(super) fn into_state<T>(self, state: T) -> GangHandle<T> {
        GangHandle {
            plan: self.plan,
            state,
        }
    }
}

impl GangHandle<Releasing> {
    /// Returns the workers whose agents did not answer. Until the stop is confirmed, nothing may be placed on
    /// them, and the job may not be started again.
    #[must_use]
    pub fn unresponsive_workers(&self) -> Vec<WorkerId> {
        let unanswered = self
            .state
            .answers
            .iter()
            .filter(|(_, answer)| answer.is_err());
        unanswered
            .filter_map(|(agent, _)| self.plan.worker(*agent))
            .collect()
    }
}

impl GangHandle<Stopped> {
    /// Returns the work that the last checkpoints of all members contain, in milliseconds; `None` if a
    /// member was not reported.
    #[must_use]
    pub fn checkpoint_ms(&self) -> Option<u64> {
        if self.state.members.len() < self.plan.spec.members.len() {
            return None;
        }
        let members = self.state.members.iter();
        members.map(|member| member.checkpoint_ms).min()
    }

    /// Returns the last states of the members that were reported.
    #[must_use]
    pub fn members(&self) -> &[MemberReport] {
        &self.state.members
    }

    /// Returns whether provably no part of the gang runs.
    #[must_use]
    pub fn is_stop_confirmed(&self) -> bool {
        self.state.is_stop_confirmed
    }
}

impl Plan {
    pub(super) fn new(spec: GangSpec, epoch: Epoch) -> Self {
        let mut by_agent: BTreeMap<SocketAddr, Vec<MemberSpec>> = BTreeMap::new();
        for member in &spec.members {
            by_agent.entry(member.agent).or_default().push(member.spec);
        }
        Self {
            spec,
            epoch,
            by_agent,
            cancel: Rc::default(),
        }
    }

    pub(super) fn validate(&self) -> Result<()> {
        let in_order = (0..)
            .zip(&self.spec.members)
            .all(|(index, member)| index == member.spec.member);
        if self.spec.members.is_empty() || !in_order {
            return Err(Error::new(
                ErrorKind::BadRequest,
                "a gang needs members, numbered in order from 0",
            ));
        }
        Ok(())
    }

    pub(super) fn key(&self) -> (JobId, Attempt) {
        (self.spec.job.clone(), self.spec.attempt)
    }

    pub(super) fn lead(&self) -> Option<SocketAddr> {
        self.spec.members.first().map(|member| member.agent)
    }

    pub(super) fn worker(&self, agent: SocketAddr) -> Option<WorkerId> {
        let member = self
            .spec
            .members
            .iter()
            .find(|member| member.agent == agent)?;
        Some(member.worker.clone())
    }
}
