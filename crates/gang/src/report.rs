//! Reports of the agents to the owner about the attempts on their workers.

use std::fmt::Write;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Attempt;
use crate::GangEnd;
use crate::MemberReport;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::JobId;
use nutmegwalk_base::WorkerId;
use nutmegwalk_base::secret::token_digest;

/// Phase of an attempt on one agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptPhase {
    /// Resources are reserved until the reservation lapses or is bound.
    Reserved,
    /// The reservation is confirmed and waits for the lead's start.
    Bound,
    /// Tasks were started and may run.
    Running,
    /// Tasks are being stopped and may still run.
    Ending,
    /// No task runs; the final report is kept until the owner acknowledges it.
    Ended,
}

/// State of one attempt on one agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AttemptReport {
    /// Job of the gang.
    pub job: JobId,
    /// Attempt of the gang.
    pub attempt: Attempt,
    /// Phase on this agent.
    pub phase: AttemptPhase,
    /// Whether this agent leads the gang; the end that a lead reports is the end of the gang.
    pub lead: bool,
    /// Why the attempt ended; `None` before its end.
    pub end: Option<GangEnd>,
    /// Members on this agent's worker.
    pub members: Vec<MemberReport>,
}

/// Report on all attempts on one agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GangReport {
    /// Worker that the agent manages.
    pub worker: WorkerId,
    /// Address of the agent.
    pub agent: SocketAddr,
    /// Lowest epoch that the agent accepts; `None` while it refuses every start.
    pub epoch_floor: Option<Epoch>,
    /// Number that increases with each change; the owner acknowledges reports by it.
    pub sequence: u64,
    /// Whether the agent has read its worker's task list since its start.
    pub recovered: bool,
    /// Attempts, ordered by job and attempt.
    pub attempts: Vec<AttemptReport>,
    /// Digest of the attempts, without their progress.
    pub digest: Box<str>,
}

/// Returns the digest of `attempts`. It changes with the set of attempts and members, their phases, ends
/// and task states, but not with their progress.
#[must_use]
pub fn digest(attempts: &[AttemptReport]) -> Box<str> {
    let mut text = String::new();
    for report in attempts {
        let Attempt { epoch, sequence } = report.attempt;
        let (phase, end) = (report.phase, report.end);
        let _ = write!(
            text,
            "{:?} {epoch} {sequence} {phase:?} {end:?} {}:",
            report.job, report.lead
        );
        for member in &report.members {
            let _ = write!(text, " {} {:?}", member.member, member.state);
        }
        text.push('\n');
    }
    token_digest(&text)
}
