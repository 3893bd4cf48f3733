//! Acceptance, cancellation and state of jobs.

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
use crate::unresolved::UnresolvedSubmissions;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_store::Reachability;
use nutmegwalk_store::RequestClass;
use nutmegwalk_store::StoreClient;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;
use nutmegwalk_workload::JobRecord;
use nutmegwalk_workload::JobRow;
use nutmegwalk_workload::JobSpec;
use nutmegwalk_workload::JobState;
use nutmegwalk_workload::early_cancel_key;

/// Settings of [`Intake`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IntakeSettings {
    /// Maximum duration of a write or read on behalf of a caller.
    pub store_deadline: Duration,
    /// Age of the view of jobs beyond which it is not used to count pending jobs.
    pub max_view_age: Duration,
    /// Maximum length of a row of the store, in bytes.
    pub max_row_bytes: usize,
}

impl Default for IntakeSettings {
    fn default() -> Self {
        Self {
            store_deadline: Duration::from_millis(1_800),
            max_view_age: Duration::from_millis(4_000),
            max_row_bytes: 64 << 10,
        }
    }
}

/// Share of the caller's time limit that a write or read on its behalf may take. It is below one half, so that
/// the caller still has time to try another host.
const STORE_DEADLINE_SHARE: f64 = 0.45;

/// Pause between two attempts to store a job that an earlier call may have stored.
const UNRESOLVED_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Index, among the conditions of an acceptance, of the one that the job was not cancelled before.
const EARLY_CANCEL_CONDITION: usize = 1;

/// Part of a row, in bytes, that the store client may add to it.
const ROW_MARGIN_BYTES: usize = 256;

/// Maximum number of attempts to store a cancellation, each based on the latest progress of the job. The progress of a job
/// without part rows changes when one of a few runs starts or ends, far less often than an attempt takes.
const MAX_CANCEL_ATTEMPTS: usize = 4;

/// Handler of callers' requests to a domain.
pub struct Intake {
    settings: IntakeSettings,
    store: StoreClient,
    reachability: Rc<dyn Reachability>,
    view: JobView,
    metrics: IntakeMetrics,
    unresolved: UnresolvedSubmissions,
}

impl Intake {
    /// Creates a handler that writes to `store` and answers from `view` where possible.
    #[must_use]
    pub fn new(
        settings: IntakeSettings,
        store: StoreClient,
        reachability: Rc<dyn Reachability>,
        view: JobView,
        metrics: IntakeMetrics,
    ) -> Self {
        Self {
            settings,
            store,
            reachability,
            view,
            metrics,
            unresolved: UnresolvedSubmissions::default(),
        }
    }

    /// Accepts a job. A job that was accepted before under the same id is confirmed without change.
    ///
    /// `limit` is the caller's time limit.
    ///
    /// # Errors
    /// `store_unavailable` when the job was not accepted and will never run, `store_unknown` when it is unknown
    /// whether it was accepted, `cancelled` when its customer has cancelled it before, so that it will never run,
    /// `bad_request` when it is malformed, `too_large` when no row can hold it, `unsupported`
    /// when the queue restricts its workers by advice, `forbidden` when the id belongs to another customer.
    pub async fn submit(
        &self,
        caller: &Caller,
        id: &str,
        spec: JobSpec,
        limit: Duration,
    ) -> Result<()> {
        let result = async {
            let result = self.accept_or_wait(caller, id, &spec, limit).await;
            self.unresolved.resolve(id, result, clock::now())
        };
        self.with_metrics(Call::Submit, result).await
    }

    /// Accepts a job. If an earlier attempt may have stored it, the caller cannot be told that it will not run, so the call
    /// waits for the store for as long as a write may take instead of being refused.
    async fn accept_or_wait(
        &self,
        caller: &Caller,
        id: &str,
        spec: &JobSpec,
        limit: Duration,
    ) -> Result<()> {
        let until = clock::now() + self.max_store_time(limit);
        loop {
            let now = clock::now();
            let result = self.accept(caller, id, spec.clone(), limit).await;
            let is_unavailable = |error: &Error| error.kind == ErrorKind::StoreUnavailable;
            let may_wait = now + UNRESOLVED_RETRY_PAUSE < until
                && result.as_ref().is_err_and(is_unavailable)
                && self.unresolved.contains(id, now);
            if !may_wait {
                return result;
            }
            compio::time::sleep(UNRESOLVED_RETRY_PAUSE).await;
        }
    }

    async fn accept(
        &self,
        caller: &Caller,
        id: &str,
        spec: JobSpec,
        limit: Duration,
    ) -> Result<()> {
        if let Some(known) = self.view.get(id) {
            return self.check_resubmission(caller, id, &known);
        }
        if let Err(problem) = spec.check() {
            return Err(Error::new(ErrorKind::BadRequest, problem.to_string()));
        }
        if caller.queue.policy.advice.is_some() {
            let detail = "the queue restricts its workers by advice, which is not supported";
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
        let max_bytes = self.settings.max_row_bytes.saturating_sub(ROW_MARGIN_BYTES);
        if value.len() > max_bytes {
            let detail = format!(
                "the job takes {} bytes, and {max_bytes} bytes can be stored",
                value.len()
            );
            return Err(Error::new(ErrorKind::TooLarge, detail));
        }
        // An early cancellation was answered as that of a job that does not exist, which a late write must not make false.
        let early_cancel = early_cancel_key(id, record.customer.as_deref());
        let transaction = Transaction::new()
            .with_absent(key.clone())
            .with_absent(early_cancel)
            .with_put(key, value);
        let deadline = self.store_deadline(limit)?;
        let outcome = self
            .store
            .transact(RequestClass::Acceptance, &transaction, deadline)
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
                self.view.record_accepted(id, &record, version);
                Ok(())
            }
            Ok(TransactionOutcome::Rejected { failed_conditions }) => {
                match self.read_job(id, deadline).await {
                    Ok(Some(known)) => self.check_resubmission(caller, id, &known),
                    Ok(None) if failed_conditions.contains(&EARLY_CANCEL_CONDITION) => {
                        let detail = format!("job {id} was cancelled before it was accepted");
                        Err(Error::new(ErrorKind::Cancelled, detail))
                    }
                    Ok(None) => {
                        let detail = "the row of the job existed and was deleted";
                        Err(Error::new(ErrorKind::StoreUnknown, detail))
                    }
                    Err(error) => {
                        let detail = format!("the row of the job exists but was not read: {error}");
                        Err(Error::new(ErrorKind::StoreUnknown, detail))
                    }
                }
            }
            Err(error) => {
                warn!(target: event::JOB_NOT_ACCEPTED, job = id, queue = &*record.queue, outcome = error.outcome().name(); "not accepted: {error}");
                Err(error)
            }
        }
    }

    /// Confirms a job that was accepted before, if it belongs to the same customer.
    fn check_resubmission(&self, caller: &Caller, id: &str, known: &CachedJob) -> Result<()> {
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
    /// `not_found` when the customer has no such job, `store_unknown` when a submission to this host may still be stored,
    /// `store_unavailable` when the store cannot be read.
    pub async fn state(&self, caller: &Caller, id: &str, limit: Duration) -> Result<JobState> {
        let state = self.read_state(caller, id, limit);
        self.with_metrics(Call::State, state).await
    }

    async fn read_state(&self, caller: &Caller, id: &str, limit: Duration) -> Result<JobState> {
        match self.find_job(id, limit).await? {
            Some(job) if job.customer == caller.customer => Ok(job.state()),
            None if self.may_be_accepted(caller, id, limit).await? => {
                let detail = format!("it is not known yet whether job {id} is accepted");
                Err(Error::new(ErrorKind::StoreUnknown, detail))
            }
            _ => Err(job_not_found(id)),
        }
    }

    /// Returns whether an attempt of this host to store a job that is not in the store may still take effect.
    async fn may_be_accepted(&self, caller: &Caller, id: &str, limit: Duration) -> Result<bool> {
        if !self.unresolved.contains(id, clock::now()) {
            return Ok(false);
        }
        let key = [early_cancel_key(id, caller.customer.as_deref())];
        let deadline = self.store_deadline(limit)?;
        let class = RequestClass::Acceptance;
        let rows = self.store.get(class, &key, deadline).await?;
        let is_cancelled = rows.iter().any(Option::is_some);
        if is_cancelled {
            self.unresolved.forget(id);
        }
        Ok(!is_cancelled)
    }

    /// Cancels a job that has not ended. A job that has not been accepted is never accepted afterwards.
    ///
    /// # Errors
    /// `not_found` when the customer has no such job and none is on its way, or it has ended; `store_unavailable` when the cancellation
    /// was not stored, `store_unknown` when it is unknown whether it was stored.
    pub async fn cancel(&self, caller: &Caller, id: &str, limit: Duration) -> Result<()> {
        let result = self.store_cancellation(caller, id, limit);
        self.with_metrics(Call::Cancel, result).await
    }

    /// Stores the cancellation of a job on the condition that it has not ended, or has not been accepted, with retries.
    async fn store_cancellation(&self, caller: &Caller, id: &str, limit: Duration) -> Result<()> {
        let mut known = self.find_job(id, limit).await?;
        let deadline = self.store_deadline(limit)?;
        for _ in 0..MAX_CANCEL_ATTEMPTS {
            let transaction = match &known {
                None => early_cancellation(caller, id),
                Some(job) if job.customer != caller.customer => return Err(job_not_found(id)),
                Some(job) => match job.state() {
                    JobState::Cancelled => return Ok(()),
                    JobState::Completed | JobState::Failed => {
                        let detail = format!("job {id} has ended");
                        return Err(Error::new(ErrorKind::NotFound, detail));
                    }
                    JobState::Pending | JobState::Running => cancellation(id, job),
                },
            };
            match self
                .store
                .transact(RequestClass::Acceptance, &transaction, deadline)
                .await
            {
                Ok(TransactionOutcome::Committed { .. }) if known.is_none() => {
                    info!(target: event::EARLY_CANCEL_STORED, job = id; "");
                    self.unresolved.forget(id);
                    return Err(job_not_found(id));
                }
                Ok(TransactionOutcome::Committed { .. }) => {
                    info!(target: event::CANCEL_STORED, job = id; "");
                    self.view.record_cancelled(id);
                    return Ok(());
                }
                // The job has progressed, possibly to its end, or was accepted, deleted, or cancelled by another call.
                Ok(TransactionOutcome::Rejected { .. }) => {
                    known = self.read_job(id, deadline).await?;
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

    /// Returns the number of accepted jobs of the caller's queue of which no task was started.
    ///
    /// # Errors
    /// `stale_view` when the view of jobs is older than [`IntakeSettings::max_view_age`].
    pub fn pending_count(&self, caller: &Caller) -> Result<usize> {
        let result = self.count_pending(caller);
        self.metrics
            .record_call(Call::PendingCount, &result, Duration::ZERO);
        result
    }

    fn count_pending(&self, caller: &Caller) -> Result<usize> {
        let age = self.view.age().unwrap_or(Duration::MAX);
        if age > self.settings.max_view_age {
            let detail = format!("the jobs were last read {age:?} ago");
            return Err(Error::new(ErrorKind::StaleView, detail));
        }
        Ok(self.view.pending_count(&caller.queue.name))
    }

    /// Awaits the result of a call and records its outcome and duration.
    async fn with_metrics<T>(
        &self,
        call: Call,
        result: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        let started_at = clock::now();
        let result = result.await;
        let time = clock::now().saturating_duration_since(started_at);
        self.metrics.record_call(call, &result, time);
        result
    }

    /// Returns the deadline of a write or read on behalf of a caller with the time limit `limit`.
    ///
    /// # Errors
    /// `store_unavailable` when the store has been unreachable for too long to try.
    fn store_deadline(&self, limit: Duration) -> Result<Duration> {
        refusal::check_reachable(self.reachability.unreachable_for())?;
        Ok(self.max_store_time(limit))
    }

    /// Returns the longest duration of a write or read on behalf of a caller with the time limit `limit`.
    fn max_store_time(&self, limit: Duration) -> Duration {
        limit
            .mul_f64(STORE_DEADLINE_SHARE)
            .min(self.settings.store_deadline)
    }

    /// Returns the time after which a caller that is refused now should retry.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        retry_after(self.reachability.unreachable_for())
    }

    /// Returns a job of any customer, from the view or else from the store.
    async fn find_job(&self, id: &str, limit: Duration) -> Result<Option<CachedJob>> {
        match self.view.get(id) {
            Some(known) => Ok(Some(known)),
            None => self.read_job(id, self.store_deadline(limit)?).await,
        }
    }

    /// Reads the rows of a job from the store into the view, for a job that is missing or outdated there.
    async fn read_job(&self, id: &str, deadline: Duration) -> Result<Option<CachedJob>> {
        let keys = [JobRow::Accepted, JobRow::Cancelled, JobRow::Progress].map(|row| row.key(id));
        let rows = self
            .store
            .get(RequestClass::Acceptance, &keys, deadline)
            .await?;
        let rows: Vec<_> = rows.into_iter().flatten().collect();
        self.view.apply_rows(&rows);
        Ok(self.view.get(id))
    }
}

/// Returns a transaction that cancels a job on the condition that it has not ended: that it has no mark of its end, or that
/// its progress row has the known version.
fn cancellation(id: &str, known: &CachedJob) -> Transaction {
    let (key, progress) = (JobRow::Cancelled.key(id), JobRow::Progress.key(id));
    let transaction = match known.progress_version() {
        _ if known.is_marked_at_end => Transaction::new().with_absent(JobRow::Ended.key(id)),
        None => Transaction::new().with_absent(progress),
        Some(version) => Transaction::new().with_version(progress, version),
    };
    transaction.with_absent(key.clone()).with_put(key, "{}")
}

/// Returns a transaction that cancels a job on the condition that it has not been accepted. It never is afterwards.
fn early_cancellation(caller: &Caller, id: &str) -> Transaction {
    Transaction::new()
        .with_absent(JobRow::Accepted.key(id))
        .with_put(early_cancel_key(id, caller.customer.as_deref()), "{}")
}

fn job_not_found(id: &str) -> Error {
    Error::new(ErrorKind::NotFound, format!("there is no job {id}"))
}
