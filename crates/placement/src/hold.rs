//! Room that is kept for a waiting unit until running tasks have ended.
//!
//! Answers a load in which small units arrive faster than a large gang finds room: without holds they take
//! each worker as it becomes free and the gang starves. Units that end before the hold is due may use its
//! room meanwhile (backfill).

use std::time::Duration;

use crate::Snapshot;
use crate::WaitingUnit;
use crate::fit::Locality;
use crate::fit::Room;
use crate::fit::place;
use crate::fit::take;

/// Time after which the room of a run that is being stopped is free.
pub(crate) const STOPPING: Duration = Duration::from_millis(300);

/// A place in the future.
#[derive(Clone, Debug)]
pub(crate) struct Hold {
    /// Time until the room is expected to be there.
    pub(crate) due_in: Duration,
    /// Room at that time beside the held one.
    pub(crate) spare: Room,
}

impl Hold {
    /// Finds the earliest time at which the unit is expected to fit, and keeps its place.
    ///
    /// `room` is what is free now and not promised to others.
    pub(crate) fn find(
        snapshot: &Snapshot,
        unit: &WaitingUnit,
        room: &Room,
        locality: Locality,
    ) -> Option<Self> {
        let mut ends: Vec<(Duration, usize)> = snapshot
            .running
            .iter()
            .enumerate()
            .map(|(index, running)| {
                let time = if running.is_ending {
                    STOPPING
                } else {
                    running.remaining
                };
                (time, index)
            })
            .collect();
        ends.sort_unstable();
        let mut spare = room.clone();
        let mut ends = ends.into_iter().peekable();
        while let Some((time, index)) = ends.next() {
            for (worker, size) in &snapshot.running[index].seats {
                spare[*worker] = spare[*worker].plus(*size);
            }
            if ends.peek().is_some_and(|(next, _)| *next == time) {
                continue;
            }
            if let Some(places) = place(snapshot, unit, &spare, locality) {
                take(&mut spare, unit, &places);
                return Some(Self {
                    due_in: time,
                    spare,
                });
            }
        }
        None
    }
}

/// Returns the room that a unit with this run time may use now without delaying a hold.
pub(crate) fn usable(free: &Room, holds: &[Hold], run_time: Duration) -> Room {
    let mut room = free.clone();
    for hold in holds.iter().filter(|hold| hold.due_in < run_time) {
        for (room, spare) in room.iter_mut().zip(&hold.spare) {
            room.accelerators = room.accelerators.min(spare.accelerators);
            room.memory_mb = room.memory_mb.min(spare.memory_mb);
            room.milli_cores = room.milli_cores.min(spare.milli_cores);
        }
    }
    room
}

/// Takes the room of a unit that starts now from the holds that it outlasts.
pub(crate) fn take_from_holds(holds: &mut [Hold], unit: &WaitingUnit, places: &[usize]) {
    for hold in holds.iter_mut().filter(|hold| hold.due_in < unit.run_time) {
        take(&mut hold.spare, unit, places);
    }
}
