//! In-memory implementation of the table and object store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::ops::Bound;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use futures_util::future::ready;

use crate::Change;
use crate::ChangeFeed;
use crate::Changes;
use crate::Condition;
use crate::ObjectStore;
use crate::Page;
use crate::Row;
use crate::RowVersion;
use crate::TableStore;
use crate::Transaction;
use crate::TransactionOutcome;
use crate::Write;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// In-memory table and object store within one process. Its only error is `history_lost`, for changes that
/// [`MemoryStore::drop_history`] has dropped.
#[derive(Debug, Default)]
pub struct MemoryStore {
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Box<str>, (RowVersion, Box<str>)>,
    objects: BTreeMap<Box<str>, Bytes>,
    last_version: RowVersion,
    /// Changes after `dropped_version`, oldest first.
    history: Vec<Change>,
    /// Version up to which the history has been dropped.
    dropped_version: RowVersion,
    wakers: Vec<Waker>,
}

impl MemoryStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies `transaction` synchronously.
    pub fn apply(&self, transaction: &Transaction) -> TransactionOutcome {
        let mut state = self.state.borrow_mut();
        let failed_conditions: Vec<usize> = transaction
            .conditions
            .iter()
            .enumerate()
            .filter(|(_, condition)| !state.is_satisfied(condition))
            .map(|(index, _)| index)
            .collect();
        if !failed_conditions.is_empty() {
            return TransactionOutcome::Rejected { failed_conditions };
        }
        state.last_version += 1;
        let version = state.last_version;
        for write in &transaction.writes {
            match write {
                Write::Put { key, value } => {
                    let stored = (version, value.clone());
                    state.history.push(Change::Put(to_row(key, &stored)));
                    state.rows.insert(key.clone(), stored);
                }
                Write::Delete { key } => {
                    if state.rows.remove(key).is_some() {
                        let key = key.clone();
                        state.history.push(Change::Delete { key, version });
                    }
                }
            }
        }
        state.wakers.drain(..).for_each(Waker::wake);
        TransactionOutcome::Committed { version }
    }

    /// Reads rows synchronously, in the order of `keys`.
    pub fn read(&self, keys: &[Box<str>]) -> Vec<Option<Row>> {
        let state = self.state.borrow();
        keys.iter()
            .map(|key| state.rows.get(key).map(|stored| to_row(key, stored)))
            .collect()
    }

    /// Reads a range of rows synchronously; see [`TableStore::scan`].
    pub fn read_range(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let state = self.state.borrow();
        let start = if after >= prefix {
            Bound::Excluded(after)
        } else {
            Bound::Included(prefix)
        };
        state
            .rows
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, stored)| to_row(key, stored))
            .collect()
    }

    /// Returns the version of the latest transaction.
    pub fn version(&self) -> RowVersion {
        self.state.borrow().last_version
    }

    /// Drops the history of changes; followers must read a new snapshot.
    pub fn drop_history(&self) {
        let mut state = self.state.borrow_mut();
        state.history.clear();
        state.dropped_version = state.last_version;
        state.wakers.drain(..).for_each(Waker::wake);
    }

    /// Returns the changes under `prefix` after version `after`, or `None` if they have been dropped.
    fn changes_after(&self, prefix: &str, after: RowVersion) -> Option<Changes> {
        let state = self.state.borrow();
        let changes = state.history.iter().filter(|change| {
            let (key, version) = key_and_version(change);
            version > after && key.starts_with(prefix)
        });
        (after >= state.dropped_version).then(|| Changes {
            changes: changes.cloned().collect(),
            version: state.last_version,
        })
    }

    /// Writes an object synchronously.
    pub fn write_object(&self, name: &str, content: Bytes) {
        self.state.borrow_mut().objects.insert(name.into(), content);
    }

    /// Reads an object synchronously; returns `None` if it does not exist.
    pub fn read_object(&self, name: &str) -> Option<Bytes> {
        self.state.borrow().objects.get(name).cloned()
    }
}

impl State {
    fn is_satisfied(&self, condition: &Condition) -> bool {
        match condition {
            Condition::Absent { key } => !self.rows.contains_key(key),
            Condition::Version { key, version } => self
                .rows
                .get(key)
                .is_some_and(|(current, _)| current == version),
        }
    }
}

fn to_row(key: &str, (version, value): &(RowVersion, Box<str>)) -> Row {
    Row {
        key: key.into(),
        version: *version,
        value: value.clone(),
    }
}

fn key_and_version(change: &Change) -> (&str, RowVersion) {
    match change {
        Change::Put(row) => (&row.key, row.version),
        Change::Delete { key, version } => (key, *version),
    }
}

impl ChangeFeed for MemoryStore {
    fn page<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Page>> {
        let mut rows = self.read_range(prefix, after, limit + 1);
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        let version = self.state.borrow().last_version;
        ready(Ok(Page {
            rows,
            version,
            has_more,
        }))
        .boxed_local()
    }

    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: RowVersion,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Changes>> {
        let changed = poll_fn(move |context| match self.changes_after(prefix, after) {
            Some(changes) if changes.changes.is_empty() => {
                let waker = context.waker().clone();
                self.state.borrow_mut().wakers.push(waker);
                Poll::Pending
            }
            changes => Poll::Ready(changes),
        });
        async move {
            let changes = match compio::time::timeout(wait, changed).await {
                Ok(changes) => changes,
                Err(_) => self.changes_after(prefix, after),
            };
            changes.ok_or_else(|| {
                let detail = format!("the changes after version {after} are no longer retained");
                Error::new(ErrorKind::HistoryLost, detail)
            })
        }
        .boxed_local()
    }
}

impl TableStore for MemoryStore {
    fn transact<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<TransactionOutcome>> {
        ready(Ok(self.apply(transaction))).boxed_local()
    }

    fn get<'a>(&'a self, keys: &'a [Box<str>]) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>>> {
        ready(Ok(self.read(keys))).boxed_local()
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>>> {
        ready(Ok(self.read_range(prefix, after, limit))).boxed_local()
    }
}

impl ObjectStore for MemoryStore {
    fn put_object<'a>(&'a self, name: &'a str, content: Bytes) -> LocalBoxFuture<'a, Result<()>> {
        self.write_object(name, content);
        ready(Ok(())).boxed_local()
    }

    fn get_object<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<Option<Bytes>>> {
        ready(Ok(self.read_object(name))).boxed_local()
    }
}
