//! Backend server stand-in.

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

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Header by which a caller names one send of a call; it is passed on to the backend server.
pub const SEND_HEADER: &str = "x-send";

/// A call that ran on a backend server.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Backend server.
    pub backend: Box<str>,
    /// Send that the call came from, if the caller named it.
    pub send: Option<Box<str>>,
    /// Body of the call.
    pub body: Box<str>,
}

/// Calls that ran on any backend server, in order.
pub type Executions = Arc<Mutex<Vec<Execution>>>;

/// Faults of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendFaults {
    /// Time for each call in place of the deployment's.
    pub service_time: Option<Duration>,
    /// Every call is answered with status 500.
    pub fails: bool,
    /// Answers carry the id and the body of the call before.
    pub mixes_answers: bool,
}

/// Faults that a backend server shares with the deployment, which changes them.
pub(crate) type SharedFaults = Arc<Mutex<BackendFaults>>;

/// What a backend server is started with.
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

/// A backend server that answers each call with its body after a fixed time.
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
        let own = (request.request_id.clone(), request.body.clone());
        let before = self.last.replace(Some(own));
        if faults.fails {
            return Response::new(500, "the server fails")
                .with_header(REQUEST_ID_HEADER, &request.request_id);
        }
        if let Some((id, body)) = before.filter(|_| faults.mixes_answers) {
            return Response::new(200, body).with_header(REQUEST_ID_HEADER, &id);
        }
        // The agent passes an answer on only if it names the request that it belongs to.
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
    // A lost announcement is repeated with the next one.
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
        let served = compio::runtime::spawn(server.serve(handler, closing.clone()));
        while !stop.is_started() {
            announce(&client, agent, &announcement).await;
            let _ = compio::time::timeout(ANNOUNCE_INTERVAL, stop.started()).await;
        }
        announcement.leaving = true;
        announce(&client, agent, &announcement).await;
        // Calls that the agent sent before it knew are still finished.
        closing.start();
        let _ = served.await;
    }
}
