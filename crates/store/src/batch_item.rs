//! A caller's transaction as an item of a batch.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::task::Waker;
use std::time::Instant;

use crate::Condition;
use crate::MAX_TRANSACTION_BYTES;
use crate::MAX_TRANSACTION_WRITES;
use crate::Row;
use crate::Transaction;
use crate::TransactionOutcome;
use crate::Write;
use crate::tag;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// What is known about the effect of an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Effect {
    /// No attempt can have taken effect.
    None,
    /// An attempt was sent whose outcome is unknown.
    Possible,
}

/// State that an item shares with the caller that waits for its result.
#[derive(Debug)]
pub(crate) struct PendingResult {
    effect: Cell<Effect>,
    is_in_flight: Cell<bool>,
    is_abandoned: Cell<bool>,
    result: RefCell<Option<Result<TransactionOutcome>>>,
    waker: RefCell<Option<Waker>>,
}

impl PendingResult {
    /// Waits for the result.
    pub(crate) async fn result(&self) -> Result<TransactionOutcome> {
        poll_fn(|context| match self.result.take() {
            Some(result) => Poll::Ready(result),
            None => {
                *self.waker.borrow_mut() = Some(context.waker().clone());
                Poll::Pending
            }
        })
        .await
    }

    /// Prevents further attempts and returns the error for the caller, which states whether a write may have taken
    /// effect.
    pub(crate) fn abandon(&self) -> Error {
        self.is_abandoned.set(true);
        if self.is_in_flight.get() || self.effect.get() == Effect::Possible {
            let detail = "the deadline passed before the outcome of a write was known";
            return Error::new(ErrorKind::StoreUnknown, detail);
        }
        let detail = "the store did not answer before the deadline; nothing was written";
        Error::new(ErrorKind::StoreUnavailable, detail)
    }
}

/// A transaction with its writer tag, deadline and result.
#[derive(Debug)]
pub(crate) struct BatchItem {
    pub(crate) transaction: Transaction,
    pub(crate) deadline: Instant,
    tag: Box<str>,
    pending: Rc<PendingResult>,
    /// Whether the written rows must be read back before the next attempt, to determine whether an earlier attempt
    /// took effect.
    pub(crate) needs_read_back: bool,
}

impl BatchItem {
    pub(crate) fn new(transaction: &Transaction, deadline: Instant) -> (Self, Rc<PendingResult>) {
        let tag = tag::new_tag();
        let pending = Rc::new(PendingResult {
            effect: Cell::new(Effect::None),
            is_in_flight: Cell::new(false),
            is_abandoned: Cell::new(false),
            result: RefCell::new(None),
            waker: RefCell::new(None),
        });
        let item = Self {
            transaction: tag::tagged(transaction, &tag),
            deadline,
            tag,
            pending: Rc::clone(&pending),
            needs_read_back: false,
        };
        (item, pending)
    }

    /// Returns the result to the caller.
    pub(crate) fn finish(&self, result: Result<TransactionOutcome>) {
        self.pending.is_in_flight.set(false);
        *self.pending.result.borrow_mut() = Some(result);
        if let Some(waker) = self.pending.waker.take() {
            waker.wake();
        }
    }

    /// Ends an item that cannot be retried; the error states whether a write may have taken effect.
    pub(crate) fn abandon(&self) {
        self.finish(Err(self.pending.abandon()));
    }

    /// Returns whether the item may be sent at `now`. It must not be sent after its caller has received the error that
    /// nothing was written.
    pub(crate) fn may_be_sent(&self, now: Instant) -> bool {
        !self.pending.is_abandoned.get() && self.deadline > now
    }

    /// Records that an attempt is being sent.
    pub(crate) fn record_sent(&self) {
        self.pending.is_in_flight.set(true);
    }

    /// Records that the attempt in flight did not take effect.
    pub(crate) fn record_not_applied(&self) {
        self.pending.is_in_flight.set(false);
    }

    /// Records that the outcome of the attempt in flight is unknown.
    pub(crate) fn record_unknown_outcome(&mut self) {
        self.pending.is_in_flight.set(false);
        if !self.transaction.writes.is_empty() {
            self.pending.effect.set(Effect::Possible);
            self.needs_read_back = true;
        }
    }

    /// Returns whether an earlier attempt may have taken effect.
    pub(crate) fn may_be_applied(&self) -> bool {
        self.pending.effect.get() == Effect::Possible
    }

    /// Returns the keys of the rows that the item writes or deletes.
    pub(crate) fn written_keys(&self) -> impl Iterator<Item = &Box<str>> {
        self.transaction.writes.iter().map(|write| match write {
            Write::Put { key, .. } | Write::Delete { key } => key,
        })
    }

    fn condition_keys(&self) -> impl Iterator<Item = &str> {
        self.transaction.conditions.iter().map(condition_key)
    }

    /// Returns the committed outcome if one of `rows` has the item's writer tag, so an earlier attempt took effect.
    pub(crate) fn find_own_write(&self, rows: &[Row]) -> Option<TransactionOutcome> {
        rows.iter()
            .find(|row| tag::tag_of(&row.value) == Some(&self.tag))
            .map(|row| TransactionOutcome::Committed {
                version: row.version,
            })
    }

    /// Returns whether no earlier attempt has taken effect and none can take effect later.
    ///
    /// This holds if a row that the item writes still has the version that a condition requires, and a condition on a
    /// version has failed. That failure is final, because versions only increase. A failed condition on absence is
    /// not final, because the row can be deleted.
    pub(crate) fn is_provably_rejected(&self, failed: &[usize], rows: &[Row]) -> bool {
        let has_final_failure = failed.iter().any(|index| {
            matches!(
                self.transaction.conditions.get(*index),
                Some(Condition::Version { .. })
            )
        });
        has_final_failure
            && self.transaction.conditions.iter().any(|condition| {
                let Condition::Version { key, version } = condition else {
                    return false;
                };
                self.written_keys().any(|written| written == key)
                    && rows
                        .iter()
                        .any(|row| row.key == *key && row.version == *version)
            })
    }
}

fn condition_key(condition: &Condition) -> &str {
    match condition {
        Condition::Absent { key } | Condition::Version { key, .. } => key,
    }
}

/// Keys in the writes and conditions of a batch, used to keep dependent items out of the same transaction, and the size
/// of the batch.
#[derive(Debug, Default)]
pub(crate) struct BatchKeys {
    written: HashSet<Box<str>>,
    conditions: HashSet<Box<str>>,
    /// Whether the store limits the conditions and writes together.
    counts_conditions: bool,
    /// Number of writes, and of distinct conditions if these count.
    entries: usize,
    /// Total length of keys and values, in bytes.
    bytes: usize,
}

impl BatchKeys {
    /// Creates an empty batch for a store that limits the number of writes, with or without the conditions.
    pub(crate) fn new(counts_conditions: bool) -> Self {
        Self {
            counts_conditions,
            ..Self::default()
        }
    }

    /// Adds an item, or returns false if the batch would become too large or the item depends on another item. An item
    /// that is too large on its own is sent alone.
    ///
    /// The conditions of a transaction are checked before any of its writes are applied. Two items must therefore not
    /// share a transaction if one of them writes a row that the other writes or has a condition on.
    pub(crate) fn try_add(&mut self, item: &BatchItem) -> bool {
        let is_dependent = item
            .written_keys()
            .any(|key| self.written.contains(key) || self.conditions.contains(key))
            || item.condition_keys().any(|key| self.written.contains(key));
        let new_conditions: HashSet<&str> = item
            .condition_keys()
            .filter(|key| !self.conditions.contains(*key))
            .collect();
        let counted = if self.counts_conditions {
            new_conditions.len()
        } else {
            0
        };
        let entries = item.transaction.writes.len() + counted;
        let bytes = item
            .transaction
            .writes
            .iter()
            .map(Write::bytes)
            .sum::<usize>()
            + new_conditions.iter().map(|key| key.len()).sum::<usize>();
        let is_too_large = self.entries > 0
            && (self.entries + entries > MAX_TRANSACTION_WRITES
                || self.bytes + bytes > MAX_TRANSACTION_BYTES);
        if is_dependent || is_too_large {
            return false;
        }
        self.entries += entries;
        self.bytes += bytes;
        let new_conditions: Vec<Box<str>> = new_conditions.into_iter().map(Into::into).collect();
        self.conditions.extend(new_conditions);
        self.written.extend(item.written_keys().cloned());
        true
    }
}
