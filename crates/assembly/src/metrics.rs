//! Metrics of a process, and the server from which they are scraped.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::runtime::JoinHandle;
use log::warn;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;

use crate::Ports;
use nutmegwalk_base::event;
use nutmegwalk_base::logging;
use nutmegwalk_base::metrics::Metrics;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Handler;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;
use nutmegwalk_net::Server;
use nutmegwalk_net::ServerLimits;
use nutmegwalk_store::Counters;
use nutmegwalk_store::RequestClass;
use nutmegwalk_store::StoreClient;

/// Path under which the metrics are served.
const PATH: &str = "/metrics";

/// State of a process that is sampled at each scrape.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProcessState {
    /// Age of the operators' configuration; `None` if the process has none.
    pub(crate) policy_age: Option<Duration>,
    /// How long the direct connection to the store has been failing; zero while it works.
    pub(crate) store_blocked_for: Duration,
    /// Whether the process owns the domain.
    pub(crate) is_owner: bool,
}

/// Instruments that every process exports.
struct ProcessMetrics {
    metrics: Metrics,
    store: StoreClient,
    store_calls: Counter<u64>,
    lines_dropped: Counter<u64>,
    policy_age: Gauge<f64>,
    store_blocked: Gauge<f64>,
    is_owner: Gauge<u64>,
    /// Store counters and number of dropped log lines at the previous scrape.
    previous: RefCell<(Counters, u64)>,
    state: Box<dyn Fn() -> ProcessState>,
}

impl ProcessMetrics {
    fn new(metrics: Metrics, store: StoreClient, state: Box<dyn Fn() -> ProcessState>) -> Self {
        let meter = metrics.meter();
        let seconds = |name: &'static str| meter.f64_gauge(name).with_unit("s").build();
        Self {
            store_calls: meter.u64_counter("nutmegwalk_store_calls").build(),
            lines_dropped: meter.u64_counter("nutmegwalk_log_lines_dropped").build(),
            policy_age: seconds("nutmegwalk_policy_age"),
            store_blocked: seconds("nutmegwalk_store_blocked"),
            is_owner: meter.u64_gauge("nutmegwalk_is_owner").build(),
            previous: RefCell::default(),
            metrics,
            store,
            state,
        }
    }

    /// Updates the instruments that are sampled at a scrape instead of recorded as events occur.
    fn refresh(&self) {
        let state = (self.state)();
        if let Some(age) = state.policy_age {
            self.policy_age.record(age.as_secs_f64(), &[]);
        }
        self.store_blocked
            .record(state.store_blocked_for.as_secs_f64(), &[]);
        self.is_owner.record(u64::from(state.is_owner), &[]);
        let mut previous = self.previous.borrow_mut();
        let (counters, dropped) = (self.store.counters(), logging::dropped_lines());
        for class in RequestClass::ALL {
            let (new, old) = (counters.of(class), previous.0.of(class));
            let increments = [
                ("write", new.writes - old.writes),
                ("read", new.reads - old.reads),
                ("failure", new.failures - old.failures),
                ("commit", new.committed - old.committed),
            ];
            for (kind, count) in increments {
                let labels = [
                    KeyValue::new("duty", class.name()),
                    KeyValue::new("kind", kind),
                ];
                self.store_calls.add(count, &labels);
            }
        }
        self.lines_dropped.add(dropped - previous.1, &[]);
        *previous = (counters, dropped);
    }
}

impl Handler for ProcessMetrics {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        if &*request.path != PATH {
            return Response::new(404, "");
        }
        self.refresh();
        match self.metrics.to_text() {
            Ok(text) => {
                Response::new(200, text).with_header("content-type", "text/plain; version=0.0.4")
            }
            Err(error) => Response::error(&error),
        }
    }
}

/// Serves the metrics of a process at `address` until the returned task is dropped. A process that cannot bind
/// the address logs a warning and runs without a metrics server.
pub(crate) async fn serve_metrics(
    address: SocketAddr,
    ports: &Ports,
    state: Box<dyn Fn() -> ProcessState>,
) -> Option<JoinHandle<()>> {
    let server = match Server::bind(address, ServerLimits::default()).await {
        Ok(server) => server,
        Err(error) => {
            warn!(target: event::METRICS_UNAVAILABLE, address:% = address; "{error}");
            return None;
        }
    };
    let handler = ProcessMetrics::new(ports.metrics.clone(), ports.store.clone(), state);
    let served = server.serve(Rc::new(handler), Drain::new());
    Some(compio::runtime::spawn(served))
}
