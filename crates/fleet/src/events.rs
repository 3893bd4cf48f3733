//! Events about jobs.

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

/// Workers on which a job has to fail before it is given up.
const WORKERS_TO_GIVE_UP: usize = 3;
/// Failed starts after which a job is given up where fewer workers could run it.
const STARTS_TO_GIVE_UP: u32 = 10;
/// Pause after the first failed start; it doubles up to the limit.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
const LAST_PAUSE: Duration = Duration::from_secs(60);

impl Fleet {
    /// Accepts a job into the queue.
    ///
    /// # Errors
    /// `never_fits` when the job could not run even on empty hardware, `bad_request` when it asks for
    /// nothing. A job that is known already is answered as before.
    pub fn submit(&mut self, spec: JobSpec, now: Duration) -> Result<Admission> {
        if let Some(seq) = self.ids.get(&spec.id) {
            return Ok(self.admission(*seq));
        }
        if spec.tasks == 0 || spec.shape.is_empty() {
            let detail = format!("job {} asks for no tasks or for empty tasks", spec.id);
            return Err(Error::new(ErrorKind::BadRequest, detail));
        }
        if !self.fits_empty_hardware(&spec) {
            return Err(never_fits(&spec));
        }
        let seq = self.add_job(spec, now);
        self.enqueue(seq);
        Ok(self.admission(seq))
    }

    /// Takes over a job that runs already, when an owner rebuilds its state.
    pub fn adopt(&mut self, spec: JobSpec, placements: Vec<Placement>, now: Duration) {
        if let Some(seq) = self.ids.get(&spec.id).copied() {
            if self
                .jobs
                .get(&seq)
                .is_some_and(|job| job.phase != JobPhase::Queued)
            {
                return;
            }
            self.forget(seq, now);
        }
        let seq = self.add_job(spec, now);
        let mut known: Vec<(usize, u32)> = Vec::new();
        for placement in placements {
            let Some(index) = self.workers.index(&placement.worker) else {
                continue;
            };
            match known.iter_mut().find(|(worker, _)| *worker == index) {
                Some((_, tasks)) => *tasks = tasks.saturating_add(placement.tasks),
                None => known.push((index, placement.tasks)),
            }
        }
        if known.is_empty() {
            self.enqueue(seq);
            return;
        }
        self.occupy(seq, known, now);
        self.count_borrowed(seq, now);
        self.started_by_seq(seq, now);
        self.try_promote(seq, now);
        if !self.in_service {
            let within = crate::fleet::CHECKPOINT_BOUND;
            self.stop_job(seq, StopReason::OutOfService, within, now);
        }
    }

    /// Gives a job up; if it runs, it is stopped and forgotten once `stopped` is reported.
    pub fn cancel(&mut self, job: &str, now: Duration) {
        let Some(seq) = self.ids.get(job).copied() else {
            return;
        };
        self.stop_job(seq, StopReason::Cancelled, Duration::ZERO, now);
        match self.jobs.get_mut(&seq) {
            Some(job) if job.is_placed() => job.ending = true,
            _ => self.forget(seq, now),
        }
    }

    /// Records that all tasks of a job run.
    pub fn started(&mut self, job: &str, now: Duration) {
        let Some(seq) = self.ids.get(job).copied() else {
            return;
        };
        self.started_by_seq(seq, now);
        let (recovered, suspects): (Vec<usize>, _) = match self.jobs.get_mut(&seq) {
            Some(job) if job.is_placed() => {
                job.failed_starts = 0;
                let suspects = std::mem::take(&mut job.failed_on);
                let placements = job.placements.iter();
                (placements.map(|(worker, _)| *worker).collect(), suspects)
            }
            _ => return,
        };
        for index in recovered {
            self.health[index].recover();
            if !self.workers.list[index].healthy {
                self.workers.list[index].healthy = true;
                self.repair_reservations(now);
            }
        }
        // A job that runs now was not the reason why it failed elsewhere.
        for index in suspects {
            self.quarantine_if_suspect(index, now);
        }
    }

    /// Records that a job could not be started, because of `worker` if that is known.
    pub fn start_failed(&mut self, job: &str, worker: Option<&str>, now: Duration) {
        let Some(seq) = self.ids.get(job).copied() else {
            return;
        };
        if !self.jobs.get(&seq).is_some_and(Job::is_placed) {
            return;
        }
        self.release(seq, now);
        let index = worker.and_then(|worker| self.workers.index(worker));
        if let Some(index) = index {
            self.blame(index, seq, now);
        }
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        job.failed_starts = job.failed_starts.saturating_add(1);
        let pause = FIRST_PAUSE * 2_u32.pow(job.failed_starts.min(6) - 1);
        job.not_before = now.saturating_add(pause.min(LAST_PAUSE));
        let given_up =
            job.failed_on.len() >= WORKERS_TO_GIVE_UP || job.failed_starts >= STARTS_TO_GIVE_UP;
        if job.ending {
            self.forget(seq, now);
        } else if given_up {
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
    pub fn checkpointed(&mut self, job: &str, checkpoint: Duration, now: Duration) {
        let seq = self.ids.get(job).copied();
        if let Some(job) = seq.and_then(|seq| self.jobs.get_mut(&seq))
            && checkpoint > job.checkpoint
        {
            job.checkpoint = checkpoint;
            job.checkpoint_at = now;
        }
    }

    /// Records that a job has ended by itself; the planner forgets it.
    pub fn finished(&mut self, job: &str, now: Duration) {
        let Some(seq) = self.ids.get(job).copied() else {
            return;
        };
        if let Some(job) = self.jobs.get(&seq)
            && job.started.is_some()
        {
            let (customer, service) = (&job.spec.customer, &job.spec.service);
            self.run_times.observe(customer, service, job.done(now));
        }
        self.forget(seq, now);
    }

    /// Records that no task of a job runs any more; it resumes from `checkpoint` unless it was cancelled.
    pub fn stopped(&mut self, job: &str, checkpoint: Duration, now: Duration) {
        let Some(seq) = self.ids.get(job).copied() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        let placed = job.is_placed();
        if placed && job.started.is_some() && !job.ending {
            let lost = job.done(now).saturating_sub(checkpoint.max(job.checkpoint));
            self.lost_accelerator_seconds += lost.as_secs_f64() * job.spec.accelerators() as f64;
        }
        job.checkpoint = job.checkpoint.max(checkpoint);
        let ending = job.ending;
        if ending {
            self.forget(seq, now);
        } else if placed {
            self.release(seq, now);
            self.enqueue(seq);
        }
    }

    pub(crate) fn admission(&self, seq: u64) -> Admission {
        let guaranteed = self.reservation_of(seq).is_some_and(|index| {
            let spec = &self.jobs[&seq].spec;
            let held = &self.reservations[index].spec;
            let in_part = u64::from(spec.shape.count_fitting_in(held.shape));
            in_part * u64::from(held.workers) >= u64::from(spec.tasks)
        });
        if guaranteed && self.policy == Policy::Guaranteed {
            Admission::Guaranteed
        } else {
            Admission::Borrowed
        }
    }

    fn add_job(&mut self, spec: JobSpec, now: Duration) -> u64 {
        let seq = self.next_seq;
        self.next_seq += 1;
        self.ids.insert(spec.id.clone(), seq);
        self.jobs.insert(seq, Job::new(spec, now));
        seq
    }

    /// Returns whether a job fits on the hardware as described, whether usable now or not.
    pub(crate) fn fits_empty_hardware(&self, spec: &JobSpec) -> bool {
        let mut racks = vec![0_u64; self.workers.rack_count()];
        for worker in &self.workers.list {
            racks[worker.rack] += u64::from(spec.shape.count_fitting_in(worker.capacity));
        }
        let most = match spec.adjacency {
            crate::Adjacency::Rack => racks.iter().copied().max().unwrap_or(0),
            crate::Adjacency::DataCentre => racks.iter().sum(),
        };
        most >= u64::from(spec.tasks)
    }

    /// Gives up waiting jobs that no longer fit on the hardware.
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

    fn reject(&mut self, seq: u64, job: JobId, error: Error, now: Duration) {
        self.forget(seq, now);
        self.outbox.push(Action::Reject { job, error });
    }

    /// Counts a failed start against the worker and the job, and quarantines the worker if needed.
    fn blame(&mut self, index: usize, seq: u64, now: Duration) {
        let state = self.health[index].state;
        if state == HealthState::Probing {
            self.health[index].quarantine(now);
            return;
        }
        if let Some(job) = self.jobs.get_mut(&seq)
            && state == HealthState::Good
        {
            job.failed_on.insert(index);
        }
        self.health[index].failed_jobs.insert(seq);
        self.quarantine_if_suspect(index, now);
    }

    /// Quarantines a worker if jobs that failed nowhere else failed on it.
    fn quarantine_if_suspect(&mut self, index: usize, now: Duration) {
        let elsewhere = |seq: u64| {
            self.jobs
                .get(&seq)
                .is_some_and(|job| job.failed_on.iter().any(|worker| *worker != index))
        };
        let good = self.health[index].state == HealthState::Good;
        let suspect = self.health[index].is_suspect(elsewhere);
        let present = self.workers.list.iter().filter(|one| one.present).count();
        if good && suspect && self.quarantined() < quarantine_limit(present) {
            self.health[index].quarantine(now);
            self.workers.list[index].healthy = false;
            // Failures on a worker that turned out to be bad do not count against jobs.
            for job in self.jobs.values_mut() {
                job.failed_on.remove(&index);
            }
            self.release_claims_on_unfit_workers(now);
            self.repair_reservations(now);
        }
    }
}

fn never_fits(spec: &JobSpec) -> Error {
    let detail = format!(
        "job {} needs {} tasks of {} accelerators, {} cores and {} MB, which the data centre cannot hold",
        spec.id, spec.tasks, spec.shape.accelerators, spec.shape.cores, spec.shape.memory_mb
    );
    Error::new(ErrorKind::NeverFits, detail)
}
