//! Agents, entry hosts and a store with injected faults for the tests and the measurement program.
// Each test file uses only a part of this module.
#![allow(dead_code, missing_docs, unreachable_pub, unused_imports)]

pub mod backend;
pub mod store;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nutmegwalk_base::Incarnation;
use nutmegwalk_base::new_incarnation;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_calls::CallRequest;
use nutmegwalk_calls::Claims;
use nutmegwalk_calls::ClaimsSettings;
use nutmegwalk_calls::Repeat;
use nutmegwalk_calls::Router;
use nutmegwalk_calls::RouterSettings;
use nutmegwalk_calls::ServerEntry;
use nutmegwalk_calls::ServerSlots;
use nutmegwalk_calls::SlotSettings;
use nutmegwalk_net::Client;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Handler;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;
use nutmegwalk_net::Server;
use nutmegwalk_net::ServerLimits;

pub use backend::Backend;
pub use backend::Behaviour;
pub use store::FaultyStore;

/// Timeout of every wait, which is far above the time needed on any machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub fn client() -> Client {
    Client::new("entry", Secret::new("s")).unwrap()
}

struct AgentHandler(RefCell<ServerSlots>);

impl Handler for AgentHandler {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        let slots = self.0.borrow().clone();
        let response = slots.handle(&request).await;
        response.unwrap_or_else(|| Response::new(404, ""))
    }
}

pub struct Agent {
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    pub slots: ServerSlots,
    pub drain: Drain,
    handler: Rc<AgentHandler>,
    served: compio::runtime::JoinHandle<()>,
}

impl Agent {
    pub async fn start() -> Self {
        Self::start_at("127.0.0.1:0".parse().unwrap()).await
    }

    pub async fn start_at(address: SocketAddr) -> Self {
        // Tests announce a server only once, so the announcement must not time out.
        let settings = SlotSettings {
            announcement_timeout: Duration::from_secs(3600),
            ..SlotSettings::default()
        };
        Self::start_with(address, settings).await
    }

    pub async fn start_with(address: SocketAddr, settings: SlotSettings) -> Self {
        let server = Server::bind(address, ServerLimits::default())
            .await
            .unwrap();
        let address = server.local_address();
        let incarnation = new_incarnation();
        let slots = ServerSlots::new(incarnation, Secret::new("s"), settings);
        let drain = Drain::new();
        let handler = Rc::new(AgentHandler(RefCell::new(slots.clone())));
        let serve = server.serve(Rc::clone(&handler), drain.clone());
        let served = compio::runtime::spawn(serve);
        Self {
            address,
            incarnation,
            slots,
            drain,
            handler,
            served,
        }
    }

    pub async fn with_backend(backend: &Backend, slots: u32) -> Self {
        let agent = Self::start().await;
        agent.slots.announce(backend.announcement(slots)).unwrap();
        agent
    }

    /// Replaces the slots, as a restart of the agent at the same address does: they have a new incarnation
    /// and no records of attempts.
    pub fn restart(&mut self, backend: &Backend, slots: u32) {
        self.incarnation = new_incarnation();
        let settings = SlotSettings {
            announcement_timeout: Duration::from_secs(3600),
            ..SlotSettings::default()
        };
        self.slots = ServerSlots::new(self.incarnation, Secret::new("s"), settings);
        self.slots.announce(backend.announcement(slots)).unwrap();
        self.handler.0.replace(self.slots.clone());
    }

    pub fn entry(&self) -> ServerEntry {
        self.entry_in("centre-1", "region-1")
    }

    pub fn entry_in(&self, data_centre: &str, region: &str) -> ServerEntry {
        let report = self.slots.report().unwrap();
        report.into_entry(self.address, data_centre, region)
    }

    /// Closes the listener and waits for the requests in flight.
    pub async fn stop(self) {
        self.drain.start();
        self.served.await.unwrap();
    }
}

pub fn router(agents: &[&Agent], claims: Option<Claims>) -> Router {
    let settings = RouterSettings::new("centre-1", "region-1");
    router_with(settings, agents, claims)
}

pub fn router_with(settings: RouterSettings, agents: &[&Agent], claims: Option<Claims>) -> Router {
    let router = Router::new(client(), settings, claims);
    router.update_servers(agents.iter().map(|agent| agent.entry()).collect());
    router
}

pub fn request(body: &str) -> CallRequest {
    CallRequest::new("valmiera", "saw", "/cut", body.to_string(), TEST_TIMEOUT)
}

/// Returns the claims of a new entry host that uses `store`.
pub fn claims(store: &Rc<FaultyStore>, settings: ClaimsSettings) -> Claims {
    Claims::new(Rc::clone(store) as _, Rc::clone(store) as _, settings)
}

/// Returns a key with the current time and `random` as its second part.
pub fn key(random: &str) -> Box<str> {
    key_of_age(random, Duration::ZERO)
}

pub fn key_of_age(random: &str, age: Duration) -> Box<str> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    format!("{}-{random}", (now - age).as_millis()).into()
}

/// Returns a request that may run at most once.
pub fn non_repeatable(key: &str, body: &str) -> CallRequest {
    request(body).with_repeat(Repeat::Never { key: key.into() })
}

/// Drops `future` after it has been polled `polls` times, which simulates a crash of its process.
pub struct DropAfterPolls<F> {
    future: Option<Pin<Box<F>>>,
    polls: u32,
}

impl<F: Future> DropAfterPolls<F> {
    pub fn new(future: F, polls: u32) -> Self {
        Self {
            future: Some(Box::pin(future)),
            polls,
        }
    }
}

impl<F: Future> Future for DropAfterPolls<F> {
    type Output = Option<F::Output>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        if self.polls == 0 {
            self.future = None;
        }
        let Some(future) = &mut self.future else {
            return Poll::Ready(None);
        };
        let result = future.as_mut().poll(context);
        self.polls -= 1;
        match result {
            Poll::Ready(output) => Poll::Ready(Some(output)),
            Poll::Pending if self.polls == 0 => {
                self.future = None;
                Poll::Ready(None)
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

/// Waits until `condition` holds.
pub async fn eventually(description: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "timed out waiting until {description}"
        );
        compio::time::sleep(Duration::from_millis(1)).await;
    }
}

pub fn block_on(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(test);
}

#[macro_export]
macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() { $crate::common::block_on(async $body) })*
    };
}
