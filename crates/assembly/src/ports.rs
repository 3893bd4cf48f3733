//! The platform's interfaces that both processes use.

use std::rc::Rc;

use nutmegwalk_net::Client;
use nutmegwalk_policy::OperatorRows;
use nutmegwalk_store::ChangeFeed;
use nutmegwalk_store::StoreClient;

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
}
