//! A single HTTP/1.1 connection, for requests that no other process than the one at its other end may receive.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use cyper_core::HyperStream;
use http::Method;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use log::debug;

use crate::Client;
use crate::Response;
use crate::SECRET_HEADER;
use crate::client::MAX_ANSWER_BYTES;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::event;

/// A connection that ends with the process at its other end. Unlike those of a [`Client`], its requests are never sent
/// over another connection, which may lead to a later process at the same address.
pub struct Connection {
    client: Client,
    to: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Transfers the data; the connection is closed when it is dropped.
    _transfer: JoinHandle<()>,
}

impl Connection {
    pub(crate) async fn open(client: Client, to: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(to).await.map_err(|error| {
            Error::new(
                ErrorKind::Unreachable,
                format!("cannot connect to {to}: {error}"),
            )
        })?;
        // Without it, a request only takes longer.
        let _ = stream.set_nodelay(true);
        let (sender, transfer) = http1::handshake(HyperStream::new_plain(stream))
            .await
            .map_err(|error| Error::new(ErrorKind::Unreachable, format!("{to}: {error}")))?;
        let transfer = compio::runtime::spawn(async move {
            if let Err(error) = transfer.await {
                debug!(target: event::CONNECTION_ENDED, "connection to {to} ended: {error}");
            }
        });
        Ok(Self {
            client,
            to,
            sender,
            _transfer: transfer,
        })
    }

    /// Returns whether neither side is known to have closed the connection.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and returns the complete response. The connection is closed after a request without one.
    ///
    /// # Errors
    /// `unreachable` when the connection had been closed before the request was sent; `unknown_outcome` when it may have
    /// been sent and no complete answer arrived within `timeout`.
    pub async fn request(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response> {
        let Self {
            client, to, sender, ..
        } = self;
        let mut request = http::Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, to.to_string());
        if !client.secret.is_empty() {
            request = request.header(SECRET_HEADER, client.secret.expose());
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| Error::new(ErrorKind::BadRequest, error.to_string()))?;
        let exchange = exchange(sender, request, *to, path);
        client.run_exchange(*to, path, timeout, exchange).await
    }
}

/// Sends a request and returns the complete response.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: http::Request<Full<Bytes>>,
    to: SocketAddr,
    path: &str,
) -> Result<Response> {
    let not_sent = |error: hyper::Error| {
        let detail = format!("the connection to {to} was closed: {error}");
        Error::new(ErrorKind::Unreachable, detail)
    };
    let unanswered =
        |problem: String| Error::new(ErrorKind::UnknownOutcome, format!("{to}{path}: {problem}"));
    sender.ready().await.map_err(not_sent)?;
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            // The request is returned if none of it was written.
            let is_unsent = error.take_message().is_some();
            let error = error.into_error();
            return Err(if is_unsent {
                not_sent(error)
            } else {
                unanswered(error.to_string())
            });
        }
    };
    let (head, body) = response.into_parts();
    let max_bytes = usize::try_from(MAX_ANSWER_BYTES).unwrap_or(usize::MAX);
    let body = Limited::new(body, max_bytes)
        .collect()
        .await
        .map_err(|error| unanswered(format!("the answer was truncated: {error}")))?
        .to_bytes();
    Ok(Response {
        status: head.status.as_u16(),
        headers: head.headers,
        body,
    })
}
