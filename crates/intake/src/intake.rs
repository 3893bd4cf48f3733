//! Accepting and cancelling jobs, and telling their state.

use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;

use crate::CachedJob;
use crate::Caller;
use crate::JobView;
use crate::metrics::Call;
use crate::metrics::IntakeMetrics;
use crate::refusal;
use crate::retry_after;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_store::Duty;
use nutmegwalk_store::Reachability;
use nutmegwalk_store::StoreClient;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;
use nutmegwalk_workload::JobRecord;
use nutmegwalk_workload::JobRow;
use nutmegwalk_workload::JobSpec;
use nutmegwalk_workload::JobState;

/// Settings of the callers' side.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IntakeSettings {
    /// Longest time for a write or read on behalf of a caller.
    pub store_deadline: Duration,
    /// Age of the view of jobs beyond which it is not used to count waiting jobs.
    pub max_view_age: Duration,
}

impl Default for IntakeSettings {
    fn default() -> Self {
        Self {
            store_deadline: Duration::from_millis(1_800),
            max_view_age: Duration::from_millis(4_000),
        }
    }
}

/// Share of the caller's time that a write or read on its behalf may take: with less than half of it gone
/// the caller can still try another host.
const STORE_SHARE: f64 = 0.45;

/// Tries to store a cancellation, each with the job's progress read anew; progress changes with each end of
/// a run, far less often than a try takes.
const CANCEL_TRIES: usize = 4;

/// The callers' side of a domain.
pub struct Intake {
    settings: IntakeSettings,
    store: StoreClient,
    reach: Rc<dyn Reachability>,
    view: JobView,
    metrics: IntakeMetrics,
}

impl Intake {
    /// Creates the callers' side over the store and a view of its jobs.
    #[must_use]
    pub fn new(
        settings: IntakeSettings,
        store: StoreClient,
        reach: Rc<dyn Reachability>,
        view: JobView,
        metrics: IntakeMetrics,
    ) -> Self {
        Self {
            settings,
            store,
            reach,
            view,
            metrics,
        }
    }

    /// Accepts a job; one that was accepted before under the same id is not accepted again.
    ///
    /// # Errors
    /// `store_unavailable` when the job was not accepted and never runs, `store_unknown` when nobody can
    /// tell, `bad_request` when it is malformed, `forbidden` when the id belongs to another customer.
    pub async fn submit(
        &self,
        caller: &Caller,
        id: &str,
        spec: JobSpec,
        limit: Duration,
    ) -> Result<()> {
        let result = self.accept(caller, id, spec, limit);
        self.measured(Call::Submit, result).await
    }

    async fn accept(
        &self,
        caller: &Caller,
        id: &str,
        spec: JobSpec,
        limit: Duration,
    ) -> Result<()> {
        if let Some(known) = self.view.get(id) {
            return self.accepted_before(caller, id, &known);
        }
        if let Err(problem) = spec.check() {
            return Err(Error::new(ErrorKind::BadRequest, problem.to_string()));
        }
        if caller.queue.policy.advice.is_some() {
            let detail = "the queue restricts its workers by advice, which is not asked for";
            return Err(Error::new(ErrorKind::Unsupported, detail));
        }
        let record = JobRecord {
            customer: caller.customer.clone(),
            queue: caller.queue.name.clone(),
            policy: caller.queue.policy.clone(),
            config_version: caller.configuration.version,
            accepted_unix_ms: clock::unix_ms(),
            spec,
        };
        let key = JobRow::Accepted.key(id);
        let value = serde_json::to_string(&record)
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
        let transaction = Transaction::new()
            .with_absent(key.clone())
            .with_put(key, value);
        let deadline = self.store_deadline(limit)?;
        let outcome = self
            .store
            .transact(Duty::Acceptance, &transaction, deadline)
            .await;
        match outcome {
            Ok(TransactionOutcome::Committed { version }) => {
                info!(target: event::JOB_ACCEPTED,
                    job = id,
                    queue = &*record.queue,
                    customer = record.customer.as_deref().unwrap_or(""),
                    config_version = record.config_version,
                    row_version = version;
                    ""
                );
                self.view.record_accepted(id, &record);
                Ok(())
            }
            Ok(TransactionOutcome::Rejected { .. }) => match self.find(id, deadline).await? {
                Some(known) => self.accepted_before(caller, id, &known),
                None => {
                    let detail = "a row of the job was there and is gone";
                    Err(Error::new(ErrorKind::StoreUnknown, detail))
                }
            },
            Err(error) => {
                warn!(target: event::JOB_NOT_ACCEPTED, job = id, queue = &*record.queue, outcome = error.outcome().name(); "not accepted: {error}");
                Err(error)
            }
        }
    }

    fn accepted_before(&self, caller: &Caller, id: &str, known: &CachedJob) -> Result<()> {
        if known.customer != caller.customer {
            let detail = format!("job {id} belongs to another customer");
            return Err(Error::new(ErrorKind::Forbidden, detail));
        }
        info!(target: event::JOB_KNOWN, job = id; "");
        Ok(())
    }

    /// Returns the state of a job.
    ///
    /// # Errors
    /// `not_found` when the customer has no such job, `store_unavailable` when that cannot be told.
    pub async fn state(&self, caller: &Caller, id: &str, limit: Duration) -> Result<JobState> {
        let job = self.own_job(caller, id, limit);
        let job = self.measured(Call::State, job).await?;
        Ok(job.state())
    }

    /// Cancels a job that has not ended.
    ///
    /// # Errors
    /// `not_found` when the customer has no such job or it has ended, `store_unavailable` or
    /// `store_unknown` when the store did not take the wish.
    pub async fn cancel(&self, caller: &Caller, id: &str, limit: Duration) -> Result<()> {
        let result = self.store_wish(caller, id, limit);
        self.measured(Call::Cancel, result).await
    }

    async fn store_wish(&self, caller: &Caller, id: &str, limit: Duration) -> Result<()> {
        let mut known = self.own_job(caller, id, limit).await?;
        let deadline = self.store_deadline(limit)?;
        for _ in 0..CANCEL_TRIES {
            match known.state() {
                JobState::Cancelled => return Ok(()),
                JobState::Completed | JobState::Failed => {
                    let detail = format!("job {id} has ended");
                    return Err(Error::new(ErrorKind::NotFound, detail));
                }
                JobState::Pending | JobState::Running => {}
            }
            let wish = cancellation(id, &known);
            match self.store.transact(Duty::Acceptance, &wish, deadline).await {
                Ok(TransactionOutcome::Committed { .. }) => {
                    info!(target: event::CANCEL_STORED, job = id; "");
                    self.view.record_cancelled(id);
                    return Ok(());
                }
                // The job has moved on, possibly to its end, or another call has cancelled it.
                Ok(TransactionOutcome::Rejected { .. }) => {
                    known = self
                        .find(id, deadline)
                        .await?
                        .ok_or_else(|| unknown_job(id))?;
                }
                Err(error) => {
                    warn!(target: event::CANCEL_NOT_STORED, job = id, outcome = error.outcome().name(); "not cancelled: {error}");
                    return Err(error);
                }
            }
        }
        let error = Error::new(
            ErrorKind::StoreUnavailable,
            "the job's progress changes too often",
        );
        warn!(target: event::CANCEL_NOT_STORED, job = id, outcome = error.outcome().name(); "not cancelled: {error}");
        Err(error)
    }

    /// Returns the number of the queue's accepted jobs of which no task was started.
    ///
    /// # Errors
    /// `stale_view` when the jobs were last read too long ago.
    pub fn pending_count(&self, caller: &Caller) -> Result<usize> {
        let result = self.count_waiting(caller);
        self.metrics
            .answered(Call::Waiting, &result, Duration::ZERO);
        result
    }

    fn count_waiting(&self, caller: &Caller) -> Result<usize> {
        let age = self.view.age().unwrap_or(Duration::MAX);
        if age > self.settings.max_view_age {
            let detail = format!("the jobs were last read {age:?} ago");
            return Err(Error::new(ErrorKind::StaleView, detail));
        }
        Ok(self.view.pending_count(&caller.queue.name))
    }

    /// Notes the answer to a call in the metrics.
    async fn measured<T>(&self, call: Call, result: impl Future<Output = Result<T>>) -> Result<T> {
        let started_at = clock::now();
        let result = result.await;
        let time = clock::now().saturating_duration_since(started_at);
        self.metrics.answered(call, &result, time);
        result
    }

    /// Returns the time for a write or read on behalf of a caller that gives `limit`.
    fn store_deadline(&self, limit: Duration) -> Result<Duration> {
        refusal::check(self.reach.unreachable_for())?;
        Ok(limit.mul_f64(STORE_SHARE).min(self.settings.store_deadline))
    }

    /// Returns when a caller that is refused now should come back.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        retry_after(self.reach.unreachable_for())
    }

    async fn own_job(&self, caller: &Caller, id: &str, limit: Duration) -> Result<CachedJob> {
        let found = match self.view.get(id) {
            Some(known) => Some(known),
            None => {
                let deadline = self.store_deadline(limit)?;
                self.find(id, deadline).await?
            }
        };
        found
            .filter(|job| job.customer == caller.customer)
            .ok_or_else(|| unknown_job(id))
    }

    /// Reads a job from the store, for one that the feed has not shown yet.
    async fn find(&self, id: &str, deadline: Duration) -> Result<Option<CachedJob>> {
        let keys = [JobRow::Accepted, JobRow::Cancelled, JobRow::Progress].map(|row| row.key(id));
        let rows = self.store.get(Duty::Acceptance, &keys, deadline).await?;
        let rows: Vec<_> = rows.into_iter().flatten().collect();
        self.view.apply_rows(&rows);
        Ok(self.view.get(id))
    }
}

/// Returns the transaction that cancels a job whose progress is still as it is known.
fn cancellation(id: &str, known: &CachedJob) -> Transaction {
    let (key, progress) = (JobRow::Cancelled.key(id), JobRow::Progress.key(id));
    let transaction = match known.progress_version() {
        None => Transaction::new().with_absent(progress),
        Some(version) => Transaction::new().with_version(progress, version),
    };
    transaction.with_absent(key.clone()).with_put(key, "{}")
}

fn unknown_job(id: &str) -> Error {
    Error::new(ErrorKind::NotFound, format!("there is no job {id}"))
}
