//! Replication of the rows under a prefix: a snapshot, followed by the changes in order.

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

/// Rows per page of a snapshot; the platform returns at most this many rows per request.
const ROWS_PER_PAGE: usize = 500;
/// Initial delay after a failed request.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay after a failed request; entry hosts must resume within about 2 s after the store has recovered.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

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

/// The changes after a version, as returned by [`ChangeFeed::changes`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Changes {
    /// Changes in the order in which they were made.
    pub changes: Vec<Change>,
    /// Version up to which `changes` is complete.
    pub version: RowVersion,
}

/// A page of the rows under a prefix.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Rows in key order.
    pub rows: Vec<Row>,
    /// Version of the table at the time of the read.
    pub version: RowVersion,
    /// Whether there are more rows after the last one.
    pub has_more: bool,
}

/// The change feed of the table service.
///
/// A prefix identifies a collection, such as `job/`. Errors are `store_unavailable`, and `history_lost` when the
/// changes after the given version are no longer retained.
pub trait ChangeFeed {
    /// Reads at most `limit` rows whose key starts with `prefix` and is greater than `after`.
    fn page<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Page>>;

    /// Waits for at most `wait` until there is a change under `prefix` after version `after`.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: RowVersion,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Changes>>;
}

/// Receives the rows that a [`Follower`] reads.
pub trait Replica {
    /// Replaces all rows by `rows`.
    fn reset(&self, rows: Vec<Row>);
    /// Applies one change.
    fn apply(&self, change: Change);
    /// Called when all changes that the store had at the time of the last request have been applied.
    fn caught_up(&self) {}
}

/// Timeouts of a [`Follower`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowerTimings {
    /// Time for which one request waits for a change. It bounds the age of a view when nothing changes, and with it
    /// the time until a broken connection to the store is detected.
    pub wait: Duration,
    /// Time beyond `wait` after which a request times out; it covers the direct connection and a peer.
    pub response_margin: Duration,
    /// Shortest time between two requests. Changes that are made within it are read together, so that the number
    /// of requests does not grow with the number of changes.
    pub min_interval: Duration,
}

impl Default for FollowerTimings {
    fn default() -> Self {
        Self {
            wait: Duration::from_millis(700),
            response_margin: Duration::from_millis(1_200),
            min_interval: Duration::ZERO,
        }
    }
}

/// Follows the rows under a prefix and applies them to a [`Replica`].
pub struct Follower {
    feed: Rc<dyn ChangeFeed>,
    prefix: Box<str>,
    timings: FollowerTimings,
    version: Cell<Option<RowVersion>>,
    confirmed_at: Cell<Option<Instant>>,
}

impl Follower {
    /// Creates a follower with the default timings.
    #[must_use]
    pub fn new(feed: Rc<dyn ChangeFeed>, prefix: impl Into<Box<str>>) -> Self {
        Self::with_timings(feed, prefix, FollowerTimings::default())
    }

    /// Creates a follower with the given timings.
    #[must_use]
    pub fn with_timings(
        feed: Rc<dyn ChangeFeed>,
        prefix: impl Into<Box<str>>,
        timings: FollowerTimings,
    ) -> Self {
        Self {
            feed,
            prefix: prefix.into(),
            timings,
            version: Cell::new(None),
            confirmed_at: Cell::new(None),
        }
    }

    /// Returns the version up to which the replica is complete; `None` before the first snapshot and while one is
    /// read. Rows that were deleted up to this version are not delivered again.
    #[must_use]
    pub fn version(&self) -> Option<RowVersion> {
        self.version.get()
    }

    /// Returns the latest instant at which the replica is known to have been current; `None` before the first
    /// snapshot.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at.get()
    }

    /// Returns the time since the replica was last known to be current; `None` before the first snapshot.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.confirmed_at
            .get()
            .map(|at| clock::now().saturating_duration_since(at))
    }

    /// Follows the rows until the task is dropped.
    pub async fn run(&self, replica: &dyn Replica) {
        let mut backoff = Backoff::new(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
        let mut is_failing = false;
        loop {
            let begun_at = clock::now();
            match self.step(replica).await {
                Ok(()) => {
                    if is_failing {
                        info!(target: event::FEED_REGAINED, collection = &*self.prefix; "");
                    }
                    is_failing = false;
                    backoff.reset();
                    let taken = clock::now().saturating_duration_since(begun_at);
                    let pause = self.timings.min_interval.saturating_sub(taken);
                    if !pause.is_zero() {
                        compio::time::sleep(pause).await;
                    }
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

    /// Sends one request for changes, or reads a whole snapshot.
    async fn step(&self, replica: &dyn Replica) -> Result<()> {
        let sent_at = clock::now();
        match self.version.get() {
            None => {
                let (rows, version) = self.snapshot().await?;
                replica.reset(rows);
                self.version.set(Some(version));
            }
            Some(version) => {
                let limit = self.timings.wait + self.timings.response_margin;
                let request = self.feed.changes(&self.prefix, version, self.timings.wait);
                let changes = with_timeout(limit, request).await?;
                for change in changes.changes {
                    replica.apply(strip_tag(change));
                }
                self.version.set(Some(changes.version.max(version)));
            }
        }
        self.confirmed_at.set(Some(sent_at));
        replica.caught_up();
        Ok(())
    }

    /// Reads all rows and returns them with the version of the first page. Changes made between two pages are read
    /// again from the feed.
    async fn snapshot(&self) -> Result<(Vec<Row>, RowVersion)> {
        let mut rows: Vec<Row> = Vec::new();
        let mut first_version = None;
        loop {
            let after = rows.last().map_or("", |row| &*row.key).to_owned();
            let request = self.feed.page(&self.prefix, &after, ROWS_PER_PAGE);
            let page =
                with_timeout(self.timings.wait + self.timings.response_margin, request).await?;
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

/// Removes the writer tag from the row of a change.
fn strip_tag(change: Change) -> Change {
    match change {
        Change::Put(mut row) => {
            tag::strip(&mut row);
            Change::Put(row)
        }
        Change::Delete { .. } => change,
    }
}

/// Runs `request` and returns `store_unavailable` when it takes longer than `limit`.
async fn with_timeout<T>(limit: Duration, request: impl Future<Output = Result<T>>) -> Result<T> {
    match compio::time::timeout(limit, request).await {
        Ok(result) => result,
        Err(_) => {
            let detail = format!("the store did not answer in {limit:?}");
            Err(Error::new(ErrorKind::StoreUnavailable, detail))
        }
    }
}
