//! Periodic checkpoints of running gangs, which bound the work lost with a member.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use log::debug;

use crate::jobs::JobRecord;
use crate::owner::DataCentreOwner;
use crate::owner::term::Phase;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::JobId;
use nutmegwalk_gang::GangSpec;
use nutmegwalk_gang::MemberReport;
use nutmegwalk_gang::TaskState;
use nutmegwalk_gang::messages::Checkpoint;

/// Timeout of a periodic checkpoint.
const CHECKPOINT_TIMEOUT: Duration = Duration::from_secs(20);

impl DataCentreOwner {
    /// Requests checkpoints from the gangs whose next one is due.
    pub(crate) fn request_due_checkpoints(&self, epoch: Epoch) {
        let now = Instant::now();
        let next = now + self.inner.timings.checkpoint;
        let due = self.with_term(epoch, |term| {
            let mut jobs: Vec<JobId> = Vec::new();
            for (id, entry) in &mut term.jobs {
                if let Phase::Running { checkpoint_at, .. } = &mut entry.phase
                    && *checkpoint_at <= now
                {
                    *checkpoint_at = next;
                    jobs.push(id.clone());
                }
            }
            let gangs = jobs.iter().filter_map(|job| term.current_gang(job));
            gangs.collect::<Vec<GangSpec>>()
        });
        for gang in due.unwrap_or_default() {
            let owner = self.clone();
            compio::runtime::spawn(async move { owner.checkpoint(epoch, gang).await }).detach();
        }
    }

    async fn checkpoint(&self, epoch: Epoch, gang: GangSpec) {
        let message = Checkpoint {
            job: gang.job.clone(),
            attempt: gang.attempt,
            epoch,
            within_ms: u64::try_from(CHECKPOINT_TIMEOUT.as_millis()).unwrap_or(u64::MAX),
            stop: false,
        };
        let agents: BTreeSet<SocketAddr> = gang.members.iter().map(|member| member.agent).collect();
        let limit = CHECKPOINT_TIMEOUT + self.inner.timings.gang.request_timeout;
        let sends = agents
            .into_iter()
            .map(|agent| self.inner.client.send(agent, &message, limit));
        let mut members = Vec::new();
        for answer in join_all(sends).await {
            match answer {
                Ok(states) => members.extend(states),
                Err(error) => {
                    debug!(job = &*gang.job; "cannot checkpoint all members: {error}");
                    return;
                }
            }
        }
        let Some(checkpoint_ms) = common_checkpoint(&members, gang.members.len()) else {
            return;
        };
        let is_newer = self.with_term(epoch, |term| {
            let entry = term.jobs.get(&gang.job);
            entry.is_some_and(|entry| {
                entry.attempt() == Some(gang.attempt)
                    && matches!(entry.phase, Phase::Running { .. })
                    && entry.stored.record.checkpoint_ms < checkpoint_ms
            })
        });
        if is_newer != Some(true) {
            return;
        }
        // The work done by this attempt counts even if the attempt has ended in between.
        let progress = |record: &JobRecord| JobRecord {
            checkpoint_ms: record.checkpoint_ms.max(checkpoint_ms),
            ..record.clone()
        };
        if self.update(epoch, &gang.job, progress).await.is_ok() {
            self.with_term(epoch, |term| {
                let now = term.now();
                let checkpoint = Duration::from_millis(checkpoint_ms);
                term.fleet.record_checkpoint(&gang.job, checkpoint, now);
            });
        }
    }
}

/// Returns the work that all members can resume from, in milliseconds; `None` if a member is missing.
fn common_checkpoint(members: &[MemberReport], size: usize) -> Option<u64> {
    if members.len() < size {
        return None;
    }
    // A finished member writes no more checkpoints; all its work is done.
    let work = members.iter().map(|member| match member.state {
        Some(TaskState::Finished) => member.progress_ms,
        _ => member.checkpoint_ms,
    });
    work.min()
}
