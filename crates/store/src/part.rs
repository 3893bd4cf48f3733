//! One caller's transaction on its way through a batch.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::task::Waker;
use std::time::Instant;

use crate::Condition;
use crate::MAX_TRANSACTION_WRITES;
use crate::Row;
use crate::Transaction;
use crate::TransactionOutcome;
use crate::Write;
use crate::tag;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// What is known about the effect of a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Effect {
    /// No attempt can have taken effect.
    None,
    /// An attempt was sent whose outcome is unknown.
    Possible,
}

/// State that a part shares with the caller that waits for it.
#[derive(Debug)]
pub(crate) struct Ticket {
    effect: Cell<Effect>,
    in_flight: Cell<bool>,
    abandoned: Cell<bool>,
    result: RefCell<Option<Result<TransactionOutcome>>>,
    waker: RefCell<Option<Waker>>,
}

impl Ticket {
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

    /// Returns the error for a caller whose deadline has passed; the part is not sent from now on.
    pub(crate) fn deadline_error(&self) -> Error {
        self.abandoned.set(true);
        if self.in_flight.get() || self.effect.get() == Effect::Possible {
            let detail = "the deadline passed before the outcome of a write was known";
            return Error::new(ErrorKind::StoreUnknown, detail);
        }
        let detail = "the store did not answer before the deadline; nothing was written";
        Error::new(ErrorKind::StoreUnavailable, detail)
    }
}

/// A transaction with its writer tag, deadline and result.
#[derive(Debug)]
pub(crate) struct Part {
    pub(crate) transaction: Transaction,
    pub(crate) deadline: Instant,
    tag: Box<str>,
    ticket: Rc<Ticket>,
    /// Whether a read must show if an earlier attempt took effect before the next one is sent.
    pub(crate) needs_read_back: bool,
}

impl Part {
    pub(crate) fn new(transaction: &Transaction, deadline: Instant) -> (Self, Rc<Ticket>) {
        let tag = tag::new_tag();
        let ticket = Rc::new(Ticket {
            effect: Cell::new(Effect::None),
            in_flight: Cell::new(false),
            abandoned: Cell::new(false),
            result: RefCell::new(None),
            waker: RefCell::new(None),
        });
        let part = Self {
            transaction: tag::tagged(transaction, &tag),
            deadline,
            tag,
            ticket: Rc::clone(&ticket),
            needs_read_back: false,
        };
        (part, ticket)
    }

    /// Gives the result to the caller.
    pub(crate) fn finish(&self, result: Result<TransactionOutcome>) {
        self.ticket.in_flight.set(false);
        *self.ticket.result.borrow_mut() = Some(result);
        if let Some(waker) = self.ticket.waker.take() {
            waker.wake();
        }
    }

    /// Ends a part that cannot be tried again, with the error that is true for it.
    pub(crate) fn give_up(&self) {
        self.finish(Err(self.ticket.deadline_error()));
    }

    /// Returns whether the part may be sent at `now`. Once its caller was told that nothing was written,
    /// it must not be.
    pub(crate) fn is_wanted(&self, now: Instant) -> bool {
        !self.ticket.abandoned.get() && self.deadline > now
    }

    /// Notes that an attempt is being sent.
    pub(crate) fn sent(&self) {
        self.ticket.in_flight.set(true);
    }

    /// Notes that the attempt in flight did not take effect.
    pub(crate) fn not_applied(&self) {
        self.ticket.in_flight.set(false);
    }

    /// Notes that the outcome of the attempt in flight is unknown.
    pub(crate) fn outcome_unknown(&mut self) {
        self.ticket.in_flight.set(false);
        if !self.transaction.writes.is_empty() {
            self.ticket.effect.set(Effect::Possible);
            self.needs_read_back = true;
        }
    }

    /// Returns whether an earlier attempt may have taken effect.
    pub(crate) fn may_be_applied(&self) -> bool {
        self.ticket.effect.get() == Effect::Possible
    }

    /// Returns the keys that the part writes.
    pub(crate) fn written_keys(&self) -> impl Iterator<Item = &Box<str>> {
        self.transaction.writes.iter().map(|write| match write {
            Write::Put { key, .. } | Write::Delete { key } => key,
        })
    }

    fn condition_keys(&self) -> impl Iterator<Item = &str> {
        self.transaction.conditions.iter().map(condition_key)
    }

    /// Returns the committed outcome when `rows` show that an earlier attempt took effect.
    pub(crate) fn own_write(&self, rows: &[Row]) -> Option<TransactionOutcome> {
        rows.iter()
            .find(|row| tag::tag_of(&row.value) == Some(&self.tag))
            .map(|row| TransactionOutcome::Committed {
                version: row.version,
            })
    }

    /// Returns whether no earlier attempt took effect and none can do so later.
    ///
    /// This holds when a row that the part writes still has the version that it had before, and a
    /// condition on a version has failed, which is final because versions only rise. A failed absence
    /// is not final, because the row can be deleted.
    pub(crate) fn is_certainly_rejected(&self, failed: &[usize], rows: &[Row]) -> bool {
        let failed_for_good = failed.iter().any(|index| {
            matches!(
                self.transaction.conditions.get(*index),
                Some(Condition::Version { .. })
            )
        });
        failed_for_good
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

/// Keys that the parts of a batch touch, to keep dependent parts out of one transaction.
#[derive(Debug, Default)]
pub(crate) struct BatchKeys {
    written: HashSet<Box<str>>,
    conditions: HashSet<Box<str>>,
    writes: usize,
}

impl BatchKeys {
    /// Adds a part, or returns false when it is too large or depends on a part of the batch.
    ///
    /// Conditions of a transaction are checked before any of its writes, so a part that reads or
    /// writes a row that another part writes must not share its transaction.
    pub(crate) fn add(&mut self, part: &Part) -> bool {
        let writes = part.transaction.writes.len();
        let dependent = part
            .written_keys()
            .any(|key| self.written.contains(key) || self.conditions.contains(key))
            || part.condition_keys().any(|key| self.written.contains(key));
        if dependent || self.writes + writes > MAX_TRANSACTION_WRITES {
            return false;
        }
        self.writes += writes;
        self.written.extend(part.written_keys().cloned());
        self.conditions
            .extend(part.condition_keys().map(Into::into));
        true
    }
}
