//! Sample run of `nutmegwalk dev`: a publish, jobs, calls, a take-out and a return.

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

/// Timeout for each state that the run waits for; far longer than a busy machine needs.
const STATE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time after a take-out from which no task may start in the data centre.
const START_BOUND: Duration = Duration::from_secs(5);
/// Longest time that a gang may run partially: the gang lease and the steps around it.
const PARTIAL_RUN_BOUND: Duration = Duration::from_secs(11);
/// Time for which a data centre is out of service in the sample run.
const TAKE_OUT_DURATION: Duration = Duration::from_secs(8);
/// Number of borrowed jobs that each customer submits.
const JOBS_PER_CUSTOMER: usize = 12;
/// Number of calls that each customer makes.
const CALLS_PER_CUSTOMER: usize = 25;

/// Returns the token of a customer or operator in the example configurations.
#[must_use]
pub fn example_token(name: &str) -> String {
    format!("example-{name}-token")
}

/// Job of the sample load.
struct SampleJob {
    id: JobId,
    customer: CustomerId,
    guaranteed: bool,
    accelerators: u32,
    /// Time of the acceptance on the clock of the platform's events.
    accepted_at: Duration,
}

/// Numbers of calls without the expected answer.
#[derive(Default)]
struct CallCounts {
    /// Calls with an error, or an answer with another status than 200.
    failed: u64,
    /// Answers with another body than that of the call.
    wrong: u64,
}

/// Runs the sample load on a new deployment and returns its measures.
///
/// # Errors
/// `internal` naming the state that was not reached in time; the errors of the entry hosts.
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
        .ok_or_else(|| {
            Error::new(
                ErrorKind::InvalidConfiguration,
                "the configuration has no data centre",
            )
        })?;
    let out_at = deployment.platform.now();
    let taken_out = operator.take_out(&data_centre).await?;
    let mut fragmentation = Vec::new();
    let mut violations = 0;
    let until = Instant::now() + TAKE_OUT_DURATION;
    while Instant::now() < until {
        let status = operator.status().await?;
        violations += record_status(&status, &mut fragmentation);
        compio::time::sleep(Duration::from_millis(250)).await;
    }
    let returned_at = deployment.platform.now();
    operator.return_to_service(&data_centre).await?;

    let (completion, unfinished) = wait_for_jobs(deployment, &jobs).await?;
    violations += record_status(&operator.status().await?, &mut fragmentation);
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
    let (mut completion_s, mut guaranteed_s) =
        (completion.all_s, guaranteed_start_delays(&events, &jobs));
    measures.completion_p50_s = percentile(&mut completion_s, 0.5);
    measures.completion_p99_s = percentile(&mut completion_s, 0.99);
    measures.figures.insert("jobs".into(), jobs.len() as f64);
    measures.figures.insert(
        "guaranteed_start_max_s".into(),
        percentile(&mut guaranteed_s, 1.0),
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

/// Publishes the configuration of the plan and returns a client with the token of its first operator.
/// Failed publishes are retried until the timeout, unless the configuration is invalid.
pub(crate) async fn publish(deployment: &Deployment) -> Result<ApiClient> {
    let configuration = &deployment.plan().configuration;
    let started = Instant::now();
    let bootstrap = deployment.api(BOOTSTRAP_TOKEN)?;
    loop {
        match bootstrap.publish(configuration, 0).await {
            Ok(_) => break,
            Err(error)
                if started.elapsed() < STATE_TIMEOUT
                    && error.kind != ErrorKind::InvalidConfiguration =>
            {
                info!("retrying the first publish: {error}");
                compio::time::sleep(Duration::from_millis(100)).await;
            }
            Err(error) => return Err(error),
        }
    }
    let operator = configuration.operators.keys().next().ok_or_else(|| {
        Error::new(
            ErrorKind::InvalidConfiguration,
            "the configuration has no operator",
        )
    })?;
    deployment.api(&example_token(operator))
}

/// Waits until the owners together report all workers, and at least as many processes as workers report, all of
/// them with a published configuration.
pub(crate) async fn wait_until_ready(deployment: &Deployment, operator: &ApiClient) -> Result<()> {
    let workers = deployment.workers().len();
    let ready = |status: &Status| {
        let reported: u32 = status
            .data_centres
            .iter()
            .filter_map(|data_centre| data_centre.summary.as_ref())
            .map(|summary| summary.workers)
            .sum();
        status.oldest_version >= 1
            && status.processes.len() >= workers
            && reported as usize == workers
    };
    if operator
        .wait_for_status(STATE_TIMEOUT, ready)
        .await
        .is_some()
    {
        return Ok(());
    }
    let last = operator.status().await.map(|status| format!("{status:?}"));
    Err(Error::new(
        ErrorKind::Internal,
        format!("the deployment did not become ready: {last:?}"),
    ))
}

/// Returns the first service of a configuration.
pub(crate) fn service_of(configuration: &Configuration) -> Result<ServiceId> {
    let service = configuration.services.keys().next().cloned();
    service.ok_or_else(|| {
        Error::new(
            ErrorKind::InvalidConfiguration,
            "the configuration has no service",
        )
    })
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

/// Makes all calls of all customers concurrently. Every fifth call is marked as never to be repeated and sent
/// twice.
async fn make_calls(deployment: &Deployment) -> Result<CallCounts> {
    let configuration = &deployment.plan().configuration;
    let service = service_of(configuration)?;
    let mut calls = Vec::new();
    for customer in configuration.customers.keys() {
        for number in 0..CALLS_PER_CUSTOMER {
            let api = deployment
                .api(&example_token(customer))?
                .with_first_entry(number);
            let second_api = api.clone().with_first_entry(1);
            let (service, body) = (service.clone(), format!("{customer}/{number}"));
            let never_repeat = number % 5 == 0;
            calls.push(async move {
                let now = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default();
                let key = format!("{}-{}", now.as_millis(), body.replace('/', "-"));
                let headers: Vec<(&str, &str)> = if never_repeat {
                    vec![("nutmegwalk-repeat", "never"), ("nutmegwalk-key", &key)]
                } else {
                    Vec::new()
                };
                let first = api.call(&service, &headers, body.clone().into()).await;
                let second = match never_repeat {
                    true => Some(
                        second_api
                            .call(&service, &headers, body.clone().into())
                            .await,
                    ),
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

/// Returns the number of executions beyond the first of each call marked as never to be repeated.
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

/// Appends the fragmentation ratios of a status to `fragmentation` and returns the status's number of violations.
fn record_status(status: &Status, fragmentation: &mut Vec<f64>) -> u64 {
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

/// Completion times of the finished jobs, from acceptance to end, in seconds.
struct CompletionTimes {
    all_s: Vec<f64>,
}

async fn wait_for_jobs(
    deployment: &Deployment,
    jobs: &[SampleJob],
) -> Result<(CompletionTimes, u64)> {
    let mut completion = CompletionTimes { all_s: Vec::new() };
    let mut unfinished = 0;
    let deadline = Instant::now() + STATE_TIMEOUT;
    for job in jobs {
        let api = deployment.api(&example_token(&job.customer))?;
        let remaining = deadline
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(100));
        match api.wait_for_end(&job.id, remaining).await {
            Some(status) if status.state == JobState::Finished => {
                let ended_ms = status.ended_unix_ms.unwrap_or(status.accepted_unix_ms);
                let time = Duration::from_millis(ended_ms.saturating_sub(status.accepted_unix_ms));
                completion.all_s.push(time.as_secs_f64());
            }
            other => {
                info!(job = &*job.id; "the job did not finish: {other:?}");
                unfinished += 1;
            }
        }
    }
    Ok((completion, unfinished))
}

/// Returns the delay from the acceptance of each guaranteed job to the start of its first task, in seconds.
fn guaranteed_start_delays(events: &[crate::platform::Event], jobs: &[SampleJob]) -> Vec<f64> {
    let starts = jobs.iter().filter(|job| job.guaranteed).filter_map(|job| {
        let first = events.iter().find(|event| event.job == job.id)?;
        Some(first.at.saturating_sub(job.accepted_at).as_secs_f64())
    });
    starts.collect()
}

/// Returns the number of accelerators in all data centres except one.
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

/// Returns the mean of the values, or zero without values.
pub(crate) fn mean(values: &[f64]) -> f64 {
    if values.is_empty() {
        0.0
    } else {
        values.iter().sum::<f64>() / values.len() as f64
    }
}
