//! Detection of stalled runs.
//!
//! A worker may accept tasks and renew its lease but do little or no work. Without detection, a run on such a
//! worker delays its job for as long as the worker is up.

use std::time::Duration;

/// Shortest time without progress after which a run counts as stalled. A worker lists its tasks once a
/// second, so this covers two lists with a margin.
const MIN_STALL_TIME: Duration = Duration::from_secs(2);
/// Share of the expected run time without progress after which a run counts as stalled. Progress is reported
/// in whole percent, and tasks take up to four times the expected time.
const RUN_TIME_SHARE: f64 = 0.08;
/// Factor on the stall time of a run that has no checkpoints and has reached [`COSTLY_MOVE_PERCENT`].
const COSTLY_MOVE_FACTOR: u32 = 3;
/// Progress in percent from which moving a run without checkpoints loses too much work to do it early.
const COSTLY_MOVE_PERCENT: u32 = 50;
/// Progress in percent from which a run is about to end and never counts as stalled.
const NEARLY_DONE_PERCENT: u32 = 99;

/// Progress of a task as reported by its worker.
#[derive(Clone, Copy, Debug)]
pub struct TaskProgress {
    /// Work done, in percent.
    pub percent: u32,
    /// Time for which the worker has reported this percentage.
    pub stalled_for: Duration,
    /// Whether progress survives a stop.
    pub has_checkpoints: bool,
    /// Expected run time of the task on a healthy worker.
    pub run_time: Duration,
}

impl TaskProgress {
    /// Returns whether the task is stalled, so that its run should be restarted on other workers.
    #[must_use]
    pub fn is_stalled(&self) -> bool {
        let limit = self.run_time.mul_f64(RUN_TIME_SHARE).max(MIN_STALL_TIME);
        let is_costly_move = !self.has_checkpoints && self.percent >= COSTLY_MOVE_PERCENT;
        let limit = if is_costly_move {
            limit * COSTLY_MOVE_FACTOR
        } else {
            limit
        };
        self.percent < NEARLY_DONE_PERCENT && self.stalled_for >= limit
    }
}
