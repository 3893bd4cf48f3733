//! Tests that a bad or hostile caller costs only itself, with raw sockets over loopback.

mod raw;

use std::time::Duration;

use rstest::rstest;

use crate::raw::Bench;
use crate::raw::LIMIT;
use crate::raw::open_files;
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
    // Guards against a head of many headers using up memory.
    endless_headers_are_refused => {
        let bench = Bench::start(ServerLimits::default()).await;
        let mut peer = bench.connect().await;
        peer.send(HEAD).await.unwrap();
        let sent_bytes = peer.send_until_closed("x-plank: oak\r\n", 4 << 20).await;
        assert!(sent_bytes < 4 << 20, "the server read {sent_bytes} bytes of headers");
        bench.check_unharmed(0).await;
    }

    // Guards against one header line without end using up memory.
    header_line_without_end_is_refused => {
        let bench = Bench::start(ServerLimits::default()).await;
        let mut peer = bench.connect().await;
        peer.send(&format!("{HEAD}x-plank: ")).await.unwrap();
        let chunk = "o".repeat(1024);
        let sent_bytes = peer.send_until_closed(&chunk, 16 << 20).await;
        assert!(sent_bytes < 16 << 20, "the server read {sent_bytes} bytes of a header");
        bench.check_unharmed(0).await;
    }

    // Guards against a caller with a large head or a malformed one not being told what is wrong.
    bad_head_is_answered => {
        let bench = Bench::start(ServerLimits::default()).await;
        let large = format!("x-plank: {}", "o".repeat(17 << 10));
        for (line, status) in [(&*large, "431"), ("no header", "400")] {
            let mut peer = bench.connect().await;
            peer.send(&format!("{HEAD}{line}\r\n\r\n")).await.unwrap();
            let answer = peer.read_until_closed().await;
            assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
        }
        bench.check_unharmed(0).await;
    }

    // Guards against a head that arrives byte by byte holding a connection for ever.
    slow_head_is_cut_off => {
        let bench = Bench::start(short_limits()).await;
        let mut peer = bench.connect().await;
        peer.send(HEAD).await.unwrap();
        peer.send_slowly_until_closed("x").await;
        bench.check_unharmed(0).await;
    }

    // Guards against a body that arrives byte by byte holding a connection for ever.
    slow_body_is_cut_off => {
        let bench = Bench::start(short_limits()).await;
        let mut peer = bench.connect().await;
        peer.send(&format!("{HEAD}content-length: 900\r\n\r\n")).await.unwrap();
        let answer = peer.read_until_closed().await;
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
        assert!(answer.contains("request_timeout"), "{answer}");
        bench.check_unharmed(0).await;
    }

    // Guards against a body over the limit being read before it is refused.
    declared_body_over_the_limit_is_refused_unread => {
        let limits = ServerLimits { body_timeout: LIMIT, header_timeout: LIMIT, ..short_limits() };
        let bench = Bench::start(limits).await;
        let mut peer = bench.connect().await;
        peer.send(&format!("{HEAD}content-length: 1001\r\n\r\n")).await.unwrap();
        let answer = peer.read_until_closed().await;
        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
        bench.check_unharmed(0).await;
    }

    // Guards against a chunked body, whose length is not declared, using up memory.
    chunked_body_over_the_limit_is_refused => {
        let bench = Bench::start(short_limits()).await;
        let mut peer = bench.connect().await;
        let chunk = "o".repeat(600);
        let chunks = format!("258\r\n{chunk}\r\n258\r\n{chunk}\r\n");
        peer.send(&format!("{HEAD}transfer-encoding: chunked\r\n\r\n{chunks}")).await.unwrap();
        let answer = peer.read_until_closed().await;
        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
        bench.check_unharmed(0).await;
    }

    // Guards against the first part of a body being taken for the whole.
    body_cut_short_is_not_handled => {
        let bench = Bench::start(ServerLimits::default()).await;
        let mut peer = bench.connect().await;
        peer.send(&format!("{HEAD}content-length: 10\r\n\r\nplank")).await.unwrap();
        peer.finish().await;
        let answer = peer.read_until_closed().await;
        assert!(!answer.starts_with("HTTP/1.1 200 "), "{answer}");
        bench.check_unharmed(0).await;
    }

    // Guards against a chunked body without its last chunk being taken for the whole.
    chunked_body_cut_short_is_not_handled => {
        let bench = Bench::start(ServerLimits::default()).await;
        let mut peer = bench.connect().await;
        peer.send(&format!("{HEAD}transfer-encoding: chunked\r\n\r\n5\r\nplank\r\n")).await.unwrap();
        peer.finish().await;
        let answer = peer.read_until_closed().await;
        assert!(!answer.starts_with("HTTP/1.1 200 "), "{answer}");
        bench.check_unharmed(0).await;
    }

    // Guards against answers to pipelined requests being lost or out of order.
    pipelined_requests_are_answered_in_order => {
        let bench = Bench::start(ServerLimits::default()).await;
        let mut peer = bench.connect().await;
        let first = format!("{HEAD}content-length: 3\r\n\r\noak");
        let second = format!("{HEAD}connection: close\r\ncontent-length: 4\r\n\r\npine");
        peer.send(&format!("{first}{second}")).await.unwrap();
        let answer = peer.read_until_closed().await;
        assert_eq!(answer.matches("HTTP/1.1 200 ").count(), 2, "{answer}");
        assert!(answer.find("\r\n\r\noak").unwrap() < answer.find("\r\n\r\npine").unwrap());
        bench.check_unharmed(2).await;
    }

    // Guards against a request being obeyed on a connection that its sender declared closed.
    request_after_a_close_is_not_handled => {
        let bench = Bench::start(ServerLimits::default()).await;
        let mut peer = bench.connect().await;
        let first = format!("{HEAD}connection: close\r\ncontent-length: 3\r\n\r\noak");
        let second = format!("{HEAD}content-length: 4\r\n\r\npine");
        peer.send(&format!("{first}{second}")).await.unwrap();
        let answer = peer.read_until_closed().await;
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
        bench.check_unharmed(1).await;
    }

    // Guards against a request hidden in the body of a refused one being obeyed.
    rest_of_a_refused_body_is_not_a_request => {
        let bench = Bench::start(short_limits()).await;
        let mut peer = bench.connect().await;
        let hidden = format!("{HEAD}content-length: 3\r\n\r\noak");
        let padding = "\r\n".repeat(1000);
        let request = format!("{HEAD}content-length: 5000\r\n\r\n{padding}{hidden}");
        peer.send(&request).await.unwrap();
        let answer = peer.read_until_closed().await;
        assert!(answer.matches("HTTP/1.1 ").count() <= 1, "{answer}");
        bench.check_unharmed(0).await;
    }

    // Guards against a caller that does not read its answer holding a connection and the answer for ever.
    unread_answer_is_dropped => {
        let limits = ServerLimits { max_connections: 1, ..short_limits() };
        let bench = Bench::start(limits).await;
        let mut peer = bench.connect().await;
        peer.send("GET /large HTTP/1.1\r\nhost: test\r\n\r\n").await.unwrap();
        // The only connection that the server allows is free again once the answer is dropped.
        bench.wait_until_served().await;
        drop(peer);
    }

    // Guards against idle connections keeping others out, or staying open for ever.
    thousands_of_idle_connections_are_closed => {
        let limits = ServerLimits {
            header_timeout: Duration::from_secs(4),
            ..ServerLimits::default()
        };
        let bench = Bench::start(limits).await;
        // Both ends of each connection are files of this process.
        let count = 3000.min(open_files().saturating_sub(400) / 2);
        let mut peers = Vec::new();
        for _ in 0..count {
            peers.push(bench.connect().await);
        }
        bench.check_unharmed(0).await;
        for peer in &mut peers {
            assert_eq!(peer.read_until_closed().await, "");
        }
        assert_eq!(bench.handled(), 1);
    }

    // Guards against one more connection than the limit being served, and against the limit lasting
    // after connections are closed.
    connections_beyond_the_limit_are_closed => {
        let limits = ServerLimits { max_connections: 3, ..ServerLimits::default() };
        let bench = Bench::start(limits).await;
        let mut kept = Vec::new();
        for _ in 0..3 {
            let mut peer = bench.connect().await;
            peer.send(&format!("{HEAD}content-length: 3\r\n\r\noak")).await.unwrap();
            peer.read_until("oak").await;
            kept.push(peer);
        }
        let mut refused = bench.connect().await;
        let _ = refused.send(&format!("{HEAD}content-length: 3\r\n\r\noak")).await;
        assert_eq!(refused.read_until_closed().await, "");
        assert_eq!(bench.handled(), 3);
        kept.pop();
        bench.wait_until_served().await;
    }
}

// Guards against a request whose end the server and a balancer in front of it see in different places,
// which lets one caller put a request in front of another's.
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
        let bench = Bench::start(short_limits()).await;
        let mut peer = bench.connect().await;
        peer.send(&format!("{HEAD}{rest}")).await.unwrap();
        let answer = peer.read_until_closed().await;
        assert!(!answer.contains("HTTP/1.1 200 "), "{answer}");
        bench.check_unharmed(0).await;
    });
}

// Guards against a request hidden behind a body that has both framings being obeyed. RFC 9112 lets a
// server read the chunks alone, if it then closes the connection.
#[rstest]
#[case::length_first("content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n")]
#[case::chunked_first("transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n")]
fn request_with_two_framings_ends_the_connection(#[case] framing: &'static str) {
    run(async move {
        let bench = Bench::start(ServerLimits::default()).await;
        let mut peer = bench.connect().await;
        let hidden = format!("{HEAD}content-length: 4\r\n\r\npine");
        peer.send(&format!("{HEAD}{framing}3\r\noak\r\n0\r\n\r\n{hidden}"))
            .await
            .unwrap();
        let answer = peer.read_until_closed().await;
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
        assert!(!answer.contains("pine"), "{answer}");
        bench.check_unharmed(1).await;
    });
}
