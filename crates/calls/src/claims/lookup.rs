//! Batched reads of claims: reads that wait at the same time share one request.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::oneshot;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_store::Row;
use nutmegwalk_store::TableStore;

/// Maximum number of rows per request.
const MAX_ROWS: usize = 100;
/// Timeout of a request, so that a store that does not answer does not block later reads.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

type Waiter = (Box<str>, oneshot::Sender<Result<Option<Row>>>);

/// Reads rows of the table with one request at a time.
pub(super) struct Lookup {
    store: Rc<dyn TableStore>,
    waiting: RefCell<VecDeque<Waiter>>,
    is_reading: Cell<bool>,
    reads: Cell<u64>,
}

impl Lookup {
    /// Creates a reader of the rows in `store`.
    pub(super) fn new(store: Rc<dyn TableStore>) -> Self {
        Self {
            store,
            waiting: RefCell::default(),
            is_reading: Cell::new(false),
            reads: Cell::new(0),
        }
    }

    /// Returns the number of requests sent since the reader was created.
    pub(super) fn reads(&self) -> u64 {
        self.reads.get()
    }

    /// Reads one row; `None` when it does not exist.
    ///
    /// # Errors
    /// The errors of the store, and `store_unavailable` when the store did not answer before `deadline`.
    pub(super) async fn read(
        self: &Rc<Self>,
        key: Box<str>,
        deadline: Instant,
    ) -> Result<Option<Row>> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push_back((key, sender));
        if !self.is_reading.replace(true) {
            let lookup = Rc::clone(self);
            compio::runtime::spawn(async move { lookup.read_all().await }).detach();
        }
        let time_left = deadline.saturating_duration_since(Instant::now());
        match compio::time::timeout(time_left, receiver).await {
            Ok(Some(result)) => result,
            Ok(None) | Err(_) => Err(unavailable("the store did not answer in time")),
        }
    }

    /// Reads the waiting rows in batches until none is waiting.
    async fn read_all(&self) {
        loop {
            let group: Vec<Waiter> = {
                let mut waiting = self.waiting.borrow_mut();
                waiting.retain(|(_, sender)| !sender.is_canceled());
                let length = waiting.len().min(MAX_ROWS);
                waiting.drain(..length).collect()
            };
            if group.is_empty() {
                self.is_reading.set(false);
                return;
            }
            self.reads.set(self.reads.get() + 1);
            let keys: Vec<Box<str>> = group.iter().map(|(key, _)| key.clone()).collect();
            let read = compio::time::timeout(REQUEST_TIMEOUT, self.store.get(&keys)).await;
            let result = match read {
                Ok(Ok(rows)) if rows.len() == group.len() => Ok(rows),
                Ok(Ok(_)) => Err(unavailable("the answer of the store lacks rows")),
                Ok(Err(error)) => Err(error),
                Err(_) => Err(unavailable("the store did not answer in time")),
            };
            match result {
                Ok(rows) => {
                    for ((_, sender), row) in group.into_iter().zip(rows) {
                        let _ = sender.send(Ok(row));
                    }
                }
                Err(error) => {
                    for (_, sender) in group {
                        let _ = sender.send(Err(error.clone()));
                    }
                }
            }
        }
    }
}

fn unavailable(detail: &str) -> Error {
    Error::new(ErrorKind::StoreUnavailable, detail)
}
