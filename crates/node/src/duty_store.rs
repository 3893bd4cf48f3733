//! Access to the store on behalf of one duty, with a fixed deadline per request.

use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use nutmegwalk_base::Result;
use nutmegwalk_store::Duty;
use nutmegwalk_store::ObjectStore;
use nutmegwalk_store::Row;
use nutmegwalk_store::StoreClient;
use nutmegwalk_store::TableStore;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;

/// Table and object store that attributes each request to one duty and bounds it by a deadline.
#[derive(Clone)]
pub struct DutyStore {
    client: StoreClient,
    duty: Duty,
    deadline: Duration,
}

impl DutyStore {
    /// Creates the store of `duty`, whose requests time out after `deadline`.
    #[must_use]
    pub fn new(client: StoreClient, duty: Duty, deadline: Duration) -> Self {
        Self {
            client,
            duty,
            deadline,
        }
    }
}

impl TableStore for DutyStore {
    fn transact<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<TransactionOutcome>> {
        self.client
            .transact(self.duty, transaction, self.deadline)
            .boxed_local()
    }

    fn get<'a>(&'a self, keys: &'a [Box<str>]) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>>> {
        self.client
            .get(self.duty, keys, self.deadline)
            .boxed_local()
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>>> {
        self.client
            .scan(self.duty, prefix, after, limit, self.deadline)
            .boxed_local()
    }
}

impl ObjectStore for DutyStore {
    fn put_object<'a>(&'a self, name: &'a str, content: Bytes) -> LocalBoxFuture<'a, Result<()>> {
        self.client
            .put_object(self.duty, name, content, self.deadline)
            .boxed_local()
    }

    fn get_object<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<Option<Bytes>>> {
        self.client
            .get_object(self.duty, name, self.deadline)
            .boxed_local()
    }
}
