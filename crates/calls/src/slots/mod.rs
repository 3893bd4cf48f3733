//! Slots of the backend server next to an agent: announcements, admission and forwarding of calls.

mod announcement;
mod attempts;
mod pool;
mod queue;
mod stream;

pub use announcement::Announcement;
pub use announcement::ServerReport;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use attempts::Attempts;
use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request as HttpRequest;
use http::header::HOST;
use http_body_util::Full;
use log::info;
use pool::Pool;
use queue::SlotQueue;

use crate::BackendAnswer;
use crate::CallMessage;
use crate::CallReply;
use crate::CloseAnswer;
use crate::CloseMessage;
use crate::DEADLINE_HEADER;
use crate::Load;
use crate::request::is_forwarded;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::Result;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Message;
use nutmegwalk_net::REQUEST_ID_HEADER;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;

/// Path to which backend servers send announcements.
const ANNOUNCEMENT_PATH: &str = "/v1/backend-server";
/// Maximum number of slots in an announcement, which guards against nonsensical announcements.
const MAX_SLOTS: u32 = 1024;

/// Maximum deadline or wait that a peer can request from the agent.
const MAX_WAIT: Duration = Duration::from_secs(120);

/// Limits that an agent applies to calls of its backend server.
#[derive(Clone, Copy, Debug)]
pub struct SlotSettings {
    /// Maximum number of calls that wait for a slot.
    pub queue_limit: usize,
    /// Maximum size of the body of an answer of the backend server, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum total size of the answers to claimed attempts that are kept for `close`, in bytes.
    pub max_kept_answer_bytes: usize,
    /// Time without an announcement after which the backend server is not used.
    pub announcement_timeout: Duration,
}

impl Default for SlotSettings {
    fn default() -> Self {
        Self {
            queue_limit: 16,
            max_answer_bytes: 8 << 20,
            max_kept_answer_bytes: 32 << 20,
            announcement_timeout: Duration::from_secs(3),
        }
    }
}

/// Numbers of attempts that an agent has handled since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotCounts {
    /// Attempts that ended with outcome `done`.
    pub done: u64,
    /// Attempts that ended with outcome `not_run`.
    pub not_run: u64,
    /// Attempts that ended with outcome `unknown`.
    pub unknown: u64,
    /// Attempts of which at least one byte may have reached the backend server.
    pub forwarded: u64,
}

/// One incarnation of the backend server.
struct BackendServer {
    announcement: RefCell<Announcement>,
    last_announced_at: Cell<Instant>,
    pool: Pool,
    queue: SlotQueue,
}

struct Inner {
    incarnation: Incarnation,
    secret: Secret,
    settings: SlotSettings,
    server: RefCell<Option<Rc<BackendServer>>>,
    attempts: Attempts,
    drain: Drain,
    counts: Cell<SlotCounts>,
}

/// Allocates the slots of the backend server next to this agent; clones share them.
#[derive(Clone)]
pub struct ServerSlots(Rc<Inner>);

impl ServerSlots {
    /// Creates the slots of an agent to which no backend server has announced itself yet.
    #[must_use]
    pub fn new(incarnation: Incarnation, secret: Secret, settings: SlotSettings) -> Self {
        Self(Rc::new(Inner {
            incarnation,
            secret,
            settings,
            server: RefCell::default(),
            attempts: Attempts::new(settings.max_kept_answer_bytes),
            drain: Drain::new(),
            counts: Cell::default(),
        }))
    }

    /// Handles a request for one of the agent's paths of this crate; returns `None` for any other path.
    pub async fn handle(&self, request: &Request) -> Option<Response> {
        match &*request.path {
            ANNOUNCEMENT_PATH => {
                let result = if request.method == Method::PUT {
                    self.handle_announcement(request)
                } else {
                    Err(Error::new(
                        ErrorKind::BadRequest,
                        "an announcement must use the method PUT",
                    ))
                };
                Some(Response::json(&result))
            }
            CallMessage::PATH => Some(match request.message::<CallMessage>(&self.0.secret) {
                Ok(message) => Response::message(&Ok(self.call(message).await)),
                Err(error) => Response::message::<CallReply>(&Err(error)),
            }),
            CloseMessage::PATH => {
                let result = match request.message::<CloseMessage>(&self.0.secret) {
                    Ok(message) => Ok(self.close(&message).await),
                    Err(error) => Err(error),
                };
                Some(Response::message(&result))
            }
            _ => None,
        }
    }

    /// Returns the report for entry hosts, or `None` while there is no live backend server.
    #[must_use]
    pub fn report(&self) -> Option<ServerReport> {
        let server = self.live_server()?;
        let announcement = server.announcement.borrow();
        Some(ServerReport {
            agent_incarnation: self.0.incarnation,
            server_incarnation: announcement.incarnation,
            service: announcement.service.clone(),
            leaving: announcement.leaving || self.0.drain.is_started(),
            load: server.queue.load(),
        })
    }

    /// Refuses new calls from now on; calls accepted before continue.
    ///
    /// To stop without aborting a call: drain, wait until entry hosts have received a report with `leaving`
    /// set, wait for [`ServerSlots::idle`], and only then stop the HTTP server.
    pub fn drain(&self) {
        self.0.drain.start();
    }

    /// Waits until no call is in flight.
    pub async fn idle(&self) {
        self.0.drain.idle().await;
    }

    /// Returns the counts since the start.
    #[must_use]
    pub fn counts(&self) -> SlotCounts {
        self.0.counts.get()
    }

    /// Applies an announcement of the backend server.
    ///
    /// An announcement with another incarnation, address or service replaces the current server.
    ///
    /// # Errors
    /// `bad_request` when the announcement has no slots, too many slots or no connections.
    pub fn announce(&self, announcement: Announcement) -> Result<()> {
        let Announcement {
            slots, connections, ..
        } = announcement;
        if !(1..=MAX_SLOTS).contains(&slots) || connections == 0 {
            return Err(Error::new(
                ErrorKind::BadRequest,
                "the number of slots or connections in the announcement is out of range",
            ));
        }
        // Each running call occupies one connection.
        let slots = slots.min(connections);
        let current_server = self.0.server.borrow().clone();
        if let Some(server) = current_server.filter(|server| server.is_same(&announcement)) {
            server.last_announced_at.set(Instant::now());
            server.queue.set_slots(slots);
            let mut current = server.announcement.borrow_mut();
            let leaving = current.leaving || announcement.leaving;
            *current = announcement;
            // An older heartbeat that arrives late must not clear the flag.
            current.leaving = leaving;
            return Ok(());
        }
        info!(
            "backend server {} of service {} announced incarnation {:016x}",
            announcement.address, announcement.service, announcement.incarnation
        );
        let idle_limit = slots as usize;
        let server = Rc::new(BackendServer {
            pool: Pool::new(
                announcement.address,
                idle_limit,
                self.0.settings.max_answer_bytes,
            ),
            queue: SlotQueue::new(slots, self.0.settings.queue_limit),
            last_announced_at: Cell::new(Instant::now()),
            announcement: RefCell::new(announcement),
        });
        if let Some(previous) = self.0.server.replace(Some(server)) {
            previous.pool.close();
            previous.queue.close(&Error::new(
                ErrorKind::NoBackendServer,
                "the backend server was replaced by a new incarnation",
            ));
        }
        Ok(())
    }

    fn handle_announcement(&self, request: &Request) -> Result<()> {
        request.check_secret(&self.0.secret)?;
        let announcement: Announcement = serde_json::from_slice(&request.body)
            .map_err(|error| Error::new(ErrorKind::BadRequest, error.to_string()))?;
        let (peer, announced) = (request.peer.ip(), announcement.address.ip());
        // A backend server runs on the same host as its agent; no other host may divert its calls.
        if peer != announced && !(peer.is_loopback() && announced.is_loopback()) {
            return Err(Error::new(
                ErrorKind::Forbidden,
                format!("peer {peer} may not announce a backend server at {announced}"),
            ));
        }
        self.announce(announcement)
    }

    fn live_server(&self) -> Option<Rc<BackendServer>> {
        let server = self.0.server.borrow().clone()?;
        let age = server.last_announced_at.get().elapsed();
        (age < self.0.settings.announcement_timeout).then_some(server)
    }

    async fn close(&self, message: &CloseMessage) -> CloseAnswer {
        if message.agent_incarnation != self.0.incarnation {
            return CloseAnswer::Unknown;
        }
        let wait = bounded_wait(message.wait_ms);
        self.0.attempts.close(&message.attempt, wait).await
    }

    async fn call(&self, message: CallMessage) -> CallReply {
        let attempt = message.attempt.clone();
        let result = if message.claimed {
            // A claimed attempt continues when the entry host disconnects, so that its answer is available
            // when the caller repeats the request at another entry host.
            let slots = self.clone();
            let in_flight = self.0.drain.enter();
            let (sender, receiver) = crate::oneshot::channel();
            compio::runtime::spawn(async move {
                let _ = sender.send(slots.run(message).await);
                drop(in_flight);
            })
            .detach();
            receiver.await.unwrap_or_else(|| {
                Err(Error::new(
                    ErrorKind::UnknownOutcome,
                    "the attempt ended without a result",
                ))
            })
        } else {
            let _in_flight = self.0.drain.enter();
            self.run(message).await
        };
        let server = self.0.server.borrow().clone();
        CallReply {
            attempt,
            result,
            load: server
                .as_ref()
                .map_or_else(Load::default, |server| server.queue.load()),
            server_incarnation: server.map_or(0, |server| server.announcement.borrow().incarnation),
        }
    }

    /// Runs an attempt and counts its outcome.
    async fn run(&self, message: CallMessage) -> Result<BackendAnswer> {
        let result = self.admit_and_forward(message).await;
        let mut counts = self.0.counts.get();
        match &result {
            Ok(_) => counts.done += 1,
            Err(error) if error.outcome() == Outcome::NotRun => counts.not_run += 1,
            Err(_) => counts.unknown += 1,
        }
        self.0.counts.set(counts);
        result
    }

    async fn admit_and_forward(&self, message: CallMessage) -> Result<BackendAnswer> {
        let deadline = Instant::now() + bounded_wait(message.deadline_ms);
        if message.agent_incarnation != self.0.incarnation {
            return Err(Error::new(
                ErrorKind::NoBackendServer,
                "the attempt is addressed to another incarnation of the agent",
            ));
        }
        if self.0.drain.is_started() {
            return Err(Error::new(
                ErrorKind::Draining,
                "the agent is shutting down",
            ));
        }
        let waiting = match message.claimed {
            true => Some(self.0.attempts.register(&message.attempt)?),
            false => None,
        };
        let server = self.usable_server(&message)?;
        let mut request = server.request(&message)?;
        let slot = server.queue.acquire(message.within_rate, deadline).await?;
        let started = match waiting {
            Some(attempt) => Some(attempt.start()?),
            None => None,
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        let time_left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        request
            .headers_mut()
            .insert(DEADLINE_HEADER, HeaderValue::from(time_left_ms));
        let exchange_id = exchange_id(&message);
        let result = server.pool.exchange(request, &exchange_id, deadline).await;
        drop(slot);
        let sent = result
            .as_ref()
            .map_or_else(|failure| failure.sent, |_| true);
        if sent {
            let mut counts = self.0.counts.get();
            counts.forwarded += 1;
            self.0.counts.set(counts);
        }
        match result {
            Ok(answer) => {
                if let Some(attempt) = started {
                    attempt.finish(&answer);
                }
                Ok(answer)
            }
            Err(failure) if failure.sent => Err(failure.error),
            Err(failure) => {
                if let Some(attempt) = started {
                    attempt.mark_not_sent();
                }
                Err(into_not_run(failure.error))
            }
        }
    }

    fn usable_server(&self, message: &CallMessage) -> Result<Rc<BackendServer>> {
        let no_server = |detail: &str| Error::new(ErrorKind::NoBackendServer, detail);
        let server = self
            .live_server()
            .ok_or_else(|| no_server("no backend server has announced itself recently"))?;
        {
            let announcement = server.announcement.borrow();
            if announcement.service != message.service {
                return Err(no_server("the backend server provides another service"));
            }
            if announcement.leaving {
                return Err(no_server("the backend server is shutting down"));
            }
        }
        Ok(server)
    }
}

impl BackendServer {
    fn is_same(&self, announcement: &Announcement) -> bool {
        let current = self.announcement.borrow();
        current.incarnation == announcement.incarnation
            && current.address == announcement.address
            && current.service == announcement.service
    }

    fn request(&self, message: &CallMessage) -> Result<HttpRequest<Full<Bytes>>> {
        let address = self.announcement.borrow().address;
        let mut builder = HttpRequest::builder()
            .method(message.method.as_bytes())
            .uri(&*message.path)
            .header(HOST, address.to_string())
            .header(REQUEST_ID_HEADER, &*exchange_id(message))
            .header("nutmegwalk-customer", &*message.customer);
        for (name, value) in &message.headers {
            let name = http::HeaderName::from_bytes(name.as_bytes());
            if let Ok(name) = name
                && is_forwarded(&name)
            {
                builder = builder.header(name, value.as_ref());
            }
        }
        let request = builder
            .body(Full::new(message.body.clone()))
            .map_err(|error| Error::new(ErrorKind::BadRequest, error.to_string()))?;
        // CONNECT would turn the connection into a tunnel.
        if request.method() == Method::CONNECT {
            return Err(Error::new(
                ErrorKind::BadRequest,
                "calls with the method CONNECT are not supported",
            ));
        }
        Ok(request)
    }
}

/// Converts a wait that a peer requested, limited to [`MAX_WAIT`].
fn bounded_wait(wait_ms: u64) -> Duration {
    Duration::from_millis(wait_ms).min(MAX_WAIT)
}

/// Returns the id that the backend server must return in its answer.
///
/// Callers choose request ids and may reuse them, so the id includes the attempt.
fn exchange_id(message: &CallMessage) -> Box<str> {
    format!("{}.{}", message.request_id, message.attempt).into()
}

/// Converts an error that occurred before the first byte was sent into one with outcome `not_run`.
fn into_not_run(error: Error) -> Error {
    if error.outcome() == Outcome::NotRun {
        return error;
    }
    Error::new(
        ErrorKind::Unreachable,
        format!("nothing was sent: {}", error.detail),
    )
}
