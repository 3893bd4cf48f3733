//! The platform's interfaces, which the agent and the entry host share.

use std::rc::Rc;
use std::time::Duration;

use nutmegwalk_base::metrics::Metrics;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_net::Client;
use nutmegwalk_policy::OperatorRows;
use nutmegwalk_relay::PeerList;
use nutmegwalk_relay::RelayServer;
use nutmegwalk_relay::RelayTimings;
use nutmegwalk_relay::RelayedStore;
use nutmegwalk_store::ChangeFeed;
use nutmegwalk_store::ClientTimings;
use nutmegwalk_store::ObjectStore;
use nutmegwalk_store::RateLimits;
use nutmegwalk_store::Reachability;
use nutmegwalk_store::StoreClient;
use nutmegwalk_store::TableStore;

/// Timeout of one attempt to reach the store: over the direct connection, then through a peer.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Longest delay between attempts while the store does not answer; requests that wait for the store must resume
/// within about 2 s after it becomes available again.
const MAX_PROBE_DELAY: Duration = Duration::from_millis(400);

/// The platform's interfaces, which the agent and the entry host share.
#[derive(Clone)]
pub struct Ports {
    /// Client of the store.
    pub store: StoreClient,
    /// The store's feed of changes.
    pub feed: Rc<dyn ChangeFeed>,
    /// Parser of the rows that operators write.
    pub rows: Rc<dyn OperatorRows>,
    /// Client for messages to other processes of this system.
    pub client: Client,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Whether the store can be reached, directly or through a peer.
    pub reachability: Rc<dyn Reachability>,
    /// The store, directly or through a peer; its state shows whether the direct connection works.
    pub(crate) relayed: RelayedStore,
    /// Forwards requests of peers to the store.
    pub(crate) relay: RelayServer,
    /// Peers that can relay requests to the store.
    pub(crate) peers: PeerList,
}

impl Ports {
    /// Creates the ports from the platform's store and the parser of the operators' rows in it.
    #[must_use]
    pub fn new<S>(
        store: Rc<S>,
        rows: Rc<dyn OperatorRows>,
        client: Client,
        secret: Secret,
        metrics: Metrics,
    ) -> Self
    where
        S: ChangeFeed + ObjectStore + TableStore + 'static,
    {
        let peers = PeerList::new();
        let relayed = RelayedStore::new(
            store.clone(),
            store.clone(),
            client.clone(),
            peers.clone(),
            RelayTimings::default(),
        );
        let shared = Rc::new(relayed.clone());
        let timings = ClientTimings {
            attempt_timeout: ATTEMPT_TIMEOUT,
            max_probe_delay: MAX_PROBE_DELAY,
        };
        Self {
            store: StoreClient::with_settings(
                shared.clone(),
                store.clone(),
                RateLimits::default(),
                timings,
            ),
            feed: shared.clone(),
            reachability: shared,
            rows,
            client,
            metrics,
            relayed,
            relay: RelayServer::new(store.clone(), store, secret),
            peers,
        }
    }
}
