//! How soon a job should complete.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::job::Job;
use crate::term::State;
use nutmegwalk_workload::JobSpec;
use nutmegwalk_workload::Occurrence;
use nutmegwalk_workload::QueuePolicy;
use nutmegwalk_workload::UnitId;

/// A job is of no use to its submitter after this many times the time in which it should complete.
const LATE_FACTOR: f64 = 3.0;

/// How soon a job should complete.
pub(crate) struct Urgency {
    /// Expected run time of each step on a sound worker.
    pub(crate) run_times: Vec<Duration>,
    /// Longest chain of work that comes after each step.
    pub(crate) after: Vec<Duration>,
    /// Time until each occurrence should complete.
    pub(crate) due_in: BTreeMap<Occurrence, Duration>,
    /// Time until a job that is late is worth nothing.
    pub(crate) worthless_in: BTreeMap<Occurrence, Duration>,
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
            })
            .collect();
        let after = chains_after(spec, &run_times);
        let chain = longest_chain(spec, &run_times, state, &policy.service);
        let objective =
            chain.mul_f64(policy.stretch) + Duration::from_millis(policy.completion_slack_ms);
        let worthless = objective.mul_f64(LATE_FACTOR);
        let mut due_in = BTreeMap::new();
        let mut worthless_in = BTreeMap::new();
        let open: Vec<Occurrence> = job.units.keys().map(|unit| unit.occurrence).collect();
        for occurrence in open {
            let age = match &spec.repeat {
                Some(repeat) => {
                    Duration::from_millis(unix_ms.saturating_sub(repeat.due_unix_ms(occurrence)))
                }
                None => now.saturating_duration_since(job.accepted_at),
            };
            due_in.insert(occurrence, objective.saturating_sub(age));
            worthless_in.insert(occurrence, worthless.saturating_sub(age));
        }
        Self {
            run_times,
            after,
            due_in,
            worthless_in,
        }
    }

    pub(crate) fn slack(&self, unit: &UnitId, remaining: Duration) -> Duration {
        let due_in = self
            .due_in
            .get(&unit.occurrence)
            .copied()
            .unwrap_or_default();
        due_in.saturating_sub(remaining + self.after[unit.step as usize])
    }
}

/// Returns the longest chain of work of a job, in which a step that is wider than a quarter of its
/// service's room counts in waves.
fn longest_chain(spec: &JobSpec, run_times: &[Duration], state: &State, service: &str) -> Duration {
    let in_waves: Vec<Duration> = spec
        .steps
        .iter()
        .zip(run_times)
        .map(|(step, run_time)| {
            let at_once: u64 = state
                .workers
                .values()
                .filter(|worker| &*worker.announcement.service == service)
                .map(|worker| step.booked().count_fitting_in(worker.announcement.capacity))
                .sum();
            run_time.mul_f64(waves(step.tasks, at_once))
        })
        .collect();
    let after = chains_after(spec, &in_waves);
    (0..spec.steps.len())
        .map(|step| in_waves[step] + after[step])
        .max()
        .unwrap_or_default()
}

/// Returns in how many waves tasks run that take a quarter of the room, where `at_once` fit on all workers.
fn waves(tasks: u32, at_once: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "tasks of a deployment")]
    let quarter = at_once.max(1) as f64 / 4.0;
    (f64::from(tasks) / quarter).max(1.0)
}

/// Returns the longest chain of work after each step.
fn chains_after(spec: &JobSpec, run_times: &[Duration]) -> Vec<Duration> {
    let mut after = vec![Duration::ZERO; spec.steps.len()];
    for step in (0..spec.steps.len()).rev() {
        let chain = run_times[step] + after[step];
        for before in &spec.steps[step].after {
            let before = *before as usize;
            after[before] = after[before].max(chain);
        }
    }
    after
}
