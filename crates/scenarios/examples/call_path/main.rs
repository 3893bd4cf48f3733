//! Measures the whole call path over loopback and prints the results as JSON.
//!
//! Each role runs on its own thread, and processor time is measured per thread. The arguments select the
//! parts to run: `overhead`, `memory`, `goodput`, `regions`, `leaving`. All parts run by default.

mod backend;
mod fixture;
mod load;
mod usage;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::fixture::BackendSpec;
use crate::fixture::Fixture;
use nutmegwalk_calls::RoutingPolicy;

const PATH: &str = "/call/plank-desk/grade";
/// Duration of each load.
const RUN_TIME: Duration = Duration::from_secs(3);
const SLOTS: u32 = 8;
const SERVICE_TIME: Duration = Duration::from_millis(40);

/// Name of a part and the function that measures it.
type Part = (&'static str, fn() -> Value);

fn local_backend(service_time: Duration, slots: u32) -> BackendSpec {
    BackendSpec {
        service_time,
        slots,
        is_remote: false,
    }
}

/// Compares calls through entry host and agent with direct calls of the backend server.
fn overhead() -> Value {
    let fixture = Fixture::start(
        &[local_backend(Duration::ZERO, 64)],
        RoutingPolicy::TwoChoices,
    );
    let backend = fixture.backends[0].0;
    let direct = load::closed_loop(backend, "/grade", 1, RUN_TIME, 100);
    let routed = load::closed_loop(fixture.entry, PATH, 1, RUN_TIME, 100);
    let before = (
        usage::thread_seconds("entry"),
        usage::thread_seconds("agent"),
    );
    let routed_busy = load::closed_loop(fixture.entry, PATH, 32, RUN_TIME, 100);
    let entry_seconds = usage::thread_seconds("entry") - before.0;
    let agent_seconds = usage::thread_seconds("agent") - before.1;
    let direct_busy = load::closed_loop(backend, "/grade", 32, RUN_TIME, 100);
    json!({
        "direct_1_caller": direct.to_json(),
        "routed_1_caller": routed.to_json(),
        "direct_32_callers": direct_busy.to_json(),
        "routed_32_callers": routed_busy.to_json(),
        "entry_calls_per_core_second": (routed_busy.done.len() as f64 / entry_seconds) as u64,
        "agent_calls_per_core_second": (routed_busy.done.len() as f64 / agent_seconds) as u64,
    })
}

/// Measures the memory of the entry host per idle connection that has carried one request.
fn memory() -> Value {
    const CONNECTIONS: usize = 2000;
    let fixture = Fixture::start(
        &[local_backend(Duration::ZERO, 64)],
        RoutingPolicy::TwoChoices,
    );
    let before = usage::resident_bytes();
    let mut open = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(fixture.entry).expect("the entry host accepts");
        stream
            .write_all(b"GET /healthz HTTP/1.1\r\nhost: load\r\n\r\n")
            .expect("the connection is open");
        let mut head = [0; 512];
        let _ = stream.read(&mut head).expect("the entry host answers");
        open.push(stream);
    }
    let grown_bytes = usage::resident_bytes().saturating_sub(before);
    json!({"connections": CONNECTIONS, "bytes_per_connection": grown_bytes / CONNECTIONS as u64})
}

/// Measures the calls done at several multiples of the capacity, with one of four servers three times slower.
fn goodput() -> Value {
    let specs = [1, 1, 1, 3].map(|factor| local_backend(SERVICE_TIME * factor, SLOTS));
    let per_second = |spec: &BackendSpec| f64::from(spec.slots) / spec.service_time.as_secs_f64();
    let capacity: f64 = specs.iter().map(per_second).sum();
    let mut cases = Vec::new();
    for routing in [
        RoutingPolicy::TwoChoices,
        RoutingPolicy::RoundRobin,
        RoutingPolicy::NoBudget,
    ] {
        let mut peak: f64 = 0.0;
        for factor in [1.0, 2.0, 5.0] {
            let fixture = Fixture::start(&specs, routing);
            let before = usage::thread_seconds("entry");
            let result = load::open_loop(fixture.entry, PATH, capacity * factor, RUN_TIME);
            let entry_seconds = usage::thread_seconds("entry") - before;
            peak = peak.max(result.done_per_second());
            let mut case = result.to_json();
            case["routing"] = json!(format!("{routing:?}"));
            case["offered_factor"] = json!(factor);
            case["share_of_capacity"] = json!(result.done_per_second() / capacity);
            case["share_of_peak"] = json!(result.done_per_second() / peak);
            case["entry_core_seconds"] = json!(entry_seconds);
            cases.push(case);
        }
    }
    json!({"capacity_per_second": capacity, "cases": cases})
}

fn metrics(entry: SocketAddr) -> String {
    let mut stream = TcpStream::connect(entry).expect("the entry host accepts");
    let request = b"GET /metrics HTTP/1.1\r\nhost: load\r\nconnection: close\r\n\r\n";
    stream.write_all(request).expect("the connection is open");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text
}

/// Measures the cross-region bytes that the entry host counts, with and without a backend server in its region.
fn regions() -> Value {
    let remote = BackendSpec {
        is_remote: true,
        ..local_backend(Duration::ZERO, 64)
    };
    let run = |specs: &[BackendSpec]| {
        let fixture = Fixture::start(specs, RoutingPolicy::TwoChoices);
        let count = |text: &str| -> f64 {
            let lines = text
                .lines()
                .filter(|line| line.contains("cross_region") && !line.starts_with('#'));
            lines
                .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
                .sum()
        };
        // Lets the entry host discover the remote server as well, for which the start does not wait.
        std::thread::sleep(Duration::from_secs(4));
        let before = count(&metrics(fixture.entry));
        let result = load::closed_loop(fixture.entry, PATH, 4, RUN_TIME, 1000);
        let grown_bytes = count(&metrics(fixture.entry)) - before;
        json!({
            "calls": result.done.len(),
            "body_bytes_each_way": 1000,
            "cross_region_bytes": grown_bytes,
            "cross_region_bytes_per_call": grown_bytes / result.done.len() as f64,
        })
    };
    json!({
        "near_and_far_server": run(&[local_backend(Duration::ZERO, 64), remote]),
        "far_server_only": run(&[remote]),
    })
}

/// Measures the time from a backend server's decision to leave until its last new call, under load.
fn leaving() -> Value {
    let mut last_call_ms = Vec::new();
    for _ in 0..5 {
        let fixture = Fixture::start(
            &[local_backend(Duration::from_millis(2), SLOTS); 2],
            RoutingPolicy::TwoChoices,
        );
        let (entry, counters) = (fixture.entry, &fixture.backends[0].1);
        let load = std::thread::spawn(move || {
            load::closed_loop(entry, PATH, 16, Duration::from_secs(4), 10)
        });
        std::thread::sleep(Duration::from_secs(1));
        let left_us = fixture.origin.elapsed().as_micros() as u64;
        counters.leaving.store(true, Ordering::Relaxed);
        let result = load.join().expect("the load ends");
        let last_us = counters.last_call_us.load(Ordering::Relaxed);
        last_call_ms.push(json!({
            "last_call_ms": last_us.saturating_sub(left_us) as f64 / 1000.0,
            "not_done": result.error_kinds,
        }));
    }
    json!(last_call_ms)
}

fn main() {
    let selected: Vec<String> = std::env::args().skip(1).collect();
    let parts: [Part; 5] = [
        ("overhead", overhead),
        ("memory", memory),
        ("goodput", goodput),
        ("regions", regions),
        ("leaving", leaving),
    ];
    let mut results = json!({});
    for (name, measure) in parts {
        if selected.is_empty() || selected.iter().any(|argument| argument == name) {
            results[name] = measure();
        }
    }
    println!("{results:#}");
}
