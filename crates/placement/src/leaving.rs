//! Selection of the runs to move because one of their workers is leaving.
//!
//! Workers may leave at short notice. A run that does not end before its worker has left loses its work, and
//! the loss is detected only when the lease lapses. A run that is stopped in time keeps its checkpoint and
//! resumes immediately on other workers.

use std::time::Duration;

use crate::RunningUnit;
use crate::Snapshot;
use crate::profile::STOP_TIME;

/// Time for which a worker usually stays beyond its announced departure. A run without checkpoints that is
/// expected to end within this margin is not moved, since a move would lose its work. A run with checkpoints
/// is moved unless it is expected to end within [`STOP_TIME`] of the departure.
const DEPARTURE_MARGIN: Duration = Duration::from_secs(1);

/// Returns the positions in [`Snapshot::running`] of the runs to move.
pub(crate) fn runs_to_move(snapshot: &Snapshot) -> Vec<usize> {
    let has_to_move = |running: &RunningUnit| {
        let leaves_in = running
            .allocations
            .iter()
            .filter_map(|(worker, _)| snapshot.workers[*worker].leaves_in)
            .min();
        let margin = if running.has_checkpoints {
            STOP_TIME
        } else {
            DEPARTURE_MARGIN
        };
        !running.is_ending
            && leaves_in.is_some_and(|leaves_in| running.remaining > leaves_in + margin)
    };
    let running = snapshot.running.iter().enumerate();
    running
        .filter(|(_, running)| has_to_move(running))
        .map(|(index, _)| index)
        .collect()
}
