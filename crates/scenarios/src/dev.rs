//! The sample run of `nutmegwalk dev`: publish, jobs, calls, a take-out and a return.

use std::collections::BTreeMap;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use futures_util::future::join_all;
use log::info;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::deployment::ApiClient;
use crate::deployment::BOOTSTRAP_TOKEN;
use crate::deployment::Deployment;
use crate::deployment::Execution;
use crate::measures::Measures;
use crate::measures::accelerator_seconds;
use crate::measures::percentile;
use crate::measures::starts_in;
use crate::platform::longest_partial_run;
use crate::platform::overlapping_attempts;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_base::ServiceId;
use nutmegwalk_config::Adjacency;
use nutmegwalk_config::Configuration;
use nutmegwalk_config::WorkerShape;
use nutmegwalk_node::api::Status;
use nutmegwalk_node::jobs::JobRequest;
use nutmegwalk_node::jobs::JobState;

/// Time for each state that the run waits for; far longer than it takes on a busy machine.
const PATIENCE: Duration = Duration::from_secs(120);
/// Time after a take-out from which no task may start in the data centre.
const START_BOUND: Duration = Duration::from_secs(5);
/// Gang lease and the steps around it: the longest time that a part of a gang may run alone.
const PARTIAL_RUN_BOUND: Duration = Duration::from_secs(11);
/// Time for which a data centre is out in the sample run.
const TAKE_OUT_TIME: Duration = Duration::from_secs(8);
/// Borrowed jobs that each customer submits.
const JOBS_PER_CUSTOMER: usize = 12;
/// Calls that each customer makes.
const CALLS_PER_CUSTOMER: usize = 25;

/// Returns the token of a customer or operator of the examples.
#[must_use]
pub fn example_token(name: &str) -> String {
    format!("example-{name}-token")
}

/// A job of the sample load.
struct SampleJob {
    id: JobId,
    customer: CustomerId,
    guaranteed: bool,
    accelerators: u32,
    /// Time of the acceptance on the clock of the platform's events.
    accepted_at: Duration,
}

/// What the calls of the sample load showed.
#[derive(Default)]
struct CallCounts {
    failed: u64,
    wrong: u64,
}

/// Runs the sample load on a fresh deployment and returns its measures.
///
/// # Errors
/// `internal` naming the state that was not reached in time; errors of the entry hosts.
pub async fn run(deployment: &Deployment) -> Result<Measures> {
    let plan = deployment.plan();
    let configuration = &plan.configuration;
    let operator = publish(deployment).await?;
    wait_until_ready(deployment, &operator).await?;
    info!("all roles are ready");

    let mut random = StdRng::seed_from_u64(plan.seed);
    let mut jobs = submit_borrowed(deployment, &mut random).await?;
    compio::time::sleep(Duration::from_millis(500)).await;
    jobs.extend(submit_guaranteed(deployment).await?);
    let calls = make_calls(deployment).await?;

    let data_centre: DataCentreId = configuration
        .data_centres
        .keys()
        .next()
        .cloned()
        .ok_or_else(|| Error::new(ErrorKind::InvalidConfiguration, "there is no data centre"))?;
    let out_at = deployment.platform.now();
    let taken_out = operator.take_out(&data_centre).await?;
    let mut fragmentation = Vec::new();
    let mut violations = 0;
    let until = Instant::now() + TAKE_OUT_TIME;
    while Instant::now() < until {
        let status = operator.status().await?;
        violations += sample(&status, &mut fragmentation);
        compio::time::sleep(Duration::from_millis(250)).await;
    }
    let returned_at = deployment.platform.now();
    operator.return_to_service(&data_centre).await?;

    let (completion, unfinished) = wait_for_jobs(deployment, &jobs).await?;
    violations += sample(&operator.status().await?, &mut fragmentation);
    let audit = operator.audit().await?;

    let events = deployment.platform.events();
    let accelerators: BTreeMap<JobId, u32> = jobs
        .iter()
        .map(|job| (job.id.clone(), job.accelerators))
        .collect();
    let remaining = accelerators_outside(configuration, &data_centre);
    let window = returned_at.saturating_sub(out_at);
    let possible = window.as_secs_f64() * f64::from(remaining);
    let work = accelerator_seconds(&events, &accelerators, out_at, returned_at);
    let mut measures = Measures {
        scenario: "dev".into(),
        seed: plan.seed,
        fragmentation_ratio: mean(&fragmentation),
        work_during_take_out_ratio: work / possible,
        ..Measures::default()
    };
    let (mut all, mut urgent) = (completion.all, urgent_starts(&events, &jobs));
    measures.completion_p50_s = percentile(&mut all, 0.5);
    measures.completion_p99_s = percentile(&mut all, 0.99);
    measures.figures.insert("jobs".into(), jobs.len() as f64);
    measures.figures.insert(
        "guaranteed_start_max_s".into(),
        percentile(&mut urgent, 1.0),
    );
    measures
        .figures
        .insert("audit_records".into(), audit.len() as f64);
    let invariants = &mut measures.invariants;
    invariants.insert("guarantees_reclaimable", violations);
    invariants.insert(
        "gang_whole",
        u64::from(longest_partial_run(&events, deployment.platform.now()) > PARTIAL_RUN_BOUND),
    );
    invariants.insert("job_runs_once", overlapping_attempts(&events).len() as u64);
    invariants.insert(
        "no_start_after_take_out",
        starts_in(&events, &data_centre, out_at + START_BOUND, returned_at),
    );
    invariants.insert("take_out_confirmed", taken_out.unconfirmed.len() as u64);
    invariants.insert("jobs_finish", unfinished);
    invariants.insert("calls_answered", calls.failed);
    invariants.insert("answers_are_the_callers_own", calls.wrong);
    invariants.insert("never_repeated_runs_once", repeated_executions(deployment));
    invariants.insert("audit_complete", u64::from(audit.len() != 3));
    Ok(measures)
}

/// Publishes the plan's configuration and returns a client with the token of its first operator.
pub(crate) async fn publish(deployment: &Deployment) -> Result<ApiClient> {
    let configuration = &deployment.plan().configuration;
    let started = Instant::now();
    let bootstrap = deployment.api(BOOTSTRAP_TOKEN)?;
    loop {
        match bootstrap.publish(configuration, 0).await {
            Ok(_) => break,
            Err(error)
                if started.elapsed() < PATIENCE
                    && error.kind != ErrorKind::InvalidConfiguration =>
            {
                info!("the first publish is repeated: {error}");
                compio::time::sleep(Duration::from_millis(100)).await;
            }
            Err(error) => return Err(error),
        }
    }
    let operator = configuration
        .operators
        .keys()
        .next()
        .ok_or_else(|| Error::new(ErrorKind::InvalidConfiguration, "there is no operator"))?;
    deployment.api(&example_token(operator))
}

/// Waits until each data centre has an owner that knows all workers and each agent has the configuration.
pub(crate) async fn wait_until_ready(deployment: &Deployment, operator: &ApiClient) -> Result<()> {
    let workers = deployment.sites().len();
    let ready = |status: &Status| {
        let known: u32 = status
            .data_centres
            .iter()
            .filter_map(|data_centre| data_centre.summary.as_ref())
            .map(|summary| summary.workers)
            .sum();
        status.oldest_version >= 1 && status.processes.len() >= workers && known as usize == workers
    };
    if operator.wait_for_status(PATIENCE, ready).await.is_some() {
        return Ok(());
    }
    let last = operator.status().await.map(|status| format!("{status:?}"));
    Err(Error::new(
        ErrorKind::Internal,
        format!("the deployment did not become ready: {last:?}"),
    ))
}

pub(crate) fn service_of(configuration: &Configuration) -> Result<ServiceId> {
    let service = configuration.services.keys().next().cloned();
    service.ok_or_else(|| Error::new(ErrorKind::InvalidConfiguration, "there is no service"))
}

fn job_request(service: &ServiceId, tasks: u32, shape: WorkerShape, work_ms: u64) -> JobRequest {
    JobRequest {
        service: service.clone(),
        tasks,
        shape,
        adjacency: Adjacency::DataCentre,
        guarantee: None,
        declared_run_ms: Some(work_ms * 3),
        payload: format!("{{\"work_ms\":{work_ms}}}").into(),
    }
}

async fn submit_borrowed(deployment: &Deployment, random: &mut StdRng) -> Result<Vec<SampleJob>> {
    let configuration = &deployment.plan().configuration;
    let service = service_of(configuration)?;
    let mut jobs = Vec::new();
    for round in 0..JOBS_PER_CUSTOMER {
        for customer in configuration.customers.keys() {
            let api = deployment
                .api(&example_token(customer))?
                .with_first_entry(round);
            let tasks = [1, 1, 2, 2, 3][random.random_range(0..5)];
            let accelerators = [1, 2, 4, 8][random.random_range(0..4)];
            let shape = WorkerShape {
                cores: 4,
                memory_mb: 4096,
                accelerators,
            };
            let request = job_request(&service, tasks, shape, random.random_range(400..4000));
            let submitted = api.submit(&request).await?;
            jobs.push(SampleJob {
                id: submitted.job,
                customer: customer.clone(),
                guaranteed: false,
                accelerators,
                accepted_at: deployment.platform.now(),
            });
        }
    }
    Ok(jobs)
}

async fn submit_guaranteed(deployment: &Deployment) -> Result<Vec<SampleJob>> {
    let configuration = &deployment.plan().configuration;
    let service = service_of(configuration)?;
    let mut jobs = Vec::new();
    for (customer, content) in &configuration.customers {
        let api = deployment.api(&example_token(customer))?;
        for (name, guarantee) in &content.guarantees {
            let mut request = job_request(&service, guarantee.workers, guarantee.shape, 1500);
            request.guarantee = Some(name.clone());
            request.adjacency = guarantee.adjacency;
            let submitted = api.submit(&request).await?;
            jobs.push(SampleJob {
                id: submitted.job,
                customer: customer.clone(),
                guaranteed: true,
                accelerators: guarantee.shape.accelerators,
                accepted_at: deployment.platform.now(),
            });
        }
    }
    Ok(jobs)
}

/// Makes calls of each customer at once, every fifth marked as not to be repeated and sent twice.
async fn make_calls(deployment: &Deployment) -> Result<CallCounts> {
    let configuration = &deployment.plan().configuration;
    let service = service_of(configuration)?;
    let mut calls = Vec::new();
    for customer in configuration.customers.keys() {
        for number in 0..CALLS_PER_CUSTOMER {
            let api = deployment
                .api(&example_token(customer))?
                .with_first_entry(number);
            let other = api.clone().with_first_entry(1);
            let (service, body) = (service.clone(), format!("{customer}/{number}"));
            let once = number % 5 == 0;
            calls.push(async move {
                let now = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default();
                let key = format!("{}-{}", now.as_millis(), body.replace('/', "-"));
                let headers: Vec<(&str, &str)> = if once {
                    vec![("nutmegwalk-repeat", "never"), ("nutmegwalk-key", &key)]
                } else {
                    Vec::new()
                };
                let first = api.call(&service, &headers, body.clone().into()).await;
                let second = match once {
                    true => Some(other.call(&service, &headers, body.clone().into()).await),
                    false => None,
                };
                let answers = std::iter::once(first).chain(second);
                answers
                    .map(|answer| (body.clone(), answer))
                    .collect::<Vec<_>>()
            });
        }
    }
    let mut counts = CallCounts::default();
    for (body, answer) in join_all(calls).await.into_iter().flatten() {
        match answer {
            Ok(response) if response.status == 200 => {
                counts.wrong += u64::from(response.body != body.as_bytes())
            }
            Ok(response) => {
                info!(
                    "a call was answered with status {}: {:?}",
                    response.status, response.body
                );
                counts.failed += 1;
            }
            Err(error) => {
                info!("a call failed: {error}");
                counts.failed += 1;
            }
        }
    }
    Ok(counts)
}

/// Returns how many executions there were beyond the first of each call marked as not to be repeated.
fn repeated_executions(deployment: &Deployment) -> u64 {
    let executions = deployment
        .executions
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for Execution { body, .. } in executions.iter() {
        let number = body
            .rsplit('/')
            .next()
            .and_then(|number| number.parse::<usize>().ok());
        if number.is_some_and(|number| number.is_multiple_of(5)) {
            *counts.entry(body).or_default() += 1;
        }
    }
    counts.values().map(|count| count - 1).sum()
}

/// Adds the fragmentation ratios of a status and returns the violations that it shows.
fn sample(status: &Status, fragmentation: &mut Vec<f64>) -> u64 {
    let mut violations = 0;
    for summary in status
        .data_centres
        .iter()
        .filter_map(|data_centre| data_centre.summary.as_ref())
    {
        fragmentation.push(summary.fragmentation_ratio);
        violations += summary.violations.len() as u64;
        for violation in &summary.violations {
            info!("violation: {violation}");
        }
    }
    violations
}

struct Completion {
    all: Vec<f64>,
}

async fn wait_for_jobs(deployment: &Deployment, jobs: &[SampleJob]) -> Result<(Completion, u64)> {
    let mut completion = Completion { all: Vec::new() };
    let mut unfinished = 0;
    let deadline = Instant::now() + PATIENCE;
    for job in jobs {
        let api = deployment.api(&example_token(&job.customer))?;
        let left = deadline
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(100));
        match api.wait_for_end(&job.id, left).await {
            Some(status) if status.state == JobState::Finished => {
                let ended_ms = status.ended_unix_ms.unwrap_or(status.accepted_unix_ms);
                let time = Duration::from_millis(ended_ms.saturating_sub(status.accepted_unix_ms));
                completion.all.push(time.as_secs_f64());
            }
            other => {
                info!(job = &*job.id; "the job did not finish: {other:?}");
                unfinished += 1;
            }
        }
    }
    Ok((completion, unfinished))
}

/// Returns the times from the acceptance of each guaranteed job to the start of its first task.
fn urgent_starts(events: &[crate::platform::Event], jobs: &[SampleJob]) -> Vec<f64> {
    let starts = jobs.iter().filter(|job| job.guaranteed).filter_map(|job| {
        let first = events.iter().find(|event| event.job == job.id)?;
        Some(first.at.saturating_sub(job.accepted_at).as_secs_f64())
    });
    starts.collect()
}

fn accelerators_outside(configuration: &Configuration, data_centre: &str) -> u32 {
    let others = configuration
        .data_centres
        .iter()
        .filter(|(id, _)| &***id != data_centre);
    others
        .flat_map(|(_, site)| site.racks.values())
        .map(|rack| rack.workers * rack.shape.accelerators)
        .sum()
}

pub(crate) fn mean(values: &[f64]) -> f64 {
    if values.is_empty() {
        0.0
    } else {
        values.iter().sum::<f64>() / values.len() as f64
    }
}
