//! The store as a process reaches it, by the own way or through a peer.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::LocalBoxFuture;
use futures_util::future::select;
use log::info;
use log::warn;

use crate::PeerList;
use crate::RelayAnswer;
use crate::RelayRequest;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::Result;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_net::Client;
use nutmegwalk_store::ChangeFeed;
use nutmegwalk_store::Changes;
use nutmegwalk_store::Page;
use nutmegwalk_store::Reachability;
use nutmegwalk_store::Row;
use nutmegwalk_store::RowVersion;
use nutmegwalk_store::StoreClock;
use nutmegwalk_store::TableStore;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;

/// Peers that are asked for one request.
const PEERS_A_REQUEST: usize = 2;
/// Interval at which a read that waits for a peer looks whether the own way works again.
const REGAINED_POLL: Duration = Duration::from_millis(50);

/// Lengths of time of a [`RelayedStore`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayTimings {
    /// Time for an answer on the own way beyond what the store itself waits. It grows while nothing answers,
    /// so that a slow store is told from one that is cut off.
    pub direct_timeout: Duration,
    /// Longest time for an answer on the own way.
    pub max_direct_timeout: Duration,
    /// Time for an answer through a peer beyond what the store itself waits.
    pub relay_timeout: Duration,
    /// Interval at which the own way is tried while it is blocked.
    pub probe_interval: Duration,
}

impl Default for RelayTimings {
    fn default() -> Self {
        Self {
            direct_timeout: Duration::from_millis(500),
            max_direct_timeout: Duration::from_millis(1_500),
            relay_timeout: Duration::from_millis(600),
            probe_interval: Duration::from_millis(500),
        }
    }
}

/// State of the own way.
#[derive(Clone, Copy, Debug)]
struct Way {
    /// When the first of the requests that failed in a row was sent.
    failing_since: Option<Instant>,
    tried_at: Option<Instant>,
    /// Time for the next answer.
    timeout: Duration,
    /// When the first of the requests had failed that in a row reached the store neither directly nor
    /// through a peer.
    unreachable_since: Option<Instant>,
}

/// The store, by the own way or through a peer; clones share the state.
#[derive(Clone)]
pub struct RelayedStore {
    inner: Rc<Inner>,
}

struct Inner {
    table: Rc<dyn TableStore>,
    feed: Rc<dyn ChangeFeed>,
    client: Client,
    peers: PeerList,
    timings: RelayTimings,
    way: Cell<Way>,
}

/// The own way to the store.
pub(crate) struct Direct<'a> {
    pub(crate) table: &'a dyn TableStore,
    pub(crate) feed: &'a dyn ChangeFeed,
}

impl Direct<'_> {
    pub(crate) async fn send(&self, request: &RelayRequest) -> Result<RelayAnswer> {
        match request {
            RelayRequest::Transact(transaction) => self
                .table
                .transact(transaction)
                .await
                .map(RelayAnswer::Transaction),
            RelayRequest::Get(keys) => self.table.get(keys).await.map(RelayAnswer::Rows),
            RelayRequest::Page {
                prefix,
                after,
                limit,
            } => self
                .feed
                .page(prefix, after, *limit)
                .await
                .map(RelayAnswer::Page),
            RelayRequest::Changes {
                prefix,
                after,
                wait_ms,
            } => self
                .feed
                .changes(prefix, *after, Duration::from_millis(*wait_ms))
                .await
                .map(RelayAnswer::Changes),
        }
    }
}

impl RelayedStore {
    /// Creates a store over the own way, `table` and `feed`, with peers to ask while that is blocked.
    #[must_use]
    pub fn new(
        table: Rc<dyn TableStore>,
        feed: Rc<dyn ChangeFeed>,
        client: Client,
        peers: PeerList,
        timings: RelayTimings,
    ) -> Self {
        Self {
            inner: Rc::new(Inner {
                table,
                feed,
                client,
                peers,
                timings,
                way: Cell::new(Way {
                    failing_since: None,
                    tried_at: None,
                    timeout: timings.direct_timeout,
                    unreachable_since: None,
                }),
            }),
        }
    }

    /// Returns for how long the own way has been failing; `None` while it works. A short time may be no more
    /// than a lost answer.
    #[must_use]
    pub fn blocked_for(&self) -> Option<Duration> {
        let since = self.inner.way.get().failing_since?;
        Some(clock::now().saturating_duration_since(since))
    }

    async fn send(&self, request: RelayRequest) -> Result<RelayAnswer> {
        let result = self.send_either_way(request).await;
        self.inner.note_reach(&result);
        result
    }

    async fn send_either_way(&self, request: RelayRequest) -> Result<RelayAnswer> {
        let inner = &self.inner;
        if inner.way.get().failing_since.is_some() {
            Inner::probe_if_due(inner, &request);
            match inner.ask_while_blocked(&request).await {
                // Only reads try a way that fails: a write that is lost there would leave its caller without
                // an answer.
                Err(error) if error.outcome() == Outcome::NotRun && !is_write(&request) => {}
                result => return result,
            }
        }
        match inner.go_own_way(&request).await {
            Err(error) if error.kind == ErrorKind::StoreUnavailable => {
                inner.ask_peers(&request).await.map_err(|_| error)
            }
            result => result,
        }
    }
}

impl Inner {
    /// Tries the blocked own way beside a request, so that no request waits for it.
    fn probe_if_due(self: &Rc<Self>, request: &RelayRequest) {
        let tried_at = self.way.get().tried_at;
        let is_due = tried_at.is_none_or(|at| {
            clock::now().saturating_duration_since(at) >= self.timings.probe_interval
        });
        let Some(probe) = probe_for(request).filter(|_| is_due) else {
            return;
        };
        let inner = Rc::clone(self);
        compio::runtime::spawn(async move {
            // How it went is noted; the answer is of no use.
            let _ = inner.go_own_way(&probe).await;
        })
        .detach();
    }

    /// Asks peers; a read is given up when the own way works again.
    async fn ask_while_blocked(&self, request: &RelayRequest) -> Result<RelayAnswer> {
        if is_write(request) {
            return self.ask_peers(request).await;
        }
        let asked = pin!(self.ask_peers(request));
        let regained = pin!(self.regained());
        match select(asked, regained).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => {
                let detail = "the own way to the store works again";
                Err(Error::new(ErrorKind::StoreUnavailable, detail))
            }
        }
    }

    /// Waits until the own way works.
    async fn regained(&self) {
        while self.way.get().failing_since.is_some() {
            compio::time::sleep(REGAINED_POLL).await;
        }
    }

    async fn go_own_way(&self, request: &RelayRequest) -> Result<RelayAnswer> {
        let now = clock::now();
        let mut way = self.way.get();
        way.tried_at = Some(now);
        self.way.set(way);
        let direct = Direct {
            table: &*self.table,
            feed: &*self.feed,
        };
        let limit = request.wait() + way.timeout;
        let mut attempt = Attempt {
            inner: self,
            sent_at: now,
            shortest: request.wait() + self.timings.direct_timeout,
            is_noted: false,
        };
        let result = match compio::time::timeout(limit, direct.send(request)).await {
            Ok(result) => result,
            Err(_) => {
                self.be_patient();
                Err(no_answer(request, limit))
            }
        };
        attempt.is_noted = true;
        let failed = result.as_ref().is_err_and(|error| {
            matches!(
                error.kind,
                ErrorKind::StoreUnavailable | ErrorKind::StoreUnknown
            )
        });
        self.note(now, failed);
        result
    }

    /// Notes whether a request reached the store by any way.
    fn note_reach(&self, result: &Result<RelayAnswer>) {
        let mut way = self.way.get();
        match result {
            Err(error) if error.kind == ErrorKind::StoreUnavailable => {
                way.unreachable_since.get_or_insert(clock::now());
            }
            // Nobody can tell whether the request has arrived.
            Err(error) if error.kind == ErrorKind::StoreUnknown => {}
            Ok(_) | Err(_) => way.unreachable_since = None,
        }
        self.way.set(way);
    }

    /// Gives the next answer more time.
    fn be_patient(&self) {
        let mut way = self.way.get();
        way.timeout = (way.timeout * 2).min(self.timings.max_direct_timeout);
        self.way.set(way);
    }

    /// Notes how a request that was sent on the own way at `sent_at` went.
    fn note(&self, sent_at: Instant, failed: bool) {
        let mut way = self.way.get();
        if !failed {
            if way.failing_since.take().is_some() {
                info!(target: event::STORE_REGAINED, "the own way to the store works again");
            }
            // Answers of a slow store come late by about the same time.
            let took = clock::now().saturating_duration_since(sent_at);
            way.timeout =
                (took * 3).clamp(self.timings.direct_timeout, self.timings.max_direct_timeout);
        } else if way.failing_since.is_none() {
            warn!(target: event::STORE_LOST, "the own way to the store fails, asking peers");
            way.failing_since = Some(sent_at);
        }
        self.way.set(way);
    }

    async fn ask_peers(&self, request: &RelayRequest) -> Result<RelayAnswer> {
        let limit = request.wait() + self.timings.relay_timeout;
        let mut last = Error::new(ErrorKind::StoreUnavailable, "no peer is known");
        for address in self.peers.choose(PEERS_A_REQUEST) {
            match self.client.send(address, request, limit).await {
                Ok(answer) => {
                    self.peers.prove(address);
                    return Ok(answer);
                }
                Err(error) => {
                    self.peers.doubt(address);
                    last = peer_error(request, error);
                    if last.outcome() != Outcome::NotRun {
                        return Err(last);
                    }
                }
            }
        }
        Err(last)
    }
}

/// A request on the own way. One that its caller gave up after the usual time has failed.
struct Attempt<'a> {
    inner: &'a Inner,
    sent_at: Instant,
    /// Time after which an answer is overdue.
    shortest: Duration,
    is_noted: bool,
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if !self.is_noted && clock::now().saturating_duration_since(self.sent_at) >= self.shortest {
            self.inner.be_patient();
            self.inner.note(self.sent_at, true);
        }
    }
}

/// Returns a request like `request` that the store answers at once; `None` for a write.
fn probe_for(request: &RelayRequest) -> Option<RelayRequest> {
    match request {
        RelayRequest::Transact(_) => None,
        RelayRequest::Get(keys) => Some(RelayRequest::Get(keys.clone())),
        RelayRequest::Page { prefix, after, .. } => Some(RelayRequest::Page {
            prefix: prefix.clone(),
            after: after.clone(),
            limit: 1,
        }),
        RelayRequest::Changes { prefix, after, .. } => Some(RelayRequest::Changes {
            prefix: prefix.clone(),
            after: *after,
            wait_ms: 0,
        }),
    }
}

fn is_write(request: &RelayRequest) -> bool {
    matches!(request, RelayRequest::Transact(_))
}

/// Returns the error of a request that was not answered.
fn no_answer(request: &RelayRequest, limit: Duration) -> Error {
    let kind = if is_write(request) {
        ErrorKind::StoreUnknown
    } else {
        ErrorKind::StoreUnavailable
    };
    Error::new(kind, format!("the store did not answer in {limit:?}"))
}

/// Maps a failure of a peer to what it means for the request to the store.
fn peer_error(request: &RelayRequest, error: Error) -> Error {
    let kind = match error.kind {
        // What the store itself has said.
        ErrorKind::BadRequest
        | ErrorKind::Forbidden
        | ErrorKind::HistoryLost
        | ErrorKind::StoreUnavailable
        | ErrorKind::StoreUnknown => error.kind,
        _ if error.outcome() == Outcome::NotRun || !is_write(request) => {
            ErrorKind::StoreUnavailable
        }
        _ => ErrorKind::StoreUnknown,
    };
    Error { kind, ..error }
}

/// Returns the error of a peer whose answer does not belong to the request.
fn mismatch() -> Error {
    let detail = "a peer answered another request";
    Error::new(ErrorKind::StoreUnknown, detail)
}

impl Reachability for RelayedStore {
    fn unreachable_for(&self) -> Option<Duration> {
        let since = self.inner.way.get().unreachable_since?;
        Some(clock::now().saturating_duration_since(since))
    }
}

impl TableStore for RelayedStore {
    fn transact<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<TransactionOutcome>> {
        async move {
            let request = RelayRequest::Transact(transaction.clone());
            match self.send(request).await? {
                RelayAnswer::Transaction(outcome) => Ok(outcome),
                _ => Err(mismatch()),
            }
        }
        .boxed_local()
    }

    fn get<'a>(&'a self, keys: &'a [Box<str>]) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>>> {
        async move {
            match self.send(RelayRequest::Get(keys.to_vec())).await? {
                RelayAnswer::Rows(rows) if rows.len() == keys.len() => Ok(rows),
                _ => Err(mismatch()),
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
        async move { Ok(self.page(prefix, after, limit).await?.rows) }.boxed_local()
    }

    fn clock(&self) -> Option<StoreClock> {
        self.inner.table.clock()
    }
}

impl ChangeFeed for RelayedStore {
    fn page<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Page>> {
        async move {
            let request = RelayRequest::Page {
                prefix: prefix.into(),
                after: after.into(),
                limit,
            };
            match self.send(request).await? {
                RelayAnswer::Page(page) => Ok(page),
                _ => Err(mismatch()),
            }
        }
        .boxed_local()
    }

    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: RowVersion,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Changes>> {
        async move {
            let request = RelayRequest::Changes {
                prefix: prefix.into(),
                after,
                wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
            };
            match self.send(request).await? {
                RelayAnswer::Changes(changes) => Ok(changes),
                _ => Err(mismatch()),
            }
        }
        .boxed_local()
    }
}
