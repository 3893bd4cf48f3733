//! Reports from which a new owner rebuilds the state of the running gangs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use crate::AttemptPhase;
use crate::AttemptReport;
use crate::GangReport;
use crate::GangTimings;
use nutmegwalk_base::Epoch;

/// Collects the agents' reports for a new owner.
///
/// A report is accepted only once its agent refuses epochs below the new owner's. From then on no
/// earlier owner can start an attempt on that agent.
#[derive(Debug)]
pub struct ReportCollector {
    epoch: Epoch,
    quiet_deadline: Instant,
    agents: BTreeMap<SocketAddr, Option<GangReport>>,
}

impl ReportCollector {
    /// Starts collecting at `now`; `agents` are all agents of the data centre.
    #[must_use]
    pub fn new(
        epoch: Epoch,
        agents: impl IntoIterator<Item = SocketAddr>,
        timings: &GangTimings,
        now: Instant,
    ) -> Self {
        Self {
            epoch,
            quiet_deadline: now + timings.quiet_period(),
            agents: agents.into_iter().map(|agent| (agent, None)).collect(),
        }
    }

    /// Stores a report if it can be accepted; returns whether it was.
    pub fn accept(&mut self, report: GangReport) -> bool {
        let is_accepted =
            report.recovered && report.epoch_floor.is_some_and(|floor| floor >= self.epoch);
        if is_accepted {
            self.agents.insert(report.agent, Some(report));
        }
        is_accepted
    }

    /// Returns whether every agent has an accepted report or the quiet period has passed.
    #[must_use]
    pub fn is_complete(&self, now: Instant) -> bool {
        now > self.quiet_deadline || self.agents.values().all(Option::is_some)
    }

    /// Returns whether any part of `job` may still run; the job may be restarted only if none may.
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
