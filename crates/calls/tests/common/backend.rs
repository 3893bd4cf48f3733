//! A minimal backend server with configurable faults.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::io::AsyncWriteExt;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;

use nutmegwalk_base::Incarnation;
use nutmegwalk_base::new_incarnation;
use nutmegwalk_calls::Announcement;

/// Behaviour of the backend server for each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Answers with the request's body.
    Echo,
    /// Answers with this status.
    Status(u16),
    /// Reads the request and never answers.
    NoAnswer,
    /// Sends fewer bytes than its content-length states, then closes the connection.
    Truncated,
    /// Sends a chunked answer without the last chunk, then closes the connection.
    TruncatedChunks,
    /// Sends bytes that are not HTTP.
    InvalidHttp,
    /// Answers with the request id of another request.
    OtherRequestId,
    /// Sends every answer twice.
    Duplicated,
    /// Sends an answer without a length, which ends when the connection is closed.
    WithoutLength,
    /// Closes a new connection without reading a request.
    CloseConnection,
    /// Answers with a body of this many bytes.
    Large(usize),
}

pub struct State {
    pub behaviour: Cell<Behaviour>,
    pub delay: Cell<Duration>,
    pub is_holding_requests: Cell<bool>,
    pub requests: Cell<u64>,
    pub answered: Cell<u64>,
    pub running: Cell<u32>,
    pub max_running: Cell<u32>,
    pub connections: Cell<u32>,
    pub runs: RefCell<BTreeMap<String, u32>>,
    pub customers: RefCell<BTreeMap<String, u32>>,
}

pub struct Backend {
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    pub state: Rc<State>,
    _accepting: JoinHandle<()>,
}

impl Backend {
    pub async fn start() -> Self {
        Self::start_at("127.0.0.1:0".parse().unwrap()).await
    }

    pub async fn start_at(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Rc::new(State {
            behaviour: Cell::new(Behaviour::Echo),
            delay: Cell::default(),
            is_holding_requests: Cell::default(),
            requests: Cell::default(),
            answered: Cell::default(),
            running: Cell::default(),
            max_running: Cell::default(),
            connections: Cell::default(),
            runs: RefCell::default(),
            customers: RefCell::default(),
        });
        let shared = Rc::clone(&state);
        let accepting = compio::runtime::spawn(async move {
            // The task owns the connections, so dropping the server closes them without a shutdown.
            let mut connections = Vec::new();
            while let Ok((stream, _)) = listener.accept().await {
                shared.connections.set(shared.connections.get() + 1);
                connections.push(compio::runtime::spawn(serve(stream, Rc::clone(&shared))));
            }
        });
        Self {
            address,
            incarnation: new_incarnation(),
            state,
            _accepting: accepting,
        }
    }

    pub fn announcement(&self, slots: u32) -> Announcement {
        Announcement {
            incarnation: self.incarnation,
            service: "saw".into(),
            address: self.address,
            slots,
            connections: 64,
            leaving: false,
        }
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.behaviour.set(behaviour);
    }

    pub fn requests(&self) -> u64 {
        self.state.requests.get()
    }

    pub fn runs_of(&self, body: &str) -> u32 {
        self.state.runs.borrow().get(body).copied().unwrap_or(0)
    }
}

async fn serve(mut stream: TcpStream, state: Rc<State>) {
    if state.behaviour.get() == Behaviour::CloseConnection {
        return;
    }
    let mut received = Vec::new();
    while let Some((head, body)) = read_request(&mut stream, &mut received).await {
        state.requests.set(state.requests.get() + 1);
        let body = String::from_utf8(body).unwrap();
        *state.runs.borrow_mut().entry(body.clone()).or_default() += 1;
        let customer = header(&head, "nutmegwalk-customer").unwrap_or_default();
        *state.customers.borrow_mut().entry(customer).or_default() += 1;
        state.running.set(state.running.get() + 1);
        state
            .max_running
            .set(state.max_running.get().max(state.running.get()));
        if !state.delay.get().is_zero() {
            compio::time::sleep(state.delay.get()).await;
        }
        while state.is_holding_requests.get() {
            compio::time::sleep(Duration::from_millis(1)).await;
        }
        state.running.set(state.running.get() - 1);
        let keep_alive = respond(&mut stream, &state, &head, &body).await;
        state.answered.set(state.answered.get() + 1);
        if !keep_alive {
            return;
        }
    }
}

async fn respond(stream: &mut TcpStream, state: &State, head: &str, body: &str) -> bool {
    let id = header(head, "nutmegwalk-request-id").unwrap_or_default();
    let response = |status: u16, id: &str, body: &str| {
        let length = body.len();
        format!(
            "HTTP/1.1 {status} X\r\nnutmegwalk-request-id: {id}\r\ncontent-length: {length}\r\n\r\n{body}"
        )
    };
    let (text, keep_alive) = match state.behaviour.get() {
        Behaviour::Echo => (response(200, &id, body), true),
        Behaviour::Status(status) => (response(status, &id, body), true),
        Behaviour::NoAnswer => {
            compio::time::sleep(Duration::from_secs(3600)).await;
            return false;
        }
        Behaviour::Truncated => {
            let mut text = response(200, &id, &body.repeat(4));
            text.truncate(text.len() - body.len());
            (text, false)
        }
        Behaviour::TruncatedChunks => {
            let length = body.len();
            let text = format!(
                "HTTP/1.1 200 OK\r\nnutmegwalk-request-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n"
            );
            (text, false)
        }
        Behaviour::InvalidHttp => ("\u{1}\u{2} no answer at all\r\n\r\n".into(), false),
        Behaviour::OtherRequestId => (response(200, "req-other", "another caller's answer"), true),
        Behaviour::Duplicated => (response(200, &id, body).repeat(2), true),
        Behaviour::WithoutLength => (
            format!("HTTP/1.1 200 OK\r\nnutmegwalk-request-id: {id}\r\n\r\n{body}"),
            false,
        ),
        Behaviour::CloseConnection => return false,
        Behaviour::Large(length) => (response(200, &id, &"x".repeat(length)), true),
    };
    let BufResult(result, _) = stream.write_all(text.into_bytes()).await;
    result.is_ok() && keep_alive
}

async fn read_request(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    loop {
        if let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8(received[..end].to_vec()).ok()?;
            let length: usize = header(&head, "content-length")
                .and_then(|length| length.parse().ok())
                .unwrap_or(0);
            if received.len() >= end + 4 + length {
                let body = received[end + 4..end + 4 + length].to_vec();
                received.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        let BufResult(result, buffer) = stream.read(Vec::with_capacity(16 << 10)).await;
        match result {
            Ok(length) if length > 0 => received.extend_from_slice(&buffer[..length]),
            _ => return None,
        }
    }
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (header_name, value) = line.split_once(':')?;
        header_name
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_string())
    })
}
