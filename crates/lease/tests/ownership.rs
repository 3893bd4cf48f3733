//! Tests of the running contender against a table with faults.

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

/// Generous limit for a state that is expected to be reached.
const LIMIT: Duration = Duration::from_secs(60);
/// Shorter than in production, so that takeovers do not make the tests long.
const TIMING: LeaseTiming = LeaseTiming {
    lease: Duration::from_millis(800),
    margin: Duration::from_millis(100),
    renew_interval: Duration::from_millis(200),
    poll_interval: Duration::from_millis(100),
};

/// One process's way to a shared table.
struct Link {
    table: Rc<MemoryStore>,
    is_down: Cell<bool>,
    loses_answers: Cell<u32>,
    writes: Cell<u32>,
}

impl Link {
    fn check_up(&self) -> Result<()> {
        if self.is_down.get() {
            return Err(Error::new(ErrorKind::StoreUnavailable, "down"));
        }
        Ok(())
    }
}

impl TableStore for Link {
    fn transact<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<TransactionOutcome>> {
        async move {
            self.check_up()?;
            self.writes.set(self.writes.get() + 1);
            let outcome = self.table.apply(transaction);
            if self.loses_answers.get() > 0 {
                self.loses_answers.set(self.loses_answers.get() - 1);
                return Err(Error::new(ErrorKind::StoreUnknown, "lost"));
            }
            Ok(outcome)
        }
        .boxed_local()
    }

    fn get<'a>(&'a self, keys: &'a [Box<str>]) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>>> {
        async move {
            self.check_up()?;
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
    link: Rc<Link>,
    ownership: Ownership,
    task: RefCell<Option<compio::runtime::JoinHandle<()>>>,
}

impl Contender {
    fn start(table: &Rc<MemoryStore>, name: &str) -> Self {
        Self::start_with(table, name, TIMING)
    }

    fn start_with(table: &Rc<MemoryStore>, name: &str, timing: LeaseTiming) -> Self {
        let link = Rc::new(Link {
            table: Rc::clone(table),
            is_down: Cell::new(false),
            loses_answers: Cell::new(0),
            writes: Cell::new(0),
        });
        let store = StoreClient::new(Rc::clone(&link) as _, Rc::clone(table) as _);
        let ownership = Ownership::with_timing(store, "rezekne", name, "127.0.0.1:1", timing);
        let running = ownership.clone();
        let task = compio::runtime::spawn(async move { running.run().await });
        Self {
            link,
            ownership,
            task: RefCell::new(Some(task)),
        }
    }

    fn epoch(&self) -> Option<u64> {
        self.ownership.current().map(|held| held.epoch)
    }

    /// Ends the contender as a crash would.
    fn kill(&self) {
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
    // Guards against a dead holder whose duty stays without an owner.
    contender_takes_over_from_a_dead_holder => {
        let table = Rc::new(MemoryStore::new());
        let first = Contender::start(&table, "a");
        wait_until("first holder", || first.epoch().is_some()).await;
        let epoch = first.epoch();
        let second = Contender::start(&table, "b");
        wait_until("sight of the holder", || second.ownership.owner().is_some()).await;
        first.kill();
        wait_until("takeover", || second.epoch().is_some()).await;
        assert_eq!(first.epoch(), None);
        assert!(second.epoch() > epoch);
        assert_eq!(&*second.ownership.owner().unwrap().holder, "b");
    }

    // Guards against a holder that stops renewing, or that renews in a loop without pause.
    holder_renews_at_its_interval => {
        let table = Rc::new(MemoryStore::new());
        let first = Contender::start(&table, "a");
        let started = Instant::now();
        let renewal = || first.ownership.owner().map_or(0, |row| row.renewal);
        wait_until("fifth renewal", || renewal() >= 5).await;
        assert!(started.elapsed() >= TIMING.renew_interval * 3);
        assert!(first.link.writes.get() <= 6);
    }

    // Guards against a lost answer that ends a lease or costs an epoch.
    lost_answers_keep_the_epoch => {
        let table = Rc::new(MemoryStore::new());
        let first = Contender::start(&table, "a");
        first.link.loses_answers.set(3);
        wait_until("renewals", || {
            first.ownership.owner().is_some_and(|row| row.renewal >= 5) && first.epoch().is_some()
        }).await;
        assert_eq!(first.epoch(), Some(1));
        assert_eq!(first.link.loses_answers.get(), 0);
    }

    // Guards against two owners while one of them cannot reach the store, and against writes of the old one.
    lease_moves_away_from_a_holder_without_the_store => {
        let table = Rc::new(MemoryStore::new());
        let first = Contender::start(&table, "a");
        wait_until("first holder", || first.epoch().is_some()).await;
        let held = first.ownership.current().unwrap();
        let second = Contender::start(&table, "b");
        first.link.is_down.set(true);
        wait_until("takeover", || {
            let (one, other) = (first.epoch(), second.epoch());
            assert!(one.is_none() || other.is_none());
            other.is_some()
        }).await;
        let write = first.ownership.fence(&held).with_put("job/1", "{}");
        assert!(matches!(table.apply(&write), TransactionOutcome::Rejected { .. }));
        first.link.is_down.set(false);
        wait_until("new owner seen", || {
            first.ownership.owner().is_some_and(|row| row.epoch > held.epoch)
        }).await;
        assert_eq!(first.epoch(), None);
    }

    // Guards against an owner while nobody can reach the store, and against none afterwards.
    nobody_holds_the_lease_in_a_long_outage => {
        let table = Rc::new(MemoryStore::new());
        let contenders = ["a", "b", "c"].map(|name| Contender::start(&table, name));
        let holders = || contenders.iter().filter(|contender| contender.epoch().is_some()).count();
        wait_until("holder", || holders() == 1).await;
        contenders.iter().for_each(|contender| contender.link.is_down.set(true));
        wait_until("end of the lease", || holders() == 0).await;
        let row = table.read(&[owner_key("rezekne")]);
        compio::time::sleep(TIMING.lease * 2).await;
        assert_eq!(holders(), 0);
        assert_eq!(table.read(&[owner_key("rezekne")]), row);
        contenders.iter().for_each(|contender| contender.link.is_down.set(false));
        wait_until("holder after the outage", || holders() == 1).await;
    }

    // Guards against a planned stop that keeps the duty for the rest of the lease.
    release_hands_the_lease_over => {
        let table = Rc::new(MemoryStore::new());
        // The lease is so long that the duty can only move by the release.
        let timing = LeaseTiming { lease: LIMIT * 10, ..TIMING };
        let first = Contender::start_with(&table, "a", timing);
        wait_until("first holder", || first.epoch().is_some()).await;
        first.ownership.release().await.unwrap();
        assert_eq!(first.epoch(), None);
        assert!(first.ownership.owner().unwrap().is_released());
        let second = Contender::start_with(&table, "b", timing);
        wait_until("second holder", || second.epoch().is_some()).await;
        assert_eq!(second.epoch(), Some(2));
    }

    // Guards against a process that dies of a row that somebody else wrote, or overwrites it.
    malformed_row_is_left_alone => {
        let table = Rc::new(MemoryStore::new());
        table.apply(&Transaction::new().with_put(owner_key("rezekne"), "nonsense"));
        let first = Contender::start(&table, "a");
        compio::time::sleep(TIMING.lease).await;
        assert_eq!(first.epoch(), None);
        table.apply(&Transaction::new().with_delete(owner_key("rezekne")));
        wait_until("holder", || first.epoch().is_some()).await;
    }
}
