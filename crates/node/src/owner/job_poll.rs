//! Periodic reads of the data centre's job rows, and the handling of cancellations found in them.

use std::collections::BTreeSet;
use std::time::Instant;

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
use nutmegwalk_base::backoff::Backoff;
use nutmegwalk_fleet::StopReason;
use nutmegwalk_net::Drain;

impl DataCentreOwner {
    /// Reads the data centre's jobs after each notice and once per `OwnerTimings::job_poll`, until `drain`
    /// starts.
    pub(crate) async fn poll_jobs(&self, drain: &Drain) {
        let timings = self.inner.timings;
        let mut last_read = Instant::now();
        let mut backoff = Backoff::new(timings.tick * 4, timings.job_poll);
        while !drain.is_started() {
            let epoch = self.inner.term.borrow().as_ref().map(|term| term.epoch);
            let is_due = last_read.elapsed() >= timings.job_poll || self.inner.job_poll_due.get();
            let Some(epoch) = epoch.filter(|_| is_due) else {
                compio::time::sleep(timings.tick).await;
                continue;
            };
            last_read = Instant::now();
            self.inner.job_poll_due.set(false);
            match self.refresh_jobs(epoch).await {
                Ok(()) => backoff = Backoff::new(timings.tick * 4, timings.job_poll),
                Err(error) => {
                    warn!(data_centre = &*self.inner.data_centre; "cannot read the jobs: {error}");
                    self.inner.job_poll_due.set(true);
                    compio::time::sleep(backoff.next_delay()).await;
                }
            }
        }
    }

    /// Reads the data centre's jobs and merges them into the term.
    async fn refresh_jobs(&self, epoch: Epoch) -> Result<()> {
        self.with_term(epoch, |term| term.departed.clear());
        let (ids, jobs) = self.read_jobs().await?;
        self.with_term(epoch, |term| {
            merge(term, &self.inner.data_centre, &ids, jobs)
        });
        Ok(())
    }

    /// Cancels the jobs whose rows request it, whether the row came from a poll or from a conflicting write.
    pub(crate) fn cancel_requested_jobs(&self, epoch: Epoch) {
        let cancelling = self.with_term(epoch, |term| {
            let jobs = term.jobs.iter().filter(|(_, entry)| {
                let can_act = matches!(
                    entry.phase,
                    Phase::Queued | Phase::Running { .. } | Phase::Starting { stop: None }
                );
                can_act && entry.stored.record.state == JobState::Cancelling
            });
            jobs.map(|(id, _)| id.clone()).collect::<Vec<_>>()
        });
        for job in cancelling.unwrap_or_default() {
            self.cancel(epoch, &job);
        }
    }

    async fn read_jobs(&self) -> Result<(Vec<JobId>, Vec<StoredJob>)> {
        let ids = self.inner.jobs.list_home(&self.inner.data_centre).await?;
        let jobs = self.inner.jobs.read_all(&ids).await?;
        Ok((ids, jobs))
    }

    /// Cancels a job: ends it if it is queued, otherwise stops its start or its gang.
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
            // The planner emits its own stop only in the next planning round, so the job is stopped here
            // immediately.
            self.stop(epoch, job, StopReason::Cancelled, std::time::Duration::ZERO);
        }
    }
}

/// Merges rows that were read into the term. A row may be older than this owner's latest write of it.
fn merge(term: &mut Term, data_centre: &str, ids: &[JobId], jobs: Vec<StoredJob>) {
    for stored in jobs {
        let id = stored.record.id.clone();
        // The index is read before the rows, so a job may have ended or moved in between.
        if stored.record.state.is_final() || *stored.record.home != *data_centre {
            continue;
        }
        let has_departed = term
            .departed
            .get(&id)
            .is_some_and(|version| stored.version <= *version);
        if has_departed {
            continue;
        }
        match term.jobs.get_mut(&id) {
            None => {
                let phase = if stored.record.run.is_some() {
                    Phase::Unresolved
                } else {
                    Phase::Queued
                };
                term.jobs.insert(id, JobEntry::new(stored, phase));
            }
            Some(entry) => {
                // While a job is ending, this owner writes its row and keeps the entry up to date itself.
                if stored.version > entry.stored.version && !matches!(entry.phase, Phase::Ending) {
                    entry.stored = stored;
                }
            }
        }
    }
    let listed: BTreeSet<&JobId> = ids.iter().collect();
    let removed: Vec<JobId> = term
        .jobs
        .iter()
        .filter(|(id, entry)| !listed.contains(id) && matches!(entry.phase, Phase::Queued))
        .map(|(id, _)| id.clone())
        .collect();
    for job in removed {
        term.withdraw(&job);
        term.jobs.remove(&job);
    }
    term.loaded = true;
}

/// Submits to the planner the queued jobs that it does not have yet.
///
/// The planner refuses jobs that do not fit on the workers known to it. Right after a takeover some workers
/// are still missing, so a refused job stays queued and is submitted again until enough workers have reported.
pub(crate) fn submit_queued(term: &mut Term) {
    let now = term.now();
    for entry in term.jobs.values() {
        let is_accepted = entry.stored.record.state == JobState::Accepted;
        let is_due = entry.retry_at.is_none_or(|at| at <= Instant::now());
        if !matches!(entry.phase, Phase::Queued) || !is_accepted || !is_due {
            continue;
        }
        if let Err(error) = term.fleet.submit(job_spec(&entry.stored.record), now)
            && error.kind != ErrorKind::NeverFits
        {
            warn!(job = &*entry.stored.record.id; "the planner refused the job: {error}");
        }
    }
}
