//! Holds: capacity kept for a gang that does not fit yet.

use std::time::Duration;

use crate::Fleet;
use crate::JobPhase;
use crate::Shape;
use crate::placement::Room;
use crate::placement::best_fit;

/// Time after which a stopping task has certainly ended: checkpoint bound and gang lease.
pub(crate) const STOP_BOUND: Duration = Duration::from_secs(8);

/// The workers that a waiting gang will start on.
#[derive(Clone, Debug)]
pub(crate) struct Hold {
    pub(crate) job: u64,
    /// When the gang was first expected to start.
    pub(crate) due: Duration,
    /// When the gang is now expected to start.
    pub(crate) start: Duration,
    /// What other jobs may take, by worker, beyond the start of the gang.
    pub(crate) spare: Vec<Shape>,
}

impl Fleet {
    /// Computes when and where a waiting gang will fit if running jobs end as expected.
    pub(crate) fn plan_hold(&self, seq: u64, now: Duration) -> Option<Hold> {
        let spec = &self.jobs.get(&seq)?.spec;
        let mut ends: Vec<(Duration, u64)> = Vec::new();
        for (other, job) in &self.jobs {
            if job.is_placed() {
                ends.push((self.expected_end(*other, now), *other));
            }
        }
        ends.sort_unstable();
        let mut room: Vec<Shape> = self
            .workers
            .list
            .iter()
            .map(|worker| worker.available())
            .collect();
        let rack_count = self.workers.rack_count();
        let mut ends = ends.into_iter().peekable();
        let mut start = now;
        loop {
            let rooms: Vec<Room> = self
                .workers
                .list
                .iter()
                .enumerate()
                .filter(|(_, worker)| worker.is_usable())
                .map(|(index, worker)| Room {
                    worker: index,
                    rack: worker.rack,
                    tasks: spec.shape.count_fitting_in(room[index]),
                })
                .filter(|room| room.tasks > 0)
                .collect();
            if let Some(placements) = best_fit(&rooms, rack_count, spec.tasks, spec.adjacency) {
                for (worker, tasks) in placements {
                    room[worker] = room[worker].minus(spec.shape.times(tasks));
                }
                let due = start;
                return Some(Hold {
                    job: seq,
                    due,
                    start,
                    spare: room,
                });
            }
            // Ends close together are taken at once, which bounds the number of rounds.
            let (end, _) = *ends.peek()?;
            let until = end.saturating_add(end.saturating_sub(now) / 16);
            while let Some((end, other)) = ends.next_if(|(end, _)| *end <= until) {
                start = end;
                let job = &self.jobs[&other];
                for (worker, tasks) in &job.placements {
                    let freed = job.spec.shape.times(*tasks);
                    let worker_room = room[*worker].plus(freed);
                    room[*worker] = worker_room.min(self.workers.list[*worker].capacity);
                }
            }
        }
    }

    /// Returns when a placed job is expected to end, by learned run times.
    pub(crate) fn expected_end(&self, seq: u64, now: Duration) -> Duration {
        let Some(job) = self.jobs.get(&seq) else {
            return now;
        };
        if job.phase == JobPhase::Stopping {
            return now.saturating_add(STOP_BOUND);
        }
        let spec = &job.spec;
        let done = job.done(now);
        let remaining = self
            .run_times
            .remaining(&spec.customer, &spec.service, done);
        now.saturating_add(remaining)
    }
}
