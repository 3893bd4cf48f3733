//! Choice of the runs that start elsewhere because they stand still.
//!
//! Answers workers that accept tasks, renew their leases and do no work, or very little: without it such a
//! run holds its job up for as long as the worker lives.

use std::time::Duration;

/// Shortest time without progress after which a run counts as standing still: two lists of its worker with
/// a margin, since lists come once a second.
const SHORTEST: Duration = Duration::from_secs(2);
/// Share of the expected run time without progress after which it does. Progress is told in percent, and
/// tasks take up to four times the time expected.
const SHARE: f64 = 0.08;
/// Factor on that time for a run whose progress would be lost by a move, once half of it is done.
const PATIENCE_FACTOR: u32 = 3;
/// Progress in percent from which a run without checkpoints is given that patience.
const MUCH_PERCENT: u32 = 50;
/// Progress in percent from which a run is about to end.
const DONE_PERCENT: u32 = 99;

/// Progress of a task as its worker has told it.
#[derive(Clone, Copy, Debug)]
pub struct TaskProgress {
    /// Work done, in percent.
    pub percent: u32,
    /// Time for which the lists of the worker have shown this percentage.
    pub stalled_for: Duration,
    /// Whether progress survives a stop.
    pub has_checkpoints: bool,
    /// Time that the task is expected to take on a sound worker.
    pub run_time: Duration,
}

impl TaskProgress {
    /// Returns whether the task stands still, so that its run should start elsewhere.
    #[must_use]
    pub fn is_stalled(&self) -> bool {
        let limit = self.run_time.mul_f64(SHARE).max(SHORTEST);
        let is_costly = !self.has_checkpoints && self.percent >= MUCH_PERCENT;
        let limit = if is_costly {
            limit * PATIENCE_FACTOR
        } else {
            limit
        };
        self.percent < DONE_PERCENT && self.stalled_for >= limit
    }
}
