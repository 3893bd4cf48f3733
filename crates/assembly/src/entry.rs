//! The entry host.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::runtime::JoinHandle;
use log::info;
use log::warn;

use crate::Ports;
use crate::locator::OwnerLocator;
use crate::metrics::ProcessState;
use crate::metrics::serve_metrics;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::ProcessId;
use nutmegwalk_base::Result;
use nutmegwalk_base::event;
use nutmegwalk_intake::Caller;
use nutmegwalk_intake::Intake;
use nutmegwalk_intake::IntakeMetrics;
use nutmegwalk_intake::IntakeSettings;
use nutmegwalk_intake::JobView;
use nutmegwalk_net::Drain;
use nutmegwalk_net::spawn_restarting;
use nutmegwalk_policy::PolicyView;
use nutmegwalk_supervisor::PeersRequest;

/// Interval for refreshing the list of peers, which changes as hosts join and leave.
const PEERS_INTERVAL: Duration = Duration::from_secs(10);
/// Pause after a failed request for the list of peers.
const PEERS_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Timeout of the owner's answer to a request for the list of peers.
const PEERS_TIMEOUT: Duration = Duration::from_millis(700);

/// Settings of an entry host.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the process, unique in the deployment.
    pub name: ProcessId,
    /// Settings for the handling of callers' requests.
    pub intake: IntakeSettings,
    /// Age of the operators' configuration above which calls are refused, because a key may have been revoked
    /// in the meantime; `None` to keep serving with an old configuration.
    pub max_policy_age: Option<Duration>,
    /// Age of the operators' configuration at which the host stops being ready, so that the load balancer
    /// sends new connections to hosts that can serve them.
    pub max_ready_policy_age: Duration,
    /// How long the direct connection to the store may fail before the host stops being ready. In the meantime,
    /// requests to the store go through peers.
    pub max_ready_store_outage: Duration,
    /// Name of the domain, from which the key of its lease row is derived.
    pub domain: Box<str>,
    /// How long a stopping host keeps serving, so that the load balancer and callers can switch to other
    /// hosts first.
    pub shutdown_notice: Duration,
    /// Address that serves the metrics; `None` to serve none.
    pub metrics: Option<SocketAddr>,
}

/// An entry host without its network server, which the platform's adapter provides.
pub struct DomainEntry {
    settings: EntrySettings,
    policy: PolicyView,
    jobs: JobView,
    intake: Intake,
    ports: Ports,
    locator: Rc<OwnerLocator>,
    is_stopping: Cell<bool>,
}

impl DomainEntry {
    /// Creates an entry host; [`DomainEntry::run`] starts its tasks.
    #[must_use]
    pub fn new(settings: EntrySettings, ports: &Ports) -> Self {
        let policy = PolicyView::new(Rc::clone(&ports.feed), Rc::clone(&ports.rows));
        let jobs = JobView::new(Rc::clone(&ports.feed));
        let metrics = IntakeMetrics::new(&ports.metrics.meter());
        let intake = Intake::new(
            settings.intake,
            ports.store.clone(),
            Rc::clone(&ports.reachability),
            jobs.clone(),
            metrics,
        );
        let locator = OwnerLocator::new(ports.store.clone(), &settings.domain, None);
        Self {
            settings,
            policy,
            jobs,
            intake,
            ports: ports.clone(),
            locator: Rc::new(locator),
            is_stopping: Cell::new(false),
        }
    }

    /// Follows the changes of the store until `stop` starts, then keeps serving for
    /// [`EntrySettings::shutdown_notice`].
    ///
    /// The caller stops its servers when this returns.
    pub async fn run(&self, stop: Drain) {
        let name = &*self.settings.name;
        info!(target: event::PROCESS_STARTED, process = name; "");
        let tasks = self.spawn_followers();
        let metrics = self.serve_metrics().await;
        stop.started().await;
        info!(target: event::PROCESS_STOPPING, process = name; "");
        self.is_stopping.set(true);
        compio::time::sleep(self.settings.shutdown_notice).await;
        drop(tasks);
        drop(metrics);
    }

    async fn serve_metrics(&self) -> Option<JoinHandle<()>> {
        let (policy, relayed) = (self.policy.clone(), self.ports.relayed.clone());
        let state = move || ProcessState {
            policy_age: policy.age(),
            store_blocked_for: relayed.direct_outage().unwrap_or_default(),
            is_owner: false,
        };
        serve_metrics(self.settings.metrics?, &self.ports, Box::new(state)).await
    }

    fn spawn_followers(&self) -> Vec<JoinHandle<()>> {
        let policy = self.policy.clone();
        let jobs = self.jobs.clone();
        let (ports, locator) = (self.ports.clone(), Rc::clone(&self.locator));
        vec![
            spawn_restarting("peers", move || {
                let (ports, locator) = (ports.clone(), Rc::clone(&locator));
                async move { follow_peers(&ports, &locator).await }
            }),
            spawn_restarting("policy", move || {
                let policy = policy.clone();
                async move { policy.run().await }
            }),
            spawn_restarting("jobs", move || {
                let jobs = jobs.clone();
                async move { jobs.run().await }
            }),
        ]
    }

    /// Returns whether the load balancer should send new connections to this host.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let age = self.policy.age().unwrap_or(Duration::MAX);
        let direct_outage = self.ports.relayed.direct_outage();
        !self.is_stopping.get()
            && direct_outage.is_none_or(|time| time < self.settings.max_ready_store_outage)
            && self.policy.has_configuration()
            && self.jobs.age().is_some()
            && age < self.settings.max_ready_policy_age
    }

    /// Returns whether a graceful shutdown has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Selects the queue of a call and authenticates the caller.
    ///
    /// # Errors
    /// As [`Caller::authenticate`].
    pub fn authenticate(&self, host: &str, path: &str, key: Option<&str>) -> Result<Caller> {
        Caller::authenticate(&self.policy, self.settings.max_policy_age, host, path, key)
    }

    /// Returns the handler of callers' requests.
    #[must_use]
    pub fn intake(&self) -> &Intake {
        &self.intake
    }
}

/// Refreshes the list of agents that relay requests to the store while the direct connection fails.
async fn follow_peers(ports: &Ports, locator: &OwnerLocator) {
    let mut is_failing = false;
    loop {
        locator.refresh().await;
        let result = match locator.address() {
            Some(owner) => ports
                .client
                .send(owner, &PeersRequest {}, PEERS_TIMEOUT)
                .await
                .map(|answer| (owner, answer)),
            None => {
                let detail = "no owner is known";
                Err(Error::new(ErrorKind::Unreachable, detail))
            }
        };
        let pause = match result {
            Ok((owner, answer)) => {
                let mut peers = answer.peers;
                peers.push(owner);
                ports.peers.set(peers);
                is_failing = false;
                PEERS_INTERVAL
            }
            Err(error) => {
                if !is_failing {
                    warn!(target: event::PEERS_UNKNOWN, "cannot get the list of peers: {error}");
                }
                is_failing = true;
                PEERS_RETRY_PAUSE
            }
        };
        compio::time::sleep(pause).await;
    }
}
