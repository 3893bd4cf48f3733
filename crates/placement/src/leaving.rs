//! Choice of the runs that move because a worker of theirs leaves.
//!
//! Answers workers that are taken away at short notice: a run that cannot end before its worker has left
//! loses its work then, and its place is known to be lost only when the lease has lapsed. Stopped in time it
//! keeps its checkpoint and goes on elsewhere at once.

use std::time::Duration;

use crate::RunningUnit;
use crate::Snapshot;
use crate::profile::STOPPING;

/// Time for which a worker usually stays beyond the time that it announced. Work that would be lost by a
/// move is left to end within it; other work moves unless it ends while it is being stopped.
const LINGER: Duration = Duration::from_secs(1);

/// Returns the positions in [`Snapshot::running`] of the runs that have to move.
pub(crate) fn runs_to_move(snapshot: &Snapshot) -> Vec<usize> {
    let has_to_move = |running: &RunningUnit| {
        let leaves_in = running
            .allocations
            .iter()
            .filter_map(|(worker, _)| snapshot.workers[*worker].leaves_in)
            .min();
        let linger = if running.has_checkpoints {
            STOPPING
        } else {
            LINGER
        };
        !running.is_ending && leaves_in.is_some_and(|left| running.remaining > left + linger)
    };
    let running = snapshot.running.iter().enumerate();
    running
        .filter(|(_, running)| has_to_move(running))
        .map(|(index, _)| index)
        .collect()
}
