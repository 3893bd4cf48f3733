//! Simulated backend server.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::Method;

use crate::deployment::role::Bound;
use nutmegwalk_base::Result;
use nutmegwalk_base::ServiceId;
use nutmegwalk_base::new_incarnation;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_calls::Announcement;
use nutmegwalk_net::Client;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Handler;
use nutmegwalk_net::REQUEST_ID_HEADER;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;
use nutmegwalk_net::Server;
use nutmegwalk_net::ServerLimits;

/// Interval between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Header that identifies one send of a call; the system forwards it to the backend server.
pub const SEND_HEADER: &str = "x-send";

/// Call that was executed on a backend server.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Name of the backend server.
    pub backend: Box<str>,
    /// Value of [`SEND_HEADER`], if the caller set it.
    pub send: Option<Box<str>>,
    /// Body of the call.
    pub body: Box<str>,
}

/// Calls that were executed on any backend server, in order of their arrival.
pub type Executions = Arc<Mutex<Vec<Execution>>>;

/// Faults of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendFaults {
    /// Service time of each call, which overrides that of the deployment.
    pub service_time: Option<Duration>,
    /// Every call is answered with status 500.
    pub fails: bool,
    /// Each answer carries the id and the body of the previous call.
    pub mixes_answers: bool,
}

/// Faults of a backend server, which the deployment can change while it runs.
pub(crate) type SharedFaults = Arc<Mutex<BackendFaults>>;

/// Settings of a backend server.
pub(crate) struct BackendPlan {
    pub(crate) name: Box<str>,
    pub(crate) service: ServiceId,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) agent: SocketAddr,
    pub(crate) secret: Secret,
    pub(crate) executions: Executions,
    pub(crate) service_time: Duration,
    pub(crate) faults: SharedFaults,
}

/// Backend server that answers each call with the body of the call after a fixed time.
pub(crate) struct Backend {
    server: Server,
    handler: Rc<EchoHandler>,
    client: Client,
    agent: SocketAddr,
    announcement: Announcement,
}

struct EchoHandler {
    name: Box<str>,
    executions: Executions,
    service_time: Duration,
    faults: SharedFaults,
    last: RefCell<Option<(Box<str>, Bytes)>>,
}

impl Handler for EchoHandler {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        let body: Box<str> = String::from_utf8_lossy(&request.body).into();
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(Execution {
                backend: self.name.clone(),
                send: request.header(SEND_HEADER).map(Into::into),
                body,
            });
        let faults = *self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        compio::time::sleep(faults.service_time.unwrap_or(self.service_time)).await;
        let current = (request.request_id.clone(), request.body.clone());
        let previous = self.last.replace(Some(current));
        if faults.fails {
            return Response::new(500, "injected failure")
                .with_header(REQUEST_ID_HEADER, &request.request_id);
        }
        if let Some((id, body)) = previous.filter(|_| faults.mixes_answers) {
            return Response::new(200, body).with_header(REQUEST_ID_HEADER, &id);
        }
        // The agent forwards an answer only if it carries the id of its request.
        Response::new(200, request.body).with_header(REQUEST_ID_HEADER, &request.request_id)
    }
}

impl Backend {
    /// Binds a backend server that announces itself to its agent.
    pub(crate) async fn bind(plan: BackendPlan) -> Result<Self> {
        let BackendPlan {
            name,
            service,
            slots,
            connections,
            agent,
            secret,
            executions,
            service_time,
            faults,
        } = plan;
        let server = Server::bind(
            SocketAddr::from(([127, 0, 0, 1], 0)),
            ServerLimits::default(),
        )
        .await?;
        let announcement = Announcement {
            incarnation: new_incarnation(),
            service,
            address: server.local_address(),
            slots,
            connections,
            leaving: false,
        };
        Ok(Self {
            server,
            handler: Rc::new(EchoHandler {
                name: name.clone(),
                executions,
                service_time,
                faults,
                last: RefCell::default(),
            }),
            client: Client::new(name, secret)?,
            agent,
            announcement,
        })
    }
}

async fn announce(client: &Client, agent: SocketAddr, announcement: &Announcement) {
    let body = serde_json::to_vec(announcement).unwrap_or_default();
    let path = "/v1/backend-server";
    // A lost announcement is not retried; the next one replaces it.
    let _ = client
        .request(Method::PUT, agent, path, &[], body.into(), ANNOUNCE_TIMEOUT)
        .await;
}

impl Bound for Backend {
    fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    async fn run(self, stop: Drain) {
        let Self {
            server,
            handler,
            client,
            agent,
            mut announcement,
        } = self;
        let closing = Drain::new();
        let serving = compio::runtime::spawn(server.serve(handler, closing.clone()));
        while !stop.is_started() {
            announce(&client, agent, &announcement).await;
            let _ = compio::time::timeout(ANNOUNCE_INTERVAL, stop.started()).await;
        }
        announcement.leaving = true;
        announce(&client, agent, &announcement).await;
        // Calls that the agent sent before it received this announcement are still finished.
        closing.start();
        let _ = serving.await;
    }
}
