//! Tests that a real entry host and a real agent refuse requests without a valid token or secret, and
//! malformed bodies.

#[path = "common/deployment.rs"]
mod deployment;

use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use serde_json::json;

use crate::deployment::BOOTSTRAP_TOKEN;
use crate::deployment::Deployment;
use crate::deployment::OAK_TOKEN;
use crate::deployment::OPERATOR_TOKEN;
use crate::deployment::PINE_TOKEN;
use crate::deployment::SECRET;
use crate::deployment::bearer;
use crate::deployment::configuration;
use crate::deployment::send;
use nutmegwalk_calls::CallMessage;
use nutmegwalk_calls::CloseMessage;
use nutmegwalk_gang::messages::Abort;
use nutmegwalk_gang::messages::Bind;
use nutmegwalk_gang::messages::Checkpoint;
use nutmegwalk_gang::messages::EndMembers;
use nutmegwalk_gang::messages::Renew;
use nutmegwalk_gang::messages::Reserve;
use nutmegwalk_gang::messages::Start;
use nutmegwalk_gang::messages::StartMembers;
use nutmegwalk_gang::messages::Stop;
use nutmegwalk_gang::messages::Throttle;
use nutmegwalk_net::Message;
use nutmegwalk_net::decode;
use nutmegwalk_node::api::PublishRequest;
use nutmegwalk_node::jobs::JobRequest;
use nutmegwalk_node::owner::messages::AgentReport;
use nutmegwalk_node::owner::messages::ExplainRequest;
use nutmegwalk_node::owner::messages::JobNotice;
use nutmegwalk_node::owner::messages::SummaryRequest;
use nutmegwalk_sync::SyncRequest;

/// Seed of the malformed bodies.
const SEED: u64 = 11;
/// Number of malformed bodies for each path.
const BODIES: usize = 100;

/// Path of a message and a check whether a body is a valid one.
type Receiver = (&'static str, fn(&[u8]) -> bool);

fn receiver<M: Message>() -> Receiver {
    (M::PATH, |body| decode::<M>(body).is_ok())
}

fn receivers() -> Vec<Receiver> {
    vec![
        receiver::<SyncRequest>(),
        receiver::<Reserve>(),
        receiver::<Bind>(),
        receiver::<Start>(),
        receiver::<StartMembers>(),
        receiver::<Renew>(),
        receiver::<EndMembers>(),
        receiver::<Stop>(),
        receiver::<Abort>(),
        receiver::<Checkpoint>(),
        receiver::<Throttle>(),
        receiver::<AgentReport>(),
        receiver::<JobNotice>(),
        receiver::<SummaryRequest>(),
        receiver::<ExplainRequest>(),
        receiver::<CallMessage>(),
        receiver::<CloseMessage>(),
    ]
}

/// A request that takes effect with the right token.
struct Probe {
    method: &'static str,
    path: String,
    body: String,
    /// Status with a customer's token.
    customer: u16,
    /// Status with an operator's token.
    operator: u16,
}

fn job() -> String {
    let shape = json!({"cores": 1, "memory_mb": 10, "accelerators": 1});
    json!({"service": "plank-desk", "tasks": 1, "shape": shape}).to_string()
}

/// Returns a request for every path of callers and operators; `job_id` is a job of customer `oak`.
fn probes(job_id: &str) -> Vec<Probe> {
    let probe = |method, path: &str, body: String, customer, operator| Probe {
        method,
        path: path.to_owned(),
        body,
        customer,
        operator,
    };
    let none = String::new;
    let data_centre = || json!({"data_centre": "rezekne"}).to_string();
    let publish = json!({"based_on": 1, "configuration": configuration(7)}).to_string();
    vec![
        // No backend server has announced itself, so an authenticated call fails with 503.
        probe("POST", "/call/plank-desk/grade", none(), 503, 403),
        probe("POST", "/v1/jobs", job(), 200, 403),
        probe("GET", &format!("/v1/jobs/{job_id}"), none(), 200, 200),
        probe(
            "GET",
            &format!("/v1/jobs/{job_id}/explain"),
            none(),
            200,
            200,
        ),
        probe("DELETE", &format!("/v1/jobs/{job_id}"), none(), 200, 200),
        probe("GET", "/v1/configuration", none(), 403, 200),
        probe("GET", "/v1/status", none(), 403, 200),
        probe("GET", "/v1/audit", none(), 403, 200),
        probe("POST", "/v1/publish", publish, 403, 200),
        probe("POST", "/v1/take-out", data_centre(), 403, 200),
        probe("POST", "/v1/return", data_centre(), 403, 200),
    ]
}

async fn submit(entry: SocketAddr, token: &str) -> String {
    let token = bearer(token);
    let headers = [("authorization", &*token)];
    let answer = send(entry, "POST", "/v1/jobs", &headers, job().as_bytes()).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    answer.body()["job"].as_str().unwrap().to_owned()
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest] fn $name() { compio::runtime::Runtime::new().unwrap().block_on(async $body) })*
    };
}

cases! {
    // Guards against accepting or answering requests without a valid token or with the wrong role.
    entry_paths_require_the_right_token => {
        let deployment = Deployment::start_published().await;
        let job_id = submit(deployment.entry, OAK_TOKEN).await;
        let before = deployment.requested_rows();
        let (wrong, bootstrap, bare) = (bearer("wrong"), bearer(BOOTSTRAP_TOKEN), OAK_TOKEN.to_owned());
        let basic = format!("Basic {OAK_TOKEN}");
        let digest = bearer(&nutmegwalk_base::secret::token_digest(OAK_TOKEN));
        for probe in probes(&job_id) {
            let Probe { method, path, body, .. } = &probe;
            let mut variants = vec![vec![]];
            variants.extend([&wrong, &bootstrap, &bare, &basic, &digest].map(|text| vec![("authorization", &**text)]));
            // The secret of the processes is not a token.
            variants.push(vec![("nutmegwalk-secret", SECRET)]);
            for headers in variants {
                let answer = send(deployment.entry, method, path, &headers, body.as_bytes()).await;
                assert_eq!(answer.status, 401, "{method} {path} {headers:?}: {answer:?}");
                assert_eq!(answer.kind(), "unauthenticated", "{method} {path}: {answer:?}");
            }
            for (token, status) in [(OAK_TOKEN, probe.customer), (OPERATOR_TOKEN, probe.operator)] {
                if status == 403 {
                    let token = bearer(token);
                    let headers = [("authorization", &*token)];
                    let answer = send(deployment.entry, method, path, &headers, body.as_bytes()).await;
                    assert_eq!((answer.status, &*answer.kind()), (403, "forbidden"), "{method} {path}");
                }
            }
        }
        assert_eq!(deployment.requested_rows(), before);
    }

    // Guards against the test above passing only because its requests fail for another reason.
    entry_paths_accept_the_right_token => {
        let deployment = Deployment::start_published().await;
        for (is_customer, token) in [(true, OAK_TOKEN), (false, OPERATOR_TOKEN)] {
            let job_id = submit(deployment.entry, OAK_TOKEN).await;
            let token = bearer(token);
            let headers = [("authorization", &*token)];
            for probe in probes(&job_id) {
                let status = if is_customer { probe.customer } else { probe.operator };
                if status != 403 {
                    let body = probe.body.as_bytes();
                    let answer = send(deployment.entry, probe.method, &probe.path, &headers, body).await;
                    assert_eq!(answer.status, status, "{} {}: {answer:?}", probe.method, probe.path);
                }
            }
        }
    }

    // Guards against a customer detecting or cancelling another customer's job.
    job_of_another_customer_is_indistinguishable_from_a_missing_one => {
        let deployment = Deployment::start_published().await;
        let job_id = submit(deployment.entry, OAK_TOKEN).await;
        let missing = format!("{}0", &job_id[..job_id.len() - 1]);
        let missing = if missing == job_id { format!("{}1", &job_id[..job_id.len() - 1]) } else { missing };
        let before = deployment.requested_rows();
        let token = bearer(PINE_TOKEN);
        let headers = [("authorization", &*token), ("nutmegwalk-request-id", "same")];
        for (method, suffix) in [("GET", ""), ("GET", "/explain"), ("DELETE", "")] {
            let path = |id: &str| format!("/v1/jobs/{id}{suffix}");
            let others = send(deployment.entry, method, &path(&job_id), &headers, b"").await;
            let none = send(deployment.entry, method, &path(&missing), &headers, b"").await;
            assert_eq!((none.status, &*none.kind()), (404, "not_found"), "{none:?}");
            assert_eq!(others.status, none.status);
            let of_missing = others.text.replace(&job_id, &missing);
            let without_date = |text: &str| {
                text.lines().filter(|line| !line.starts_with("date:")).collect::<Vec<_>>().join("\n")
            };
            assert_eq!(without_date(&of_missing), without_date(&none.text), "{method} {suffix}");
        }
        assert_eq!(deployment.requested_rows(), before);
    }

    // Guards against accepting commands to an agent or reports to an entry host from outside the deployment.
    internal_paths_require_the_secret => {
        let deployment = Deployment::start_published().await;
        let before = deployment.requested_rows();
        let operator = bearer(OPERATOR_TOKEN);
        let credentials: [Vec<(&str, &str)>; 4] = [
            vec![],
            vec![("nutmegwalk-secret", "")],
            vec![("nutmegwalk-secret", "wrong-secret")],
            vec![("authorization", &operator)],
        ];
        let announcement = json!({
            "incarnation": 1, "service": "plank-desk", "address": "127.0.0.1:9", "slots": 8,
        });
        let announcement = announcement.to_string();
        for headers in &credentials {
            for (path, _) in receivers() {
                let answer = send(deployment.agent, "POST", path, headers, b"\x80").await;
                assert_eq!(answer.status, 401, "agent {path} {headers:?}: {answer:?}");
            }
            let answer =
                send(deployment.agent, "PUT", "/v1/backend-server", headers, announcement.as_bytes()).await;
            assert_eq!((answer.status, &*answer.kind()), (401, "unauthenticated"), "{headers:?}");
            let answer = send(deployment.entry, "POST", SyncRequest::PATH, headers, b"\x80").await;
            assert_eq!(answer.status, 401, "entry {headers:?}: {answer:?}");
        }
        // An entry host refuses all commands for agents, whoever sends them.
        for (path, _) in receivers().into_iter().skip(1) {
            let headers = [("nutmegwalk-secret", SECRET)];
            assert_eq!(send(deployment.entry, "POST", path, &headers, b"\x80").await.status, 401, "{path}");
            let headers = [("authorization", &*operator)];
            assert_eq!(send(deployment.entry, "POST", path, &headers, b"\x80").await.status, 404, "{path}");
        }
        assert_eq!(deployment.requested_rows(), before);
        assert!(deployment.worker_commands().is_empty(), "{:?}", deployment.worker_commands());
        let headers = [("nutmegwalk-secret", SECRET)];
        let answer =
            send(deployment.agent, "PUT", "/v1/backend-server", &headers, announcement.as_bytes()).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    // Guards against accepting other tokens than the bootstrap token before a configuration is published.
    only_the_bootstrap_token_is_accepted_before_the_first_publication => {
        let deployment = Deployment::start().await;
        for probe in probes("job-1") {
            for token in [OAK_TOKEN, OPERATOR_TOKEN, "wrong"] {
                let token = bearer(token);
                let headers = [("authorization", &*token)];
                let body = probe.body.as_bytes();
                let answer = send(deployment.entry, probe.method, &probe.path, &headers, body).await;
                assert_eq!(answer.status, 401, "{} {}: {answer:?}", probe.method, probe.path);
            }
        }
        assert!(deployment.requested_rows().is_empty());
    }

    // Guards against a malformed message with the right secret crashing or blocking an agent.
    malformed_messages_are_refused => {
        let deployment = Deployment::start_published().await;
        let mut random = SmallRng::seed_from_u64(SEED);
        let headers = [("nutmegwalk-secret", SECRET)];
        for (path, is_message) in receivers() {
            for _ in 0..BODIES {
                let body = random_body(&mut random);
                let answer = send(deployment.agent, "POST", path, &headers, &body).await;
                if !is_message(&body) {
                    assert_eq!(answer.status, 400, "{path} {body:?}: {answer:?}");
                    assert!(answer.text.contains("bad_request"), "{path} {body:?}: {answer:?}");
                }
            }
        }
        assert_eq!(send(deployment.agent, "GET", "/healthz", &[], b"").await.status, 200);
        assert!(deployment.worker_commands().is_empty());
    }

    // Guards against a malformed job or publication being accepted or crashing the entry host.
    malformed_documents_are_refused => {
        let deployment = Deployment::start_published().await;
        let mut random = SmallRng::seed_from_u64(SEED);
        let (customer, operator) = (bearer(OAK_TOKEN), bearer(OPERATOR_TOKEN));
        let publish = json!({"based_on": 999, "configuration": configuration(7)}).to_string();
        let is_job: fn(&[u8]) -> bool = |body| is_json::<JobRequest>(body);
        let is_publish: fn(&[u8]) -> bool = |body| is_json::<PublishRequest>(body);
        let documents = [("/v1/jobs", &customer, job(), is_job), ("/v1/publish", &operator, publish, is_publish)];
        for (path, token, valid, is_valid) in documents {
            let headers = [("authorization", &**token)];
            for index in 0..BODIES * 2 {
                let body = if index % 2 == 0 {
                    random_body(&mut random)
                } else {
                    let mut body = valid.clone().into_bytes();
                    let at = random.random_range(0..body.len());
                    body[at] = random.random();
                    body
                };
                let answer = send(deployment.entry, "POST", path, &headers, &body).await;
                if is_valid(&body) {
                    assert!(answer.status < 500, "{path} {body:?}: {answer:?}");
                } else {
                    assert_eq!((answer.status, &*answer.kind()), (400, "bad_request"), "{path} {body:?}");
                }
            }
        }
        assert_eq!(send(deployment.entry, "GET", "/healthz", &[], b"").await.status, 200);
    }

    // Guards against a malformed header of a call being treated as absent.
    malformed_call_headers_are_refused => {
        let deployment = Deployment::start_published().await;
        let token = bearer(OAK_TOKEN);
        let wrong: [&[(&str, &str)]; 8] = [
            &[("nutmegwalk-deadline-ms", "soon")],
            &[("nutmegwalk-deadline-ms", "0")],
            &[("nutmegwalk-deadline-ms", "-5")],
            &[("nutmegwalk-repeat", "sometimes")],
            &[("nutmegwalk-repeat", "never")],
            &[("nutmegwalk-repeat", "n\u{e9}ver")],
            &[("nutmegwalk-key", "1-a")],
            &[("nutmegwalk-repeat", "always"), ("nutmegwalk-repeat", "never")],
        ];
        for headers in wrong {
            let mut sent = vec![("authorization", &*token)];
            sent.extend(headers);
            let answer = send(deployment.entry, "POST", "/call/plank-desk/grade", &sent, b"").await;
            assert_eq!((answer.status, &*answer.kind()), (400, "bad_request"), "{headers:?}: {answer:?}");
        }
    }
}

fn is_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> bool {
    let parsed: std::result::Result<T, _> = serde_json::from_slice(body);
    parsed.is_ok()
}

/// Returns random bytes, half of the time starting like a MessagePack map or list.
fn random_body(random: &mut SmallRng) -> Vec<u8> {
    let length = random.random_range(0..200);
    let mut body: Vec<u8> = (0..length).map(|_| random.random()).collect();
    if let Some(first) = body.first_mut()
        && random.random_bool(0.5)
    {
        *first = *[0x81_u8, 0x92, 0xdd, 0xdf]
            .get(random.random_range(0..4))
            .unwrap_or(&0x80);
    }
    body
}
