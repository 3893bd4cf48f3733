//! Backend server stand-in.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

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

/// Bodies of the calls that ran on any backend server, in order.
pub type Executions = Arc<Mutex<Vec<Box<str>>>>;

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
    executions: Executions,
    service_time: Duration,
}

impl Handler for EchoHandler {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        let body: Box<str> = String::from_utf8_lossy(&request.body).into();
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(body);
        compio::time::sleep(self.service_time).await;
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
                executions,
                service_time,
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
