//! Expected free resources of each worker over time, derived from running and planned work.

use std::time::Duration;

use crate::RunningUnit;
use crate::Snapshot;
use nutmegwalk_workload::Resources;

/// Step of the time grid in the near future. Runs that end within one step are treated as ending together,
/// since the time of a decision grows with the square of the number of instants.
const MIN_GRID_STEP: Duration = Duration::from_millis(50);
/// Number of grid steps after which the step doubles; expected run times are far less accurate than a 32nd.
const STEPS_PER_DOUBLING: u32 = 32;

/// Free resources of each worker, in the order of [`Snapshot::workers`].
pub(crate) type FreeResources = Vec<Resources>;

/// Expected time from the decision to stop a run until its resources are free.
pub(crate) const STOP_TIME: Duration = Duration::from_millis(300);

/// Free resources over time, as a step function.
#[derive(Clone, Debug)]
pub(crate) struct AvailabilityProfile {
    /// Times from now at which the free resources change, in ascending order; the first is zero.
    times: Vec<Duration>,
    /// Free resources from each of `times` to the next; the last entry has no end.
    free: Vec<FreeResources>,
}

impl AvailabilityProfile {
    /// Builds the profile of the runs in a snapshot.
    pub(crate) fn new(snapshot: &Snapshot) -> Self {
        let mut profile = Self {
            times: vec![Duration::ZERO],
            free: vec![
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
                let last = profile.free[profile.free.len() - 1].clone();
                profile.free.push(last);
            }
            let free = profile.free.last_mut().expect("a profile is never empty");
            for (worker, size) in &snapshot.running[index].allocations {
                free[*worker] = free[*worker].plus(*size);
            }
        }
        profile
    }

    /// Returns the times from now at which the free resources change.
    pub(crate) fn times(&self) -> &[Duration] {
        &self.times
    }

    /// Returns the resources that are free at `time`.
    pub(crate) fn free_at(&self, time: Duration) -> &FreeResources {
        &self.free[self.segment(time)]
    }

    /// Returns the resources that are free throughout the period from `start` for `duration`.
    pub(crate) fn free_during(&self, start: Duration, duration: Duration) -> FreeResources {
        let end = start.saturating_add(duration);
        let first = self.segment(start);
        let mut free = self.free[first].clone();
        for index in first + 1..self.times.len() {
            if self.times[index] >= end {
                break;
            }
            for (free, other) in free.iter_mut().zip(&self.free[index]) {
                *free = free.min(*other);
            }
        }
        free
    }

    /// Allocates `size` on each of `workers`, one entry per task, from `start` for `duration`.
    pub(crate) fn allocate(
        &mut self,
        workers: &[usize],
        size: Resources,
        start: Duration,
        duration: Duration,
    ) {
        self.update(start, duration, |free| {
            for worker in workers {
                free[*worker] = free[*worker].minus(size);
            }
        });
    }

    /// Releases allocations that lasted until `end` from `start` on.
    pub(crate) fn release(
        &mut self,
        allocations: &[(usize, Resources)],
        start: Duration,
        end: Duration,
    ) {
        self.update(start, end.saturating_sub(start), |free| {
            for (worker, size) in allocations {
                free[*worker] = free[*worker].plus(*size);
            }
        });
    }

    /// Applies a change to all segments from `start` for `duration`.
    fn update(&mut self, start: Duration, duration: Duration, update: impl Fn(&mut FreeResources)) {
        let first = self.split(start);
        let end = start.saturating_add(duration);
        let last = if end == Duration::MAX {
            self.times.len()
        } else {
            self.split(end)
        };
        self.free[first..last].iter_mut().for_each(update);
    }

    /// Returns the index of the segment that contains `time`.
    fn segment(&self, time: Duration) -> usize {
        self.times.partition_point(|start| *start <= time).max(1) - 1
    }

    /// Splits a segment at `time` if none begins there, and returns the index of the one that begins there.
    fn split(&mut self, time: Duration) -> usize {
        let position = self.segment(time);
        if self.times[position] == time {
            return position;
        }
        let free = self.free[position].clone();
        self.times.insert(position + 1, time);
        self.free.insert(position + 1, free);
        position + 1
    }
}

/// Returns the time after which the resources of a run are expected to be free, rounded up to the grid.
pub(crate) fn release_time(running: &RunningUnit) -> Duration {
    round_up(running.ends_in())
}

/// Rounds a time up to the grid. The step is [`MIN_GRID_STEP`] at first and doubles as the time doubles.
fn round_up(time: Duration) -> Duration {
    let mut step = MIN_GRID_STEP;
    while step.saturating_mul(STEPS_PER_DOUBLING) < time && step < Duration::MAX / 4 {
        step *= 2;
    }
    let steps = time.as_nanos().div_ceil(step.as_nanos());
    match u32::try_from(steps) {
        Ok(steps) => step.saturating_mul(steps),
        Err(_) => time,
    }
}
