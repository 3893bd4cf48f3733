//! Deployments of a given size with a synthetic configuration.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::SEED;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_base::secret::token_digest;
use nutmegwalk_config::Adjacency;
use nutmegwalk_config::Configuration;
use nutmegwalk_config::Customer;
use nutmegwalk_config::DataCentre;
use nutmegwalk_config::Operator;
use nutmegwalk_config::Rack;
use nutmegwalk_config::Service;
use nutmegwalk_config::WorkerShape;
use nutmegwalk_fleet::Policy;
use nutmegwalk_node::jobs::JobRequest;
use nutmegwalk_scenarios::deployment::ApiClient;
use nutmegwalk_scenarios::deployment::BOOTSTRAP_TOKEN;
use nutmegwalk_scenarios::deployment::Deployment;
use nutmegwalk_scenarios::deployment::DeploymentPlan;

/// Timeout for a state that a measurement waits for.
const STATE_TIMEOUT: Duration = Duration::from_secs(60);
/// Size of each worker.
pub(crate) const WORKER: WorkerShape = WorkerShape {
    cores: 128,
    memory_mb: 262_144,
    accelerators: 8,
};
/// Size of each task.
pub(crate) const TASK: WorkerShape = WorkerShape {
    cores: 1,
    memory_mb: 1024,
    accelerators: 1,
};
/// Service of all jobs and calls.
pub(crate) const SERVICE: &str = "svc";

/// Running deployment with clients for its operator and for its only customer.
pub(crate) struct Bench {
    pub(crate) deployment: Deployment,
    pub(crate) operator: ApiClient,
    pub(crate) customer: ApiClient,
    weight: u32,
    version: u64,
}

/// Returns a configuration of data centres with one rack each. Names are short because Linux truncates
/// thread names to 15 bytes.
pub(crate) fn configuration(data_centres: &[(&str, u32)]) -> Configuration {
    let data_centre = |&(name, workers): &(&str, u32)| {
        let rack = Rack {
            workers,
            shape: WORKER,
        };
        let content = DataCentre {
            region: format!("region-{name}").into(),
            in_service: true,
            racks: BTreeMap::from([("r0".into(), rack)]),
        };
        (name.into(), content)
    };
    let customer = Customer {
        token_digest: token_digest("customer-token"),
        calls_per_second: 100_000,
        weight: 1,
        guarantees: BTreeMap::new(),
    };
    let operator = Operator {
        token_digest: token_digest("operator-token"),
    };
    let service = Service {
        slots: 8,
        connections: 64,
        deadline_ms: 5000,
    };
    Configuration {
        data_centres: data_centres.iter().map(data_centre).collect(),
        services: BTreeMap::from([(SERVICE.into(), service)]),
        customers: BTreeMap::from([("team".into(), customer)]),
        operators: BTreeMap::from([("anna".into(), operator)]),
        ..Configuration::default()
    }
}

/// Returns a job of `tasks` tasks that each work for `work`.
pub(crate) fn job(tasks: u32, work: Duration) -> JobRequest {
    JobRequest {
        service: SERVICE.into(),
        tasks,
        shape: TASK,
        adjacency: Adjacency::DataCentre,
        guarantee: None,
        declared_run_ms: None,
        payload: format!("{{\"work_ms\":{}}}", work.as_millis()).into(),
    }
}

impl Bench {
    /// Starts a deployment and waits until the owners of its data centres report all workers.
    pub(crate) async fn start(data_centres: &[(&str, u32)], entries: usize) -> Result<Self> {
        let mut bench = Self::start_unready(data_centres, entries)?;
        let workers: u32 = data_centres.iter().map(|(_, workers)| workers).sum();
        bench.publish_first().await?;
        bench.wait_for_workers(workers).await?;
        Ok(bench)
    }

    /// Starts a deployment without publishing its configuration.
    pub(crate) fn start_unready(data_centres: &[(&str, u32)], entries: usize) -> Result<Self> {
        Self::from_configuration(configuration(data_centres), entries)
    }

    /// Starts a deployment for `configuration` without publishing it.
    pub(crate) fn from_configuration(configuration: Configuration, entries: usize) -> Result<Self> {
        let deployment = Deployment::start(DeploymentPlan {
            configuration,
            entries,
            policy: Policy::Guaranteed,
            service_time: Duration::from_millis(5),
            seed: SEED,
        })?;
        Ok(Self {
            operator: deployment.api("operator-token")?,
            customer: deployment.api("customer-token")?,
            deployment,
            weight: 1,
            version: 1,
        })
    }

    /// Publishes the first version.
    pub(crate) async fn publish_first(&mut self) -> Result<()> {
        let started = Instant::now();
        let bootstrap = self.deployment.api(BOOTSTRAP_TOKEN)?;
        let configuration = self.deployment.plan().configuration.clone();
        while let Err(error) = bootstrap.publish(&configuration, 0).await {
            if started.elapsed() > STATE_TIMEOUT {
                return Err(error);
            }
            compio::time::sleep(Duration::from_millis(100)).await;
        }
        Ok(())
    }

    /// Waits until the owners together report at least this many workers.
    pub(crate) async fn wait_for_workers(&self, workers: u32) -> Result<()> {
        let reached = self.operator.wait_for_status(STATE_TIMEOUT, |status| {
            let summaries = status.data_centres.iter();
            let summaries = summaries.filter_map(|one| one.summary.as_ref());
            status.version > 0 && summaries.map(|summary| summary.workers).sum::<u32>() >= workers
        });
        self.require(reached.await.is_some(), "owners with all workers")
            .await
    }

    /// Waits until at least this many jobs run.
    pub(crate) async fn wait_for_running(&self, jobs: u32) -> Result<()> {
        let running = self.operator.wait_for_status(STATE_TIMEOUT, |status| {
            let summaries = status.data_centres.iter();
            let summaries = summaries.filter_map(|one| one.summary.as_ref());
            summaries.map(|summary| summary.running_jobs).sum::<u32>() >= jobs
        });
        self.require(running.await.is_some(), &format!("{jobs} running jobs"))
            .await
    }

    /// Returns an error with the last status unless a state was reached.
    async fn require(&self, is_reached: bool, what: &str) -> Result<()> {
        if is_reached {
            return Ok(());
        }
        let last = self.operator.status().await;
        let detail = format!("timeout while waiting for {what}: {last:?}");
        Err(Error::new(ErrorKind::Internal, detail))
    }

    /// Publishes a small change and returns its version.
    pub(crate) async fn publish_change(&mut self) -> Result<u64> {
        self.weight += 1;
        let mut configuration = self.deployment.plan().configuration.clone();
        if let Some(customer) = configuration.customers.get_mut("team") {
            customer.weight = self.weight;
        }
        let published = self.operator.publish(&configuration, self.version).await?;
        self.version = published.version;
        Ok(published.version)
    }

    /// Submits jobs and returns their ids.
    pub(crate) async fn submit(&self, count: u32, request: &JobRequest) -> Result<Vec<JobId>> {
        let mut ids = Vec::new();
        for _ in 0..count {
            ids.push(self.customer.submit(request).await?.job);
        }
        Ok(ids)
    }
}
