//! Tests of [`Ownership::run`] against a table with injected faults.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_lease::LeaseTiming;
use nutmegwalk_lease::Ownership;
use nutmegwalk_lease::owner_key;
use nutmegwalk_store::MemoryStore;
use nutmegwalk_store::Row;
use nutmegwalk_store::StoreClient;
use nutmegwalk_store::TableStore;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;

/// Generous time limit for reaching an expected state.
const LIMIT: Duration = Duration::from_secs(60);
/// Shorter than in production, so that the tests do not wait long for takeovers.
const TIMING: LeaseTiming = LeaseTiming {
    lease: Duration::from_millis(800),
    margin: Duration::from_millis(100),
    renew_interval: Duration::from_millis(200),
    poll_interval: Duration::from_millis(100),
};

/// One process's connection to a shared table, with injected faults.
struct TableConnection {
    table: Rc<MemoryStore>,
    is_down: Cell<bool>,
    responses_to_lose: Cell<u32>,
    writes: Cell<u32>,
}

impl TableConnection {
    fn check_available(&self) -> Result<()> {
        if self.is_down.get() {
            return Err(Error::new(ErrorKind::StoreUnavailable, "down"));
        }
        Ok(())
    }
}

impl TableStore for TableConnection {
    fn transact<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<TransactionOutcome>> {
        async move {
            self.check_available()?;
            self.writes.set(self.writes.get() + 1);
            let outcome = self.table.apply(transaction);
            if self.responses_to_lose.get() > 0 {
                self.responses_to_lose.set(self.responses_to_lose.get() - 1);
                return Err(Error::new(ErrorKind::StoreUnknown, "lost"));
            }
            Ok(outcome)
        }
        .boxed_local()
    }

    fn get<'a>(&'a self, keys: &'a [Box<str>]) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>>> {
        async move {
            self.check_available()?;
            Ok(self.table.read(keys))
        }
        .boxed_local()
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>>> {
        self.table.scan(prefix, after, limit)
    }
}

struct Contender {
    connection: Rc<TableConnection>,
    ownership: Ownership,
    task: RefCell<Option<compio::runtime::JoinHandle<()>>>,
}

impl Contender {
    fn start(table: &Rc<MemoryStore>, name: &str) -> Self {
        Self::start_with(table, name, TIMING)
    }

    fn start_with(table: &Rc<MemoryStore>, name: &str, timing: LeaseTiming) -> Self {
        let connection = Rc::new(TableConnection {
            table: Rc::clone(table),
            is_down: Cell::new(false),
            responses_to_lose: Cell::new(0),
            writes: Cell::new(0),
        });
        let store = StoreClient::new(Rc::clone(&connection) as _, Rc::clone(table) as _);
        let ownership = Ownership::with_timing(store, "rezekne", name, "127.0.0.1:1", timing);
        let running = ownership.clone();
        let task = compio::runtime::spawn(async move { running.run().await });
        Self {
            connection,
            ownership,
            task: RefCell::new(Some(task)),
        }
    }

    fn epoch(&self) -> Option<u64> {
        self.ownership.current().map(|held| held.epoch)
    }

    /// Simulates a crash of the contender.
    fn crash(&self) {
        drop(self.task.take());
    }
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < LIMIT, "no {what}");
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() { compio::runtime::Runtime::new().unwrap().block_on(async $body) })*
    };
}

cases! {
    // Guards against a duty that remains without an owner after its holder has crashed.
    contender_takes_over_from_a_crashed_holder => {
        let table = Rc::new(MemoryStore::new());
        let first = Contender::start(&table, "a");
        wait_until("first holder", || first.epoch().is_some()).await;
        let epoch = first.epoch();
        let second = Contender::start(&table, "b");
        wait_until("holder seen", || second.ownership.lease_row().is_some()).await;
        first.crash();
        wait_until("takeover", || second.epoch().is_some()).await;
        assert_eq!(first.epoch(), None);
        assert!(second.epoch() > epoch);
        assert_eq!(&*second.ownership.lease_row().unwrap().holder, "b");
    }

    // Guards against a holder that stops renewing, or that renews without waiting for the interval.
    holder_renews_at_its_interval => {
        let table = Rc::new(MemoryStore::new());
        let first = Contender::start(&table, "a");
        let started = Instant::now();
        let renewal = || first.ownership.lease_row().map_or(0, |row| row.renewal);
        wait_until("fifth renewal", || renewal() >= 5).await;
        assert!(started.elapsed() >= TIMING.renew_interval * 3);
        assert!(first.connection.writes.get() <= 6);
    }

    // Guards against lost responses that end the lease or start a new epoch.
    lost_responses_keep_the_epoch => {
        let table = Rc::new(MemoryStore::new());
        let first = Contender::start(&table, "a");
        first.connection.responses_to_lose.set(3);
        wait_until("renewals", || {
            first.ownership.lease_row().is_some_and(|row| row.renewal >= 5) && first.epoch().is_some()
        }).await;
        assert_eq!(first.epoch(), Some(1));
        assert_eq!(first.connection.responses_to_lose.get(), 0);
    }

    // Guards against two owners while one of them cannot reach the store, and against fenced writes of the old owner
    // that are accepted.
    contender_takes_over_from_a_holder_without_the_store => {
        let table = Rc::new(MemoryStore::new());
        let first = Contender::start(&table, "a");
        wait_until("first holder", || first.epoch().is_some()).await;
        let held = first.ownership.current().unwrap();
        let second = Contender::start(&table, "b");
        first.connection.is_down.set(true);
        wait_until("takeover", || {
            let (one, other) = (first.epoch(), second.epoch());
            assert!(one.is_none() || other.is_none());
            other.is_some()
        }).await;
        let write = first.ownership.fence(&held).with_put("job/1", "{}");
        assert!(matches!(table.apply(&write), TransactionOutcome::Rejected { .. }));
        first.connection.is_down.set(false);
        wait_until("new owner seen", || {
            first.ownership.lease_row().is_some_and(|row| row.epoch > held.epoch)
        }).await;
        assert_eq!(first.epoch(), None);
    }

    // Guards against a process that holds the lease while no process can reach the store, and against a duty that
    // remains without an owner afterwards.
    no_process_holds_the_lease_during_a_long_outage => {
        let table = Rc::new(MemoryStore::new());
        let contenders = ["a", "b", "c"].map(|name| Contender::start(&table, name));
        let holders = || contenders.iter().filter(|contender| contender.epoch().is_some()).count();
        wait_until("holder", || holders() == 1).await;
        contenders.iter().for_each(|contender| contender.connection.is_down.set(true));
        wait_until("end of the lease", || holders() == 0).await;
        let row = table.read(&[owner_key("rezekne")]);
        compio::time::sleep(TIMING.lease * 2).await;
        assert_eq!(holders(), 0);
        assert_eq!(table.read(&[owner_key("rezekne")]), row);
        contenders.iter().for_each(|contender| contender.connection.is_down.set(false));
        wait_until("holder after the outage", || holders() == 1).await;
    }

    // Guards against a planned stop that blocks the duty for the remainder of the lease.
    contender_takes_over_after_a_release => {
        let table = Rc::new(MemoryStore::new());
        // The lease is so long that only a release can make the takeover possible.
        let timing = LeaseTiming { lease: LIMIT * 10, ..TIMING };
        let first = Contender::start_with(&table, "a", timing);
        wait_until("first holder", || first.epoch().is_some()).await;
        first.ownership.release().await.unwrap();
        assert_eq!(first.epoch(), None);
        assert!(first.ownership.lease_row().unwrap().is_released());
        let second = Contender::start_with(&table, "b", timing);
        wait_until("second holder", || second.epoch().is_some()).await;
        assert_eq!(second.epoch(), Some(2));
    }

    // Guards against a process that crashes on a malformed row written by another program, or overwrites that row.
    malformed_row_is_not_overwritten => {
        let table = Rc::new(MemoryStore::new());
        table.apply(&Transaction::new().with_put(owner_key("rezekne"), "nonsense"));
        let first = Contender::start(&table, "a");
        compio::time::sleep(TIMING.lease).await;
        assert_eq!(first.epoch(), None);
        table.apply(&Transaction::new().with_delete(owner_key("rezekne")));
        wait_until("holder", || first.epoch().is_some()).await;
    }

    // Guards against a duty that remains without an owner because of a row of another writer.
    malformed_row_does_not_end_a_duty => {
        let table = Rc::new(MemoryStore::new());
        let first = Contender::start(&table, "a");
        wait_until("first holder", || first.epoch().is_some()).await;
        let nested = "[".repeat(1_000_000);
        let numbers = |epoch: u64, renewal: u64| {
            format!("{{\"epoch\":{epoch},\"holder\":\"x\",\"address\":\"\",\"renewal\":{renewal},\"incarnation\":1}}")
        };
        let (large_epoch, large_renewal) = (numbers(u64::MAX, 1), numbers(1, u64::MAX));
        for value in ["", "nonsense", "{}", "{\"epoch\":1e400}", "{\"epoch\":18446744073709551616}", &nested, &large_epoch, &large_renewal] {
            table.apply(&Transaction::new().with_put(owner_key("rezekne"), value));
            wait_until("renewal", || {
                let row = table.read(&[owner_key("rezekne")]).remove(0);
                first.epoch() == Some(1) && row.is_some_and(|row| *row.value != *value)
            }).await;
        }
        let second = Contender::start(&table, "b");
        wait_until("holder seen", || second.ownership.lease_row().is_some()).await;
        first.crash();
        table.apply(&Transaction::new().with_put(owner_key("rezekne"), "nonsense"));
        wait_until("takeover", || {
            let (one, other) = (first.epoch(), second.epoch());
            assert!(one.is_none() || other.is_none());
            other.is_some()
        }).await;
        assert_eq!(second.epoch(), Some(2));
    }
}
