//! The agent, which runs next to a worker and its backend server.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::JoinHandle;
use log::info;
use log::warn;
use opentelemetry::metrics::Counter;
use serde::Deserialize;
use serde::Serialize;

use crate::common::Clients;
use crate::common::METRICS_PATH;
use crate::common::handle_health;
use crate::common::wait_at_most;
use crate::gauges::Gauges;
use crate::job_table::JobTable;
use crate::options::NodeOptions;
use crate::owner::DataCentreOwner;
use crate::owner::messages::AgentReport;
use crate::settings::AgentSettings;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::RegionId;
use nutmegwalk_base::Result;
use nutmegwalk_base::metrics::Metrics;
use nutmegwalk_base::new_incarnation;
use nutmegwalk_base::succession::ReceivedAnswer;
use nutmegwalk_calls::Load;
use nutmegwalk_calls::ServerReport;
use nutmegwalk_calls::ServerSlots;
use nutmegwalk_calls::SlotSettings;
use nutmegwalk_config::WorkerShape;
use nutmegwalk_gang::AttemptPhase;
use nutmegwalk_gang::GangAgent;
use nutmegwalk_gang::HttpWorker;
use nutmegwalk_gang::Resources;
use nutmegwalk_gang::StartPermission;
use nutmegwalk_lease::OwnerRow;
use nutmegwalk_lease::Ownership;
use nutmegwalk_net::Client;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Handler;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;
use nutmegwalk_net::Server;
use nutmegwalk_net::ServerLimits;
use nutmegwalk_net::encode;
use nutmegwalk_store::RequestClass;
use nutmegwalk_store::StoreClient;
use nutmegwalk_sync::Membership;
use nutmegwalk_sync::Payload;
use nutmegwalk_sync::Report;
use nutmegwalk_sync::Role;
use nutmegwalk_sync::SyncClient;
use nutmegwalk_sync::SyncServer;
use nutmegwalk_sync::SyncTimings;
use nutmegwalk_sync::View;

/// Interval of reports to the owner while nothing changes.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the check for changes that are reported immediately.
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one report to the owner.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a stopping agent keeps reporting that it drains, and refuses calls, so that entry hosts
/// stop routing to it before its connections close. The report takes up to two seconds to arrive: one poll
/// and one relay in between, each once a second.
const SHUTDOWN_NOTICE: Duration = Duration::from_secs(2);
/// Maximum number of relays of a data centre that contend for its ownership.
const MAX_CONTENDERS: usize = 3;
/// Deadline of an owner's store requests; the owner retries them.
const OWNER_STORE_DEADLINE: Duration = Duration::from_secs(3);

/// Payload of an agent's synchronization report, read by entry hosts.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AgentPayload {
    /// Region of the agent.
    pub region: RegionId,
    /// The backend server next to the agent; `None` while none is alive.
    pub server: Option<ServerReport>,
}

/// A running agent.
pub struct Agent {
    shared: Rc<Shared>,
    server: Server,
}

struct Shared {
    settings: AgentSettings,
    incarnation: Incarnation,
    /// Number of the last report to an owner.
    report_number: Cell<u64>,
    /// Last answer of an owner to a report that this process has received.
    last_answer: Cell<ReceivedAnswer>,
    address: SocketAddr,
    client: Client,
    view: View,
    membership: Membership,
    sync: SyncClient,
    sync_server: SyncServer,
    gangs: GangAgent,
    slots: ServerSlots,
    ownership: Rc<Ownership>,
    owner: DataCentreOwner,
    metrics: Metrics,
    gauges: Gauges,
    store: StoreClient,
    requests: Counter<u64>,
    /// Started when a planned stop begins.
    drain: Drain,
    /// Started once the calls in flight have ended or the drain limit has passed; until then the agent
    /// keeps reporting that it drains.
    closing: Drain,
    /// Task that contends for the ownership; dropping it ends the contention.
    contention: RefCell<Option<JoinHandle<()>>>,
}

/// Permits task starts only while a recently confirmed view has the data centre in service.
struct AgentPermission {
    data_centre: DataCentreId,
    view: View,
}

impl StartPermission for AgentPermission {
    fn check(&self, _epoch: Epoch) -> Result<()> {
        self.view.check_start_permission(&self.data_centre)
    }
}

impl Agent {
    /// Binds the agent's listening address and creates its components.
    ///
    /// # Errors
    /// `invalid_setting` or `address_in_use`.
    pub async fn bind(settings: AgentSettings, options: NodeOptions) -> Result<Self> {
        settings.check()?;
        let common = &settings.common;
        let server = Server::bind(common.listen, ServerLimits::default()).await?;
        let address = server.local_address();
        let incarnation = new_incarnation();
        let clients = Clients::new(common, &options)?;
        let mut timings = SyncTimings::default();
        if let Some(isolated_after) = options.isolated_after {
            timings.isolated_after = isolated_after;
        }
        let view = View::new(timings);
        let membership = Membership::new(timings);
        let report = Report {
            process: common.name.clone(),
            role: Role::Agent,
            incarnation,
            data_centre: Some(common.data_centre.clone()),
            worker: Some(settings.worker.clone()),
            address,
            draining: false,
            payload: Payload::default(),
            revision: 1,
        };
        let sync = SyncClient::new(
            clients.client.clone(),
            view.clone(),
            report,
            settings.entries.clone(),
            timings,
        )
        .with_forwarded_members(membership.clone());
        sync.set_remote_entries(settings.far_entries.clone());
        let sync_server = SyncServer::new(
            view.clone(),
            membership.clone(),
            common.secret.clone(),
            timings,
        )
        .with_announced_relays(sync.relays());
        let worker = HttpWorker::new(
            clients.client.clone(),
            settings.worker_address,
            settings.worker.clone(),
        );
        let permission = Rc::new(AgentPermission {
            data_centre: common.data_centre.clone(),
            view: view.clone(),
        });
        let capacity = Resources {
            cores: settings.cores,
            memory_mb: settings.memory_mb,
            accelerators: settings.accelerators,
        };
        let gangs = GangAgent::new(
            Rc::new(worker),
            clients.client.clone(),
            common.secret.clone(),
            address,
            permission,
        )
        .with_capacity(capacity);
        let slots = ServerSlots::new(incarnation, common.secret.clone(), SlotSettings::default());
        let ownership = Rc::new(Ownership::new(
            clients.store.clone(),
            common.data_centre.clone(),
            common.name.clone(),
            address.to_string(),
        ));
        let jobs =
            JobTable::new(clients.store_for_class(RequestClass::Progress, OWNER_STORE_DEADLINE));
        let owner = DataCentreOwner::new(
            common.data_centre.clone(),
            Rc::clone(&ownership),
            jobs,
            clients.client.clone(),
            view.clone(),
            common.secret.clone(),
        )
        .with_policy(options.policy);
        let metrics = Metrics::new()?;
        let requests = metrics.meter().u64_counter("nutmegwalk_requests").build();
        let shared = Shared {
            incarnation,
            report_number: Cell::new(0),
            last_answer: Cell::default(),
            address,
            client: clients.client,
            view,
            membership,
            sync,
            sync_server,
            gangs,
            slots,
            ownership,
            owner,
            gauges: Gauges::new(&metrics),
            store: clients.store,
            metrics,
            requests,
            drain: Drain::new(),
            closing: Drain::new(),
            contention: RefCell::new(None),
            settings,
        };
        Ok(Self {
            shared: Rc::new(shared),
            server,
        })
    }

    /// Returns the address that the agent listens on.
    #[must_use]
    pub fn local_address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Runs the agent until `stop` starts, then finishes the calls in flight.
    ///
    /// The worker's tasks keep running: an agent process that starts within the gang lease adopts them.
    pub async fn run(self, stop: Drain) {
        let Self { shared, server } = self;
        let name = &*shared.settings.common.name;
        info!(process = name, address:% = shared.address; "agent started");
        let served =
            compio::runtime::spawn(server.serve(Rc::clone(&shared), shared.closing.clone()));
        shared.spawn_background_tasks();
        stop.started().await;
        info!(process = name; "agent is stopping");
        shared.drain.start();
        shared.slots.drain();
        shared.sync.set_draining(true);
        let limit = Duration::from_millis(shared.settings.common.drain_ms);
        let is_contender = shared.contention.borrow().is_some();
        if is_contender && let Err(error) = shared.ownership.release().await {
            warn!(process = name; "cannot release the ownership lease: {error}");
        }
        compio::time::sleep(SHUTDOWN_NOTICE).await;
        wait_at_most(limit, shared.slots.idle()).await;
        shared.gangs.shut_down();
        shared.closing.start();
        wait_at_most(limit, async {
            let _ = served.await;
        })
        .await;
        info!(process = name; "agent stopped");
    }
}

impl Shared {
    fn spawn_background_tasks(self: &Rc<Self>) {
        let shared = Rc::clone(self);
        compio::runtime::spawn(async move { shared.sync.run(shared.closing.clone()).await })
            .detach();
        let shared = Rc::clone(self);
        compio::runtime::spawn(async move { shared.membership.run(shared.closing.clone()).await })
            .detach();
        let shared = Rc::clone(self);
        compio::runtime::spawn(async move { shared.owner.run(shared.drain.clone()).await })
            .detach();
        let shared = Rc::clone(self);
        compio::runtime::spawn(async move { shared.recover_tasks().await }).detach();
        let shared = Rc::clone(self);
        compio::runtime::spawn(async move { shared.report_to_owner().await }).detach();
        let shared = Rc::clone(self);
        compio::runtime::spawn(async move { shared.apply_view_changes().await }).detach();
    }

    /// Adopts the tasks that the worker still runs from an earlier process of this agent.
    async fn recover_tasks(&self) {
        while !self.drain.is_started() {
            match self.gangs.recover().await {
                Ok(()) => return,
                Err(error) => {
                    warn!(worker = &*self.settings.worker; "cannot read the worker's tasks: {error}")
                }
            }
            compio::time::sleep(Duration::from_millis(500)).await;
        }
    }

    /// Reports to the owner of the data centre: immediately after a change or under a new owner,
    /// otherwise once a second.
    async fn report_to_owner(&self) {
        let mut sent_state = None;
        let mut last_sent: Option<Instant> = None;
        let mut failing = false;
        while !self.closing.is_started() {
            let report = self.gangs.report();
            // The epoch is included because a new owner waits for the first report under its epoch.
            let state = (report.sequence, report.epoch_floor);
            let is_due = last_sent.is_none_or(|sent| sent.elapsed() >= REPORT_INTERVAL);
            if (is_due || sent_state != Some(state))
                && let Some(owner) = self.owner_row().and_then(|row| row.address.parse().ok())
            {
                last_sent = Some(Instant::now());
                match self
                    .client
                    .send(owner, &self.agent_report(), REPORT_TIMEOUT)
                    .await
                {
                    Ok(answer) => {
                        self.gangs.acknowledge(answer.acknowledged);
                        self.last_answer.set(ReceivedAnswer {
                            epoch: answer.epoch,
                            owner_clock_ms: answer.owner_clock_ms,
                        });
                        sent_state = (!answer.is_unconfirmed).then_some(state);
                        failing = false;
                    }
                    Err(error) => {
                        if !failing {
                            warn!(process = &*self.settings.common.name; "cannot report to the owner: {error}");
                        }
                        failing = true;
                    }
                }
            }
            compio::time::sleep(if failing {
                CHANGE_POLL_INTERVAL * 3
            } else {
                CHANGE_POLL_INTERVAL
            })
            .await;
        }
    }

    fn agent_report(&self) -> AgentReport {
        let settings = &self.settings;
        self.report_number.set(self.report_number.get() + 1);
        AgentReport {
            process: settings.common.name.clone(),
            incarnation: self.incarnation,
            number: self.report_number.get(),
            last_answer: Some(self.last_answer.get()),
            address: self.address,
            data_centre: settings.common.data_centre.clone(),
            rack: settings.rack.clone(),
            shape: WorkerShape {
                cores: settings.cores,
                memory_mb: settings.memory_mb,
                accelerators: settings.accelerators,
            },
            draining: self.drain.is_started(),
            gangs: self.gangs.report(),
        }
    }

    fn owner_row(&self) -> Option<OwnerRow> {
        let owners = self.view.owners();
        let value = owners.get(&self.settings.common.data_centre)?;
        serde_json::from_str(&value.value).ok()
    }

    /// Applies the owner's epoch and the choice of relays from the view, ends all tasks when they may have
    /// been started elsewhere, and updates the payload of the synchronization report.
    async fn apply_view_changes(self: &Rc<Self>) {
        let started = Instant::now();
        while !self.closing.is_started() {
            // Only a read made after this process started yields the lowest epoch that it may accept.
            if self
                .view
                .confirmed_at()
                .is_some_and(|confirmed| confirmed > started)
                && let Some(row) = self.owner_row()
            {
                self.gangs.set_epoch_floor(row.epoch);
            }
            if !self.drain.is_started() {
                self.contend();
            }
            if self.must_end_tasks() && self.has_active_gangs() {
                self.gangs.end_all().await;
            }
            self.sync
                .set_payload(&encode(&self.payload()).unwrap_or_default());
            compio::time::sleep(CHANGE_POLL_INTERVAL).await;
        }
    }

    /// Returns whether the tasks may have been started elsewhere: this process has been isolated for too
    /// long, or an operator declared the data centre lost.
    fn must_end_tasks(&self) -> bool {
        let configuration = self.view.configuration();
        let out = configuration
            .taken_out
            .get(&self.settings.common.data_centre);
        self.view.is_isolated() || out.is_some_and(|out| out.lost)
    }

    fn has_active_gangs(&self) -> bool {
        let ended_phases = [AttemptPhase::Ending, AttemptPhase::Ended];
        let attempts = self.gangs.report().attempts;
        attempts
            .iter()
            .any(|attempt| !ended_phases.contains(&attempt.phase))
    }

    /// Contends for the ownership of the data centre if this process is one of the first relays.
    ///
    /// A data centre that is too small for relays has so few agents that all may contend.
    fn contend(self: &Rc<Self>) {
        let relays = self.sync.relays();
        let relays = relays.borrow();
        let name = &self.settings.common.name;
        let is_contender = relays.is_empty()
            || relays
                .iter()
                .take(MAX_CONTENDERS)
                .any(|relay| relay.process == *name);
        let mut contention = self.contention.borrow_mut();
        if !is_contender {
            // All agents contend until the first relays are chosen, and each contender costs the store
            // two reads a second. An owner keeps the lease, because a takeover would interrupt starts.
            if self.ownership.current().is_none() {
                contention.take();
            }
        } else if contention.is_none() && self.view.age().is_some() {
            let ownership = Rc::clone(&self.ownership);
            *contention = Some(compio::runtime::spawn(async move { ownership.run().await }));
        }
    }

    fn payload(&self) -> AgentPayload {
        let server = self.slots.report().map(|report| {
            // The load changes with each call and is returned with each answer; it is left out here to save
            // bandwidth.
            let load = Load {
                in_use: 0,
                queued: 0,
                service_us: 0,
                ..report.load
            };
            ServerReport { load, ..report }
        });
        AgentPayload {
            region: self.settings.common.region.clone(),
            server,
        }
    }
}

impl Handler for Shared {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        self.requests.add(1, &[]);
        if &*request.path == METRICS_PATH {
            self.gauges.record_common(&self.view, &self.store);
            self.gauges.record_slots(self.slots.counts());
            if let Ok(summary) = self.owner.summary() {
                self.gauges.record_owner(&summary);
            }
        }
        if let Some(response) =
            handle_health(&request, &self.view, &self.drain, &self.metrics, true)
        {
            return response;
        }
        if let Some(response) = self.sync_server.handle(&request) {
            return response;
        }
        if let Some(response) = self.owner.handle(&request) {
            return response;
        }
        if let Some(response) = self.slots.handle(&request).await {
            return response;
        }
        if let Some(response) = self.gangs.handle(&request).await {
            return response;
        }
        Response::new(404, "")
    }
}
