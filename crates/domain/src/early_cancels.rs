//! Deletion of the early cancellations whose retention time has passed.
//!
//! An entry host stores an early cancellation for a job that does not exist, so that a submission which is on its way to the
//! store cannot be accepted. It has to outlast every such write.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;

use crate::cleanup::DELETION_DEADLINE;
use crate::cleanup::ENTRIES_PER_DELETION;
use crate::term::Term;
use nutmegwalk_base::Result;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_store::RequestClass;
use nutmegwalk_store::Row;
use nutmegwalk_store::RowVersion;
use nutmegwalk_store::TransactionOutcome;
use nutmegwalk_workload::EARLY_CANCEL_PREFIX;

/// Maximum number of rows that are read at a time.
const ROWS_PER_PAGE: usize = 500;
/// Entries of a deletion for each row: its condition and the deletion itself.
const ENTRIES_PER_ROW: usize = 2;

/// Early cancellations in the store, with the time since which this owner has known each of them. The times of day in rows
/// of other hosts are no measure of their age.
#[derive(Debug, Default)]
pub(crate) struct KnownEarlyCancels {
    known_since: BTreeMap<Box<str>, (RowVersion, Instant)>,
}

impl KnownEarlyCancels {
    /// Replaces the known rows by those that were read at `now`.
    fn update(&mut self, rows: Vec<Row>, now: Instant) {
        let mut former = std::mem::take(&mut self.known_since);
        for row in rows {
            let since = match former.remove(&row.key) {
                Some((version, since)) if version == row.version => since,
                _ => now,
            };
            self.known_since.insert(row.key, (row.version, since));
        }
    }

    /// Returns the rows that have been known for longer than `retention` at `now`.
    fn expired(&self, retention: Duration, now: Instant) -> Vec<(Box<str>, RowVersion)> {
        let known = self.known_since.iter();
        known
            .filter(|(_, (_, since))| now.saturating_duration_since(*since) > retention)
            .map(|(key, (version, _))| (key.clone(), *version))
            .collect()
    }
}

impl Term {
    /// Deletes the early cancellations that have been known for longer than ended jobs are kept.
    pub(crate) async fn delete_early_cancels(&self, known: &mut KnownEarlyCancels) {
        match self.read_early_cancels().await {
            Ok(rows) => known.update(rows, clock::now()),
            Err(error) => {
                warn!(target: event::PROGRESS_NOT_STORED, "cannot read early cancellations: {error}");
                return;
            }
        }
        let expired = known.expired(self.settings.ended_job_retention, clock::now());
        for rows in expired.chunks(ENTRIES_PER_DELETION / ENTRIES_PER_ROW) {
            let mut transaction = self.ownership.fence(&self.held);
            for (key, version) in rows {
                transaction = transaction
                    .with_version(key.clone(), *version)
                    .with_delete(key.clone());
            }
            let result = self
                .store
                .transact(RequestClass::Audit, &transaction, DELETION_DEADLINE)
                .await;
            match result {
                Ok(TransactionOutcome::Committed { .. }) => {
                    info!(target: event::EARLY_CANCELS_DELETED, count = rows.len(); "");
                }
                // A row was written again, or another process has become the owner.
                Ok(TransactionOutcome::Rejected { .. }) => {}
                Err(error) => {
                    warn!(target: event::PROGRESS_NOT_STORED, "cannot delete early cancellations: {error}");
                }
            }
        }
    }

    async fn read_early_cancels(&self) -> Result<Vec<Row>> {
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let after = rows.last().map_or("", |row| &*row.key);
            let page = self
                .store
                .scan(
                    RequestClass::Audit,
                    EARLY_CANCEL_PREFIX,
                    after,
                    ROWS_PER_PAGE,
                    DELETION_DEADLINE,
                )
                .await?;
            let is_last = page.len() < ROWS_PER_PAGE;
            rows.extend(page);
            if is_last {
                return Ok(rows);
            }
        }
    }
}
