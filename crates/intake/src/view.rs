//! View of the jobs in the store, kept up to date from the feed.

use std::cell::RefCell;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::rc::Rc;
use std::time::Duration;

use log::error;

use nutmegwalk_base::CustomerId;
use nutmegwalk_base::JobId;
use nutmegwalk_base::event;
use nutmegwalk_store::Change;
use nutmegwalk_store::ChangeFeed;
use nutmegwalk_store::Follower;
use nutmegwalk_store::FollowerTimings;
use nutmegwalk_store::Replica;
use nutmegwalk_store::Row;
use nutmegwalk_store::RowVersion;
use nutmegwalk_workload::JOB_PREFIX;
use nutmegwalk_workload::JobProgress;
use nutmegwalk_workload::JobRecord;
use nutmegwalk_workload::JobRow;
use nutmegwalk_workload::JobState;

/// Shortest time between two reads of changed jobs. All entry hosts follow all jobs, and callers ask for a state far
/// less often than it changes.
const MIN_FEED_INTERVAL: Duration = Duration::from_millis(100);

/// Cached state of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CachedJob {
    /// Customer that submitted the job; `None` if it was submitted anonymously.
    pub customer: Option<CustomerId>,
    /// Queue that the job was submitted to.
    pub queue: Box<str>,
    /// Version of the accepted row. Earlier rows are of a deleted job under the same id.
    accepted_version: RowVersion,
    /// Version of the progress row; 0 if none was seen.
    progress_version: RowVersion,
    progress_state: JobState,
    is_cancelled: bool,
    /// Whether the job is marked when it ends, since its progress changes too often to depend on.
    pub(crate) is_marked_at_end: bool,
}

impl CachedJob {
    /// Creates the state of a job that was just accepted, with the version of its row.
    #[must_use]
    pub fn new(record: &JobRecord, accepted_version: RowVersion) -> Self {
        Self {
            customer: record.customer.clone(),
            queue: record.queue.clone(),
            accepted_version,
            progress_version: 0,
            progress_state: JobState::Pending,
            is_cancelled: false,
            is_marked_at_end: record.spec.has_part_rows(),
        }
    }

    /// Returns the version of the progress row; `None` if none was seen.
    pub(crate) fn progress_version(&self) -> Option<RowVersion> {
        (self.progress_version > 0).then_some(self.progress_version)
    }

    /// Returns the state of the job as reported to its submitter. A cancellation counts unless the job has ended.
    #[must_use]
    pub fn state(&self) -> JobState {
        if self.is_cancelled && !self.progress_state.is_final() {
            return JobState::Cancelled;
        }
        self.progress_state
    }

    /// Adds what another reading of the rows under the same id has shown, which may be later.
    fn merge(&mut self, other: Self) {
        match other.accepted_version.cmp(&self.accepted_version) {
            Ordering::Less => {}
            Ordering::Equal => {
                // A cancellation is deleted only with its job.
                self.is_cancelled |= other.is_cancelled;
                if other.progress_version > self.progress_version {
                    self.progress_version = other.progress_version;
                    self.progress_state = other.progress_state;
                }
            }
            Ordering::Greater => *self = other,
        }
    }
}

/// View of all jobs that follows their rows in the store; clones share the same state.
#[derive(Clone)]
pub struct JobView {
    inner: Rc<Inner>,
}

struct Inner {
    follower: Follower,
    jobs: RefCell<BTreeMap<JobId, CachedJob>>,
    /// Rows that arrived before the row of the accepted job.
    early_rows: RefCell<BTreeMap<JobId, Vec<Row>>>,
}

impl JobView {
    /// Creates an empty view; [`JobView::run`] fills it from the feed.
    #[must_use]
    pub fn new(feed: Rc<dyn ChangeFeed>) -> Self {
        let timings = FollowerTimings {
            min_interval: MIN_FEED_INTERVAL,
            ..FollowerTimings::default()
        };
        Self {
            inner: Rc::new(Inner {
                follower: Follower::with_timings(feed, JOB_PREFIX, timings),
                jobs: RefCell::default(),
                early_rows: RefCell::default(),
            }),
        }
    }

    /// Follows the rows until the task is dropped.
    pub async fn run(&self) {
        self.inner.follower.run(&*self.inner).await;
    }

    /// Returns the time since the view was last guaranteed to be current; `None` before the first read.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.inner.follower.age()
    }

    /// Returns the cached state of a job, if it is known.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<CachedJob> {
        self.inner.jobs.borrow().get(id).cloned()
    }

    /// Applies rows of jobs that were read from the store or written to it.
    pub fn apply_rows(&self, rows: &[Row]) {
        rows.iter().for_each(|row| self.inner.apply_put(row));
    }

    /// Records a job that this process has just accepted, before the feed delivers its row.
    pub fn record_accepted(&self, id: &str, record: &JobRecord, version: RowVersion) {
        self.inner.add_accepted(id, record, version);
    }

    /// Records that this process has just cancelled a job, before the feed delivers the row.
    pub fn record_cancelled(&self, id: &str) {
        if let Some(job) = self.inner.jobs.borrow_mut().get_mut(id) {
            job.is_cancelled = true;
        }
    }

    /// Returns the number of accepted jobs of a queue of which no task was started.
    #[must_use]
    pub fn pending_count(&self, queue: &str) -> usize {
        let jobs = self.inner.jobs.borrow();
        jobs.values()
            .filter(|job| &*job.queue == queue && job.state() == JobState::Pending)
            .count()
    }
}

impl Inner {
    /// Adds an accepted job and applies its rows that arrived early.
    fn add_accepted(&self, id: &str, record: &JobRecord, version: RowVersion) {
        let job = CachedJob::new(record, version);
        match self.jobs.borrow_mut().entry(id.into()) {
            Entry::Occupied(mut known) => known.get_mut().merge(job),
            Entry::Vacant(vacant) => {
                vacant.insert(job);
            }
        }
        let early_rows = self.early_rows.borrow_mut().remove(id);
        for row in early_rows.unwrap_or_default() {
            self.apply_put(&row);
        }
    }

    /// Applies a row that was written. Rows of unknown jobs are kept until the job is accepted.
    fn apply_put(&self, row: &Row) {
        let Some((id, kind)) = JobRow::parse(&row.key) else {
            return;
        };
        if kind == JobRow::Ended {
            // The progress tells how the job has ended.
            return;
        }
        if kind == JobRow::Accepted {
            match serde_json::from_str::<JobRecord>(&row.value) {
                Ok(record) => self.add_accepted(&id, &record, row.version),
                Err(error) => {
                    error!(target: event::ROW_UNREADABLE, job = &*id; "cannot read the row of an accepted job: {error}")
                }
            }
            return;
        }
        let mut jobs = self.jobs.borrow_mut();
        let Some(job) = jobs.get_mut(&id) else {
            let mut early_rows = self.early_rows.borrow_mut();
            early_rows.entry(id).or_default().push(row.clone());
            return;
        };
        if row.version < job.accepted_version {
            return;
        }
        if kind == JobRow::Cancelled {
            job.is_cancelled = true;
        } else if row.version > job.progress_version {
            // The version is known also of a row that cannot be read, and a cancellation needs no more.
            job.progress_version = row.version;
            match JobProgress::state_of_row(&row.value) {
                Ok(state) => job.progress_state = state,
                Err(error) => {
                    error!(target: event::ROW_UNREADABLE, job = &*id; "cannot read the progress row of a job: {error}")
                }
            }
        }
    }
}

impl Replica for Inner {
    fn reset(&self, rows: Vec<Row>) {
        let known = self.jobs.take();
        self.early_rows.borrow_mut().clear();
        rows.iter().for_each(|row| self.apply_put(row));
        // The view may contain what was read or written after the rows were read. Jobs that are not among them are read
        // from the store when a caller asks for them.
        let mut jobs = self.jobs.borrow_mut();
        for (id, known) in known {
            if let Some(job) = jobs.get_mut(&id) {
                job.merge(known);
            }
        }
    }

    fn apply(&self, change: Change) {
        match change {
            Change::Put(row) => self.apply_put(&row),
            Change::Delete { key, version } => {
                if let Some((id, JobRow::Accepted)) = JobRow::parse(&key) {
                    let mut jobs = self.jobs.borrow_mut();
                    if jobs
                        .get(&id)
                        .is_some_and(|job| job.accepted_version <= version)
                    {
                        jobs.remove(&id);
                    }
                }
            }
        }
    }
}
