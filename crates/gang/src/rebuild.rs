//! What a new owner knows about running gangs while it collects reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use crate::AttemptPhase;
use crate::AttemptReport;
use crate::GangReport;
use crate::GangTimings;
use nutmegwalk_base::Epoch;

/// Reports collected by a new owner.
///
/// A report counts only when its agent already refuses epochs below the owner's: what the agent has
/// not started by then, no earlier owner can start there.
#[derive(Debug)]
pub struct Rebuild {
    epoch: Epoch,
    quiet_at: Instant,
    agents: BTreeMap<SocketAddr, Option<GangReport>>,
}

impl Rebuild {
    /// Starts the collection from `agents`, all of the data centre, at `now`.
    #[must_use]
    pub fn new(
        epoch: Epoch,
        agents: impl IntoIterator<Item = SocketAddr>,
        timings: &GangTimings,
        now: Instant,
    ) -> Self {
        Self {
            epoch,
            quiet_at: now + timings.quiet(),
            agents: agents.into_iter().map(|agent| (agent, None)).collect(),
        }
    }

    /// Takes a report and returns whether it counts.
    pub fn accept(&mut self, report: GangReport) -> bool {
        let counts =
            report.recovered && report.epoch_floor.is_some_and(|floor| floor >= self.epoch);
        if counts {
            self.agents.insert(report.agent, Some(report));
        }
        counts
    }

    /// Returns whether each agent has answered or has been silent for longer than the quiet time.
    #[must_use]
    pub fn is_complete(&self, now: Instant) -> bool {
        now > self.quiet_at || self.agents.values().all(Option::is_some)
    }

    /// Returns whether any part of `job` may still run; only otherwise may the job be restarted.
    #[must_use]
    pub fn may_run(&self, job: &str, now: Instant) -> bool {
        !self.is_complete(now)
            || self.attempts(job).any(|(_, attempt)| {
                matches!(attempt.phase, AttemptPhase::Running | AttemptPhase::Ending)
            })
    }

    /// Returns all reported attempts of `job` with their agents.
    pub fn attempts<'a>(
        &'a self,
        job: &'a str,
    ) -> impl Iterator<Item = (SocketAddr, &'a AttemptReport)> {
        self.agents
            .iter()
            .filter_map(|(agent, report)| Some((*agent, report.as_ref()?)))
            .flat_map(|(agent, report)| report.attempts.iter().map(move |attempt| (agent, attempt)))
            .filter(move |(_, attempt)| &*attempt.job == job)
    }
}
