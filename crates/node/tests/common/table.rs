//! A table with faults on the rows of jobs, or on all rows.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_store::MemoryStore;
use nutmegwalk_store::Row;
use nutmegwalk_store::TableStore;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;
use nutmegwalk_store::Write;

#[derive(Default)]
pub struct FaultyTable {
    /// Content of the table; access through it bypasses the faults.
    pub memory: Rc<MemoryStore>,
    /// Whether every request is refused.
    pub unavailable: Cell<bool>,
    /// Whether writes of jobs wait before they take effect.
    pub hold_writes: Cell<bool>,
    /// Whether reads of jobs wait after their content was read.
    pub hold_reads: Cell<bool>,
    /// Reads of jobs that have waited so far.
    pub held_reads: Cell<u32>,
    /// Number of further writes of jobs that take effect but whose answer is lost.
    pub lost_answers: Cell<u32>,
    /// Number of writes of jobs that took effect.
    pub job_writes: Cell<u32>,
}

impl FaultyTable {
    fn check_available(&self) -> Result<()> {
        if self.unavailable.get() {
            return Err(Error::new(ErrorKind::StoreUnavailable, "unavailable"));
        }
        Ok(())
    }
}

async fn wait_while_set(flag: &Cell<bool>) {
    while flag.get() {
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

impl TableStore for FaultyTable {
    fn transact<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<TransactionOutcome>> {
        async move {
            let is_job = transaction
                .writes
                .iter()
                .any(|write| matches!(write, Write::Put { key, .. } if key.starts_with("job/")));
            if is_job {
                wait_while_set(&self.hold_writes).await;
            }
            self.check_available()?;
            let outcome = self.memory.apply(transaction);
            if is_job && matches!(outcome, TransactionOutcome::Committed { .. }) {
                self.job_writes.set(self.job_writes.get() + 1);
                if self.lost_answers.get() > 0 {
                    self.lost_answers.set(self.lost_answers.get() - 1);
                    return Err(Error::new(ErrorKind::StoreUnknown, "the answer was lost"));
                }
            }
            Ok(outcome)
        }
        .boxed_local()
    }

    fn get<'a>(&'a self, keys: &'a [Box<str>]) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>>> {
        async move {
            self.check_available()?;
            let rows = self.memory.read(keys);
            if self.hold_reads.get() && keys.iter().any(|key| key.starts_with("job/")) {
                self.held_reads.set(self.held_reads.get() + 1);
                wait_while_set(&self.hold_reads).await;
            }
            Ok(rows)
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
