//! A store with scripted faults.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_store::MemoryStore;
use nutmegwalk_store::ObjectStore;
use nutmegwalk_store::Row;
use nutmegwalk_store::StoreClient;
use nutmegwalk_store::TableStore;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;

/// Fault injected into one transaction.
pub(crate) enum Fault {
    /// Nothing is written and the client receives an error that states this.
    Unavailable,
    /// The write takes effect, but its response is lost.
    LoseResponse,
    /// The write does not take effect, and the client receives an error that leaves the outcome open.
    LoseRequest,
    /// Same as `LoseResponse`; another writer then replaces the row.
    LoseResponseThenReplace(&'static str),
    /// Same as `LoseRequest`; another writer then replaces the row.
    LoseRequestThenReplace(&'static str),
    /// The request is never answered.
    Hang,
}

/// In-memory store that injects scripted faults into its transactions, in order.
#[derive(Default)]
pub(crate) struct FaultyStore {
    pub(crate) memory: MemoryStore,
    pub(crate) faults: RefCell<VecDeque<Fault>>,
    /// All requests fail while this is set.
    pub(crate) is_down: Cell<bool>,
    /// Delay of each transaction.
    pub(crate) delay: Cell<Duration>,
    /// Number of writes in each received transaction.
    pub(crate) transactions: RefCell<Vec<usize>>,
}

impl FaultyStore {
    pub(crate) fn with_faults(faults: impl IntoIterator<Item = Fault>) -> Rc<Self> {
        let store = Self::default();
        store.faults.borrow_mut().extend(faults);
        Rc::new(store)
    }

    pub(crate) fn client(self: &Rc<Self>) -> StoreClient {
        StoreClient::new(Rc::clone(self) as _, Rc::clone(self) as _)
    }

    pub(crate) fn value(&self, key: &str) -> Option<Box<str>> {
        self.memory
            .read(&[key.into()])
            .remove(0)
            .map(|row| row.value)
    }

    fn check_available(&self) -> Result<()> {
        if self.is_down.get() {
            return Err(Error::new(ErrorKind::StoreUnavailable, "down"));
        }
        Ok(())
    }

    fn replace(&self, key: &str) {
        self.memory
            .apply(&Transaction::new().with_put(key, r#"{"by":"other"}"#));
    }
}

impl TableStore for FaultyStore {
    fn transact<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<TransactionOutcome>> {
        async move {
            self.transactions
                .borrow_mut()
                .push(transaction.writes.len());
            self.check_available()?;
            if !self.delay.get().is_zero() {
                compio::time::sleep(self.delay.get()).await;
            }
            let fault = self.faults.borrow_mut().pop_front();
            let Some(fault) = fault else {
                return Ok(self.memory.apply(transaction));
            };
            match fault {
                Fault::Unavailable => return Err(Error::new(ErrorKind::StoreUnavailable, "down")),
                Fault::LoseResponse => {
                    self.memory.apply(transaction);
                }
                Fault::LoseRequest => {}
                Fault::LoseResponseThenReplace(key) => {
                    self.memory.apply(transaction);
                    self.replace(key);
                }
                Fault::LoseRequestThenReplace(key) => self.replace(key),
                Fault::Hang => std::future::pending().await,
            }
            Err(Error::new(ErrorKind::StoreUnknown, "lost"))
        }
        .boxed_local()
    }

    fn get<'a>(&'a self, keys: &'a [Box<str>]) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>>> {
        async move {
            self.check_available()?;
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
            self.check_available()?;
            Ok(self.memory.read_range(prefix, after, limit))
        }
        .boxed_local()
    }
}

impl ObjectStore for FaultyStore {
    fn put_object<'a>(&'a self, name: &'a str, content: Bytes) -> LocalBoxFuture<'a, Result<()>> {
        self.memory.put_object(name, content)
    }

    fn get_object<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<Option<Bytes>>> {
        self.memory.get_object(name)
    }
}
