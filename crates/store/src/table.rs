//! Interfaces and data types of the platform's table service and object store.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;

use nutmegwalk_base::Result;

/// Version of a row; it increases with each write of the row.
pub type RowVersion = u64;

/// Largest number of writes in one transaction.
pub const MAX_TRANSACTION_WRITES: usize = 100;
/// Largest total length of keys and values, in bytes, of a transaction that merges several. Encoded in base64 and JSON
/// it stays below 1 MB.
pub const MAX_TRANSACTION_BYTES: usize = 600 << 10;

/// One row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Key of the row.
    pub key: Box<str>,
    /// Version of the row.
    pub version: RowVersion,
    /// Value of the row as JSON text.
    pub value: Box<str>,
}

/// A precondition of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// No row has this key.
    Absent {
        /// Key of the row.
        key: Box<str>,
    },
    /// The row has exactly this version.
    Version {
        /// Key of the row.
        key: Box<str>,
        /// Version that the row must have.
        version: RowVersion,
    },
}

/// A change of one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Write {
    /// Creates or replaces a row.
    Put {
        /// Key of the row.
        key: Box<str>,
        /// Value of the row as JSON text.
        value: Box<str>,
    },
    /// Deletes a row, if it exists.
    Delete {
        /// Key of the row.
        key: Box<str>,
    },
}

impl Write {
    /// Returns the length of the key and the value, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        match self {
            Self::Put { key, value } => key.len() + value.len(),
            Self::Delete { key } => key.len(),
        }
    }
}

/// Writes that are applied atomically if all conditions hold.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// Writes that are applied if the conditions hold.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Creates an empty transaction.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the condition that no row with `key` exists.
    #[must_use]
    pub fn with_absent(mut self, key: impl Into<Box<str>>) -> Self {
        self.conditions.push(Condition::Absent { key: key.into() });
        self
    }

    /// Adds the condition that the row `key` has `version`.
    #[must_use]
    pub fn with_version(mut self, key: impl Into<Box<str>>, version: RowVersion) -> Self {
        self.conditions.push(Condition::Version {
            key: key.into(),
            version,
        });
        self
    }

    /// Adds a write that creates or replaces a row.
    #[must_use]
    pub fn with_put(mut self, key: impl Into<Box<str>>, value: impl Into<Box<str>>) -> Self {
        self.writes.push(Write::Put {
            key: key.into(),
            value: value.into(),
        });
        self
    }

    /// Adds a write that deletes a row.
    #[must_use]
    pub fn with_delete(mut self, key: impl Into<Box<str>>) -> Self {
        self.writes.push(Write::Delete { key: key.into() });
        self
    }
}

/// Outcome of a transaction to which the table service has responded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TransactionOutcome {
    /// All writes took effect.
    Committed {
        /// Version assigned to every row written.
        version: RowVersion,
    },
    /// Nothing took effect.
    Rejected {
        /// Indices of the conditions that did not hold.
        failed_conditions: Vec<usize>,
    },
}

/// Reading of the store's steady clock, taken from a response of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreClock {
    /// Reading of the clock, in milliseconds.
    pub now_ms: u64,
    /// Local instant before that reading, at which the request was sent.
    pub requested_at: Instant,
}

impl StoreClock {
    /// Returns an upper bound of the store's clock at `now`, in milliseconds.
    #[must_use]
    pub fn upper_bound_ms(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.requested_at).as_millis();
        // The reading and the duration are rounded down.
        self.now_ms + u64::try_from(since).unwrap_or(u64::MAX / 2) + 2
    }
}

/// Reports whether the store can be reached.
pub trait Reachability {
    /// Returns for how long the store has been unreachable by every route; `None` while it can be reached.
    fn unreachable_for(&self) -> Option<Duration>;
}

/// The transactional table service.
///
/// Errors are `store_unavailable` when nothing was written and `store_unknown` when a write may have
/// taken effect.
pub trait TableStore {
    /// Runs `transaction`, with at most [`MAX_TRANSACTION_WRITES`] writes.
    fn transact<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<TransactionOutcome>>;

    /// Reads rows, in the order of `keys`; `None` stands for a row that does not exist.
    fn get<'a>(&'a self, keys: &'a [Box<str>]) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>>>;

    /// Reads at most `limit` rows whose key starts with `prefix` and is greater than `after`, in key order.
    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>>>;

    /// Returns whether [`MAX_TRANSACTION_WRITES`] limits the conditions and writes of a transaction together.
    fn counts_conditions(&self) -> bool {
        false
    }

    /// Returns the store's clock as reported in the latest response; `None` for a store that reports no clock.
    fn clock(&self) -> Option<StoreClock> {
        None
    }
}

/// The object store. Objects are immutable once written.
pub trait ObjectStore {
    /// Writes an object.
    fn put_object<'a>(&'a self, name: &'a str, content: Bytes) -> LocalBoxFuture<'a, Result<()>>;

    /// Reads an object; returns `None` if it does not exist.
    fn get_object<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<Option<Bytes>>>;
}
