//! A server under test and raw connections to it.
#![allow(unreachable_pub)]

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::BufResult;
use compio::io::AsyncRead;
use compio::io::AsyncWrite;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;

use nutmegwalk_net::Drain;
use nutmegwalk_net::Handler;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;
use nutmegwalk_net::Server;
use nutmegwalk_net::ServerLimits;

/// Timeout of a wait; much longer than a loaded machine needs.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Larger than the socket buffers of both ends together.
const LARGE_ANSWER_BYTES: usize = 48 << 20;

/// Echoes the body of each request; `/large` returns more than the socket buffers hold.
struct EchoHandler(Cell<usize>);

impl Handler for EchoHandler {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        self.0.set(self.0.get() + 1);
        match &*request.path {
            "/large" => Response::new(200, Bytes::from(vec![b'o'; LARGE_ANSWER_BYTES])),
            _ => Response::new(200, request.body),
        }
    }
}

/// A running server.
pub struct TestServer {
    address: SocketAddr,
    handler: Rc<EchoHandler>,
}

impl TestServer {
    pub async fn start(limits: ServerLimits) -> Self {
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), limits)
            .await
            .unwrap();
        let address = server.local_address();
        let handler = Rc::new(EchoHandler(Cell::new(0)));
        compio::runtime::spawn(server.serve(Rc::clone(&handler), Drain::new())).detach();
        Self { address, handler }
    }

    pub async fn connect(&self) -> Peer {
        Peer(TcpStream::connect(self.address).await.unwrap())
    }

    /// Returns the number of requests that reached the handler.
    pub fn handled(&self) -> usize {
        self.handler.0.get()
    }

    /// Asserts that `handled` requests reached the handler and that another caller is still served.
    pub async fn assert_still_serving(&self, handled: usize) {
        assert_eq!(self.handled(), handled);
        let answer = self.call().await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        assert_eq!(self.handled(), handled + 1);
    }

    /// Sends requests until one is served.
    pub async fn wait_until_served(&self) {
        let started = Instant::now();
        while !self.call().await.starts_with("HTTP/1.1 200 ") {
            assert!(started.elapsed() < WAIT_TIMEOUT, "no request is served");
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn call(&self) -> String {
        let mut peer = self.connect().await;
        let request = "GET /v1/echo HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";
        match peer.send(request).await {
            Ok(()) => peer.read_until_closed().await,
            Err(_) => String::new(),
        }
    }
}

/// The client end of a raw TCP connection.
pub struct Peer(TcpStream);

impl Peer {
    pub async fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.0.write_all(text.as_bytes().to_vec()).await.0
    }

    /// Shuts down the sending direction.
    pub async fn finish(&mut self) {
        self.0.shutdown().await.unwrap();
    }

    /// Sends `text` repeatedly until the server closes the connection or `max_bytes` were sent.
    ///
    /// Returns the number of bytes sent.
    pub async fn send_until_closed(&mut self, text: &str, max_bytes: usize) -> usize {
        let mut sent_bytes = 0;
        while sent_bytes < max_bytes && self.send(text).await.is_ok() {
            sent_bytes += text.len();
        }
        sent_bytes
    }

    /// Sends `text` at intervals until the server closes the connection.
    pub async fn send_slowly_until_closed(&mut self, text: &str) {
        let started = Instant::now();
        while self.send(text).await.is_ok() {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the connection stays open"
            );
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Reads until the server closes or resets the connection.
    pub async fn read_until_closed(&mut self) -> String {
        let mut received = Vec::new();
        while let Some(bytes) = self.read().await {
            received.extend(bytes);
        }
        String::from_utf8_lossy(&received).into_owned()
    }

    /// Reads until the received text ends with `end`.
    pub async fn read_until(&mut self, end: &str) {
        let mut received = Vec::new();
        while !received.ends_with(end.as_bytes()) {
            received.extend(self.read().await.expect("the connection is open"));
        }
    }

    async fn read(&mut self) -> Option<Vec<u8>> {
        let read = self.0.read(Vec::with_capacity(4096));
        let BufResult(result, bytes) = compio::time::timeout(WAIT_TIMEOUT, read)
            .await
            .expect("timed out: the connection neither closed nor delivered data");
        matches!(result, Ok(1..)).then_some(bytes)
    }
}

/// Returns the soft limit on the files that this process may open.
pub fn max_open_files() -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"));
    let soft = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    soft.unwrap_or(1024)
}
