//! Access to the store on behalf of one request class, with a fixed deadline per request.

use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use nutmegwalk_base::Result;
use nutmegwalk_store::ObjectStore;
use nutmegwalk_store::RequestClass;
use nutmegwalk_store::Row;
use nutmegwalk_store::StoreClient;
use nutmegwalk_store::TableStore;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;

/// Table and object store that attributes each request to one request class and bounds it by a deadline.
#[derive(Clone)]
pub struct RequestClassStore {
    client: StoreClient,
    class: RequestClass,
    deadline: Duration,
}

impl RequestClassStore {
    /// Creates the store for requests of `class`, which time out after `deadline`.
    #[must_use]
    pub fn new(client: StoreClient, class: RequestClass, deadline: Duration) -> Self {
        Self {
            client,
            class,
            deadline,
        }
    }
}

impl TableStore for RequestClassStore {
    fn transact<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<TransactionOutcome>> {
        self.client
            .transact(self.class, transaction, self.deadline)
            .boxed_local()
    }

    fn get<'a>(&'a self, keys: &'a [Box<str>]) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>>> {
        self.client
            .get(self.class, keys, self.deadline)
            .boxed_local()
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>>> {
        self.client
            .scan(self.class, prefix, after, limit, self.deadline)
            .boxed_local()
    }
}

impl ObjectStore for RequestClassStore {
    fn put_object<'a>(&'a self, name: &'a str, content: Bytes) -> LocalBoxFuture<'a, Result<()>> {
        self.client
            .put_object(self.class, name, content, self.deadline)
            .boxed_local()
    }

    fn get_object<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<Option<Bytes>>> {
        self.client
            .get_object(self.class, name, self.deadline)
            .boxed_local()
    }
}
