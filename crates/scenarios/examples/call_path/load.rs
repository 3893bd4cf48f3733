//! Callers: some that wait for each answer, or a fixed rate of calls whatever becomes of earlier ones.

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

use crate::world::CUSTOMER_TOKEN;
use nutmegwalk_base::Result;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_net::Client;
use nutmegwalk_net::Response;

/// Part of a run at a fixed rate that is not counted.
const WARM_UP: Duration = Duration::from_secs(1);
const LIMIT: Duration = Duration::from_secs(10);

/// Times of calls in microseconds, by what became of them.
pub(crate) struct Tally {
    pub(crate) done: Histogram<u64>,
    pub(crate) refused: Histogram<u64>,
    pub(crate) unknown: Histogram<u64>,
    /// Calls that were not done, by the kind of the error.
    pub(crate) kinds: BTreeMap<Box<str>, u64>,
    pub(crate) seconds: f64,
}

impl Tally {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid");
        Self {
            done: histogram(),
            refused: histogram(),
            unknown: histogram(),
            kinds: BTreeMap::new(),
            seconds: 0.0,
        }
    }

    pub(crate) fn done_per_second(&self) -> f64 {
        self.done.len() as f64 / self.seconds
    }

    pub(crate) fn figures(&self) -> Value {
        let figures = |times: &Histogram<u64>| {
            json!({
                "count": times.len(),
                "p50_us": times.value_at_quantile(0.50),
                "p99_us": times.value_at_quantile(0.99),
                "max_us": times.max(),
            })
        };
        json!({
            "done_per_second": self.done_per_second() as u64,
            "done": figures(&self.done),
            "refused": figures(&self.refused),
            "unknown": figures(&self.unknown),
            "not_done": self.kinds,
        })
    }
}

async fn call(
    client: &Client,
    to: SocketAddr,
    path: &str,
    body: Bytes,
    tally: &RefCell<Tally>,
    counted: impl Fn() -> bool,
) {
    let token = format!("Bearer {CUSTOMER_TOKEN}");
    let headers = [("authorization", &*token)];
    let sent = Instant::now();
    let answer = client
        .request(Method::POST, to, path, &headers, body, LIMIT)
        .await;
    if !counted() {
        return;
    }
    let tally = &mut *tally.borrow_mut();
    if let Some(kind) = error_kind(&answer) {
        *tally.kinds.entry(kind).or_default() += 1;
    }
    let times = match answer {
        Ok(answer) if answer.status == 200 => &mut tally.done,
        Ok(answer)
            if answer
                .headers
                .get("nutmegwalk-outcome")
                .is_some_and(|outcome| outcome == "not_run") =>
        {
            &mut tally.refused
        }
        _ => &mut tally.unknown,
    };
    times.saturating_record(sent.elapsed().as_micros() as u64);
}

/// Returns the kind of the error that a call got; `None` for one that is done.
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

fn run(load: impl Future<Output = Tally>) -> Tally {
    compio::runtime::Runtime::new()
        .expect("the runtime starts")
        .block_on(load)
}

/// Makes calls with `callers` callers for `time`, each of which waits for its answer.
pub(crate) fn closed(
    to: SocketAddr,
    path: &str,
    callers: usize,
    time: Duration,
    body_bytes: usize,
) -> Tally {
    run(async {
        let tally = Rc::new(RefCell::new(Tally::new()));
        let client = Client::new("load", Secret::new("none")).expect("the client starts");
        let body = Bytes::from(vec![b'o'; body_bytes]);
        let start = Instant::now();
        let callers: Vec<_> = (0..callers)
            .map(|_| {
                let (client, tally, path, body) = (
                    client.clone(),
                    Rc::clone(&tally),
                    path.to_owned(),
                    body.clone(),
                );
                compio::runtime::spawn(async move {
                    while start.elapsed() < time {
                        call(&client, to, &path, body.clone(), &tally, || true).await;
                    }
                })
            })
            .collect();
        for caller in callers {
            caller.await.expect("a caller panicked");
        }
        let mut tally = tally.replace(Tally::new());
        tally.seconds = start.elapsed().as_secs_f64();
        tally
    })
}

/// Offers `rate` calls a second for `time` and a second of warm-up before it.
pub(crate) fn offered(to: SocketAddr, path: &str, rate: f64, time: Duration) -> Tally {
    run(async {
        let tally = Rc::new(RefCell::new(Tally::new()));
        let client = Client::new("load", Secret::new("none")).expect("the client starts");
        let start = Instant::now();
        let end = time + WARM_UP;
        let mut sent = 0;
        let mut calls = Vec::new();
        while start.elapsed() < end {
            let due = (start.elapsed().as_secs_f64() * rate) as u64;
            while sent < due {
                sent += 1;
                let (client, tally, path) = (client.clone(), Rc::clone(&tally), path.to_owned());
                calls.push(compio::runtime::spawn(async move {
                    let counted = || (WARM_UP..end).contains(&start.elapsed());
                    call(
                        &client,
                        to,
                        &path,
                        Bytes::from_static(b"oak"),
                        &tally,
                        counted,
                    )
                    .await;
                }));
            }
            compio::time::sleep(Duration::from_millis(1)).await;
        }
        for call in calls {
            call.await.expect("a call panicked");
        }
        let mut tally = tally.replace(Tally::new());
        tally.seconds = time.as_secs_f64();
        tally
    })
}
