//! The store client that all processes use.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use crate::Breaker;
use crate::Counters;
use crate::Duty;
use crate::MAX_TRANSACTION_WRITES;
use crate::ObjectStore;
use crate::RateLimits;
use crate::Row;
use crate::StoreClock;
use crate::TableStore;
use crate::Transaction;
use crate::TransactionOutcome;
use crate::batch;
use crate::budget::Buckets;
use crate::duty::CounterCell;
use crate::part::BatchKeys;
use crate::part::Part;
use crate::tag;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::backoff::Backoff;

/// Time for which transactions are gathered into one.
const BATCH_WINDOW: Duration = Duration::from_millis(2);
/// Batches of one duty in flight at once; more transactions wait and make larger batches.
const MAX_BATCHES: usize = 4;
/// Transactions of one duty that wait for a batch; more are refused to bound the memory in an outage.
const MAX_WAITING: usize = 10_000;

/// Lengths of time of a client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientTimings {
    /// Time for one attempt, so that a lost answer leaves time for a read-back within the deadline.
    pub attempt_timeout: Duration,
    /// Longest delay between two attempts to reach a store that does not answer.
    pub max_probe_delay: Duration,
}

impl Default for ClientTimings {
    fn default() -> Self {
        Self {
            attempt_timeout: Duration::from_secs(2),
            max_probe_delay: Duration::from_secs(5),
        }
    }
}

/// Batches, paces and repeats requests to the store; clones share everything.
#[derive(Clone)]
pub struct StoreClient {
    inner: Rc<Inner>,
}

pub(crate) struct Inner {
    table: Rc<dyn TableStore>,
    objects: Rc<dyn ObjectStore>,
    queues: [Queue; 4],
    breaker: RefCell<Breaker>,
    write_buckets: RefCell<Buckets>,
    read_buckets: RefCell<Buckets>,
    counters: CounterCell,
    timings: ClientTimings,
}

#[derive(Default)]
struct Queue {
    waiting: RefCell<VecDeque<Part>>,
    gathering: Cell<bool>,
    batches: Cell<usize>,
}

impl StoreClient {
    /// Creates a client with the default rate limits.
    #[must_use]
    pub fn new(table: Rc<dyn TableStore>, objects: Rc<dyn ObjectStore>) -> Self {
        Self::with_settings(
            table,
            objects,
            RateLimits::default(),
            ClientTimings::default(),
        )
    }

    /// Creates a client with its own rate limits.
    #[must_use]
    pub fn with_rate_limits(
        table: Rc<dyn TableStore>,
        objects: Rc<dyn ObjectStore>,
        rate_limits: RateLimits,
    ) -> Self {
        Self::with_settings(table, objects, rate_limits, ClientTimings::default())
    }

    /// Creates a client with its own rate limits and lengths of time.
    #[must_use]
    pub fn with_settings(
        table: Rc<dyn TableStore>,
        objects: Rc<dyn ObjectStore>,
        rate_limits: RateLimits,
        timings: ClientTimings,
    ) -> Self {
        let now = Instant::now();
        Self {
            inner: Rc::new(Inner {
                table,
                objects,
                queues: Default::default(),
                breaker: RefCell::new(Breaker::with_max_probe_delay(timings.max_probe_delay)),
                write_buckets: RefCell::new(Buckets::new(rate_limits.writes_per_second, now)),
                read_buckets: RefCell::new(Buckets::new(rate_limits.reads_per_second, now)),
                counters: CounterCell::default(),
                timings,
            }),
        }
    }

    /// Runs `transaction` and returns what became of it.
    ///
    /// It shares a batch with independent transactions of the same duty. Rows that are JSON objects get
    /// a `writer` field, which [`StoreClient::get`] and [`StoreClient::scan`] take out again; without
    /// such a row an unknown outcome can only be resolved by a repeat.
    ///
    /// # Errors
    /// `store_unavailable` when nothing was written and nothing will be; `store_unknown` when a write may
    /// have taken effect; `bad_request` when the transaction is too large.
    pub async fn transact(
        &self,
        duty: Duty,
        transaction: &Transaction,
        deadline: Duration,
    ) -> Result<TransactionOutcome> {
        if transaction.writes.len() > MAX_TRANSACTION_WRITES {
            let detail = format!("{} writes in one transaction", transaction.writes.len());
            return Err(Error::new(ErrorKind::BadRequest, detail));
        }
        let (part, ticket) = Part::new(transaction, Instant::now() + deadline);
        if duty == Duty::Ownership {
            // Ownership is neither delayed for a batch nor limited by the batches in flight.
            let inner = Rc::clone(&self.inner);
            compio::runtime::spawn(async move { batch::run(&inner, duty, vec![part]).await })
                .detach();
        } else {
            let queue = self.inner.queue(duty);
            if queue.waiting.borrow().len() >= MAX_WAITING {
                let detail = format!("too many writes wait for {}", duty.name());
                return Err(Error::new(ErrorKind::StoreUnavailable, detail));
            }
            queue.waiting.borrow_mut().push_back(part);
            Inner::start_batch(&self.inner, duty);
        }
        let result = match compio::time::timeout(deadline, ticket.result()).await {
            Ok(result) => result,
            Err(_) => Err(ticket.deadline_error()),
        };
        if matches!(result, Ok(TransactionOutcome::Committed { .. })) {
            self.inner
                .counters
                .update(duty, |counters| counters.committed += 1);
        }
        result
    }

    /// Reads rows, in the order of `keys`.
    ///
    /// # Errors
    /// `store_unavailable` when the store does not answer within `deadline`.
    pub async fn get(
        &self,
        duty: Duty,
        keys: &[Box<str>],
        deadline: Duration,
    ) -> Result<Vec<Option<Row>>> {
        let until = Instant::now() + deadline;
        let table = &self.inner.table;
        let mut rows = self.inner.read(duty, until, || table.get(keys)).await?;
        rows.iter_mut().flatten().for_each(tag::strip);
        Ok(rows)
    }

    /// Reads at most `limit` rows whose key starts with `prefix` and is greater than `after`.
    ///
    /// # Errors
    /// `store_unavailable` when the store does not answer within `deadline`.
    pub async fn scan(
        &self,
        duty: Duty,
        prefix: &str,
        after: &str,
        limit: usize,
        deadline: Duration,
    ) -> Result<Vec<Row>> {
        let until = Instant::now() + deadline;
        let table = &self.inner.table;
        let read = || table.scan(prefix, after, limit);
        let mut rows = self.inner.read(duty, until, read).await?;
        rows.iter_mut().for_each(tag::strip);
        Ok(rows)
    }

    /// Writes an object. Objects are immutable, so a repeat after a lost answer is harmless.
    ///
    /// # Errors
    /// `store_unavailable` when nothing was written, `store_unknown` when the object may be there.
    pub async fn put_object(
        &self,
        duty: Duty,
        name: &str,
        content: Bytes,
        deadline: Duration,
    ) -> Result<()> {
        let until = Instant::now() + deadline;
        let objects = &self.inner.objects;
        let mut unknown = false;
        let mut backoff = new_backoff();
        loop {
            let result = match self.inner.admit_write(duty, until).await {
                Ok(()) => {
                    let write = objects.put_object(name, content.clone());
                    self.inner
                        .bounded(duty, write, until, ErrorKind::StoreUnknown)
                        .await
                }
                Err(error) if unknown => {
                    return Err(Error::new(ErrorKind::StoreUnknown, error.detail));
                }
                Err(error) => return Err(error),
            };
            match result {
                Ok(()) => return Ok(()),
                Err(error) if error.kind == ErrorKind::StoreUnknown => unknown = true,
                Err(error) if error.kind == ErrorKind::StoreUnavailable => {}
                Err(error) => return Err(error),
            }
            compio::time::sleep(backoff.next_delay()).await;
        }
    }

    /// Reads an object, if there is one.
    ///
    /// # Errors
    /// `store_unavailable` when the store does not answer within `deadline`.
    pub async fn get_object(
        &self,
        duty: Duty,
        name: &str,
        deadline: Duration,
    ) -> Result<Option<Bytes>> {
        let until = Instant::now() + deadline;
        let objects = &self.inner.objects;
        self.inner
            .read(duty, until, || objects.get_object(name))
            .await
    }

    /// Returns the store's clock as the last answer showed it; `None` for a store that shows none.
    #[must_use]
    pub fn clock(&self) -> Option<StoreClock> {
        self.inner.table.clock()
    }

    /// Returns the reads and writes sent so far, by duty.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.inner.counters.snapshot()
    }

    /// Returns whether the circuit breaker lets every request through.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.inner.breaker.borrow().is_closed()
    }
}

fn new_backoff() -> Backoff {
    Backoff::new(Duration::from_millis(20), Duration::from_millis(500))
}

impl Inner {
    fn queue(&self, duty: Duty) -> &Queue {
        &self.queues[duty.index()]
    }

    /// Starts a batch of the waiting transactions unless enough are in flight.
    fn start_batch(self: &Rc<Self>, duty: Duty) {
        let queue = self.queue(duty);
        if queue.gathering.get()
            || queue.batches.get() >= MAX_BATCHES
            || queue.waiting.borrow().is_empty()
        {
            return;
        }
        queue.gathering.set(true);
        queue.batches.set(queue.batches.get() + 1);
        let inner = Rc::clone(self);
        compio::runtime::spawn(async move {
            compio::time::sleep(BATCH_WINDOW).await;
            let queue = inner.queue(duty);
            let parts = take_batch(&mut queue.waiting.borrow_mut());
            queue.gathering.set(false);
            Self::start_batch(&inner, duty);
            batch::run(&inner, duty, parts).await;
            queue.batches.set(queue.batches.get() - 1);
            Self::start_batch(&inner, duty);
        })
        .detach();
    }

    /// Returns the earliest time at which the breaker lets a request through.
    pub(crate) fn next_attempt(&self, duty: Duty) -> Instant {
        let now = Instant::now();
        now + self.breaker.borrow().wait(duty, now)
    }

    /// Waits until the breaker and the budget of writes admit a request, and counts it.
    pub(crate) async fn admit_write(&self, duty: Duty, until: Instant) -> Result<()> {
        self.admit(duty, &self.write_buckets, until).await?;
        self.counters.update(duty, |counters| counters.writes += 1);
        Ok(())
    }

    async fn admit(&self, duty: Duty, buckets: &RefCell<Buckets>, until: Instant) -> Result<()> {
        loop {
            let now = Instant::now();
            let wait = self
                .breaker
                .borrow()
                .wait(duty, now)
                .max(buckets.borrow_mut().wait(duty, now));
            if now >= until || now + wait > until {
                // Waiting longer cannot help, so the caller learns at once that nothing was sent.
                let detail = format!("the store is not available to {}", duty.name());
                let retry_after_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
                return Err(Error::new(ErrorKind::StoreUnavailable, detail)
                    .with_retry_after_ms(retry_after_ms));
            }
            if wait.is_zero() {
                self.breaker.borrow_mut().start(now);
                buckets.borrow_mut().take(duty);
                return Ok(());
            }
            compio::time::sleep(wait).await;
        }
    }

    /// Runs one admitted request within the attempt's time and tells the breaker how it went.
    async fn bounded<T>(
        &self,
        duty: Duty,
        request: impl Future<Output = Result<T>>,
        until: Instant,
        timeout_kind: ErrorKind,
    ) -> Result<T> {
        let remaining = until.saturating_duration_since(Instant::now());
        let limit = self.timings.attempt_timeout.min(remaining.mul_f64(0.7));
        let result = match compio::time::timeout(limit, request).await {
            Ok(result) => result,
            Err(_) => {
                let detail = format!("the store did not answer in {limit:?}");
                Err(Error::new(timeout_kind, detail))
            }
        };
        let failed = result.as_ref().is_err_and(|error| {
            matches!(
                error.kind,
                ErrorKind::StoreUnavailable | ErrorKind::StoreUnknown
            )
        });
        let now = Instant::now();
        if failed {
            self.breaker.borrow_mut().failed(now);
            self.counters
                .update(duty, |counters| counters.failures += 1);
        } else {
            self.breaker.borrow_mut().succeeded(now);
        }
        result
    }

    /// Sends an admitted transaction once.
    pub(crate) async fn send_transaction(
        &self,
        duty: Duty,
        transaction: &Transaction,
        until: Instant,
    ) -> Result<TransactionOutcome> {
        let request = self.table.transact(transaction);
        self.bounded(duty, request, until, ErrorKind::StoreUnknown)
            .await
    }

    /// Reads rows with their writer tags.
    pub(crate) async fn read_rows(
        &self,
        duty: Duty,
        keys: &[Box<str>],
        until: Instant,
    ) -> Result<Vec<Option<Row>>> {
        self.read(duty, until, || self.table.get(keys)).await
    }

    async fn read<T, F: Future<Output = Result<T>>>(
        &self,
        duty: Duty,
        until: Instant,
        request: impl Fn() -> F,
    ) -> Result<T> {
        let mut backoff = new_backoff();
        loop {
            self.admit(duty, &self.read_buckets, until).await?;
            self.counters.update(duty, |counters| counters.reads += 1);
            let result = self
                .bounded(duty, request(), until, ErrorKind::StoreUnavailable)
                .await;
            match result {
                Err(error) if error.kind == ErrorKind::StoreUnavailable => {
                    if Instant::now() >= until {
                        return Err(error);
                    }
                    compio::time::sleep(backoff.next_delay()).await;
                }
                result => return result,
            }
        }
    }
}

/// Takes parts from the head of the queue up to the first that depends on one of them or does not fit.
fn take_batch(waiting: &mut VecDeque<Part>) -> Vec<Part> {
    let mut keys = BatchKeys::default();
    let mut parts = Vec::new();
    while let Some(part) = waiting.front() {
        if !keys.add(part) {
            break;
        }
        parts.extend(waiting.pop_front());
    }
    parts
}
