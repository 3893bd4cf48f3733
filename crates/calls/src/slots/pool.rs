//! Connections to one backend server and the exchanges on them.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use http::HeaderMap;
use http::Request;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use log::debug;

use super::stream::CountingStream;
use super::stream::WriteControl;
use crate::BackendAnswer;
use crate::request::forwarded_headers;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_net::REQUEST_ID_HEADER;

/// An exchange that did not end with a complete answer.
#[derive(Debug)]
pub(super) struct ExchangeFailure {
    /// Whether any byte of the request may have reached the backend server.
    pub(super) sent: bool,
    /// What went wrong.
    pub(super) error: Error,
}

/// A connection; dropping it closes it.
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    control: WriteControl,
    // Dropping the handle stops the task, which closes the socket.
    _task: JoinHandle<()>,
}

/// The connections to one incarnation of a backend server.
pub(super) struct Pool {
    address: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    idle_limit: Cell<usize>,
    max_answer_bytes: usize,
}

impl Pool {
    /// Creates a pool without connections.
    pub(super) fn new(address: SocketAddr, idle_limit: usize, max_answer_bytes: usize) -> Self {
        Self {
            address,
            idle: RefCell::default(),
            idle_limit: Cell::new(idle_limit),
            max_answer_bytes,
        }
    }

    /// Closes the idle connections and keeps none from now on.
    pub(super) fn close(&self) {
        self.idle_limit.set(0);
        self.idle.borrow_mut().clear();
    }

    /// Sends a request and waits for the whole answer until `deadline`.
    ///
    /// The request carries `exchange_id` as its request id, and only an answer with the same id is
    /// accepted: a duplicate of an earlier answer on the same connection has another one. A
    /// connection is kept only after an exchange that ended in every respect as expected.
    pub(super) async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        exchange_id: &str,
        deadline: Instant,
    ) -> Result<BackendAnswer, ExchangeFailure> {
        while let Some(connection) = self.idle_connection() {
            let result = self
                .exchange_over(connection, request.clone(), exchange_id, deadline)
                .await;
            match result {
                // The server had closed the idle connection.
                Err(failure) if !failure.sent => debug!("{}", failure.error),
                result => return result,
            }
        }
        let connecting = connect(self.address);
        let connected = match compio::time::timeout(remaining(deadline), connecting).await {
            Ok(connected) => connected,
            Err(_) => Err(unreachable(self.address, "timed out")),
        };
        match connected {
            Ok(connection) => {
                self.exchange_over(connection, request, exchange_id, deadline)
                    .await
            }
            Err(error) => Err(ExchangeFailure { sent: false, error }),
        }
    }

    async fn exchange_over(
        &self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        exchange_id: &str,
        deadline: Instant,
    ) -> Result<BackendAnswer, ExchangeFailure> {
        let control = connection.control.clone();
        let before_bytes = control.written_bytes();
        let exchange = self.exchange_on(&mut connection, request, exchange_id);
        let result = match compio::time::timeout(remaining(deadline), exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::new(
                ErrorKind::UnknownOutcome,
                format!("{} did not answer before the deadline", self.address),
            )),
        };
        match result {
            Ok((answer, reusable)) => {
                if reusable {
                    self.keep(connection);
                }
                Ok(answer)
            }
            Err(error) => {
                control.close();
                drop(connection);
                let sent = control.written_bytes() != before_bytes;
                Err(ExchangeFailure { sent, error })
            }
        }
    }

    fn keep(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.idle_limit.get() && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }

    /// Takes an idle connection. One that is not ready at once still has to do with an earlier
    /// exchange and is closed.
    fn idle_connection(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    async fn exchange_on(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
        exchange_id: &str,
    ) -> Result<(BackendAnswer, bool)> {
        let cut = |error: &dyn std::fmt::Display| {
            let detail = format!("{} cut the exchange off: {error}", self.address);
            Error::new(ErrorKind::UnknownOutcome, detail)
        };
        let response = connection
            .sender
            .send_request(request)
            .await
            .map_err(|error| cut(&error))?;
        self.check_head(&response, exchange_id)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, self.max_answer_bytes)
            .collect()
            .await
            .map_err(|error| {
                if error.is::<LengthLimitError>() {
                    let limit_bytes = self.max_answer_bytes;
                    let detail =
                        format!("the answer of {} is over {limit_bytes} bytes", self.address);
                    return Error::new(ErrorKind::BadGateway, detail);
                }
                let detail = format!("the answer of {} was cut short: {error}", self.address);
                Error::new(ErrorKind::BadGateway, detail)
            })?
            .to_bytes();
        let answer = BackendAnswer {
            status: head.status.as_u16(),
            headers: forwarded_headers(&head.headers, &[]),
            body_bytes: body.len() as u64,
            body,
        };
        Ok((answer, !asks_to_close(&head.headers)))
    }

    fn check_head(&self, response: &http::Response<Incoming>, exchange_id: &str) -> Result<()> {
        let bad = |detail: &str| {
            let detail = format!("the answer of {} {detail}", self.address);
            Err(Error::new(ErrorKind::BadGateway, detail))
        };
        let headers = response.headers();
        if response.status().is_informational() {
            return bad("switches protocols");
        }
        let shown_id = headers.get(REQUEST_ID_HEADER).map(|id| id.as_bytes());
        if shown_id != Some(exchange_id.as_bytes()) {
            return bad("does not carry the request id");
        }
        let without_body = response.status() == 204 || response.status() == 304;
        let delimited =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        if !without_body && !delimited {
            // The end of the connection would be its only end, so that a cut would go unnoticed.
            return bad("has no length");
        }
        Ok(())
    }
}

fn asks_to_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

fn unreachable(address: SocketAddr, detail: &str) -> Error {
    Error::new(
        ErrorKind::Unreachable,
        format!("cannot connect to backend server {address}: {detail}"),
    )
}

async fn connect(address: SocketAddr) -> Result<Connection> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| unreachable(address, &error.to_string()))?;
    let _ = stream.set_nodelay(true);
    let control = WriteControl::default();
    let stream = CountingStream::new(stream, control.clone());
    let (sender, connection) = http1::handshake(stream)
        .await
        .map_err(|error| unreachable(address, &error.to_string()))?;
    let task = compio::runtime::spawn(async move {
        if let Err(error) = connection.await {
            debug!("connection to backend server {address} ended: {error}");
        }
    });
    Ok(Connection {
        sender,
        control,
        _task: task,
    })
}
