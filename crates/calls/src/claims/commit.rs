//! Conditional writes of single rows, committed in groups.

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

/// Bounds of the pause after a failed request to the store.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Time for one request, so that a store that never answers does not hold up later commits.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after its deadline in which a write is told that it expired.
const EXPIRY_MARGIN: Duration = Duration::from_millis(20);
/// Most commits at the same time when full groups are waiting. A group that is not full waits for
/// the commit before it, which bounds the writes a second by the latency of the store.
const MAX_COMMITS: usize = 4;

/// How claims are written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CommitMode {
    /// Claims of a short time share one transaction.
    #[default]
    Group,
    /// Each claim has a transaction of its own; for comparison.
    Single,
}

/// Requests to the store and rows written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreCounts {
    /// Transactions sent.
    pub transactions: u64,
    /// Reads sent.
    pub reads: u64,
    /// Rows that took effect.
    pub rows: u64,
}

/// What became of a conditional write.
#[derive(Debug)]
pub(super) enum Written {
    /// The row has this version now.
    Committed(RowVersion),
    /// The condition did not hold; the row that is there instead, if any.
    Rejected(Option<Row>),
}

/// A conditional write of one row.
#[derive(Debug)]
pub(super) struct RowWrite {
    pub(super) key: Box<str>,
    /// Version that the row must have; `None` when there must be no row.
    pub(super) expected: Option<RowVersion>,
    /// Content, which differs from that of every other writer.
    pub(super) value: Box<str>,
    pub(super) deadline: Instant,
}

#[derive(Debug)]
struct Item {
    write: RowWrite,
    maybe_written: bool,
    sender: oneshot::Sender<Result<Written>>,
}

impl Item {
    fn answer(self, result: Result<Written>) {
        let _ = self.sender.send(result);
    }

    /// Compares with the row that was read after an unclear outcome; `None` when the write has to be
    /// tried again.
    fn settle(&self, row: Option<&Row>) -> Option<Written> {
        match row {
            Some(row) if row.value == self.write.value => Some(Written::Committed(row.version)),
            Some(row) if Some(row.version) == self.write.expected => None,
            None if self.write.expected.is_none() => None,
            other => Some(Written::Rejected(other.cloned())),
        }
    }
}

/// Writes rows to the table.
pub(super) struct Committer {
    store: Rc<dyn TableStore>,
    mode: CommitMode,
    group_delay: Duration,
    pending: RefCell<VecDeque<Item>>,
    commits: Cell<usize>,
    delayed: Cell<bool>,
    counts: Cell<StoreCounts>,
}

impl Committer {
    /// Creates a committer.
    pub(super) fn new(store: Rc<dyn TableStore>, mode: CommitMode, group_delay: Duration) -> Self {
        Self {
            store,
            mode,
            group_delay,
            pending: RefCell::default(),
            commits: Cell::new(0),
            delayed: Cell::new(false),
            counts: Cell::default(),
        }
    }

    /// Returns the counts since the start.
    pub(super) fn counts(&self) -> StoreCounts {
        self.counts.get()
    }

    /// Writes a row, trying until its deadline.
    ///
    /// # Errors
    /// `store_unavailable` when nothing was written, `store_unknown` when the row may be written.
    pub(super) async fn write(self: &Rc<Self>, write: RowWrite) -> Result<Written> {
        let deadline = write.deadline;
        let (sender, receiver) = oneshot::channel();
        let item = Item {
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

    /// Starts the commits that are due: full groups at once, others after the delay.
    fn start_commits(self: &Rc<Self>) {
        while self.pending.borrow().len() >= MAX_TRANSACTION_WRITES
            && self.commits.get() < MAX_COMMITS
        {
            self.start_commit();
        }
        let is_due = !self.pending.borrow().is_empty() && self.commits.get() == 0;
        if is_due && !self.delayed.replace(true) {
            let committer = Rc::clone(self);
            compio::runtime::spawn(async move {
                compio::time::sleep(committer.group_delay).await;
                committer.delayed.set(false);
                if committer.commits.get() == 0 && !committer.pending.borrow().is_empty() {
                    committer.start_commit();
                }
            })
            .detach();
        }
    }

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

    /// Takes a group with at most one write of each row. Two writes of one row in a transaction would
    /// both find their condition true, and both writers would believe that they hold the claim.
    fn take_group(&self) -> Vec<Item> {
        let mut pending = self.pending.borrow_mut();
        let mut keys = HashSet::new();
        let mut group = Vec::new();
        let mut left = VecDeque::new();
        while let Some(item) = pending.pop_front() {
            if group.len() < MAX_TRANSACTION_WRITES && keys.insert(item.write.key.clone()) {
                group.push(item);
            } else {
                left.push_back(item);
            }
        }
        *pending = left;
        group
    }

    /// Commits a group until each of its writes is settled or past its deadline.
    async fn commit(&self, mut group: Vec<Item>) {
        let mut pause = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
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
                        item.answer(Ok(Written::Committed(version)));
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
                    let nothing_named = failed_items.is_empty();
                    let (unsettled, error) = self.read_back(failed_items).await;
                    group = others;
                    group.extend(unsettled);
                    if error.is_some() || nothing_named {
                        last_error = error.or(last_error);
                        compio::time::sleep(pause.next_delay()).await;
                    }
                }
                Err(error) => {
                    if error.kind != ErrorKind::StoreUnavailable {
                        warn!("the outcome of a write to the store is not known: {error}");
                        for item in &mut group {
                            item.maybe_written = true;
                        }
                        (group, _) = self.read_back(group).await;
                    }
                    last_error = Some(error);
                    if !group.is_empty() {
                        compio::time::sleep(pause.next_delay()).await;
                    }
                }
            }
        }
    }

    /// Reads the rows of writes whose outcome is unclear and answers those that are settled by it.
    async fn read_back(&self, items: Vec<Item>) -> (Vec<Item>, Option<Error>) {
        if items.is_empty() {
            return (items, None);
        }
        let keys: Vec<Box<str>> = items.iter().map(|item| item.write.key.clone()).collect();
        let rows = match self.read(&keys).await {
            Ok(rows) if rows.len() == items.len() => rows,
            Ok(_) => {
                let error = Error::new(ErrorKind::StoreUnavailable, "the store left out rows");
                return (items, Some(error));
            }
            Err(error) => return (items, Some(error)),
        };
        let mut unsettled = Vec::new();
        for (item, row) in items.into_iter().zip(rows) {
            match item.settle(row.as_ref()) {
                Some(written) => {
                    if matches!(written, Written::Committed(_)) {
                        self.count(|counts| counts.rows += 1);
                    }
                    item.answer(Ok(written));
                }
                None => unsettled.push(item),
            }
        }
        (unsettled, None)
    }
}

/// Answers the writes past their deadline and returns the others.
fn expire(group: Vec<Item>, last_error: Option<&Error>) -> Vec<Item> {
    let now = Instant::now();
    let mut left = Vec::new();
    for item in group {
        if item.write.deadline > now {
            left.push(item);
            continue;
        }
        let kind = match item.maybe_written {
            true => ErrorKind::StoreUnknown,
            false => ErrorKind::StoreUnavailable,
        };
        let detail = match last_error {
            Some(error) => format!("the store did not take the write in time: {error}"),
            None => "the write was not sent before its deadline".into(),
        };
        item.answer(Err(Error::new(kind, detail)));
    }
    left
}

/// Waits for a request to the store; one that takes too long may still take effect.
async fn within_timeout<T>(request: impl Future<Output = Result<T>>) -> Result<T> {
    match compio::time::timeout(REQUEST_TIMEOUT, request).await {
        Ok(result) => result,
        Err(_) => Err(Error::new(
            ErrorKind::StoreUnknown,
            "the store did not answer in time",
        )),
    }
}

fn transaction(group: &[Item]) -> Transaction {
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
