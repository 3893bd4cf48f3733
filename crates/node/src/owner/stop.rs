//! Stopping of gangs, and handling of the ends that their leads report.

use std::time::Duration;

use futures_util::future::join;
use log::debug;
use log::info;
use log::warn;

use crate::jobs::JobRecord;
use crate::jobs::JobState;
use crate::jobs::UNASSIGNED;
use crate::jobs::unix_ms;
use crate::owner::DataCentreOwner;
use crate::owner::record::checkpoint_of;
use crate::owner::term::Phase;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::JobId;
use nutmegwalk_fleet::StopReason;
use nutmegwalk_gang::GangEnd;
use nutmegwalk_gang::GangHandle;
use nutmegwalk_gang::GangSpec;
use nutmegwalk_gang::Running;
use nutmegwalk_gang::Stopped;
use nutmegwalk_gang::TaskState;

/// Processor share, in percent, of a task that is stopped as soon as it has written its checkpoint.
const RECLAIM_SHARE_PERCENT: u32 = 25;

impl DataCentreOwner {
    /// Returns the queued jobs of a data centre that is out of service to the dispatcher.
    pub(crate) fn return_queued_jobs(&self, epoch: Epoch) {
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
            // If the data centre returns to service while the rows are written, these jobs must not be started.
            for job in &queued {
                term.withdraw(job);
            }
            queued
        });
        for job in queued.unwrap_or_default() {
            self.unassign(epoch, job);
        }
    }

    /// Stops a job that is starting or running; has no effect in other phases.
    pub(crate) fn stop(&self, epoch: Epoch, job: &str, reason: StopReason, within: Duration) {
        enum Step {
            Nothing,
            CancelStart,
            StopGang(GangHandle<Running>),
        }
        let step = self.with_term(epoch, |term| {
            let current = term.current_gang(job);
            let Some(entry) = term.jobs.get_mut(job) else {
                return Step::Nothing;
            };
            match std::mem::replace(&mut entry.phase, Phase::Ending) {
                Phase::Running { gang, .. } => {
                    Step::StopGang(self.with_current_addresses(gang, current, epoch))
                }
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

    /// Returns `gang` with the addresses of `current`, if they differ.
    fn with_current_addresses(
        &self,
        gang: GangHandle<Running>,
        current: Option<GangSpec>,
        epoch: Epoch,
    ) -> GangHandle<Running> {
        match current {
            Some(current) if current != *gang.spec() => self.inner.driver.adopt(current, epoch),
            _ => gang,
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
        let stopped = self
            .release_and_confirm_stop(epoch, job, gang, within)
            .await;
        if self.is_finished(epoch, job, &stopped) {
            self.finish(epoch, job);
            return;
        }
        self.record_stopped(epoch, job, reason, stopped.checkpoint_ms())
            .await;
    }

    /// Stops a gang and returns once no part of it can run.
    ///
    /// With an unresponsive worker this takes the quiet period, far longer than reclaiming the capacity of a
    /// guarantee may take. The capacity of the workers that answered is therefore freed earlier. The job
    /// itself stays out of the queue until then, and no tasks are placed on the unresponsive worker.
    async fn release_and_confirm_stop(
        &self,
        epoch: Epoch,
        job: &JobId,
        gang: GangHandle<Running>,
        within: Duration,
    ) -> GangHandle<Stopped> {
        let driver = &self.inner.driver;
        let throttled = driver.adopt(gang.spec().clone(), epoch);
        let throttle = async {
            if within.is_zero() {
                return;
            }
            if let Err(error) = driver.throttle(&throttled, RECLAIM_SHARE_PERCENT).await {
                debug!(job = &**job; "cannot throttle all tasks: {error}");
            }
        };
        let ((), releasing) = join(throttle, driver.release(gang, within)).await;
        let unresponsive = releasing.unresponsive_workers();
        if !unresponsive.is_empty() {
            info!(job = &**job; "waiting for the quiet period of unresponsive workers: {}", unresponsive.join(", "));
            self.with_term(epoch, |term| {
                for worker in &unresponsive {
                    term.set_unresponsive(worker);
                }
                term.withdraw(job);
            });
        }
        let stopped = driver.confirm_stop(releasing).await;
        if !stopped.is_stop_confirmed() {
            compio::time::sleep(self.inner.timings.gang.quiet_period()).await;
        }
        stopped
    }

    /// Returns whether all tasks of a stopped gang had finished before they were stopped.
    pub(crate) fn is_finished(
        &self,
        epoch: Epoch,
        job: &str,
        stopped: &GangHandle<Stopped>,
    ) -> bool {
        let tasks = self
            .with_term(epoch, |term| {
                Some(term.jobs.get(job)?.stored.record.request.tasks)
            })
            .flatten();
        let members = stopped.members();
        tasks.is_some_and(|tasks| members.len() == tasks as usize)
            && members
                .iter()
                .all(|member| member.state == Some(TaskState::Finished))
    }

    /// Records that no task of a job is running any more, and ends, unassigns or requeues the job.
    pub(crate) async fn record_stopped(
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
            if record.state.is_final() || *record.home != *self.inner.data_centre {
                term.withdraw(job);
                term.remove_job(job);
                return;
            }
            let now = term.now();
            if let Some(entry) = term.jobs.get_mut(job) {
                entry.enqueue();
            }
            term.fleet.record_stopped(job, checkpoint_of(&record), now);
        });
    }

    /// Handles the reported end of a gang.
    pub(crate) fn handle_gang_end(&self, epoch: Epoch, job: &JobId, end: GangEnd) {
        let gang = self.with_term(epoch, |term| {
            let current = term.current_gang(job);
            let entry = term.jobs.get_mut(job)?;
            match std::mem::replace(&mut entry.phase, Phase::Ending) {
                Phase::Running { gang, .. } => {
                    Some(self.with_current_addresses(gang, current, epoch))
                }
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

    /// Stops the remaining tasks of a gang that ended early and puts its job back into the queue.
    async fn recover_gang(&self, epoch: Epoch, job: &JobId, gang: GangHandle<Running>) {
        let attempt = gang.spec().attempt;
        let stopped = self
            .release_and_confirm_stop(epoch, job, gang, Duration::ZERO)
            .await;
        if self.is_finished(epoch, job, &stopped) {
            self.finish(epoch, job);
            return;
        }
        let failed_worker = self
            .with_term(epoch, |term| term.failed_worker(job, attempt))
            .flatten();
        let is_cancelled = self.with_term(epoch, |term| {
            term.jobs
                .get(job)
                .is_some_and(|entry| entry.stored.record.state == JobState::Cancelling)
        });
        if let (Some(worker), Some(false)) = (&failed_worker, is_cancelled) {
            let checkpoint_ms = stopped.checkpoint_ms().unwrap_or(0);
            let record_stop = |record: &JobRecord| JobRecord {
                run: None,
                checkpoint_ms: record.checkpoint_ms.max(checkpoint_ms),
                ..record.clone()
            };
            if self.update(epoch, job, record_stop).await.is_ok() {
                self.with_term(epoch, |term| {
                    let now = term.now();
                    if let Some(entry) = term.jobs.get_mut(job) {
                        entry.enqueue();
                    }
                    term.fleet.record_start_failure(job, Some(worker), now);
                });
            }
            return;
        }
        self.record_stopped(
            epoch,
            job,
            StopReason::WorkerFailed,
            stopped.checkpoint_ms(),
        )
        .await;
    }

    /// Reduces the processor share of a running gang's tasks.
    pub(crate) fn throttle(&self, epoch: Epoch, job: &JobId) {
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
}
