//! Starting of gangs and handling of failed starts.

use std::time::Duration;

use log::info;

use crate::jobs::JobRecord;
use crate::jobs::JobState;
use crate::jobs::RunRecord;
use crate::owner::DataCentreOwner;
use crate::owner::term::Phase;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_fleet::Placement;
use nutmegwalk_gang::GangHandle;
use nutmegwalk_gang::Running;
use nutmegwalk_gang::StartFailure;

impl DataCentreOwner {
    /// Starts a job that the planner has placed.
    pub(crate) fn start(
        &self,
        epoch: Epoch,
        job: &JobId,
        placements: Vec<Placement>,
        borrowed: bool,
    ) {
        let run = self.with_term(epoch, |term| {
            let attempt = term.next_attempt();
            // Only a queued job has neither an attempt that may be running nor a move in progress.
            let entry = term.jobs.get_mut(job).filter(|entry| {
                matches!(entry.phase, Phase::Queued)
                    && entry.stored.record.state == JobState::Accepted
            })?;
            entry.phase = Phase::Starting { stop: None };
            Some(RunRecord {
                attempt,
                placements,
                borrowed,
            })
        });
        let Some(Some(run)) = run else {
            self.with_term(epoch, |term| term.withdraw(job));
            return;
        };
        let (owner, job) = (self.clone(), job.clone());
        compio::runtime::spawn(async move {
            match owner.start_gang(epoch, &job, run).await {
                Ok(gang) => owner.handle_started(epoch, &job, gang),
                Err(failure) => owner.handle_start_failure(epoch, &job, failure).await,
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
        let failure_before_start = |error| StartFailure {
            worker: None,
            error,
            is_stop_confirmed: true,
        };
        let record_run = |record: &JobRecord| JobRecord {
            run: Some(run.clone()),
            ..record.clone()
        };
        let record = self
            .update(epoch, job, record_run)
            .await
            .map_err(failure_before_start)?;
        // The update may have found a cancellation in the row, which it preserves.
        if record.state != JobState::Accepted {
            return Err(failure_before_start(Error::new(
                ErrorKind::AttemptClosed,
                "the job was cancelled",
            )));
        }
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
        let spec = spec
            .unwrap_or_else(|| Err(ended()))
            .map_err(failure_before_start)?;
        self.inner.driver.start(spec).await
    }

    fn handle_started(&self, epoch: Epoch, job: &JobId, gang: GangHandle<Running>) {
        let attempt = gang.spec().attempt;
        let stop = self.with_term(epoch, |term| {
            let now = term.now();
            let entry = term.jobs.get_mut(job)?;
            let stop = match entry.phase {
                Phase::Starting { stop } => stop,
                _ => None,
            };
            entry.phase = Phase::running(gang, self.inner.timings.checkpoint);
            entry.refusals = 0;
            let workers = entry
                .stored
                .record
                .run
                .iter()
                .flat_map(|run| &run.placements);
            for placement in workers {
                if let Some(worker) = term.workers.get_mut(&placement.worker) {
                    worker.unanswered = 0;
                }
            }
            term.fleet.record_started(job, now);
            stop
        });
        info!(job = &**job, epoch = attempt.epoch, sequence = attempt.sequence; "gang started");
        if let Some(Some(reason)) = stop {
            self.stop(epoch, job, reason, Duration::ZERO);
        }
    }

    async fn handle_start_failure(&self, epoch: Epoch, job: &JobId, failure: StartFailure) {
        info!(job = &**job; "gang did not start: {}", failure.error);
        if !failure.is_stop_confirmed {
            compio::time::sleep(self.inner.timings.gang.quiet_period()).await;
        }
        let stop = self.with_term(epoch, |term| {
            let entry = term.jobs.get_mut(job)?;
            match entry.phase {
                Phase::Starting { stop: Some(reason) } => {
                    entry.phase = Phase::Ending;
                    Some(reason)
                }
                _ => {
                    entry.enqueue();
                    None
                }
            }
        });
        if let Some(Some(reason)) = stop {
            self.record_stopped(epoch, job, reason, None).await;
            return;
        }
        let kind = failure.error.kind;
        self.with_term(epoch, |term| match failure.worker.as_deref() {
            Some(worker) if indicates_fault(kind) => {
                let now = term.now();
                term.fleet.record_start_failure(job, Some(worker), now);
            }
            worker => {
                if let Some(worker) = worker.filter(|_| indicates_unresponsive(kind)) {
                    term.suspend_worker(worker);
                }
                term.delay_retry(job);
            }
        });
    }
}

/// Returns whether a failed start indicates a fault of the worker or of the job.
///
/// Refusals for lack of capacity, permission or connection do not.
fn indicates_fault(kind: ErrorKind) -> bool {
    !matches!(
        kind,
        ErrorKind::AttemptClosed
            | ErrorKind::DataCentreOut
            | ErrorKind::DeadlineExceeded
            | ErrorKind::Draining
            | ErrorKind::InsufficientResources
            | ErrorKind::StaleEpoch
            | ErrorKind::StaleView
            | ErrorKind::UnknownOutcome
            | ErrorKind::Unreachable
    )
}

/// Returns whether a failed start means that a worker or its agent did not answer.
fn indicates_unresponsive(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::DeadlineExceeded
            | ErrorKind::Draining
            | ErrorKind::UnknownOutcome
            | ErrorKind::Unreachable
    )
}
