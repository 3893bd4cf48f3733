//! Planner events about jobs.

use std::time::Duration;

use crate::Action;
use crate::Admission;
use crate::Fleet;
use crate::JobPhase;
use crate::JobSpec;
use crate::Placement;
use crate::Policy;
use crate::StopReason;
use crate::health::HealthState;
use crate::health::quarantine_limit;
use crate::job::Job;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;

/// Number of workers on which a job has to fail to start before it is rejected.
const MAX_FAILED_WORKERS: usize = 3;
/// Number of failed starts after which a job is rejected, for jobs that few workers can run.
const MAX_FAILED_STARTS: u32 = 10;
/// Delay before the next start after the first failed one. It doubles with each further failure.
const INITIAL_START_DELAY: Duration = Duration::from_secs(1);
/// Maximum delay before the next start.
const MAX_START_DELAY: Duration = Duration::from_secs(60);

impl Fleet {
    /// Accepts a job into the queue.
    ///
    /// # Errors
    /// `never_fits` when the job does not fit even if all workers are empty, `bad_request` when it has no tasks
    /// or its tasks request no resources. Submitting a job again returns its current admission.
    pub fn submit(&mut self, spec: JobSpec, now: Duration) -> Result<Admission> {
        if let Some(seq) = self.seq_by_id.get(&spec.id) {
            return Ok(self.admission(*seq));
        }
        if spec.tasks == 0 || spec.shape.is_empty() {
            let detail = format!(
                "job {} has no tasks or its tasks request no resources",
                spec.id
            );
            return Err(Error::new(ErrorKind::BadRequest, detail));
        }
        if !self.fits_empty_hardware(&spec) {
            return Err(never_fits(&spec));
        }
        let seq = self.add_job(spec, now);
        self.enqueue(seq);
        Ok(self.admission(seq))
    }

    /// Adds a job that already runs, when an owner rebuilds its state. Placements on unknown workers are ignored;
    /// without any known worker, the job is queued.
    pub fn add_running_job(&mut self, spec: JobSpec, placements: Vec<Placement>, now: Duration) {
        if let Some(seq) = self.seq_by_id.get(&spec.id).copied() {
            if self
                .jobs
                .get(&seq)
                .is_some_and(|job| job.phase != JobPhase::Queued)
            {
                return;
            }
            self.remove_job(seq, now);
        }
        let seq = self.add_job(spec, now);
        let mut allocations: Vec<(usize, u32)> = Vec::new();
        for placement in placements {
            let Some(index) = self.workers.index(&placement.worker) else {
                continue;
            };
            match allocations.iter_mut().find(|(worker, _)| *worker == index) {
                Some((_, tasks)) => *tasks = tasks.saturating_add(placement.tasks),
                None => allocations.push((index, placement.tasks)),
            }
        }
        if allocations.is_empty() {
            self.enqueue(seq);
            return;
        }
        self.allocate(seq, allocations, now);
        self.add_borrowed_use(seq, now);
        self.mark_started(seq, now);
        self.try_promote(seq, now);
        if !self.in_service {
            let within = crate::fleet::CHECKPOINT_TIMEOUT;
            self.stop_job(seq, StopReason::OutOfService, within, now);
        }
    }

    /// Cancels a job. A job with tasks on workers is stopped, and removed once [`Fleet::record_stopped`] is called.
    pub fn cancel(&mut self, job: &str, now: Duration) {
        let Some(seq) = self.seq_by_id.get(job).copied() else {
            return;
        };
        self.stop_job(seq, StopReason::Cancelled, Duration::ZERO, now);
        match self.jobs.get_mut(&seq) {
            Some(job) if job.is_placed() => job.is_cancelled = true,
            _ => self.remove_job(seq, now),
        }
    }

    /// Records that all tasks of a job have started.
    pub fn record_started(&mut self, job: &str, now: Duration) {
        let Some(seq) = self.seq_by_id.get(job).copied() else {
            return;
        };
        self.mark_started(seq, now);
        let (succeeded, suspects): (Vec<usize>, _) = match self.jobs.get_mut(&seq) {
            Some(job) if job.is_placed() => {
                job.failed_starts = 0;
                let suspects = std::mem::take(&mut job.failed_on);
                let placements = job.placements.iter();
                (placements.map(|(worker, _)| *worker).collect(), suspects)
            }
            _ => return,
        };
        for index in succeeded {
            self.health[index].record_success();
            if !self.workers.list[index].healthy {
                self.workers.list[index].healthy = true;
                self.repair_reservations(now);
            }
        }
        // The job can run, so its earlier failures count against the workers on which it failed to start.
        for index in suspects {
            self.quarantine_if_suspect(index, now);
        }
    }

    /// Records that a job failed to start; `worker` is the worker that caused the failure, if known.
    pub fn record_start_failure(&mut self, job: &str, worker: Option<&str>, now: Duration) {
        let Some(seq) = self.seq_by_id.get(job).copied() else {
            return;
        };
        if !self.jobs.get(&seq).is_some_and(Job::is_placed) {
            return;
        }
        self.release(seq, now);
        let index = worker.and_then(|worker| self.workers.index(worker));
        if let Some(index) = index {
            self.record_failure(index, seq, now);
        }
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        job.failed_starts = job.failed_starts.saturating_add(1);
        let delay = INITIAL_START_DELAY * 2_u32.pow(job.failed_starts.min(6) - 1);
        job.not_before = now.saturating_add(delay.min(MAX_START_DELAY));
        let has_exhausted_starts =
            job.failed_on.len() >= MAX_FAILED_WORKERS || job.failed_starts >= MAX_FAILED_STARTS;
        if job.is_cancelled {
            self.remove_job(seq, now);
        } else if has_exhausted_starts {
            let detail = format!(
                "job {} failed to start {} times, on {} workers",
                job.spec.id,
                job.failed_starts,
                job.failed_on.len()
            );
            let id = job.spec.id.clone();
            self.reject(seq, id, Error::new(ErrorKind::NeverFits, detail), now);
        } else {
            self.enqueue(seq);
        }
    }

    /// Records a checkpoint of a running job.
    pub fn record_checkpoint(&mut self, job: &str, checkpoint: Duration, now: Duration) {
        let seq = self.seq_by_id.get(job).copied();
        if let Some(job) = seq.and_then(|seq| self.jobs.get_mut(&seq))
            && checkpoint > job.checkpoint
        {
            job.checkpoint = checkpoint;
            job.checkpoint_at = now;
        }
    }

    /// Records that a job has completed, and removes it.
    pub fn record_finished(&mut self, job: &str, now: Duration) {
        let Some(seq) = self.seq_by_id.get(job).copied() else {
            return;
        };
        if let Some(job) = self.jobs.get(&seq)
            && job.started.is_some()
        {
            let (customer, service) = (&job.spec.customer, &job.spec.service);
            self.run_times
                .observe(customer, service, job.work_done(now));
        }
        self.remove_job(seq, now);
    }

    /// Records that no task of a job runs any more. A cancelled job is removed; any other is queued again and
    /// resumes from `checkpoint`.
    pub fn record_stopped(&mut self, job: &str, checkpoint: Duration, now: Duration) {
        let Some(seq) = self.seq_by_id.get(job).copied() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        let was_placed = job.is_placed();
        if was_placed && job.started.is_some() && !job.is_cancelled {
            let lost = job
                .work_done(now)
                .saturating_sub(checkpoint.max(job.checkpoint));
            self.lost_accelerator_seconds += lost.as_secs_f64() * job.spec.accelerators() as f64;
        }
        job.checkpoint = job.checkpoint.max(checkpoint);
        let is_cancelled = job.is_cancelled;
        if is_cancelled {
            self.remove_job(seq, now);
        } else if was_placed {
            self.release(seq, now);
            self.enqueue(seq);
        }
    }

    /// Returns `Guaranteed` for a job that names a guarantee whose parts, when empty, can hold all its tasks.
    pub(crate) fn admission(&self, seq: u64) -> Admission {
        let fits_guarantee = self.reservation_of(seq).is_some_and(|index| {
            let spec = &self.jobs[&seq].spec;
            let held = &self.reservations[index].spec;
            let tasks_per_part = u64::from(spec.shape.count_fitting_in(held.shape));
            tasks_per_part * u64::from(held.workers) >= u64::from(spec.tasks)
        });
        if fits_guarantee && self.policy == Policy::Guaranteed {
            Admission::Guaranteed
        } else {
            Admission::Borrowed
        }
    }

    fn add_job(&mut self, spec: JobSpec, now: Duration) -> u64 {
        let seq = self.next_seq;
        self.next_seq += 1;
        self.seq_by_id.insert(spec.id.clone(), seq);
        self.jobs.insert(seq, Job::new(spec, now));
        seq
    }

    /// Returns whether a job fits if all workers, usable or not, were empty.
    pub(crate) fn fits_empty_hardware(&self, spec: &JobSpec) -> bool {
        let mut tasks_by_rack = vec![0_u64; self.workers.rack_count()];
        for worker in &self.workers.list {
            tasks_by_rack[worker.rack] += u64::from(spec.shape.count_fitting_in(worker.capacity));
        }
        let capacity = match spec.adjacency {
            crate::Adjacency::Rack => tasks_by_rack.iter().copied().max().unwrap_or(0),
            crate::Adjacency::DataCentre => tasks_by_rack.iter().sum(),
        };
        capacity >= u64::from(spec.tasks)
    }

    /// Rejects queued jobs that would not fit any more even if all workers were empty.
    pub(crate) fn reject_impossible_jobs(&mut self) {
        for (_, seq) in self.queue.by_arrival() {
            let Some(job) = self.jobs.get(&seq) else {
                continue;
            };
            if !self.fits_empty_hardware(&job.spec) {
                let error = never_fits(&job.spec);
                let id = job.spec.id.clone();
                self.reject(seq, id, error, Duration::ZERO);
            }
        }
    }

    /// Removes a job and adds its `Reject` action.
    fn reject(&mut self, seq: u64, job: JobId, error: Error, now: Duration) {
        self.remove_job(seq, now);
        self.outbox.push(Action::Reject { job, error });
    }

    /// Records a failed start of a job on a worker, and quarantines the worker if needed.
    fn record_failure(&mut self, index: usize, seq: u64, now: Duration) {
        let state = self.health[index].state;
        if state == HealthState::Probing {
            self.health[index].quarantine(now);
            return;
        }
        if let Some(job) = self.jobs.get_mut(&seq)
            && state == HealthState::Healthy
        {
            job.failed_on.insert(index);
        }
        self.health[index].failed_jobs.insert(seq);
        self.quarantine_if_suspect(index, now);
    }

    /// Quarantines a worker if enough jobs that failed on no other worker failed on it.
    fn quarantine_if_suspect(&mut self, index: usize, now: Duration) {
        let failed_elsewhere = |seq: u64| {
            self.jobs
                .get(&seq)
                .is_some_and(|job| job.failed_on.iter().any(|worker| *worker != index))
        };
        let is_healthy = self.health[index].state == HealthState::Healthy;
        let suspect = self.health[index].is_suspect(failed_elsewhere);
        let present_count = self
            .workers
            .list
            .iter()
            .filter(|worker| worker.present)
            .count();
        if is_healthy && suspect && self.quarantined_count() < quarantine_limit(present_count) {
            self.health[index].quarantine(now);
            self.workers.list[index].healthy = false;
            // Failures on a faulty worker do not count against the jobs.
            for job in self.jobs.values_mut() {
                job.failed_on.remove(&index);
            }
            self.release_invalid_claims(now);
            self.repair_reservations(now);
        }
    }
}

fn never_fits(spec: &JobSpec) -> Error {
    let detail = format!(
        "job {} needs {} tasks of {} accelerators, {} cores and {} MB, which exceeds the capacity of the data centre",
        spec.id, spec.tasks, spec.shape.accelerators, spec.shape.cores, spec.shape.memory_mb
    );
    Error::new(ErrorKind::NeverFits, detail)
}
