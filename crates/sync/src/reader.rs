//! Reads the configuration and the owner rows from the table, on entry hosts.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use log::warn;

use crate::OwnerValue;
use crate::SyncTimings;
use crate::View;
use crate::history::HEAD_KEY;
use crate::history::Head;
use crate::history::History;
use crate::history::VersionStep;
use crate::history::parse;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_net::Drain;
use nutmegwalk_store::ObjectStore;
use nutmegwalk_store::Row;
use nutmegwalk_store::TableStore;

/// Prefix of the keys of owner rows; the duty follows it.
pub const OWNER_PREFIX: &str = "owner/";
/// Duty of the dispatcher, the only one that is not named after a data centre.
const DISPATCH_DUTY: &str = "dispatch";
/// Maximum number of rows per scan; more owner rows are read in several scans.
const MAX_SCAN_ROWS: usize = 200;

/// Refreshes the view of an entry host from the table.
pub struct ViewReader {
    history: History,
    view: View,
    timings: SyncTimings,
    reads: Cell<u64>,
    rounds: Cell<u32>,
}

impl ViewReader {
    /// Creates a reader that updates `view`.
    #[must_use]
    pub fn new(
        table: Rc<dyn TableStore>,
        objects: Rc<dyn ObjectStore>,
        view: View,
        timings: SyncTimings,
    ) -> Self {
        Self {
            history: History::new(table, objects),
            view,
            timings,
            reads: Cell::new(0),
            rounds: Cell::new(0),
        }
    }

    /// Returns the number of reads and scans of the head and the owner rows; reads of changes are not
    /// counted.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.reads.get()
    }

    /// Refreshes the view at the configured interval until `drain` starts.
    pub async fn run(&self, drain: Drain) {
        let mut failing = false;
        while !drain.is_started() {
            let started = Instant::now();
            match compio::time::timeout(self.timings.read_timeout, self.read_once()).await {
                Ok(Ok(())) => failing = false,
                Ok(Err(error)) if !failing => {
                    failing = true;
                    warn!("cannot read the configuration: {error}");
                }
                Err(_) if !failing => {
                    failing = true;
                    let limit = self.timings.read_timeout;
                    warn!("cannot read the configuration: the stores did not answer in {limit:?}");
                }
                Ok(Err(_)) | Err(_) => {}
            }
            let pause = self.timings.read_interval.saturating_sub(started.elapsed());
            compio::time::sleep(pause).await;
        }
    }

    /// Reads the head, the owner rows and the missing changes once, and updates the view.
    ///
    /// One table read returns the head and the rows of all known duties. Owner rows of other duties are found
    /// by a scan, in the first round and then in one of every `rounds_per_scan` rounds.
    ///
    /// # Errors
    /// `store_unavailable` when a store does not answer; `internal` when rows are missing or malformed. The
    /// view is not confirmed then.
    pub async fn read_once(&self) -> Result<()> {
        let sent = Instant::now();
        let round = self.rounds.get();
        self.rounds.set(round.wrapping_add(1));
        let duties = self.known_duties();
        let mut keys: Vec<Box<str>> = vec![HEAD_KEY.into()];
        let owner_keys = duties
            .iter()
            .map(|duty| format!("{OWNER_PREFIX}{duty}").into());
        keys.extend(owner_keys);
        self.reads.set(self.reads.get() + 1);
        let rows = self.history.table.get(&keys).await?;
        if rows.len() != keys.len() {
            let detail = format!("the table returned {} of {} rows", rows.len(), keys.len());
            return Err(Error::new(ErrorKind::Internal, detail));
        }
        let mut rows = rows.into_iter();
        let head = rows.next().flatten();
        let mut found = Vec::new();
        let mut removed = Vec::new();
        for (duty, row) in duties.into_iter().zip(rows) {
            match row {
                Some(row) => found.push((duty, owner_value(row))),
                None => removed.push(duty),
            }
        }
        self.view.update_owners(found, &removed);
        if round.is_multiple_of(self.timings.rounds_per_scan.max(1)) {
            self.scan_owners().await?;
        }
        let version = match head {
            Some(row) => parse::<Head>(&row)?.version,
            None => 0,
        };
        let current = self.view.configuration();
        if version > current.version {
            // Each batch updates the view, so that the view catches up with a long history over several
            // rounds even if each of them exceeds the read timeout.
            let advance = |steps: Vec<VersionStep>| {
                self.view.advance(&steps);
            };
            self.history
                .read_versions(&current, version, advance)
                .await?;
        }
        self.view.confirm(version, sent);
        Ok(())
    }

    /// Scans all owner rows and stores the newer ones in the view.
    async fn scan_owners(&self) -> Result<()> {
        let mut after: Box<str> = Box::default();
        loop {
            self.reads.set(self.reads.get() + 1);
            let rows = self
                .history
                .table
                .scan(OWNER_PREFIX, &after, MAX_SCAN_ROWS)
                .await?;
            let complete = rows.len() < MAX_SCAN_ROWS;
            if let Some(last) = rows.last() {
                after = last.key.clone();
            }
            let found = rows.into_iter().filter_map(|row| {
                let duty = row.key.strip_prefix(OWNER_PREFIX)?.into();
                Some((duty, owner_value(row)))
            });
            self.view.update_owners(found, &[]);
            if complete {
                return Ok(());
            }
        }
    }

    /// Returns the dispatch duty and those of all known data centres and owner rows.
    fn known_duties(&self) -> Vec<Box<str>> {
        let configuration = self.view.configuration();
        let owners = self.view.owners();
        let mut duties: Vec<Box<str>> = configuration.data_centres.keys().cloned().collect();
        duties.extend(owners.keys().cloned());
        duties.push(DISPATCH_DUTY.into());
        duties.sort();
        duties.dedup();
        duties
    }
}

fn owner_value(row: Row) -> OwnerValue {
    OwnerValue {
        version: row.version,
        value: row.value.into(),
    }
}
