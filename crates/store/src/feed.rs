//! Following the rows under a prefix: a snapshot, then the changes as they are made.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::LocalBoxFuture;
use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;

use crate::Row;
use crate::RowVersion;
use crate::tag;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::backoff::Backoff;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;

/// Rows in one page of a snapshot; the platform returns no more than this at once.
const PAGE_ROWS: usize = 500;
/// First delay after a failed request.
const FIRST_RETRY: Duration = Duration::from_millis(50);
/// Longest delay after a failed request; entries have to be back within about 2 s of the store's return.
const LONGEST_RETRY: Duration = Duration::from_millis(400);

/// A change of one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The row was created or replaced.
    Put(Row),
    /// The row was deleted.
    Delete {
        /// Key of the row.
        key: Box<str>,
        /// Version of the deletion.
        version: RowVersion,
    },
}

/// The changes after a version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Changes {
    /// Changes in the order in which they were made.
    pub changes: Vec<Change>,
    /// Version up to which these are all changes.
    pub version: RowVersion,
}

/// A page of the rows under a prefix.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Rows in key order.
    pub rows: Vec<Row>,
    /// Version of the table at the moment of the read.
    pub version: RowVersion,
    /// Whether there are more rows after the last one.
    pub has_more: bool,
}

/// The part of the table service that tells about changes.
///
/// A prefix names a collection, such as `job/`. Errors are `store_unavailable`, and `history_lost` when
/// the changes after the given version are no longer kept.
pub trait ChangeFeed {
    /// Reads at most `limit` rows whose key starts with `prefix` and is greater than `after`.
    fn page<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Page>>;

    /// Waits, at most for `wait`, for a change under `prefix` after version `after`.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: RowVersion,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Changes>>;
}

/// Takes in the rows that a [`Follower`] reads.
pub trait Replica {
    /// Replaces everything by `rows`.
    fn reset(&self, rows: Vec<Row>);
    /// Applies one change.
    fn apply(&self, change: Change);
    /// Everything that was known at the time of the last request has been passed on.
    fn caught_up(&self) {}
}

/// Lengths of time of a follower.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowTimings {
    /// Time for which one request waits for a change; it bounds the age of a view when nothing changes, and
    /// with it the time until a way to the store that was cut is noticed.
    pub wait: Duration,
    /// Time beyond `wait` after which a request is given up, on the own way and through a peer.
    pub answer_margin: Duration,
}

impl Default for FollowTimings {
    fn default() -> Self {
        Self {
            wait: Duration::from_millis(700),
            answer_margin: Duration::from_millis(1_200),
        }
    }
}

/// Follows the rows under a prefix and passes them to a [`Replica`].
pub struct Follower {
    feed: Rc<dyn ChangeFeed>,
    prefix: Box<str>,
    timings: FollowTimings,
    version: Cell<Option<RowVersion>>,
    confirmed_at: Cell<Option<Instant>>,
}

impl Follower {
    /// Creates a follower that has read nothing yet.
    #[must_use]
    pub fn new(feed: Rc<dyn ChangeFeed>, prefix: impl Into<Box<str>>) -> Self {
        Self::with_timings(feed, prefix, FollowTimings::default())
    }

    /// Creates a follower with its own timings.
    #[must_use]
    pub fn with_timings(
        feed: Rc<dyn ChangeFeed>,
        prefix: impl Into<Box<str>>,
        timings: FollowTimings,
    ) -> Self {
        Self {
            feed,
            prefix: prefix.into(),
            timings,
            version: Cell::new(None),
            confirmed_at: Cell::new(None),
        }
    }

    /// Returns an instant at which everything that the replica has was current.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at.get()
    }

    /// Returns how long ago the replica was current for certain; `None` before the first snapshot.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.confirmed_at
            .get()
            .map(|at| clock::now().saturating_duration_since(at))
    }

    /// Follows the rows until the task is dropped.
    pub async fn run(&self, replica: &dyn Replica) {
        let mut backoff = Backoff::new(FIRST_RETRY, LONGEST_RETRY);
        let mut is_failing = false;
        loop {
            match self.step(replica).await {
                Ok(()) => {
                    if is_failing {
                        info!(target: event::FEED_REGAINED, collection = &*self.prefix; "");
                    }
                    is_failing = false;
                    backoff.reset();
                }
                Err(error) if error.kind == ErrorKind::HistoryLost => {
                    info!(target: event::FEED_RESTARTED, collection = &*self.prefix; "");
                    self.version.set(None);
                }
                Err(error) => {
                    if !is_failing {
                        warn!(target: event::FEED_LOST, collection = &*self.prefix; "{error}");
                    }
                    is_failing = true;
                    compio::time::sleep(backoff.next_delay()).await;
                }
            }
        }
    }

    /// Makes one request, or reads a whole snapshot.
    async fn step(&self, replica: &dyn Replica) -> Result<()> {
        let sent_at = clock::now();
        match self.version.get() {
            None => {
                let (rows, version) = self.snapshot().await?;
                replica.reset(rows);
                self.version.set(Some(version));
            }
            Some(version) => {
                let limit = self.timings.wait + self.timings.answer_margin;
                let request = self.feed.changes(&self.prefix, version, self.timings.wait);
                let changes = bounded(limit, request).await?;
                for change in changes.changes {
                    replica.apply(stripped(change));
                }
                self.version.set(Some(changes.version.max(version)));
            }
        }
        self.confirmed_at.set(Some(sent_at));
        replica.caught_up();
        Ok(())
    }

    /// Reads all rows. Changes that are made between two pages are read again from the feed.
    async fn snapshot(&self) -> Result<(Vec<Row>, RowVersion)> {
        let mut rows: Vec<Row> = Vec::new();
        let mut first_version = None;
        loop {
            let after = rows.last().map_or("", |row| &*row.key).to_owned();
            let request = self.feed.page(&self.prefix, &after, PAGE_ROWS);
            let page = bounded(self.timings.wait + self.timings.answer_margin, request).await?;
            let version = *first_version.get_or_insert(page.version);
            let is_last = !page.has_more || page.rows.is_empty();
            rows.extend(page.rows);
            if is_last {
                rows.iter_mut().for_each(tag::strip);
                return Ok((rows, version));
            }
        }
    }
}

fn stripped(change: Change) -> Change {
    match change {
        Change::Put(mut row) => {
            tag::strip(&mut row);
            Change::Put(row)
        }
        Change::Delete { .. } => change,
    }
}

async fn bounded<T>(limit: Duration, request: impl Future<Output = Result<T>>) -> Result<T> {
    match compio::time::timeout(limit, request).await {
        Ok(result) => result,
        Err(_) => {
            let detail = format!("the store did not answer in {limit:?}");
            Err(Error::new(ErrorKind::StoreUnavailable, detail))
        }
    }
}
