//! Holds: capacity kept free for a gang that does not fit yet.

use std::time::Duration;

use crate::Fleet;
use crate::JobPhase;
use crate::Shape;
use crate::placement::Candidate;
use crate::placement::best_fit;

/// Time after which a stopping task has ended in any case: the checkpoint timeout plus the gang lease.
pub(crate) const MAX_STOP_DURATION: Duration = Duration::from_secs(8);

/// Capacity that is kept free for a waiting gang.
#[derive(Clone, Debug)]
pub(crate) struct Hold {
    /// Sequence number of the gang.
    pub(crate) job: u64,
    /// Time at which the gang was expected to start when the hold was first planned.
    pub(crate) due: Duration,
    /// Time at which the gang is expected to start now.
    pub(crate) start: Duration,
    /// Capacity by worker index that remains for other jobs once the gang has started.
    pub(crate) spare: Vec<Shape>,
}

impl Fleet {
    /// Computes when and where a waiting gang will fit if the placed jobs end as expected.
    ///
    /// Returns `None` if the gang does not fit even after all of them have ended.
    pub(crate) fn plan_hold(&self, seq: u64, now: Duration) -> Option<Hold> {
        let spec = &self.jobs.get(&seq)?.spec;
        let mut ends: Vec<(Duration, u64)> = Vec::new();
        for (other, job) in &self.jobs {
            if job.is_placed() {
                ends.push((self.expected_end(*other, now), *other));
            }
        }
        ends.sort_unstable();
        let mut available: Vec<Shape> = self
            .workers
            .list
            .iter()
            .map(|worker| worker.available())
            .collect();
        let rack_count = self.workers.rack_count();
        let mut ends = ends.into_iter().peekable();
        let mut start = now;
        loop {
            let candidates: Vec<Candidate> = self
                .workers
                .list
                .iter()
                .enumerate()
                .filter(|(_, worker)| worker.is_usable())
                .map(|(index, worker)| Candidate {
                    worker: index,
                    rack: worker.rack,
                    tasks: spec.shape.count_fitting_in(available[index]),
                })
                .filter(|candidate| candidate.tasks > 0)
                .collect();
            if let Some(placements) = best_fit(&candidates, rack_count, spec.tasks, spec.adjacency)
            {
                for (worker, tasks) in placements {
                    available[worker] = available[worker].minus(spec.shape.times(tasks));
                }
                let due = start;
                return Some(Hold {
                    job: seq,
                    due,
                    start,
                    spare: available,
                });
            }
            // Jobs that end close together are handled in one round, which bounds the number of rounds.
            let (end, _) = *ends.peek()?;
            let until = end.saturating_add(end.saturating_sub(now) / 16);
            while let Some((end, other)) = ends.next_if(|(end, _)| *end <= until) {
                start = end;
                let job = &self.jobs[&other];
                for (worker, tasks) in &job.placements {
                    let freed = job.spec.shape.times(*tasks);
                    let worker_available = available[*worker].plus(freed);
                    available[*worker] = worker_available.min(self.workers.list[*worker].capacity);
                }
            }
        }
    }

    /// Returns the time at which a placed job is expected to end, from the run time estimates.
    pub(crate) fn expected_end(&self, seq: u64, now: Duration) -> Duration {
        let Some(job) = self.jobs.get(&seq) else {
            return now;
        };
        if job.phase == JobPhase::Stopping {
            return now.saturating_add(MAX_STOP_DURATION);
        }
        let spec = &job.spec;
        let done = job.work_done(now);
        let remaining = self
            .run_times
            .remaining(&spec.customer, &spec.service, done);
        now.saturating_add(remaining)
    }
}
