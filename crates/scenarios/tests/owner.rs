//! Ownership of data centres under failures of whole processes, with the whole product on loopback.

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;

use nutmegwalk_base::JobId;
use nutmegwalk_config::Adjacency;
use nutmegwalk_config::WorkerShape;
use nutmegwalk_node::api::Status;
use nutmegwalk_node::jobs::JobRequest;
use nutmegwalk_node::jobs::JobState;
use nutmegwalk_scenarios::deployment::ApiClient;
use nutmegwalk_scenarios::deployment::BOOTSTRAP_TOKEN;
use nutmegwalk_scenarios::deployment::Deployment;
use nutmegwalk_scenarios::deployment::DeploymentPlan;
use nutmegwalk_scenarios::dev::example_token;
use nutmegwalk_scenarios::platform::longest_partial_run;
use nutmegwalk_scenarios::platform::overlapping_attempts;

/// Limit for every wait; only a fault reaches it.
const LIMIT: Duration = Duration::from_secs(120);
/// Gang lease and the steps around it: the longest time that a part of a gang may run alone.
const PARTIAL_RUN_BOUND: Duration = Duration::from_secs(11);
const CUSTOMER: &str = "night-audit";

struct World {
    deployment: Deployment,
    operator: ApiClient,
    customer: ApiClient,
}

impl World {
    async fn start() -> Self {
        let examples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/kurzeme");
        let plan = DeploymentPlan::new(&[examples], 1).unwrap();
        let operator = plan.configuration.operators.keys().next().unwrap();
        let operator = example_token(operator);
        let deployment = Deployment::start(plan).unwrap();
        let bootstrap = deployment.api(BOOTSTRAP_TOKEN).unwrap();
        let started = Instant::now();
        while let Err(error) = bootstrap.publish(&deployment.plan().configuration, 0).await {
            assert!(started.elapsed() < LIMIT, "{error}");
            compio::time::sleep(Duration::from_millis(100)).await;
        }
        let world = Self {
            operator: deployment.api(&operator).unwrap(),
            customer: deployment.api(&example_token(CUSTOMER)).unwrap(),
            deployment,
        };
        let workers = world.deployment.sites().len();
        world
            .wait("all workers", |status| {
                let known = status.data_centres.iter();
                let known = known.filter_map(|one| one.summary.as_ref());
                known.map(|summary| summary.workers as usize).sum::<usize>() == workers
            })
            .await;
        world
    }

    async fn wait(&self, what: &str, reached: impl Fn(&Status) -> bool) -> Status {
        let status = self.operator.wait_for_status(LIMIT, reached).await;
        status.unwrap_or_else(|| panic!("no {what}"))
    }

    async fn submit(&self, tasks: u32, accelerators: u32, work_ms: u64) -> JobId {
        let configuration = &self.deployment.plan().configuration;
        let request = JobRequest {
            service: configuration.services.keys().next().unwrap().clone(),
            tasks,
            shape: WorkerShape {
                cores: 4,
                memory_mb: 4096,
                accelerators,
            },
            adjacency: Adjacency::DataCentre,
            guarantee: None,
            declared_run_ms: None,
            payload: format!("{{\"work_ms\":{work_ms}}}").into(),
        };
        self.customer.submit(&request).await.unwrap().job
    }

    /// Returns the name of a data centre, of its owner's worker, and the owner's epoch.
    async fn busiest_owner(&self) -> (Box<str>, Box<str>, u64) {
        let running = |status: &Status| {
            let centres = status.data_centres.iter();
            let busy = centres.filter(|one| {
                one.owner.is_some()
                    && one
                        .summary
                        .as_ref()
                        .is_some_and(|told| told.running_jobs > 0)
            });
            busy.max_by_key(|one| one.summary.as_ref().map(|told| told.running_jobs))
                .cloned()
        };
        let status = self
            .wait("running job", |status| running(status).is_some())
            .await;
        let busiest = running(&status).unwrap();
        let owner = busiest.owner.unwrap();
        let worker = owner.strip_prefix("agent-").unwrap().into();
        (busiest.data_centre, worker, busiest.epoch)
    }

    async fn wait_for_new_owner(&self, data_centre: &str, epoch: u64) {
        self.wait("new owner", |status| {
            let one = status
                .data_centres
                .iter()
                .find(|one| &*one.data_centre == data_centre);
            one.is_some_and(|one| one.epoch > epoch && one.summary.is_some())
        })
        .await;
    }

    async fn finish(&self, jobs: &[JobId]) {
        for job in jobs {
            let end = self.customer.wait_for_end(job, LIMIT).await;
            let state = end.as_ref().map(|status| status.state);
            let path = format!("/v1/jobs/{job}/explain");
            let told = self
                .operator
                .raw(Method::GET, &path, &[], Bytes::new())
                .await;
            let told = told.map(|response| response.body);
            assert_eq!(state, Some(JobState::Finished), "{job}: {end:?} {told:?}");
        }
        let events = self.deployment.platform.events();
        assert_eq!(overlapping_attempts(&events), []);
        let partial = longest_partial_run(&events, self.deployment.platform.now());
        assert!(partial <= PARTIAL_RUN_BOUND, "{partial:?}");
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() { compio::runtime::Runtime::new().unwrap().block_on(async $body) })*
    };
}

cases! {
    // Guards against a paused owner that commands or writes after its lease, and starts jobs twice.
    owner_paused_past_its_lease_is_fenced => {
        let world = World::start().await;
        let mut jobs = Vec::new();
        for _ in 0..12 {
            jobs.push(world.submit(1, 4, 6000).await);
        }
        let (data_centre, worker, epoch) = world.busiest_owner().await;
        world.deployment.agent(&worker).unwrap().set_paused(true);
        world.wait_for_new_owner(&data_centre, epoch).await;
        world.deployment.agent(&worker).unwrap().set_paused(false);
        for _ in 0..4 {
            jobs.push(world.submit(1, 2, 500).await);
        }
        world.finish(&jobs).await;
    }

    // Guards against jobs that are lost or run twice when the process of an owner is killed.
    killed_owner_is_replaced => {
        let mut world = World::start().await;
        let mut jobs = Vec::new();
        for _ in 0..12 {
            jobs.push(world.submit(2, 2, 5000).await);
        }
        let (data_centre, worker, epoch) = world.busiest_owner().await;
        world.deployment.take_agent(&worker).unwrap().kill();
        world.wait_for_new_owner(&data_centre, epoch).await;
        world.deployment.start_agent(&worker).unwrap();
        world.finish(&jobs).await;
    }
}
