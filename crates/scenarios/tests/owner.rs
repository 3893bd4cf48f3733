//! Tests of the ownership of data centres under process failures, with the whole system on loopback.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;

use nutmegwalk_base::JobId;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_base::secret::token_digest;
use nutmegwalk_config::Adjacency;
use nutmegwalk_config::Configuration;
use nutmegwalk_config::WorkerShape;
use nutmegwalk_gang::Attempt;
use nutmegwalk_gang::HttpWorker;
use nutmegwalk_gang::TaskMetadata;
use nutmegwalk_gang::WorkerApi;
use nutmegwalk_net::Client;
use nutmegwalk_net::Drain;
use nutmegwalk_node::Agent;
use nutmegwalk_node::Entry;
use nutmegwalk_node::NodeOptions;
use nutmegwalk_node::api::JobStatus;
use nutmegwalk_node::api::PublishRequest;
use nutmegwalk_node::api::Status;
use nutmegwalk_node::api::Submitted;
use nutmegwalk_node::jobs::JobRequest;
use nutmegwalk_node::jobs::JobState;
use nutmegwalk_node::jobs::UNASSIGNED;
use nutmegwalk_node::settings::AgentSettings;
use nutmegwalk_node::settings::CommonSettings;
use nutmegwalk_node::settings::EntrySettings;
use nutmegwalk_scenarios::deployment::ApiClient;
use nutmegwalk_scenarios::deployment::BOOTSTRAP_TOKEN;
use nutmegwalk_scenarios::deployment::Deployment;
use nutmegwalk_scenarios::deployment::DeploymentPlan;
use nutmegwalk_scenarios::dev::example_token;
use nutmegwalk_scenarios::platform::EventKind;
use nutmegwalk_scenarios::platform::Platform;
use nutmegwalk_scenarios::platform::WorkerSize;
use nutmegwalk_scenarios::platform::longest_partial_run;
use nutmegwalk_scenarios::platform::overlapping_attempts;

/// Timeout for every wait; only a fault exceeds it.
const LIMIT: Duration = Duration::from_secs(120);
/// Longest time that a gang may run partially: the gang lease and the steps around it.
const PARTIAL_RUN_BOUND: Duration = Duration::from_secs(11);
const CUSTOMER: &str = "night-audit";

struct Fixture {
    deployment: Deployment,
    operator: ApiClient,
    customer: ApiClient,
}

impl Fixture {
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
        let fixture = Self {
            operator: deployment.api(&operator).unwrap(),
            customer: deployment.api(&example_token(CUSTOMER)).unwrap(),
            deployment,
        };
        let workers = fixture.deployment.workers().len();
        fixture
            .wait("all workers", |status| {
                let summaries = status.data_centres.iter();
                let summaries = summaries.filter_map(|one| one.summary.as_ref());
                summaries
                    .map(|summary| summary.workers as usize)
                    .sum::<usize>()
                    == workers
            })
            .await;
        fixture
    }

    /// Waits until `condition` holds for the status; `what` names it in the panic message.
    async fn wait(&self, what: &str, condition: impl Fn(&Status) -> bool) -> Status {
        let status = self.operator.wait_for_status(LIMIT, condition).await;
        status.unwrap_or_else(|| panic!("timeout while waiting for {what}"))
    }

    async fn submit(&self, tasks: u32, accelerators: u32, work_ms: u64) -> JobId {
        let configuration = &self.deployment.plan().configuration;
        let request = job_request(configuration, tasks, accelerators, work_ms);
        self.customer.submit(&request).await.unwrap().job
    }

    /// Returns the data centre with the most running jobs, the worker of its owner, and the owner's epoch.
    async fn busiest_owner(&self) -> (Box<str>, Box<str>, u64) {
        let running = |status: &Status| {
            let data_centres = status.data_centres.iter();
            let busy = data_centres.filter(|one| {
                one.owner.is_some()
                    && one
                        .summary
                        .as_ref()
                        .is_some_and(|summary| summary.running_jobs > 0)
            });
            busy.max_by_key(|one| one.summary.as_ref().map(|summary| summary.running_jobs))
                .cloned()
        };
        let status = self
            .wait("a running job", |status| running(status).is_some())
            .await;
        let busiest = running(&status).unwrap();
        let owner = busiest.owner.unwrap();
        let worker = owner.strip_prefix("agent-").unwrap().into();
        (busiest.data_centre, worker, busiest.epoch)
    }

    async fn wait_for_new_owner(&self, data_centre: &str, epoch: u64) {
        self.wait("a new owner", |status| {
            let one = status
                .data_centres
                .iter()
                .find(|one| &*one.data_centre == data_centre);
            one.is_some_and(|one| one.epoch > epoch && one.summary.is_some())
        })
        .await;
    }

    /// Waits until all jobs have finished, and checks the event log for violations.
    async fn wait_until_finished(&self, jobs: &[JobId]) {
        for job in jobs {
            let end = self.customer.wait_for_end(job, LIMIT).await;
            let state = end.as_ref().map(|status| status.state);
            let path = format!("/v1/jobs/{job}/explain");
            let explanation = self
                .operator
                .raw(Method::GET, &path, &[], Bytes::new())
                .await;
            let explanation = explanation.map(|response| response.body);
            assert_eq!(
                state,
                Some(JobState::Finished),
                "{job}: {end:?} {explanation:?}"
            );
        }
        let events = self.deployment.platform.events();
        assert_eq!(overlapping_attempts(&events), []);
        let partial = longest_partial_run(&events, self.deployment.platform.now());
        assert!(partial <= PARTIAL_RUN_BOUND, "{partial:?}");
    }
}

fn common_settings(name: &str, listen: SocketAddr, platform: &Platform) -> CommonSettings {
    CommonSettings {
        name: name.into(),
        listen,
        data_centre: "rezekne".into(),
        region: "latgale".into(),
        store: platform.address(),
        secret: Secret::new("loopback-secret"),
        log_level: log::LevelFilter::Info,
        drain_ms: 1000,
    }
}

fn job_request(
    configuration: &Configuration,
    tasks: u32,
    accelerators: u32,
    work_ms: u64,
) -> JobRequest {
    JobRequest {
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
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() { compio::runtime::Runtime::new().unwrap().block_on(async $body) })*
    };
}

cases! {
    // Guards against a paused owner that sends commands or writes rows after its lease, so that jobs run twice.
    owner_paused_past_its_lease_is_fenced => {
        let fixture = Fixture::start().await;
        let mut jobs = Vec::new();
        for _ in 0..12 {
            jobs.push(fixture.submit(1, 4, 6000).await);
        }
        let (data_centre, worker, epoch) = fixture.busiest_owner().await;
        fixture.deployment.agent(&worker).unwrap().set_paused(true);
        fixture.wait_for_new_owner(&data_centre, epoch).await;
        fixture.deployment.agent(&worker).unwrap().set_paused(false);
        for _ in 0..4 {
            jobs.push(fixture.submit(1, 2, 500).await);
        }
        fixture.wait_until_finished(&jobs).await;
    }

    // Guards against jobs that are lost or run twice when the process of an owner is killed.
    killed_owner_is_replaced => {
        let mut fixture = Fixture::start().await;
        let mut jobs = Vec::new();
        for _ in 0..12 {
            jobs.push(fixture.submit(2, 2, 5000).await);
        }
        let (data_centre, worker, epoch) = fixture.busiest_owner().await;
        fixture.deployment.take_agent(&worker).unwrap().kill();
        fixture.wait_for_new_owner(&data_centre, epoch).await;
        fixture.deployment.start_agent(&worker).unwrap();
        fixture.wait_until_finished(&jobs).await;
    }

    // Guards against jobs that wait indefinitely for a lost data centre, and that run twice when it returns.
    jobs_of_a_lost_data_centre_run_elsewhere_once => {
        let mut fixture = Fixture::start().await;
        let mut jobs = Vec::new();
        for _ in 0..12 {
            jobs.push(fixture.submit(1, 4, 8000).await);
        }
        let (data_centre, _, epoch) = fixture.busiest_owner().await;
        let specs = fixture.deployment.workers().to_vec();
        let workers = specs.iter().filter(|spec| spec.data_centre == data_centre);
        let workers: Vec<_> = workers.map(|spec| spec.worker.clone()).collect();
        for worker in &workers {
            fixture.deployment.take_agent(worker).unwrap().kill();
        }
        let body = format!("{{\"data_centre\":\"{data_centre}\",\"lost\":true}}");
        let answer = fixture.operator.raw(Method::POST, "/v1/take-out", &[], body.into()).await.unwrap();
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        for job in &jobs {
            let end = fixture.customer.wait_for_end(job, LIMIT).await;
            assert_eq!(end.map(|status| status.state), Some(JobState::Finished));
        }
        for worker in &workers {
            fixture.deployment.start_agent(worker).unwrap();
        }
        fixture.operator.return_to_service(&data_centre).await.unwrap();
        fixture.wait_for_new_owner(&data_centre, epoch + 1).await;
        jobs.push(fixture.submit(1, 8, 500).await);
        fixture.wait_until_finished(&jobs).await;
    }

    // Guards against an agent that keeps its tasks alive after it has been unreachable for so long that the
    // tasks may have been started elsewhere.
    isolated_agent_ends_its_tasks => {
        let platform = Platform::start(1).unwrap();
        platform.add_worker("w", WorkerSize::LARGE);
        let reserved = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let listen = reserved.local_addr().unwrap();
        let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let entries = vec![unused.local_addr().unwrap()];
        drop((reserved, unused));
        let client = Client::new("test", Secret::new("")).unwrap();
        let worker = HttpWorker::new(client, platform.address(), "w");
        let task = TaskMetadata {
            job: "job-1".into(),
            attempt: Attempt { epoch: 1, sequence: 1 },
            member: 0,
            customer: CUSTOMER.into(),
            borrowed: true,
            agents: vec![listen],
            cores: 1,
            memory_mb: 1,
            accelerators: 1,
            payload: "{\"work_ms\":3600000}".into(),
            checkpoint_ms: 0,
        };
        worker.start(&task, Duration::from_secs(60)).await.unwrap();
        let settings = AgentSettings {
            common: common_settings("agent-w", listen, &platform),
            worker: "w".into(),
            rack: "r1".into(),
            worker_address: platform.address(),
            cores: 128,
            memory_mb: 256_000,
            accelerators: 8,
            entries,
            far_entries: Vec::new(),
        };
        // Longer than the gang lease, for which the tasks run without any renewal.
        let isolated_after = Duration::from_secs(14);
        let options = NodeOptions::new().with_isolated_after(isolated_after);
        let agent = Agent::bind(settings, options).await.unwrap();
        let started_at = Instant::now();
        compio::runtime::spawn(agent.run(Drain::new())).detach();
        let ended = || platform.events().iter().any(|event| event.kind != EventKind::Started);
        while !ended() {
            assert!(started_at.elapsed() < LIMIT, "the task has not ended");
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        // The agent must have kept the task alive until this time.
        assert!(started_at.elapsed() >= isolated_after);
    }

    // Guards against jobs that wait indefinitely for an unresponsive data centre that was not declared lost.
    jobs_of_an_unresponsive_data_centre_lose_their_home => {
        let platform = Platform::start(1).unwrap();
        let settings = EntrySettings {
            common: common_settings("entry-0", "127.0.0.1:0".parse().unwrap(), &platform),
            bootstrap_operator_digest: Some(token_digest(BOOTSTRAP_TOKEN)),
            peers: Vec::new(),
        };
        let options = NodeOptions::new().with_unreachable_after(Duration::from_secs(3));
        let entry = Entry::bind(settings, options).await.unwrap();
        let address = entry.local_address();
        compio::runtime::spawn(entry.run(Drain::new())).detach();
        let client = Client::new("test", Secret::new("")).unwrap();
        let send = async |method, path: &str, token: &str, body: Vec<u8>| {
            let token = format!("Bearer {token}");
            let headers = [("authorization", &*token)];
            client.request(method, address, path, &headers, body.into(), LIMIT).await.unwrap()
        };
        let examples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/kurzeme");
        let plan = DeploymentPlan::new(&[examples], 1).unwrap();
        let publish = PublishRequest { based_on: 0, configuration: plan.configuration.clone() };
        let publish = serde_json::to_vec(&publish).unwrap();
        let started_at = Instant::now();
        while send(Method::POST, "/v1/publish", BOOTSTRAP_TOKEN, publish.clone()).await.status != 200 {
            assert!(started_at.elapsed() < LIMIT, "the configuration was not published");
            compio::time::sleep(Duration::from_millis(100)).await;
        }
        let job = serde_json::to_vec(&job_request(&plan.configuration, 1, 1, 100)).unwrap();
        let token = example_token(CUSTOMER);
        let submitted = loop {
            let answer = send(Method::POST, "/v1/jobs", &token, job.clone()).await;
            if answer.status == 200 {
                break serde_json::from_slice::<Submitted>(&answer.body).unwrap();
            }
            assert!(started_at.elapsed() < LIMIT, "{:?}", answer.body);
            compio::time::sleep(Duration::from_millis(100)).await;
        };
        assert_ne!(&*submitted.data_centre, UNASSIGNED);
        let path = format!("/v1/jobs/{}", submitted.job);
        loop {
            let answer = send(Method::GET, &path, &token, Vec::new()).await;
            let status: JobStatus = serde_json::from_slice(&answer.body).unwrap();
            if &*status.data_centre == UNASSIGNED {
                break;
            }
            assert!(started_at.elapsed() < LIMIT, "{status:?}");
            compio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
