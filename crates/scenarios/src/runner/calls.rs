//! The calls of a scenario. They are planned from the seed and sent at fixed times (open-loop load).

use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use http::HeaderValue;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::deployment::SEND_HEADER;
use crate::dev::service_of;
use crate::runner::Run;
use crate::script::CallLoad;
use crate::script::Scenario;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::Result;
use nutmegwalk_calls::DEADLINE_HEADER;
use nutmegwalk_calls::KEY_HEADER;
use nutmegwalk_calls::OUTCOME_HEADER;
use nutmegwalk_calls::REPEAT_HEADER;
use nutmegwalk_net::Response;

/// Time beyond the deadline of its call that a caller waits for an answer.
const ANSWER_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Repeatability that the caller declares for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Repeat {
    Unmarked,
    Always,
    Never,
}

/// Result of one send of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Answer {
    /// The caller's own body.
    Own,
    /// A successful answer with another body.
    Wrong(String),
    /// An answer of the backend server with an error status.
    Failed(u16),
    /// A refusal with the outcome "not run".
    NotRun(String),
    /// The caller can't tell whether the call ran.
    Unknown(String),
}

/// One send of a call.
#[derive(Clone, Debug)]
pub(crate) struct Send {
    pub(crate) id: Box<str>,
    /// Time of the send, from the start of the load.
    pub(crate) sent_at: Duration,
    pub(crate) latency: Option<Duration>,
    pub(crate) answer: Option<Answer>,
}

/// One call of the load with all its sends.
#[derive(Clone, Debug)]
pub(crate) struct CallRun {
    pub(crate) customer: CustomerId,
    pub(crate) body: Box<str>,
    pub(crate) repeat: Repeat,
    pub(crate) deadline_ms: u64,
    pub(crate) sends: Vec<Send>,
}

/// Plans all calls of a scenario.
pub(crate) fn plan(scenario: &Scenario, seed: u64) -> Result<Vec<CallRun>> {
    let mut calls = Vec::new();
    if scenario.calls.is_empty() {
        return Ok(calls);
    }
    service_of(&scenario.configuration)?;
    let customers: Vec<&CustomerId> = scenario.configuration.customers.keys().collect();
    for (group, load) in scenario.calls.iter().enumerate() {
        let mut random = StdRng::seed_from_u64(seed.wrapping_mul(2003).wrapping_add(group as u64));
        let mut turn = customers.iter().cycle();
        for number in 0..call_count(load) {
            let next = turn.next().copied();
            let Some(customer) = load.customer.as_ref().or(next) else {
                return Err(Error::new(
                    ErrorKind::InvalidConfiguration,
                    "the configuration has no customer",
                ));
            };
            calls.push(plan_call(
                load,
                customer,
                &format!("{group}-{number}"),
                &mut random,
            ));
        }
    }
    Ok(calls)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn call_count(load: &CallLoad) -> u64 {
    (load.per_second * load.over_ms as f64 / 1000.0).round() as u64
}

fn plan_call(load: &CallLoad, customer: &CustomerId, name: &str, random: &mut StdRng) -> CallRun {
    let at = Duration::from_millis(load.at_ms + random.random_range(0..=load.over_ms));
    let kind: f64 = random.random();
    let repeat = if kind < load.never_share {
        Repeat::Never
    } else if kind < load.never_share + load.repeatable_share {
        Repeat::Always
    } else {
        Repeat::Unmarked
    };
    let sends = if repeat == Repeat::Never {
        load.sends
    } else {
        1
    };
    let resend = Duration::from_millis(load.resend_ms);
    let mut body = format!("{customer}/{name}/");
    while body.len() < load.body_bytes {
        body.push(char::from(random.random_range(b'a'..=b'z')));
    }
    CallRun {
        customer: customer.clone(),
        body: body.into(),
        repeat,
        deadline_ms: load.deadline_ms,
        sends: (0..sends)
            .map(|send| Send {
                id: format!("{name}.{send}").into(),
                sent_at: at + resend * send,
                latency: None,
                answer: None,
            })
            .collect(),
    }
}

impl Run {
    /// Sends each call at its time.
    pub(crate) fn spawn_calls(self: &Rc<Self>) {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let count = self.calls.borrow().len();
        for index in 0..count {
            let key = format!("{}-{}-{index}", unix.as_millis(), self.seed);
            let sends = self.calls.borrow()[index].sends.len();
            for send in 0..sends {
                let (run, key) = (Rc::clone(self), key.clone());
                compio::runtime::spawn(async move { run.send(index, send, &key).await }).detach();
            }
        }
    }

    async fn send(&self, index: usize, send: usize, key: &str) {
        let call = self.calls.borrow()[index].clone();
        let id = call.sends[send].id.clone();
        self.sleep_until(call.sends[send].sent_at).await;
        // Each send of a call starts with a different entry host.
        let Ok(api) = self.caller(&call.customer, index + send) else {
            return;
        };
        let Ok(service) = service_of(&self.scenario.configuration) else {
            return;
        };
        let deadline = call.deadline_ms.to_string();
        let mut headers = vec![(DEADLINE_HEADER, &*deadline), (SEND_HEADER, &*id)];
        match call.repeat {
            Repeat::Unmarked => {}
            Repeat::Always => headers.push((REPEAT_HEADER, "always")),
            Repeat::Never => headers.extend([(REPEAT_HEADER, "never"), (KEY_HEADER, key)]),
        }
        let sent_at = self.started.elapsed();
        let body = call.body.as_bytes().to_vec();
        let limit = Duration::from_millis(call.deadline_ms) + ANSWER_GRACE_PERIOD;
        let response =
            compio::time::timeout(limit, api.call(&service, &headers, body.into())).await;
        let answer = match response {
            Ok(Ok(response)) => classify(&response, &call.body),
            Ok(Err(error)) if error.outcome() == Outcome::NotRun => {
                Answer::NotRun(error.to_string())
            }
            Ok(Err(error)) => Answer::Unknown(error.to_string()),
            Err(_) => Answer::Unknown("no answer in time".into()),
        };
        let mut calls = self.calls.borrow_mut();
        let record = &mut calls[index].sends[send];
        record.sent_at = sent_at;
        record.latency = Some(self.started.elapsed().saturating_sub(sent_at));
        record.answer = Some(answer);
    }
}

fn classify(response: &Response, body: &str) -> Answer {
    let outcome = response
        .headers
        .get(OUTCOME_HEADER)
        .map(HeaderValue::as_bytes)
        .and_then(|name| Outcome::from_name(std::str::from_utf8(name).ok()?));
    let text = || {
        format!(
            "{}: {}",
            response.status,
            String::from_utf8_lossy(&response.body)
        )
    };
    match outcome {
        Some(Outcome::NotRun) => Answer::NotRun(text()),
        Some(Outcome::Unknown) => Answer::Unknown(text()),
        Some(Outcome::Done) | None if response.status == 200 => {
            if response.body == body.as_bytes() {
                Answer::Own
            } else {
                Answer::Wrong(text())
            }
        }
        Some(Outcome::Done) | None => Answer::Failed(response.status),
    }
}
