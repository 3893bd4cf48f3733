//! Deletion of jobs whose retention time has passed.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;

use crate::early_cancels::KnownEarlyCancels;
use crate::job::Job;
use crate::term::Term;
use nutmegwalk_base::JobId;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_store::Condition;
use nutmegwalk_store::RequestClass;
use nutmegwalk_store::RowVersion;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;
use nutmegwalk_workload::JobRow;

/// Interval between two checks for jobs to delete.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(12);
/// Maximum number of rows and conditions of jobs that are deleted in one transaction, beside the conditions of the owner.
pub(crate) const ENTRIES_PER_DELETION: usize = 96;
/// Deadline of one deletion.
pub(crate) const DELETION_DEADLINE: Duration = Duration::from_secs(2);

/// Jobs that were deleted, as long as their rows may still be delivered, with the version of their deletion.
#[derive(Debug, Default)]
pub(crate) struct DeletedJobs {
    versions: BTreeMap<JobId, RowVersion>,
}

impl DeletedJobs {
    /// Records that a job was deleted at `version`.
    pub(crate) fn record(&mut self, id: JobId, version: RowVersion) {
        let deleted_at = self.versions.entry(id).or_default();
        *deleted_at = version.max(*deleted_at);
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

/// Returns the rows that a job may have, apart from its parts.
fn rows_of(job: &Job) -> &'static [JobRow] {
    const ALL: &[JobRow] = &[
        JobRow::Accepted,
        JobRow::Cancelled,
        JobRow::Progress,
        JobRow::Ended,
    ];
    if job.record.spec.has_part_rows() {
        ALL
    } else {
        &ALL[..3]
    }
}

impl Term {
    /// Deletes the rows of jobs whose retention time has passed, until the task is dropped.
    pub(crate) async fn clean_up(self: Rc<Self>) {
        let mut early_cancels = KnownEarlyCancels::default();
        loop {
            compio::time::sleep(CLEANUP_INTERVAL).await;
            let ended = self.expired_jobs();
            if !ended.is_empty() && self.is_valid() {
                self.delete(&ended).await;
            }
            if self.is_valid() {
                self.delete_early_cancels(&mut early_cancels).await;
            }
        }
    }

    /// Returns jobs without runs whose retention time has passed and whose progress is stored, as many as one transaction
    /// can delete.
    fn expired_jobs(&self) -> Vec<JobId> {
        let now = clock::now();
        let retention = self.settings.ended_job_retention;
        let state = self.state.borrow();
        let ended = state.jobs.iter().filter(|(_, job)| {
            job.ended_at
                .is_some_and(|at| now.saturating_duration_since(at) > retention)
                && job.units.values().all(|unit| unit.runs.is_empty())
                && !job.has_unstored_changes()
                && job.stored_parts.is_empty()
                && !job.is_writing
        });
        let mut entries = 0;
        ended
            .take_while(|(_, job)| {
                entries += rows_of(job).len() + 1;
                entries <= ENTRIES_PER_DELETION
            })
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Deletes the rows of jobs in one transaction that is fenced by the epoch.
    ///
    /// It is conditional on the progress rows, since the answer to an earlier attempt may have been lost, and a new job
    /// may have been accepted under the id since.
    async fn delete(&self, ids: &[JobId]) {
        let mut transaction = self.ownership.fence(&self.held);
        let stored: Vec<_> = ids.iter().map(|id| (id, self.stored_version(id))).collect();
        for (id, stored_version) in &stored {
            transaction = match *stored_version {
                Some(version) => transaction.with_version(JobRow::Progress.key(id), version),
                None => transaction.with_absent(JobRow::Progress.key(id)),
            };
            let rows = self.state.borrow().jobs.get(*id).map_or(&[][..], rows_of);
            for row in rows {
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
                for (id, stored_version) in stored {
                    self.remove_deleted(id, stored_version, version);
                }
            }
            Ok(TransactionOutcome::Rejected { failed_conditions }) => {
                self.remove_deleted_before(&stored, &transaction, &failed_conditions);
            }
            Err(error) => {
                warn!(target: event::PROGRESS_NOT_STORED, "cannot delete ended jobs: {error}")
            }
        }
    }

    fn stored_version(&self, id: &JobId) -> Option<RowVersion> {
        let state = self.state.borrow();
        state.jobs.get(id)?.stored_version
    }

    /// Removes the jobs whose progress rows are gone, so that an earlier deletion has taken effect.
    fn remove_deleted_before(
        &self,
        stored: &[(&JobId, Option<RowVersion>)],
        transaction: &Transaction,
        failed: &[usize],
    ) {
        let failed_keys: Vec<&str> = failed
            .iter()
            .filter_map(|index| transaction.conditions.get(*index))
            .map(|condition| match condition {
                Condition::Absent { key } | Condition::Version { key, .. } => &**key,
            })
            .collect();
        let is_gone = |id: &JobId| failed_keys.contains(&&*JobRow::Progress.key(id));
        let gone: Vec<_> = stored.iter().filter(|(id, _)| is_gone(id)).collect();
        if gone.len() < failed_keys.len() {
            warn!(target: event::PROGRESS_NOT_STORED, epoch = self.epoch(); "cannot delete ended jobs: another process has become the owner");
            return;
        }
        for (id, stored_version) in gone {
            // The progress row was written last.
            self.remove_deleted(id, *stored_version, stored_version.unwrap_or_default());
        }
    }

    /// Removes a job whose rows were deleted, unless a later one under its id has replaced it meanwhile.
    fn remove_deleted(&self, id: &JobId, stored_version: Option<RowVersion>, version: RowVersion) {
        let mut state = self.state.borrow_mut();
        let known = state.jobs.get(id);
        if known.is_some_and(|job| job.stored_version == stored_version) {
            state.jobs.remove(id);
        }
        state.deleted_jobs.record(id.clone(), version);
    }
}
