//! Expected run times, learned from ends.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest run in the average.
const NEWEST_WEIGHT: f64 = 0.2;
/// Bounds of what one run can say, so that a single odd run does not spoil the average.
const RATIO_RANGE: (f64, f64) = (0.2, 5.0);
/// Run time taken for a task whose submitter gave no estimate.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(5);

/// How far submitters' estimates are off, by queue.
#[derive(Clone, Debug, Default)]
pub struct RunTimeEstimates {
    ratios: BTreeMap<Box<str>, f64>,
}

impl RunTimeEstimates {
    /// Creates an empty record: estimates are taken as they are.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the expected run time of a task with this estimate.
    #[must_use]
    pub fn expected(&self, queue: &str, estimate_ms: u64) -> Duration {
        if estimate_ms == 0 {
            return DEFAULT_RUN_TIME;
        }
        let ratio = self.ratios.get(queue).copied().unwrap_or(1.0);
        Duration::from_millis(estimate_ms).mul_f64(ratio)
    }

    /// Takes in a run that was done after `run_time`.
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
