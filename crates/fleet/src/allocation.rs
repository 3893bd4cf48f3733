//! Queueing, claims and allocations of jobs.

use std::time::Duration;

use crate::Action;
use crate::Fleet;
use crate::JobPhase;
use crate::StopReason;
use crate::job::Job;

impl Fleet {
    /// Puts a job into the queue.
    pub(crate) fn enqueue(&mut self, seq: u64) {
        if let Some(job) = self.jobs.get_mut(&seq) {
            job.phase = JobPhase::Queued;
            let key = (job.arrival_ms, seq);
            let guaranteed = job.spec.guarantee.is_some();
            self.queue.insert(&job.spec.customer, key, guaranteed);
        }
    }

    /// Removes a job from the queue, with its hold if it has one.
    fn dequeue(&mut self, seq: u64) {
        if let Some(job) = self.jobs.get(&seq) {
            self.queue.remove(&job.spec.customer, (job.arrival_ms, seq));
        }
        if self.hold.as_ref().is_some_and(|hold| hold.job == seq) {
            self.hold = None;
        }
    }

    /// Allocates resources for the tasks of a job that starts.
    pub(crate) fn allocate(&mut self, seq: u64, placements: Vec<(usize, u32)>, now: Duration) {
        self.dequeue(seq);
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        for (worker, tasks) in &placements {
            self.workers.allocate(*worker, seq, job.spec.shape, *tasks);
        }
        job.placements = placements;
        job.phase = JobPhase::Starting;
        job.started = None;
        job.resumed_from = job.checkpoint;
        job.checkpoint_at = now;
    }

    /// Claims capacity for a job that waits until other tasks have stopped.
    pub(crate) fn claim(&mut self, seq: u64, placements: Vec<(usize, u32)>) {
        self.dequeue(seq);
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        for (worker, tasks) in &placements {
            let worker = &mut self.workers.list[*worker];
            worker.claimed = worker.claimed.plus(job.spec.shape.times(*tasks));
        }
        job.placements = placements;
        job.phase = JobPhase::Reclaiming;
        self.pending.insert(seq);
    }

    /// Removes the claims of a job and returns its placements. Does not return the job to the queue.
    pub(crate) fn remove_claims(&mut self, seq: u64) -> Vec<(usize, u32)> {
        self.pending.remove(&seq);
        let Some(job) = self.jobs.get_mut(&seq) else {
            return Vec::new();
        };
        for (worker, tasks) in &job.placements {
            let worker = &mut self.workers.list[*worker];
            worker.claimed = worker.claimed.minus(job.spec.shape.times(*tasks));
        }
        std::mem::take(&mut job.placements)
    }

    /// Removes the claims of a job, if it has any, and returns it to the queue.
    pub(crate) fn release_claims(&mut self, seq: u64, now: Duration) {
        if self.pending.contains(&seq) {
            self.remove_claims(seq);
            self.enqueue(seq);
            self.release_reservation(seq, now);
        }
    }

    /// Frees all resources of a placed job.
    pub(crate) fn release(&mut self, seq: u64, now: Duration) {
        self.remove_borrowed_use(seq, now);
        self.release_reservation(seq, now);
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        let stopping = job.phase == JobPhase::Stopping;
        // A stop that `schedule` has not returned yet must not reach a later attempt of the job.
        self.outbox.retain(|action| match action {
            Action::Stop { job: id, .. } | Action::Throttle { job: id } => *id != job.spec.id,
            Action::Start { .. } | Action::Reject { .. } => true,
        });
        for (index, tasks) in std::mem::take(&mut job.placements) {
            let need = job.spec.shape.times(tasks);
            if stopping {
                let worker = &mut self.workers.list[index];
                worker.stopping = worker.stopping.minus(need);
            }
            self.workers.release(index, seq, job.spec.shape, tasks);
        }
        job.phase = JobPhase::Queued;
        job.started = None;
        job.backfilled_on = None;
    }

    /// Removes a job from the planner and frees everything that it uses or claims.
    pub(crate) fn remove_job(&mut self, seq: u64, now: Duration) {
        if self.pending.contains(&seq) {
            self.remove_claims(seq);
            self.release_reservation(seq, now);
        } else if self.jobs.get(&seq).is_some_and(Job::is_placed) {
            self.release(seq, now);
        }
        self.dequeue(seq);
        if let Some(job) = self.jobs.remove(&seq) {
            self.seq_by_id.remove(&job.spec.id);
        }
    }

    /// Requests the stop of a job that is starting or running and removes it from its reservation.
    ///
    /// A job that is already stopping gets a second request only if it is cancelled.
    pub(crate) fn stop_job(
        &mut self,
        seq: u64,
        reason: StopReason,
        within: Duration,
        now: Duration,
    ) {
        let Some(phase) = self.jobs.get(&seq).map(|job| job.phase) else {
            return;
        };
        let is_repeated = phase == JobPhase::Stopping && reason == StopReason::Cancelled;
        if !matches!(phase, JobPhase::Starting | JobPhase::Running) && !is_repeated {
            return;
        }
        self.remove_borrowed_use(seq, now);
        self.release_reservation(seq, now);
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        if !is_repeated {
            job.phase = JobPhase::Stopping;
            for (index, tasks) in &job.placements {
                let worker = &mut self.workers.list[*index];
                worker.stopping = worker.stopping.plus(job.spec.shape.times(*tasks));
            }
        }
        let job = job.spec.id.clone();
        let is_preempted = matches!(
            reason,
            StopReason::Consolidated | StopReason::HoldDue | StopReason::Reclaimed
        );
        if is_preempted {
            self.preemptions += 1;
            self.outbox.push(Action::Throttle { job: job.clone() });
        }
        self.outbox.push(Action::Stop {
            job,
            reason,
            within,
        });
    }

    /// Removes a job from its reservation. Lost parts may fit afterwards, because the empty parts can move.
    fn release_reservation(&mut self, seq: u64, now: Duration) {
        let was_assigned = self
            .jobs
            .get(&seq)
            .is_some_and(|job| job.assignment.is_some());
        self.detach(seq);
        if was_assigned
            && self
                .reservations
                .iter()
                .any(|reservation| reservation.lost_parts() > 0)
        {
            self.repair_reservations(now);
        }
    }

    /// Records that the tasks of a placed job run.
    pub(crate) fn mark_started(&mut self, seq: u64, now: Duration) {
        if let Some(job) = self.jobs.get_mut(&seq)
            && job.is_placed()
            && job.started.is_none()
        {
            job.started = Some(now);
            job.checkpoint_at = now;
            if job.phase == JobPhase::Starting {
                job.phase = JobPhase::Running;
            }
        }
    }

    /// Adds the accelerators of a borrower to its customer's use beyond guarantees.
    pub(crate) fn add_borrowed_use(&mut self, seq: u64, now: Duration) {
        if let Some(job) = self.jobs.get(&seq)
            && job.is_borrower()
        {
            let accelerators = job.spec.accelerators();
            self.fair_share.add(&job.spec.customer, accelerators, now);
        }
    }

    /// Reverts `add_borrowed_use`. Has to be called while the job is still a borrower.
    pub(crate) fn remove_borrowed_use(&mut self, seq: u64, now: Duration) {
        if let Some(job) = self.jobs.get(&seq)
            && job.is_borrower()
        {
            let accelerators = job.spec.accelerators();
            self.fair_share
                .remove(&job.spec.customer, accelerators, now);
        }
    }
}
