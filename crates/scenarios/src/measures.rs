//! Metrics and invariants of a run, and their calculation from the platform's event log.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::platform::Event;
use crate::platform::EventKind;
use nutmegwalk_base::JobId;

/// Name of each invariant with the number of its violations.
pub type Invariants = BTreeMap<&'static str, u64>;

/// Metrics and invariants of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measures {
    /// Name of the scenario.
    pub scenario: Box<str>,
    /// Seed of the load.
    pub seed: u64,
    /// Violations by invariant.
    pub invariants: Invariants,
    /// Median time from the acceptance of a job to its end, in seconds.
    pub completion_p50_s: f64,
    /// 99th percentile of that time, in seconds.
    pub completion_p99_s: f64,
    /// Mean fragmentation ratio of the data centres over the run.
    pub fragmentation_ratio: f64,
    /// Work done while a data centre was out of service, as a share of the capacity of the remaining accelerators.
    pub work_during_take_out_ratio: f64,
    /// Further metrics by name.
    #[serde(flatten)]
    pub figures: BTreeMap<Box<str>, f64>,
}

impl Measures {
    /// Returns the number of violations of all invariants.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.invariants.values().sum()
    }

    /// Returns all metrics with their names.
    #[must_use]
    pub fn all_metrics(&self) -> Vec<(Box<str>, f64)> {
        let fixed = [
            ("completion_p50_s", self.completion_p50_s),
            ("completion_p99_s", self.completion_p99_s),
            ("fragmentation_ratio", self.fragmentation_ratio),
            (
                "work_during_take_out_ratio",
                self.work_during_take_out_ratio,
            ),
        ];
        let fixed = fixed.map(|(name, value)| (name.into(), value));
        let others = self
            .figures
            .iter()
            .map(|(name, value)| (name.clone(), *value));
        fixed.into_iter().chain(others).collect()
    }

    /// Returns the metric with this name.
    #[must_use]
    pub fn metric(&self, name: &str) -> Option<f64> {
        match name {
            "completion_p50_s" => Some(self.completion_p50_s),
            "completion_p99_s" => Some(self.completion_p99_s),
            "fragmentation_ratio" => Some(self.fragmentation_ratio),
            "work_during_take_out_ratio" => Some(self.work_during_take_out_ratio),
            _ => self.figures.get(name).copied(),
        }
    }
}

/// Sorts the values and returns the smallest one that at least `share` of them do not exceed; zero without
/// values.
#[must_use]
pub fn percentile(values: &mut [f64], share: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    let index = ((values.len() as f64 * share).ceil() as usize).saturating_sub(1);
    values[index.min(values.len() - 1)]
}

/// Returns the accelerator-seconds used by running tasks between `from` and `to`.
///
/// `accelerators` maps each job to the accelerators of one of its tasks.
#[must_use]
pub fn accelerator_seconds(
    events: &[Event],
    accelerators: &BTreeMap<JobId, u32>,
    from: Duration,
    to: Duration,
) -> f64 {
    let mut running: BTreeMap<(JobId, u32, u64, u64), Duration> = BTreeMap::new();
    let mut total = 0.0;
    let mut add = |job: &JobId, started: Duration, ended: Duration| {
        let time = ended.min(to).saturating_sub(started.max(from));
        total += time.as_secs_f64() * f64::from(accelerators.get(job).copied().unwrap_or(0));
    };
    for event in events {
        let key = (
            event.job.clone(),
            event.member,
            event.attempt.epoch,
            event.attempt.sequence,
        );
        match event.kind {
            EventKind::Started => {
                running.insert(key, event.at);
            }
            EventKind::Ended(_) => {
                if let Some(started) = running.remove(&key) {
                    add(&event.job, started, event.at);
                }
            }
        }
    }
    for ((job, ..), started) in &running {
        add(job, *started, to);
    }
    total
}

/// Returns the number of task starts on workers of `data_centre` between `from` and `to`.
///
/// Workers are named after their data centre.
#[must_use]
pub fn starts_in(events: &[Event], data_centre: &str, from: Duration, to: Duration) -> u64 {
    let prefix = format!("{data_centre}-");
    let starts = events.iter().filter(|event| {
        event.kind == EventKind::Started
            && event.at > from
            && event.at < to
            && event.worker.starts_with(&prefix)
    });
    starts.count() as u64
}
