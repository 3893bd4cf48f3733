//! Measures starts and renewals of gangs over loopback with fake workers, and prints the results as JSON.
//!
//! The lead runs on a separate thread, whose processor time is read from `/proc/thread-self/schedstat`; all
//! other agents run on the main thread. Byte counts are those of message bodies.

#[path = "../tests/common/mod.rs"]
mod common;

use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;
use std::time::Instant;

use common::Cluster;
use serde_json::Value;
use serde_json::json;

use nutmegwalk_gang::GangTimings;

const SIZES: [u32; 4] = [8, 128, 512, 1024];
const TASKS_PER_AGENT: u32 = 8;
const REPEATS: u64 = 9;
/// Number of renewal rounds over which the lead's processor time is averaged.
const ROUNDS: u32 = 10;

/// Interval at which the lead's thread checks for requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Request to the lead's thread.
enum LeadRequest {
    /// Return the thread's processor time and the numbers of messages and bytes handled.
    Counters,
    Quit,
}

type Counters = (Duration, u64, u64);

fn timings() -> GangTimings {
    GangTimings {
        renew_interval: Duration::from_millis(500),
        ..GangTimings::default()
    }
}

fn thread_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    Duration::from_nanos(first.and_then(|nanos| nanos.parse().ok()).unwrap_or(0))
}

fn handled_counts(cluster: &Cluster) -> (u64, u64) {
    let counts = cluster.nodes.iter();
    let counts = counts.map(|node| (node.handler.messages.get(), node.handler.bytes.get()));
    counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
}

fn lead_thread(
    requests: Receiver<LeadRequest>,
    address: Sender<SocketAddr>,
    answers: Sender<Counters>,
) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let cluster = Cluster::with_timings(1, timings()).await;
        address.send(cluster.nodes[0].address).unwrap();
        loop {
            match requests.try_recv() {
                Ok(LeadRequest::Counters) => {
                    let (messages, bytes) = handled_counts(&cluster);
                    answers.send((thread_time(), messages, bytes)).unwrap();
                }
                Ok(LeadRequest::Quit) => return,
                Err(_) => compio::time::sleep(POLL_INTERVAL).await,
            }
        }
    });
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

async fn measure(size: u32) -> Value {
    let (request_sender, requests) = channel();
    let (address_sender, address) = channel();
    let (answer_sender, answers) = channel();
    let thread = std::thread::spawn(move || lead_thread(requests, address_sender, answer_sender));
    let lead = address.recv().unwrap();
    let agents = size.div_ceil(TASKS_PER_AGENT) as usize;
    let cluster = Cluster::with_timings(agents.max(2) - 1, timings()).await;
    let counters = || -> Counters {
        request_sender.send(LeadRequest::Counters).unwrap();
        answers.recv().unwrap()
    };
    let total = || {
        let (others, lead) = (handled_counts(&cluster), counters());
        (others.0 + lead.1, others.1 + lead.2)
    };
    let spec = |sequence: u64| {
        let mut spec = cluster.spec(1, sequence, size);
        for member in &mut spec.members {
            member.agent = match member.spec.member / TASKS_PER_AGENT {
                0 => lead,
                index => cluster.nodes[index as usize - 1].address,
            };
        }
        spec
    };
    let mut start_ms = Vec::new();
    let (mut messages, mut bytes) = (0, 0);
    for sequence in 1..=REPEATS {
        let spec = spec(sequence);
        let before = total();
        let started_at = Instant::now();
        let gang = cluster.driver.start(spec).await.unwrap();
        start_ms.push(started_at.elapsed().as_secs_f64() * 1000.0);
        let after = total();
        (messages, bytes) = (after.0 - before.0, after.1 - before.1);
        assert!(cluster.driver.stop(gang).await.is_stop_confirmed());
        // The lead also notifies its members of the end; those messages belong to this attempt.
        compio::time::sleep(Duration::from_millis(200)).await;
    }
    let window = timings().renew_interval * ROUNDS;
    let idle_from = counters().0;
    compio::time::sleep(window).await;
    let idle = counters().0 - idle_from;
    let gang = cluster.driver.start(spec(REPEATS + 1)).await.unwrap();
    let (renewing_from, round_before) = (counters().0, total());
    compio::time::sleep(window).await;
    let renewing = counters().0 - renewing_from;
    let round_after = total();
    assert!(cluster.driver.stop(gang).await.is_stop_confirmed());
    request_sender.send(LeadRequest::Quit).unwrap();
    thread.join().unwrap();
    let round_us = renewing.saturating_sub(idle).as_secs_f64() * 1e6 / f64::from(ROUNDS);
    let first_ms = start_ms[0];
    json!({
        "tasks": size,
        "agents": agents,
        "start_first_ms": first_ms,
        "start_median_ms": median(&mut start_ms),
        "start_max_ms": start_ms.last(),
        "start_messages": messages,
        "start_body_bytes": bytes,
        "round_messages": (round_after.0 - round_before.0) as f64 / f64::from(ROUNDS),
        "round_body_bytes": (round_after.1 - round_before.1) as f64 / f64::from(ROUNDS),
        "lead_idle_us_per_round_interval": idle.as_secs_f64() * 1e6 / f64::from(ROUNDS),
        "lead_round_us": round_us,
        "lead_core_share_percent_at_2_s": round_us / 2e6 * 100.0,
    })
}

/// Returns the least-squares line of `field` over the number of tasks.
fn fit_line(rows: &[Value], field: &str) -> Value {
    let points = rows
        .iter()
        .filter_map(|row| Some((row["tasks"].as_f64()?, row[field].as_f64()?)));
    let points: Vec<(f64, f64)> = points.collect();
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    json!({ "field": field, "slope_per_task": slope, "intercept": mean_y - slope * mean_x })
}

fn main() {
    let rows = compio::runtime::Runtime::new().unwrap().block_on(async {
        let mut rows = Vec::new();
        for size in SIZES {
            rows.push(measure(size).await);
        }
        rows
    });
    let fields = [
        "start_median_ms",
        "start_messages",
        "start_body_bytes",
        "lead_round_us",
    ];
    let lines: Vec<Value> = fields.iter().map(|field| fit_line(&rows, field)).collect();
    let report = json!({ "rows": rows, "lines": lines });
    println!(
        "{}",
        serde_json::to_string_pretty(&report).unwrap_or_default()
    );
}
