//! Measures the whole call path over loopback and prints the figures as JSON.
//!
//! Each role has a thread of its own; the figures of processor time are those of the threads. Arguments
//! name the parts to run: `overhead`, `memory`, `goodput`, `regions`, `leaving`; without any, all run.

mod backend;
mod load;
mod usage;
mod world;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::world::Site;
use crate::world::World;
use nutmegwalk_calls::RoutingPolicy;

const PATH: &str = "/call/plank-desk/grade";
const RUN: Duration = Duration::from_secs(3);
const SLOTS: u32 = 8;
const SERVICE_TIME: Duration = Duration::from_millis(40);

/// Name of a part and what measures it.
type Part = (&'static str, fn() -> Value);

fn near(service_time: Duration, slots: u32) -> Site {
    Site {
        service_time,
        slots,
        far: false,
    }
}

/// A call through entry host and agent against a call of the backend server itself.
fn overhead() -> Value {
    let world = World::start(&[near(Duration::ZERO, 64)], RoutingPolicy::TwoChoices);
    let backend = world.backends[0].0;
    let direct = load::closed(backend, "/grade", 1, RUN, 100);
    let routed = load::closed(world.entry, PATH, 1, RUN, 100);
    let before = (
        usage::thread_seconds("entry"),
        usage::thread_seconds("agent"),
    );
    let busy = load::closed(world.entry, PATH, 32, RUN, 100);
    let entry_seconds = usage::thread_seconds("entry") - before.0;
    let agent_seconds = usage::thread_seconds("agent") - before.1;
    let direct_busy = load::closed(backend, "/grade", 32, RUN, 100);
    json!({
        "direct_1_caller": direct.figures(),
        "routed_1_caller": routed.figures(),
        "direct_32_callers": direct_busy.figures(),
        "routed_32_callers": busy.figures(),
        "entry_calls_per_core_second": (busy.done.len() as f64 / entry_seconds) as u64,
        "agent_calls_per_core_second": (busy.done.len() as f64 / agent_seconds) as u64,
    })
}

/// Memory of the entry host for connections that have carried one request and are idle.
fn memory() -> Value {
    const CONNECTIONS: usize = 2000;
    let world = World::start(&[near(Duration::ZERO, 64)], RoutingPolicy::TwoChoices);
    let before = usage::resident_bytes();
    let mut open = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(world.entry).expect("the entry host accepts");
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

/// Calls done at several times the capacity, with one of four servers three times slower.
fn goodput() -> Value {
    let sites = [1, 1, 1, 3].map(|factor| near(SERVICE_TIME * factor, SLOTS));
    let per_second = |site: &Site| f64::from(site.slots) / site.service_time.as_secs_f64();
    let capacity: f64 = sites.iter().map(per_second).sum();
    let mut cases = Vec::new();
    for routing in [
        RoutingPolicy::TwoChoices,
        RoutingPolicy::RoundRobin,
        RoutingPolicy::NoBudget,
    ] {
        let mut peak: f64 = 0.0;
        for factor in [1.0, 2.0, 5.0] {
            let world = World::start(&sites, routing);
            let before = usage::thread_seconds("entry");
            let tally = load::offered(world.entry, PATH, capacity * factor, RUN);
            let entry_seconds = usage::thread_seconds("entry") - before;
            peak = peak.max(tally.done_per_second());
            let mut figures = tally.figures();
            figures["routing"] = json!(format!("{routing:?}"));
            figures["offered_factor"] = json!(factor);
            figures["share_of_capacity"] = json!(tally.done_per_second() / capacity);
            figures["share_of_peak"] = json!(tally.done_per_second() / peak);
            figures["entry_core_seconds"] = json!(entry_seconds);
            cases.push(figures);
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

/// Bytes across regions, as the entry host counts them, with and without a near server.
fn regions() -> Value {
    let far = Site {
        far: true,
        ..near(Duration::ZERO, 64)
    };
    let run = |sites: &[Site]| {
        let world = World::start(sites, RoutingPolicy::TwoChoices);
        let count = |text: &str| -> f64 {
            let lines = text
                .lines()
                .filter(|line| line.contains("cross_region") && !line.starts_with('#'));
            lines
                .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
                .sum()
        };
        // By then the entry host knows the far server too, for which the start does not wait.
        std::thread::sleep(Duration::from_secs(4));
        let before = count(&metrics(world.entry));
        let tally = load::closed(world.entry, PATH, 4, RUN, 1000);
        let grown_bytes = count(&metrics(world.entry)) - before;
        json!({
            "calls": tally.done.len(),
            "body_bytes_each_way": 1000,
            "cross_region_bytes": grown_bytes,
            "cross_region_bytes_per_call": grown_bytes / tally.done.len() as f64,
        })
    };
    json!({
        "near_and_far_server": run(&[near(Duration::ZERO, 64), far]),
        "far_server_only": run(&[far]),
    })
}

/// Time from a backend server's decision to leave to its last new call, under load.
fn leaving() -> Value {
    let mut last_call_ms = Vec::new();
    for _ in 0..5 {
        let world = World::start(
            &[near(Duration::from_millis(2), SLOTS); 2],
            RoutingPolicy::TwoChoices,
        );
        let (entry, counts) = (world.entry, &world.backends[0].1);
        let load =
            std::thread::spawn(move || load::closed(entry, PATH, 16, Duration::from_secs(4), 10));
        std::thread::sleep(Duration::from_secs(1));
        let left_us = world.origin.elapsed().as_micros() as u64;
        counts.leaving.store(true, Ordering::Relaxed);
        let tally = load.join().expect("the load ends");
        let last_us = counts.last_call_us.load(Ordering::Relaxed);
        last_call_ms.push(json!({
            "last_call_ms": last_us.saturating_sub(left_us) as f64 / 1000.0,
            "not_done": tally.kinds,
        }));
    }
    json!(last_call_ms)
}

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let parts: [Part; 5] = [
        ("overhead", overhead),
        ("memory", memory),
        ("goodput", goodput),
        ("regions", regions),
        ("leaving", leaving),
    ];
    let mut figures = json!({});
    for (name, part) in parts {
        if wanted.is_empty() || wanted.iter().any(|argument| argument == name) {
            figures[name] = part();
        }
    }
    println!("{figures:#}");
}
