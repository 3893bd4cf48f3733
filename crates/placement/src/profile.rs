//! Free room of each worker over time, as far as running and planned work lets it be foreseen.

use std::time::Duration;

use crate::RunningUnit;
use crate::Snapshot;
use nutmegwalk_workload::Resources;

/// Grid of the instants in the near future. Runs that end within one step are taken to end together, since
/// the time of a decision grows with the square of the number of instants.
const FINEST_STEP: Duration = Duration::from_millis(50);
/// Steps of the grid until its step doubles; expected run times are known to far less than a 32nd.
const STEPS_TO_DOUBLE: u32 = 32;

/// Free room of each worker, in the order of [`Snapshot::workers`].
pub(crate) type Room = Vec<Resources>;

/// Time after which the room of a run that is being stopped is free.
pub(crate) const STOPPING: Duration = Duration::from_millis(300);

/// Free room over time: constant between two instants.
#[derive(Clone, Debug)]
pub(crate) struct Profile {
    /// Instants at which the room changes, from now on, in order; the first is zero.
    times: Vec<Duration>,
    /// Room from each instant to the next; the last lasts for ever.
    rooms: Vec<Room>,
}

impl Profile {
    /// Builds the profile from what runs.
    pub(crate) fn new(snapshot: &Snapshot) -> Self {
        let mut profile = Self {
            times: vec![Duration::ZERO],
            rooms: vec![
                snapshot
                    .workers
                    .iter()
                    .map(|worker| worker.free())
                    .collect(),
            ],
        };
        let mut ends: Vec<(Duration, usize)> = snapshot
            .running
            .iter()
            .enumerate()
            .map(|(index, running)| (release_time(running), index))
            .collect();
        ends.sort_unstable();
        for (time, index) in ends {
            if profile.times.last() != Some(&time) {
                profile.times.push(time);
                let last = profile.rooms[profile.rooms.len() - 1].clone();
                profile.rooms.push(last);
            }
            let room = profile.rooms.last_mut().expect("a profile is never empty");
            for (worker, size) in &snapshot.running[index].allocations {
                room[*worker] = room[*worker].plus(*size);
            }
        }
        profile
    }

    /// Returns the instants at which the room changes.
    pub(crate) fn times(&self) -> &[Duration] {
        &self.times
    }

    /// Returns the room that is free all the time from `start` for `length`.
    pub(crate) fn room(&self, start: Duration, length: Duration) -> Room {
        let end = start.saturating_add(length);
        let first = self.segment(start);
        let mut room = self.rooms[first].clone();
        for index in first + 1..self.times.len() {
            if self.times[index] >= end {
                break;
            }
            for (room, other) in room.iter_mut().zip(&self.rooms[index]) {
                *room = room.min(*other);
            }
        }
        room
    }

    /// Takes room on workers from `start` for `length`.
    pub(crate) fn take(
        &mut self,
        places: &[usize],
        size: Resources,
        start: Duration,
        length: Duration,
    ) {
        self.change(start, length, |room| {
            for worker in places {
                room[*worker] = room[*worker].minus(size);
            }
        });
    }

    /// Gives room back from `start` on that was taken until `end`.
    pub(crate) fn give(
        &mut self,
        allocations: &[(usize, Resources)],
        start: Duration,
        end: Duration,
    ) {
        self.change(start, end.saturating_sub(start), |room| {
            for (worker, size) in allocations {
                room[*worker] = room[*worker].plus(*size);
            }
        });
    }

    fn change(&mut self, start: Duration, length: Duration, change: impl Fn(&mut Room)) {
        let first = self.split(start);
        let end = start.saturating_add(length);
        let last = if end == Duration::MAX {
            self.times.len()
        } else {
            self.split(end)
        };
        self.rooms[first..last].iter_mut().for_each(change);
    }

    /// Returns the position of the segment that contains `time`.
    fn segment(&self, time: Duration) -> usize {
        self.times.partition_point(|start| *start <= time).max(1) - 1
    }

    /// Makes a segment begin at `time` and returns its position.
    fn split(&mut self, time: Duration) -> usize {
        let position = self.segment(time);
        if self.times[position] == time {
            return position;
        }
        let room = self.rooms[position].clone();
        self.times.insert(position + 1, time);
        self.rooms.insert(position + 1, room);
        position + 1
    }
}

/// Returns the time after which the room of a run is taken to be free.
pub(crate) fn release_time(running: &RunningUnit) -> Duration {
    round_up(running.ends_in())
}

/// Rounds a time up to the grid, whose step doubles with the time.
fn round_up(time: Duration) -> Duration {
    let mut step = FINEST_STEP;
    while step.saturating_mul(STEPS_TO_DOUBLE) < time && step < Duration::MAX / 4 {
        step *= 2;
    }
    let steps = time.as_nanos().div_ceil(step.as_nanos());
    match u32::try_from(steps) {
        Ok(steps) => step.saturating_mul(steps),
        Err(_) => time,
    }
}
