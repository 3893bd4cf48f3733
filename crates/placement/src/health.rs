//! Quarantine of workers on which runs fail.
//!
//! A worker that fails every task is always free. Without quarantine a retried task is placed on it again and uses up its
//! attempts. But a run may also fail because of its job, and a job that can never be done fails wherever it runs. The
//! failures of the last minute are therefore seen together, as pairs of a job and a worker, and attributed to the jobs and
//! workers that explain most of them: a job that has failed on many workers explains these failures rather than the
//! workers do, and a worker on which several jobs have failed explains them rather than the jobs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use nutmegwalk_base::JobId;
use nutmegwalk_workload::WorkerRef;

/// Number of workers with failures of one job from which further ones are not recorded. The job is known by then, and the
/// cost of an attribution is bounded.
const MAX_WORKERS_OF_A_JOB: usize = 8;

/// Thresholds and durations of the quarantine of workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HealthSettings {
    /// Number of causes, such as different jobs, that have to point to a worker for its first quarantine.
    pub causes_to_quarantine: usize,
    /// Duration of the first quarantine; each further quarantine lasts twice as long as the one before.
    pub initial_quarantine: Duration,
    /// Upper bound of the duration of a quarantine.
    pub max_quarantine: Duration,
    /// Time for which a failure counts. It is longer than a quarantine, so that what led to it is still known meanwhile.
    pub memory: Duration,
    /// One of this many workers of a service may be in quarantine at a time.
    pub workers_per_quarantine: usize,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            causes_to_quarantine: 2,
            initial_quarantine: Duration::from_secs(4),
            max_quarantine: Duration::from_secs(30),
            memory: Duration::from_secs(60),
            workers_per_quarantine: 5,
        }
    }
}

/// What may have caused a failure on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureCause<'a> {
    /// The worker itself: it did not carry out an order.
    Worker,
    /// The worker or the job: a run that began at `started_at` has failed or made no progress.
    Run {
        /// The job of the run.
        job: &'a JobId,
        /// When the run began.
        started_at: Instant,
    },
}

/// A failure on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure<'a> {
    /// The worker.
    pub worker: &'a WorkerRef,
    /// Workers of the same service.
    pub peers: &'a [&'a WorkerRef],
    /// What may have caused it.
    pub cause: FailureCause<'a>,
}

/// Effect of a failure on the quarantine of its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureEffect {
    /// The worker stays as it is.
    None,
    /// The worker is in quarantine from now on, or for longer than before.
    Quarantined,
    /// The worker would be in quarantine if fewer others of its service were.
    KeptOpen,
}

/// Failures on one worker since its last success.
#[derive(Clone, Debug, Default)]
struct WorkerRecord {
    /// When a run of each job last failed.
    jobs: BTreeMap<JobId, Instant>,
    /// When the worker itself failed, each time.
    own: Vec<Instant>,
    /// The last quarantine; removed by a success.
    quarantine: Option<Quarantine>,
}

#[derive(Clone, Copy, Debug)]
struct Quarantine {
    began_at: Instant,
    until: Instant,
    duration: Duration,
    /// Number of causes that this quarantine rests on.
    required_causes: usize,
}

/// Health of the workers of a domain.
#[derive(Clone, Debug, Default)]
pub struct DomainHealth {
    settings: HealthSettings,
    workers: BTreeMap<WorkerRef, WorkerRecord>,
    /// Workers on which a run of a job has completed since the job last failed there, for jobs with failures.
    succeeded_on: BTreeMap<JobId, BTreeSet<WorkerRef>>,
}

impl DomainHealth {
    /// Creates the health of workers without recorded failures.
    #[must_use]
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that a run of a job has completed on a worker, which ends the worker's quarantine and its failures.
    pub fn record_success(&mut self, job: &JobId, worker: &WorkerRef) {
        self.workers.remove(worker);
        let has_failed = self
            .workers
            .values()
            .any(|record| record.jobs.contains_key(job));
        if has_failed {
            let succeeded_on = self.succeeded_on.entry(job.clone()).or_default();
            succeeded_on.insert(worker.clone());
        }
    }

    /// Records a failure at `now`. It can put its worker into quarantine, and end the quarantine of others, as it changes
    /// what explains their failures.
    pub fn record_failure(&mut self, failure: &Failure<'_>, now: Instant) -> FailureEffect {
        self.forget_old(now);
        let earlier = self.quarantine_of(failure.worker);
        let is_known = self.record_cause(failure, now);
        if is_known && earlier.is_none() {
            return FailureEffect::None;
        }
        let guilty_jobs = self.guilty_jobs();
        self.end_unfounded_quarantines(&guilty_jobs, now);
        // What began before the quarantine belongs to the same incident.
        let is_new = match (earlier, failure.cause) {
            (None, _) => true,
            (Some(earlier), FailureCause::Worker) => now >= earlier.until,
            (Some(earlier), FailureCause::Run { started_at, .. }) => started_at >= earlier.began_at,
        };
        let is_job_guilty = match failure.cause {
            FailureCause::Worker => false,
            FailureCause::Run { job, .. } => guilty_jobs.contains(job),
        };
        // After a quarantine, a single failure starts the next one.
        let required_causes = match earlier {
            Some(_) => 1,
            None => self.settings.causes_to_quarantine,
        };
        let causes = self.causes_against(failure.worker, &guilty_jobs);
        if !is_new || is_job_guilty || causes < required_causes {
            return FailureEffect::None;
        }
        let others = failure.peers.iter().filter(|peer| **peer != failure.worker);
        let closed = others.filter(|peer| self.is_quarantined(peer, now)).count();
        if closed >= self.max_quarantined(failure.peers.len()) {
            return FailureEffect::KeptOpen;
        }
        let duration = earlier.map_or(self.settings.initial_quarantine, |earlier| {
            (earlier.duration * 2).min(self.settings.max_quarantine)
        });
        let record = self.workers.entry(failure.worker.clone()).or_default();
        record.quarantine = Some(Quarantine {
            began_at: now,
            until: now + duration,
            duration,
            required_causes,
        });
        FailureEffect::Quarantined
    }

    /// Returns whether a worker is in quarantine at `now`.
    #[must_use]
    pub fn is_quarantined(&self, worker: &WorkerRef, now: Instant) -> bool {
        self.quarantine_of(worker)
            .is_some_and(|quarantine| now < quarantine.until)
    }

    /// Forgets a worker that is gone.
    pub fn remove_worker(&mut self, worker: &WorkerRef) {
        self.workers.remove(worker);
    }

    /// Records what may have caused a failure; returns whether it adds nothing to what is known.
    fn record_cause(&mut self, failure: &Failure<'_>, now: Instant) -> bool {
        let job = match failure.cause {
            FailureCause::Worker => {
                let record = self.workers.entry(failure.worker.clone()).or_default();
                record.own.push(now);
                return false;
            }
            FailureCause::Run { job, .. } => job,
        };
        if let Some(succeeded_on) = self.succeeded_on.get_mut(job) {
            succeeded_on.remove(failure.worker);
        }
        let failed_on = |record: &&WorkerRecord| record.jobs.contains_key(job);
        let is_wide = self.workers.values().filter(failed_on).count() >= MAX_WORKERS_OF_A_JOB;
        let record = self.workers.entry(failure.worker.clone()).or_default();
        if let Some(at) = record.jobs.get_mut(job) {
            *at = now;
            return true;
        }
        if !is_wide {
            record.jobs.insert(job.clone(), now);
        }
        is_wide
    }

    fn quarantine_of(&self, worker: &WorkerRef) -> Option<Quarantine> {
        self.workers.get(worker)?.quarantine
    }

    /// Returns how many of the workers of a service may be in quarantine at a time. A single worker never is.
    fn max_quarantined(&self, workers: usize) -> usize {
        let share = workers / self.settings.workers_per_quarantine;
        share.max(1).min(workers.saturating_sub(1))
    }

    /// Returns the jobs that explain the failures of their runs.
    ///
    /// Repeatedly the job or worker with the most unexplained failures explains them: for a job, those on each worker; for
    /// a worker, those of each job and its own. A tie is decided for the job, since a quarantine affects others. A single
    /// failure explains nothing.
    fn guilty_jobs(&self) -> BTreeSet<JobId> {
        let mut jobs: BTreeMap<&JobId, BTreeSet<&WorkerRef>> = BTreeMap::new();
        let mut workers: BTreeMap<&WorkerRef, BTreeSet<&JobId>> = BTreeMap::new();
        for (worker, record) in &self.workers {
            for job in record.jobs.keys() {
                jobs.entry(job).or_default().insert(worker);
                workers.entry(worker).or_default().insert(job);
            }
        }
        let own = |worker: &WorkerRef| {
            self.workers
                .get(worker)
                .map_or(0, |record| record.own.len())
        };
        let mut guilty = BTreeSet::new();
        loop {
            let suspects = jobs
                .iter()
                .filter(|(job, on)| !self.is_mostly_done(job, on.len()));
            let job = suspects.max_by_key(|(_, on)| on.len());
            let job = job.map(|(job, on)| (*job, on.len()));
            let worker = workers
                .iter()
                .map(|(worker, of)| (*worker, of.len() + own(worker)));
            let worker = worker.max_by_key(|(_, count)| *count);
            match (job, worker) {
                (Some((job, count)), _)
                    if count >= 2 && worker.is_none_or(|(_, of)| count >= of) =>
                {
                    guilty.insert(job.clone());
                    for worker in jobs.remove(job).unwrap_or_default() {
                        remove_pair(&mut workers, worker, job);
                    }
                }
                (_, Some((worker, count))) if count >= 2 => {
                    for job in workers.remove(worker).unwrap_or_default() {
                        remove_pair(&mut jobs, job, worker);
                    }
                }
                _ => return guilty,
            }
        }
    }

    /// Returns whether a job has completed runs on more workers than the `failed` ones, so that it can be done.
    fn is_mostly_done(&self, job: &JobId, failed: usize) -> bool {
        self.succeeded_on
            .get(job)
            .is_some_and(|succeeded_on| succeeded_on.len() > failed)
    }

    /// Returns the number of causes that point to a worker.
    fn causes_against(&self, worker: &WorkerRef, guilty_jobs: &BTreeSet<JobId>) -> usize {
        let Some(record) = self.workers.get(worker) else {
            return 0;
        };
        let jobs = record.jobs.keys().filter(|job| !guilty_jobs.contains(*job));
        jobs.count() + record.own.len()
    }

    /// Ends the quarantines whose causes turn out to be jobs.
    fn end_unfounded_quarantines(&mut self, guilty_jobs: &BTreeSet<JobId>, now: Instant) {
        let is_unfounded = |worker: &WorkerRef, quarantine: &Quarantine| {
            now < quarantine.until
                && self.causes_against(worker, guilty_jobs) < quarantine.required_causes
        };
        let unfounded: Vec<WorkerRef> = self
            .workers
            .iter()
            .filter(|(worker, record)| {
                let quarantine = record.quarantine.as_ref();
                quarantine.is_some_and(|quarantine| is_unfounded(worker, quarantine))
            })
            .map(|(worker, _)| worker.clone())
            .collect();
        for worker in unfounded {
            if let Some(record) = self.workers.get_mut(&worker) {
                record.quarantine = None;
            }
        }
    }

    /// Forgets what is older than the memory.
    fn forget_old(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < self.settings.memory;
        for record in self.workers.values_mut() {
            record.jobs.retain(|_, at| is_recent(at));
            record.own.retain(is_recent);
            record.quarantine = record
                .quarantine
                .filter(|quarantine| now < quarantine.until || is_recent(&quarantine.until));
        }
        self.workers.retain(|_, record| {
            !record.jobs.is_empty() || !record.own.is_empty() || record.quarantine.is_some()
        });
        let failing: BTreeSet<&JobId> = self
            .workers
            .values()
            .flat_map(|record| record.jobs.keys())
            .collect();
        self.succeeded_on.retain(|job, _| failing.contains(job));
    }
}

/// Removes `value` from the set at `key`, and the set if it is empty then.
fn remove_pair<'a, K: Ord, V: Ord>(
    sets: &mut BTreeMap<&'a K, BTreeSet<&'a V>>,
    key: &'a K,
    value: &'a V,
) {
    if let Some(set) = sets.get_mut(key) {
        set.remove(value);
        if set.is_empty() {
            sets.remove(key);
        }
    }
}
