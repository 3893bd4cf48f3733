//! Fakes and helpers shared by the tests of this crate.
#![allow(dead_code, missing_docs, unreachable_pub)]

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::new_incarnation;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_config::Configuration;
use nutmegwalk_config::load;
use nutmegwalk_net::Client;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Fault;
use nutmegwalk_net::LinkFaults;
use nutmegwalk_net::Server;
use nutmegwalk_net::ServerLimits;
use nutmegwalk_store::MemoryStore;
use nutmegwalk_store::Row;
use nutmegwalk_store::TableStore;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;
use nutmegwalk_sync::Membership;
use nutmegwalk_sync::Payload;
use nutmegwalk_sync::Report;
use nutmegwalk_sync::Role;
use nutmegwalk_sync::SyncClient;
use nutmegwalk_sync::SyncServer;
use nutmegwalk_sync::SyncTimings;
use nutmegwalk_sync::View;

/// Upper bound of waits. It is long because it only limits the duration of a failing test.
pub const LIMIT: Duration = Duration::from_secs(60);

pub fn example() -> Configuration {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kurzeme");
    load(&[directory]).unwrap()
}

/// Returns the example with the given weight of one customer, so that each weight gives other content.
pub fn example_with_weight(weight: u32) -> Configuration {
    let mut configuration = example();
    let customer = configuration.customers.get_mut("night-audit").unwrap();
    customer.weight = weight;
    configuration
}

pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().unwrap().block_on(future)
}

/// Waits until `condition` holds; fails after [`LIMIT`] with `what` as the condition's description.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < LIMIT, "timed out waiting until {what}");
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Fault injected into one transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// The write takes no effect and is reported as failed.
    Unavailable,
    /// The write takes effect and its answer is lost.
    AnswerLost,
    /// The write takes no effect and its answer is lost.
    RequestLost,
}

/// A table store that injects faults.
#[derive(Default)]
pub struct FaultyTable {
    pub store: Rc<MemoryStore>,
    /// Whether all requests fail.
    pub down: Cell<bool>,
    /// Whether reads never complete.
    pub hang: Cell<bool>,
    /// Faults of the next transactions, in order; there are no faults once it is empty.
    pub faults: RefCell<VecDeque<StoreFault>>,
    pub gets: Cell<usize>,
    pub scans: Cell<usize>,
    pub rows_read: Cell<usize>,
    pub transactions: Cell<usize>,
}

fn unavailable<T>() -> Result<T> {
    Err(Error::new(ErrorKind::StoreUnavailable, "injected"))
}

fn outcome_unknown<T>() -> Result<T> {
    Err(Error::new(ErrorKind::StoreUnknown, "injected"))
}

impl TableStore for FaultyTable {
    fn transact<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<TransactionOutcome>> {
        async move {
            // Yields to other tasks, as a request over the network does.
            compio::time::sleep(Duration::from_millis(1)).await;
            self.transactions.set(self.transactions.get() + 1);
            if self.down.get() {
                return unavailable();
            }
            let fault = self.faults.borrow_mut().pop_front();
            match fault {
                None => Ok(self.store.apply(transaction)),
                Some(StoreFault::Unavailable) => unavailable(),
                Some(StoreFault::RequestLost) => outcome_unknown(),
                Some(StoreFault::AnswerLost) => {
                    self.store.apply(transaction);
                    outcome_unknown()
                }
            }
        }
        .boxed_local()
    }

    fn get<'a>(&'a self, keys: &'a [Box<str>]) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>>> {
        async move {
            self.gets.set(self.gets.get() + 1);
            self.rows_read.set(self.rows_read.get() + keys.len());
            if self.hang.get() {
                std::future::pending::<()>().await;
            }
            if self.down.get() {
                return unavailable();
            }
            Ok(self.store.read(keys))
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
            self.scans.set(self.scans.get() + 1);
            if self.down.get() {
                return unavailable();
            }
            Ok(self.store.read_range(prefix, after, limit))
        }
        .boxed_local()
    }
}

/// Link faults that disconnect some addresses.
#[derive(Default)]
pub struct Partitions {
    pub addresses: Mutex<Vec<SocketAddr>>,
}

impl LinkFaults for Partitions {
    fn fault(&self, _from: &str, to: SocketAddr, _path: &str) -> Fault {
        if self.addresses.lock().unwrap().contains(&to) {
            Fault::Unreachable
        } else {
            Fault::None
        }
    }
}

pub fn timings() -> SyncTimings {
    SyncTimings {
        read_interval: Duration::from_millis(20),
        poll_interval: Duration::from_millis(40),
        poll_timeout: Duration::from_secs(20),
        digest_interval: Duration::from_millis(100),
        // No test may depend on a process reporting fast enough to count as alive or its view as recent.
        max_upstream_age: LIMIT,
        max_permission_age: LIMIT,
        failed_after: LIMIT,
        ..SyncTimings::default()
    }
}

pub fn report(process: &str, role: Role, data_centre: Option<&str>, address: SocketAddr) -> Report {
    Report {
        process: process.into(),
        role,
        incarnation: new_incarnation(),
        data_centre: data_centre.map(Into::into),
        worker: None,
        address,
        draining: false,
        payload: Payload::default(),
        revision: 1,
    }
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A running process that serves `/v1/sync`.
pub struct Node {
    pub view: View,
    pub membership: Membership,
    pub address: SocketAddr,
    pub client: Rc<SyncClient>,
    pub drain: Drain,
}

/// Starts the server of a process whose client polls `entries`; that of an agent can serve as a relay. The
/// client only runs after [`Node::run_client`].
pub async fn start(
    process: &str,
    role: Role,
    entries: Vec<SocketAddr>,
    timings: SyncTimings,
    partitions: &Arc<Partitions>,
) -> Node {
    let server = Server::bind(address(0), ServerLimits::default())
        .await
        .unwrap();
    let own_address = server.local_address();
    let secret = Secret::new("s");
    let view = View::new(timings);
    let membership = Membership::new(timings);
    let faults: Arc<dyn LinkFaults> = Arc::clone(partitions) as Arc<dyn LinkFaults>;
    let http = Client::new(process, secret.clone())
        .unwrap()
        .with_faults(faults);
    let data_centre = (role == Role::Agent).then_some("ventspils");
    let own_report = report(process, role, data_centre, own_address);
    let client = SyncClient::new(http, view.clone(), own_report, entries, timings)
        .with_forwarded_members(membership.clone());
    let mut sync_server = SyncServer::new(view.clone(), membership.clone(), secret, timings);
    if role == Role::Agent {
        sync_server = sync_server.with_announced_relays(client.relays());
    }
    let drain = Drain::new();
    compio::runtime::spawn(server.serve(Rc::new(sync_server), drain.clone())).detach();
    let ticking = membership.clone();
    let ticking_drain = drain.clone();
    compio::runtime::spawn(async move { ticking.run(ticking_drain).await }).detach();
    Node {
        view,
        membership,
        address: own_address,
        client: Rc::new(client),
        drain,
    }
}

impl Node {
    pub fn run_client(&self) {
        let client = Rc::clone(&self.client);
        let drain = self.drain.clone();
        compio::runtime::spawn(async move { client.run(drain).await }).detach();
    }
}
