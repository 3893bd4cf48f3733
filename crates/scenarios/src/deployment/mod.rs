//! The whole system in one process: each role on its own thread with its own address.

mod backend;
mod links;
mod operator;
mod role;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;

use log::LevelFilter;

use crate::deployment::backend::Backend;
use crate::deployment::backend::BackendPlan;
use crate::deployment::backend::SharedFaults;
use crate::deployment::role::Bound;
use crate::platform::Platform;
use crate::platform::WorkerSize;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_base::secret::token_digest;
use nutmegwalk_config::Configuration;
use nutmegwalk_config::WorkerShape;
use nutmegwalk_fleet::Policy;
use nutmegwalk_net::Drain;
use nutmegwalk_node::Agent;
use nutmegwalk_node::Entry;
use nutmegwalk_node::NodeOptions;
use nutmegwalk_node::settings::AgentSettings;
use nutmegwalk_node::settings::CommonSettings;
use nutmegwalk_node::settings::EntrySettings;

pub use backend::BackendFaults;
pub use backend::Execution;
pub use backend::Executions;
pub use backend::SEND_HEADER;
pub use links::Links;
pub use operator::ApiClient;
pub use role::Role;

/// Token of the operator who may publish the first configuration of a deployment.
pub const BOOTSTRAP_TOKEN: &str = "bootstrap-operator-token";
/// Secret that the processes of a deployment share.
const SECRET: &str = "loopback-deployment-secret";
/// Link group of the platform, see [`Links`].
pub const PLATFORM_GROUP: &str = "platform";

impl Bound for Entry {
    fn address(&self) -> SocketAddr {
        self.local_address()
    }

    async fn run(self, stop: Drain) {
        Entry::run(self, stop).await;
    }
}

impl Bound for Agent {
    fn address(&self) -> SocketAddr {
        self.local_address()
    }

    async fn run(self, stop: Drain) {
        Agent::run(self, stop).await;
    }
}

/// Composition and settings of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// Configuration to publish; its data centres, racks and workers are started.
    pub configuration: Configuration,
    /// Number of entry hosts, which are distributed round-robin over the data centres.
    pub entries: usize,
    /// Placement policy of the data-centre owners.
    pub policy: Policy,
    /// Time that a backend server takes for a call.
    pub service_time: Duration,
    /// Seed of the platform's random faults.
    pub seed: u64,
}

impl DeploymentPlan {
    /// Creates a plan with two entry hosts for the operators' files in `directories`.
    ///
    /// # Errors
    /// `invalid_configuration` or `guarantees_clash`, naming the file.
    pub fn new(directories: &[PathBuf], seed: u64) -> Result<Self> {
        let configuration = nutmegwalk_config::load(directories)?;
        nutmegwalk_config::validate(&configuration)?;
        Ok(Self {
            configuration,
            entries: 2,
            policy: Policy::Guaranteed,
            service_time: Duration::from_millis(5),
            seed,
        })
    }
}

/// Location and size of a worker.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Data centre of the worker.
    pub data_centre: DataCentreId,
    /// Rack of the worker.
    pub rack: Box<str>,
    /// Size of the worker.
    pub shape: WorkerShape,
}

/// Running deployment on the loopback interface.
pub struct Deployment {
    plan: DeploymentPlan,
    /// Simulated platform.
    pub platform: Platform,
    /// Faults on the links between regions.
    pub links: Links,
    /// Calls that ran on the backend servers.
    pub executions: Executions,
    workers: Vec<WorkerSpec>,
    entries: BTreeMap<Box<str>, Role>,
    agents: BTreeMap<WorkerId, Role>,
    backends: BTreeMap<WorkerId, Role>,
    backend_faults: BTreeMap<WorkerId, SharedFaults>,
    entry_addresses: Vec<SocketAddr>,
}

impl Deployment {
    /// Starts the platform, the entry hosts, and an agent and a backend server for each worker.
    ///
    /// # Errors
    /// The errors of the roles that cannot be started.
    pub fn start(plan: DeploymentPlan) -> Result<Self> {
        let platform = Platform::start(plan.seed)?;
        let mut deployment = Self {
            workers: configured_workers(&plan.configuration),
            platform,
            links: Links::new(),
            executions: Executions::default(),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            backends: BTreeMap::new(),
            backend_faults: BTreeMap::new(),
            entry_addresses: Vec::new(),
            plan,
        };
        deployment
            .links
            .assign_group("platform", deployment.platform.address(), PLATFORM_GROUP);
        deployment.start_entries()?;
        for spec in deployment.workers.clone() {
            let size = WorkerSize {
                cores: spec.shape.cores,
                memory_mb: spec.shape.memory_mb,
                accelerators: spec.shape.accelerators,
            };
            deployment.platform.add_worker(&spec.worker, size);
            deployment.start_agent(&spec.worker)?;
            deployment.start_backend(&spec.worker)?;
        }
        Ok(deployment)
    }

    /// Returns the plan that the deployment was started from.
    #[must_use]
    pub fn plan(&self) -> &DeploymentPlan {
        &self.plan
    }

    /// Returns all workers.
    #[must_use]
    pub fn workers(&self) -> &[WorkerSpec] {
        &self.workers
    }

    /// Returns the addresses of all entry hosts, including those that are not running.
    #[must_use]
    pub fn entry_addresses(&self) -> &[SocketAddr] {
        &self.entry_addresses
    }

    /// Returns a client of the entry hosts that authenticates with `token`.
    ///
    /// # Errors
    /// `internal` when the HTTP client cannot be set up.
    pub fn api(&self, token: &str) -> Result<ApiClient> {
        ApiClient::new(self.entry_addresses.clone(), token)
    }

    fn start_entries(&mut self) -> Result<()> {
        // Each entry host needs the addresses of its peers, so all addresses are reserved before the first starts.
        let reserved: Vec<std::net::TcpListener> = (0..self.plan.entries)
            .map(|_| std::net::TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))))
            .collect::<std::io::Result<_>>()
            .map_err(|error| Error::new(ErrorKind::AddressInUse, error.to_string()))?;
        for listener in &reserved {
            let address = listener
                .local_addr()
                .map_err(|error| Error::new(ErrorKind::AddressInUse, error.to_string()))?;
            self.entry_addresses.push(address);
        }
        drop(reserved);
        for index in 0..self.plan.entries {
            self.start_entry(index)?;
        }
        Ok(())
    }

    /// Starts the entry host with this index, also after a stop.
    ///
    /// # Errors
    /// The errors of the entry host.
    pub fn start_entry(&mut self, index: usize) -> Result<()> {
        let data_centres = self
            .plan
            .configuration
            .data_centres
            .iter()
            .collect::<Vec<_>>();
        let (data_centre, site) = data_centres
            .get(index % data_centres.len().max(1))
            .ok_or_else(|| {
                Error::new(
                    ErrorKind::InvalidConfiguration,
                    "the configuration has no data centre",
                )
            })?;
        let name: Box<str> = format!("entry-{index}").into();
        let address = self.entry_addresses[index];
        let settings = EntrySettings {
            common: self.common_settings(&name, address, data_centre, &site.region),
            bootstrap_operator_digest: Some(token_digest(BOOTSTRAP_TOKEN)),
            peers: self
                .entry_addresses
                .iter()
                .copied()
                .filter(|peer| *peer != address)
                .collect(),
        };
        self.links.assign_group(&name, address, &site.region);
        let options = self.options();
        let role = Role::spawn(name.clone(), move || Entry::bind(settings, options))?;
        self.entries.insert(name, role);
        Ok(())
    }

    /// Starts the agent of `worker`, also after a stop.
    ///
    /// # Errors
    /// `not_found` for an unknown worker; the errors of the agent.
    pub fn start_agent(&mut self, worker: &str) -> Result<()> {
        let spec = self.worker_spec(worker)?.clone();
        let region = self.region(&spec.data_centre);
        let (mut entries, mut far_entries): (Vec<SocketAddr>, Vec<SocketAddr>) = self
            .entry_addresses
            .iter()
            .partition(|entry| self.entry_region(**entry) == Some(&*region));
        if entries.is_empty() {
            std::mem::swap(&mut entries, &mut far_entries);
        }
        let name: Box<str> = format!("agent-{worker}").into();
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = AgentSettings {
            common: self.common_settings(&name, listen, &spec.data_centre, &region),
            worker: spec.worker.clone(),
            rack: spec.rack.clone(),
            worker_address: self.platform.address(),
            cores: spec.shape.cores,
            memory_mb: spec.shape.memory_mb,
            accelerators: spec.shape.accelerators,
            entries,
            far_entries,
        };
        let options = self.options();
        let role = Role::spawn(name.clone(), move || Agent::bind(settings, options))?;
        self.links.assign_group(&name, role.address(), &region);
        self.agents.insert(spec.worker, role);
        Ok(())
    }

    /// Starts the backend server of `worker`, also after a stop.
    ///
    /// # Errors
    /// `not_found` for an unknown worker or when its agent is not running.
    pub fn start_backend(&mut self, worker: &str) -> Result<()> {
        let services = &self.plan.configuration.services;
        let Some((service, limits)) = services.iter().next() else {
            return Ok(());
        };
        let agent = self.agents.get(worker).map(Role::address).ok_or_else(|| {
            Error::new(
                ErrorKind::NotFound,
                format!("the agent of `{worker}` is not running"),
            )
        })?;
        let name: Box<str> = format!("backend-{worker}").into();
        let plan = BackendPlan {
            name: name.clone(),
            service: service.clone(),
            slots: limits.slots,
            connections: limits.connections,
            agent,
            secret: Secret::new(SECRET),
            executions: Arc::clone(&self.executions),
            service_time: self.plan.service_time,
            faults: Arc::clone(self.backend_faults.entry(worker.into()).or_default()),
        };
        let role = Role::spawn(name, move || Backend::bind(plan))?;
        self.backends.insert(worker.into(), role);
        Ok(())
    }

    /// Removes the running entry host with this index from the deployment, to stop or kill it.
    pub fn take_entry(&mut self, index: usize) -> Option<Role> {
        self.entries.remove(&*format!("entry-{index}"))
    }

    /// Removes the running agent of `worker` from the deployment, to stop or kill it.
    pub fn take_agent(&mut self, worker: &str) -> Option<Role> {
        self.agents.remove(worker)
    }

    /// Removes the running backend server of `worker` from the deployment, to stop or kill it.
    pub fn take_backend(&mut self, worker: &str) -> Option<Role> {
        self.backends.remove(worker)
    }

    /// Changes the faults of the backend server of `worker`; they persist across its restarts.
    pub fn set_backend_faults(&self, worker: &str, change: impl FnOnce(&mut BackendFaults)) {
        if let Some(faults) = self.backend_faults.get(worker) {
            change(&mut faults.lock().unwrap_or_else(PoisonError::into_inner));
        }
    }

    /// Returns the running entry host with this index.
    #[must_use]
    pub fn entry(&self, index: usize) -> Option<&Role> {
        self.entries.get(&*format!("entry-{index}"))
    }

    /// Returns the running agent of `worker`.
    #[must_use]
    pub fn agent(&self, worker: &str) -> Option<&Role> {
        self.agents.get(worker)
    }

    fn options(&self) -> NodeOptions {
        NodeOptions::new()
            .with_faults(Arc::new(self.links.clone()))
            .with_policy(self.plan.policy)
    }

    fn common_settings(
        &self,
        name: &str,
        listen: SocketAddr,
        data_centre: &str,
        region: &str,
    ) -> CommonSettings {
        CommonSettings {
            name: name.into(),
            listen,
            data_centre: data_centre.into(),
            region: region.into(),
            store: self.platform.address(),
            secret: Secret::new(SECRET),
            log_level: LevelFilter::Info,
            drain_ms: 30_000,
        }
    }

    fn worker_spec(&self, worker: &str) -> Result<&WorkerSpec> {
        self.workers
            .iter()
            .find(|spec| &*spec.worker == worker)
            .ok_or_else(|| {
                Error::new(
                    ErrorKind::NotFound,
                    format!("worker `{worker}` does not exist"),
                )
            })
    }

    /// Returns the region of the entry host at this address.
    fn entry_region(&self, entry: SocketAddr) -> Option<&str> {
        let index = self
            .entry_addresses
            .iter()
            .position(|address| *address == entry)?;
        let sites = &self.plan.configuration.data_centres;
        let site = sites.values().nth(index % sites.len().max(1))?;
        Some(&site.region)
    }

    fn region(&self, data_centre: &str) -> Box<str> {
        self.plan
            .configuration
            .data_centres
            .get(data_centre)
            .map_or_else(|| "".into(), |site| site.region.clone())
    }
}

/// Returns the workers of all racks, named `<data centre>-<rack>-<number>`.
fn configured_workers(configuration: &Configuration) -> Vec<WorkerSpec> {
    let mut workers = Vec::new();
    for (data_centre, site) in &configuration.data_centres {
        for (rack, content) in &site.racks {
            for number in 0..content.workers {
                workers.push(WorkerSpec {
                    worker: format!("{data_centre}-{rack}-{number}").into(),
                    data_centre: data_centre.clone(),
                    rack: rack.clone(),
                    shape: content.shape,
                });
            }
        }
    }
    workers
}
