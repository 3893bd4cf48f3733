//! Reports of agents on the gangs that they are part of.

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
    /// Resources are set aside for a few seconds.
    Reserved,
    /// Resources are kept for the lead's start.
    Bound,
    /// Tasks were started and may run.
    Running,
    /// Tasks are being stopped and may still run.
    Ending,
    /// No task runs; the final report waits for its acknowledgement.
    Ended,
}

/// One attempt on one agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AttemptReport {
    /// Job of the gang.
    pub job: JobId,
    /// Attempt of the gang.
    pub attempt: Attempt,
    /// Phase on this agent.
    pub phase: AttemptPhase,
    /// Whether this agent leads the gang; its end is the gang's end.
    pub lead: bool,
    /// Why the attempt ended, once it ends.
    pub end: Option<GangEnd>,
    /// Members on this agent's worker.
    pub members: Vec<MemberReport>,
}

/// All attempts on one agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GangReport {
    /// Worker beside the agent.
    pub worker: WorkerId,
    /// Address of the agent.
    pub agent: SocketAddr,
    /// Lowest epoch that the agent obeys; absent while it obeys no start.
    pub epoch_floor: Option<Epoch>,
    /// Rises with each change; an acknowledgement names it.
    pub sequence: u64,
    /// Whether the agent has read its worker's task list since its start.
    pub recovered: bool,
    /// Attempts, ordered by job and attempt.
    pub attempts: Vec<AttemptReport>,
    /// Digest of the attempts without their progress.
    pub digest: Box<str>,
}

/// Returns the digest of `attempts`, which changes with membership, phases and task states.
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
