//! Table and object store in memory.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::Bound;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use futures_util::future::ready;

use crate::Condition;
use crate::ObjectStore;
use crate::Row;
use crate::RowVersion;
use crate::TableStore;
use crate::Transaction;
use crate::TransactionOutcome;
use crate::Write;
use nutmegwalk_base::Result;

/// Table and object store of one process, without faults.
#[derive(Debug, Default)]
pub struct MemoryStore {
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Box<str>, (RowVersion, Box<str>)>,
    objects: BTreeMap<Box<str>, Bytes>,
    last_version: RowVersion,
}

impl MemoryStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies `transaction` at once.
    pub fn apply(&self, transaction: &Transaction) -> TransactionOutcome {
        let mut state = self.state.borrow_mut();
        let failed_conditions: Vec<usize> = transaction
            .conditions
            .iter()
            .enumerate()
            .filter(|(_, condition)| !state.holds(condition))
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
                    state.rows.insert(key.clone(), (version, value.clone()));
                }
                Write::Delete { key } => {
                    state.rows.remove(key);
                }
            }
        }
        TransactionOutcome::Committed { version }
    }

    /// Reads rows at once, in the order of `keys`.
    pub fn read(&self, keys: &[Box<str>]) -> Vec<Option<Row>> {
        let state = self.state.borrow();
        keys.iter()
            .map(|key| state.rows.get(key).map(|stored| to_row(key, stored)))
            .collect()
    }

    /// Reads a range of rows at once; see [`TableStore::scan`].
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

    /// Writes an object at once.
    pub fn write_object(&self, name: &str, content: Bytes) {
        self.state.borrow_mut().objects.insert(name.into(), content);
    }

    /// Reads an object at once.
    pub fn read_object(&self, name: &str) -> Option<Bytes> {
        self.state.borrow().objects.get(name).cloned()
    }
}

impl State {
    fn holds(&self, condition: &Condition) -> bool {
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
