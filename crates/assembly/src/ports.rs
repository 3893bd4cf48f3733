//! The platform's interfaces that both processes use.

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

/// Time for one attempt at the store: on the own way, then through a peer.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Longest delay between attempts while the store does not answer; what waits for it has to go on within
/// about 2 s of its return.
const LONGEST_PROBE: Duration = Duration::from_millis(400);

/// The platform's interfaces that both processes use.
#[derive(Clone)]
pub struct Ports {
    /// The store.
    pub store: StoreClient,
    /// The store's feed of changes.
    pub feed: Rc<dyn ChangeFeed>,
    /// The operators' rows.
    pub rows: Rc<dyn OperatorRows>,
    /// Client for messages to other processes of this system.
    pub client: Client,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Tells whether the store can be reached.
    pub reachability: Rc<dyn Reachability>,
    /// Tells whether the own way to the store works.
    pub(crate) relayed: RelayedStore,
    /// Passes requests of peers on to the store.
    pub(crate) relay: RelayServer,
    /// Processes that pass requests on.
    pub(crate) peers: PeerList,
}

impl Ports {
    /// Creates the ports over the platform's store and the operators' rows in it.
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
            max_probe_delay: LONGEST_PROBE,
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
