//! Bookings of jobs on workers and in the queue.

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

    fn dequeue(&mut self, seq: u64) {
        if let Some(job) = self.jobs.get(&seq) {
            self.queue.remove(&job.spec.customer, (job.arrival_ms, seq));
        }
        if self.hold.as_ref().is_some_and(|hold| hold.job == seq) {
            self.hold = None;
        }
    }

    /// Books the tasks of a job that is told to start.
    pub(crate) fn occupy(&mut self, seq: u64, placements: Vec<(usize, u32)>, now: Duration) {
        self.dequeue(seq);
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        for (worker, tasks) in &placements {
            self.workers.occupy(*worker, seq, job.spec.shape, *tasks);
        }
        job.placements = placements;
        job.phase = JobPhase::Starting;
        job.started = None;
        job.resumed_from = job.checkpoint;
        job.checkpoint_at = now;
    }

    /// Claims room for a job that waits until other tasks have stopped.
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

    /// Gives up the claims of a job and returns its place; the job is in no queue afterwards.
    pub(crate) fn take_claims(&mut self, seq: u64) -> Vec<(usize, u32)> {
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

    /// Puts a job that has claims back into the queue.
    pub(crate) fn release_claims(&mut self, seq: u64, now: Duration) {
        if self.pending.contains(&seq) {
            self.take_claims(seq);
            self.enqueue(seq);
            self.leave_reservation(seq, now);
        }
    }

    /// Frees everything that a placed job takes.
    pub(crate) fn release(&mut self, seq: u64, now: Duration) {
        self.count_not_borrowed(seq, now);
        self.leave_reservation(seq, now);
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        let stopping = job.phase == JobPhase::Stopping;
        // A stop that was not handed out yet must not reach a later attempt of the job.
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

    pub(crate) fn forget(&mut self, seq: u64, now: Duration) {
        if self.pending.contains(&seq) {
            self.take_claims(seq);
            self.leave_reservation(seq, now);
        } else if self.jobs.get(&seq).is_some_and(Job::is_placed) {
            self.release(seq, now);
        }
        self.dequeue(seq);
        if let Some(job) = self.jobs.remove(&seq) {
            self.ids.remove(&job.spec.id);
        }
    }

    /// Tells a job that takes resources to stop; it holds no part of a guarantee from then on.
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
        let again = phase == JobPhase::Stopping && reason == StopReason::Cancelled;
        if !matches!(phase, JobPhase::Starting | JobPhase::Running) && !again {
            return;
        }
        self.count_not_borrowed(seq, now);
        self.leave_reservation(seq, now);
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        if !again {
            job.phase = JobPhase::Stopping;
            for (index, tasks) in &job.placements {
                let worker = &mut self.workers.list[*index];
                worker.stopping = worker.stopping.plus(job.spec.shape.times(*tasks));
            }
        }
        let job = job.spec.id.clone();
        let preempted = matches!(
            reason,
            StopReason::Consolidated | StopReason::HoldDue | StopReason::Reclaimed
        );
        if preempted {
            self.preemptions += 1;
            self.outbox.push(Action::Throttle { job: job.clone() });
        }
        self.outbox.push(Action::Stop {
            job,
            reason,
            within,
        });
    }

    /// Takes a job out of its reservation; parts that were lost may fit now that others can move.
    fn leave_reservation(&mut self, seq: u64, now: Duration) {
        let assigned = self
            .jobs
            .get(&seq)
            .is_some_and(|job| job.assignment.is_some());
        self.detach(seq);
        if assigned && self.reservations.iter().any(|one| one.lost_parts() > 0) {
            self.repair_reservations(now);
        }
    }

    pub(crate) fn started_by_seq(&mut self, seq: u64, now: Duration) {
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

    /// Counts a job's accelerators in its customer's use beyond guarantees.
    pub(crate) fn count_borrowed(&mut self, seq: u64, now: Duration) {
        if let Some(job) = self.jobs.get(&seq)
            && job.is_borrower()
        {
            let accelerators = job.spec.accelerators();
            self.shares.add(&job.spec.customer, accelerators, now);
        }
    }

    /// Ends what `count_borrowed` began, while the job is still a borrower.
    pub(crate) fn count_not_borrowed(&mut self, seq: u64, now: Duration) {
        if let Some(job) = self.jobs.get(&seq)
            && job.is_borrower()
        {
            let accelerators = job.spec.accelerators();
            self.shares.remove(&job.spec.customer, accelerators, now);
        }
    }
}
