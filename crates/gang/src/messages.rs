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

/// State of one member as its agent knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberReport {
    /// Index of the member within the gang.
    pub member: u32,
    /// State of its task; absent when the worker has no such task.
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
    /// A member's task was gone, or its agent was silent for the length of the lease.
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
    /// Owner to agent: set resources aside.
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
        /// For the lead the agents of all members, indexed by member; for others the lead only.
        agents: Vec<SocketAddr>,
        /// Customer of the job.
        customer: CustomerId,
        /// Whether the tasks run beyond the customer's guarantee.
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
        /// Epoch of the owner that asked for the start.
        epoch: Epoch,
    }

    /// Lead to agent: report the tasks and, with `extend`, renew their leases.
    Renew => "/v1/gang/renew", RenewAnswer {
        /// Number of the round; only rises for one lead.
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

    /// Owner to agent: close the attempt; it can neither start nor go on.
    Abort => "/v1/gang/abort", () {
        /// Epoch of the owner.
        epoch: Epoch,
    }

    /// Owner to agent: write checkpoints within a bound.
    Checkpoint => "/v1/gang/checkpoint", Vec<MemberReport> {
        /// Epoch of the owner.
        epoch: Epoch,
        /// Time for the checkpoints, in milliseconds.
        within_ms: u64,
        /// Whether the agent stops the tasks at the bound, whether or not they have a checkpoint.
        stop: bool,
    }

    /// Owner to agent: slow the tasks down.
    Throttle => "/v1/gang/throttle", () {
        /// Epoch of the owner.
        epoch: Epoch,
        /// Share of processor time left to the tasks.
        share_percent: u32,
    }
}

/// Outcome of a start, as the lead saw it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StartAnswer {
    /// Every member runs.
    Started,
    /// A member could not be started; the lead ends the gang.
    Failed {
        /// Agent of the member.
        agent: SocketAddr,
        /// What the agent answered.
        error: Error,
    },
}

/// State of all of an agent's members together, the worst one first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MembersState {
    /// A task failed.
    Failed,
    /// A task was stopped or is gone.
    Gone,
    /// A task runs, and all others run or have finished.
    Running,
    /// Every task finished.
    Finished,
}

impl MembersState {
    /// Returns the state of all `members`.
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

/// Answer in a renewal round. A lead gets one from each agent every round, so it is kept short; the
/// states of single tasks go to the owner with the report.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RenewAnswer {
    /// Highest round that the agent has renewed in, from which a lead that restarts goes on.
    pub round: u64,
    /// Number of members on the agent's worker; absent when all finished and the owner has
    /// acknowledged it.
    pub members: Option<u32>,
    /// State of these members together.
    pub state: MembersState,
}

/// The owner has taken over all ended attempts up to this sequence number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportAcknowledgement {
    /// Sequence number of the report.
    pub sequence: u64,
}

impl Message for GangReport {
    type Answer = ReportAcknowledgement;
    const PATH: &'static str = "/v1/gang/report";
}
