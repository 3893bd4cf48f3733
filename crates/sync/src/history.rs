//! Reads configuration versions from the table and the object store.

use std::rc::Rc;

use serde::Deserialize;
use serde::Serialize;

use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_config::Change;
use nutmegwalk_config::Configuration;
use nutmegwalk_config::apply;
use nutmegwalk_store::ObjectStore;
use nutmegwalk_store::Row;
use nutmegwalk_store::RowVersion;
use nutmegwalk_store::TableStore;

/// Key of the row that names the current version.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the keys of change rows, which hold one change each.
pub const CHANGE_PREFIX: &str = "config/change/";
/// Prefix of the keys of audit rows, which hold one audit record each.
pub const AUDIT_PREFIX: &str = "audit/";
/// Prefix of the names of snapshot objects, which hold one whole configuration each.
pub const SNAPSHOT_PREFIX: &str = "config/snapshot/";
/// Number of versions between snapshots, which bounds the changes that a new reader fetches.
pub const SNAPSHOT_INTERVAL: ConfigVersion = 100;

/// Number of snapshots tried before all changes are read instead.
const MAX_SNAPSHOT_ATTEMPTS: usize = 10;

/// Content of the head row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Current version.
    pub version: ConfigVersion,
}

/// Content of a change row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRow {
    /// Random tag of the write, by which the writer recognises its own row.
    pub writer: Box<str>,
    /// The change.
    pub change: Change,
}

/// Returns `prefix` followed by the zero-padded version, so that scans return versions in order.
#[must_use]
pub fn versioned_key(prefix: &str, version: ConfigVersion) -> Box<str> {
    format!("{prefix}{version:020}").into()
}

/// Parses the JSON value of a row.
pub(crate) fn parse<T: for<'a> Deserialize<'a>>(row: &Row) -> Result<T> {
    serde_json::from_str(&row.value).map_err(|error| {
        let detail = format!("row {} is malformed: {error}", row.key);
        Error::new(ErrorKind::Internal, detail)
    })
}

/// The stored sequence of configuration versions.
#[derive(Clone)]
pub struct History {
    pub(crate) table: Rc<dyn TableStore>,
    pub(crate) objects: Rc<dyn ObjectStore>,
}

impl History {
    /// Creates a history that is read from the given stores.
    #[must_use]
    pub fn new(table: Rc<dyn TableStore>, objects: Rc<dyn ObjectStore>) -> Self {
        Self { table, objects }
    }

    /// Reads the head with its row version; returns `None` before anything was published.
    ///
    /// # Errors
    /// `store_unavailable` when the table does not answer; `internal` when the row is malformed.
    pub async fn head(&self) -> Result<Option<(Head, RowVersion)>> {
        let rows = self.table.get(&[HEAD_KEY.into()]).await?;
        match rows.first().and_then(Option::as_ref) {
            Some(row) => Ok(Some((parse(row)?, row.version))),
            None => Ok(None),
        }
    }

    /// Reads the change row of `version`; returns `None` when there is no such row.
    ///
    /// # Errors
    /// `store_unavailable` when the table does not answer; `internal` when the row is malformed.
    pub async fn change(&self, version: ConfigVersion) -> Result<Option<ChangeRow>> {
        let rows = self
            .table
            .get(&[versioned_key(CHANGE_PREFIX, version)])
            .await?;
        rows.first().and_then(Option::as_ref).map(parse).transpose()
    }

    /// Reads the configurations after `base` up to version `to`, oldest first, and passes them to `on_batch`
    /// in batches, so that a caller that is interrupted keeps the batches before. Each configuration comes
    /// with the change that led to it, except for one that was read from a snapshot.
    ///
    /// # Errors
    /// `store_unavailable` when the stores do not answer; `internal` when rows are missing or malformed.
    pub async fn read_versions(
        &self,
        base: &Rc<Configuration>,
        to: ConfigVersion,
        mut on_batch: impl FnMut(Vec<VersionStep>),
    ) -> Result<()> {
        let mut current = Rc::clone(base);
        if to.saturating_sub(base.version) > SNAPSHOT_INTERVAL
            && let Some(snapshot) = self.snapshot(base.version, to).await?
        {
            current = Rc::new(snapshot);
            on_batch(vec![VersionStep {
                configuration: Rc::clone(&current),
                change: None,
            }]);
        }
        while current.version < to {
            let last = to.min(current.version.saturating_add(SNAPSHOT_INTERVAL));
            let keys: Vec<Box<str>> = (current.version + 1..=last)
                .map(|version| versioned_key(CHANGE_PREFIX, version))
                .collect();
            let mut batch = Vec::new();
            for (row, key) in self.table.get(&keys).await?.iter().zip(&keys) {
                let row = row.as_ref().ok_or_else(|| {
                    Error::new(ErrorKind::Internal, format!("row {key} is missing"))
                })?;
                let change = parse::<ChangeRow>(row)?.change;
                current = Rc::new(apply(&current, &change)?);
                batch.push(VersionStep {
                    configuration: Rc::clone(&current),
                    change: Some(Rc::new(change)),
                });
            }
            if current.version < last {
                let detail = format!("the table returned fewer than {} rows", keys.len());
                return Err(Error::new(ErrorKind::Internal, detail));
            }
            on_batch(batch);
        }
        Ok(())
    }

    /// Returns the configuration of version `to`, reading only what is newer than `base`.
    ///
    /// # Errors
    /// As for [`History::read_versions`].
    pub async fn configuration(
        &self,
        base: &Rc<Configuration>,
        to: ConfigVersion,
    ) -> Result<Rc<Configuration>> {
        let mut newest = Rc::clone(base);
        let on_batch = |steps: Vec<VersionStep>| {
            if let Some(step) = steps.last() {
                newest = Rc::clone(&step.configuration);
            }
        };
        self.read_versions(base, to, on_batch).await?;
        Ok(newest)
    }

    /// Reads the newest snapshot with a version above `after` and at most `to`.
    ///
    /// A snapshot is written after its version was committed and may be missing after a failure of the
    /// object store. Older snapshots are tried then, up to [`MAX_SNAPSHOT_ATTEMPTS`] in all.
    async fn snapshot(
        &self,
        after: ConfigVersion,
        to: ConfigVersion,
    ) -> Result<Option<Configuration>> {
        let mut version = to - to % SNAPSHOT_INTERVAL;
        for _ in 0..MAX_SNAPSHOT_ATTEMPTS {
            if version <= after {
                break;
            }
            let name = versioned_key(SNAPSHOT_PREFIX, version);
            if let Some(content) = self.objects.get_object(&name).await? {
                match serde_json::from_slice::<Configuration>(&content) {
                    Ok(snapshot) if snapshot.version == version => return Ok(Some(snapshot)),
                    Ok(_) => log::warn!("object {name} holds another version"),
                    Err(error) => log::warn!("object {name} is malformed: {error}"),
                }
            }
            version = version.saturating_sub(SNAPSHOT_INTERVAL);
        }
        Ok(None)
    }

    /// Writes `configuration` as the snapshot of its version.
    ///
    /// # Errors
    /// `store_unavailable` when the object store does not answer.
    pub(crate) async fn write_snapshot(&self, configuration: &Configuration) -> Result<()> {
        let content = serde_json::to_vec(configuration)
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
        let name = versioned_key(SNAPSHOT_PREFIX, configuration.version);
        self.objects.put_object(&name, content.into()).await
    }
}

/// One configuration version, with the change that led to it.
#[derive(Clone, Debug)]
pub struct VersionStep {
    /// The configuration of this version.
    pub configuration: Rc<Configuration>,
    /// The change that led to this version; `None` when it was read from a snapshot.
    pub change: Option<Rc<Change>>,
}
