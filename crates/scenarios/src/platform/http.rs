//! HTTP interface of the simulated platform.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use ::http::Method;
use bytes::Bytes;
use serde::de::DeserializeOwned;

use crate::platform::Shared;
use crate::platform::store::Access;
use crate::platform::store::StoreState;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_gang::http_worker::CheckpointAnswer;
use nutmegwalk_gang::http_worker::RenewTask;
use nutmegwalk_gang::http_worker::StartTask;
use nutmegwalk_gang::http_worker::TaskKey;
use nutmegwalk_gang::http_worker::ThrottleTask;
use nutmegwalk_net::Handler;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;
use nutmegwalk_store::GetRequest;
use nutmegwalk_store::MAX_TRANSACTION_WRITES;
use nutmegwalk_store::PROCESS_HEADER;
use nutmegwalk_store::ScanRequest;
use nutmegwalk_store::Transaction;

/// Interval at which a stalled request checks whether the fault has ended.
const STALL_POLL: Duration = Duration::from_millis(20);
/// Longest time that a request is stalled; clients have timed out by then.
const STALL_LIMIT: Duration = Duration::from_secs(60);
/// Largest lease that a worker grants.
const MAX_LEASE: Duration = Duration::from_secs(24 * 60 * 60);

pub(crate) struct RequestHandler {
    shared: Arc<Shared>,
}

impl RequestHandler {
    pub(crate) fn new(shared: Arc<Shared>) -> Rc<Self> {
        Rc::new(Self { shared })
    }

    /// Waits while `is_stalled` holds, and then returns the error of a request that had no effect.
    async fn stall(&self, is_stalled: impl Fn(&Shared) -> bool) -> Error {
        let started = Instant::now();
        while is_stalled(&self.shared)
            && !self.shared.is_stopping()
            && started.elapsed() < STALL_LIMIT
        {
            compio::time::sleep(STALL_POLL).await;
        }
        Error::new(ErrorKind::Unreachable, "the platform did not respond")
    }

    async fn store(&self, request: &Request, access: Access) -> Result<Response> {
        let process = request.header(PROCESS_HEADER).unwrap_or_default();
        let (latency, unresponsive) = {
            let mut store = self.shared.store();
            store.check_available(process)?;
            (store.faults.latency, store.faults.unresponsive)
        };
        if unresponsive {
            return Err(self
                .stall(|shared| shared.store().faults.unresponsive)
                .await);
        }
        if !latency.is_zero() {
            compio::time::sleep(latency).await;
        }
        let mut store = self.shared.store();
        store.check_available(process)?;
        store.admit(access, process, Instant::now())?;
        let response = run(&store, request)?;
        if access == Access::Write && store.loses_answer() {
            // A status without a JSON error leaves the outcome of the write unknown, like a lost connection.
            return Ok(Response::new(504, "the answer was lost"));
        }
        Ok(response)
    }

    async fn worker(&self, name: &str, command: &str, request: &Request) -> Result<Response> {
        let faults = self.shared.workers().faults_if_alive(name)?;
        if faults.unresponsive {
            let is_unresponsive = |shared: &Shared| {
                let faults = shared.workers().faults_if_alive(name);
                faults.is_ok_and(|faults| faults.unresponsive)
            };
            return Err(self.stall(is_unresponsive).await);
        }
        if command == "checkpoint" {
            if faults.ignores_checkpoint {
                let is_ignoring = |shared: &Shared| {
                    let faults = shared.workers().faults_if_alive(name);
                    faults.is_ok_and(|faults| faults.ignores_checkpoint)
                };
                return Err(self.stall(is_ignoring).await);
            }
            compio::time::sleep(faults.checkpoint_delay).await;
        }
        let now = Instant::now();
        let mut workers = self.shared.workers();
        workers.faults_if_alive(name)?;
        match command {
            "start" => {
                let body: StartTask = parse(request)?;
                let lease = lease(body.lease_ms);
                workers.start(name, body.task, lease, now).map(done)
            }
            "renew" => {
                let body: RenewTask = parse(request)?;
                let lease = lease(body.lease_ms);
                workers.renew(name, &body.task, lease, now).map(done)
            }
            "throttle" => {
                let body: ThrottleTask = parse(request)?;
                workers
                    .throttle(name, &body.task, body.share_percent, now)
                    .map(done)
            }
            "checkpoint" => {
                let key: TaskKey = parse(request)?;
                let checkpoint_ms = workers.checkpoint(name, &key, now)?;
                Ok(Response::json(&Ok(CheckpointAnswer { checkpoint_ms })))
            }
            "stop" => {
                let key: TaskKey = parse(request)?;
                workers.stop(name, &key, now).map(done)
            }
            "list" => Ok(Response::json(&workers.list(name, now))),
            _ => Err(not_found(&request.path)),
        }
    }

    async fn route(&self, request: &Request) -> Result<Response> {
        let path: Vec<&str> = request.path.splitn(4, '/').skip(1).collect();
        match (&request.method, path.as_slice()) {
            (&Method::POST, ["table", "transact"]) => self.store(request, Access::Write).await,
            (&Method::POST, ["table", "get" | "scan"]) => self.store(request, Access::Read).await,
            (&Method::PUT, ["objects", ..]) => self.store(request, Access::Write).await,
            (&Method::GET, ["objects", ..]) => self.store(request, Access::Read).await,
            (&Method::POST, ["workers", name, command]) => {
                self.worker(name, command, request).await
            }
            _ => Err(not_found(&request.path)),
        }
    }
}

impl Handler for RequestHandler {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        match self.route(&request).await {
            Ok(response) => response,
            Err(error) => Response::error(&error),
        }
    }
}

/// Executes an admitted request to table or object store.
fn run(store: &StoreState, request: &Request) -> Result<Response> {
    let memory = &store.memory;
    match &*request.path {
        "/table/transact" => {
            let transaction: Transaction = parse(request)?;
            if transaction.writes.len() > MAX_TRANSACTION_WRITES {
                let detail = format!("{} writes in one transaction", transaction.writes.len());
                return Err(Error::new(ErrorKind::BadRequest, detail));
            }
            Ok(Response::json(&Ok(memory.apply(&transaction))))
        }
        "/table/get" => {
            let body: GetRequest = parse(request)?;
            Ok(Response::json(&Ok(memory.read(&body.keys))))
        }
        "/table/scan" => {
            let body: ScanRequest = parse(request)?;
            let rows = memory.read_range(&body.prefix, &body.after, body.limit);
            Ok(Response::json(&Ok(rows)))
        }
        path => {
            let name = path.strip_prefix("/objects/").unwrap_or_default();
            if request.method == Method::PUT {
                memory.write_object(name, request.body.clone());
                return Ok(Response::new(204, Bytes::new()));
            }
            memory
                .read_object(name)
                .map(|content| Response::new(200, content))
                .ok_or_else(|| not_found(path))
        }
    }
}

fn parse<T: DeserializeOwned>(request: &Request) -> Result<T> {
    serde_json::from_slice(&request.body).map_err(|error| {
        let detail = format!("malformed body of {}: {error}", request.path);
        Error::new(ErrorKind::BadRequest, detail)
    })
}

fn lease(lease_ms: u64) -> Duration {
    Duration::from_millis(lease_ms).min(MAX_LEASE)
}

fn done((): ()) -> Response {
    Response::json(&Ok(()))
}

fn not_found(path: &str) -> Error {
    Error::new(ErrorKind::NotFound, format!("no resource at {path}"))
}
