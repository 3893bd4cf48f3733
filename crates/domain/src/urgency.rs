//! Deadlines and slack of jobs.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::job::Job;
use crate::term::State;
use nutmegwalk_workload::JobSpec;
use nutmegwalk_workload::Occurrence;
use nutmegwalk_workload::QueuePolicy;
use nutmegwalk_workload::UnitId;

/// Time until a job expires, after which it is of no use to its submitter, as a multiple of the time until its
/// deadline.
const EXPIRY_FACTOR: f64 = 3.0;
/// Longest time that is distinguished. Estimates and policies may contain any number, and sums and multiples of times
/// must not overflow.
const MAX_TIME: Duration = Duration::from_secs(100 * 365 * 24 * 3_600);

/// Expected run times and remaining times of a job.
pub(crate) struct Urgency {
    /// Expected run time of a task of each step on a healthy worker.
    pub(crate) run_times: Vec<Duration>,
    /// Expected run time of the longest chain of steps after each step.
    pub(crate) successors_run_time: Vec<Duration>,
    /// Time until the deadline of each occurrence; zero once it has passed.
    pub(crate) time_to_deadline: BTreeMap<Occurrence, Duration>,
    /// Time until each occurrence expires.
    pub(crate) time_to_expiry: BTreeMap<Occurrence, Duration>,
}

impl Urgency {
    pub(crate) fn new(
        state: &State,
        job: &Job,
        policy: &QueuePolicy,
        unix_ms: u64,
        now: Instant,
    ) -> Self {
        let spec = &job.record.spec;
        let run_times: Vec<Duration> = spec
            .steps
            .iter()
            .map(|step| {
                state
                    .run_times
                    .expected(&job.record.queue, step.estimate_ms)
                    .min(MAX_TIME)
            })
            .collect();
        let successors_run_time = successor_chains(spec, &run_times);
        let chain = longest_chain(spec, &run_times, state, &policy.service);
        let objective =
            scaled(chain, policy.stretch) + Duration::from_millis(policy.completion_slack_ms);
        let expiry = scaled(objective, EXPIRY_FACTOR).max(objective);
        let mut time_to_deadline = BTreeMap::new();
        let mut time_to_expiry = BTreeMap::new();
        let ready = job.readiness.steps().map(|(occurrence, _, _)| occurrence);
        let mut occurrences: Vec<Occurrence> = ready
            .chain(job.units.keys().map(|unit| unit.occurrence))
            .collect();
        occurrences.sort_unstable();
        occurrences.dedup();
        for occurrence in occurrences {
            let age = match &spec.repeat {
                Some(repeat) => {
                    Duration::from_millis(unix_ms.saturating_sub(repeat.due_unix_ms(occurrence)))
                }
                None => now.saturating_duration_since(job.accepted_at),
            };
            time_to_deadline.insert(occurrence, objective.saturating_sub(age));
            time_to_expiry.insert(occurrence, expiry.saturating_sub(age));
        }
        Self {
            run_times,
            successors_run_time,
            time_to_deadline,
            time_to_expiry,
        }
    }

    /// Returns the time by which the job can be delayed if a unit still needs `remaining`.
    pub(crate) fn slack(&self, unit: &UnitId, remaining: Duration) -> Duration {
        let time_to_deadline = self
            .time_to_deadline
            .get(&unit.occurrence)
            .copied()
            .unwrap_or_default();
        time_to_deadline.saturating_sub(remaining + self.successors_run_time[unit.step as usize])
    }
}

/// Returns the expected run time of the longest chain of steps of a job. A step whose tasks do not fit into a
/// quarter of its service's capacity is counted as running in waves.
fn longest_chain(spec: &JobSpec, run_times: &[Duration], state: &State, service: &str) -> Duration {
    let wave_times: Vec<Duration> = spec
        .steps
        .iter()
        .zip(run_times)
        .map(|(step, run_time)| {
            let demand = step.allocated_resources();
            let parallel_tasks = state.task_capacity.count(&state.workers, service, demand);
            scaled(*run_time, waves(step.tasks, parallel_tasks))
        })
        .collect();
    let successors_run_time = successor_chains(spec, &wave_times);
    (0..spec.steps.len())
        .map(|step| wave_times[step] + successors_run_time[step])
        .max()
        .unwrap_or_default()
}

/// Returns a multiple of a time, at most [`MAX_TIME`].
fn scaled(time: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(time.as_secs_f64() * factor)
        .map_or(MAX_TIME, |time| time.min(MAX_TIME))
}

/// Returns the number of waves in which tasks run on a quarter of the capacity, where `parallel_tasks` fit on all
/// workers at the same time.
fn waves(tasks: u32, parallel_tasks: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "tasks of a deployment")]
    let quarter = parallel_tasks.max(1) as f64 / 4.0;
    (f64::from(tasks) / quarter).max(1.0)
}

/// Returns the expected run time of the longest chain of steps after each step.
fn successor_chains(spec: &JobSpec, run_times: &[Duration]) -> Vec<Duration> {
    let mut successors_run_time = vec![Duration::ZERO; spec.steps.len()];
    for step in (0..spec.steps.len()).rev() {
        let chain = run_times[step] + successors_run_time[step];
        for predecessor in &spec.steps[step].after {
            let predecessor = *predecessor as usize;
            successors_run_time[predecessor] = successors_run_time[predecessor].max(chain);
        }
    }
    successors_run_time
}
