//! Operators' changes of the configuration, each one conditional transaction.

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

/// Time for which a store that does not answer is tried again.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(5);
/// Time after which one transaction is given up; its outcome is unknown then.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Reads of a head that is older than what this process wrote itself, before it is an error.
const READ_ATTEMPTS: usize = 3;

/// One record of who changed what and when.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRecord {
    /// Version before the change.
    pub from: ConfigVersion,
    /// Version after the change.
    pub to: ConfigVersion,
    /// Operator who made the change.
    pub by: Box<str>,
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// What was changed.
    pub what: Box<str>,
}

/// The result of a publish, take-out or return.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Published {
    /// Version that holds what was asked for.
    pub version: ConfigVersion,
    /// Whether a version was written; false when everything was as asked already.
    pub changed: bool,
}

/// Writes configuration versions for operators.
pub struct Publisher {
    history: History,
    known: RefCell<Known>,
    deadline: Duration,
}

#[derive(Clone, Default)]
struct Known {
    configuration: Rc<Configuration>,
    head_row: Option<RowVersion>,
    snapshot: ConfigVersion,
}

/// What became of one attempt to write a change.
enum Attempt {
    Written(Configuration),
    Lost(ChangeRow),
}

impl Publisher {
    /// Creates a publisher on the given stores.
    #[must_use]
    pub fn new(table: Rc<dyn TableStore>, objects: Rc<dyn ObjectStore>) -> Self {
        Self {
            history: History::new(table, objects),
            known: RefCell::default(),
            deadline: DEFAULT_DEADLINE,
        }
    }

    /// Sets the time for which a store that does not answer is tried again.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Reads the current configuration.
    ///
    /// # Errors
    /// `store_unavailable` when the store does not answer.
    pub async fn current(&self) -> Result<Rc<Configuration>> {
        for _ in 0..READ_ATTEMPTS {
            let Some((Head { version }, row)) = self.history.head().await? else {
                break;
            };
            let held = Rc::clone(&self.known.borrow().configuration);
            let newest = self.history.configuration(&held, version).await?;
            let mut known = self.known.borrow_mut();
            // Another task of this process may have written a newer version during the reads.
            if version < known.configuration.version {
                continue;
            }
            known.configuration = newest;
            known.head_row = Some(row);
            return Ok(Rc::clone(&known.configuration));
        }
        let known = Rc::clone(&self.known.borrow().configuration);
        if known.version > 0 {
            let detail = format!("{HEAD_KEY} is older than version {}", known.version);
            return Err(Error::new(ErrorKind::Internal, detail));
        }
        Ok(known)
    }

    /// Replaces the entries of the configuration by those of `wanted`. Service states of data centres
    /// stay as operators last set them. With `base`, the current version has to be that one.
    ///
    /// # Errors
    /// `invalid_configuration` or `guarantees_clash` when `wanted` is wrong; `conflict`, naming what was
    /// changed, when another operator was first; `store_unavailable` when nothing was written, or
    /// `store_unknown` when that is not known.
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
            Attempt::Written(next) => Ok(self.written(next).await),
            Attempt::Lost(winner) => Err(conflict(&[winner.change])),
        }
    }

    /// Takes a data centre out of service. Repeating it changes nothing, unless `lost` is added.
    ///
    /// # Errors
    /// `not_found` when there is no such data centre; otherwise as for [`Publisher::publish`].
    pub async fn take_out(&self, by: &str, data_centre: &str, lost: bool) -> Result<Published> {
        let kind = ChangeKind::TakeOut {
            data_centre: data_centre.into(),
            lost,
        };
        self.set_service_state(by, data_centre, &kind, |current| {
            let held = current.taken_out.get(data_centre);
            held.is_some_and(|held| held.lost || !lost)
        })
        .await
    }

    /// Returns a data centre to service. Repeating it changes nothing.
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

    /// Returns at most `limit` audit records with a version above `after`, in order.
    ///
    /// # Errors
    /// `store_unavailable` when the table does not answer.
    pub async fn audit(&self, after: ConfigVersion, limit: usize) -> Result<Vec<AuditRecord>> {
        let after = versioned_key(AUDIT_PREFIX, after);
        let rows = self.history.table.scan(AUDIT_PREFIX, &after, limit).await?;
        rows.iter().map(parse).collect()
    }

    /// Changes a service state. A lost race is tried again when the winner did not concern the data
    /// centre, because the change does not depend on the rest of the configuration.
    async fn set_service_state(
        &self,
        by: &str,
        data_centre: &str,
        kind: &ChangeKind,
        holds: impl Fn(&Configuration) -> bool,
    ) -> Result<Published> {
        let started = Instant::now();
        loop {
            let current = self.refresh().await?;
            if !current.data_centres.contains_key(data_centre) {
                let known: Vec<&str> = current.data_centres.keys().map(|id| &**id).collect();
                let detail = format!(
                    "there is no data centre {data_centre}; known are {}",
                    known.join(", ")
                );
                return Err(Error::new(ErrorKind::NotFound, detail));
            }
            if holds(&current) {
                return Ok(unchanged(&current));
            }
            match self.write(by, kind.clone()).await? {
                Attempt::Written(next) => return Ok(self.written(next).await),
                Attempt::Lost(winner)
                    if winner.change.kind.affects_data_centre(data_centre)
                        || started.elapsed() >= self.deadline =>
                {
                    return Err(conflict(&[winner.change]));
                }
                Attempt::Lost(_) => {}
            }
        }
    }

    /// Reads the current configuration, trying again until the deadline.
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
                // A read changes nothing, whatever the store says about its outcome.
                Err(error) if error.kind == ErrorKind::StoreUnknown => {
                    return Err(Error::new(ErrorKind::StoreUnavailable, error.detail));
                }
                result => return result,
            }
        }
    }

    /// Writes the change that follows the known version, trying again until the deadline.
    ///
    /// Every attempt has the same condition and the same writer tag, so that at most one takes effect
    /// and a rejection by an own earlier attempt is recognised.
    async fn write(&self, by: &str, kind: ChangeKind) -> Result<Attempt> {
        let known = self.known.borrow().clone();
        let from = known.configuration.version;
        let change = Change {
            version: from + 1,
            by: by.into(),
            at_unix_ms: unix_ms(),
            kind,
        };
        let next = apply(&known.configuration, &change)?;
        let row = ChangeRow {
            writer: format!("{}{}", new_id("w"), new_id("")).into(),
            change,
        };
        let transaction = transaction(&known, from, &row)?;
        let started = Instant::now();
        let mut backoff = new_backoff();
        let mut unknown = false;
        loop {
            let failure = match self.attempt(&transaction).await {
                Ok(TransactionOutcome::Committed { version }) => {
                    self.remember(&next, Some(version));
                    return Ok(Attempt::Written(next));
                }
                Ok(TransactionOutcome::Rejected { .. }) => {
                    match self.history.change(row.change.version).await {
                        Ok(Some(stored)) if stored.writer == row.writer => {
                            self.remember(&next, None);
                            return Ok(Attempt::Written(next));
                        }
                        Ok(Some(stored)) => return Ok(Attempt::Lost(stored)),
                        Ok(None) => {
                            let detail = format!("{HEAD_KEY} changed without a change row");
                            return Err(Error::new(ErrorKind::Internal, detail));
                        }
                        // The rejection may be caused by an own earlier attempt.
                        Err(error) => error,
                    }
                }
                Err(error) => {
                    unknown |= error.outcome() == Outcome::Unknown;
                    error
                }
            };
            if started.elapsed() >= self.deadline {
                return Err(given_up(&failure, &row.change, unknown));
            }
            compio::time::sleep(backoff.next_delay()).await;
        }
    }

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

    fn remember(&self, next: &Configuration, head_row: Option<RowVersion>) {
        let mut known = self.known.borrow_mut();
        if next.version > known.configuration.version {
            known.configuration = Rc::new(next.clone());
            known.head_row = head_row;
        }
    }

    /// Writes a snapshot when one is due. A failure is only logged, because the version is in force
    /// already; a later publish tries again.
    async fn written(&self, next: Configuration) -> Published {
        let due = next.version - next.version % SNAPSHOT_INTERVAL;
        if due > self.known.borrow().snapshot {
            match self.snapshot(&next, due).await {
                Ok(()) => self.known.borrow_mut().snapshot = due,
                Err(error) => warn!("cannot write the snapshot of version {due}: {error}"),
            }
        }
        Published {
            version: next.version,
            changed: true,
        }
    }

    async fn snapshot(&self, next: &Configuration, due: ConfigVersion) -> Result<()> {
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

    async fn conflict_since(&self, base: ConfigVersion, current: ConfigVersion) -> Error {
        let mut changes = Vec::new();
        // The newest few say enough; a very old base would list thousands.
        let first = base.max(current.saturating_sub(10));
        for version in first + 1..=current {
            match self.history.change(version).await {
                Ok(Some(row)) => changes.push(row.change),
                Ok(None) | Err(_) => break,
            }
        }
        if changes.is_empty() {
            let detail = format!("the current version is {current} and not {base}");
            return Error::new(ErrorKind::Conflict, detail);
        }
        conflict(&changes)
    }
}

fn transaction(known: &Known, from: ConfigVersion, row: &ChangeRow) -> Result<Transaction> {
    let version = row.change.version;
    let audit = AuditRecord {
        from,
        to: version,
        by: row.change.by.clone(),
        at_unix_ms: row.change.at_unix_ms,
        what: row.change.kind.summary(),
    };
    let change_key = versioned_key(CHANGE_PREFIX, version);
    let transaction = match known.head_row {
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
        "the configuration was changed first; {}",
        changes.join("; ")
    );
    Error::new(ErrorKind::Conflict, detail)
}

fn given_up(failure: &Error, change: &Change, unknown: bool) -> Error {
    if !unknown {
        // Only reads and refused transactions failed, so nothing was written.
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
