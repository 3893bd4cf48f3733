//! Deletion of jobs whose retention time has passed.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;

use crate::term::Term;
use nutmegwalk_base::JobId;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_store::RequestClass;
use nutmegwalk_store::RowVersion;
use nutmegwalk_store::TransactionOutcome;
use nutmegwalk_workload::JobRow;

/// Interval between two checks for jobs to delete.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(15);
/// Maximum number of jobs deleted in one transaction; each job has three rows.
const JOBS_PER_DELETION: usize = 30;
/// Deadline of one deletion.
const DELETION_DEADLINE: Duration = Duration::from_secs(2);

/// Jobs that were deleted, as long as their rows may still be delivered, with the version of their deletion.
#[derive(Debug, Default)]
pub(crate) struct DeletedJobs {
    versions: BTreeMap<JobId, RowVersion>,
}

impl DeletedJobs {
    /// Records that a job was deleted at `version`.
    fn record(&mut self, id: JobId, version: RowVersion) {
        self.versions.insert(id, version);
    }

    /// Returns whether a row of a job that was written at `version` has been deleted. A later row is part of a new job
    /// under the same id.
    pub(crate) fn contains(&self, id: &str, version: RowVersion) -> bool {
        self.versions
            .get(id)
            .is_some_and(|deleted_at| version <= *deleted_at)
    }

    /// Removes the jobs that were deleted up to `version`, when no earlier row is delivered any more.
    pub(crate) fn remove_until(&mut self, version: RowVersion) {
        self.versions.retain(|_, deleted_at| *deleted_at > version);
    }
}

impl Term {
    /// Deletes the rows of jobs whose retention time has passed, until the task is dropped.
    pub(crate) async fn clean_up(self: Rc<Self>) {
        loop {
            compio::time::sleep(CLEANUP_INTERVAL).await;
            let ended = self.expired_jobs();
            if !ended.is_empty() && self.is_valid() {
                self.delete(&ended).await;
            }
        }
    }

    /// Returns up to [`JOBS_PER_DELETION`] jobs without runs whose retention time has passed and whose progress
    /// is stored.
    fn expired_jobs(&self) -> Vec<JobId> {
        let now = clock::now();
        let retention = self.settings.ended_job_retention;
        let state = self.state.borrow();
        let ended = state.jobs.iter().filter(|(_, job)| {
            job.ended_at
                .is_some_and(|at| now.saturating_duration_since(at) > retention)
                && job.units.values().all(|unit| unit.runs.is_empty())
                && job.stored_revision >= job.revision
                && !job.is_writing
        });
        ended
            .take(JOBS_PER_DELETION)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Deletes the rows of jobs in one transaction that is fenced by the epoch.
    async fn delete(&self, ids: &[JobId]) {
        let mut transaction = self.ownership.fence(&self.held);
        for id in ids {
            for row in [JobRow::Accepted, JobRow::Cancelled, JobRow::Progress] {
                transaction = transaction.with_delete(row.key(id));
            }
        }
        match self
            .store
            .transact(RequestClass::Audit, &transaction, DELETION_DEADLINE)
            .await
        {
            Ok(TransactionOutcome::Committed { version }) => {
                info!(target: event::JOBS_DELETED, jobs = ids.len(); "");
                let mut state = self.state.borrow_mut();
                for id in ids {
                    state.jobs.remove(id);
                    state.deleted_jobs.record(id.clone(), version);
                }
            }
            Ok(TransactionOutcome::Rejected { .. }) => {
                warn!(target: event::PROGRESS_NOT_STORED, epoch = self.epoch(); "cannot delete ended jobs: another process has become the owner")
            }
            Err(error) => {
                warn!(target: event::PROGRESS_NOT_STORED, "cannot delete ended jobs: {error}")
            }
        }
    }
}
