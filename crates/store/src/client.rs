//! The store client that all processes use.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use crate::CircuitBreaker;
use crate::Counters;
use crate::MAX_TRANSACTION_WRITES;
use crate::ObjectStore;
use crate::RateLimits;
use crate::RequestClass;
use crate::Row;
use crate::StoreClock;
use crate::TableStore;
use crate::Transaction;
use crate::TransactionOutcome;
use crate::batch;
use crate::batch_item::BatchItem;
use crate::batch_item::BatchKeys;
use crate::rate_limit::TokenBuckets;
use crate::request_class::SharedCounters;
use crate::tag;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::backoff::Backoff;

/// Time for which transactions are collected into one batch.
const BATCH_WINDOW: Duration = Duration::from_millis(2);
/// Maximum number of batches in flight per request class; further transactions wait and form larger batches.
const MAX_BATCHES_IN_FLIGHT: usize = 4;
/// Maximum number of transactions per request class that wait for a batch; further transactions are rejected, which
/// bounds the memory use during an outage.
const MAX_QUEUED_TRANSACTIONS: usize = 10_000;

/// Timeouts and delays of a [`StoreClient`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientTimings {
    /// Timeout of one attempt. It leaves time for a read-back within the deadline after a lost response.
    pub attempt_timeout: Duration,
    /// Longest delay between two probes of a store that does not answer.
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

/// Client that batches, rate-limits and retries requests to the store; clones share all state.
#[derive(Clone)]
pub struct StoreClient {
    inner: Rc<Inner>,
}

pub(crate) struct Inner {
    table: Rc<dyn TableStore>,
    objects: Rc<dyn ObjectStore>,
    queues: [Queue; 4],
    breaker: RefCell<CircuitBreaker>,
    write_buckets: RefCell<TokenBuckets>,
    read_buckets: RefCell<TokenBuckets>,
    counters: SharedCounters,
    timings: ClientTimings,
}

#[derive(Default)]
struct Queue {
    waiting: RefCell<VecDeque<BatchItem>>,
    is_collecting: Cell<bool>,
    batches_in_flight: Cell<usize>,
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

    /// Creates a client with the given rate limits.
    #[must_use]
    pub fn with_rate_limits(
        table: Rc<dyn TableStore>,
        objects: Rc<dyn ObjectStore>,
        rate_limits: RateLimits,
    ) -> Self {
        Self::with_settings(table, objects, rate_limits, ClientTimings::default())
    }

    /// Creates a client with the given rate limits and timings.
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
                breaker: RefCell::new(CircuitBreaker::with_max_probe_delay(
                    timings.max_probe_delay,
                )),
                write_buckets: RefCell::new(TokenBuckets::new(rate_limits.writes_per_second, now)),
                read_buckets: RefCell::new(TokenBuckets::new(rate_limits.reads_per_second, now)),
                counters: SharedCounters::default(),
                timings,
            }),
        }
    }

    /// Runs `transaction` and returns its outcome.
    ///
    /// The transaction may share a batch with independent transactions of the same request class, except for
    /// ownership. Rows that are JSON objects are stored with a `writer` field, which [`StoreClient::get`] and
    /// [`StoreClient::scan`] remove. If no written row is a JSON object, an unknown outcome can only be resolved by
    /// a retry.
    ///
    /// # Errors
    /// `store_unavailable` when nothing was written and nothing will be written later; `store_unknown` when a write
    /// may have taken effect; `bad_request` when the transaction is too large.
    pub async fn transact(
        &self,
        class: RequestClass,
        transaction: &Transaction,
        deadline: Duration,
    ) -> Result<TransactionOutcome> {
        if transaction.writes.len() > MAX_TRANSACTION_WRITES {
            let detail = format!("{} writes in one transaction", transaction.writes.len());
            return Err(Error::new(ErrorKind::BadRequest, detail));
        }
        let (item, pending) = BatchItem::new(transaction, Instant::now() + deadline);
        if class == RequestClass::Ownership {
            // Ownership requests neither wait for a batch nor count against the batches in flight.
            let inner = Rc::clone(&self.inner);
            compio::runtime::spawn(async move { batch::run(&inner, class, vec![item]).await })
                .detach();
        } else {
            let queue = self.inner.queue(class);
            if queue.waiting.borrow().len() >= MAX_QUEUED_TRANSACTIONS {
                let detail = format!(
                    "too many transactions of request class {} are queued",
                    class.name()
                );
                return Err(Error::new(ErrorKind::StoreUnavailable, detail));
            }
            queue.waiting.borrow_mut().push_back(item);
            Inner::start_batch(&self.inner, class);
        }
        let result = match compio::time::timeout(deadline, pending.result()).await {
            Ok(result) => result,
            Err(_) => Err(pending.abandon()),
        };
        if matches!(result, Ok(TransactionOutcome::Committed { .. })) {
            self.inner
                .counters
                .update(class, |counters| counters.committed += 1);
        }
        result
    }

    /// Reads rows, in the order of `keys`.
    ///
    /// # Errors
    /// `store_unavailable` when the store does not answer within `deadline`.
    pub async fn get(
        &self,
        class: RequestClass,
        keys: &[Box<str>],
        deadline: Duration,
    ) -> Result<Vec<Option<Row>>> {
        let until = Instant::now() + deadline;
        let table = &self.inner.table;
        let mut rows = self.inner.read(class, until, || table.get(keys)).await?;
        rows.iter_mut().flatten().for_each(tag::strip);
        Ok(rows)
    }

    /// Reads at most `limit` rows whose key starts with `prefix` and is greater than `after`.
    ///
    /// # Errors
    /// `store_unavailable` when the store does not answer within `deadline`.
    pub async fn scan(
        &self,
        class: RequestClass,
        prefix: &str,
        after: &str,
        limit: usize,
        deadline: Duration,
    ) -> Result<Vec<Row>> {
        let until = Instant::now() + deadline;
        let table = &self.inner.table;
        let read = || table.scan(prefix, after, limit);
        let mut rows = self.inner.read(class, until, read).await?;
        rows.iter_mut().for_each(tag::strip);
        Ok(rows)
    }

    /// Writes an object. Objects are immutable, so a retry after a lost response is harmless.
    ///
    /// # Errors
    /// `store_unavailable` when nothing was written, `store_unknown` when the object may have been written.
    pub async fn put_object(
        &self,
        class: RequestClass,
        name: &str,
        content: Bytes,
        deadline: Duration,
    ) -> Result<()> {
        let until = Instant::now() + deadline;
        let objects = &self.inner.objects;
        let mut is_outcome_unknown = false;
        let mut backoff = new_backoff();
        loop {
            let result = match self.inner.admit_write(class, until).await {
                Ok(()) => {
                    let write = objects.put_object(name, content.clone());
                    self.inner
                        .run_with_timeout(class, write, until, ErrorKind::StoreUnknown)
                        .await
                }
                Err(error) if is_outcome_unknown => {
                    return Err(Error::new(ErrorKind::StoreUnknown, error.detail));
                }
                Err(error) => return Err(error),
            };
            match result {
                Ok(()) => return Ok(()),
                Err(error) if error.kind == ErrorKind::StoreUnknown => is_outcome_unknown = true,
                Err(error) if error.kind == ErrorKind::StoreUnavailable => {}
                Err(error) => return Err(error),
            }
            compio::time::sleep(backoff.next_delay()).await;
        }
    }

    /// Reads an object; returns `None` if it does not exist.
    ///
    /// # Errors
    /// `store_unavailable` when the store does not answer within `deadline`.
    pub async fn get_object(
        &self,
        class: RequestClass,
        name: &str,
        deadline: Duration,
    ) -> Result<Option<Bytes>> {
        let until = Instant::now() + deadline;
        let objects = &self.inner.objects;
        self.inner
            .read(class, until, || objects.get_object(name))
            .await
    }

    /// Returns the store's clock as reported in the latest response; `None` for a store that reports no clock.
    #[must_use]
    pub fn clock(&self) -> Option<StoreClock> {
        self.inner.table.clock()
    }

    /// Returns the counters of the requests sent so far, by request class.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.inner.counters.snapshot()
    }

    /// Returns whether the circuit breaker admits every request.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.inner.breaker.borrow().is_closed()
    }
}

fn new_backoff() -> Backoff {
    Backoff::new(Duration::from_millis(20), Duration::from_millis(500))
}

impl Inner {
    fn queue(&self, class: RequestClass) -> &Queue {
        &self.queues[class.index()]
    }

    /// Starts a batch of the waiting transactions unless the maximum number of batches is in flight.
    fn start_batch(self: &Rc<Self>, class: RequestClass) {
        let queue = self.queue(class);
        if queue.is_collecting.get()
            || queue.batches_in_flight.get() >= MAX_BATCHES_IN_FLIGHT
            || queue.waiting.borrow().is_empty()
        {
            return;
        }
        queue.is_collecting.set(true);
        queue
            .batches_in_flight
            .set(queue.batches_in_flight.get() + 1);
        let inner = Rc::clone(self);
        compio::runtime::spawn(async move {
            compio::time::sleep(BATCH_WINDOW).await;
            let queue = inner.queue(class);
            let keys = BatchKeys::new(inner.table.counts_conditions());
            let items = next_batch(&mut queue.waiting.borrow_mut(), keys);
            queue.is_collecting.set(false);
            Self::start_batch(&inner, class);
            batch::run(&inner, class, items).await;
            queue
                .batches_in_flight
                .set(queue.batches_in_flight.get() - 1);
            Self::start_batch(&inner, class);
        })
        .detach();
    }

    /// Returns the earliest instant at which the breaker admits a request.
    pub(crate) fn next_attempt_at(&self, class: RequestClass) -> Instant {
        let now = Instant::now();
        now + self.breaker.borrow().wait_time(class, now)
    }

    /// Waits until the breaker and the rate limit for writes admit a request, and counts it.
    pub(crate) async fn admit_write(&self, class: RequestClass, until: Instant) -> Result<()> {
        self.admit(class, &self.write_buckets, until).await?;
        self.counters.update(class, |counters| counters.writes += 1);
        Ok(())
    }

    /// Waits until the breaker and `buckets` admit a request; fails if that would be later than `until`.
    async fn admit(
        &self,
        class: RequestClass,
        buckets: &RefCell<TokenBuckets>,
        until: Instant,
    ) -> Result<()> {
        loop {
            let now = Instant::now();
            let wait_time = self
                .breaker
                .borrow()
                .wait_time(class, now)
                .max(buckets.borrow_mut().wait_time(class, now));
            if now >= until || now + wait_time > until {
                // Waiting cannot succeed before the deadline, so the caller is notified immediately that nothing
                // was sent.
                let detail = format!(
                    "the store is not available for request class {}",
                    class.name()
                );
                let retry_after_ms = u64::try_from(wait_time.as_millis()).unwrap_or(u64::MAX);
                return Err(Error::new(ErrorKind::StoreUnavailable, detail)
                    .with_retry_after_ms(retry_after_ms));
            }
            if wait_time.is_zero() {
                self.breaker.borrow_mut().record_start(now);
                buckets.borrow_mut().take(class);
                return Ok(());
            }
            compio::time::sleep(wait_time).await;
        }
    }

    /// Runs one admitted request within the attempt timeout and reports its result to the circuit breaker.
    async fn run_with_timeout<T>(
        &self,
        class: RequestClass,
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
            self.breaker.borrow_mut().record_failure(now);
            self.counters
                .update(class, |counters| counters.failures += 1);
        } else {
            self.breaker.borrow_mut().record_success(now);
        }
        result
    }

    /// Sends an admitted transaction once.
    pub(crate) async fn send_transaction(
        &self,
        class: RequestClass,
        transaction: &Transaction,
        until: Instant,
    ) -> Result<TransactionOutcome> {
        let request = self.table.transact(transaction);
        self.run_with_timeout(class, request, until, ErrorKind::StoreUnknown)
            .await
    }

    /// Reads rows without removing their writer tags.
    pub(crate) async fn read_rows(
        &self,
        class: RequestClass,
        keys: &[Box<str>],
        until: Instant,
    ) -> Result<Vec<Option<Row>>> {
        self.read(class, until, || self.table.get(keys)).await
    }

    async fn read<T, F: Future<Output = Result<T>>>(
        &self,
        class: RequestClass,
        until: Instant,
        request: impl Fn() -> F,
    ) -> Result<T> {
        let mut backoff = new_backoff();
        loop {
            self.admit(class, &self.read_buckets, until).await?;
            self.counters.update(class, |counters| counters.reads += 1);
            let result = self
                .run_with_timeout(class, request(), until, ErrorKind::StoreUnavailable)
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

/// Removes items from the head of the queue, up to the first one that depends on one of them or does not fit into the
/// batch, which is empty at first.
fn next_batch(waiting: &mut VecDeque<BatchItem>, mut keys: BatchKeys) -> Vec<BatchItem> {
    let mut items = Vec::new();
    while let Some(item) = waiting.front() {
        if !keys.try_add(item) {
            break;
        }
        items.extend(waiting.pop_front());
    }
    items
}
