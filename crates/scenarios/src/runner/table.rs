//! Rows of the table, read past all faults of the store.

use std::cell::Ref;

use serde::de::DeserializeOwned;

use crate::deployment::Deployment;
use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::JobId;
use nutmegwalk_config::Change;
use nutmegwalk_node::jobs::JobRecord;
use nutmegwalk_node::jobs::job_key;
use nutmegwalk_sync::CHANGE_PREFIX;
use nutmegwalk_sync::ChangeRow;
use nutmegwalk_sync::HEAD_KEY;
use nutmegwalk_sync::Head;
use nutmegwalk_sync::versioned_key;

pub(crate) struct Table<'a> {
    deployment: Ref<'a, Deployment>,
}

impl<'a> Table<'a> {
    pub(crate) fn new(deployment: Ref<'a, Deployment>) -> Self {
        Self { deployment }
    }

    fn read<T: DeserializeOwned>(&self, keys: &[Box<str>]) -> Vec<Option<T>> {
        let rows = self
            .deployment
            .platform
            .with_store(|store| store.read(keys));
        // Rows carry the store client's tag beside their own fields, sometimes of the same name; the
        // own field comes last and wins.
        rows.into_iter()
            .map(|row| {
                let value: serde_json::Value = serde_json::from_str(&row?.value).ok()?;
                serde_json::from_value(value).ok()
            })
            .collect()
    }

    /// Returns the version that is committed.
    pub(crate) fn version(&self) -> ConfigVersion {
        let head: Option<Head> = self.read(&[HEAD_KEY.into()]).pop().flatten();
        head.map_or(0, |head| head.version)
    }

    /// Returns the change that led to a version.
    pub(crate) fn change(&self, version: ConfigVersion) -> Option<Change> {
        let row: Option<ChangeRow> = self
            .read(&[versioned_key(CHANGE_PREFIX, version)])
            .pop()
            .flatten();
        row.map(|row| row.change)
    }

    /// Returns the rows of jobs, in the order of `ids`.
    pub(crate) fn jobs(&self, ids: &[JobId]) -> Vec<Option<JobRecord>> {
        let keys: Vec<Box<str>> = ids.iter().map(|id| job_key(id)).collect();
        self.read(&keys)
    }

    /// Returns the process that holds a duty.
    pub(crate) fn holder(&self, duty: &str) -> Option<Box<str>> {
        let row: Option<nutmegwalk_lease::OwnerRow> = self
            .read(&[nutmegwalk_lease::owner_key(duty)])
            .pop()
            .flatten();
        row.map(|row| row.holder)
            .filter(|holder| !holder.is_empty())
    }
}
