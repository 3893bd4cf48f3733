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
use nutmegwalk_policy::PolicyView;
use nutmegwalk_supervisor::PeersRequest;

/// Interval at which the list of peers is renewed; they change when hosts come and go.
const PEERS_INTERVAL: Duration = Duration::from_secs(10);
/// Pause before another try.
const PEERS_RETRY: Duration = Duration::from_secs(1);
/// Time for the owner's answer.
const PEERS_TIMEOUT: Duration = Duration::from_millis(700);

/// Settings of an entry host.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the process, unique in the deployment.
    pub name: ProcessId,
    /// Settings of the callers' side.
    pub intake: IntakeSettings,
    /// Age of the operators' configuration beyond which no call is handled, because a key may have been
    /// taken away; `None` to go on with an old one.
    pub max_policy_age: Option<Duration>,
    /// Age of the operators' configuration beyond which the host is not ready, so that the balancer sends
    /// new connections to hosts that can serve them.
    pub max_ready_policy_age: Duration,
    /// Time for which the own way to the store may be blocked before the host is not ready; peers serve
    /// the calls that come meanwhile.
    pub max_ready_store_outage: Duration,
    /// Name of the domain, which names its lease row.
    pub domain: Box<str>,
    /// Time for which a stopping host still serves, so that the balancer and callers leave first.
    pub shutdown_notice: Duration,
    /// Address at which metrics are read, if they are.
    pub metrics: Option<SocketAddr>,
}

/// An entry host without its network side, which belongs to the adapter.
pub struct DomainEntry {
    settings: EntrySettings,
    policy: PolicyView,
    jobs: JobView,
    intake: Intake,
    ports: Ports,
    locator: Rc<OwnerLocator>,
    is_leaving: Cell<bool>,
}

impl DomainEntry {
    /// Sets everything up.
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
            is_leaving: Cell::new(false),
        }
    }

    /// Follows the store until `stop` starts; then serves on until callers have had time to leave.
    ///
    /// The caller stops its servers when this returns.
    pub async fn run(&self, stop: Drain) {
        let name = &*self.settings.name;
        info!(target: event::PROCESS_STARTED, process = name; "");
        let tasks = self.spawn_followers();
        let metrics = self.serve_metrics().await;
        stop.started().await;
        info!(target: event::PROCESS_STOPPING, process = name; "");
        self.is_leaving.set(true);
        compio::time::sleep(self.settings.shutdown_notice).await;
        drop(tasks);
        drop(metrics);
    }

    async fn serve_metrics(&self) -> Option<JoinHandle<()>> {
        let (policy, relayed) = (self.policy.clone(), self.ports.relayed.clone());
        let state = move || ProcessState {
            policy_age: policy.age(),
            store_blocked_for: relayed.blocked_for().unwrap_or_default(),
            is_owner: false,
        };
        serve_metrics(self.settings.metrics?, &self.ports, Box::new(state)).await
    }

    fn spawn_followers(&self) -> Vec<JoinHandle<()>> {
        let policy = self.policy.clone();
        let jobs = self.jobs.clone();
        let (ports, locator) = (self.ports.clone(), Rc::clone(&self.locator));
        vec![
            compio::runtime::spawn(async move { follow_peers(&ports, &locator).await }),
            compio::runtime::spawn(async move { policy.run().await }),
            compio::runtime::spawn(async move { jobs.run().await }),
        ]
    }

    /// Returns whether new connections should come here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let age = self.policy.age().unwrap_or(Duration::MAX);
        let blocked_for = self.ports.relayed.blocked_for();
        !self.is_leaving.get()
            && blocked_for.is_none_or(|time| time < self.settings.max_ready_store_outage)
            && self.policy.is_known()
            && self.jobs.age().is_some()
            && age < self.settings.max_ready_policy_age
    }

    /// Returns whether a planned stop has begun.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Selects the queue of a call and authenticates the caller.
    ///
    /// # Errors
    /// As [`Caller::identify`].
    pub fn identify(&self, host: &str, path: &str, key: Option<&str>) -> Result<Caller> {
        Caller::identify(&self.policy, self.settings.max_policy_age, host, path, key)
    }

    /// Returns the callers' side.
    #[must_use]
    pub fn intake(&self) -> &Intake {
        &self.intake
    }
}

/// Keeps the list of agents that pass requests on to the store while the own way is blocked.
async fn follow_peers(ports: &Ports, locator: &OwnerLocator) {
    let mut is_failing = false;
    loop {
        locator.refresh().await;
        let asked = match locator.address() {
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
        let pause = match asked {
            Ok((owner, answer)) => {
                let mut peers = answer.peers;
                peers.push(owner);
                ports.peers.set(peers);
                is_failing = false;
                PEERS_INTERVAL
            }
            Err(error) => {
                if !is_failing {
                    warn!(target: event::PEERS_UNKNOWN, "cannot learn of peers: {error}");
                }
                is_failing = true;
                PEERS_RETRY
            }
        };
        compio::time::sleep(pause).await;
    }
}
