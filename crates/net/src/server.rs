//! HTTP/1.1 server with limits on connections, headers, bodies and durations.

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpListener;
use compio::net::TcpStream;
use cyper_core::CompioTimer;
use futures_util::future::Either;
use futures_util::future::select;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use log::debug;
use log::warn;
use serde::Serialize;

use crate::Drain;
use crate::Message;
use crate::REQUEST_ID_HEADER;
use crate::SECRET_HEADER;
use crate::decode;
use crate::encode;
use crate::stream::WriteTimeoutStream;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::event;
use nutmegwalk_base::new_id;
use nutmegwalk_base::secret::Secret;

/// Limits that prevent peers from exhausting the resources of the process.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest number of concurrent connections; further ones are closed immediately.
    pub max_connections: usize,
    /// Timeout for receiving the request head; also bounds how long a connection stays idle.
    pub header_timeout: Duration,
    /// Timeout for receiving the request body.
    pub body_timeout: Duration,
    /// How long a response may make no progress because the peer does not read it.
    pub write_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 8 << 20,
            max_header_bytes: 16 << 10,
            max_connections: 12_000,
            header_timeout: Duration::from_secs(15),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method of the request.
    pub method: Method,
    /// Path without the query.
    pub path: Box<str>,
    /// Query without the question mark; empty when there is none.
    pub query: Box<str>,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
    /// Id from the request id header, or a new one if the header is missing, empty or longer than 128 bytes.
    pub request_id: Box<str>,
    /// Address of the peer.
    pub peer: SocketAddr,
}

impl Request {
    /// Returns a header as text; `None` if it is missing or is not visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the token of an `authorization: Bearer` header.
    #[must_use]
    pub fn bearer_token(&self) -> Option<&str> {
        self.header("authorization")?.strip_prefix("Bearer ")
    }

    /// Decodes the body as message `M` after checking the shared secret.
    ///
    /// # Errors
    /// `unauthenticated` without the secret, `bad_request` when the body is malformed.
    pub fn message<M: Message>(&self, secret: &Secret) -> Result<M> {
        self.check_secret(secret)?;
        decode(&self.body)
    }

    /// Checks that the sender is a process of this system. If `secret` is empty, a request without it is accepted.
    ///
    /// # Errors
    /// `unauthenticated` without the secret.
    pub fn check_secret(&self, secret: &Secret) -> Result<()> {
        match self.header(SECRET_HEADER) {
            None if secret.is_empty() => Ok(()),
            Some(presented) if secret.matches(presented) => Ok(()),
            _ => Err(Error::new(
                ErrorKind::Unauthenticated,
                "the shared secret is missing or wrong",
            )),
        }
    }
}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body of the response.
    pub body: Bytes,
}

impl Response {
    /// Creates a response without headers.
    #[must_use]
    pub fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: body.into(),
        }
    }

    /// Sets a header; a value that is not allowed in a header is ignored.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }

    /// Creates the answer to a message, encoded as MessagePack; an error is encoded the same way.
    #[must_use]
    pub fn message<T: Serialize>(result: &Result<T>) -> Self {
        let encoded = match result {
            Ok(answer) => encode(answer).map(|body| Self::new(200, body)),
            Err(error) => encode(error).map(|body| Self::new(error.kind.http_status(), body)),
        };
        encoded.unwrap_or_else(|_| Self::new(500, Bytes::new()))
    }

    /// Creates a JSON response for callers and operators; errors are as in [`Response::error`].
    #[must_use]
    pub fn json<T: Serialize>(result: &Result<T>) -> Self {
        let response = match result {
            Ok(answer) => Self::new(200, serde_json::to_vec(answer).unwrap_or_default()),
            Err(error) => Self::error(error),
        };
        response.with_header("content-type", "application/json")
    }

    /// Creates a JSON error response with headers for the outcome and for the time after which to retry.
    #[must_use]
    pub fn error(error: &Error) -> Self {
        let body = serde_json::to_vec(error).unwrap_or_default();
        let response = Self::new(error.kind.http_status(), body)
            .with_header("content-type", "application/json")
            .with_header("nutmegwalk-outcome", error.outcome().name());
        match error.retry_after_ms {
            Some(delay_ms) => {
                response.with_header("retry-after", &delay_ms.div_ceil(1000).to_string())
            }
            None => response,
        }
    }
}

/// Handles the requests of a [`Server`].
pub trait Handler: 'static {
    /// Returns the response to `request`; errors are returned as responses too.
    fn handle(self: Rc<Self>, request: Request) -> impl Future<Output = Response>;
}

/// A listening server.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    local_address: SocketAddr,
    limits: ServerLimits,
    reset: ConnectionReset,
}

/// Closes the open connections of a [`Server`] abruptly, as the end of its process does. Clones belong to the same server.
#[derive(Clone, Debug, Default)]
pub struct ConnectionReset {
    /// Started when the connections that are open now are to be closed.
    current: Rc<RefCell<Drain>>,
}

impl ConnectionReset {
    /// Closes all connections, also those with a request in flight. The server accepts new ones.
    pub fn close_all(&self) {
        self.current.replace(Drain::new()).start();
    }

    fn for_new_connection(&self) -> Drain {
        self.current.borrow().clone()
    }
}

impl Server {
    /// Binds `address`.
    ///
    /// # Errors
    /// `address_in_use` when the address cannot be bound.
    pub async fn bind(address: SocketAddr, limits: ServerLimits) -> Result<Self> {
        let in_use = |error: std::io::Error| {
            Error::new(
                ErrorKind::AddressInUse,
                format!("cannot listen on {address}: {error}"),
            )
        };
        let listener = TcpListener::bind(address).await.map_err(in_use)?;
        let local_address = listener.local_addr().map_err(in_use)?;
        Ok(Self {
            listener,
            local_address,
            limits,
            reset: ConnectionReset::default(),
        })
    }

    /// Returns the means to close the server's connections while it serves.
    #[must_use]
    pub fn connection_reset(&self) -> ConnectionReset {
        self.reset.clone()
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Serves until `drain` starts, then completes the requests in flight and returns.
    ///
    /// Idle connections are closed when the drain starts; each connection with a request in flight
    /// is closed after its response. Dropping the returned future closes all connections immediately.
    pub async fn serve<H: Handler>(self, handler: Rc<H>, drain: Drain) {
        let connections = Drain::new();
        let reset = ResetOnDrop(self.reset);
        loop {
            let accepted = match select(pin!(self.listener.accept()), pin!(drain.started())).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right(_) => break,
            };
            let (stream, peer) = match accepted {
                Ok(connection) => connection,
                Err(error) => {
                    warn!(target: event::CONNECTION_REFUSED, "cannot accept a connection: {error}");
                    // Accepting fails when file descriptors run out; during the pause some connections may close.
                    compio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            if connections.in_flight() >= self.limits.max_connections {
                debug!(target: event::CONNECTION_REFUSED, "closing a connection of {peer}: too many connections");
                continue;
            }
            let open = connections.enter();
            let connection = serve_connection(
                stream,
                peer,
                Rc::clone(&handler),
                self.limits,
                drain.clone(),
            );
            let closed = reset.0.for_new_connection();
            compio::runtime::spawn(async move {
                // Comes first: a request that has arrived is not handled after the connection was closed.
                select(pin!(closed.started()), pin!(connection)).await;
                drop(open);
            })
            .detach();
        }
        drop(self.listener);
        connections.idle().await;
    }
}

/// Closes the connections when it is dropped.
struct ResetOnDrop(ConnectionReset);

impl Drop for ResetOnDrop {
    fn drop(&mut self) {
        self.0.close_all();
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: Rc<H>,
    limits: ServerLimits,
    drain: Drain,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = Rc::clone(&handler);
        async move { Ok::<_, Infallible>(into_hyper(answer(handler, request, peer, limits).await)) }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_header_size(limits.max_header_bytes)
        .max_buf_size(limits.max_header_bytes.max(64 << 10))
        .serve_connection(
            WriteTimeoutStream::new(stream, limits.write_timeout),
            service,
        );
    let mut connection = pin!(connection);
    let finished = match select(connection.as_mut(), pin!(drain.started())).await {
        Either::Left((finished, _)) => finished,
        Either::Right(_) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = finished {
        debug!(target: event::CONNECTION_ENDED, "connection of {peer} ended: {error}");
    }
}

async fn answer<H: Handler>(
    handler: Rc<H>,
    request: hyper::Request<Incoming>,
    peer: SocketAddr,
    limits: ServerLimits,
) -> Response {
    match receive(request, peer, limits).await {
        Ok(request) => handler.handle(request).await,
        // Part of the body is unread, so the connection cannot be reused.
        Err(error) => Response::error(&error).with_header("connection", "close"),
    }
}

async fn receive(
    request: hyper::Request<Incoming>,
    peer: SocketAddr,
    limits: ServerLimits,
) -> Result<Request> {
    let (head, body) = request.into_parts();
    let too_large = || {
        let detail = format!("the body is larger than {} bytes", limits.max_body_bytes);
        Error::new(ErrorKind::TooLarge, detail)
    };
    // A declared length over the limit is rejected before the body is read.
    if usize::try_from(body.size_hint().lower()).map_or(true, |size| size > limits.max_body_bytes) {
        return Err(too_large());
    }
    let body = compio::time::timeout(
        limits.body_timeout,
        Limited::new(body, limits.max_body_bytes).collect(),
    )
    .await
    .map_err(|_| Error::new(ErrorKind::RequestTimeout, "the body did not arrive in time"))?
    .map_err(|error| {
        if error.is::<http_body_util::LengthLimitError>() {
            return too_large();
        }
        Error::new(
            ErrorKind::BadRequest,
            format!("the body was truncated: {error}"),
        )
    })?
    .to_bytes();
    let request_id = head
        .headers
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .filter(|id| !id.is_empty() && id.len() <= 128)
        .map_or_else(|| new_id("req"), Into::into);
    Ok(Request {
        method: head.method,
        path: head.uri.path().into(),
        query: head.uri.query().unwrap_or_default().into(),
        headers: head.headers,
        body,
        request_id,
        peer,
    })
}

fn into_hyper(response: Response) -> hyper::Response<Full<Bytes>> {
    let mut answer = hyper::Response::new(Full::new(response.body));
    *answer.status_mut() = http::StatusCode::from_u16(response.status)
        .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    *answer.headers_mut() = response.headers;
    answer
}
