//! What an agent remembers of claimed attempts, so that they can be closed.

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

/// Time for which an attempt is remembered after it ended or was closed.
const RETENTION: Duration = Duration::from_secs(300);
/// Oldest attempt that is started. It is below [`RETENTION`], so that the tombstone of an attempt
/// outlives every late arrival; the difference covers clocks that disagree.
const MAX_ATTEMPT_AGE_MS: u64 = 120_000;
/// How far the clock of an entry host may be ahead.
const MAX_AHEAD_MS: u64 = 60_000;

/// Age up to which an attempt that has not arrived is given time to arrive before it is closed.
/// Without it, duplicates of one request close each other's attempts again and again.
const YOUNG_MS: u64 = 1_000;
/// Time that such an attempt is given, and how often its arrival is checked.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);
const ARRIVAL_CHECK: Duration = Duration::from_millis(5);

#[derive(Debug)]
enum Record {
    /// Waits for a slot; nothing was sent.
    Waiting,
    /// Was or may have been sent.
    Started(Vec<oneshot::Sender<()>>),
    /// Ended with a complete answer.
    Finished(BackendAnswer),
    /// Ended after it was sent, without a complete answer that is still kept.
    Lost,
    /// Tombstone: was not started and is never started.
    Closed,
}

#[derive(Debug, Default)]
struct State {
    records: HashMap<AttemptId, Record>,
    ended: VecDeque<(Instant, AttemptId)>,
    finished: VecDeque<AttemptId>,
    kept_bytes: usize,
}

/// The claimed attempts of one agent.
#[derive(Clone, Debug)]
pub(super) struct Attempts {
    state: Rc<RefCell<State>>,
    max_kept_bytes: usize,
}

/// Life cycle of an attempt: waits for a slot.
#[derive(Debug)]
pub(super) struct Waiting;
/// Life cycle of an attempt: is about to be sent, or was sent.
#[derive(Debug)]
pub(super) struct Started;

/// A claimed attempt; `S` is its state.
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
    /// Creates an empty memory that keeps at most `max_kept_bytes` of answers.
    pub(super) fn new(max_kept_bytes: usize) -> Self {
        Self {
            state: Rc::default(),
            max_kept_bytes,
        }
    }

    /// Registers an attempt that arrived.
    ///
    /// # Errors
    /// `attempt_closed` when it was closed before, when it is too old to know that, or when it
    /// arrived before.
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
            // The outcome of the attempt belongs to the message that arrived first.
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

    /// Closes an attempt; waits up to `wait` for one that is running.
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

    async fn wait_for_arrival(&self, id: &str, wait: Duration) {
        let is_young = created_unix_ms(id)
            .is_some_and(|created| created.saturating_add(YOUNG_MS) >= unix_ms());
        if !is_young {
            return;
        }
        let start = Instant::now();
        while !self.state.borrow().records.contains_key(id)
            && start.elapsed() < ARRIVAL_TIME.min(wait / 2)
        {
            compio::time::sleep(ARRIVAL_CHECK).await;
        }
    }

    fn end(&self, id: &str, record: Record) {
        let mut state = self.state.borrow_mut();
        let watchers = state.end(id, record);
        state.limit_bytes(self.max_kept_bytes);
        drop(state);
        for watcher in watchers {
            let _ = watcher.send(());
        }
    }
}

impl State {
    /// Sets the final record of an attempt and returns those who wait for it.
    fn end(&mut self, id: &str, record: Record) -> Vec<oneshot::Sender<()>> {
        self.ended.push_back((Instant::now(), id.into()));
        if let Record::Finished(answer) = &record {
            self.kept_bytes += answer.body.len();
            self.finished.push_back(id.into());
        }
        match self.records.insert(id.into(), record) {
            Some(Record::Started(watchers)) => watchers,
            _ => Vec::new(),
        }
    }

    fn expire(&mut self) {
        while let Some((ended, id)) = self.ended.front() {
            if ended.elapsed() < RETENTION {
                return;
            }
            if self.finished.front() == Some(id) {
                self.finished.pop_front();
            }
            if let Some(Record::Finished(answer)) = self.records.remove(id) {
                self.kept_bytes -= answer.body.len();
            }
            self.ended.pop_front();
        }
    }

    /// Drops the oldest answers until those kept are within the limit.
    fn limit_bytes(&mut self, max_kept_bytes: usize) {
        while self.kept_bytes > max_kept_bytes {
            let Some(id) = self.finished.pop_front() else {
                return;
            };
            if let Some(record) = self.records.get_mut(&id)
                && let Record::Finished(answer) = record
            {
                self.kept_bytes -= answer.body.len();
                *record = Record::Lost;
            }
        }
    }
}

impl Attempt<Waiting> {
    /// Starts the attempt, unless it was closed while it waited.
    ///
    /// # Errors
    /// `attempt_closed` when it was closed.
    pub(super) fn start(mut self) -> Result<Attempt<Started>> {
        let mut state = self.attempts.state.borrow_mut();
        match state.records.get_mut(&self.id) {
            Some(record @ Record::Waiting) => *record = Record::Started(Vec::new()),
            _ => {
                drop(state);
                self.on_drop = None;
                return Err(Error::new(
                    ErrorKind::AttemptClosed,
                    "the attempt was closed while it waited",
                ));
            }
        }
        drop(state);
        self.on_drop = None;
        Ok(Attempt {
            attempts: self.attempts.clone(),
            id: self.id.clone(),
            on_drop: Some(Record::Lost),
            _state: Started,
        })
    }
}

impl Attempt<Started> {
    /// Records the complete answer.
    pub(super) fn finish(mut self, answer: &BackendAnswer) {
        self.on_drop = Some(Record::Finished(answer.clone()));
    }

    /// Records that it was proved that nothing was sent.
    pub(super) fn not_sent(mut self) {
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

fn is_recent(id: &str) -> bool {
    let now = unix_ms();
    created_unix_ms(id).is_some_and(|created| {
        created.saturating_add(MAX_ATTEMPT_AGE_MS) >= now && created <= now + MAX_AHEAD_MS
    })
}
