//! Records of claimed attempts, which an agent keeps so that the attempts can be closed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::AttemptId;
use crate::BackendAnswer;
use crate::CloseAnswer;
use crate::message::created_unix_ms;
use crate::oneshot;
use crate::unix_ms;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// Time for which the record of an attempt is kept after the attempt ended or was closed.
const RETENTION: Duration = Duration::from_secs(300);
/// Maximum age of an attempt that is started. It is below [`RETENTION`], so that the tombstone of an
/// attempt is still kept when the attempt arrives late; the difference covers clock skew.
const MAX_ATTEMPT_AGE_MS: u64 = 120_000;
/// Maximum time by which the clock of an entry host may be ahead of the agent's clock.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// Age up to which an attempt without a record may still be in transit, so that closing it first waits
/// for its arrival. Without this wait, duplicates of one request repeatedly close each other's attempts.
const MAX_TRANSIT_AGE_MS: u64 = 1_000;
/// Maximum time to wait for the arrival of such an attempt, and the interval between checks.
const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(100);
const ARRIVAL_POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug)]
enum Record {
    /// Waits for a slot; nothing was sent to the backend server.
    Waiting,
    /// Was or may have been sent; the senders notify the `close` requests that wait for its end.
    Started(Vec<oneshot::Sender<()>>),
    /// Ended with a complete answer.
    Finished(BackendAnswer),
    /// Ended after it was sent, and no complete answer is kept.
    OutcomeUnknown,
    /// Tombstone: was not started and will not be started.
    Closed,
}

#[derive(Debug, Default)]
struct State {
    records: HashMap<AttemptId, Record>,
    ended: VecDeque<(Instant, AttemptId)>,
    finished: VecDeque<AttemptId>,
    kept_answer_bytes: usize,
}

/// Records of the claimed attempts at one agent; clones share them.
#[derive(Clone, Debug)]
pub(super) struct Attempts {
    state: Rc<RefCell<State>>,
    max_kept_answer_bytes: usize,
}

/// State of an [`Attempt`] that waits for a slot.
#[derive(Debug)]
pub(super) struct Waiting;
/// State of an [`Attempt`] that is about to be sent or was sent.
#[derive(Debug)]
pub(super) struct Started;

/// A claimed attempt in state `S`, which is [`Waiting`] or [`Started`].
///
/// Dropping a waiting attempt closes it; dropping a started one leaves its outcome unknown.
#[derive(Debug)]
pub(super) struct Attempt<S> {
    attempts: Attempts,
    id: AttemptId,
    on_drop: Option<Record>,
    _state: S,
}

impl Attempts {
    /// Creates an empty set of records that keeps answers with bodies of at most `max_kept_answer_bytes` in total.
    pub(super) fn new(max_kept_answer_bytes: usize) -> Self {
        Self {
            state: Rc::default(),
            max_kept_answer_bytes,
        }
    }

    /// Creates the record of an attempt that arrived.
    ///
    /// # Errors
    /// `attempt_closed` when the attempt was closed before, or when it is so old that its tombstone may
    /// have been removed; `unknown_outcome` when it arrived before.
    pub(super) fn register(&self, id: &str) -> Result<Attempt<Waiting>> {
        let refused = |detail| Err(Error::new(ErrorKind::AttemptClosed, detail));
        if !is_recent(id) {
            return refused("the attempt is too old to be started");
        }
        let mut state = self.state.borrow_mut();
        state.expire();
        match state.records.get(id) {
            None => {}
            Some(Record::Closed) => return refused("the attempt was closed"),
            // The message that arrived first determines the outcome of the attempt.
            Some(_) => {
                return Err(Error::new(
                    ErrorKind::UnknownOutcome,
                    "the attempt arrived twice",
                ));
            }
        }
        state.records.insert(id.into(), Record::Waiting);
        Ok(Attempt {
            attempts: self.clone(),
            id: id.into(),
            on_drop: Some(Record::Closed),
            _state: Waiting,
        })
    }

    /// Closes an attempt; waits up to `wait` for the end of one that is running.
    pub(super) async fn close(&self, id: &str, wait: Duration) -> CloseAnswer {
        self.wait_for_arrival(id, wait).await;
        let running = {
            let mut state = self.state.borrow_mut();
            state.expire();
            match state.records.get_mut(id) {
                Some(Record::Started(watchers)) => {
                    let (sender, receiver) = oneshot::channel();
                    watchers.push(sender);
                    Some(receiver)
                }
                Some(Record::Waiting) => {
                    state.end(id, Record::Closed);
                    None
                }
                None if is_recent(id) => {
                    state.end(id, Record::Closed);
                    None
                }
                _ => None,
            }
        };
        if let Some(ended) = running {
            let _ = compio::time::timeout(wait, ended).await;
        }
        match self.state.borrow().records.get(id) {
            Some(Record::Finished(answer)) => CloseAnswer::Finished(answer.clone()),
            Some(Record::Closed) => CloseAnswer::NotStarted,
            _ => CloseAnswer::Unknown,
        }
    }

    /// Waits for the arrival of an attempt that may still be in transit.
    async fn wait_for_arrival(&self, id: &str, wait: Duration) {
        let may_be_in_transit = created_unix_ms(id)
            .is_some_and(|created| created.saturating_add(MAX_TRANSIT_AGE_MS) >= unix_ms());
        if !may_be_in_transit {
            return;
        }
        let start = Instant::now();
        while !self.state.borrow().records.contains_key(id)
            && start.elapsed() < ARRIVAL_TIMEOUT.min(wait / 2)
        {
            compio::time::sleep(ARRIVAL_POLL_INTERVAL).await;
        }
    }

    fn end(&self, id: &str, record: Record) {
        let mut state = self.state.borrow_mut();
        let watchers = state.end(id, record);
        state.limit_bytes(self.max_kept_answer_bytes);
        drop(state);
        for watcher in watchers {
            let _ = watcher.send(());
        }
    }
}

impl State {
    /// Sets the final record of an attempt and returns the senders to notify: one for each `close` request that
    /// waits for its end.
    fn end(&mut self, id: &str, record: Record) -> Vec<oneshot::Sender<()>> {
        self.ended.push_back((Instant::now(), id.into()));
        if let Record::Finished(answer) = &record {
            self.kept_answer_bytes += answer.body.len();
            self.finished.push_back(id.into());
        }
        match self.records.insert(id.into(), record) {
            Some(Record::Started(watchers)) => watchers,
            _ => Vec::new(),
        }
    }

    /// Removes the records of attempts that ended more than [`RETENTION`] ago.
    fn expire(&mut self) {
        while let Some((ended, id)) = self.ended.front() {
            if ended.elapsed() < RETENTION {
                return;
            }
            if self.finished.front() == Some(id) {
                self.finished.pop_front();
            }
            if let Some(Record::Finished(answer)) = self.records.remove(id) {
                self.kept_answer_bytes -= answer.body.len();
            }
            self.ended.pop_front();
        }
    }

    /// Drops the oldest answers until the size of the kept ones is within the limit.
    fn limit_bytes(&mut self, max_kept_answer_bytes: usize) {
        while self.kept_answer_bytes > max_kept_answer_bytes {
            let Some(id) = self.finished.pop_front() else {
                return;
            };
            if let Some(record) = self.records.get_mut(&id)
                && let Record::Finished(answer) = record
            {
                self.kept_answer_bytes -= answer.body.len();
                *record = Record::OutcomeUnknown;
            }
        }
    }
}

impl Attempt<Waiting> {
    /// Marks the attempt as started.
    ///
    /// # Errors
    /// `attempt_closed` when the attempt was closed while it waited for a slot.
    pub(super) fn start(mut self) -> Result<Attempt<Started>> {
        let mut state = self.attempts.state.borrow_mut();
        match state.records.get_mut(&self.id) {
            Some(record @ Record::Waiting) => *record = Record::Started(Vec::new()),
            _ => {
                drop(state);
                self.on_drop = None;
                return Err(Error::new(
                    ErrorKind::AttemptClosed,
                    "the attempt was closed while it waited for a slot",
                ));
            }
        }
        drop(state);
        self.on_drop = None;
        Ok(Attempt {
            attempts: self.attempts.clone(),
            id: self.id.clone(),
            on_drop: Some(Record::OutcomeUnknown),
            _state: Started,
        })
    }
}

impl Attempt<Started> {
    /// Records the complete answer as the end of the attempt.
    pub(super) fn finish(mut self, answer: &BackendAnswer) {
        self.on_drop = Some(Record::Finished(answer.clone()));
    }

    /// Records that the attempt ended and provably nothing was sent.
    pub(super) fn mark_not_sent(mut self) {
        self.on_drop = Some(Record::Closed);
    }
}

impl<S> Drop for Attempt<S> {
    fn drop(&mut self) {
        if let Some(record) = self.on_drop.take() {
            self.attempts.end(&self.id, record);
        }
    }
}

/// Returns whether an attempt is recent enough to be started.
fn is_recent(id: &str) -> bool {
    let now = unix_ms();
    created_unix_ms(id).is_some_and(|created| {
        created.saturating_add(MAX_ATTEMPT_AGE_MS) >= now && created <= now + MAX_CLOCK_SKEW_MS
    })
}
