//! In-memory store that can be unavailable or reject some writes.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_store::ChangeFeed;
use nutmegwalk_store::Changes;
use nutmegwalk_store::Condition;
use nutmegwalk_store::MemoryStore;
use nutmegwalk_store::ObjectStore;
use nutmegwalk_store::Page;
use nutmegwalk_store::Row;
use nutmegwalk_store::RowVersion;
use nutmegwalk_store::TableStore;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;
use nutmegwalk_store::Write;

/// Store with faults that tests set. Clones share the rows and the faults.
#[derive(Clone, Debug, Default)]
pub struct EmulatedStore {
    /// Rows and objects; access through this field bypasses all faults.
    pub memory: Rc<MemoryStore>,
    /// Every request on every connection fails with `store_unavailable` while this is set.
    pub is_down: Rc<Cell<bool>>,
    /// Writes of job progress fail with `store_unavailable` while this is set.
    pub rejects_progress_writes: Rc<Cell<bool>>,
    /// Every request on this connection fails with `store_unavailable` while this is set.
    pub is_connection_down: Rc<Cell<bool>>,
    /// Requests for changes of jobs on this connection are not answered while this is set.
    pub is_job_feed_silent: Rc<Cell<bool>>,
    /// The next deletion loses the history of changes, and takes effect after all pages that are read because of that,
    /// whose answers arrive later, while this is set.
    pub loses_history_at_deletion: Rc<Cell<bool>>,
    /// Whether such a deletion is in progress.
    is_deleting: Rc<Cell<bool>>,
    /// The store is down from the next transaction on, while this is set. The answer to the transaction is lost if it
    /// has taken effect.
    pub goes_down_with_next_write: Rc<Cell<bool>>,
    /// Deletions take effect, but their answers are lost, while this is set.
    pub loses_answers_of_deletions: Rc<Cell<bool>>,
    /// Writes of rows with this prefix are refused for good, as if they were malformed.
    pub refused_prefix: Rc<RefCell<Option<Box<str>>>>,
    /// Number of transactions that were refused because of their size.
    pub oversized_transactions: Rc<Cell<usize>>,
    /// Transactions that write rows with this prefix are held, and answered once they are released.
    pub held_prefix: Rc<RefCell<Option<Box<str>>>>,
    held: Rc<RefCell<Vec<HeldTransaction>>>,
    /// Requests on this connection are never answered.
    is_closed: Rc<Cell<bool>>,
}

/// A transaction that the store carries out late.
#[derive(Debug)]
struct HeldTransaction {
    transaction: Transaction,
    /// Set when the transaction is released.
    outcome: Rc<RefCell<Option<TransactionOutcome>>>,
}

/// Interval at which a held transaction checks whether it was released.
const HELD_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum length of a row, in bytes, as on the platform.
const MAX_ROW_BYTES: usize = 64 << 10;
/// Maximum number of distinct conditions and writes in a transaction, as on the platform.
const MAX_ENTRIES: usize = 100;
/// Maximum length of the values of a transaction, in bytes; the platform encodes them in base64, and accepts 1 MB.
const MAX_TRANSACTION_BYTES: usize = 750_000;

/// Time for which a deletion that loses the history waits for the pages, and by which it overtakes their answers.
const DELETION_DELAY: Duration = Duration::from_millis(150);

impl EmulatedStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns another connection to the same store, which can be closed independently.
    #[must_use]
    pub fn connection(&self) -> Self {
        Self {
            is_connection_down: Rc::default(),
            is_job_feed_silent: Rc::default(),
            is_closed: Rc::default(),
            ..self.clone()
        }
    }

    /// Returns the number of transactions that are held.
    #[must_use]
    pub fn held_transactions(&self) -> usize {
        self.held.borrow().len()
    }

    /// Applies the transactions that were held, if their conditions still hold, and holds no more.
    pub fn release_held(&self) {
        self.held_prefix.take();
        for held in self.held.take() {
            let outcome = self.memory.apply(&held.transaction);
            held.outcome.replace(Some(outcome));
        }
    }

    /// Holds a transaction until it is released, also if its sender stops waiting; returns its outcome.
    async fn hold(&self, transaction: &Transaction) -> TransactionOutcome {
        let outcome = Rc::<RefCell<Option<TransactionOutcome>>>::default();
        self.held.borrow_mut().push(HeldTransaction {
            transaction: transaction.clone(),
            outcome: Rc::clone(&outcome),
        });
        loop {
            if let Some(outcome) = outcome.take() {
                return outcome;
            }
            compio::time::sleep(HELD_CHECK_INTERVAL).await;
        }
    }

    /// Stops answering requests on this connection, as if its process had been killed.
    pub fn close(&self) {
        self.is_closed.set(true);
    }

    /// Loses the history of changes and waits until followers have read new pages.
    async fn lose_history(&self) {
        self.is_deleting.set(true);
        // Followers that have read all changes lose none of them.
        let unread = Transaction::new().with_put("unread", "");
        self.memory.apply(&unread);
        self.memory.drop_history();
        compio::time::sleep(DELETION_DELAY).await;
        self.is_deleting.set(false);
    }

    async fn check_available(&self) -> Result<()> {
        if self.is_closed.get() {
            std::future::pending::<()>().await;
        }
        if self.is_down.get() || self.is_connection_down.get() {
            return Err(Error::new(
                ErrorKind::StoreUnavailable,
                "the store is unavailable",
            ));
        }
        Ok(())
    }
}

/// Checks the size of a transaction, which the platform's store limits.
fn check_size(transaction: &Transaction) -> Result<()> {
    let conditions: BTreeSet<&str> = transaction
        .conditions
        .iter()
        .map(|condition| match condition {
            Condition::Absent { key } | Condition::Version { key, .. } => &**key,
        })
        .collect();
    let value_bytes = |write: &Write| match write {
        Write::Put { value, .. } => value.len(),
        Write::Delete { .. } => 0,
    };
    let longest = transaction.writes.iter().map(value_bytes).max();
    let sizes = [
        ("bytes of a row", longest.unwrap_or(0), MAX_ROW_BYTES),
        (
            "entries",
            conditions.len() + transaction.writes.len(),
            MAX_ENTRIES,
        ),
        (
            "bytes",
            transaction.writes.iter().map(value_bytes).sum(),
            MAX_TRANSACTION_BYTES,
        ),
    ];
    match sizes.iter().find(|(_, size, limit)| size > limit) {
        Some((what, size, limit)) => {
            let detail = format!("{size} {what} in a transaction; at most {limit} are accepted");
            Err(Error::new(ErrorKind::BadRequest, detail))
        }
        None => Ok(()),
    }
}

impl TableStore for EmulatedStore {
    fn transact<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<TransactionOutcome>> {
        async move {
            self.check_available().await?;
            if let Err(error) = check_size(transaction) {
                self.oversized_transactions
                    .set(self.oversized_transactions.get() + 1);
                return Err(error);
            }
            let writes_row = |is_row: &dyn Fn(&str) -> bool| {
                transaction.writes.iter().any(|write| match write {
                    Write::Put { key, .. } | Write::Delete { key } => is_row(key),
                })
            };
            if let Some(prefix) = &*self.refused_prefix.borrow()
                && writes_row(&|key| key.starts_with(&**prefix))
            {
                let detail = "the rows are malformed";
                return Err(Error::new(ErrorKind::BadRequest, detail));
            }
            let is_held = self
                .held_prefix
                .borrow()
                .as_ref()
                .is_some_and(|prefix| writes_row(&|key| key.starts_with(&**prefix)));
            if is_held {
                return Ok(self.hold(transaction).await);
            }
            let is_progress = writes_row(&|key| key.ends_with("/progress"));
            if is_progress && self.rejects_progress_writes.get() {
                return Err(Error::new(
                    ErrorKind::StoreUnavailable,
                    "progress writes are rejected",
                ));
            }
            let is_deletion = transaction
                .writes
                .iter()
                .any(|write| matches!(write, Write::Delete { .. }));
            if is_deletion && self.loses_history_at_deletion.take() {
                self.lose_history().await;
            }
            let outcome = self.memory.apply(transaction);
            if self.goes_down_with_next_write.take() {
                self.is_down.set(true);
                if matches!(outcome, TransactionOutcome::Committed { .. }) {
                    let detail = "the answer to a write was lost";
                    return Err(Error::new(ErrorKind::StoreUnknown, detail));
                }
            }
            if is_deletion && self.loses_answers_of_deletions.get() {
                let detail = "the answer to a deletion was lost";
                return Err(Error::new(ErrorKind::StoreUnknown, detail));
            }
            Ok(outcome)
        }
        .boxed_local()
    }

    fn get<'a>(&'a self, keys: &'a [Box<str>]) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>>> {
        async move {
            self.check_available().await?;
            Ok(self.memory.read(keys))
        }
        .boxed_local()
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>>> {
        async move {
            self.check_available().await?;
            Ok(self.memory.read_range(prefix, after, limit))
        }
        .boxed_local()
    }

    fn counts_conditions(&self) -> bool {
        true
    }
}

impl ChangeFeed for EmulatedStore {
    fn page<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Page>> {
        async move {
            self.check_available().await?;
            let page = self.memory.page(prefix, after, limit).await;
            if self.is_deleting.get() {
                compio::time::sleep(DELETION_DELAY * 2).await;
            }
            page
        }
        .boxed_local()
    }

    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: RowVersion,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Changes>> {
        async move {
            self.check_available().await?;
            let changes = self.memory.changes(prefix, after, wait).await;
            self.check_available().await?;
            if prefix.starts_with("job") && self.is_job_feed_silent.get() {
                std::future::pending::<()>().await;
            }
            changes
        }
        .boxed_local()
    }
}

impl ObjectStore for EmulatedStore {
    fn put_object<'a>(&'a self, name: &'a str, content: Bytes) -> LocalBoxFuture<'a, Result<()>> {
        async move {
            self.check_available().await?;
            self.memory.write_object(name, content);
            Ok(())
        }
        .boxed_local()
    }

    fn get_object<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<Option<Bytes>>> {
        async move {
            self.check_available().await?;
            Ok(self.memory.read_object(name))
        }
        .boxed_local()
    }
}
