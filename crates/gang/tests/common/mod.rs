//! Agents with fake workers in one process, connected over loopback links with injected faults.
#![allow(dead_code, unreachable_pub)]

pub mod check;
pub mod worker;

use std::cell::Cell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use check::Log;
use worker::FakeWorker;

use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_gang::Attempt;
use nutmegwalk_gang::GangAgent;
use nutmegwalk_gang::GangDriver;
use nutmegwalk_gang::GangMember;
use nutmegwalk_gang::GangSpec;
use nutmegwalk_gang::GangTimings;
use nutmegwalk_gang::MemberSpec;
use nutmegwalk_gang::Resources;
use nutmegwalk_gang::StartPermission;
use nutmegwalk_gang::WorkerApi;
use nutmegwalk_net::Client;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Fault;
use nutmegwalk_net::Handler;
use nutmegwalk_net::LinkFaults;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;
use nutmegwalk_net::Server;
use nutmegwalk_net::ServerLimits;

/// Timeout of every wait; reached only if the protocol is faulty.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);
const SECRET: &str = "s";

pub fn timings() -> GangTimings {
    GangTimings {
        reservation: Duration::from_millis(2500),
        lease: Duration::from_secs(3),
        renew_interval: Duration::from_millis(300),
        request_timeout: Duration::from_secs(1),
        step_timeout: Duration::from_secs(2),
        ..GangTimings::default()
    }
}

/// Fault on the matching links and paths, for the next `count` exchanges.
pub struct Rule {
    pub from: Option<Box<str>>,
    pub to: Option<SocketAddr>,
    pub path: &'static str,
    pub fault: Fault,
    pub count: u32,
}

#[derive(Default)]
pub struct Faults {
    rules: Mutex<Vec<Rule>>,
}

impl Faults {
    pub fn add(&self, rule: Rule) {
        self.rules.lock().unwrap().push(rule);
    }

    pub fn once(&self, path: &'static str, fault: Fault) {
        self.add(Rule {
            from: None,
            to: None,
            path,
            fault,
            count: 1,
        });
    }

    pub fn clear(&self) {
        self.rules.lock().unwrap().clear();
    }

    /// Returns whether every rule was applied `count` times.
    pub fn all_used(&self) -> bool {
        self.rules
            .lock()
            .unwrap()
            .iter()
            .all(|rule| rule.count == 0)
    }
}

impl LinkFaults for Faults {
    fn fault(&self, from: &str, to: SocketAddr, path: &str) -> Fault {
        for rule in self.rules.lock().unwrap().iter_mut() {
            let from = rule.from.as_deref().is_none_or(|name| name == from);
            let to = rule.to.is_none_or(|address| address == to);
            if from && to && path.starts_with(rule.path) && rule.count > 0 {
                rule.count -= 1;
                return rule.fault;
            }
        }
        Fault::None
    }
}

/// Start permission that a test revokes, immediately or after a number of checks.
#[derive(Default)]
pub struct TestPermission {
    pub refusal: Cell<Option<ErrorKind>>,
    pub refuse_after: Cell<Option<u32>>,
    pub checks: Cell<u32>,
}

impl StartPermission for TestPermission {
    fn check(&self, _epoch: Epoch) -> Result<()> {
        let checks = self.checks.get();
        self.checks.set(checks + 1);
        if self.refuse_after.get().is_some_and(|after| checks >= after) {
            return Err(Error::new(ErrorKind::DataCentreOut, "out of service"));
        }
        match self.refusal.get() {
            Some(kind) => Err(Error::new(kind, "refused by the test")),
            None => Ok(()),
        }
    }
}

pub struct Node {
    pub name: Box<str>,
    pub address: SocketAddr,
    pub worker: Rc<FakeWorker>,
    pub permission: Rc<TestPermission>,
    pub agent: GangAgent,
    pub handler: Rc<NodeHandler>,
    drain: Drain,
}

pub struct NodeHandler {
    agent: GangAgent,
    has_crashed: Cell<bool>,
    pub messages: Cell<u64>,
    pub bytes: Cell<u64>,
}

impl Handler for NodeHandler {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        if self.has_crashed.get() {
            return pending().await;
        }
        self.messages.set(self.messages.get() + 1);
        let response = self.agent.handle(&request).await;
        if self.has_crashed.get() {
            return pending().await;
        }
        let response = response.unwrap_or_else(|| {
            Response::message::<()>(&Err(Error::new(ErrorKind::NotFound, "no such path")))
        });
        let bytes = (request.body.len() + response.body.len()) as u64;
        self.bytes.set(self.bytes.get() + bytes);
        response
    }
}

pub struct Cluster {
    pub nodes: Vec<Node>,
    pub log: Rc<Log>,
    pub faults: Arc<Faults>,
    pub timings: GangTimings,
    pub driver: GangDriver,
}

impl Cluster {
    pub async fn new(agents: usize) -> Self {
        Self::with_timings(agents, timings()).await
    }

    pub async fn with_timings(agents: usize, timings: GangTimings) -> Self {
        let faults = Arc::new(Faults::default());
        let log = Log::new();
        let mut nodes = Vec::with_capacity(agents);
        for index in 0..agents {
            let name: Box<str> = format!("agent-{index}").into();
            let worker = FakeWorker::new(&format!("worker-{index}"), Rc::clone(&log));
            let address = "127.0.0.1:0".parse().unwrap();
            let node = start_node(name, address, worker, Rc::default(), &faults, timings).await;
            node.agent.recover().await.unwrap();
            node.agent.set_epoch_floor(1);
            nodes.push(node);
        }
        let driver = GangDriver::new(client("owner", &faults)).with_timings(timings);
        Self {
            nodes,
            log,
            faults,
            timings,
            driver,
        }
    }

    /// Returns the driver of another owner process, whose links can have separate faults.
    pub fn driver_of(&self, name: &str) -> GangDriver {
        GangDriver::new(client(name, &self.faults)).with_timings(self.timings)
    }

    pub fn client(&self, name: &str) -> Client {
        client(name, &self.faults)
    }

    /// Returns the spec of a gang of `size` tasks that are spread in order over all agents.
    pub fn spec(&self, epoch: Epoch, sequence: u64, size: u32) -> GangSpec {
        let per_agent = (size as usize).div_ceil(self.nodes.len());
        let members = (0..size).map(|member| {
            let node = &self.nodes[member as usize / per_agent];
            GangMember {
                spec: MemberSpec {
                    member,
                    cores: 1,
                    memory_mb: 100,
                    accelerators: 1,
                },
                agent: node.address,
                worker: node.worker.worker().clone(),
            }
        });
        let attempt = Attempt { epoch, sequence };
        self.log.expect(attempt, size as usize);
        GangSpec {
            job: "job-1".into(),
            attempt,
            customer: "plank".into(),
            borrowed: false,
            payload: "run".into(),
            checkpoint_ms: 0,
            members: members.collect(),
        }
    }

    /// Crashes an agent's process: it no longer answers or acts, while its worker keeps running.
    pub fn crash(&self, index: usize) {
        self.nodes[index].handler.has_crashed.set(true);
        self.nodes[index].agent.shut_down();
        self.nodes[index].drain.start();
    }

    /// Starts a new process for a crashed agent, at the same address and without state.
    pub async fn restart(&mut self, index: usize) {
        let old = &self.nodes[index];
        let (name, worker, permission) = (
            old.name.clone(),
            Rc::clone(&old.worker),
            Rc::clone(&old.permission),
        );
        let node = start_node(
            name,
            old.address,
            worker,
            permission,
            &self.faults,
            self.timings,
        )
        .await;
        self.nodes[index] = node;
    }

    pub fn running(&self) -> usize {
        self.nodes.iter().map(|node| node.worker.running()).sum()
    }

    pub async fn wait_for(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_LIMIT;
        while !condition(self) {
            assert!(
                Instant::now() < deadline,
                "no {what}: {:?}",
                self.log.events()
            );
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    pub async fn wait_until_ended(&self) {
        self.wait_for("end of all tasks", |cluster| cluster.running() == 0)
            .await;
    }

    /// Checks the invariants on the events of all workers.
    pub fn check(&self) {
        self.log
            .check(self.timings.lease + self.timings.step_timeout);
    }
}

pub fn client(name: &str, faults: &Arc<Faults>) -> Client {
    let client = Client::new(name, Secret::new(SECRET)).unwrap();
    client.with_faults(Arc::clone(faults) as Arc<dyn LinkFaults>)
}

async fn start_node(
    name: Box<str>,
    address: SocketAddr,
    worker: Rc<FakeWorker>,
    permission: Rc<TestPermission>,
    faults: &Arc<Faults>,
    timings: GangTimings,
) -> Node {
    let deadline = Instant::now() + WAIT_LIMIT;
    let server = loop {
        match Server::bind(address, ServerLimits::default()).await {
            Ok(server) => break server,
            Err(error) => assert!(Instant::now() < deadline, "{error}"),
        }
        compio::time::sleep(Duration::from_millis(20)).await;
    };
    let address = server.local_address();
    let agent = GangAgent::new(
        Rc::clone(&worker) as Rc<dyn WorkerApi>,
        client(&name, faults),
        Secret::new(SECRET),
        address,
        Rc::clone(&permission) as Rc<dyn StartPermission>,
    )
    .with_timings(timings)
    .with_capacity(Resources {
        cores: 64,
        memory_mb: 128_000,
        accelerators: 8,
    });
    let handler = Rc::new(NodeHandler {
        agent: agent.clone(),
        has_crashed: Cell::new(false),
        messages: Cell::new(0),
        bytes: Cell::new(0),
    });
    let drain = Drain::new();
    compio::runtime::spawn(server.serve(Rc::clone(&handler), drain.clone())).detach();
    Node {
        name,
        address,
        worker,
        permission,
        agent,
        handler,
        drain,
    }
}
