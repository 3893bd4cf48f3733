//! Owners and agents of one data centre in one process, with fake workers and a faulty table.
#![allow(dead_code, unreachable_pub)]

pub mod table;
pub mod worker;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use table::FaultyTable;
use worker::EventLog;
use worker::FakeWorker;

use nutmegwalk_base::new_incarnation;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_base::succession::ReceivedAnswer;
use nutmegwalk_config::Configuration;
use nutmegwalk_config::DataCentre;
use nutmegwalk_config::TakenOut;
use nutmegwalk_config::WorkerShape;
use nutmegwalk_fleet::Placement;
use nutmegwalk_gang::Attempt;
use nutmegwalk_gang::GangAgent;
use nutmegwalk_gang::GangTimings;
use nutmegwalk_gang::Resources;
use nutmegwalk_gang::StartPermission;
use nutmegwalk_lease::LeaseTiming;
use nutmegwalk_lease::OwnerRow;
use nutmegwalk_lease::Ownership;
use nutmegwalk_lease::owner_key;
use nutmegwalk_net::Client;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Fault;
use nutmegwalk_net::Handler;
use nutmegwalk_net::LinkFaults;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;
use nutmegwalk_net::Server;
use nutmegwalk_net::ServerLimits;
use nutmegwalk_node::job_table::JobTable;
use nutmegwalk_node::jobs::JobRecord;
use nutmegwalk_node::jobs::JobRequest;
use nutmegwalk_node::jobs::JobState;
use nutmegwalk_node::jobs::RunRecord;
use nutmegwalk_node::jobs::unix_ms;
use nutmegwalk_node::owner::DataCentreOwner;
use nutmegwalk_node::owner::OwnerTimings;
use nutmegwalk_node::owner::messages::AgentReport;
use nutmegwalk_store::MemoryStore;
use nutmegwalk_store::StoreClient;
use nutmegwalk_sync::SyncTimings;
use nutmegwalk_sync::VersionStep;
use nutmegwalk_sync::View;

/// Timeout of every wait; only reached when a test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
pub const DATA_CENTRE: &str = "rezekne";
const SECRET: &str = "owner-test-secret";
const ACCELERATORS: u32 = 8;

pub fn timings() -> OwnerTimings {
    OwnerTimings {
        job_poll: Duration::from_millis(300),
        checkpoint: Duration::from_millis(500),
        gang: GangTimings {
            reservation: Duration::from_millis(1500),
            lease: Duration::from_secs(3),
            renew_interval: Duration::from_millis(300),
            request_timeout: Duration::from_millis(700),
            step_timeout: Duration::from_millis(1500),
            ..GangTimings::default()
        },
        ..OwnerTimings::default()
    }
}

const LEASE: LeaseTiming = LeaseTiming {
    lease: Duration::from_secs(2),
    margin: Duration::from_millis(200),
    renew_interval: Duration::from_millis(400),
    poll_interval: Duration::from_millis(200),
};

/// Disconnects the named processes: none of their messages is delivered.
#[derive(Default)]
pub struct DisconnectedProcesses(pub Mutex<BTreeSet<Box<str>>>);

impl LinkFaults for DisconnectedProcesses {
    fn fault(&self, from: &str, _to: SocketAddr, _path: &str) -> Fault {
        if self.0.lock().unwrap().contains(from) {
            Fault::Unreachable
        } else {
            Fault::None
        }
    }
}

/// An owner process without a worker.
pub struct Owner {
    pub name: Box<str>,
    pub address: SocketAddr,
    pub ownership: Rc<Ownership>,
    pub data_centre_owner: DataCentreOwner,
    pub table: Rc<FaultyTable>,
    drain: Drain,
    tasks: RefCell<Vec<compio::runtime::JoinHandle<()>>>,
}

struct OwnerHandler(DataCentreOwner);

impl Handler for OwnerHandler {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        self.0
            .handle(&request)
            .unwrap_or_else(|| Response::new(404, ""))
    }
}

/// An agent and its worker.
pub struct WorkerNode {
    pub worker: Rc<FakeWorker>,
    pub address: SocketAddr,
    pub shared: Rc<WorkerNodeState>,
}

pub struct WorkerNodeState {
    pub agent: RefCell<GangAgent>,
    /// Whether requests are left unanswered and no reports are sent.
    pub unresponsive: Cell<bool>,
    /// Accelerators that the agent reports.
    pub reported_accelerators: Cell<u32>,
    /// Paths of the requests that the agent received.
    pub paths: RefCell<Vec<Box<str>>>,
}

impl Handler for WorkerNodeState {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        if self.unresponsive.get() {
            return std::future::pending().await;
        }
        self.paths.borrow_mut().push(request.path.clone());
        let agent = self.agent.borrow().clone();
        agent
            .handle(&request)
            .await
            .unwrap_or_else(|| Response::new(404, ""))
    }
}

struct Permission(View);

impl StartPermission for Permission {
    fn check(&self, _epoch: u64) -> nutmegwalk_base::Result<()> {
        self.0.check_start_permission(DATA_CENTRE)
    }
}

/// The agents, workers and table of one data centre.
pub struct Cluster {
    pub table: Rc<FaultyTable>,
    pub jobs: JobTable,
    pub view: View,
    pub events: EventLog,
    pub nodes: Vec<WorkerNode>,
    pub disconnected: Arc<DisconnectedProcesses>,
}

impl Cluster {
    pub async fn new(workers: usize) -> Self {
        let table = Rc::new(FaultyTable::default());
        let view = View::new(SyncTimings::default());
        let mut cluster = Self {
            // Reads and writes past the injected faults.
            jobs: JobTable::new(Rc::clone(&table.memory) as _),
            table,
            view: view.clone(),
            events: EventLog::default(),
            nodes: Vec::new(),
            disconnected: Arc::default(),
        };
        cluster.set_in_service(true);
        compio::runtime::spawn(async move {
            loop {
                view.confirm(view.version(), Instant::now());
                compio::time::sleep(Duration::from_millis(100)).await;
            }
        })
        .detach();
        for index in 0..workers {
            let worker = FakeWorker::new(&format!("worker-{index}"), Rc::clone(&cluster.events));
            let node = cluster.start_node(worker).await;
            cluster.nodes.push(node);
        }
        cluster
    }

    pub fn client(&self, name: &str) -> Client {
        let client = Client::new(name, Secret::new(SECRET)).unwrap();
        client.with_faults(Arc::clone(&self.disconnected) as Arc<dyn LinkFaults>)
    }

    pub fn set_in_service(&self, in_service: bool) {
        let version = self.view.version() + 1;
        let mut configuration = Configuration {
            version,
            ..Configuration::default()
        };
        let data_centre = DataCentre {
            region: "kurzeme".into(),
            in_service,
            racks: BTreeMap::new(),
        };
        configuration
            .data_centres
            .insert(DATA_CENTRE.into(), data_centre);
        if !in_service {
            let out = TakenOut {
                version,
                lost: false,
            };
            configuration.taken_out.insert(DATA_CENTRE.into(), out);
        }
        let step = VersionStep {
            configuration: Rc::new(configuration),
            change: None,
        };
        assert!(self.view.advance(&[step]));
        self.view.confirm(version, Instant::now());
    }

    async fn start_node(&self, worker: Rc<FakeWorker>) -> WorkerNode {
        let address = "127.0.0.1:0".parse().unwrap();
        let server = Server::bind(address, ServerLimits::default())
            .await
            .unwrap();
        let address = server.local_address();
        let shared = Rc::new(WorkerNodeState {
            agent: RefCell::new(self.agent(&worker, address)),
            unresponsive: Cell::new(false),
            reported_accelerators: Cell::new(ACCELERATORS),
            paths: RefCell::default(),
        });
        compio::runtime::spawn(server.serve(Rc::clone(&shared), Drain::new())).detach();
        let node = WorkerNode {
            worker,
            address,
            shared,
        };
        let agent = node.shared.agent.borrow().clone();
        agent.recover().await.unwrap();
        self.spawn_reports(&node);
        node
    }

    fn agent(&self, worker: &Rc<FakeWorker>, address: SocketAddr) -> GangAgent {
        GangAgent::new(
            Rc::clone(worker) as _,
            self.client("agent"),
            Secret::new(SECRET),
            address,
            Rc::new(Permission(self.view.clone())),
        )
        .with_timings(timings().gang)
        .with_capacity(Resources {
            cores: 64,
            memory_mb: 128_000,
            accelerators: ACCELERATORS,
        })
    }

    /// Replaces the agent by a new one without state at the same address.
    pub async fn restart_agent(&self, index: usize) {
        let node = &self.nodes[index];
        node.shared.agent.borrow().shut_down();
        let agent = self.agent(&node.worker, node.address);
        *node.shared.agent.borrow_mut() = agent.clone();
        agent.recover().await.unwrap();
    }

    fn spawn_reports(&self, node: &WorkerNode) {
        let (shared, table) = (Rc::clone(&node.shared), Rc::clone(&self.table));
        let client = self.client("agent");
        let address = node.address;
        let worker = Rc::clone(&node.worker);
        let incarnation = new_incarnation();
        compio::runtime::spawn(async move {
            let mut number = 0;
            let mut last_answer = ReceivedAnswer::default();
            loop {
                compio::time::sleep(Duration::from_millis(100)).await;
                let Some(row) = owner_row(&table).filter(|_| !shared.unresponsive.get()) else {
                    continue;
                };
                let agent = shared.agent.borrow().clone();
                agent.set_epoch_floor(row.epoch);
                number += 1;
                let report = AgentReport {
                    incarnation,
                    number,
                    last_answer: Some(last_answer),
                    ..agent_report(address, agent.report(), shared.reported_accelerators.get())
                };
                let Ok(owner) = row.address.parse() else {
                    continue;
                };
                worker.running();
                if let Ok(answer) = client.send(owner, &report, Duration::from_secs(1)).await {
                    agent.acknowledge(answer.acknowledged);
                    last_answer = ReceivedAnswer {
                        epoch: answer.epoch,
                        owner_clock_ms: answer.owner_clock_ms,
                    };
                }
            }
        })
        .detach();
    }

    /// Starts an owner process, which contends for the ownership of the data centre.
    pub async fn start_owner(&self, name: &str) -> Owner {
        let address = "127.0.0.1:0".parse().unwrap();
        let server = Server::bind(address, ServerLimits::default())
            .await
            .unwrap();
        let address = server.local_address();
        let table = Rc::clone(&self.table);
        let store = StoreClient::new(Rc::clone(&table) as _, Rc::new(MemoryStore::new()));
        let ownership =
            Ownership::with_timing(store, DATA_CENTRE, name, address.to_string(), LEASE);
        let ownership = Rc::new(ownership);
        let data_centre_owner = DataCentreOwner::new(
            DATA_CENTRE.into(),
            Rc::clone(&ownership),
            JobTable::new(Rc::clone(&table) as _),
            self.client(name),
            self.view.clone(),
            Secret::new(SECRET),
        )
        .with_timings(timings());
        let drain = Drain::new();
        let handler = Rc::new(OwnerHandler(data_centre_owner.clone()));
        let served = compio::runtime::spawn(server.serve(handler, drain.clone()));
        let (running, contending, stop) = (
            data_centre_owner.clone(),
            Rc::clone(&ownership),
            drain.clone(),
        );
        let run = compio::runtime::spawn(async move { running.run(stop).await });
        let contend = compio::runtime::spawn(async move { contending.run().await });
        Owner {
            name: name.into(),
            address,
            ownership,
            data_centre_owner,
            table,
            drain,
            tasks: RefCell::new(vec![served, run, contend]),
        }
    }

    /// Simulates the crash of an owner: it sends nothing and no longer renews its lease.
    pub fn kill(&self, owner: &Owner) {
        self.disconnected
            .0
            .lock()
            .unwrap()
            .insert(owner.name.clone());
        owner.drain.start();
        owner.tasks.borrow_mut().clear();
    }

    /// Stops the renewals of an owner's lease while the owner keeps running.
    pub fn stop_renewals(&self, owner: &Owner) {
        owner.tasks.borrow_mut().truncate(2);
    }

    pub async fn submit(&self, id: &str, tasks: u32, accelerators: u32) {
        self.jobs
            .accept(&record(id, tasks, accelerators))
            .await
            .unwrap();
    }

    pub async fn row(&self, id: &str) -> JobRecord {
        self.jobs.read(id).await.unwrap().record
    }

    pub async fn wait_for_row(&self, id: &str, what: &str, condition: impl Fn(&JobRecord) -> bool) {
        let started = Instant::now();
        loop {
            let row = self.row(id).await;
            if condition(&row) {
                return;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "no {what}: {row:?}");
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    pub async fn wait_for(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let started = Instant::now();
        while !condition(self) {
            let events = self.events.borrow();
            assert!(started.elapsed() < WAIT_TIMEOUT, "no {what}: {events:?}");
            drop(events);
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    pub fn running(&self) -> usize {
        self.nodes.iter().map(|node| node.worker.running()).sum()
    }

    /// Returns the attempts of a job that have started a task, in order.
    pub fn attempts(&self, job: &str) -> Vec<Attempt> {
        let events = self.events.borrow();
        let starts = events.iter().filter(|event| event.end.is_none());
        let attempts: BTreeSet<Attempt> = starts
            .filter(|event| &*event.job == job)
            .map(|event| event.attempt)
            .collect();
        attempts.into_iter().collect()
    }

    /// Checks that no task was started while a task of another attempt of its job was running.
    pub fn check_one_attempt_at_a_time(&self) {
        let mut running: BTreeMap<Box<str>, BTreeSet<(Attempt, u32)>> = BTreeMap::new();
        for event in self.events.borrow().iter() {
            let tasks = running.entry(event.job.clone()).or_default();
            if event.end.is_some() {
                tasks.remove(&(event.attempt, event.member));
                continue;
            }
            let other = tasks.iter().find(|task| task.0 != event.attempt);
            assert!(
                other.is_none(),
                "{event:?} started while {other:?} was running"
            );
            tasks.insert((event.attempt, event.member));
        }
    }
}

pub fn owner_row(table: &FaultyTable) -> Option<OwnerRow> {
    let rows = table.memory.read(&[owner_key(DATA_CENTRE)]);
    let row: OwnerRow = serde_json::from_str(&rows.first()?.as_ref()?.value).ok()?;
    (!row.is_released()).then_some(row)
}

pub fn agent_report(
    address: SocketAddr,
    gangs: nutmegwalk_gang::GangReport,
    accelerators: u32,
) -> AgentReport {
    AgentReport {
        process: format!("agent-{}", gangs.worker).into(),
        incarnation: 1,
        number: 0,
        last_answer: None,
        address,
        data_centre: DATA_CENTRE.into(),
        rack: "r1".into(),
        shape: WorkerShape {
            cores: 64,
            memory_mb: 128_000,
            accelerators,
        },
        draining: false,
        gangs,
    }
}

pub fn record(id: &str, tasks: u32, accelerators: u32) -> JobRecord {
    JobRecord {
        id: id.into(),
        customer: "plank".into(),
        request: JobRequest {
            service: "plank-desk".into(),
            tasks,
            shape: WorkerShape {
                cores: 1,
                memory_mb: 100,
                accelerators,
            },
            adjacency: nutmegwalk_config::Adjacency::DataCentre,
            guarantee: None,
            declared_run_ms: None,
            payload: "".into(),
        },
        state: JobState::Accepted,
        home: DATA_CENTRE.into(),
        checkpoint_ms: 0,
        accepted_unix_ms: unix_ms(),
        ended_unix_ms: None,
        error: None,
        run: None,
    }
}

/// Returns the record of an attempt with one task on each of `workers`.
pub fn run_on(attempt: Attempt, workers: &[&str]) -> RunRecord {
    let placement = |worker: &&str| Placement {
        worker: (*worker).into(),
        tasks: 1,
    };
    RunRecord {
        attempt,
        placements: workers.iter().map(placement).collect(),
        borrowed: true,
    }
}
