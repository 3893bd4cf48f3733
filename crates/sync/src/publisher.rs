//! Writes operators' changes of the configuration, each in one conditional transaction.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::warn;
use serde::Deserialize;
use serde::Serialize;

use crate::history::AUDIT_PREFIX;
use crate::history::CHANGE_PREFIX;
use crate::history::ChangeRow;
use crate::history::HEAD_KEY;
use crate::history::Head;
use crate::history::History;
use crate::history::SNAPSHOT_INTERVAL;
use crate::history::parse;
use crate::history::versioned_key;
use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::Result;
use nutmegwalk_base::backoff::Backoff;
use nutmegwalk_base::new_id;
use nutmegwalk_config::Change;
use nutmegwalk_config::ChangeKind;
use nutmegwalk_config::Configuration;
use nutmegwalk_config::Delta;
use nutmegwalk_config::apply;
use nutmegwalk_config::validate;
use nutmegwalk_store::ObjectStore;
use nutmegwalk_store::RowVersion;
use nutmegwalk_store::TableStore;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;

/// Default time for which requests to a store that does not answer are retried.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(5);
/// Timeout of one transaction; after it, the outcome of the transaction is unknown.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of reads that may return a head older than the last write of this process before it is an error.
const MAX_HEAD_READS: usize = 3;

/// Audit record of one change of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRecord {
    /// Version before the change.
    pub from: ConfigVersion,
    /// Version after the change.
    pub to: ConfigVersion,
    /// Operator who made the change.
    pub by: Box<str>,
    /// When the change was made, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Summary of the change, for people.
    pub what: Box<str>,
}

/// The result of a publish, take-out or return.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Published {
    /// Version of the configuration that has the requested state.
    pub version: ConfigVersion,
    /// Whether a new version was written; false when the configuration already had the requested state.
    pub changed: bool,
}

/// Writes configuration versions for operators.
pub struct Publisher {
    history: History,
    cache: RefCell<Cache>,
    deadline: Duration,
}

/// The newest state that this publisher has read or written.
#[derive(Clone, Default)]
struct Cache {
    configuration: Rc<Configuration>,
    /// Version of the head row; `None` when it is not known or there is no such row.
    head_row: Option<RowVersion>,
    /// Version of the newest snapshot that is known to exist.
    snapshot: ConfigVersion,
}

/// The result of writing a change.
enum WriteOutcome {
    /// The change was committed and led to this configuration.
    Committed(Configuration),
    /// Another writer committed this change first.
    Conflict(ChangeRow),
}

impl Publisher {
    /// Creates a publisher on the given stores.
    #[must_use]
    pub fn new(table: Rc<dyn TableStore>, objects: Rc<dyn ObjectStore>) -> Self {
        Self {
            history: History::new(table, objects),
            cache: RefCell::default(),
            deadline: DEFAULT_DEADLINE,
        }
    }

    /// Sets the time for which requests to a store that does not answer are retried.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Reads the current configuration.
    ///
    /// # Errors
    /// `store_unavailable` when the store does not answer; `internal` when the stored rows are inconsistent.
    pub async fn current(&self) -> Result<Rc<Configuration>> {
        for _ in 0..MAX_HEAD_READS {
            let Some((Head { version }, row)) = self.history.head().await? else {
                break;
            };
            let base = Rc::clone(&self.cache.borrow().configuration);
            let newest = self.history.configuration(&base, version).await?;
            let mut cache = self.cache.borrow_mut();
            // Another task of this process may have written a newer version during the reads.
            if version < cache.configuration.version {
                continue;
            }
            cache.configuration = newest;
            cache.head_row = Some(row);
            return Ok(Rc::clone(&cache.configuration));
        }
        let cached = Rc::clone(&self.cache.borrow().configuration);
        if cached.version > 0 {
            let detail = format!("{HEAD_KEY} is older than version {}", cached.version);
            return Err(Error::new(ErrorKind::Internal, detail));
        }
        Ok(cached)
    }

    /// Replaces the entries of the configuration by those of `wanted`. Service states of data centres
    /// stay as operators last set them. If `base` is given, the current version has to be equal to it.
    ///
    /// # Errors
    /// `invalid_configuration` or `guarantees_clash` when `wanted` is not valid; `conflict`, with the other
    /// changes in the detail, when another change was committed first; `store_unavailable` when the
    /// store failed and nothing was written; `store_unknown` when the change may have been written.
    pub async fn publish(
        &self,
        by: &str,
        wanted: &Configuration,
        base: Option<ConfigVersion>,
    ) -> Result<Published> {
        validate(wanted)?;
        let current = self.refresh().await?;
        if let Some(base) = base
            && base != current.version
        {
            return Err(self.conflict_since(base, current.version).await);
        }
        let delta = Delta::between(&current, wanted);
        if delta.is_empty() {
            return Ok(unchanged(&current));
        }
        match self.write(by, ChangeKind::Publish(delta)).await? {
            WriteOutcome::Committed(next) => Ok(self.finish_write(next).await),
            WriteOutcome::Conflict(winner) => Err(conflict(&[winner.change])),
        }
    }

    /// Takes a data centre out of service. Repeating the command changes nothing, except that a repetition with
    /// `lost` marks the data centre as lost.
    ///
    /// # Errors
    /// `not_found` when there is no such data centre; otherwise as for [`Publisher::publish`].
    pub async fn take_out(&self, by: &str, data_centre: &str, lost: bool) -> Result<Published> {
        let kind = ChangeKind::TakeOut {
            data_centre: data_centre.into(),
            lost,
        };
        self.set_service_state(by, data_centre, &kind, |current| {
            let taken_out = current.taken_out.get(data_centre);
            taken_out.is_some_and(|taken_out| taken_out.lost || !lost)
        })
        .await
    }

    /// Returns a data centre to service. Repeating the command changes nothing.
    ///
    /// # Errors
    /// As for [`Publisher::take_out`].
    pub async fn return_to_service(&self, by: &str, data_centre: &str) -> Result<Published> {
        let kind = ChangeKind::Return {
            data_centre: data_centre.into(),
        };
        self.set_service_state(by, data_centre, &kind, |current| {
            !current.taken_out.contains_key(data_centre)
        })
        .await
    }

    /// Returns at most `limit` audit records of changes to versions above `after`, in order of version.
    ///
    /// # Errors
    /// `store_unavailable` when the table does not answer; `internal` when a row is malformed.
    pub async fn audit(&self, after: ConfigVersion, limit: usize) -> Result<Vec<AuditRecord>> {
        let after = versioned_key(AUDIT_PREFIX, after);
        let rows = self.history.table.scan(AUDIT_PREFIX, &after, limit).await?;
        rows.iter().map(parse).collect()
    }

    /// Changes a service state, unless `is_applied` holds for the current configuration. After a conflict with
    /// a change that does not affect the data centre, the write is retried until the deadline, because it does
    /// not depend on the other parts of the configuration.
    async fn set_service_state(
        &self,
        by: &str,
        data_centre: &str,
        kind: &ChangeKind,
        is_applied: impl Fn(&Configuration) -> bool,
    ) -> Result<Published> {
        let started = Instant::now();
        loop {
            let current = self.refresh().await?;
            if !current.data_centres.contains_key(data_centre) {
                let known: Vec<&str> = current.data_centres.keys().map(|id| &**id).collect();
                let detail = format!(
                    "there is no data centre {data_centre}; known data centres: {}",
                    known.join(", ")
                );
                return Err(Error::new(ErrorKind::NotFound, detail));
            }
            if is_applied(&current) {
                return Ok(unchanged(&current));
            }
            match self.write(by, kind.clone()).await? {
                WriteOutcome::Committed(next) => return Ok(self.finish_write(next).await),
                WriteOutcome::Conflict(winner)
                    if winner.change.kind.affects_data_centre(data_centre)
                        || started.elapsed() >= self.deadline =>
                {
                    return Err(conflict(&[winner.change]));
                }
                WriteOutcome::Conflict(_) => {}
            }
        }
    }

    /// Reads the current configuration, with retries until the deadline.
    async fn refresh(&self) -> Result<Rc<Configuration>> {
        let started = Instant::now();
        let mut backoff = new_backoff();
        loop {
            match self.current().await {
                Err(error)
                    if error.kind == ErrorKind::StoreUnavailable
                        && started.elapsed() < self.deadline =>
                {
                    compio::time::sleep(backoff.next_delay()).await;
                }
                // A read changes nothing, so an unknown outcome only means that the store did not answer.
                Err(error) if error.kind == ErrorKind::StoreUnknown => {
                    return Err(Error::new(ErrorKind::StoreUnavailable, error.detail));
                }
                result => return result,
            }
        }
    }

    /// Writes the change that follows the cached version, with retries until the deadline.
    ///
    /// Every attempt has the same condition and the same writer tag, so that at most one takes effect
    /// and a rejection caused by an earlier attempt of this write is recognised.
    async fn write(&self, by: &str, kind: ChangeKind) -> Result<WriteOutcome> {
        let cached = self.cache.borrow().clone();
        let from = cached.configuration.version;
        let change = Change {
            version: from + 1,
            by: by.into(),
            at_unix_ms: unix_ms(),
            kind,
        };
        let next = apply(&cached.configuration, &change)?;
        let row = ChangeRow {
            writer: format!("{}{}", new_id("w"), new_id("")).into(),
            change,
        };
        let transaction = build_transaction(&cached, from, &row)?;
        let started = Instant::now();
        let mut backoff = new_backoff();
        let mut outcome_unknown = false;
        loop {
            let failure = match self.attempt(&transaction).await {
                Ok(TransactionOutcome::Committed { version }) => {
                    self.update_cache(&next, Some(version));
                    return Ok(WriteOutcome::Committed(next));
                }
                Ok(TransactionOutcome::Rejected { .. }) => {
                    match self.history.change(row.change.version).await {
                        Ok(Some(stored)) if stored.writer == row.writer => {
                            self.update_cache(&next, None);
                            return Ok(WriteOutcome::Committed(next));
                        }
                        Ok(Some(stored)) => return Ok(WriteOutcome::Conflict(stored)),
                        Ok(None) => {
                            let detail = format!("{HEAD_KEY} changed without a change row");
                            return Err(Error::new(ErrorKind::Internal, detail));
                        }
                        // The rejection may be caused by an earlier attempt of this write.
                        Err(error) => error,
                    }
                }
                Err(error) => {
                    outcome_unknown |= error.outcome() == Outcome::Unknown;
                    error
                }
            };
            if started.elapsed() >= self.deadline {
                return Err(deadline_error(&failure, &row.change, outcome_unknown));
            }
            compio::time::sleep(backoff.next_delay()).await;
        }
    }

    /// Runs the transaction once, with a timeout.
    async fn attempt(&self, transaction: &Transaction) -> Result<TransactionOutcome> {
        let limit = ATTEMPT_TIMEOUT.min(self.deadline);
        let attempt = self.history.table.transact(transaction);
        compio::time::timeout(limit, attempt)
            .await
            .unwrap_or_else(|_| {
                let detail = format!("the table did not answer in {limit:?}");
                Err(Error::new(ErrorKind::StoreUnknown, detail))
            })
    }

    /// Stores a committed configuration in the cache if it is newer than the cached one.
    fn update_cache(&self, next: &Configuration, head_row: Option<RowVersion>) {
        let mut cache = self.cache.borrow_mut();
        if next.version > cache.configuration.version {
            cache.configuration = Rc::new(next.clone());
            cache.head_row = head_row;
        }
    }

    /// Writes a snapshot when one is due and returns the result of the committed change. A failure of the
    /// snapshot is only logged, because the change is committed already; a later change retries it.
    async fn finish_write(&self, next: Configuration) -> Published {
        let due = next.version - next.version % SNAPSHOT_INTERVAL;
        if due > self.cache.borrow().snapshot {
            match self.write_due_snapshot(&next, due).await {
                Ok(()) => self.cache.borrow_mut().snapshot = due,
                Err(error) => warn!("cannot write the snapshot of version {due}: {error}"),
            }
        }
        Published {
            version: next.version,
            changed: true,
        }
    }

    /// Writes the snapshot of version `due`, which is that of `next` or an earlier one. The snapshot of an
    /// earlier version is written only if it is missing.
    async fn write_due_snapshot(&self, next: &Configuration, due: ConfigVersion) -> Result<()> {
        if next.version == due {
            return self.history.write_snapshot(next).await;
        }
        let name = versioned_key(crate::history::SNAPSHOT_PREFIX, due);
        if self.history.objects.get_object(&name).await?.is_some() {
            return Ok(());
        }
        let configuration = self.history.configuration(&Rc::default(), due).await?;
        self.history.write_snapshot(&configuration).await
    }

    /// Returns the conflict of a publish on `base`, with the newest changes after it.
    async fn conflict_since(&self, base: ConfigVersion, current: ConfigVersion) -> Error {
        let mut changes = Vec::new();
        // Only the newest 10 changes are listed; after a very old base there could be thousands.
        let first = base.max(current.saturating_sub(10));
        for version in first + 1..=current {
            match self.history.change(version).await {
                Ok(Some(row)) => changes.push(row.change),
                Ok(None) | Err(_) => break,
            }
        }
        if changes.is_empty() {
            let detail = format!("the current version is {current}, not {base}");
            return Error::new(ErrorKind::Conflict, detail);
        }
        conflict(&changes)
    }
}

/// Builds the transaction that writes the head, the change row and the audit record, on the condition that
/// the head is still the cached one.
fn build_transaction(cached: &Cache, from: ConfigVersion, row: &ChangeRow) -> Result<Transaction> {
    let version = row.change.version;
    let audit = AuditRecord {
        from,
        to: version,
        by: row.change.by.clone(),
        at_unix_ms: row.change.at_unix_ms,
        what: row.change.kind.summary(),
    };
    let change_key = versioned_key(CHANGE_PREFIX, version);
    let transaction = match cached.head_row {
        Some(head_row) => Transaction::new().with_version(HEAD_KEY, head_row),
        None => Transaction::new().with_absent(HEAD_KEY),
    };
    Ok(transaction
        .with_absent(change_key.clone())
        .with_put(HEAD_KEY, to_json(&Head { version })?)
        .with_put(change_key, to_json(row)?)
        .with_put(versioned_key(AUDIT_PREFIX, version), to_json(&audit)?))
}

fn to_json<T: Serialize>(value: &T) -> Result<String> {
    serde_json::to_string(value).map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))
}

fn unchanged(current: &Configuration) -> Published {
    Published {
        version: current.version,
        changed: false,
    }
}

fn conflict(changes: &[Change]) -> Error {
    let changes: Vec<String> = changes
        .iter()
        .map(|change| {
            let summary = change.kind.summary();
            format!("version {} by {}: {summary}", change.version, change.by)
        })
        .collect();
    let detail = format!(
        "the configuration has changed in the meantime: {}",
        changes.join("; ")
    );
    Error::new(ErrorKind::Conflict, detail)
}

/// Returns the error of a write that was abandoned at the deadline.
fn deadline_error(failure: &Error, change: &Change, outcome_unknown: bool) -> Error {
    if !outcome_unknown {
        // Every attempt was rejected or failed with a known outcome, so nothing was written.
        return Error::new(ErrorKind::StoreUnavailable, failure.detail.clone());
    }
    let detail = format!(
        "version {} may have been written; see the audit records: {}",
        change.version, failure.detail
    );
    Error::new(ErrorKind::StoreUnknown, detail)
}

fn new_backoff() -> Backoff {
    Backoff::new(Duration::from_millis(20), Duration::from_millis(500))
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
