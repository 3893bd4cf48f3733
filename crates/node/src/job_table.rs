//! Reads and writes of job rows.

use std::rc::Rc;

use log::warn;

use crate::jobs::JobRecord;
use crate::jobs::JobState;
use crate::jobs::from_json;
use crate::jobs::home_key;
use crate::jobs::home_prefix;
use crate::jobs::job_key;
use crate::jobs::to_json;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_store::RowVersion;
use nutmegwalk_store::TableStore;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;

/// Maximum number of rows per read or scan.
const PAGE_ROWS: usize = 500;

/// A job with the version of its row.
#[derive(Clone, Debug)]
pub struct StoredJob {
    /// The row's content.
    pub record: JobRecord,
    /// Version of the row; the next write is conditional on it.
    pub version: RowVersion,
}

/// Reads and writes the rows of jobs in the table.
#[derive(Clone)]
pub struct JobTable {
    table: Rc<dyn TableStore>,
}

impl JobTable {
    /// Creates an accessor of the job rows in `table`.
    #[must_use]
    pub fn new(table: Rc<dyn TableStore>) -> Self {
        Self { table }
    }

    /// Stores an accepted job. If a job with the same id, request and customer exists, it is returned.
    ///
    /// # Errors
    /// `key_reused` when the id belongs to another job; `store_unknown` when the id belongs to a job that cannot be read;
    /// errors of the store.
    pub async fn accept(&self, record: &JobRecord) -> Result<StoredJob> {
        let key = job_key(&record.id);
        let transaction = Transaction::new()
            .with_absent(key.clone())
            .with_put(key, to_json(record)?)
            .with_put(home_key(&record.home, &record.id), "{}");
        match self.table.transact(&transaction).await? {
            TransactionOutcome::Committed { version } => Ok(StoredJob {
                record: record.clone(),
                version,
            }),
            TransactionOutcome::Rejected { .. } => {
                let stored = self.read(&record.id).await.map_err(|error| {
                    let detail = format!("the row of the job existed but was not read: {error}");
                    Error::new(ErrorKind::StoreUnknown, detail)
                })?;
                if stored.record.request == record.request
                    && stored.record.customer == record.customer
                {
                    return Ok(stored);
                }
                Err(Error::new(
                    ErrorKind::KeyReused,
                    "the key was used before for another job",
                ))
            }
        }
    }

    /// Reads a job.
    ///
    /// # Errors
    /// `not_found` when there is no such job; errors of the store.
    pub async fn read(&self, id: &str) -> Result<StoredJob> {
        let keys = [job_key(id)];
        let rows = self.table.get(&keys).await?;
        let Some(Some(row)) = rows.into_iter().next() else {
            return Err(Error::new(
                ErrorKind::NotFound,
                format!("job `{id}` does not exist"),
            ));
        };
        Ok(StoredJob {
            record: from_json(&row.key, &row.value)?,
            version: row.version,
        })
    }

    /// Reads the jobs with these ids; ids without a row, and rows that cannot be decoded, are skipped.
    ///
    /// # Errors
    /// Errors of the store.
    pub async fn read_all(&self, ids: &[JobId]) -> Result<Vec<StoredJob>> {
        let keys: Vec<Box<str>> = ids.iter().map(|id| job_key(id)).collect();
        let mut jobs = Vec::new();
        for page in keys.chunks(PAGE_ROWS) {
            for row in self.table.get(page).await?.into_iter().flatten() {
                match from_json(&row.key, &row.value) {
                    Ok(record) => jobs.push(StoredJob {
                        record,
                        version: row.version,
                    }),
                    // One malformed row must not block all other jobs of the data centre.
                    Err(error) => warn!("skipping a job: {error}"),
                }
            }
        }
        Ok(jobs)
    }

    /// Lists the ids of the jobs that have `home`.
    ///
    /// # Errors
    /// Errors of the store.
    pub async fn list_home(&self, home: &str) -> Result<Vec<JobId>> {
        let prefix = home_prefix(home);
        let mut ids: Vec<JobId> = Vec::new();
        let mut after: Box<str> = "".into();
        loop {
            let rows = self.table.scan(&prefix, &after, PAGE_ROWS).await?;
            let Some(last) = rows.last() else {
                return Ok(ids);
            };
            after = last.key.clone();
            ids.extend(rows.iter().map(|row| row.key[prefix.len()..].into()));
            if rows.len() < PAGE_ROWS {
                return Ok(ids);
            }
        }
    }

    /// Replaces a job's row if it still has the version that was read.
    ///
    /// The index row moves along with the home and is removed when the job has ended. `fence` holds the
    /// conditions under which the writer still owns the job.
    ///
    /// # Errors
    /// `conflict` when the row has changed, `stale_epoch` when the fence does not hold; errors of the
    /// store.
    pub async fn replace(
        &self,
        stored: &StoredJob,
        record: JobRecord,
        fence: &Transaction,
    ) -> Result<StoredJob> {
        let key = job_key(&record.id);
        let old_home = home_key(&stored.record.home, &record.id);
        let mut transaction = fence.clone().with_version(key.clone(), stored.version);
        transaction = transaction.with_put(key, to_json(&record)?);
        if record.state.is_final() {
            transaction = transaction.with_delete(old_home);
        } else if record.home != stored.record.home {
            transaction = transaction
                .with_delete(old_home)
                .with_put(home_key(&record.home, &record.id), "{}");
        }
        match self.table.transact(&transaction).await? {
            TransactionOutcome::Committed { version } => Ok(StoredJob { record, version }),
            TransactionOutcome::Rejected { failed_conditions } => {
                if failed_conditions
                    .iter()
                    .any(|index| *index < fence.conditions.len())
                {
                    return Err(Error::new(
                        ErrorKind::StaleEpoch,
                        "another process owns the data centre",
                    ));
                }
                Err(Error::new(
                    ErrorKind::Conflict,
                    format!("job `{}` was changed by another process", record.id),
                ))
            }
        }
    }

    /// Records a request to cancel a job; a job that is being cancelled or has ended is left unchanged.
    ///
    /// # Errors
    /// `not_found`; errors of the store.
    pub async fn request_cancel(&self, id: &str) -> Result<StoredJob> {
        loop {
            let stored = self.read(id).await?;
            if stored.record.state != JobState::Accepted {
                return Ok(stored);
            }
            let record = JobRecord {
                state: JobState::Cancelling,
                ..stored.record.clone()
            };
            match self.replace(&stored, record, &Transaction::new()).await {
                // The row was written in between; retry with the new state.
                Err(error) if error.kind == ErrorKind::Conflict => {}
                result => return result,
            }
        }
    }
}
