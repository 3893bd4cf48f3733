//! Backend server with a fixed service time that counts its calls.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http::Method;

use crate::fixture::BackendSpec;
use crate::fixture::Counters;
use crate::fixture::SECRET;
use crate::fixture::SERVICE;
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

pub(crate) struct BackendPlan {
    pub(crate) agent: SocketAddr,
    pub(crate) spec: BackendSpec,
    pub(crate) counters: Arc<Counters>,
    pub(crate) origin: Instant,
}

pub(crate) struct Backend {
    plan: BackendPlan,
    server: Server,
}

struct EchoHandler {
    service_time: Duration,
    counters: Arc<Counters>,
    origin: Instant,
}

impl Handler for EchoHandler {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        self.counters.calls.fetch_add(1, Ordering::Relaxed);
        self.counters
            .last_call_us
            .store(self.origin.elapsed().as_micros() as u64, Ordering::Relaxed);
        if !self.service_time.is_zero() {
            compio::time::sleep(self.service_time).await;
        }
        Response::new(200, request.body).with_header(REQUEST_ID_HEADER, &request.request_id)
    }
}

impl Backend {
    pub(crate) async fn bind(plan: BackendPlan) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(any, ServerLimits::default()).await;
        Self {
            plan,
            server: server.expect("the server binds a free port"),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Serves calls, and announces the server every second and immediately when `leaving` is set.
    pub(crate) async fn run(self) {
        let Self { plan, server } = self;
        let mut announcement = Announcement {
            incarnation: new_incarnation(),
            service: SERVICE.into(),
            address: server.local_address(),
            slots: plan.spec.slots,
            connections: 64,
            leaving: false,
        };
        let handler = Rc::new(EchoHandler {
            service_time: plan.spec.service_time,
            counters: Arc::clone(&plan.counters),
            origin: plan.origin,
        });
        compio::runtime::spawn(server.serve(handler, Drain::new())).detach();
        let client = Client::new("backend", Secret::new(SECRET)).expect("the client starts");
        let second = Duration::from_secs(1);
        loop {
            announcement.leaving = plan.counters.leaving.load(Ordering::Relaxed);
            let body = serde_json::to_vec(&announcement).expect("an announcement is JSON");
            let path = "/v1/backend-server";
            let _ = client
                .request(Method::PUT, plan.agent, path, &[], body.into(), second)
                .await;
            let announced = Instant::now();
            while announced.elapsed() < second
                && announcement.leaving == plan.counters.leaving.load(Ordering::Relaxed)
            {
                compio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    }
}
