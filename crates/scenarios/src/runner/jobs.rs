//! The jobs of a scenario. They are planned from the seed and submitted under idempotency keys until they are
//! accepted or finally refused.

use std::rc::Rc;
use std::time::Duration;

use log::info;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::dev::service_of;
use crate::runner::GRACE_PERIOD;
use crate::runner::Run;
use crate::script::JobLoad;
use crate::script::Scenario;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_base::ServiceId;
use nutmegwalk_config::WorkerShape;
use nutmegwalk_node::jobs::JobRequest;

/// Delay before a job that was not accepted is submitted again.
const RESUBMIT_DELAY: Duration = Duration::from_millis(250);
/// Timeout of one submission, after which it is retried under the same key.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(6);

/// Job of the load.
#[derive(Clone, Debug)]
pub(crate) struct JobRun {
    pub(crate) customer: CustomerId,
    pub(crate) request: JobRequest,
    /// Time of the first submission, from the start of the load.
    pub(crate) arrival: Duration,
    /// Id of the job, once it is accepted.
    pub(crate) id: Option<JobId>,
    /// Time at which the accepted submission was sent, on the platform's clock.
    pub(crate) sent_at: Option<Duration>,
    /// Error of the final refusal.
    pub(crate) refusal: Option<Error>,
    /// Number of submissions that were not accepted.
    pub(crate) failed_submissions: u64,
    pub(crate) borrowed: bool,
}

/// Plans all jobs of a scenario in order of arrival.
pub(crate) fn plan(scenario: &Scenario, seed: u64) -> Result<Vec<JobRun>> {
    let mut jobs = Vec::new();
    if scenario.jobs.is_empty() {
        return Ok(jobs);
    }
    let service = service_of(&scenario.configuration)?;
    let customers: Vec<&CustomerId> = scenario.configuration.customers.keys().collect();
    for (group, load) in (0_u64..).zip(&scenario.jobs) {
        // Each group has its own random sequence, so that a change to one group does not affect the others.
        let mut random = StdRng::seed_from_u64(seed.wrapping_mul(1009).wrapping_add(group));
        let mut turn = customers.iter().cycle();
        for _ in 0..load.count {
            let next = turn.next().copied();
            let Some(customer) = load.customer.as_ref().or(next) else {
                return Err(Error::new(
                    ErrorKind::InvalidConfiguration,
                    "the configuration has no customer",
                ));
            };
            jobs.push(plan_job(load, customer, &service, &mut random));
        }
    }
    jobs.sort_by_key(|job| job.arrival);
    Ok(jobs)
}

fn plan_job(
    load: &JobLoad,
    customer: &CustomerId,
    service: &ServiceId,
    random: &mut StdRng,
) -> JobRun {
    let arrival_ms = load.at_ms + random.random_range(0..=load.over_ms);
    let work_ms = load.work_ms.sample(random);
    let mut payload = format!("{{\"work_ms\":{work_ms},\"fail\":{}", load.fails);
    if let Some(percent) = load.used_memory_percent {
        payload += &format!(",\"memory_mb\":{}", load.memory_mb * percent / 100);
    }
    payload.push('}');
    let saturate = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
    JobRun {
        customer: customer.clone(),
        request: JobRequest {
            service: service.clone(),
            tasks: saturate(load.tasks.sample(random)),
            shape: WorkerShape {
                cores: load.cores,
                memory_mb: load.memory_mb,
                accelerators: saturate(load.accelerators.sample(random)),
            },
            adjacency: load.adjacency,
            guarantee: load.guarantee.clone(),
            declared_run_ms: Some(work_ms * load.declared_percent.sample(random) / 100),
            payload: payload.into(),
        },
        arrival: Duration::from_millis(arrival_ms),
        id: None,
        sent_at: None,
        refusal: None,
        failed_submissions: 0,
        borrowed: load.guarantee.is_none(),
    }
}

impl Run {
    /// Submits each job at its arrival time.
    pub(crate) fn spawn_jobs(self: &Rc<Self>) {
        let count = self.jobs.borrow().len();
        for index in 0..count {
            let run = Rc::clone(self);
            compio::runtime::spawn(async move { run.submit(index).await }).detach();
        }
    }

    async fn submit(&self, index: usize) {
        let job = self.jobs.borrow()[index].clone();
        self.sleep_until(job.arrival).await;
        let key = format!("{}-{index}", self.seed);
        let mut turn = index;
        while !self.ended.get() && self.started.elapsed() < self.scenario.limit + GRACE_PERIOD {
            let Ok(api) = self.caller(&job.customer, turn) else {
                return;
            };
            let sent_at = self.deployment.borrow().platform.now();
            let submitted =
                compio::time::timeout(SUBMIT_TIMEOUT, api.submit_once(&key, &job.request)).await;
            let error = match submitted {
                Ok(Ok(submitted)) => {
                    let mut jobs = self.jobs.borrow_mut();
                    jobs[index].id = Some(submitted.job);
                    jobs[index].sent_at = Some(sent_at);
                    return;
                }
                Ok(Err(error)) => error,
                Err(_) => Error::new(ErrorKind::UnknownOutcome, "no answer in time"),
            };
            info!(job = index; "the submission was not accepted: {error}");
            let is_final = matches!(
                error.kind,
                ErrorKind::BadRequest
                    | ErrorKind::NeverFits
                    | ErrorKind::NotFound
                    | ErrorKind::KeyReused
            );
            {
                let mut jobs = self.jobs.borrow_mut();
                jobs[index].failed_submissions += 1;
                if is_final {
                    jobs[index].refusal = Some(error);
                    return;
                }
            }
            turn += 1;
            compio::time::sleep(RESUBMIT_DELAY).await;
        }
    }
}
