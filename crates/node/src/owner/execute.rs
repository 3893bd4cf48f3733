//! Starts and stops of gangs, and the writes that record them.

use std::time::Duration;
use std::time::Instant;

use log::debug;
use log::info;
use log::warn;

use crate::jobs::JobRecord;
use crate::jobs::JobState;
use crate::jobs::RunRecord;
use crate::jobs::UNASSIGNED;
use crate::jobs::unix_ms;
use crate::owner::DataCentreOwner;
use crate::owner::inbox::submit_queued;
use crate::owner::term::Phase;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_base::backoff::Backoff;
use nutmegwalk_fleet::Action;
use nutmegwalk_fleet::Placement;
use nutmegwalk_fleet::StopReason;
use nutmegwalk_gang::GangEnd;
use nutmegwalk_gang::GangHandle;
use nutmegwalk_gang::Running;
use nutmegwalk_gang::StartFailure;

/// Processor share of a task that will be stopped as soon as it has written its checkpoint.
const RECLAIM_SHARE_PERCENT: u32 = 25;

impl DataCentreOwner {
    /// Lets the planner decide and carries its decisions out.
    pub(crate) fn plan(&self, epoch: Epoch) {
        let timings = self.inner.timings;
        let actions = self.with_term(epoch, |term| {
            let unresolved = term.jobs.values().any(|entry| matches!(entry.phase, Phase::Unresolved));
            if !term.loaded || (unresolved && term.started.elapsed() < timings.rebuild) {
                return Vec::new();
            }
            let now = term.now();
            for (id, worker) in &mut term.workers {
                if worker.usable && worker.last_heard.elapsed() >= timings.worker_silence {
                    warn!(worker = &**id; "worker has been silent for {:?}", worker.last_heard.elapsed());
                    worker.usable = false;
                    term.fleet.worker_failed(id, now);
                }
            }
            if term.started.elapsed() >= timings.rebuild {
                term.log_degraded();
            }
            submit_queued(term);
            if self.inner.view.start_permission(&self.inner.data_centre).is_err() && term.in_service {
                // Without permission nothing can start, and a stop would only lose work.
                return Vec::new();
            }
            term.fleet.schedule(now)
        });
        for action in actions.unwrap_or_default() {
            match action {
                Action::Start {
                    job,
                    placements,
                    borrowed,
                } => self.start(epoch, &job, placements, borrowed),
                Action::Stop {
                    job,
                    reason,
                    within,
                } => self.stop(epoch, &job, reason, within),
                Action::Throttle { job } => self.throttle(epoch, &job),
                Action::Reject { job, error } => {
                    self.end_job(epoch, &job, JobState::Failed, Some(error))
                }
            }
        }
        self.move_away(epoch);
    }

    /// Sends queued jobs of a data centre that is out of service back to the dispatcher.
    fn move_away(&self, epoch: Epoch) {
        let queued = self.with_term(epoch, |term| {
            if term.in_service || !term.loaded || term.config_version.is_none() {
                return Vec::new();
            }
            let mut queued = Vec::new();
            for (id, entry) in &mut term.jobs {
                if matches!(entry.phase, Phase::Queued) {
                    entry.phase = Phase::Ending;
                    queued.push(id.clone());
                }
            }
            queued
        });
        for job in queued.unwrap_or_default() {
            let owner = self.clone();
            compio::runtime::spawn(async move {
                owner
                    .settle_stopped(epoch, &job, StopReason::OutOfService, None)
                    .await;
            })
            .detach();
        }
    }

    fn start(&self, epoch: Epoch, job: &JobId, placements: Vec<Placement>, borrowed: bool) {
        let run = self.with_term(epoch, |term| {
            let attempt = term.next_attempt();
            let entry = term.jobs.get_mut(job)?;
            entry.phase = Phase::Starting { stop: None };
            Some(RunRecord {
                attempt,
                placements,
                borrowed,
            })
        });
        let Some(Some(run)) = run else {
            self.with_term(epoch, |term| {
                let now = term.now();
                term.fleet.cancel(job, now);
                term.fleet.stopped(job, Duration::ZERO, now);
            });
            return;
        };
        let (owner, job) = (self.clone(), job.clone());
        compio::runtime::spawn(async move {
            match owner.start_gang(epoch, &job, run).await {
                Ok(gang) => owner.started(epoch, &job, gang),
                Err(failure) => owner.start_failed(epoch, &job, failure).await,
            }
        })
        .detach();
    }

    async fn start_gang(
        &self,
        epoch: Epoch,
        job: &JobId,
        run: RunRecord,
    ) -> Result<GangHandle<Running>, StartFailure> {
        let early = |error| StartFailure {
            worker: None,
            error,
            is_settled: true,
        };
        let record_run = |record: &JobRecord| JobRecord {
            run: Some(run.clone()),
            ..record.clone()
        };
        let record = self.update(epoch, job, record_run).await.map_err(early)?;
        let spec = self.with_term(epoch, |term| {
            let entry = term.jobs.get(job);
            if entry.is_some_and(|entry| matches!(entry.phase, Phase::Starting { stop: Some(_) })) {
                return Err(Error::new(
                    ErrorKind::AttemptClosed,
                    "the start was cancelled",
                ));
            }
            term.gang_spec(&record, &run)
        });
        let ended = || Error::new(ErrorKind::StaleEpoch, "the term has ended");
        let spec = spec.unwrap_or_else(|| Err(ended())).map_err(early)?;
        self.inner.driver.start(spec).await
    }

    fn started(&self, epoch: Epoch, job: &JobId, gang: GangHandle<Running>) {
        let attempt = gang.spec().attempt;
        let stop = self.with_term(epoch, |term| {
            let now = term.now();
            let entry = term.jobs.get_mut(job)?;
            let stop = match entry.phase {
                Phase::Starting { stop } => stop,
                _ => None,
            };
            entry.phase = Phase::Running {
                gang,
                since: Instant::now(),
            };
            term.fleet.started(job, now);
            stop
        });
        info!(job = &**job, epoch = attempt.epoch, sequence = attempt.sequence; "gang started");
        if let Some(Some(reason)) = stop {
            self.stop(epoch, job, reason, Duration::ZERO);
        }
    }

    async fn start_failed(&self, epoch: Epoch, job: &JobId, failure: StartFailure) {
        info!(job = &**job; "gang did not start: {}", failure.error);
        if !failure.is_settled {
            compio::time::sleep(self.inner.timings.gang.quiet()).await;
        }
        let stop = self.with_term(epoch, |term| {
            let entry = term.jobs.get_mut(job)?;
            match entry.phase {
                Phase::Starting { stop: Some(reason) } => {
                    entry.phase = Phase::Ending;
                    Some(reason)
                }
                _ => {
                    entry.phase = Phase::Queued;
                    None
                }
            }
        });
        if let Some(Some(reason)) = stop {
            self.settle_stopped(epoch, job, reason, None).await;
            return;
        }
        self.with_term(epoch, |term| {
            let now = term.now();
            match failure
                .worker
                .as_deref()
                .filter(|_| is_evidence(failure.error.kind))
            {
                Some(worker) => term.fleet.start_failed(job, Some(worker), now),
                None => {
                    let checkpoint =
                        checkpoint_of(term.jobs.get(job).map(|entry| &entry.stored.record));
                    term.fleet.stopped(job, checkpoint, now);
                }
            }
        });
    }

    /// Stops a job in whatever phase it is.
    pub(crate) fn stop(&self, epoch: Epoch, job: &str, reason: StopReason, within: Duration) {
        enum Step {
            Nothing,
            CancelStart,
            StopGang(GangHandle<Running>),
        }
        let step = self.with_term(epoch, |term| {
            let Some(entry) = term.jobs.get_mut(job) else {
                return Step::Nothing;
            };
            match std::mem::replace(&mut entry.phase, Phase::Ending) {
                Phase::Running { gang, .. } => Step::StopGang(gang),
                Phase::Starting { .. } => {
                    entry.phase = Phase::Starting { stop: Some(reason) };
                    Step::CancelStart
                }
                other => {
                    entry.phase = other;
                    Step::Nothing
                }
            }
        });
        match step {
            None | Some(Step::Nothing) => {}
            Some(Step::CancelStart) => {
                let attempt = self.with_term(epoch, |term| {
                    term.jobs.get(job).and_then(|entry| entry.attempt())
                });
                if let Some(Some(attempt)) = attempt {
                    self.inner.driver.cancel(job, attempt);
                }
            }
            Some(Step::StopGang(gang)) => {
                info!(job = job; "stopping the gang: {reason:?}");
                let (owner, job) = (self.clone(), JobId::from(job));
                compio::runtime::spawn(async move {
                    owner.stop_gang(epoch, &job, gang, reason, within).await;
                })
                .detach();
            }
        }
    }

    async fn stop_gang(
        &self,
        epoch: Epoch,
        job: &JobId,
        gang: GangHandle<Running>,
        reason: StopReason,
        within: Duration,
    ) {
        let driver = &self.inner.driver;
        let stopped = if within.is_zero() {
            driver.stop(gang).await
        } else {
            if let Err(error) = driver.throttle(&gang, RECLAIM_SHARE_PERCENT).await {
                debug!(job = &**job; "cannot throttle all tasks: {error}");
            }
            driver.checkpoint_and_stop(gang, within).await
        };
        if !stopped.is_settled() {
            compio::time::sleep(self.inner.timings.gang.quiet()).await;
        }
        self.settle_stopped(epoch, job, reason, stopped.checkpoint_ms())
            .await;
    }

    /// Records that no task of a job runs any more.
    pub(crate) async fn settle_stopped(
        &self,
        epoch: Epoch,
        job: &JobId,
        reason: StopReason,
        checkpoint_ms: Option<u64>,
    ) {
        let change = |record: &JobRecord| {
            let mut record = record.clone();
            record.run = None;
            record.checkpoint_ms = record.checkpoint_ms.max(checkpoint_ms.unwrap_or(0));
            if record.state == JobState::Cancelling {
                record.state = JobState::Cancelled;
                record.ended_unix_ms = Some(unix_ms());
            } else if reason == StopReason::OutOfService {
                record.home = UNASSIGNED.into();
            }
            record
        };
        let Ok(record) = self.update(epoch, job, change).await else {
            return;
        };
        self.with_term(epoch, |term| {
            let now = term.now();
            if record.state.is_final() || *record.home != *self.inner.data_centre {
                term.fleet.cancel(job, now);
                term.fleet.stopped(job, checkpoint_of(Some(&record)), now);
                term.jobs.remove(job);
                return;
            }
            if let Some(entry) = term.jobs.get_mut(job) {
                entry.phase = Phase::Queued;
            }
            term.fleet.stopped(job, checkpoint_of(Some(&record)), now);
        });
    }

    /// Takes the end of a gang that its lead has reported.
    pub(crate) fn gang_ended(&self, epoch: Epoch, job: &JobId, end: GangEnd) {
        let gang = self.with_term(epoch, |term| {
            let entry = term.jobs.get_mut(job)?;
            match std::mem::replace(&mut entry.phase, Phase::Ending) {
                Phase::Running { gang, .. } => Some(gang),
                other => {
                    entry.phase = other;
                    None
                }
            }
        });
        let Some(Some(gang)) = gang else {
            return;
        };
        if end == GangEnd::Finished {
            self.finish(epoch, job);
            return;
        }
        info!(job = &**job; "gang ended: {end:?}");
        let (owner, job) = (self.clone(), job.clone());
        compio::runtime::spawn(async move { owner.recover_gang(epoch, &job, gang).await }).detach();
    }

    /// Stops what is left of a gang that ended early and puts its job back into the queue.
    async fn recover_gang(&self, epoch: Epoch, job: &JobId, gang: GangHandle<Running>) {
        let attempt = gang.spec().attempt;
        let stopped = self.inner.driver.stop(gang).await;
        if !stopped.is_settled() {
            compio::time::sleep(self.inner.timings.gang.quiet()).await;
        }
        let culprit = self
            .with_term(epoch, |term| term.failed_worker(job, attempt))
            .flatten();
        let is_cancelled = self.with_term(epoch, |term| {
            term.jobs
                .get(job)
                .is_some_and(|entry| entry.stored.record.state == JobState::Cancelling)
        });
        if let (Some(worker), Some(false)) = (&culprit, is_cancelled) {
            let record_stop = |record: &JobRecord| JobRecord {
                run: None,
                ..record.clone()
            };
            if self.update(epoch, job, record_stop).await.is_ok() {
                self.with_term(epoch, |term| {
                    let now = term.now();
                    if let Some(entry) = term.jobs.get_mut(job) {
                        entry.phase = Phase::Queued;
                    }
                    term.fleet.start_failed(job, Some(worker), now);
                });
            }
            return;
        }
        self.settle_stopped(
            epoch,
            job,
            StopReason::WorkerFailed,
            stopped.checkpoint_ms(),
        )
        .await;
    }

    /// Records that all tasks of a job finished.
    pub(crate) fn finish(&self, epoch: Epoch, job: &JobId) {
        info!(job = &**job; "job finished");
        self.end_job(epoch, job, JobState::Finished, None);
    }

    /// Records the end of a job that does not run.
    pub(crate) fn end_job(&self, epoch: Epoch, job: &str, state: JobState, error: Option<Error>) {
        let known = self.with_term(epoch, |term| {
            term.jobs
                .get_mut(job)
                .map(|entry| entry.phase = Phase::Ending)
                .is_some()
        });
        if known != Some(true) {
            return;
        }
        let (owner, job) = (self.clone(), JobId::from(job));
        compio::runtime::spawn(async move {
            let change = |record: &JobRecord| JobRecord {
                state,
                run: None,
                error: error.clone(),
                ended_unix_ms: Some(unix_ms()),
                ..record.clone()
            };
            if owner.update(epoch, &job, change).await.is_ok() {
                owner.with_term(epoch, |term| {
                    let now = term.now();
                    term.fleet.finished(&job, now);
                    term.jobs.remove(&job);
                });
            }
        })
        .detach();
    }

    fn throttle(&self, epoch: Epoch, job: &JobId) {
        let gang = self.with_term(epoch, |term| match &term.jobs.get(job)?.phase {
            Phase::Running { gang, .. } => {
                Some(self.inner.driver.adopt(gang.spec().clone(), epoch))
            }
            _ => None,
        });
        let Some(Some(gang)) = gang else {
            return;
        };
        let (owner, job) = (self.clone(), job.clone());
        compio::runtime::spawn(async move {
            if let Err(error) = owner
                .inner
                .driver
                .throttle(&gang, RECLAIM_SHARE_PERCENT)
                .await
            {
                warn!(job = &*job; "cannot throttle all tasks: {error}");
            }
        })
        .detach();
    }

    /// Changes a job's row, again and again until it is written or the term has ended.
    ///
    /// # Errors
    /// `stale_epoch` when the term has ended, `not_found` when the job is gone.
    pub(crate) async fn update(
        &self,
        epoch: Epoch,
        job: &str,
        change: impl Fn(&JobRecord) -> JobRecord,
    ) -> Result<JobRecord> {
        let ended = || Error::new(ErrorKind::StaleEpoch, "the term has ended");
        let gone = || Error::new(ErrorKind::NotFound, format!("job `{job}` is gone"));
        let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(2));
        loop {
            let held = self
                .inner
                .ownership
                .current()
                .filter(|held| held.epoch == epoch)
                .ok_or_else(ended)?;
            let stored = self
                .with_term(epoch, |term| {
                    term.jobs.get(job).map(|entry| entry.stored.clone())
                })
                .ok_or_else(ended)?
                .ok_or_else(gone)?;
            let record = change(&stored.record);
            let fence = self.inner.ownership.fence(&held);
            let fresh = match self.inner.jobs.replace(&stored, record, &fence).await {
                Ok(written) => {
                    let record = written.record.clone();
                    self.keep(epoch, written);
                    return Ok(record);
                }
                Err(error) if error.kind == ErrorKind::StaleEpoch => return Err(error),
                Err(error) if error.kind == ErrorKind::Conflict => self.inner.jobs.read(job).await,
                Err(error) => {
                    warn!(job = job; "cannot write the job: {error}");
                    compio::time::sleep(backoff.next_delay()).await;
                    continue;
                }
            };
            match fresh {
                Ok(fresh) => self.keep(epoch, fresh),
                Err(error) if error.kind == ErrorKind::NotFound => return Err(error),
                Err(_) => compio::time::sleep(backoff.next_delay()).await,
            }
        }
    }

    fn keep(&self, epoch: Epoch, stored: crate::job_table::StoredJob) {
        self.with_term(epoch, |term| {
            if let Some(entry) = term.jobs.get_mut(&stored.record.id) {
                entry.stored = stored;
            }
        });
    }
}

/// Returns whether a failed start says something about the worker or the job.
///
/// Refusals for lack of room, permission or connection say nothing about either.
fn is_evidence(kind: ErrorKind) -> bool {
    !matches!(
        kind,
        ErrorKind::AttemptClosed
            | ErrorKind::DataCentreOut
            | ErrorKind::DeadlineExceeded
            | ErrorKind::InsufficientResources
            | ErrorKind::StaleEpoch
            | ErrorKind::StaleView
            | ErrorKind::UnknownOutcome
            | ErrorKind::Unreachable
    )
}

fn checkpoint_of(record: Option<&JobRecord>) -> Duration {
    Duration::from_millis(record.map_or(0, |record| record.checkpoint_ms))
}
