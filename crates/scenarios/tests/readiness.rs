//! Test of the readiness of a restarted entry host.

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;

use nutmegwalk_base::secret::Secret;
use nutmegwalk_net::Client;
use nutmegwalk_scenarios::deployment::BOOTSTRAP_TOKEN;
use nutmegwalk_scenarios::deployment::Deployment;
use nutmegwalk_scenarios::deployment::DeploymentPlan;

const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until the entry host with this index answers `/healthz` with 200.
async fn wait_until_ready(deployment: &Deployment, index: usize) {
    let client = Client::new("balancer", Secret::new("")).unwrap();
    let address = deployment.entry_addresses()[index];
    let started = Instant::now();
    loop {
        let answer = client
            .request(
                Method::GET,
                address,
                "/healthz",
                &[],
                Bytes::new(),
                READY_TIMEOUT,
            )
            .await;
        if answer.is_ok_and(|answer| answer.status == 200) {
            return;
        }
        assert!(
            started.elapsed() < READY_TIMEOUT,
            "the entry host did not become ready"
        );
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a restarted entry host that reports readiness before it has discovered a backend server, so
/// that the load balancer sends calls to it.
#[rstest::rstest]
fn ready_entry_host_can_route_calls() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let plan = DeploymentPlan::new(&[root.join("examples/kurzeme")], 1).unwrap();
    let configuration = plan.configuration.clone();
    let mut deployment = Deployment::start(plan).unwrap();
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let operator = deployment.api(BOOTSTRAP_TOKEN).unwrap();
        while operator.publish(&configuration, 0).await.is_err() {
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        let caller = deployment.api("example-grading-desk-token").unwrap();
        wait_until_ready(&deployment, 0).await;
        for _ in 0..3 {
            deployment.take_entry(0).unwrap().kill();
            deployment.start_entry(0).unwrap();
            wait_until_ready(&deployment, 0).await;
            let answer = caller
                .call("plank-desk", &[], "plank".into())
                .await
                .unwrap();
            assert_eq!((answer.status, &answer.body[..]), (200, &b"plank"[..]));
        }
    });
}
