//! Load generators: a closed loop, in which each caller waits for its answer, and an open loop with a fixed rate.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Method;
use serde_json::Value;
use serde_json::json;

use crate::fixture::CUSTOMER_TOKEN;
use nutmegwalk_base::Result;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_net::Client;
use nutmegwalk_net::Response;

/// Warm-up of an open loop, whose calls are not counted.
const WARM_UP: Duration = Duration::from_secs(1);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Latencies of calls in microseconds, by outcome.
pub(crate) struct LoadResult {
    pub(crate) done: Histogram<u64>,
    pub(crate) refused: Histogram<u64>,
    pub(crate) unknown: Histogram<u64>,
    /// Numbers of calls that were not done, by the kind of the error.
    pub(crate) error_kinds: BTreeMap<Box<str>, u64>,
    pub(crate) seconds: f64,
}

impl LoadResult {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid");
        Self {
            done: histogram(),
            refused: histogram(),
            unknown: histogram(),
            error_kinds: BTreeMap::new(),
            seconds: 0.0,
        }
    }

    pub(crate) fn done_per_second(&self) -> f64 {
        self.done.len() as f64 / self.seconds
    }

    pub(crate) fn to_json(&self) -> Value {
        let summary = |latencies: &Histogram<u64>| {
            json!({
                "count": latencies.len(),
                "p50_us": latencies.value_at_quantile(0.50),
                "p99_us": latencies.value_at_quantile(0.99),
                "max_us": latencies.max(),
            })
        };
        json!({
            "done_per_second": self.done_per_second() as u64,
            "done": summary(&self.done),
            "refused": summary(&self.refused),
            "unknown": summary(&self.unknown),
            "not_done": self.error_kinds,
        })
    }
}

async fn call(
    client: &Client,
    to: SocketAddr,
    path: &str,
    body: Bytes,
    result: &RefCell<LoadResult>,
    is_counted: impl Fn() -> bool,
) {
    let token = format!("Bearer {CUSTOMER_TOKEN}");
    let headers = [("authorization", &*token)];
    let sent = Instant::now();
    let answer = client
        .request(Method::POST, to, path, &headers, body, REQUEST_TIMEOUT)
        .await;
    if !is_counted() {
        return;
    }
    let result = &mut *result.borrow_mut();
    if let Some(kind) = error_kind(&answer) {
        *result.error_kinds.entry(kind).or_default() += 1;
    }
    let latencies = match answer {
        Ok(answer) if answer.status == 200 => &mut result.done,
        Ok(answer)
            if answer
                .headers
                .get("nutmegwalk-outcome")
                .is_some_and(|outcome| outcome == "not_run") =>
        {
            &mut result.refused
        }
        _ => &mut result.unknown,
    };
    latencies.saturating_record(sent.elapsed().as_micros() as u64);
}

/// Returns the kind of the error of a call, or `None` for a call that is done.
fn error_kind(answer: &Result<Response>) -> Option<Box<str>> {
    match answer {
        Ok(answer) if answer.status == 200 => None,
        Ok(answer) => {
            let error: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
            Some(error["kind"].as_str().unwrap_or("none").into())
        }
        Err(error) => Some(error.kind.name().into()),
    }
}

fn run(load: impl Future<Output = LoadResult>) -> LoadResult {
    compio::runtime::Runtime::new()
        .expect("the runtime starts")
        .block_on(load)
}

/// Runs a closed loop of `callers` concurrent callers for `time`.
pub(crate) fn closed_loop(
    to: SocketAddr,
    path: &str,
    callers: usize,
    time: Duration,
    body_bytes: usize,
) -> LoadResult {
    run(async {
        let result = Rc::new(RefCell::new(LoadResult::new()));
        let client = Client::new("load", Secret::new("none")).expect("the client starts");
        let body = Bytes::from(vec![b'o'; body_bytes]);
        let start = Instant::now();
        let callers: Vec<_> = (0..callers)
            .map(|_| {
                let (client, result, path, body) = (
                    client.clone(),
                    Rc::clone(&result),
                    path.to_owned(),
                    body.clone(),
                );
                compio::runtime::spawn(async move {
                    while start.elapsed() < time {
                        call(&client, to, &path, body.clone(), &result, || true).await;
                    }
                })
            })
            .collect();
        for caller in callers {
            caller.await.expect("a caller panicked");
        }
        let mut result = result.replace(LoadResult::new());
        result.seconds = start.elapsed().as_secs_f64();
        result
    })
}

/// Runs an open loop of `rate` calls per second for `time`, after a warm-up of [`WARM_UP`].
pub(crate) fn open_loop(to: SocketAddr, path: &str, rate: f64, time: Duration) -> LoadResult {
    run(async {
        let result = Rc::new(RefCell::new(LoadResult::new()));
        let client = Client::new("load", Secret::new("none")).expect("the client starts");
        let start = Instant::now();
        let end = time + WARM_UP;
        let mut sent = 0;
        let mut calls = Vec::new();
        while start.elapsed() < end {
            let due = (start.elapsed().as_secs_f64() * rate) as u64;
            while sent < due {
                sent += 1;
                let (client, result, path) = (client.clone(), Rc::clone(&result), path.to_owned());
                calls.push(compio::runtime::spawn(async move {
                    let is_counted = || (WARM_UP..end).contains(&start.elapsed());
                    call(
                        &client,
                        to,
                        &path,
                        Bytes::from_static(b"oak"),
                        &result,
                        is_counted,
                    )
                    .await;
                }));
            }
            compio::time::sleep(Duration::from_millis(1)).await;
        }
        for call in calls {
            call.await.expect("a call panicked");
        }
        let mut result = result.replace(LoadResult::new());
        result.seconds = time.as_secs_f64();
        result
    })
}
