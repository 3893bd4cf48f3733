//! The agent, which runs next to a worker.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::JoinHandle;
use log::info;
use log::warn;

use crate::Ports;
use crate::locator::OwnerLocator;
use crate::metrics::ProcessState;
use crate::metrics::serve_metrics;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::ProcessId;
use nutmegwalk_base::Result;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_base::new_incarnation;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_base::succession::ReceivedAnswer;
use nutmegwalk_domain::DomainMetrics;
use nutmegwalk_domain::DomainOwner;
use nutmegwalk_domain::DomainSettings;
use nutmegwalk_lease::LeaseTiming;
use nutmegwalk_lease::Ownership;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Handler;
use nutmegwalk_net::Message;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;
use nutmegwalk_net::Server;
use nutmegwalk_net::ServerLimits;
use nutmegwalk_net::spawn_restarting;
use nutmegwalk_supervisor::Orders;
use nutmegwalk_supervisor::OrdersAnswer;
use nutmegwalk_supervisor::PeersAnswer;
use nutmegwalk_supervisor::PeersRequest;
use nutmegwalk_supervisor::Report;
use nutmegwalk_supervisor::ReportAnswer;
use nutmegwalk_supervisor::Supervisor;
use nutmegwalk_supervisor::SupervisorTimings;
use nutmegwalk_supervisor::WorkerPort;

/// Interval at which the agent checks whether it should contend for the ownership.
const CONTEND_POLL: Duration = Duration::from_millis(100);
/// Time limit for sending the answers in flight at a graceful shutdown, after the lease was released.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Intervals and timeouts of an agent's reports to the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportTimings {
    /// Interval of reports while nothing changes.
    pub interval: Duration,
    /// Timeout of an answer; covers a round trip between regions and the delay of a busy owner.
    pub timeout: Duration,
    /// Pause after a report that failed or was not answered.
    pub retry_pause: Duration,
    /// Pause before the report that confirms that this process is alive; the owner's clock has to advance meanwhile, which it
    /// shows in milliseconds.
    pub confirmation_pause: Duration,
    /// Time without an answer after which an agent contends for the ownership although it is not a standby.
    pub contend_after: Duration,
}

impl Default for ReportTimings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(1_000),
            timeout: Duration::from_millis(700),
            retry_pause: Duration::from_millis(150),
            confirmation_pause: Duration::from_millis(2),
            contend_after: Duration::from_millis(3_000),
        }
    }
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the process, unique in the deployment.
    pub name: ProcessId,
    /// Address on which the agent receives messages of other processes of this system.
    pub listen: SocketAddr,
    /// Settings of the domain and of its owner.
    pub domain: DomainSettings,
    /// Timing of the ownership lease.
    pub lease: LeaseTiming,
    /// Intervals and timeouts of the reports to the owner.
    pub reports: ReportTimings,
    /// Intervals and timeouts of the worker's supervision.
    pub supervisor: SupervisorTimings,
    /// Address that serves the metrics; `None` to serve none.
    pub metrics: Option<SocketAddr>,
    /// Secret shared by the processes of the deployment; empty if the network admits only these processes.
    pub secret: Secret,
}

/// An agent whose address is bound; [`DomainAgent::run`] runs it.
pub struct DomainAgent {
    shared: Rc<Shared>,
    server: Server,
}

struct Shared {
    settings: AgentSettings,
    incarnation: Incarnation,
    address: SocketAddr,
    ports: Ports,
    supervisor: Supervisor,
    ownership: Rc<Ownership>,
    owner: DomainOwner,
    locator: OwnerLocator,
    sequence: Cell<u64>,
    /// When an owner last answered a report of this process.
    answered_at: Cell<Option<Instant>>,
    /// Last answer of an owner that this process has received.
    last_answer: Cell<ReceivedAnswer>,
    is_standby: Cell<bool>,
    contending: RefCell<Option<JoinHandle<()>>>,
    drain: Drain,
}

impl DomainAgent {
    /// Creates an agent and binds its address; [`DomainAgent::run`] starts its tasks.
    ///
    /// # Errors
    /// `address_in_use` when the address cannot be bound.
    pub async fn bind(
        settings: AgentSettings,
        ports: Ports,
        worker: Rc<dyn WorkerPort>,
    ) -> Result<Self> {
        let server = Server::bind(settings.listen, ServerLimits::default()).await?;
        let address = server.local_address();
        let ownership = Rc::new(Ownership::with_timing(
            ports.store.clone(),
            settings.domain.domain.clone(),
            settings.name.clone(),
            address.to_string(),
            settings.lease,
        ));
        let owner = DomainOwner::new(
            settings.domain.clone(),
            Rc::clone(&ownership),
            ports.store.clone(),
            Rc::clone(&ports.feed),
            Rc::clone(&ports.rows),
            ports.client.clone(),
            DomainMetrics::new(&ports.metrics.meter()),
        );
        let locator = OwnerLocator::new(
            ports.store.clone(),
            &settings.domain.domain,
            Some(Rc::clone(&ownership)),
        );
        let supervisor = Supervisor::new(worker, settings.supervisor);
        Ok(Self {
            shared: Rc::new(Shared {
                settings,
                incarnation: new_incarnation(),
                address,
                ports,
                supervisor,
                ownership,
                owner,
                locator,
                sequence: Cell::new(0),
                answered_at: Cell::new(None),
                last_answer: Cell::default(),
                is_standby: Cell::new(false),
                contending: RefCell::new(None),
                drain: Drain::new(),
            }),
            server,
        })
    }

    /// Returns the supervisor of the worker, which receives the worker's heartbeats.
    #[must_use]
    pub fn supervisor(&self) -> Supervisor {
        self.shared.supervisor.clone()
    }

    /// Runs the agent until `stop` starts.
    ///
    /// The worker's tasks keep running; an agent that is started before their lease expires takes them over.
    pub async fn run(self, stop: Drain) {
        let Self { shared, server } = self;
        let name = &*shared.settings.name;
        info!(target: event::PROCESS_STARTED, process = name, address:% = shared.address, incarnation = shared.incarnation; "");
        let served = compio::runtime::spawn(server.serve(Rc::clone(&shared), shared.drain.clone()));
        let tasks = shared.spawn_tasks();
        let metrics = shared.serve_metrics().await;
        stop.started().await;
        info!(target: event::PROCESS_STOPPING, process = name, owner = shared.owner.has_active_term(); "");
        if shared.contending.borrow().is_some()
            && let Err(error) = shared.ownership.release().await
        {
            warn!(target: event::LEASE_PROBLEM, process = name; "{error}");
        }
        drop(tasks);
        drop(metrics);
        shared.drain.start();
        if compio::time::timeout(DRAIN_TIMEOUT, served).await.is_err() {
            warn!(target: event::ANSWERS_GIVEN_UP, process = name; "shutdown timed out; answers in flight are dropped");
        }
        info!(target: event::PROCESS_STOPPED, process = name; "");
    }
}

impl Shared {
    fn spawn_tasks(self: &Rc<Self>) -> Vec<JoinHandle<()>> {
        let supervisor = self.supervisor.clone();
        let owner = Rc::clone(self);
        let reporter = Rc::clone(self);
        let contender = Rc::clone(self);
        vec![
            spawn_restarting("supervisor", move || {
                let supervisor = supervisor.clone();
                async move { supervisor.run().await }
            }),
            spawn_restarting("owner", move || {
                let owner = Rc::clone(&owner);
                async move { owner.owner.run().await }
            }),
            spawn_restarting("reporter", move || {
                let reporter = Rc::clone(&reporter);
                async move { reporter.report().await }
            }),
            spawn_restarting("contender", move || {
                let contender = Rc::clone(&contender);
                async move { contender.contend().await }
            }),
        ]
    }

    async fn serve_metrics(self: &Rc<Self>) -> Option<JoinHandle<()>> {
        let shared = Rc::clone(self);
        let state = move || ProcessState {
            policy_age: None,
            store_blocked_for: shared.ports.relayed.direct_outage().unwrap_or_default(),
            is_owner: shared.owner.has_active_term(),
        };
        serve_metrics(self.settings.metrics?, &self.ports, Box::new(state)).await
    }

    /// Reports to the owner: immediately after a change, otherwise at an interval.
    async fn report(&self) {
        let mut is_failing = false;
        loop {
            match self.report_once().await {
                Ok(answer) => {
                    if is_failing {
                        info!(target: event::OWNER_REGAINED, epoch = self.supervisor.epoch(); "");
                    }
                    is_failing = false;
                    if answer.is_unconfirmed {
                        compio::time::sleep(self.settings.reports.confirmation_pause).await;
                        continue;
                    }
                    // The timeout is the usual case: nothing changed within the interval.
                    let _ = compio::time::timeout(
                        self.settings.reports.interval,
                        self.supervisor.report_needed(),
                    )
                    .await;
                }
                Err(error) => {
                    if !is_failing {
                        warn!(target: event::OWNER_LOST, epoch = self.supervisor.epoch(); "cannot report to the owner: {error}");
                    }
                    is_failing = true;
                    if error.kind == ErrorKind::StaleEpoch {
                        self.locator.invalidate();
                    }
                    self.locator.refresh().await;
                    compio::time::sleep(self.settings.reports.retry_pause).await;
                }
            }
        }
    }

    async fn report_once(&self) -> Result<ReportAnswer> {
        let Some(address) = self.locator.address() else {
            let detail = "no owner is known";
            return Err(Error::new(ErrorKind::Unreachable, detail));
        };
        let sent_at = clock::now();
        let report = self.next_report();
        let answer = if address == self.address {
            self.owner.handle_report(&report)?
        } else {
            self.ports
                .client
                .send(address, &report, self.settings.reports.timeout)
                .await?
        };
        self.apply_answer(&answer, sent_at);
        Ok(answer)
    }

    fn apply_answer(&self, answer: &ReportAnswer, sent_at: Instant) {
        self.answered_at.set(Some(clock::now()));
        self.last_answer.set(ReceivedAnswer {
            epoch: answer.epoch,
            owner_clock_ms: answer.owner_clock_ms,
        });
        self.is_standby.set(answer.is_standby);
        self.ports.peers.set(answer.peers.clone());
        self.supervisor.apply_answer(answer, sent_at);
    }

    fn next_report(&self) -> Report {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        Report {
            agent: self.settings.name.clone(),
            incarnation: self.incarnation,
            sequence,
            address: self.address,
            epoch: self.supervisor.epoch(),
            last_answer: Some(self.last_answer.get()),
            is_eligible: !self.drain.is_started(),
            unix_ms: clock::unix_ms(),
            worker: self.supervisor.status(),
        }
    }

    /// Contends for the ownership while this agent is the owner, is a standby, or gets no answer from an owner.
    async fn contend(&self) {
        loop {
            self.contend_if_needed();
            compio::time::sleep(CONTEND_POLL).await;
        }
    }

    fn contend_if_needed(&self) {
        let mut contending = self.contending.borrow_mut();
        if !self.should_contend() {
            contending.take();
        } else if contending.is_none() {
            let ownership = Rc::clone(&self.ownership);
            *contending = Some(spawn_restarting("lease", move || {
                let ownership = Rc::clone(&ownership);
                async move { ownership.run().await }
            }));
        }
    }

    fn should_contend(&self) -> bool {
        let is_unanswered = match self.answered_at.get() {
            Some(at) => {
                clock::now().saturating_duration_since(at) > self.settings.reports.contend_after
            }
            // No answer since the start: the owner in the row may have crashed together with this agent's previous
            // process.
            None => true,
        };
        self.is_standby.get() || self.owner.has_active_term() || is_unanswered
    }

    async fn handle_orders(&self, request: &Request) -> Response {
        let result = match request.message::<Orders>(&self.settings.secret) {
            Ok(orders) => self.execute(orders).await,
            Err(error) => Err(error),
        };
        Response::message(&result)
    }

    /// Executes orders for this process. An earlier one may have reported a lapse that this one does not know, and after
    /// which the orders are void.
    async fn execute(&self, orders: Orders) -> Result<OrdersAnswer> {
        // An owner of an earlier release sends zero.
        if orders.agent_incarnation != 0 && orders.agent_incarnation != self.incarnation {
            let detail = format!(
                "the orders are for another process of agent {}",
                self.settings.name
            );
            return Err(Error::new(ErrorKind::NotFound, detail));
        }
        self.supervisor.execute(orders).await
    }

    fn handle_peers_request(&self, request: &Request) -> Result<PeersAnswer> {
        request.message::<PeersRequest>(&self.settings.secret)?;
        self.owner.peers()
    }

    fn handle_report(&self, request: &Request) -> Response {
        let result = request
            .message::<Report>(&self.settings.secret)
            .and_then(|report| self.owner.handle_report(&report));
        Response::message(&result)
    }
}

impl Handler for Shared {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        match &*request.path {
            Report::PATH => self.handle_report(&request),
            Orders::PATH => self.handle_orders(&request).await,
            PeersRequest::PATH => Response::message(&self.handle_peers_request(&request)),
            _ => match self.ports.relay.handle(&request).await {
                Some(response) => response,
                None => Response::new(404, ""),
            },
        }
    }
}
