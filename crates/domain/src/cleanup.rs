//! Deletion of jobs whose retention time has passed.

use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;

use crate::term::Term;
use nutmegwalk_base::JobId;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_store::RequestClass;
use nutmegwalk_workload::JobRow;

/// Interval between two checks for jobs to delete.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(15);
/// Maximum number of jobs deleted in one transaction; each job has three rows.
const JOBS_PER_DELETION: usize = 30;
/// Deadline of one deletion.
const DELETION_DEADLINE: Duration = Duration::from_secs(2);

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
            Ok(_) => {
                info!(target: event::JOBS_DELETED, jobs = ids.len(); "");
                let mut state = self.state.borrow_mut();
                for id in ids {
                    state.jobs.remove(id);
                }
            }
            Err(error) => {
                warn!(target: event::PROGRESS_NOT_STORED, "cannot delete ended jobs: {error}")
            }
        }
    }
}
