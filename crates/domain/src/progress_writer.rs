//! Writes of the progress of jobs to the store.
//!
//! For each job with changes, one asynchronous task writes its progress until all changes are stored. A write contains the
//! summary and the parts that have changed, as many as fit into one transaction. Every write replaces the summary and is
//! conditional on its version and on the owner's epoch, so neither a superseded owner nor a delayed write can overwrite a
//! newer state.
//!
//! Parts of different writes may be stored when the owner ends. That is sound, since a run is started, and an end is
//! acknowledged, only after all parts of its revision are stored: what a new owner does not find, it learns from the
//! workers, and a run of which it finds some parts was not started.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::error;
use log::warn;

use crate::job::Assignment;
use crate::job::AssignmentState;
use crate::job::Job;
use crate::term::Term;
use nutmegwalk_base::Error;
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
use nutmegwalk_workload::PartId;

/// Deadline of one write including its retries, after which the write is built anew from the current state.
const WRITE_DEADLINE: Duration = Duration::from_millis(2_000);
/// Pause after a failed write, in addition to the store client's backoff within the deadline.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a write that the store refused because of its content, for which no run of the job is started.
const REFUSED_PAUSE: Duration = Duration::from_secs(5);
/// Maximum number of parts in one write. With the conditions, the summary and the mark of an ended job they fit into one
/// transaction.
const MAX_PARTS_PER_WRITE: usize = 90;
/// Length of the parts, in bytes, from which no further part is added to a write.
const MAX_BYTES_PER_WRITE: usize = 512 << 10;

/// A write of the progress of a job.
struct ProgressWrite {
    transaction: Transaction,
    /// Parts that the write stores, or whose rows it deletes.
    parts: Vec<PartId>,
    /// Those among `parts` without a row after the write.
    deleted: Vec<PartId>,
    /// Revision of the job that is stored with this write; `None` if parts of it remain.
    revision: Option<u64>,
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
                    self.record_stored(id, &write, version);
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
                    if is_refused(&error) {
                        self.withdraw_unstored_runs(id);
                        compio::time::sleep(REFUSED_PAUSE).await;
                    } else {
                        compio::time::sleep(RETRY_PAUSE).await;
                    }
                }
            }
        }
        if let Some(job) = self.state.borrow_mut().jobs.get_mut(id) {
            job.is_writing = false;
        }
        self.flush();
    }

    /// Ends the runs of a job that cannot be stored, so that they do not keep resources from other jobs.
    fn withdraw_unstored_runs(self: &Rc<Self>, id: &JobId) {
        {
            let mut state = self.state.borrow_mut();
            let Some(job) = state.jobs.get_mut(id) else {
                return;
            };
            job.refused_at = Some(clock::now());
            for run in job.units.values_mut().flat_map(|unit| &mut unit.runs) {
                let is_unstored =
                    |assignment: &Assignment| assignment.state == AssignmentState::Unstored;
                if run.assignments.iter().any(is_unstored) {
                    run.stop();
                }
            }
            state.remove_all_ended_runs(id);
            state.mark_changed(id);
        }
        self.flush();
    }

    /// Returns whether another process has become the owner since.
    fn has_successor(&self) -> bool {
        self.ownership
            .lease_row()
            .is_some_and(|owner| owner.epoch > self.epoch())
    }

    /// Returns the next write; `None` if all changes are stored, the job was deleted or its progress cannot be encoded.
    fn next_write(&self, id: &JobId) -> Option<ProgressWrite> {
        let write = {
            let mut state = self.state.borrow_mut();
            let job = state.jobs.get_mut(id)?;
            if !job.has_unstored_changes() {
                return None;
            }
            job.take_changed_parts();
            let fence = self.ownership.fence(&self.held);
            job.next_write(id, fence)
        };
        write
            .inspect_err(|error| {
                error!(target: event::PROGRESS_NOT_STORED, job = &**id; "cannot encode progress: {error}");
            })
            .ok()
    }

    /// Records that a write is stored. Once its revision is, its runs may be started and its ends acknowledged.
    fn record_stored(self: &Rc<Self>, id: &JobId, write: &ProgressWrite, version: RowVersion) {
        let now = clock::now();
        {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let Some(job) = state.jobs.get_mut(id) else {
                return;
            };
            job.stored_version = Some(version);
            for part in &write.parts {
                job.unstored_parts.remove(part);
            }
            for part in &write.deleted {
                job.stored_parts.remove(part);
            }
            let Some(revision) = write.revision else {
                return;
            };
            job.stored_revision = job.stored_revision.max(revision);
            let mut workers = BTreeSet::new();
            for run in job.units.values_mut().flat_map(|unit| &mut unit.runs) {
                if run.revision > revision {
                    continue;
                }
                for assignment in &mut run.assignments {
                    if assignment.state == AssignmentState::Unstored {
                        assignment.enter(AssignmentState::Ordered, now);
                        workers.insert(assignment.worker.id.clone());
                    }
                }
            }
            for worker in &workers {
                state.queue_notification(worker);
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

/// Returns whether the store refused a write because of its content, so that the same write is refused again.
fn is_refused(error: &Error) -> bool {
    !matches!(
        error.kind,
        ErrorKind::StoreUnavailable | ErrorKind::StoreUnknown
    )
}

impl Job {
    /// Returns whether the store has just refused the progress of the job, so that no run of it can be started.
    pub(crate) fn is_refused(&self, now: Instant) -> bool {
        self.refused_at
            .is_some_and(|at| now.saturating_duration_since(at) < REFUSED_PAUSE)
    }

    /// Returns whether the rows in the store differ from the progress.
    pub(crate) fn has_unstored_changes(&self) -> bool {
        self.stored_revision < self.revision
            || !self.unstored_parts.is_empty()
            || self.obsolete_parts().next().is_some()
    }

    /// Returns the parts with rows that are not needed any more.
    fn obsolete_parts(&self) -> impl Iterator<Item = PartId> {
        let parts = self.stored_parts.iter().copied();
        parts.filter(|part| self.progress.is_part_obsolete(*part))
    }

    /// Begins the next revision with the parts that have changed, once those of the revision before are stored.
    fn take_changed_parts(&mut self) {
        if !self.unstored_parts.is_empty() {
            return;
        }
        let changed = self.progress.take_changed_parts();
        self.written_revision = self.revision;
        if self.record.spec.has_part_rows() {
            self.unstored_parts = changed;
            self.unstored_parts
                .extend(self.obsolete_parts().collect::<Vec<_>>());
        }
    }

    /// Returns a write of the summary and of as many unstored parts as fit, with the conditions of `fence`.
    fn next_write(
        &mut self,
        id: &JobId,
        fence: Transaction,
    ) -> Result<ProgressWrite, serde_json::Error> {
        let spec = &self.record.spec;
        let key = JobRow::Progress.key(id);
        let cancelled_key = JobRow::Cancelled.key(id);
        let mut transaction = match self.stored_version {
            Some(version) => fence.with_version(key.clone(), version),
            None => fence.with_absent(key.clone()),
        };
        if self.progress.state == JobState::Completed {
            // A job whose cancellation was confirmed must not be stored as completed.
            transaction = transaction.with_absent(cancelled_key.clone());
        }
        transaction = transaction.with_put(key, self.progress.summary_row(spec)?);
        if spec.has_part_rows() && self.progress.state.is_final() {
            transaction = transaction.with_put(JobRow::Ended.key(id), "{}");
        }
        let mut parts = Vec::new();
        let mut deleted = Vec::new();
        let mut bytes = 0;
        for part in self.unstored_parts.iter().copied() {
            if parts.len() == MAX_PARTS_PER_WRITE || bytes >= MAX_BYTES_PER_WRITE {
                break;
            }
            parts.push(part);
            match self.progress.part_row(spec, part)? {
                Some(value) => {
                    bytes += value.len();
                    transaction = transaction.with_put(part.key(id), value);
                    // The write may take effect although its answer is lost.
                    self.stored_parts.insert(part);
                }
                None if self.stored_parts.contains(&part) => {
                    transaction = transaction.with_delete(part.key(id));
                    deleted.push(part);
                }
                None => {}
            }
        }
        let is_last = parts.len() == self.unstored_parts.len();
        Ok(ProgressWrite {
            transaction,
            parts,
            deleted,
            revision: is_last.then_some(self.written_revision),
            cancelled_key,
        })
    }
}
