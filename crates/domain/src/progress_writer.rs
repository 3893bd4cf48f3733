//! Writes of the progress of jobs to the store.
//!
//! For each job with changes, one asynchronous task writes the progress row until all changes are stored.
//! Every write is conditional on the owner's epoch and on the row's version, so neither a superseded owner
//! nor a delayed write can overwrite a newer state.

use std::rc::Rc;
use std::time::Duration;

use log::error;
use log::warn;

use crate::job::AssignmentState;
use crate::term::Term;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_net::spawn_restarting;
use nutmegwalk_store::Condition;
use nutmegwalk_store::RequestClass;
use nutmegwalk_store::RowVersion;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;
use nutmegwalk_workload::JobRow;
use nutmegwalk_workload::JobState;

/// Deadline of one write including its retries, after which the write is built anew from the current state.
const WRITE_DEADLINE: Duration = Duration::from_millis(2_000);
/// Pause after a failed write, in addition to the store client's backoff within the deadline.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A write of the progress of a job.
struct ProgressWrite {
    transaction: Transaction,
    /// Revision of the job that the write contains.
    revision: u64,
    cancelled_key: Box<str>,
}

impl Term {
    /// Starts writing the progress of a job unless that is in progress.
    pub(crate) fn start_writing(self: &Rc<Self>, id: &JobId) {
        {
            let mut state = self.state.borrow_mut();
            let Some(job) = state.jobs.get_mut(id) else {
                return;
            };
            if std::mem::replace(&mut job.is_writing, true) {
                return;
            }
        }
        let term = Rc::clone(self);
        let id = id.clone();
        spawn_restarting("progress_writer", move || {
            let (term, id) = (Rc::clone(&term), id.clone());
            async move { term.write_until_stored(&id).await }
        })
        .detach();
    }

    /// Writes the progress of a job until all changes are stored or the writes cannot succeed any more.
    async fn write_until_stored(self: Rc<Self>, id: &JobId) {
        while let Some(write) = self.next_write(id) {
            let outcome = self
                .store
                .transact(RequestClass::Progress, &write.transaction, WRITE_DEADLINE)
                .await;
            match outcome {
                Ok(TransactionOutcome::Committed { version }) => {
                    self.record_stored(id, write.revision, version);
                }
                Ok(TransactionOutcome::Rejected { failed_conditions }) => {
                    if !self.handle_rejection(id, &write, &failed_conditions).await {
                        break;
                    }
                }
                Err(error) => {
                    if self.has_successor() {
                        break;
                    }
                    warn!(target: event::PROGRESS_NOT_STORED, job = &**id; "cannot store progress: {error}");
                    compio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
        if let Some(job) = self.state.borrow_mut().jobs.get_mut(id) {
            job.is_writing = false;
        }
        self.flush();
    }

    /// Returns whether another process has become the owner since.
    fn has_successor(&self) -> bool {
        self.ownership
            .lease_row()
            .is_some_and(|owner| owner.epoch > self.epoch())
    }

    /// Returns the next write; `None` if all changes are stored or the job was deleted.
    fn next_write(&self, id: &JobId) -> Option<ProgressWrite> {
        let state = self.state.borrow();
        let job = state.jobs.get(id)?;
        if job.stored_revision >= job.revision {
            return None;
        }
        let key = JobRow::Progress.key(id);
        let cancelled_key = JobRow::Cancelled.key(id);
        let value = match serde_json::to_string(&job.progress) {
            Ok(value) => value,
            Err(error) => {
                error!(target: event::PROGRESS_NOT_STORED, job = &**id; "cannot encode progress: {error}");
                return None;
            }
        };
        let mut transaction = self.ownership.fence(&self.held);
        transaction = match job.stored_version {
            Some(version) => transaction.with_version(key.clone(), version),
            None => transaction.with_absent(key.clone()),
        };
        if job.progress.state == JobState::Completed {
            // A job whose cancellation was confirmed must not be stored as completed.
            transaction = transaction.with_absent(cancelled_key.clone());
        }
        Some(ProgressWrite {
            transaction: transaction.with_put(key, value),
            revision: job.revision,
            cancelled_key,
        })
    }

    /// Records that a revision is stored, so that its runs may be started and its ends acknowledged.
    fn record_stored(self: &Rc<Self>, id: &JobId, revision: u64, version: RowVersion) {
        let now = clock::now();
        {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let Some(job) = state.jobs.get_mut(id) else {
                return;
            };
            job.stored_version = Some(version);
            job.stored_revision = job.stored_revision.max(revision);
            let mut workers = Vec::new();
            for run in job.units.values_mut().flat_map(|unit| &mut unit.runs) {
                if run.revision > revision {
                    continue;
                }
                for assignment in &mut run.assignments {
                    if assignment.state == AssignmentState::Unstored {
                        assignment.enter(AssignmentState::Ordered, now);
                        workers.push(assignment.worker.id.clone());
                    }
                }
            }
            for worker in workers {
                state.queue_notification(&worker);
            }
            state.advance_acknowledgements();
        }
        self.flush();
    }

    /// Handles the failed conditions of a rejected write; returns whether to retry.
    async fn handle_rejection(
        self: &Rc<Self>,
        id: &JobId,
        write: &ProgressWrite,
        failed: &[usize],
    ) -> bool {
        let failed_key = |index: &usize| match write.transaction.conditions.get(*index) {
            Some(Condition::Absent { key } | Condition::Version { key, .. }) => key.clone(),
            None => Box::default(),
        };
        let failed_keys: Vec<Box<str>> = failed.iter().map(failed_key).collect();
        let progress_key = JobRow::Progress.key(id);
        if failed_keys
            .iter()
            .any(|key| *key != progress_key && *key != write.cancelled_key)
        {
            warn!(target: event::PROGRESS_NOT_STORED, job = &**id, epoch = self.epoch(); "another process has become the owner");
            return false;
        }
        if failed_keys.contains(&write.cancelled_key) {
            self.undo_completion(id);
        }
        if failed_keys.contains(&progress_key) {
            // An earlier write of this term was committed although its answer was lost.
            match self
                .store
                .get(RequestClass::Progress, &[progress_key], WRITE_DEADLINE)
                .await
            {
                Ok(rows) => {
                    let version = rows.into_iter().flatten().next().map(|row| row.version);
                    if let Some(job) = self.state.borrow_mut().jobs.get_mut(id) {
                        job.stored_version = version;
                    }
                }
                Err(error) if error.kind == ErrorKind::StoreUnavailable => {
                    warn!(target: event::PROGRESS_NOT_STORED, job = &**id; "cannot read progress back: {error}");
                    compio::time::sleep(RETRY_PAUSE).await;
                }
                Err(error) => {
                    warn!(target: event::PROGRESS_NOT_STORED, job = &**id; "cannot read progress back: {error}");
                    return false;
                }
            }
        }
        true
    }

    /// Marks a job as cancelled that completed after its cancellation had been confirmed to the submitter.
    fn undo_completion(&self, id: &JobId) {
        let mut state = self.state.borrow_mut();
        if let Some(job) = state.jobs.get_mut(id)
            && job.progress.state == JobState::Completed
        {
            job.progress.end(JobState::Cancelled);
            state.mark_changed(id);
        }
    }
}
