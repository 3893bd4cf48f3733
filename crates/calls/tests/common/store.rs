//! A store with injected faults, a configurable latency and a limit on the rate of writes.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_store::MemoryStore;
use nutmegwalk_store::ObjectStore;
use nutmegwalk_store::Row;
use nutmegwalk_store::TableStore;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;

/// Fault of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// The request is refused.
    Down,
    /// The request takes effect, but its answer is lost.
    LoseAnswer,
    /// The request is lost, with the same error as a lost answer.
    LoseRequest,
    /// The request never returns.
    Hang,
}

#[derive(Default)]
pub struct FaultyStore {
    pub memory: MemoryStore,
    pub latency: Cell<Duration>,
    /// Minimum time between two transactions; zero for no limit.
    pub write_interval: Cell<Duration>,
    pub transactions: Cell<u64>,
    pub write_faults: RefCell<VecDeque<Option<StoreFault>>>,
    pub default_fault: Cell<Option<StoreFault>>,
    next_write: Cell<Option<Instant>>,
}

impl FaultyStore {
    pub fn fail_writes(&self, faults: &[Option<StoreFault>]) {
        self.write_faults.borrow_mut().extend(faults);
    }

    async fn wait_for_latency(&self) {
        if !self.latency.get().is_zero() {
            compio::time::sleep(self.latency.get()).await;
        }
    }

    async fn wait_for_write(&self) {
        if !self.write_interval.get().is_zero() {
            let now = Instant::now();
            let start = self.next_write.get().map_or(now, |next| next.max(now));
            self.next_write.set(Some(start + self.write_interval.get()));
            compio::time::sleep(start - now).await;
        }
        self.wait_for_latency().await;
    }

    fn fault(&self) -> Option<StoreFault> {
        let scripted = self.write_faults.borrow_mut().pop_front();
        scripted.flatten().or(self.default_fault.get())
    }
}

fn down() -> Error {
    Error::new(ErrorKind::StoreUnavailable, "the store is down")
}

fn answer_lost() -> Error {
    Error::new(ErrorKind::StoreUnknown, "the answer of the store was lost")
}

impl TableStore for FaultyStore {
    fn transact<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<TransactionOutcome>> {
        async move {
            self.transactions.set(self.transactions.get() + 1);
            let fault = self.fault();
            self.wait_for_write().await;
            match fault {
                None => Ok(self.memory.apply(transaction)),
                Some(StoreFault::Down) => Err(down()),
                Some(StoreFault::LoseAnswer) => {
                    self.memory.apply(transaction);
                    Err(answer_lost())
                }
                Some(StoreFault::LoseRequest) => Err(answer_lost()),
                Some(StoreFault::Hang) => std::future::pending().await,
            }
        }
        .boxed_local()
    }

    fn get<'a>(&'a self, keys: &'a [Box<str>]) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>>> {
        async move {
            self.wait_for_latency().await;
            match self.default_fault.get() {
                Some(StoreFault::Down) => Err(down()),
                _ => Ok(self.memory.read(keys)),
            }
        }
        .boxed_local()
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>>> {
        async move { Ok(self.memory.read_range(prefix, after, limit)) }.boxed_local()
    }
}

impl ObjectStore for FaultyStore {
    fn put_object<'a>(&'a self, name: &'a str, content: Bytes) -> LocalBoxFuture<'a, Result<()>> {
        async move {
            self.memory.write_object(name, content);
            Ok(())
        }
        .boxed_local()
    }

    fn get_object<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<Option<Bytes>>> {
        async move { Ok(self.memory.read_object(name)) }.boxed_local()
    }
}
