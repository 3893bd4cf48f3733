//! The agent beside a worker and its backend server.

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

use crate::common::Links;
use crate::common::METRICS_PATH;
use crate::common::bounded;
use crate::common::handle_health;
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
use nutmegwalk_store::Duty;
use nutmegwalk_store::StoreClient;
use nutmegwalk_sync::Membership;
use nutmegwalk_sync::Payload;
use nutmegwalk_sync::Report;
use nutmegwalk_sync::Role;
use nutmegwalk_sync::SyncClient;
use nutmegwalk_sync::SyncServer;
use nutmegwalk_sync::SyncTimings;
use nutmegwalk_sync::View;

/// Time between two reports to the owner when nothing has changed.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two looks for changes that are reported at once.
const CHANGE_POLL: Duration = Duration::from_millis(100);
/// Time for one report to the owner.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a stopping agent still reports and refuses calls, so that entry hosts learn that it
/// leaves before its connections close; a poll a second and a relay in between need two seconds.
const LEAVE_NOTICE: Duration = Duration::from_secs(2);
/// Processes of a data centre that contend for its ownership.
const MAX_CONTENDERS: usize = 3;
/// Time for the store requests of an owner, which are repeated by the owner.
const OWNER_STORE_DEADLINE: Duration = Duration::from_secs(3);

/// What an agent tells entry hosts through its synchronization report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AgentPayload {
    /// Region of the agent.
    pub region: RegionId,
    /// The backend server beside the agent, if one has announced itself.
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
    /// Starts with the planned stop.
    drain: Drain,
    /// Starts when the calls in flight have ended; until then the agent reports that it leaves.
    closing: Drain,
    /// Contention for the ownership; dropping it ends the contention.
    contending: RefCell<Option<JoinHandle<()>>>,
}

/// Lets tasks start only under a recent view in which the data centre is in service.
struct AgentPermission {
    data_centre: DataCentreId,
    view: View,
}

impl StartPermission for AgentPermission {
    fn check(&self, _epoch: Epoch) -> Result<()> {
        self.view.start_permission(&self.data_centre)
    }
}

impl Agent {
    /// Binds the agent's address and sets everything up.
    ///
    /// # Errors
    /// `invalid_setting` or `address_in_use`.
    pub async fn bind(settings: AgentSettings, options: NodeOptions) -> Result<Self> {
        settings.check()?;
        let common = &settings.common;
        let server = Server::bind(common.listen, ServerLimits::default()).await?;
        let address = server.local_address();
        let incarnation = new_incarnation();
        let links = Links::new(common, &options)?;
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
            links.client.clone(),
            view.clone(),
            report,
            settings.entries.clone(),
            timings,
        )
        .with_members(membership.clone());
        sync.set_remote_entries(settings.far_entries.clone());
        let sync_server = SyncServer::new(
            view.clone(),
            membership.clone(),
            common.secret.clone(),
            timings,
        )
        .with_announced_relays(sync.relays());
        let worker = HttpWorker::new(
            links.client.clone(),
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
            links.client.clone(),
            common.secret.clone(),
            address,
            permission,
        )
        .with_capacity(capacity);
        let slots = ServerSlots::new(incarnation, common.secret.clone(), SlotSettings::default());
        let ownership = Rc::new(Ownership::new(
            links.store.clone(),
            common.data_centre.clone(),
            common.name.clone(),
            address.to_string(),
        ));
        let jobs = JobTable::new(links.duty(Duty::Progress, OWNER_STORE_DEADLINE));
        let owner = DataCentreOwner::new(
            common.data_centre.clone(),
            Rc::clone(&ownership),
            jobs,
            links.client.clone(),
            view.clone(),
            common.secret.clone(),
        )
        .with_policy(options.policy);
        let metrics = Metrics::new()?;
        let requests = metrics.meter().u64_counter("nutmegwalk_requests").build();
        let shared = Shared {
            incarnation,
            address,
            client: links.client,
            view,
            membership,
            sync,
            sync_server,
            gangs,
            slots,
            ownership,
            owner,
            gauges: Gauges::new(&metrics),
            store: links.store,
            metrics,
            requests,
            drain: Drain::new(),
            closing: Drain::new(),
            contending: RefCell::new(None),
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
    /// The tasks of the worker go on: a successor that starts within the gang lease takes them over.
    pub async fn run(self, stop: Drain) {
        let Self { shared, server } = self;
        let name = &*shared.settings.common.name;
        info!(process = name, address:% = shared.address; "agent started");
        let served =
            compio::runtime::spawn(server.serve(Rc::clone(&shared), shared.closing.clone()));
        shared.spawn_duties();
        stop.started().await;
        info!(process = name; "agent is stopping");
        shared.drain.start();
        shared.slots.drain();
        shared.sync.set_draining(true);
        let limit = Duration::from_millis(shared.settings.common.drain_ms);
        let is_contending = shared.contending.borrow().is_some();
        if is_contending && let Err(error) = shared.ownership.release().await {
            warn!(process = name; "{error}");
        }
        compio::time::sleep(LEAVE_NOTICE).await;
        bounded(limit, shared.slots.idle()).await;
        shared.gangs.shut_down();
        shared.closing.start();
        bounded(limit, async {
            let _ = served.await;
        })
        .await;
        info!(process = name; "agent stopped");
    }
}

impl Shared {
    fn spawn_duties(self: &Rc<Self>) {
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
        compio::runtime::spawn(async move { shared.recover().await }).detach();
        let shared = Rc::clone(self);
        compio::runtime::spawn(async move { shared.report().await }).detach();
        let shared = Rc::clone(self);
        compio::runtime::spawn(async move { shared.follow_view().await }).detach();
    }

    /// Takes over the tasks that the worker still runs for a predecessor of this process.
    async fn recover(&self) {
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

    /// Reports to the owner of the data centre: at once after a change and to a new owner, else once a
    /// second.
    async fn report(&self) {
        let mut sent_state = None;
        let mut last_sent: Option<Instant> = None;
        let mut failing = false;
        while !self.closing.is_started() {
            let report = self.gangs.report();
            // A new owner waits for the first report under its epoch.
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
                        sent_state = Some(state);
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
                CHANGE_POLL * 3
            } else {
                CHANGE_POLL
            })
            .await;
        }
    }

    fn agent_report(&self) -> AgentReport {
        let settings = &self.settings;
        AgentReport {
            process: settings.common.name.clone(),
            incarnation: self.incarnation,
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

    /// Acts on what the view says about the owner's epoch and the relays, and keeps the payload fresh.
    async fn follow_view(self: &Rc<Self>) {
        let started = Instant::now();
        while !self.closing.is_started() {
            // Only a read made after this process started tells the lowest epoch that it may obey.
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
            compio::time::sleep(CHANGE_POLL).await;
        }
    }

    /// Returns whether the tasks may have been started elsewhere: nobody could reach this process for
    /// very long, or an operator gave the data centre up.
    fn must_end_tasks(&self) -> bool {
        let configuration = self.view.configuration();
        let out = configuration
            .taken_out
            .get(&self.settings.common.data_centre);
        self.view.is_isolated() || out.is_some_and(|out| out.lost)
    }

    fn has_active_gangs(&self) -> bool {
        let over = [AttemptPhase::Ending, AttemptPhase::Ended];
        let attempts = self.gangs.report().attempts;
        attempts.iter().any(|part| !over.contains(&part.phase))
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
        let mut contending = self.contending.borrow_mut();
        if !is_contender {
            // All agents contend until the first relays are chosen, and each contender costs the store
            // two reads a second. An owner stays, because a takeover would interrupt starts.
            if self.ownership.current().is_none() {
                contending.take();
            }
        } else if contending.is_none() && self.view.age().is_some() {
            let ownership = Rc::clone(&self.ownership);
            *contending = Some(compio::runtime::spawn(async move { ownership.run().await }));
        }
    }

    fn payload(&self) -> AgentPayload {
        let server = self.slots.report().map(|report| {
            // The load changes with each call and travels on the answers; here it would only cost bytes.
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
