//! Writes of job rows by the owner.

use std::time::Duration;

use log::info;
use log::warn;

use crate::job_table::StoredJob;
use crate::jobs::JobRecord;
use crate::jobs::JobState;
use crate::jobs::unix_ms;
use crate::owner::DataCentreOwner;
use crate::owner::term::Phase;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_base::backoff::Backoff;

impl DataCentreOwner {
    /// Records that all tasks of a job finished.
    pub(crate) fn finish(&self, epoch: Epoch, job: &JobId) {
        info!(job = &**job; "job finished");
        self.end_job(epoch, job, JobState::Finished, None);
    }

    /// Records the end of a job that does not run.
    pub(crate) fn end_job(&self, epoch: Epoch, job: &str, state: JobState, error: Option<Error>) {
        let is_known = self.with_term(epoch, |term| {
            term.jobs
                .get_mut(job)
                .map(|entry| entry.phase = Phase::Ending)
                .is_some()
        });
        if is_known != Some(true) {
            return;
        }
        let (owner, job) = (self.clone(), JobId::from(job));
        compio::runtime::spawn(async move {
            let change = |record: &JobRecord| JobRecord {
                state,
                run: None,
                error: error.clone(),
                ended_unix_ms: Some(unix_ms()),
                ..record.clone()
            };
            if owner.update(epoch, &job, change).await.is_ok() {
                owner.with_term(epoch, |term| {
                    let now = term.now();
                    term.fleet.record_finished(&job, now);
                    term.remove_job(&job);
                });
            }
        })
        .detach();
    }

    /// Changes a job's row, retrying until it is written or the term has ended.
    ///
    /// # Errors
    /// `stale_epoch` when the term has ended; `not_found` when the job has ended or left the data centre, in
    /// which case it is removed from the term.
    pub(crate) async fn update(
        &self,
        epoch: Epoch,
        job: &str,
        change: impl Fn(&JobRecord) -> JobRecord,
    ) -> Result<JobRecord> {
        let ended = || Error::new(ErrorKind::StaleEpoch, "the term has ended");
        let no_longer_here = || {
            Error::new(
                ErrorKind::NotFound,
                format!("job `{job}` has ended or left the data centre"),
            )
        };
        let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(2));
        loop {
            let held = self
                .inner
                .ownership
                .current()
                .filter(|held| held.epoch == epoch)
                .ok_or_else(ended)?;
            let stored = self
                .with_term(epoch, |term| {
                    term.jobs.get(job).map(|entry| entry.stored.clone())
                })
                .ok_or_else(ended)?
                .ok_or_else(no_longer_here)?;
            let record = change(&stored.record);
            let fence = self.inner.ownership.fence(&held);
            let newest = match self.inner.jobs.replace(&stored, record, &fence).await {
                Ok(written) => {
                    let record = written.record.clone();
                    self.update_entry(epoch, written);
                    return Ok(record);
                }
                Err(error) if error.kind == ErrorKind::StaleEpoch => return Err(error),
                Err(error) if error.kind == ErrorKind::Conflict => self.inner.jobs.read(job).await,
                Err(error) => {
                    warn!(job = job; "cannot write the job: {error}");
                    compio::time::sleep(backoff.next_delay()).await;
                    continue;
                }
            };
            match newest {
                // An earlier write of this loop, whose answer was lost, may have been the final one.
                Ok(newest) if self.has_ended_or_left(&newest.record) => {
                    self.update_entry(epoch, newest);
                    self.remove_job(epoch, job);
                    return Err(no_longer_here());
                }
                Ok(newest) => self.update_entry(epoch, newest),
                Err(error) if error.kind == ErrorKind::NotFound => {
                    self.remove_job(epoch, job);
                    return Err(error);
                }
                Err(_) => compio::time::sleep(backoff.next_delay()).await,
            }
        }
    }

    /// Returns whether a job has ended or has another home, so that this owner may not write its row.
    pub(crate) fn has_ended_or_left(&self, record: &JobRecord) -> bool {
        record.state.is_final() || *record.home != *self.inner.data_centre
    }

    fn remove_job(&self, epoch: Epoch, job: &str) {
        self.with_term(epoch, |term| {
            let now = term.now();
            term.fleet.record_finished(job, now);
            term.remove_job(job);
        });
    }

    fn update_entry(&self, epoch: Epoch, stored: StoredJob) {
        self.with_term(epoch, |term| {
            if let Some(entry) = term.jobs.get_mut(&stored.record.id) {
                entry.stored = stored;
            }
        });
    }
}

/// Returns the work contained in a job's last checkpoint.
pub(crate) fn checkpoint_of(record: &JobRecord) -> Duration {
    Duration::from_millis(record.checkpoint_ms)
}
