//! Jobs of the data centre, as they stand in the table.

use std::collections::BTreeSet;

use log::warn;

use crate::job_table::StoredJob;
use crate::jobs::JobState;
use crate::owner::DataCentreOwner;
use crate::owner::term::JobEntry;
use crate::owner::term::Phase;
use crate::owner::term::Term;
use crate::owner::term::job_spec;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_fleet::StopReason;

impl DataCentreOwner {
    /// Reads the data centre's jobs and takes over what is new.
    pub(crate) async fn read_inbox(&self, epoch: Epoch) {
        match self.read_jobs().await {
            Ok((ids, jobs)) => {
                let cancelled = self
                    .with_term(epoch, |term| merge(term, &ids, jobs))
                    .unwrap_or_default();
                for job in cancelled {
                    self.cancel(epoch, &job);
                }
            }
            Err(error) => {
                warn!(data_centre = &*self.inner.data_centre; "cannot read the jobs: {error}")
            }
        }
    }

    async fn read_jobs(&self) -> Result<(Vec<JobId>, Vec<StoredJob>)> {
        let ids = self.inner.jobs.list_home(&self.inner.data_centre).await?;
        let jobs = self.inner.jobs.read_all(&ids).await?;
        Ok((ids, jobs))
    }

    /// Gives a job up that its caller cancelled.
    fn cancel(&self, epoch: Epoch, job: &str) {
        let is_queued = self.with_term(epoch, |term| {
            let now = term.now();
            term.fleet.cancel(job, now);
            term.jobs
                .get(job)
                .is_some_and(|entry| matches!(entry.phase, Phase::Queued))
        });
        if is_queued == Some(true) {
            self.end_job(epoch, job, JobState::Cancelled, None);
        } else {
            // The planner forgets a start in progress at once, so the stop is ordered here.
            self.stop(epoch, job, StopReason::Cancelled, std::time::Duration::ZERO);
        }
    }
}

/// Takes over jobs that were read and returns those that are to be cancelled.
fn merge(term: &mut Term, ids: &[JobId], jobs: Vec<StoredJob>) -> Vec<JobId> {
    let mut cancelled = Vec::new();
    for stored in jobs {
        let id = stored.record.id.clone();
        if stored.record.state.is_final() {
            continue;
        }
        let is_cancelling = stored.record.state == JobState::Cancelling;
        match term.jobs.get_mut(&id) {
            None => {
                let phase = if stored.record.run.is_some() {
                    Phase::Unresolved
                } else {
                    Phase::Queued
                };
                let resolved = matches!(phase, Phase::Queued);
                term.jobs.insert(id.clone(), JobEntry { stored, phase });
                if is_cancelling && resolved {
                    cancelled.push(id);
                }
            }
            Some(entry) => {
                // A row that this owner is writing has its newest version in the entry.
                let is_news = stored.version > entry.stored.version;
                let was_accepted = entry.stored.record.state == JobState::Accepted;
                if is_news && !matches!(entry.phase, Phase::Ending) {
                    entry.stored = stored;
                    if is_cancelling && was_accepted && !matches!(entry.phase, Phase::Unresolved) {
                        cancelled.push(id);
                    }
                }
            }
        }
    }
    let listed: BTreeSet<&JobId> = ids.iter().collect();
    term.jobs
        .retain(|id, entry| listed.contains(id) || !matches!(entry.phase, Phase::Queued));
    term.loaded = true;
    cancelled
}

/// Gives queued jobs to the planner that it does not know yet.
///
/// The planner refuses what does not fit on the workers that it knows. Right after a takeover these
/// are not all, so a refused job stays and is tried again when more workers have reported.
pub(crate) fn submit_queued(term: &mut Term) {
    let now = term.now();
    for entry in term.jobs.values() {
        let is_accepted = entry.stored.record.state == JobState::Accepted;
        if !matches!(entry.phase, Phase::Queued) || !is_accepted {
            continue;
        }
        if let Err(error) = term.fleet.submit(job_spec(&entry.stored.record), now)
            && error.kind != ErrorKind::NeverFits
        {
            warn!(job = &*entry.stored.record.id; "the planner refused the job: {error}");
        }
    }
}
