//! Replica of the job rows in the store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use log::error;
use log::info;
use log::warn;

use crate::job::Job;
use crate::term::Term;
use nutmegwalk_base::JobId;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_store::Change;
use nutmegwalk_store::ChangeFeed;
use nutmegwalk_store::Replica;
use nutmegwalk_store::Row;
use nutmegwalk_workload::JobProgress;
use nutmegwalk_workload::JobRecord;
use nutmegwalk_workload::JobRow;
use nutmegwalk_workload::PART_PREFIX;
use nutmegwalk_workload::PartId;

/// Maximum number of rows that are read at a time.
const PARTS_PER_PAGE: usize = 500;
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Content of the parts of the progress of jobs.
type StoredParts = BTreeMap<JobId, Vec<(PartId, Box<str>)>>;

/// Applies job rows from the store to the state of a term.
pub(crate) struct JobReplica {
    term: Rc<Term>,
    /// Jobs whose cancellation row arrived before the row of the job itself.
    early_cancels: RefCell<BTreeSet<JobId>>,
    /// Jobs whose stored progress cannot be read. What they have run is unknown, so they are not started.
    unreadable: RefCell<BTreeSet<JobId>>,
    /// Parts of the progress that earlier owners stored, until the progress is inherited.
    parts: RefCell<StoredParts>,
}

impl JobReplica {
    pub(crate) fn new(term: Rc<Term>) -> Self {
        Self {
            term,
            early_cancels: RefCell::default(),
            unreadable: RefCell::default(),
            parts: RefCell::default(),
        }
    }

    /// Reads the parts of the progress that earlier owners stored, with retries. These owners cannot write any more.
    pub(crate) async fn read_parts(&self, feed: &dyn ChangeFeed) {
        if self.term.is_loaded.get() {
            return;
        }
        let mut parts = StoredParts::new();
        let mut after = Box::<str>::default();
        loop {
            let page = match feed.page(PART_PREFIX, &after, PARTS_PER_PAGE).await {
                Ok(page) => page,
                Err(error) => {
                    warn!(target: event::FEED_LOST, "cannot read the parts of the jobs' progress: {error}");
                    compio::time::sleep(RETRY_PAUSE).await;
                    continue;
                }
            };
            if let Some(last) = page.rows.last() {
                after = last.key.clone();
            }
            for row in page.rows {
                match PartId::parse(&row.key) {
                    Some((id, part)) => parts.entry(id).or_default().push((part, row.value)),
                    None => {
                        info!(target: event::ROW_UNKNOWN, key = &*row.key; "ignored a row that is not part of a job's progress")
                    }
                }
            }
            if !page.has_more {
                break;
            }
        }
        *self.parts.borrow_mut() = parts;
    }

    /// Applies a row that was written.
    fn apply_put(&self, row: &Row) {
        match JobRow::parse(&row.key) {
            Some((id, JobRow::Accepted)) => self.apply_accepted(&id, row),
            Some((id, JobRow::Cancelled)) => self.apply_cancelled(&id, row),
            // During a term only this owner writes progress rows.
            Some((_, JobRow::Progress | JobRow::Ended)) => {}
            None => {
                info!(target: event::ROW_UNKNOWN, key = &*row.key; "ignored a row that is not part of a job")
            }
        }
    }

    /// Applies the deletion of a row. The jobs themselves are removed by the deletion that this owner makes.
    fn apply_delete(&self, key: &str) {
        if let Some((id, JobRow::Cancelled)) = JobRow::parse(key) {
            self.early_cancels.borrow_mut().remove(&id);
        }
    }

    /// Returns whether a row was written before its job was deleted.
    fn is_deleted(&self, id: &JobId, row: &Row) -> bool {
        let state = self.term.state.borrow();
        state.deleted_jobs.contains(id, row.version)
    }

    /// Removes an ended job if the row is of a later one under the same id: the answer to its deletion was lost.
    fn remove_replaced(&self, id: &JobId, row: &Row) {
        let mut state = self.term.state.borrow_mut();
        let Some(job) = state.jobs.get(id) else {
            return;
        };
        let Some(stored_version) = job.stored_version else {
            return;
        };
        let has_runs = job.units.values().any(|unit| !unit.runs.is_empty());
        if stored_version < row.version && job.ended_at.is_some() && !has_runs {
            state.jobs.remove(id);
            // The progress row was written last.
            state.deleted_jobs.record(id.clone(), stored_version);
        }
    }

    /// Adds an accepted job, unless it is known or was deleted.
    fn apply_accepted(&self, id: &JobId, row: &Row) {
        self.remove_replaced(id, row);
        if self.term.state.borrow().jobs.contains_key(id)
            || self.unreadable.borrow().contains(id)
            || self.is_deleted(id, row)
        {
            return;
        }
        let record: JobRecord = match serde_json::from_str(&row.value) {
            Ok(record) => record,
            Err(error) => {
                error!(target: event::ROW_UNREADABLE, job = &**id; "cannot read the row of an accepted job: {error}");
                return;
            }
        };
        // Entry hosts accept only valid jobs, but the row may be of another writer.
        if let Err(problem) = record.spec.check() {
            error!(target: event::ROW_UNREADABLE, job = &**id; "the row of an accepted job is invalid: {problem}");
            return;
        }
        let now = clock::now();
        let age_ms = self
            .term
            .wall_clock
            .unix_ms()
            .saturating_sub(record.accepted_unix_ms);
        // The age is limited, so that a clock that jumped does not make a new job appear old.
        let age = if self.term.is_loaded.get() {
            Duration::from_millis(age_ms).min(Duration::from_secs(1))
        } else {
            Duration::from_millis(age_ms).min(Duration::from_secs(600))
        };
        info!(target: event::JOB_TAKEN_IN,
            job = &**id,
            queue = &*record.queue,
            customer = record.customer.as_deref().unwrap_or(""),
            config_version = record.config_version,
            steps = record.spec.summary().as_str(),
            age_ms = crate::term::as_ms(age);
            ""
        );
        let job = Job::new(record, now.checked_sub(age).unwrap_or(now));
        {
            let mut state = self.term.state.borrow_mut();
            state.jobs.insert(id.clone(), job);
            state.needs_decision = true;
        }
        if self.early_cancels.borrow_mut().remove(id) {
            self.term.cancel(id);
        }
    }

    /// Cancels a job, or records that it has to be cancelled when its row arrives.
    fn apply_cancelled(&self, id: &JobId, row: &Row) {
        if self.is_deleted(id, row) {
            return;
        }
        let is_known = self.term.state.borrow().jobs.contains_key(id);
        if is_known {
            self.term.cancel(id);
        } else {
            self.early_cancels.borrow_mut().insert(id.clone());
        }
    }

    /// Excludes a job whose stored progress cannot be read.
    fn reject_progress(&self, id: &JobId, problem: &str) {
        error!(target: event::ROW_UNREADABLE, job = &**id; "cannot read the progress row of a job: {problem}");
        self.term.state.borrow_mut().jobs.remove(id);
        self.unreadable.borrow_mut().insert(id.clone());
    }

    /// Applies the progress that a previous owner stored.
    fn inherit(&self, id: &JobId, row: &Row) {
        let parts = self.parts.borrow_mut().remove(id).unwrap_or_default();
        let progress = match self.term.state.borrow().jobs.get(id) {
            Some(job) => {
                let rows = parts.iter().map(|(part, value)| (*part, &**value));
                JobProgress::from_rows(&job.record.spec, &row.value, rows)
            }
            None => return,
        };
        let progress = match progress {
            Ok(progress) => progress,
            Err(problem) => {
                self.reject_progress(id, &problem.to_string());
                return;
            }
        };
        let mut state = self.term.state.borrow_mut();
        let state = &mut *state;
        if let Some(job) = state.jobs.get_mut(id)
            && job.stored_version.is_none()
            && job.revision == 0
        {
            let parts = parts.into_iter().map(|(part, _)| part).collect();
            job.inherit(id, progress, row.version, parts, clock::now());
            for (unit, live) in &job.units {
                for run in &live.runs {
                    state.runs.insert(unit, run);
                }
            }
            if job.has_unstored_changes() {
                // Rows of parts that are not needed any more have to be deleted.
                state.mark_changed(id);
            }
        }
    }
}

impl Replica for JobReplica {
    fn reset(&self, rows: Vec<Row>) {
        let is_first = !self.term.is_loaded.get();
        self.early_cancels.borrow_mut().clear();
        let rows_of = |kind: JobRow| {
            rows.iter()
                .filter_map(move |row| match JobRow::parse(&row.key) {
                    Some((id, found)) if found == kind => Some((id, row)),
                    _ => None,
                })
        };
        for (id, row) in rows_of(JobRow::Accepted) {
            self.apply_accepted(&id, row);
        }
        if is_first {
            for (id, row) in rows_of(JobRow::Progress) {
                self.inherit(&id, row);
            }
        }
        for (id, row) in rows_of(JobRow::Cancelled) {
            self.apply_cancelled(&id, row);
        }
        if is_first {
            let state = self.term.state.borrow();
            let open = state
                .jobs
                .values()
                .filter(|job| !job.progress.state.is_final());
            info!(target: event::JOBS_READ, epoch = self.term.epoch(), jobs = state.jobs.len(), open = open.count(); "");
            self.term.is_loaded.set(true);
            self.parts.borrow_mut().clear();
        }
        self.term.flush();
    }

    fn apply(&self, change: Change) {
        match change {
            Change::Put(row) => self.apply_put(&row),
            Change::Delete { key, .. } => self.apply_delete(&key),
        }
        self.term.flush();
    }

    fn caught_up(&self) {
        if let Some(version) = self.term.jobs.version() {
            let mut state = self.term.state.borrow_mut();
            state.deleted_jobs.remove_until(version);
        }
    }
}
