//! Expected run times, corrected by the measured run times of completed runs.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest run in the exponential moving average.
const NEWEST_WEIGHT: f64 = 0.2;
/// Bounds of the ratio that one run contributes, so that a single outlier does not distort the average.
const RATIO_RANGE: (f64, f64) = (0.2, 5.0);
/// Assumed run time of a task without an estimate by its submitter.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(5);

/// Average ratio of measured to estimated run time, by queue.
#[derive(Clone, Debug, Default)]
pub struct RunTimeEstimates {
    ratios: BTreeMap<Box<str>, f64>,
}

impl RunTimeEstimates {
    /// Creates an empty set, which uses the submitters' estimates unchanged.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the expected run time of a task in `queue` with an estimate of `estimate_ms`; 0 means that
    /// there is no estimate.
    #[must_use]
    pub fn expected(&self, queue: &str, estimate_ms: u64) -> Duration {
        if estimate_ms == 0 {
            return DEFAULT_RUN_TIME;
        }
        let ratio = self.ratios.get(queue).copied().unwrap_or(1.0);
        Duration::from_millis(estimate_ms).mul_f64(ratio)
    }

    /// Records a completed run that took `run_time`. Runs without an estimate are ignored.
    pub fn observe(&mut self, queue: &str, estimate_ms: u64, run_time: Duration) {
        if estimate_ms == 0 {
            return;
        }
        let estimate = Duration::from_millis(estimate_ms).as_secs_f64();
        let ratio = (run_time.as_secs_f64() / estimate).clamp(RATIO_RANGE.0, RATIO_RANGE.1);
        let average = self.ratios.entry(queue.into()).or_insert(1.0);
        *average += NEWEST_WEIGHT * (ratio - *average);
    }
}
