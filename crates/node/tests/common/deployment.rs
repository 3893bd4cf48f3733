//! A real entry host and a real agent with a fake platform, in one process.
#![allow(unreachable_pub)]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use http::Method;
use log::LevelFilter;
use serde_json::Value;
use serde_json::json;

use nutmegwalk_base::secret::Secret;
use nutmegwalk_base::secret::token_digest;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Handler;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;
use nutmegwalk_net::Server;
use nutmegwalk_net::ServerLimits;
use nutmegwalk_node::Agent;
use nutmegwalk_node::Entry;
use nutmegwalk_node::NodeOptions;
use nutmegwalk_node::settings::AgentSettings;
use nutmegwalk_node::settings::CommonSettings;
use nutmegwalk_node::settings::EntrySettings;
use nutmegwalk_store::GetRequest;
use nutmegwalk_store::MemoryStore;
use nutmegwalk_store::ScanRequest;

/// Timeout of every wait; only reached when a test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
pub const SECRET: &str = "authentication-secret";
pub const BOOTSTRAP_TOKEN: &str = "bootstrap-token";
pub const OAK_TOKEN: &str = "oak-token";
pub const PINE_TOKEN: &str = "pine-token";
pub const OPERATOR_TOKEN: &str = "operator-token";

/// Fake platform: table, object store and worker over HTTP.
struct FakePlatform {
    memory: MemoryStore,
    /// Paths of the requests to the worker, except for lists of its tasks.
    commands: RefCell<Vec<Box<str>>>,
}

impl Handler for FakePlatform {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        let body = &*request.body;
        let answer = match &*request.path {
            "/table/transact" => serde_json::from_slice(body)
                .map(|transaction| json!(self.memory.apply(&transaction))),
            "/table/get" => serde_json::from_slice(body)
                .map(|get: GetRequest| json!(self.memory.read(&get.keys))),
            "/table/scan" => serde_json::from_slice(body).map(|scan: ScanRequest| {
                json!(
                    self.memory
                        .read_range(&scan.prefix, &scan.after, scan.limit)
                )
            }),
            path if path.starts_with("/objects/") && request.method == Method::PUT => {
                self.memory
                    .write_object(&path["/objects/".len()..], request.body.clone());
                return Response::new(204, "");
            }
            path if path.starts_with("/objects/") => {
                let content = self.memory.read_object(&path["/objects/".len()..]);
                return content
                    .map_or_else(|| Response::new(404, ""), |body| Response::new(200, body));
            }
            path if path.ends_with("/list") => Ok(json!([])),
            path => {
                self.commands.borrow_mut().push(path.into());
                Ok(Value::Null)
            }
        };
        Response::json(&Ok(answer.unwrap()))
    }
}

/// Response to one request.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    /// Head and body as received.
    pub text: String,
}

impl Answer {
    /// Returns the error kind in a JSON body; empty if there is none.
    pub fn kind(&self) -> String {
        let body = self.text.split_once("\r\n\r\n").map_or("", |parts| parts.1);
        let error: Value = serde_json::from_str(body).unwrap_or_default();
        error["kind"].as_str().unwrap_or_default().to_owned()
    }

    pub fn body(&self) -> Value {
        let body = self.text.split_once("\r\n\r\n").map_or("", |parts| parts.1);
        serde_json::from_str(body).unwrap_or_default()
    }
}

/// Sends one request on its own connection, with no further headers than the given and the necessary ones.
pub async fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Answer {
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str("\r\n");
    let mut bytes = request.into_bytes();
    bytes.extend(body);
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(bytes).await.0.unwrap();
    let mut received = Vec::new();
    loop {
        let read = stream.read(Vec::with_capacity(4096));
        let BufResult(result, bytes) = compio::time::timeout(WAIT_TIMEOUT, read)
            .await
            .unwrap_or_else(|_| panic!("{method} {path} is not answered"));
        match result {
            Ok(1..) => received.extend(bytes),
            _ => break,
        }
    }
    let text = String::from_utf8_lossy(&received).into_owned();
    let status = text.get(9..12).and_then(|status| status.parse().ok());
    let status = status.unwrap_or_else(|| panic!("{method} {path} answered `{text}`"));
    Answer { status, text }
}

pub fn bearer(token: &str) -> String {
    format!("Bearer {token}")
}

/// Returns a configuration in which both customers have the given guaranteed rate.
pub fn configuration(calls_per_second: u32) -> Value {
    let customer = |token: &str| json!({"token_digest": token_digest(token), "calls_per_second": calls_per_second});
    json!({
        "version": 0,
        "data_centres": {"rezekne": {
            "region": "kurzeme",
            "racks": {"r1": {"workers": 1, "shape": {"cores": 8, "memory_mb": 1000, "accelerators": 8}}},
        }},
        "services": {"plank-desk": {"slots": 8, "connections": 64, "deadline_ms": 1000}},
        "customers": {"oak": customer(OAK_TOKEN), "pine": customer(PINE_TOKEN)},
        "operators": {"ops": {"token_digest": token_digest(OPERATOR_TOKEN)}},
    })
}

pub struct Deployment {
    platform: Rc<FakePlatform>,
    pub entry: SocketAddr,
    pub agent: SocketAddr,
}

impl Deployment {
    /// Starts all processes without publishing a configuration.
    pub async fn start() -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let platform = Rc::new(FakePlatform {
            memory: MemoryStore::new(),
            commands: RefCell::default(),
        });
        let server = Server::bind(any, ServerLimits::default()).await.unwrap();
        let store = server.local_address();
        compio::runtime::spawn(server.serve(Rc::clone(&platform), Drain::new())).detach();
        let common = |name: &str| CommonSettings {
            name: name.into(),
            listen: any,
            data_centre: "rezekne".into(),
            region: "kurzeme".into(),
            store,
            secret: Secret::new(SECRET),
            log_level: LevelFilter::Warn,
            drain_ms: 1000,
        };
        let settings = EntrySettings {
            common: common("entry-1"),
            bootstrap_operator_digest: Some(token_digest(BOOTSTRAP_TOKEN)),
            peers: Vec::new(),
        };
        let entry = Entry::bind(settings, NodeOptions::new()).await.unwrap();
        let entry_address = entry.local_address();
        compio::runtime::spawn(entry.run(Drain::new())).detach();
        let settings = AgentSettings {
            common: common("agent-1"),
            worker: "worker-1".into(),
            rack: "r1".into(),
            worker_address: store,
            cores: 8,
            memory_mb: 1000,
            accelerators: 8,
            entries: vec![entry_address],
            far_entries: Vec::new(),
        };
        let agent = Agent::bind(settings, NodeOptions::new()).await.unwrap();
        let agent_address = agent.local_address();
        compio::runtime::spawn(agent.run(Drain::new())).detach();
        Self {
            platform,
            entry: entry_address,
            agent: agent_address,
        }
    }

    /// Starts all processes and publishes [`configuration`] with the bootstrap token.
    pub async fn start_published() -> Self {
        let deployment = Self::start().await;
        let body = json!({"based_on": 0, "configuration": configuration(100)}).to_string();
        let token = bearer(BOOTSTRAP_TOKEN);
        let headers = [("authorization", &*token)];
        let entry = deployment.entry;
        let answer = send(entry, "POST", "/v1/publish", &headers, body.as_bytes()).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        for process in [deployment.entry, deployment.agent] {
            let started = Instant::now();
            while send(process, "GET", "/healthz", &[], b"").await.status != 200 {
                assert!(started.elapsed() < WAIT_TIMEOUT, "{process} is not ready");
                compio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        deployment
    }

    /// Returns what callers' and operators' requests change in the table: the rows of configurations,
    /// audit records and claims, and for each job whether it is cancelled. The other fields of a job's row
    /// and its home are changed by the owner and the dispatcher without a request.
    pub fn requested_rows(&self) -> BTreeMap<Box<str>, Box<str>> {
        let rows = self.platform.memory.read_range("", "", usize::MAX);
        rows.into_iter()
            .filter(|row| !row.key.starts_with("owner") && !row.key.starts_with("home/"))
            .map(|row| {
                if !row.key.starts_with("job/") {
                    return (row.key, row.value);
                }
                let job: Value = serde_json::from_str(&row.value).unwrap();
                let is_cancelled =
                    matches!(job["state"].as_str(), Some("cancelling" | "cancelled"));
                (row.key, is_cancelled.to_string().into())
            })
            .collect()
    }

    /// Returns the commands that the worker received.
    pub fn worker_commands(&self) -> Vec<Box<str>> {
        self.platform.commands.borrow().clone()
    }
}
