//! Components shared by entry hosts and agents.

use std::rc::Rc;
use std::time::Duration;

use crate::options::NodeOptions;
use crate::request_class_store::RequestClassStore;
use crate::settings::CommonSettings;
use nutmegwalk_base::Result;
use nutmegwalk_base::metrics::Metrics;
use nutmegwalk_net::Client;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;
use nutmegwalk_store::HttpStore;
use nutmegwalk_store::RequestClass;
use nutmegwalk_store::StoreClient;
use nutmegwalk_sync::View;

/// Path under which the metrics are scraped.
pub(crate) const METRICS_PATH: &str = "/metrics";

/// Clients of one process for other processes and for the store.
pub(crate) struct Clients {
    pub(crate) client: Client,
    pub(crate) store: StoreClient,
}

impl Clients {
    pub(crate) fn new(settings: &CommonSettings, options: &NodeOptions) -> Result<Self> {
        let mut client = Client::new(settings.name.clone(), settings.secret.clone())?;
        if let Some(faults) = &options.faults {
            client = client.with_faults(faults.clone());
        }
        let http = Rc::new(HttpStore::new(client.clone(), settings.store));
        let store = StoreClient::new(http.clone(), http);
        Ok(Self { client, store })
    }

    /// Returns the store for requests of `class`, which time out after `deadline`.
    pub(crate) fn store_for_class(
        &self,
        class: RequestClass,
        deadline: Duration,
    ) -> Rc<RequestClassStore> {
        Rc::new(RequestClassStore::new(self.store.clone(), class, deadline))
    }
}

/// Answers requests for `/healthz` and `/metrics`; returns `None` for other paths.
pub(crate) fn handle_health(
    request: &Request,
    view: &View,
    drain: &Drain,
    metrics: &Metrics,
    is_warmed_up: bool,
) -> Option<Response> {
    match &*request.path {
        "/healthz" if drain.is_started() => Some(Response::new(503, "draining\n")),
        "/healthz" if view.version() == 0 => {
            Some(Response::new(503, "the configuration is not known\n"))
        }
        "/healthz" if !is_warmed_up => Some(Response::new(503, "no backend server is known yet\n")),
        "/healthz" => Some(Response::new(200, "ready\n")),
        METRICS_PATH => Some(match metrics.to_text() {
            Ok(text) => {
                Response::new(200, text).with_header("content-type", "text/plain; version=0.0.4")
            }
            Err(error) => Response::error(&error),
        }),
        _ => None,
    }
}

/// Waits until `work` has ended, at most for `limit`.
pub(crate) async fn wait_at_most(limit: Duration, work: impl Future<Output = ()>) {
    if compio::time::timeout(limit, work).await.is_err() {
        log::warn!("the planned stop continues: work in flight did not end within {limit:?}");
    }
}
