//! Access to the store over the direct connection or through a peer.

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

/// Maximum number of peers to which one request is sent.
const PEERS_PER_REQUEST: usize = 2;
/// Interval at which a read that waits for a peer checks whether the direct connection works again.
const RESTORED_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeouts and intervals of a [`RelayedStore`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayTimings {
    /// Initial and shortest timeout of a direct request, beyond the time for which the store itself waits. The timeout
    /// increases while requests time out, to distinguish a slow store from an unreachable one.
    pub min_direct_timeout: Duration,
    /// Longest timeout of a direct request, beyond the time for which the store itself waits.
    pub max_direct_timeout: Duration,
    /// Timeout of a request through a peer, beyond the time for which the store itself waits.
    pub relay_timeout: Duration,
    /// Interval at which the direct connection is probed while it fails.
    pub probe_interval: Duration,
}

impl Default for RelayTimings {
    fn default() -> Self {
        Self {
            min_direct_timeout: Duration::from_millis(500),
            max_direct_timeout: Duration::from_millis(1_500),
            relay_timeout: Duration::from_millis(600),
            probe_interval: Duration::from_millis(500),
        }
    }
}

/// State of the connection to the store.
#[derive(Clone, Copy, Debug)]
struct ConnectionState {
    /// When the first of the consecutive direct requests that failed was sent.
    failing_since: Option<Instant>,
    /// When the latest direct request was sent.
    last_attempt_at: Option<Instant>,
    /// Timeout of the next direct request, beyond the time for which the store itself waits.
    timeout: Duration,
    /// When the first of the consecutive requests failed that reached the store neither directly nor through a peer.
    unreachable_since: Option<Instant>,
}

/// The store, accessed directly or through a peer; clones share the state.
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
    connection: Cell<ConnectionState>,
}

/// The direct connection to the store.
pub(crate) struct DirectStore<'a> {
    pub(crate) table: &'a dyn TableStore,
    pub(crate) feed: &'a dyn ChangeFeed,
}

impl DirectStore<'_> {
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
    /// Creates a store that uses `table` and `feed` as the direct connection, and `peers` while that fails.
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
                connection: Cell::new(ConnectionState {
                    failing_since: None,
                    last_attempt_at: None,
                    timeout: timings.min_direct_timeout,
                    unreachable_since: None,
                }),
            }),
        }
    }

    /// Returns for how long the direct connection has been failing; `None` while it works. A short time may be due to
    /// a single lost response.
    #[must_use]
    pub fn direct_outage(&self) -> Option<Duration> {
        let since = self.inner.connection.get().failing_since?;
        Some(clock::now().saturating_duration_since(since))
    }

    async fn send(&self, request: RelayRequest) -> Result<RelayAnswer> {
        let result = self.send_by_any_route(request).await;
        self.inner.record_reachability(&result);
        result
    }

    async fn send_by_any_route(&self, request: RelayRequest) -> Result<RelayAnswer> {
        let inner = &self.inner;
        if inner.connection.get().failing_since.is_some() {
            Inner::probe_if_due(inner, &request);
            match inner.send_via_peers_until_restored(&request).await {
                // Only reads fall back to the failing direct connection: the outcome of a write that is lost there
                // would remain unknown.
                Err(error) if error.outcome() == Outcome::NotRun && !is_write(&request) => {}
                result => return result,
            }
        }
        match inner.send_directly(&request).await {
            Err(direct) if direct.kind == ErrorKind::StoreUnavailable => {
                let relayed = inner.send_via_peers(&request).await;
                relayed.map_err(|relayed| {
                    if is_write(&request) {
                        warn!(target: event::RELAY_FAILED,
                            direct = direct.kind.name(),
                            relayed = relayed.kind.name(),
                            outcome = relayed.outcome().name();
                            "{relayed}"
                        );
                    }
                    // A peer may have executed a write although this process has no answer.
                    match relayed.outcome() {
                        Outcome::NotRun => direct,
                        Outcome::Done | Outcome::Unknown => relayed,
                    }
                })
            }
            result => result,
        }
    }
}

impl Inner {
    /// Probes the failing direct connection in the background, so that no request waits for the probe.
    fn probe_if_due(self: &Rc<Self>, request: &RelayRequest) {
        let last_attempt_at = self.connection.get().last_attempt_at;
        let is_due = last_attempt_at.is_none_or(|at| {
            clock::now().saturating_duration_since(at) >= self.timings.probe_interval
        });
        let Some(probe) = probe_for(request).filter(|_| is_due) else {
            return;
        };
        let inner = Rc::clone(self);
        compio::runtime::spawn(async move {
            // `send_directly` records whether the connection works; the answer itself is not needed.
            let _ = inner.send_directly(&probe).await;
        })
        .detach();
    }

    /// Sends a request through peers; a read is abandoned when the direct connection works again.
    async fn send_via_peers_until_restored(&self, request: &RelayRequest) -> Result<RelayAnswer> {
        if is_write(request) {
            return self.send_via_peers(request).await;
        }
        let relayed = pin!(self.send_via_peers(request));
        let restored = pin!(self.wait_until_restored());
        match select(relayed, restored).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => {
                let detail = "the direct connection to the store works again";
                Err(Error::new(ErrorKind::StoreUnavailable, detail))
            }
        }
    }

    /// Waits until the direct connection works.
    async fn wait_until_restored(&self) {
        while self.connection.get().failing_since.is_some() {
            compio::time::sleep(RESTORED_POLL_INTERVAL).await;
        }
    }

    /// Sends a request over the direct connection and records its result.
    async fn send_directly(&self, request: &RelayRequest) -> Result<RelayAnswer> {
        let now = clock::now();
        let mut connection = self.connection.get();
        connection.last_attempt_at = Some(now);
        self.connection.set(connection);
        let direct = DirectStore {
            table: &*self.table,
            feed: &*self.feed,
        };
        let limit = request.wait() + connection.timeout;
        let mut attempt = DirectAttempt {
            inner: self,
            sent_at: now,
            overdue_after: request.wait() + self.timings.min_direct_timeout,
            is_recorded: false,
        };
        let result = match compio::time::timeout(limit, direct.send(request)).await {
            Ok(result) => result,
            Err(_) => {
                self.increase_timeout();
                Err(timeout_error(request, limit))
            }
        };
        attempt.is_recorded = true;
        let failed = result.as_ref().is_err_and(|error| {
            matches!(
                error.kind,
                ErrorKind::StoreUnavailable | ErrorKind::StoreUnknown
            )
        });
        self.record_direct_result(now, failed);
        result
    }

    /// Records whether a request reached the store, directly or through a peer.
    fn record_reachability(&self, result: &Result<RelayAnswer>) {
        let mut connection = self.connection.get();
        match result {
            Err(error) if error.kind == ErrorKind::StoreUnavailable => {
                connection.unreachable_since.get_or_insert(clock::now());
            }
            // It is unknown whether the request reached the store.
            Err(error) if error.kind == ErrorKind::StoreUnknown => {}
            Ok(_) | Err(_) => connection.unreachable_since = None,
        }
        self.connection.set(connection);
    }

    /// Doubles the timeout of the next direct request, up to the maximum.
    fn increase_timeout(&self) {
        let mut connection = self.connection.get();
        connection.timeout = (connection.timeout * 2).min(self.timings.max_direct_timeout);
        self.connection.set(connection);
    }

    /// Records the result of a direct request that was sent at `sent_at`.
    fn record_direct_result(&self, sent_at: Instant, failed: bool) {
        let mut connection = self.connection.get();
        if !failed {
            if connection.failing_since.take().is_some() {
                info!(target: event::STORE_REGAINED, "the direct connection to the store works again");
            }
            // The responses of a slow store are delayed by about the same time.
            let response_time = clock::now().saturating_duration_since(sent_at);
            connection.timeout = (response_time * 3).clamp(
                self.timings.min_direct_timeout,
                self.timings.max_direct_timeout,
            );
        } else if connection.failing_since.is_none() {
            warn!(target: event::STORE_LOST, "the direct connection to the store fails, using peers");
            connection.failing_since = Some(sent_at);
        }
        self.connection.set(connection);
    }

    /// Sends a request to peers, one after the other, until one answers or the request may have been executed.
    async fn send_via_peers(&self, request: &RelayRequest) -> Result<RelayAnswer> {
        let limit = request.wait() + self.timings.relay_timeout;
        let mut last_error = Error::new(ErrorKind::StoreUnavailable, "no peer is known");
        for address in self.peers.choose(PEERS_PER_REQUEST) {
            match self.client.send(address, request, limit).await {
                Ok(answer) => {
                    self.peers.record_success(address);
                    return Ok(answer);
                }
                Err(error) => {
                    self.peers.record_failure(address);
                    last_error = map_peer_error(request, error);
                    if last_error.outcome() != Outcome::NotRun {
                        return Err(last_error);
                    }
                }
            }
        }
        Err(last_error)
    }
}

/// A direct request in flight. It counts as failed if its caller drops it after `overdue_after`.
struct DirectAttempt<'a> {
    inner: &'a Inner,
    sent_at: Instant,
    /// Time after which the response is overdue.
    overdue_after: Duration,
    is_recorded: bool,
}

impl Drop for DirectAttempt<'_> {
    fn drop(&mut self) {
        if !self.is_recorded
            && clock::now().saturating_duration_since(self.sent_at) >= self.overdue_after
        {
            self.inner.increase_timeout();
            self.inner.record_direct_result(self.sent_at, true);
        }
    }
}

/// Returns a probe derived from `request` that the store answers immediately; `None` for a write.
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

/// Returns the error of a request that timed out.
fn timeout_error(request: &RelayRequest, limit: Duration) -> Error {
    let kind = if is_write(request) {
        ErrorKind::StoreUnknown
    } else {
        ErrorKind::StoreUnavailable
    };
    Error::new(kind, format!("the store did not answer in {limit:?}"))
}

/// Maps an error of a relayed request to the error of the request to the store.
fn map_peer_error(request: &RelayRequest, error: Error) -> Error {
    let kind = match error.kind {
        // Errors that the store itself returned to the peer.
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

/// Returns the error for an answer of a peer that does not match the request.
fn mismatched_answer() -> Error {
    let detail = "the answer of a peer does not match the request";
    Error::new(ErrorKind::StoreUnknown, detail)
}

impl Reachability for RelayedStore {
    fn unreachable_for(&self) -> Option<Duration> {
        let since = self.inner.connection.get().unreachable_since?;
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
                _ => Err(mismatched_answer()),
            }
        }
        .boxed_local()
    }

    fn get<'a>(&'a self, keys: &'a [Box<str>]) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>>> {
        async move {
            match self.send(RelayRequest::Get(keys.to_vec())).await? {
                RelayAnswer::Rows(rows) if rows.len() == keys.len() => Ok(rows),
                _ => Err(mismatched_answer()),
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

    fn counts_conditions(&self) -> bool {
        self.inner.table.counts_conditions()
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
                _ => Err(mismatched_answer()),
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
                _ => Err(mismatched_answer()),
            }
        }
        .boxed_local()
    }
}
