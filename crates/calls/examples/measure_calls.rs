//! Measures calls over loopback and prints the results as JSON.
//!
//! `overhead`: a call through entry host and agent, compared to a direct call of the backend server.
//! `goodput`: calls done at 1, 2 and 5 times the capacity, for each routing policy.
//! `claims`: store writes per second and latency, without claims and for each commit mode.

#[path = "../tests/common/mod.rs"]
mod common;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use common::Agent;
use common::Backend;
use common::FaultyStore;
use common::client;
use common::key;
use common::non_repeatable;
use common::request;
use common::router;
use common::router_with;
use hdrhistogram::Histogram;
use http::Method;
use serde_json::Value;
use serde_json::json;

use nutmegwalk_base::Outcome;
use nutmegwalk_calls::CallRequest;
use nutmegwalk_calls::ClaimsSettings;
use nutmegwalk_calls::CommitMode;
use nutmegwalk_calls::Router;
use nutmegwalk_calls::RouterSettings;
use nutmegwalk_calls::RoutingPolicy;

const SERVERS: usize = 4;
const SLOTS: u32 = 8;
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Maximum number of calls per second that the servers can run.
const CAPACITY: f64 = SERVERS as f64 * SLOTS as f64 / 0.020;
/// Duration of the load of each case, and the first part of it that is not measured.
const LOAD_DURATION: Duration = Duration::from_secs(4);
const WARM_UP_DURATION: Duration = Duration::from_secs(1);

fn histogram() -> Histogram<u64> {
    // Values up to one minute, in microseconds.
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}

fn quantiles(times_us: &Histogram<u64>) -> Value {
    json!({
        "count": times_us.len(),
        "p50_us": times_us.value_at_quantile(0.50),
        "p99_us": times_us.value_at_quantile(0.99),
        "max_us": times_us.max(),
    })
}

fn record(times_us: &mut Histogram<u64>, time: Duration) {
    times_us.saturating_record(time.as_micros() as u64);
}

/// Measures calls made one after the other, then the throughput with 8 concurrent callers.
async fn measure_callers<F>(call: impl Fn() -> F + Clone + 'static) -> Value
where
    F: Future<Output = ()> + 'static,
{
    for _ in 0..200 {
        call().await;
    }
    let mut times_us = histogram();
    for _ in 0..2000 {
        let start = Instant::now();
        call().await;
        record(&mut times_us, start.elapsed());
    }
    let start = Instant::now();
    let callers: Vec<_> = (0..8)
        .map(|_| {
            let call = call.clone();
            compio::runtime::spawn(async move {
                for _ in 0..1000 {
                    call().await;
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await.expect("a caller panicked");
    }
    let calls_per_second = 8000.0 / start.elapsed().as_secs_f64();
    json!({ "one_caller": quantiles(&times_us), "calls_per_second_8_callers": calls_per_second as u64 })
}

async fn overhead() -> Value {
    let backend = Backend::start().await;
    let agent = Agent::with_backend(&backend, SLOTS).await;
    let router = router(&[&agent], None);
    let (http, address) = (client(), backend.address);
    let direct = measure_callers(move || {
        let http = http.clone();
        async move {
            let headers = [("nutmegwalk-request-id", "direct")];
            let body = bytes::Bytes::from_static(b"plank");
            let answer = http.request(Method::POST, address, "/cut", &headers, body, LOAD_DURATION);
            assert_eq!(answer.await.expect("the server answers").status, 200);
        }
    })
    .await;
    let routed = measure_callers(move || {
        let router = router.clone();
        async move {
            assert_eq!(router.call(request("plank")).await.outcome(), Outcome::Done);
        }
    })
    .await;
    json!({ "direct": direct, "routed": routed, "note": "all processes share one thread" })
}

/// Response times of calls, by outcome.
struct ResponseTimes {
    done: RefCell<Histogram<u64>>,
    refused: RefCell<Histogram<u64>>,
    unknown: RefCell<Histogram<u64>>,
}

/// Makes `rate` calls per second for [`LOAD_DURATION`], regardless of whether earlier ones have ended.
async fn offer_load(
    router: &Router,
    rate: f64,
    make: impl Fn(u64) -> CallRequest,
) -> Rc<ResponseTimes> {
    let response_times = Rc::new(ResponseTimes {
        done: RefCell::new(histogram()),
        refused: RefCell::new(histogram()),
        unknown: RefCell::new(histogram()),
    });
    let start = Instant::now();
    let mut offered = 0;
    let mut calls = Vec::new();
    while start.elapsed() < LOAD_DURATION {
        let due = (start.elapsed().as_secs_f64() * rate) as u64;
        while offered < due {
            let (router, response_times, call) =
                (router.clone(), Rc::clone(&response_times), make(offered));
            offered += 1;
            calls.push(compio::runtime::spawn(async move {
                let sent = Instant::now();
                let outcome = router.call(call).await.outcome();
                let ended = start.elapsed();
                if ended < WARM_UP_DURATION || ended >= LOAD_DURATION {
                    return;
                }
                let class = match outcome {
                    Outcome::Done => &response_times.done,
                    Outcome::NotRun => &response_times.refused,
                    Outcome::Unknown => &response_times.unknown,
                };
                record(&mut class.borrow_mut(), sent.elapsed());
            }));
        }
        compio::time::sleep(Duration::from_millis(1)).await;
    }
    for call in calls {
        call.await.expect("a call panicked");
    }
    response_times
}

fn response_time_statistics(response_times: &ResponseTimes) -> Value {
    let seconds = (LOAD_DURATION - WARM_UP_DURATION).as_secs_f64();
    let results = |times_us: &RefCell<Histogram<u64>>| {
        let times_us = times_us.borrow();
        let mut results = quantiles(&times_us);
        results["per_second"] = json!((times_us.len() as f64 / seconds) as u64);
        results
    };
    json!({
        "done": results(&response_times.done),
        "refused": results(&response_times.refused),
        "unknown": results(&response_times.unknown),
    })
}

async fn goodput(policy: RoutingPolicy, factor: f64) -> Value {
    let mut backends = Vec::new();
    let mut agents = Vec::new();
    for _ in 0..SERVERS {
        let backend = Backend::start().await;
        backend.state.delay.set(SERVICE_TIME);
        agents.push(Agent::with_backend(&backend, SLOTS).await);
        backends.push(backend);
    }
    let settings = RouterSettings::new("centre-1", "region-1").with_policy(policy);
    let router = router_with(settings, &agents.iter().collect::<Vec<_>>(), None);
    let response_times = offer_load(&router, CAPACITY * factor, |number| {
        let mut call = request(&format!("c{number}"));
        call.deadline = Duration::from_secs(1);
        call
    })
    .await;
    let counts = router.counts();
    let mut results = response_time_statistics(&response_times);
    results["policy"] = json!(format!("{policy:?}"));
    results["offered_factor"] = json!(factor);
    results["attempts_per_call"] = json!(counts.attempts as f64 / counts.calls as f64);
    results["share_of_capacity"] = json!(
        response_times.done.borrow().len() as f64
            / (LOAD_DURATION - WARM_UP_DURATION).as_secs_f64()
            / CAPACITY
    );
    results
}

async fn claims(mode: Option<CommitMode>, rate: f64) -> Value {
    let store = Rc::new(FaultyStore::default());
    store.latency.set(Duration::from_millis(5));
    store.write_interval.set(Duration::from_micros(2500));
    let mut agents = Vec::new();
    let mut backends = Vec::new();
    for _ in 0..SERVERS {
        let backend = Backend::start().await;
        agents.push(Agent::with_backend(&backend, 256).await);
        backends.push(backend);
    }
    let claims = mode.map(|mode| {
        let settings = ClaimsSettings {
            mode,
            ..ClaimsSettings::default()
        };
        common::claims(&store, settings)
    });
    let router = router(&agents.iter().collect::<Vec<_>>(), claims);
    let response_times = offer_load(&router, rate, |number| {
        let mut call = match mode {
            Some(_) => non_repeatable(&key(&format!("k{number}")), "plank"),
            None => request("plank"),
        };
        call.deadline = Duration::from_secs(1);
        call
    })
    .await;
    let mut results = response_time_statistics(&response_times);
    results["commit_mode"] = json!(mode.map(|mode| format!("{mode:?}")));
    results["offered_per_second"] = json!(rate);
    results["store_writes_per_second"] =
        json!((store.transactions.get() as f64 / LOAD_DURATION.as_secs_f64()) as u64);
    results
}

fn run(case: impl Future<Output = Value>) -> Value {
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(case)
}

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let is_wanted = |name: &str| wanted.is_empty() || wanted.iter().any(|arg| arg == name);
    let mut results = json!({});
    if is_wanted("overhead") {
        results["overhead"] = run(overhead());
    }
    if is_wanted("goodput") {
        let mut cases = Vec::new();
        for policy in [
            RoutingPolicy::TwoChoices,
            RoutingPolicy::RoundRobin,
            RoutingPolicy::NoBudget,
        ] {
            for factor in [1.0, 2.0, 5.0] {
                cases.push(run(goodput(policy, factor)));
            }
        }
        results["goodput"] = json!(cases);
    }
    if is_wanted("claims") {
        let mut cases = Vec::new();
        for mode in [None, Some(CommitMode::Group), Some(CommitMode::Single)] {
            for rate in [100.0, 1000.0, 5000.0] {
                cases.push(run(claims(mode, rate)));
            }
        }
        results["claims"] = json!(cases);
    }
    println!("{results:#}");
}
