//! Reader of the table's rows that bypasses all faults of the store.

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

pub(crate) struct TableReader<'a> {
    deployment: Ref<'a, Deployment>,
}

impl<'a> TableReader<'a> {
    pub(crate) fn new(deployment: Ref<'a, Deployment>) -> Self {
        Self { deployment }
    }

    fn read<T: DeserializeOwned>(&self, keys: &[Box<str>]) -> Vec<Option<T>> {
        let rows = self
            .deployment
            .platform
            .with_store(|store| store.read(keys));
        // Rows contain the tag of the store client in addition to their own fields, sometimes under the same
        // name. The own field comes last and takes precedence.
        rows.into_iter()
            .map(|row| {
                let value: serde_json::Value = serde_json::from_str(&row?.value).ok()?;
                serde_json::from_value(value).ok()
            })
            .collect()
    }

    /// Returns the committed configuration version, or zero before the first commit.
    pub(crate) fn version(&self) -> ConfigVersion {
        let head: Option<Head> = self.read(&[HEAD_KEY.into()]).pop().flatten();
        head.map_or(0, |head| head.version)
    }

    /// Returns the change that produced a version.
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

    /// Returns the process that holds the ownership of `duty`.
    pub(crate) fn holder(&self, duty: &str) -> Option<Box<str>> {
        let row: Option<nutmegwalk_lease::OwnerRow> = self
            .read(&[nutmegwalk_lease::owner_key(duty)])
            .pop()
            .flatten();
        row.map(|row| row.holder)
            .filter(|holder| !holder.is_empty())
    }
}
