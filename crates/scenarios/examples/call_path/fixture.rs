//! Fixture of a platform, an entry host, agents and backend servers, each on its own thread.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::select;
use http::Method;
use log::LevelFilter;
use serde_json::json;

use crate::backend::Backend;
use crate::backend::BackendPlan;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_base::secret::token_digest;
use nutmegwalk_calls::RoutingPolicy;
use nutmegwalk_net::Client;
use nutmegwalk_net::Drain;
use nutmegwalk_node::Agent;
use nutmegwalk_node::Entry;
use nutmegwalk_node::NodeOptions;
use nutmegwalk_node::settings::AgentSettings;
use nutmegwalk_node::settings::CommonSettings;
use nutmegwalk_node::settings::EntrySettings;
use nutmegwalk_scenarios::platform::Platform;
use nutmegwalk_scenarios::platform::WorkerSize;

pub(crate) const SECRET: &str = "call-path-secret";
pub(crate) const SERVICE: &str = "plank-desk";
pub(crate) const CUSTOMER_TOKEN: &str = "customer-token";
const OPERATOR_TOKEN: &str = "operator-token";
const TIMEOUT: Duration = Duration::from_secs(60);

/// Settings of a backend server with its agent.
#[derive(Clone, Copy)]
pub(crate) struct BackendSpec {
    pub(crate) service_time: Duration,
    pub(crate) slots: u32,
    /// Whether the server is in another region than the entry host.
    pub(crate) is_remote: bool,
}

/// Counters and control flag of a backend server.
#[derive(Default)]
pub(crate) struct Counters {
    pub(crate) calls: AtomicU64,
    /// Start of the last call, in microseconds since the start of the fixture.
    pub(crate) last_call_us: AtomicU64,
    /// Set to make the server announce that it leaves.
    pub(crate) leaving: AtomicBool,
}

pub(crate) struct Fixture {
    pub(crate) origin: Instant,
    pub(crate) entry: SocketAddr,
    pub(crate) backends: Vec<(SocketAddr, Arc<Counters>)>,
    _platform: Platform,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Fixture {
    pub(crate) fn start(specs: &[BackendSpec], routing: RoutingPolicy) -> Self {
        let platform = Platform::start(1).expect("the platform starts");
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        let origin = Instant::now();
        let settings = EntrySettings {
            common: common_settings("entry", "near", "region-near", platform.address()),
            bootstrap_operator_digest: Some(token_digest(OPERATOR_TOKEN)),
            peers: Vec::new(),
        };
        let options = NodeOptions::new().with_routing(routing);
        let entry = spawn("entry", &stop, &mut threads, move |sender| async move {
            let entry = Entry::bind(settings, options)
                .await
                .expect("the entry host starts");
            let _ = sender.send(entry.local_address());
            entry.run(Drain::new()).await;
        });
        let mut backends = Vec::new();
        for (index, spec) in specs.iter().copied().enumerate() {
            let worker = format!("worker-{index}");
            platform.add_worker(
                &worker,
                WorkerSize {
                    cores: 8,
                    memory_mb: 1000,
                    accelerators: 0,
                },
            );
            let (data_centre, region) = if spec.is_remote {
                ("far", "region-far")
            } else {
                ("near", "region-near")
            };
            let settings = AgentSettings {
                common: common_settings(
                    &format!("agent-{index}"),
                    data_centre,
                    region,
                    platform.address(),
                ),
                worker: worker.into(),
                rack: "r1".into(),
                worker_address: platform.address(),
                cores: 8,
                memory_mb: 1000,
                accelerators: 0,
                entries: vec![entry],
                far_entries: Vec::new(),
            };
            let agent = spawn(
                &format!("agent-{index}"),
                &stop,
                &mut threads,
                move |sender| async move {
                    let agent = Agent::bind(settings, NodeOptions::new())
                        .await
                        .expect("the agent starts");
                    let _ = sender.send(agent.local_address());
                    agent.run(Drain::new()).await;
                },
            );
            let counters = Arc::new(Counters::default());
            let plan = BackendPlan {
                agent,
                spec,
                counters: Arc::clone(&counters),
                origin,
            };
            let address = spawn(
                &format!("backend-{index}"),
                &stop,
                &mut threads,
                move |sender| async move {
                    let backend = Backend::bind(plan).await;
                    let _ = sender.send(backend.address());
                    backend.run().await;
                },
            );
            backends.push((address, counters));
        }
        let fixture = Self {
            origin,
            entry,
            backends,
            _platform: platform,
            stop,
            threads,
        };
        fixture.publish();
        fixture.wait_until_ready(specs);
        fixture
    }

    fn publish(&self) {
        let rack =
            json!({"workers": 8, "shape": {"cores": 8, "memory_mb": 1000, "accelerators": 0}});
        let data_centre = |region: &str| json!({"region": region, "racks": {"r1": rack}});
        let configuration = json!({
            "version": 0,
            "data_centres": {"near": data_centre("region-near"), "far": data_centre("region-far")},
            "services": {SERVICE: {"slots": 8, "connections": 64, "deadline_ms": 1000}},
            "customers": {"oak": {"token_digest": token_digest(CUSTOMER_TOKEN), "calls_per_second": 100_000}},
            "operators": {"ops": {"token_digest": token_digest(OPERATOR_TOKEN)}},
        });
        let body = json!({"based_on": 0, "configuration": configuration}).to_string();
        let token = format!("Bearer {OPERATOR_TOKEN}");
        let answer = compio::runtime::Runtime::new()
            .expect("the runtime starts")
            .block_on(async {
                let headers = [("authorization", &*token)];
                let http = Client::new("operator", Secret::new("none")).expect("the client starts");
                http.request(
                    Method::POST,
                    self.entry,
                    "/v1/publish",
                    &headers,
                    body.into(),
                    TIMEOUT,
                )
                .await
            });
        let answer = answer.expect("the entry host answers");
        assert_eq!(
            answer.status,
            200,
            "{}",
            String::from_utf8_lossy(&answer.body)
        );
    }

    /// Makes calls until each backend server that the entry host prefers has received one: those in its region, or
    /// all if there are none.
    fn wait_until_ready(&self, specs: &[BackendSpec]) {
        let has_local = specs.iter().any(|spec| !spec.is_remote);
        let preferred = || {
            let servers = self.backends.iter().zip(specs);
            servers.filter(|(_, spec)| spec.is_remote != has_local)
        };
        let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
        runtime.block_on(async {
            let http = Client::new("probe", Secret::new("none")).expect("the client starts");
            let token = format!("Bearer {CUSTOMER_TOKEN}");
            let headers = [("authorization", &*token)];
            let path = format!("/call/{SERVICE}/probe");
            let started = Instant::now();
            while preferred().any(|((_, counters), _)| counters.calls.load(Ordering::Relaxed) == 0)
            {
                assert!(
                    started.elapsed() < TIMEOUT,
                    "a backend server receives no calls"
                );
                let body = "".into();
                let _ = http
                    .request(Method::POST, self.entry, &path, &headers, body, TIMEOUT)
                    .await;
                compio::time::sleep(Duration::from_millis(5)).await;
            }
        });
    }
}

fn common_settings(
    name: &str,
    data_centre: &str,
    region: &str,
    store: SocketAddr,
) -> CommonSettings {
    CommonSettings {
        name: name.into(),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        data_centre: data_centre.into(),
        region: region.into(),
        store,
        secret: Secret::new(SECRET),
        log_level: LevelFilter::Off,
        drain_ms: 1000,
    }
}

/// Runs a role on a new thread until `stop` is set; returns the address that it sends.
fn spawn<F: Future<Output = ()>>(
    name: &str,
    stop: &Arc<AtomicBool>,
    threads: &mut Vec<JoinHandle<()>>,
    role: impl FnOnce(mpsc::Sender<SocketAddr>) -> F + Send + 'static,
) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    let stop = Arc::clone(stop);
    let thread = std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            compio::runtime::Runtime::new()
                .expect("the runtime starts")
                .block_on(async {
                    let stopped = async {
                        while !stop.load(Ordering::Relaxed) {
                            compio::time::sleep(Duration::from_millis(20)).await;
                        }
                    };
                    select(pin!(role(sender)), pin!(stopped)).await;
                });
        });
    threads.push(thread.expect("a thread starts"));
    receiver.recv().expect("the role starts")
}
