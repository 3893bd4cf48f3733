//! Server that forwards requests of peers to the store.

use std::rc::Rc;
use std::time::Duration;

use crate::RelayAnswer;
use crate::RelayRequest;
use crate::store::DirectStore;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_net::Message;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;
use nutmegwalk_store::ChangeFeed;
use nutmegwalk_store::TableStore;

/// Longest time for which a peer's request may wait for changes at the store.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Forwards requests of peers to the store, over the direct connection only.
#[derive(Clone)]
pub struct RelayServer {
    table: Rc<dyn TableStore>,
    feed: Rc<dyn ChangeFeed>,
    secret: Secret,
}

impl RelayServer {
    /// Creates a server that uses `table` and `feed` as the direct connection to the store.
    #[must_use]
    pub fn new(table: Rc<dyn TableStore>, feed: Rc<dyn ChangeFeed>, secret: Secret) -> Self {
        Self {
            table,
            feed,
            secret,
        }
    }

    /// Handles a peer's request; returns `None` for requests to other paths.
    pub async fn handle(&self, request: &Request) -> Option<Response> {
        if &*request.path != RelayRequest::PATH {
            return None;
        }
        let result = match request.message::<RelayRequest>(&self.secret) {
            Ok(request) => self.forward(request).await,
            Err(error) => Err(error),
        };
        Some(Response::message(&result))
    }

    async fn forward(&self, request: RelayRequest) -> Result<RelayAnswer> {
        if request.wait() > MAX_WAIT {
            let detail = format!("a wait of {:?} is too long", request.wait());
            return Err(Error::new(ErrorKind::BadRequest, detail));
        }
        let direct = DirectStore {
            table: &*self.table,
            feed: &*self.feed,
        };
        direct.send(&request).await
    }
}
