//! Jobs as an entry host knows them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use log::error;

use nutmegwalk_base::CustomerId;
use nutmegwalk_base::JobId;
use nutmegwalk_base::event;
use nutmegwalk_store::Change;
use nutmegwalk_store::ChangeFeed;
use nutmegwalk_store::Follower;
use nutmegwalk_store::Replica;
use nutmegwalk_store::Row;
use nutmegwalk_store::RowVersion;
use nutmegwalk_workload::JOB_PREFIX;
use nutmegwalk_workload::JobProgress;
use nutmegwalk_workload::JobRecord;
use nutmegwalk_workload::JobRow;
use nutmegwalk_workload::JobState;

/// What an entry host knows of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CachedJob {
    /// Customer that submitted it; `None` on a queue that anybody may use.
    pub customer: Option<CustomerId>,
    /// Queue that it was submitted to.
    pub queue: Box<str>,
    progress_version: RowVersion,
    progress_state: JobState,
    is_cancelled: bool,
}

impl CachedJob {
    /// Creates what is known of a job that was just accepted.
    #[must_use]
    pub fn new(record: &JobRecord) -> Self {
        Self {
            customer: record.customer.clone(),
            queue: record.queue.clone(),
            progress_version: 0,
            progress_state: JobState::Pending,
            is_cancelled: false,
        }
    }

    /// Returns the version of the progress row; `None` when there was none.
    pub(crate) fn progress_version(&self) -> Option<RowVersion> {
        (self.progress_version > 0).then_some(self.progress_version)
    }

    /// Returns the state that the submitter is told.
    #[must_use]
    pub fn state(&self) -> JobState {
        if self.is_cancelled && !self.progress_state.is_final() {
            return JobState::Cancelled;
        }
        self.progress_state
    }
}

/// Follows the rows of all jobs; clones share everything.
#[derive(Clone)]
pub struct JobView {
    inner: Rc<Inner>,
}

struct Inner {
    follower: Follower,
    jobs: RefCell<BTreeMap<JobId, CachedJob>>,
    /// Rows that came before the row of the accepted job.
    early: RefCell<BTreeMap<JobId, Vec<Row>>>,
}

impl JobView {
    /// Creates a view that knows nothing yet.
    #[must_use]
    pub fn new(feed: Rc<dyn ChangeFeed>) -> Self {
        Self {
            inner: Rc::new(Inner {
                follower: Follower::new(feed, JOB_PREFIX),
                jobs: RefCell::default(),
                early: RefCell::default(),
            }),
        }
    }

    /// Follows the rows until the task is dropped.
    pub async fn run(&self) {
        self.inner.follower.run(&*self.inner).await;
    }

    /// Returns how long ago the view was current for certain; `None` before the first read.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.inner.follower.age()
    }

    /// Returns what is known of a job.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<CachedJob> {
        self.inner.jobs.borrow().get(id).cloned()
    }

    /// Takes in rows of jobs that were read from the store or written to it.
    pub fn apply_rows(&self, rows: &[Row]) {
        rows.iter().for_each(|row| self.inner.put(row));
    }

    /// Notes a job that this process has just accepted.
    pub fn record_accepted(&self, id: &str, record: &JobRecord) {
        self.inner.add(id, record);
    }

    /// Notes that this process has just cancelled a job.
    pub fn record_cancelled(&self, id: &str) {
        if let Some(job) = self.inner.jobs.borrow_mut().get_mut(id) {
            job.is_cancelled = true;
        }
    }

    /// Returns the number of a queue's accepted jobs of which no task was started.
    #[must_use]
    pub fn pending_count(&self, queue: &str) -> usize {
        let jobs = self.inner.jobs.borrow();
        jobs.values()
            .filter(|job| &*job.queue == queue && job.state() == JobState::Pending)
            .count()
    }
}

impl Inner {
    fn add(&self, id: &str, record: &JobRecord) {
        self.jobs
            .borrow_mut()
            .entry(id.into())
            .or_insert_with(|| CachedJob::new(record));
        let early = self.early.borrow_mut().remove(id);
        for row in early.unwrap_or_default() {
            self.put(&row);
        }
    }

    fn put(&self, row: &Row) {
        let Some((id, kind)) = JobRow::parse(&row.key) else {
            return;
        };
        if kind == JobRow::Accepted {
            match serde_json::from_str::<JobRecord>(&row.value) {
                Ok(record) => self.add(&id, &record),
                Err(error) => {
                    error!(target: event::ROW_UNREADABLE, job = &*id; "an accepted job cannot be read: {error}")
                }
            }
            return;
        }
        let mut jobs = self.jobs.borrow_mut();
        let Some(job) = jobs.get_mut(&id) else {
            let mut early = self.early.borrow_mut();
            early.entry(id).or_default().push(row.clone());
            return;
        };
        if kind == JobRow::Cancelled {
            job.is_cancelled = true;
        } else if row.version > job.progress_version {
            match serde_json::from_str::<JobProgress>(&row.value) {
                Ok(progress) => {
                    job.progress_version = row.version;
                    job.progress_state = progress.state;
                }
                Err(error) => {
                    error!(target: event::ROW_UNREADABLE, job = &*id; "the progress of a job cannot be read: {error}")
                }
            }
        }
    }
}

impl Replica for Inner {
    fn reset(&self, rows: Vec<Row>) {
        self.jobs.borrow_mut().clear();
        self.early.borrow_mut().clear();
        rows.iter().for_each(|row| self.put(row));
    }

    fn apply(&self, change: Change) {
        match change {
            Change::Put(row) => self.put(&row),
            Change::Delete { key, .. } => {
                if let Some((id, JobRow::Accepted)) = JobRow::parse(&key) {
                    self.jobs.borrow_mut().remove(&id);
                }
            }
        }
    }
}
