//! The entry host, which serves requests of callers and operators.

mod auth;
mod dispatch;
mod failover;
mod jobs;
mod operators;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use log::info;
use log::warn;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;

use crate::agent::AgentPayload;
use crate::common::Clients;
use crate::common::METRICS_PATH;
use crate::common::handle_health;
use crate::common::wait_at_most;
use crate::entry::auth::Authenticator;
use crate::entry::dispatch::DataCentres;
use crate::entry::dispatch::Dispatcher;
use crate::entry::failover::DataCentreFailover;
use crate::entry::jobs::JobApi;
use crate::entry::operators::OperatorApi;
use crate::gauges::Gauges;
use crate::job_table::JobTable;
use crate::options::NodeOptions;
use crate::settings::EntrySettings;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::Result;
use nutmegwalk_base::metrics::Metrics;
use nutmegwalk_base::new_incarnation;
use nutmegwalk_calls::CallRequest;
use nutmegwalk_calls::Claims;
use nutmegwalk_calls::ClaimsSettings;
use nutmegwalk_calls::Router;
use nutmegwalk_calls::RouterSettings;
use nutmegwalk_calls::ServerEntry;
use nutmegwalk_lease::Ownership;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Handler;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;
use nutmegwalk_net::Server;
use nutmegwalk_net::ServerLimits;
use nutmegwalk_net::decode;
use nutmegwalk_store::RequestClass;
use nutmegwalk_store::StoreClient;
use nutmegwalk_sync::Member;
use nutmegwalk_sync::Membership;
use nutmegwalk_sync::Payload;
use nutmegwalk_sync::Publisher;
use nutmegwalk_sync::Report;
use nutmegwalk_sync::Role;
use nutmegwalk_sync::SyncClient;
use nutmegwalk_sync::SyncServer;
use nutmegwalk_sync::SyncTimings;
use nutmegwalk_sync::View;
use nutmegwalk_sync::ViewReader;

/// Time without reports after which a data centre's jobs are moved: longer than the longest network
/// partition between regions, and longer than the time after which isolated agents stop their tasks.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(75 * 60);
/// Deadline of store requests made for a caller or operator.
const STORE_DEADLINE: Duration = Duration::from_secs(4);
/// Interval of the check for changes of the membership and the configuration.
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Deadline of a call to a service that is not configured; such a call is refused.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Time for which a stopping entry host still serves requests, with `/healthz` at 503 and each response
/// closing its connection, so that the load balancer and callers switch to other entry hosts before idle
/// connections are closed.
const SHUTDOWN_NOTICE: Duration = Duration::from_secs(2);
/// Time within which the agents' reports reach an entry host that has just started: a poll of the agents,
/// a relay, and a poll between entry hosts, of one second each.
const WARM_UP: Duration = Duration::from_secs(3);
/// Interval of the removal of expired claims.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);
/// Name of the dispatcher's lease.
const DISPATCH_LEASE: &str = "dispatch";

/// A running entry host.
pub struct Entry {
    shared: Rc<Shared>,
    server: Server,
}

struct Shared {
    settings: EntrySettings,
    address: SocketAddr,
    view: View,
    membership: Membership,
    reader: ViewReader,
    peers: SyncClient,
    sync_server: SyncServer,
    authenticator: Authenticator,
    router: Router,
    claims: Claims,
    jobs: JobApi,
    operators: OperatorApi,
    data_centres: Rc<DataCentres>,
    dispatcher: Dispatcher,
    dispatch_lease: Rc<Ownership>,
    metrics: Metrics,
    gauges: Gauges,
    store: StoreClient,
    requests: Counter<u64>,
    /// Started when a planned stop begins.
    drain: Drain,
    /// Whether calls can be routed: a backend server is known, or [`WARM_UP`] has passed.
    warm: Cell<bool>,
    /// Started once callers have had [`SHUTDOWN_NOTICE`] to switch to other entry hosts.
    closing: Drain,
}

impl Entry {
    /// Binds the entry host's listening address and creates its components.
    ///
    /// # Errors
    /// `invalid_setting` or `address_in_use`.
    pub async fn bind(settings: EntrySettings, options: NodeOptions) -> Result<Self> {
        settings.check()?;
        let common = &settings.common;
        let server = Server::bind(common.listen, ServerLimits::default()).await?;
        let address = server.local_address();
        let clients = Clients::new(common, &options)?;
        let timings = SyncTimings::default();
        let view = View::new(timings);
        let membership = Membership::new(timings);
        let configuration_store =
            clients.store_for_class(RequestClass::Ownership, timings.read_timeout);
        let reader = ViewReader::new(
            configuration_store.clone(),
            configuration_store,
            view.clone(),
            timings,
        );
        let report = Report {
            process: common.name.clone(),
            role: Role::Entry,
            incarnation: new_incarnation(),
            data_centre: None,
            worker: None,
            address,
            draining: false,
            payload: Payload::default(),
            revision: 1,
        };
        let peers = SyncClient::new(
            clients.client.clone(),
            view.clone(),
            report,
            settings.peers.clone(),
            timings,
        )
        .with_forwarded_members(membership.clone());
        let acceptance = clients.store_for_class(RequestClass::Acceptance, STORE_DEADLINE);
        let claims = Claims::new(
            acceptance.clone(),
            acceptance.clone(),
            ClaimsSettings::default(),
        );
        let router_settings =
            RouterSettings::new(common.data_centre.clone(), common.region.clone())
                .with_policy(options.routing);
        let router = Router::new(
            clients.client.clone(),
            router_settings,
            Some(claims.clone()),
        );
        let data_centres = Rc::new(DataCentres::new(view.clone(), clients.client.clone()));
        let jobs = JobTable::new(acceptance.clone());
        let dispatch_lease = Rc::new(Ownership::new(
            clients.store.clone(),
            DISPATCH_LEASE,
            common.name.clone(),
            address.to_string(),
        ));
        let progress =
            JobTable::new(clients.store_for_class(RequestClass::Progress, STORE_DEADLINE));
        let failover = DataCentreFailover::new(
            clients.store.clone(),
            common.name.clone(),
            address.to_string().into(),
            progress.clone(),
            view.clone(),
            membership.clone(),
            options.unreachable_after.unwrap_or(UNREACHABLE_AFTER),
        );
        let dispatcher = Dispatcher::new(
            Rc::clone(&dispatch_lease),
            progress,
            Rc::clone(&data_centres),
            failover,
        );
        let metrics = Metrics::new()?;
        let shared = Shared {
            address,
            sync_server: SyncServer::new(
                view.clone(),
                membership.clone(),
                common.secret.clone(),
                timings,
            ),
            authenticator: Authenticator::new(
                view.clone(),
                settings.bootstrap_operator_digest.clone(),
            ),
            jobs: JobApi {
                view: view.clone(),
                client: clients.client.clone(),
                jobs,
                data_centres: Rc::clone(&data_centres),
            },
            operators: OperatorApi {
                view: view.clone(),
                membership: membership.clone(),
                publisher: Publisher::new(acceptance.clone(), acceptance),
                data_centres: Rc::clone(&data_centres),
            },
            gauges: Gauges::new(&metrics),
            store: clients.store.clone(),
            requests: metrics.meter().u64_counter("nutmegwalk_requests").build(),
            view,
            membership,
            reader,
            peers,
            router,
            claims,
            data_centres,
            dispatcher,
            dispatch_lease,
            metrics,
            drain: Drain::new(),
            warm: Cell::new(false),
            closing: Drain::new(),
            settings,
        };
        Ok(Self {
            shared: Rc::new(shared),
            server,
        })
    }

    /// Returns the address that the entry host listens on.
    #[must_use]
    pub fn local_address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Runs the entry host until `stop` starts, then finishes the requests in flight.
    pub async fn run(self, stop: Drain) {
        let Self { shared, server } = self;
        let name = &*shared.settings.common.name;
        info!(process = name, address:% = shared.address; "entry host started");
        let served =
            compio::runtime::spawn(server.serve(Rc::clone(&shared), shared.closing.clone()));
        shared.spawn_background_tasks();
        stop.started().await;
        info!(process = name; "entry host is stopping");
        let limit = Duration::from_millis(shared.settings.common.drain_ms);
        shared.drain.start();
        if let Err(error) = shared.dispatch_lease.release().await {
            warn!(process = name; "cannot release the dispatcher's lease: {error}");
        }
        compio::time::sleep(SHUTDOWN_NOTICE).await;
        shared.closing.start();
        wait_at_most(limit, async {
            let _ = served.await;
            shared.router.idle().await;
        })
        .await;
        info!(process = name; "entry host stopped");
    }
}

impl Shared {
    fn spawn_background_tasks(self: &Rc<Self>) {
        let shared = Rc::clone(self);
        compio::runtime::spawn(async move { shared.reader.run(shared.closing.clone()).await })
            .detach();
        let shared = Rc::clone(self);
        compio::runtime::spawn(async move { shared.membership.run(shared.closing.clone()).await })
            .detach();
        let shared = Rc::clone(self);
        compio::runtime::spawn(async move {
            shared.peers.poll_entry_hosts(shared.closing.clone()).await
        })
        .detach();
        let shared = Rc::clone(self);
        compio::runtime::spawn(
            async move { shared.data_centres.run(shared.closing.clone()).await },
        )
        .detach();
        let shared = Rc::clone(self);
        compio::runtime::spawn(async move { shared.dispatcher.run(shared.drain.clone()).await })
            .detach();
        let shared = Rc::clone(self);
        compio::runtime::spawn(async move { shared.sweep_claims().await }).detach();
        let lease = Rc::clone(&self.dispatch_lease);
        compio::runtime::spawn(async move { lease.run().await }).detach();
        let shared = Rc::clone(self);
        compio::runtime::spawn(async move { shared.update_router().await }).detach();
    }

    /// Removes expired claims while this entry host holds the dispatcher's lease.
    async fn sweep_claims(&self) {
        while !self.drain.is_started() {
            compio::time::sleep(SWEEP_INTERVAL).await;
            if self.dispatch_lease.current().is_none() {
                continue;
            }
            for customer in self.view.configuration().customers.keys() {
                if let Err(error) = self.claims.remove_expired(customer).await {
                    warn!(customer = &**customer; "cannot remove expired claims: {error}");
                    break;
                }
            }
        }
    }

    /// Updates the router's servers and rates after changes of the membership or the configuration, and sets
    /// `warm` once calls can be routed.
    async fn update_router(&self) {
        let mut seen = None;
        let mut known_since = None;
        while !self.closing.is_started() {
            if !self.warm.get() && self.view.version() > 0 {
                let since: &mut Instant = known_since.get_or_insert_with(Instant::now);
                if since.elapsed() >= WARM_UP || !self.servers().is_empty() {
                    self.warm.set(true);
                }
            }
            let newest = (self.membership.revision(), self.view.version());
            if seen != Some(newest) {
                seen = Some(newest);
                self.router.update_servers(self.servers());
                self.router.set_customer_rates(&self.customer_rates());
            }
            compio::time::sleep(CHANGE_POLL_INTERVAL).await;
        }
    }

    /// Returns the backend servers of live agents; those that get no new calls are marked as leaving.
    fn servers(&self) -> Vec<ServerEntry> {
        let configuration = self.view.configuration();
        let entry = |member: Member| {
            let payload: AgentPayload = decode(member.report.payload.as_bytes()).ok()?;
            let data_centre = member.report.data_centre.clone()?;
            let is_out = configuration.taken_out.contains_key(&data_centre);
            let mut entry =
                payload
                    .server?
                    .into_entry(member.report.address, data_centre, payload.region);
            // Calls in flight finish; a draining server, or one in a data centre out of service, gets no new
            // calls.
            entry.leaving |= member.report.draining || is_out;
            Some(entry)
        };
        self.membership
            .alive()
            .into_iter()
            .filter_map(entry)
            .collect()
    }

    /// Returns this entry host's share of the call rates guaranteed to customers.
    fn customer_rates(&self) -> BTreeMap<Box<str>, f64> {
        let entries = self.settings.peers.len() + 1;
        let configuration = self.view.configuration();
        let rates = configuration.customers.iter().map(|(name, customer)| {
            #[expect(clippy::cast_precision_loss, reason = "there are a few entry hosts")]
            let rate = f64::from(customer.calls_per_second) / entries as f64;
            (name.clone(), rate)
        });
        rates.collect()
    }

    fn record_gauges(&self) {
        self.gauges.record_common(&self.view, &self.store);
        self.gauges.record_router(self.router.counts());
        self.gauges.record_members(self.membership.alive().len());
        for (customer, count_bytes) in self.router.cross_region_bytes() {
            self.gauges.record_cross_region(&customer, count_bytes);
        }
    }

    async fn call(&self, request: &Request) -> Response {
        let call = self.authenticator.customer(request).and_then(|customer| {
            let configuration = self.view.configuration();
            CallRequest::from_http(request, customer, |service| {
                configuration
                    .services
                    .get(service)
                    .map_or(DEFAULT_DEADLINE, |service| {
                        Duration::from_millis(service.deadline_ms)
                    })
            })
        });
        match call {
            Ok(call) => self.router.call(call).await.into_response(),
            Err(error) => Response::error(&error),
        }
    }

    async fn route(&self, request: &Request) -> Response {
        let path = &*request.path;
        if path.starts_with("/call/") {
            return self.call(request).await;
        }
        if let Some(subpath) = path.strip_prefix("/v1/jobs") {
            return self.route_job(request, subpath).await;
        }
        let operator = match self.authenticator.operator(request) {
            Ok(operator) => operator,
            Err(error) => return Response::error(&error),
        };
        match (&request.method, path) {
            (&Method::POST, "/v1/publish") => {
                Response::json(&self.operators.publish(&operator, &request.body).await)
            }
            (&Method::GET, "/v1/configuration") => {
                Response::json(&self.operators.configuration().await)
            }
            (&Method::POST, "/v1/take-out") => {
                Response::json(&self.operators.take_out(&operator, &request.body).await)
            }
            (&Method::POST, "/v1/return") => Response::json(
                &self
                    .operators
                    .return_to_service(&operator, &request.body)
                    .await,
            ),
            (&Method::GET, "/v1/status") => Response::json(&Ok(self.operators.status())),
            (&Method::GET, "/v1/audit") => {
                Response::json(&self.operators.audit(&request.query).await)
            }
            _ => not_found(path),
        }
    }

    async fn route_job(&self, request: &Request, subpath: &str) -> Response {
        let key = request.header("nutmegwalk-key");
        if (&request.method, subpath) == (&Method::POST, "") {
            return match self.authenticator.customer(request) {
                Ok(customer) => {
                    Response::json(&self.jobs.submit(customer, key, &request.body).await)
                }
                Err(error) => Response::error(&error),
            };
        }
        let principal = match self.authenticator.principal(request) {
            Ok(principal) => principal,
            Err(error) => return Response::error(&error),
        };
        let parts: Vec<&str> = subpath.split('/').skip(1).collect();
        match (&request.method, parts.as_slice()) {
            (&Method::GET, [job]) => Response::json(&self.jobs.status(&principal, job).await),
            (&Method::DELETE, [job]) => Response::json(&self.jobs.cancel(&principal, job).await),
            (&Method::GET, [job, "explain"]) => {
                Response::json(&self.jobs.explain(&principal, job).await)
            }
            _ => not_found(&request.path),
        }
    }
}

fn not_found(path: &str) -> Response {
    let error: Result<()> = Err(Error::new(
        ErrorKind::NotFound,
        format!("`{path}` does not exist"),
    ));
    Response::json(&error)
}

impl Handler for Shared {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        if &*request.path == METRICS_PATH {
            self.record_gauges();
        }
        if let Some(response) = handle_health(
            &request,
            &self.view,
            &self.drain,
            &self.metrics,
            self.warm.get(),
        ) {
            return response;
        }
        if let Some(response) = self.sync_server.handle(&request) {
            return response;
        }
        let response = self.route(&request).await;
        let outcome = response
            .headers
            .get("nutmegwalk-outcome")
            .and_then(|value| value.to_str().ok());
        let outcome = outcome.unwrap_or(Outcome::Done.name()).to_owned();
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
        let response = match self.drain.is_started() {
            true => response.with_header("connection", "close"),
            false => response,
        };
        log::debug!(request_id = &*request.request_id; "{} {} {}", request.method, request.path, response.status);
        response
    }
}
