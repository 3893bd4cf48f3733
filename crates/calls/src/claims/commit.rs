//! Conditional writes of single rows, with group commit.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::warn;

use crate::oneshot;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::backoff::Backoff;
use nutmegwalk_store::MAX_TRANSACTION_WRITES;
use nutmegwalk_store::Row;
use nutmegwalk_store::RowVersion;
use nutmegwalk_store::TableStore;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;

/// Bounds of the backoff after a failed request to the store.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Timeout of a request, so that a store that does not answer does not block later commits.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after its deadline for which a write still waits for its result, so that it receives the error
/// with which it expired.
const EXPIRY_MARGIN: Duration = Duration::from_millis(20);
/// Maximum number of concurrent commits while full groups are waiting. A group that is not full waits
/// for the previous commit, so that the latency of the store limits the number of writes per second.
const MAX_COMMITS: usize = 4;

/// Mode in which claims are written to the table.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CommitMode {
    /// Claims that are written within a short time share a transaction.
    #[default]
    Group,
    /// Each claim has its own transaction; this is a baseline for comparison.
    Single,
}

/// Numbers of requests to the store and of rows written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreCounts {
    /// Transactions sent.
    pub transactions: u64,
    /// Reads sent.
    pub reads: u64,
    /// Rows written successfully.
    pub rows: u64,
}

/// Result of a conditional write.
#[derive(Debug)]
pub(super) enum WriteResult {
    /// The row was written and has this version.
    Committed(RowVersion),
    /// The condition did not hold; contains the current row, if there is one.
    Rejected(Option<Row>),
}

/// A conditional write of one row.
#[derive(Debug)]
pub(super) struct RowWrite {
    pub(super) key: Box<str>,
    /// Version that the row must have; `None` when the row must not exist.
    pub(super) expected: Option<RowVersion>,
    /// Content, which must differ from the content of every other write, so that it identifies this one.
    pub(super) value: Box<str>,
    pub(super) deadline: Instant,
}

#[derive(Debug)]
struct PendingWrite {
    write: RowWrite,
    maybe_written: bool,
    sender: oneshot::Sender<Result<WriteResult>>,
}

impl PendingWrite {
    fn complete(self, result: Result<WriteResult>) {
        let _ = self.sender.send(result);
    }

    /// Determines the result from the row that was read back after a write with unknown outcome; `None` when
    /// the write must be retried.
    fn result_from_row(&self, row: Option<&Row>) -> Option<WriteResult> {
        match row {
            Some(row) if row.value == self.write.value => Some(WriteResult::Committed(row.version)),
            Some(row) if Some(row.version) == self.write.expected => None,
            None if self.write.expected.is_none() => None,
            other => Some(WriteResult::Rejected(other.cloned())),
        }
    }
}

/// Writes rows to the table, in groups or one by one.
pub(super) struct Committer {
    store: Rc<dyn TableStore>,
    mode: CommitMode,
    group_delay: Duration,
    pending: RefCell<VecDeque<PendingWrite>>,
    commits: Cell<usize>,
    is_delay_running: Cell<bool>,
    counts: Cell<StoreCounts>,
}

impl Committer {
    /// Creates a committer; with [`CommitMode::Group`], `group_delay` is the time that a group waits for
    /// further writes.
    pub(super) fn new(store: Rc<dyn TableStore>, mode: CommitMode, group_delay: Duration) -> Self {
        Self {
            store,
            mode,
            group_delay,
            pending: RefCell::default(),
            commits: Cell::new(0),
            is_delay_running: Cell::new(false),
            counts: Cell::default(),
        }
    }

    /// Returns the counts since the committer was created.
    pub(super) fn counts(&self) -> StoreCounts {
        self.counts.get()
    }

    /// Writes a row; failed writes are retried until the deadline of the write.
    ///
    /// # Errors
    /// `store_unavailable` when nothing was written, `store_unknown` when the row may have been written.
    pub(super) async fn write(self: &Rc<Self>, write: RowWrite) -> Result<WriteResult> {
        let deadline = write.deadline;
        let (sender, receiver) = oneshot::channel();
        let item = PendingWrite {
            write,
            maybe_written: false,
            sender,
        };
        match self.mode {
            CommitMode::Single => {
                let committer = Rc::clone(self);
                compio::runtime::spawn(async move { committer.commit(vec![item]).await }).detach();
            }
            CommitMode::Group => {
                self.pending.borrow_mut().push_back(item);
                self.start_commits();
            }
        }
        let time_left = deadline.saturating_duration_since(Instant::now());
        match compio::time::timeout(time_left + EXPIRY_MARGIN, receiver).await {
            Ok(Some(result)) => result,
            Ok(None) | Err(_) => Err(Error::new(
                ErrorKind::StoreUnknown,
                "the store did not answer in time",
            )),
        }
    }

    async fn read(&self, keys: &[Box<str>]) -> Result<Vec<Option<Row>>> {
        self.count(|counts| counts.reads += 1);
        within_timeout(self.store.get(keys)).await
    }

    fn count(&self, change: impl FnOnce(&mut StoreCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Starts the commits that are due: full groups immediately, a partial group after the delay.
    fn start_commits(self: &Rc<Self>) {
        while self.pending.borrow().len() >= MAX_TRANSACTION_WRITES
            && self.commits.get() < MAX_COMMITS
        {
            self.start_commit();
        }
        let is_due = !self.pending.borrow().is_empty() && self.commits.get() == 0;
        if is_due && !self.is_delay_running.replace(true) {
            let committer = Rc::clone(self);
            compio::runtime::spawn(async move {
                compio::time::sleep(committer.group_delay).await;
                committer.is_delay_running.set(false);
                if committer.commits.get() == 0 && !committer.pending.borrow().is_empty() {
                    committer.start_commit();
                }
            })
            .detach();
        }
    }

    /// Starts the commit of the next group.
    fn start_commit(self: &Rc<Self>) {
        let group = self.take_group();
        self.commits.set(self.commits.get() + 1);
        let committer = Rc::clone(self);
        compio::runtime::spawn(async move {
            committer.commit(group).await;
            committer.commits.set(committer.commits.get() - 1);
            committer.start_commits();
        })
        .detach();
    }

    /// Removes a group with at most one write per row from the pending writes. The conditions of two writes
    /// of a row in one transaction would both hold, so that both writers would assume to hold the claim.
    fn take_group(&self) -> Vec<PendingWrite> {
        let mut pending = self.pending.borrow_mut();
        let mut keys = HashSet::new();
        let mut group = Vec::new();
        let mut remaining = VecDeque::new();
        while let Some(item) = pending.pop_front() {
            if group.len() < MAX_TRANSACTION_WRITES && keys.insert(item.write.key.clone()) {
                group.push(item);
            } else {
                remaining.push_back(item);
            }
        }
        *pending = remaining;
        group
    }

    /// Commits a group; retries until each of its writes has a result or is past its deadline.
    async fn commit(&self, mut group: Vec<PendingWrite>) {
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        let mut last_error: Option<Error> = None;
        loop {
            group = expire(group, last_error.as_ref());
            if group.is_empty() {
                return;
            }
            self.count(|counts| counts.transactions += 1);
            let transaction = transaction(&group);
            match within_timeout(self.store.transact(&transaction)).await {
                Ok(TransactionOutcome::Committed { version }) => {
                    self.count(|counts| counts.rows += group.len() as u64);
                    for item in group {
                        item.complete(Ok(WriteResult::Committed(version)));
                    }
                    return;
                }
                Ok(TransactionOutcome::Rejected { failed_conditions }) => {
                    let failed: HashSet<usize> = failed_conditions.into_iter().collect();
                    let mut failed_items = Vec::new();
                    let mut others = Vec::new();
                    for (index, item) in group.into_iter().enumerate() {
                        if failed.contains(&index) {
                            failed_items.push(item);
                        } else {
                            others.push(item);
                        }
                    }
                    let no_condition_named = failed_items.is_empty();
                    let (unsettled, error) = self.read_back(failed_items).await;
                    group = others;
                    group.extend(unsettled);
                    if error.is_some() || no_condition_named {
                        last_error = error.or(last_error);
                        compio::time::sleep(backoff.next_delay()).await;
                    }
                }
                Err(error) => {
                    if error.kind != ErrorKind::StoreUnavailable {
                        warn!("outcome of a write to the store is unknown: {error}");
                        for item in &mut group {
                            item.maybe_written = true;
                        }
                        (group, _) = self.read_back(group).await;
                    }
                    last_error = Some(error);
                    if !group.is_empty() {
                        compio::time::sleep(backoff.next_delay()).await;
                    }
                }
            }
        }
    }

    /// Reads the rows of writes with unknown outcome and completes the writes whose result follows from
    /// them. Returns the other writes, and the error with which the read failed.
    async fn read_back(&self, items: Vec<PendingWrite>) -> (Vec<PendingWrite>, Option<Error>) {
        if items.is_empty() {
            return (items, None);
        }
        let keys: Vec<Box<str>> = items.iter().map(|item| item.write.key.clone()).collect();
        let rows = match self.read(&keys).await {
            Ok(rows) if rows.len() == items.len() => rows,
            Ok(_) => {
                let error = Error::new(
                    ErrorKind::StoreUnavailable,
                    "the answer of the store lacks rows",
                );
                return (items, Some(error));
            }
            Err(error) => return (items, Some(error)),
        };
        let mut unsettled = Vec::new();
        for (item, row) in items.into_iter().zip(rows) {
            match item.result_from_row(row.as_ref()) {
                Some(written) => {
                    if matches!(written, WriteResult::Committed(_)) {
                        self.count(|counts| counts.rows += 1);
                    }
                    item.complete(Ok(written));
                }
                None => unsettled.push(item),
            }
        }
        (unsettled, None)
    }
}

/// Completes the writes past their deadline with an error and returns the others.
fn expire(group: Vec<PendingWrite>, last_error: Option<&Error>) -> Vec<PendingWrite> {
    let now = Instant::now();
    let mut remaining = Vec::new();
    for item in group {
        if item.write.deadline > now {
            remaining.push(item);
            continue;
        }
        let kind = match item.maybe_written {
            true => ErrorKind::StoreUnknown,
            false => ErrorKind::StoreUnavailable,
        };
        let detail = match last_error {
            Some(error) => format!("the write did not succeed before its deadline: {error}"),
            None => "the write was not sent before its deadline".into(),
        };
        item.complete(Err(Error::new(kind, detail)));
    }
    remaining
}

/// Waits for a request to the store, with a timeout. A request that times out may still take effect.
async fn within_timeout<T>(request: impl Future<Output = Result<T>>) -> Result<T> {
    match compio::time::timeout(REQUEST_TIMEOUT, request).await {
        Ok(result) => result,
        Err(_) => Err(Error::new(
            ErrorKind::StoreUnknown,
            "the store did not answer in time",
        )),
    }
}

/// Builds the transaction with the conditions and writes of a group.
fn transaction(group: &[PendingWrite]) -> Transaction {
    let mut transaction = Transaction::new();
    for item in group {
        let write = &item.write;
        transaction = match write.expected {
            Some(version) => transaction.with_version(write.key.clone(), version),
            None => transaction.with_absent(write.key.clone()),
        };
        transaction = transaction.with_put(write.key.clone(), write.value.clone());
    }
    transaction
}
