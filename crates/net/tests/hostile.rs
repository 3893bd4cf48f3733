//! Tests over raw sockets on loopback that a faulty or hostile caller does not affect other callers.

mod raw;

use std::time::Duration;

use rstest::rstest;

use crate::raw::TestServer;
use crate::raw::WAIT_TIMEOUT;
use crate::raw::max_open_files;
use nutmegwalk_net::ServerLimits;

const HEAD: &str = "POST /v1/echo HTTP/1.1\r\nhost: test\r\n";

fn short_limits() -> ServerLimits {
    ServerLimits {
        max_body_bytes: 1000,
        header_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(300),
        write_timeout: Duration::from_millis(300),
        ..ServerLimits::default()
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest] fn $name() { run(async $body) })*
    };
}

fn run(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(test);
}

cases! {
    // Guards against a request head with endless headers exhausting memory.
    endless_headers_are_refused => {
        let server = TestServer::start(ServerLimits::default()).await;
        let mut peer = server.connect().await;
        peer.send(HEAD).await.unwrap();
        let sent_bytes = peer.send_until_closed("x-plank: oak\r\n", 4 << 20).await;
        assert!(sent_bytes < 4 << 20, "the server read {sent_bytes} bytes of headers");
        server.assert_still_serving(0).await;
    }

    // Guards against one endless header line exhausting memory.
    header_line_without_end_is_refused => {
        let server = TestServer::start(ServerLimits::default()).await;
        let mut peer = server.connect().await;
        peer.send(&format!("{HEAD}x-plank: ")).await.unwrap();
        let chunk = "o".repeat(1024);
        let sent_bytes = peer.send_until_closed(&chunk, 16 << 20).await;
        assert!(sent_bytes < 16 << 20, "the server read {sent_bytes} bytes of a header");
        server.assert_still_serving(0).await;
    }

    // Guards against a connection that is closed without an error status after a too large or malformed head.
    bad_head_is_answered => {
        let server = TestServer::start(ServerLimits::default()).await;
        let large = format!("x-plank: {}", "o".repeat(17 << 10));
        for (line, status) in [(&*large, "431"), ("no header", "400")] {
            let mut peer = server.connect().await;
            peer.send(&format!("{HEAD}{line}\r\n\r\n")).await.unwrap();
            let answer = peer.read_until_closed().await;
            assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
        }
        server.assert_still_serving(0).await;
    }

    // Guards against a head that arrives byte by byte keeping a connection open indefinitely.
    slow_head_times_out => {
        let server = TestServer::start(short_limits()).await;
        let mut peer = server.connect().await;
        peer.send(HEAD).await.unwrap();
        peer.send_slowly_until_closed("x").await;
        server.assert_still_serving(0).await;
    }

    // Guards against a body that never arrives completely keeping a connection open indefinitely.
    slow_body_times_out => {
        let server = TestServer::start(short_limits()).await;
        let mut peer = server.connect().await;
        peer.send(&format!("{HEAD}content-length: 900\r\n\r\n")).await.unwrap();
        let answer = peer.read_until_closed().await;
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
        assert!(answer.contains("request_timeout"), "{answer}");
        server.assert_still_serving(0).await;
    }

    // Guards against a body over the limit being read before it is refused.
    declared_body_over_the_limit_is_refused_unread => {
        let limits = ServerLimits { body_timeout: WAIT_TIMEOUT, header_timeout: WAIT_TIMEOUT, ..short_limits() };
        let server = TestServer::start(limits).await;
        let mut peer = server.connect().await;
        peer.send(&format!("{HEAD}content-length: 1001\r\n\r\n")).await.unwrap();
        let answer = peer.read_until_closed().await;
        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
        server.assert_still_serving(0).await;
    }

    // Guards against a chunked body, whose length is not declared, exhausting memory.
    chunked_body_over_the_limit_is_refused => {
        let server = TestServer::start(short_limits()).await;
        let mut peer = server.connect().await;
        let chunk = "o".repeat(600);
        let chunks = format!("258\r\n{chunk}\r\n258\r\n{chunk}\r\n");
        peer.send(&format!("{HEAD}transfer-encoding: chunked\r\n\r\n{chunks}")).await.unwrap();
        let answer = peer.read_until_closed().await;
        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
        server.assert_still_serving(0).await;
    }

    // Guards against a truncated body being handled as a complete one.
    truncated_body_is_not_handled => {
        let server = TestServer::start(ServerLimits::default()).await;
        let mut peer = server.connect().await;
        peer.send(&format!("{HEAD}content-length: 10\r\n\r\nplank")).await.unwrap();
        peer.finish().await;
        let answer = peer.read_until_closed().await;
        assert!(!answer.starts_with("HTTP/1.1 200 "), "{answer}");
        server.assert_still_serving(0).await;
    }

    // Guards against a chunked body without its last chunk being handled as a complete one.
    truncated_chunked_body_is_not_handled => {
        let server = TestServer::start(ServerLimits::default()).await;
        let mut peer = server.connect().await;
        peer.send(&format!("{HEAD}transfer-encoding: chunked\r\n\r\n5\r\nplank\r\n")).await.unwrap();
        peer.finish().await;
        let answer = peer.read_until_closed().await;
        assert!(!answer.starts_with("HTTP/1.1 200 "), "{answer}");
        server.assert_still_serving(0).await;
    }

    // Guards against answers to pipelined requests being lost or out of order.
    pipelined_requests_are_answered_in_order => {
        let server = TestServer::start(ServerLimits::default()).await;
        let mut peer = server.connect().await;
        let first = format!("{HEAD}content-length: 3\r\n\r\noak");
        let second = format!("{HEAD}connection: close\r\ncontent-length: 4\r\n\r\npine");
        peer.send(&format!("{first}{second}")).await.unwrap();
        let answer = peer.read_until_closed().await;
        assert_eq!(answer.matches("HTTP/1.1 200 ").count(), 2, "{answer}");
        assert!(answer.find("\r\n\r\noak").unwrap() < answer.find("\r\n\r\npine").unwrap());
        server.assert_still_serving(2).await;
    }

    // Guards against a request being handled after the sender announced that it closes the connection.
    request_after_a_close_is_not_handled => {
        let server = TestServer::start(ServerLimits::default()).await;
        let mut peer = server.connect().await;
        let first = format!("{HEAD}connection: close\r\ncontent-length: 3\r\n\r\noak");
        let second = format!("{HEAD}content-length: 4\r\n\r\npine");
        peer.send(&format!("{first}{second}")).await.unwrap();
        let answer = peer.read_until_closed().await;
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
        server.assert_still_serving(1).await;
    }

    // Guards against request smuggling: a request inside the body of a refused one must not be handled.
    rest_of_a_refused_body_is_not_a_request => {
        let server = TestServer::start(short_limits()).await;
        let mut peer = server.connect().await;
        let hidden = format!("{HEAD}content-length: 3\r\n\r\noak");
        let padding = "\r\n".repeat(1000);
        let request = format!("{HEAD}content-length: 5000\r\n\r\n{padding}{hidden}");
        peer.send(&request).await.unwrap();
        let answer = peer.read_until_closed().await;
        assert!(answer.matches("HTTP/1.1 ").count() <= 1, "{answer}");
        server.assert_still_serving(0).await;
    }

    // Guards against a caller that does not read its answer occupying a connection and memory indefinitely.
    unread_answer_is_dropped => {
        let limits = ServerLimits { max_connections: 1, ..short_limits() };
        let server = TestServer::start(limits).await;
        let mut peer = server.connect().await;
        peer.send("GET /large HTTP/1.1\r\nhost: test\r\n\r\n").await.unwrap();
        // The server allows one connection, so others are served only once the unread answer is dropped.
        server.wait_until_served().await;
        drop(peer);
    }

    // Guards against idle connections blocking other callers, or staying open indefinitely.
    thousands_of_idle_connections_are_closed => {
        let limits = ServerLimits {
            header_timeout: Duration::from_secs(4),
            ..ServerLimits::default()
        };
        let server = TestServer::start(limits).await;
        // Each connection uses two file descriptors of this process, one for each end.
        let count = 3000.min(max_open_files().saturating_sub(400) / 2);
        let mut peers = Vec::new();
        for _ in 0..count {
            peers.push(server.connect().await);
        }
        server.assert_still_serving(0).await;
        for peer in &mut peers {
            assert_eq!(peer.read_until_closed().await, "");
        }
        assert_eq!(server.handled(), 1);
    }

    // Guards against serving more connections than the limit, and against still refusing connections after others
    // were closed.
    connections_beyond_the_limit_are_closed => {
        let limits = ServerLimits { max_connections: 3, ..ServerLimits::default() };
        let server = TestServer::start(limits).await;
        let mut kept = Vec::new();
        for _ in 0..3 {
            let mut peer = server.connect().await;
            peer.send(&format!("{HEAD}content-length: 3\r\n\r\noak")).await.unwrap();
            peer.read_until("oak").await;
            kept.push(peer);
        }
        let mut refused = server.connect().await;
        let _ = refused.send(&format!("{HEAD}content-length: 3\r\n\r\noak")).await;
        assert_eq!(refused.read_until_closed().await, "");
        assert_eq!(server.handled(), 3);
        kept.pop();
        server.wait_until_served().await;
    }
}

// Guards against request smuggling: if the server and a load balancer in front of it disagree on where a request
// ends, one caller can prepend a request to another caller's.
#[rstest]
#[case::two_lengths("content-length: 3\r\ncontent-length: 30\r\n\r\noak")]
#[case::negative_length("content-length: -3\r\n\r\noak")]
#[case::signed_length("content-length: +3\r\n\r\noak")]
#[case::huge_length("content-length: 99999999999999999999999\r\n\r\noak")]
#[case::list_of_lengths("content-length: 3, 30\r\n\r\noak")]
#[case::unknown_coding("transfer-encoding: gzip\r\n\r\noak")]
#[case::chunked_not_last("transfer-encoding: chunked, gzip\r\n\r\n3\r\noak\r\n0\r\n\r\n")]
#[case::chunk_size_is_no_number("transfer-encoding: chunked\r\n\r\nzz\r\noak\r\n0\r\n\r\n")]
#[case::chunk_size_overflows(
    "transfer-encoding: chunked\r\n\r\n10000000000000003\r\noak\r\n0\r\n\r\n"
)]
#[case::chunk_size_is_negative("transfer-encoding: chunked\r\n\r\n-3\r\noak\r\n0\r\n\r\n")]
#[case::chunk_size_is_empty("transfer-encoding: chunked\r\n\r\n\r\noak\r\n0\r\n\r\n")]
#[case::chunk_without_its_end("transfer-encoding: chunked\r\n\r\n3\r\noakpine0\r\n\r\n")]
#[case::space_in_header_name("content-length : 3\r\n\r\noak")]
fn broken_framing_is_not_handled(#[case] rest: &'static str) {
    run(async move {
        let server = TestServer::start(short_limits()).await;
        let mut peer = server.connect().await;
        peer.send(&format!("{HEAD}{rest}")).await.unwrap();
        let answer = peer.read_until_closed().await;
        assert!(!answer.contains("HTTP/1.1 200 "), "{answer}");
        server.assert_still_serving(0).await;
    });
}

// Guards against request smuggling through a body that declares both a length and chunks. RFC 9112 allows a
// server to use the chunks alone if it closes the connection afterwards.
#[rstest]
#[case::length_first("content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n")]
#[case::chunked_first("transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n")]
fn request_with_two_framings_ends_the_connection(#[case] framing: &'static str) {
    run(async move {
        let server = TestServer::start(ServerLimits::default()).await;
        let mut peer = server.connect().await;
        let hidden = format!("{HEAD}content-length: 4\r\n\r\npine");
        peer.send(&format!("{HEAD}{framing}3\r\noak\r\n0\r\n\r\n{hidden}"))
            .await
            .unwrap();
        let answer = peer.read_until_closed().await;
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
        assert!(!answer.contains("pine"), "{answer}");
        server.assert_still_serving(1).await;
    });
}
