//! Messages of the gang protocol.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Attempt;
use crate::GangReport;
use crate::TaskState;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::JobId;
use nutmegwalk_net::Message;

/// Resources of one member of a gang.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberSpec {
    /// Index of the member within the gang.
    pub member: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
}

/// Last state of one member that is known to its agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberReport {
    /// Index of the member within the gang.
    pub member: u32,
    /// State of its task; `None` when the worker does not list the task.
    pub state: Option<TaskState>,
    /// Work done since the first start of the job, in milliseconds.
    pub progress_ms: u64,
    /// Work contained in the last checkpoint, in milliseconds.
    pub checkpoint_ms: u64,
}

/// Why a gang ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GangEnd {
    /// Every member's task finished.
    Finished,
    /// A member's task failed or could not be started.
    Failed,
    /// A member's task was no longer present, or its agent did not answer for the duration of the lease.
    Lost,
    /// The gang lease was not renewed.
    Lapsed,
    /// The owner stopped the gang.
    Stopped,
    /// The owner aborted the attempt.
    Aborted,
}

macro_rules! messages {
    ($($(#[$doc:meta])* $name:ident => $path:literal, $answer:ty {
        $($(#[$field_doc:meta])* $field:ident: $type:ty,)*
    })*) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
            pub struct $name {
                /// Job of the gang.
                pub job: JobId,
                /// Attempt of the gang.
                pub attempt: Attempt,
                $($(#[$field_doc])* pub $field: $type,)*
            }

            impl Message for $name {
                type Answer = $answer;
                const PATH: &'static str = $path;
            }
        )*
    };
}

messages! {
    /// Owner to agent: reserve resources.
    Reserve => "/v1/gang/reserve", () {
        /// Epoch of the owner.
        epoch: Epoch,
        /// Members on this agent's worker.
        members: Vec<MemberSpec>,
        /// Time after which the reservation lapses, in milliseconds.
        lease_ms: u64,
    }

    /// Owner to agent: all members are reserved; keep the resources for the lead's start.
    Bind => "/v1/gang/bind", () {
        /// Epoch of the owner.
        epoch: Epoch,
        /// For the lead, the agents of all members, indexed by member; for other agents, only the lead.
        agents: Vec<SocketAddr>,
        /// Customer of the job.
        customer: CustomerId,
        /// Whether the tasks use resources beyond the customer's guarantee.
        borrowed: bool,
        /// Payload of the job.
        payload: Box<str>,
        /// Work done at the checkpoint to resume from, in milliseconds.
        checkpoint_ms: u64,
    }

    /// Owner to lead: all members are bound; start the gang.
    Start => "/v1/gang/start", StartAnswer {
        /// Epoch of the owner.
        epoch: Epoch,
    }

    /// Lead to agent: start the tasks on this agent's worker.
    StartMembers => "/v1/gang/start-members", () {
        /// Epoch of the owner that commanded the start.
        epoch: Epoch,
    }

    /// Lead to agent: report the tasks and, with `extend`, renew their leases.
    Renew => "/v1/gang/renew", RenewAnswer {
        /// Number of the round; increases with each round of a lead.
        round: u64,
        /// Whether all members answered in the previous round.
        extend: bool,
    }

    /// Lead to agent: the gang has ended; stop what still runs.
    EndMembers => "/v1/gang/end-members", () {
        /// Why the gang ended.
        end: GangEnd,
    }

    /// Owner to agent: stop the tasks of a started gang.
    Stop => "/v1/gang/stop", Vec<MemberReport> {
        /// Epoch of the owner.
        epoch: Epoch,
    }

    /// Owner to agent: close the attempt, so that it can neither start nor continue.
    Abort => "/v1/gang/abort", () {
        /// Epoch of the owner.
        epoch: Epoch,
    }

    /// Owner to agent: write checkpoints within a time limit.
    Checkpoint => "/v1/gang/checkpoint", Vec<MemberReport> {
        /// Epoch of the owner.
        epoch: Epoch,
        /// Time limit for the checkpoints, in milliseconds.
        within_ms: u64,
        /// Whether the agent stops the tasks at the time limit, with or without a checkpoint.
        stop: bool,
    }

    /// Owner to agent: limit the processor time of the tasks.
    Throttle => "/v1/gang/throttle", () {
        /// Epoch of the owner.
        epoch: Epoch,
        /// Share of their processor time that the tasks keep, in percent.
        share_percent: u32,
    }
}

/// Outcome of a start, as reported by the lead.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StartAnswer {
    /// Every member runs.
    Started,
    /// A member could not be started; the lead ends the gang.
    Failed {
        /// Agent of the member.
        agent: SocketAddr,
        /// Error that the agent returned.
        error: Error,
    },
}

/// Combined state of all members on one agent; the variants are ordered from worst to best.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MembersState {
    /// A task failed.
    Failed,
    /// A task was stopped or is no longer present.
    Gone,
    /// At least one task runs, and all others run or have finished.
    Running,
    /// Every task finished.
    Finished,
}

impl MembersState {
    /// Returns the combined state of `members`; [`MembersState::Gone`] if there are none.
    #[must_use]
    pub fn of(members: &[MemberReport]) -> Self {
        let states = members.iter().map(|member| match member.state {
            Some(TaskState::Failed) => Self::Failed,
            Some(TaskState::Stopped) | None => Self::Gone,
            Some(TaskState::Running) => Self::Running,
            Some(TaskState::Finished) => Self::Finished,
        });
        states.min().unwrap_or(Self::Gone)
    }
}

/// Answer of an agent in a renewal round.
///
/// A lead receives one from each agent every round, so it is kept short. The states of the individual
/// tasks are part of the report to the owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RenewAnswer {
    /// Highest round in which the agent extended the lease; a restarted lead continues from it.
    pub round: u64,
    /// Number of members on the agent's worker; `None` when all have finished and the owner has
    /// acknowledged the final report.
    pub members: Option<u32>,
    /// Combined state of these members.
    pub state: MembersState,
}

/// Answer of the owner to a report: it has recorded all attempts that ended up to this sequence number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportAcknowledgement {
    /// Sequence number of the acknowledged report.
    pub sequence: u64,
}

impl Message for GangReport {
    type Answer = ReportAcknowledgement;
    const PATH: &'static str = "/v1/gang/report";
}
