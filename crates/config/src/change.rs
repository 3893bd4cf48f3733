//! Changes that lead from one configuration version to the next.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::Configuration;
use crate::Customer;
use crate::DataCentre;
use crate::Operator;
use crate::Service;
use crate::TakenOut;
use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::ServiceId;

/// One change of the configuration, as stored in the table and distributed to processes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Version that the change leads to.
    pub version: ConfigVersion,
    /// Operator who made the change.
    pub by: Box<str>,
    /// When the change was made, in milliseconds since the Unix epoch; informational only.
    pub at_unix_ms: u64,
    /// Kind and content of the change.
    pub kind: ChangeKind,
}

/// Kind and content of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// Operators' files were published.
    Publish(Delta),
    /// A data centre was taken out of service.
    TakeOut {
        /// The data centre.
        data_centre: DataCentreId,
        /// Whether the operator confirms that nothing runs in the data centre any more.
        lost: bool,
    },
    /// A data centre was returned to service.
    Return {
        /// The data centre.
        data_centre: DataCentreId,
    },
}

/// Entries that a publish sets, or removes where the value is `None`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Delta {
    /// Data centres by name; their service state is ignored, because only operators' commands change it.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub data_centres: BTreeMap<DataCentreId, Option<DataCentre>>,
    /// Services by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub services: BTreeMap<ServiceId, Option<Service>>,
    /// Customers by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub customers: BTreeMap<CustomerId, Option<Customer>>,
    /// Operators by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub operators: BTreeMap<Box<str>, Option<Operator>>,
}

impl Delta {
    /// Returns the delta that leads from the entries of `current` to those of `wanted`.
    #[must_use]
    pub fn between(current: &Configuration, wanted: &Configuration) -> Self {
        Self {
            data_centres: difference(&current.data_centres, &wanted.data_centres, |old, new| {
                old.region == new.region && old.racks == new.racks
            }),
            services: difference(&current.services, &wanted.services, Service::eq),
            customers: difference(&current.customers, &wanted.customers, Customer::eq),
            operators: difference(&current.operators, &wanted.operators, Operator::eq),
        }
    }

    /// Returns whether the delta changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns a summary of the set and removed entries, for people.
    #[must_use]
    pub fn summary(&self) -> Box<str> {
        let mut parts = Vec::new();
        describe("data centre", &self.data_centres, &mut parts);
        describe("service", &self.services, &mut parts);
        describe("customer", &self.customers, &mut parts);
        describe("operator", &self.operators, &mut parts);
        parts.join(", ").into()
    }
}

impl ChangeKind {
    /// Returns a summary of the change, for people.
    #[must_use]
    pub fn summary(&self) -> Box<str> {
        match self {
            Self::Publish(delta) => format!("publish: {}", delta.summary()).into(),
            Self::TakeOut { data_centre, lost } => {
                let suffix = if *lost { " as lost" } else { "" };
                format!("take-out of {data_centre}{suffix}").into()
            }
            Self::Return { data_centre } => format!("return of {data_centre}").into(),
        }
    }

    /// Returns whether the change can affect the existence or the service state of the data centre `id`.
    #[must_use]
    pub fn affects_data_centre(&self, id: &str) -> bool {
        match self {
            Self::Publish(delta) => delta.data_centres.contains_key(id),
            Self::TakeOut { data_centre, .. } | Self::Return { data_centre } => {
                &**data_centre == id
            }
        }
    }
}

/// Returns the entries that `wanted` sets or removes relative to `current`, where `equal` compares entries.
fn difference<T: Clone>(
    current: &BTreeMap<Box<str>, T>,
    wanted: &BTreeMap<Box<str>, T>,
    equal: impl Fn(&T, &T) -> bool,
) -> BTreeMap<Box<str>, Option<T>> {
    let set = wanted
        .iter()
        .filter(|(id, new)| !current.get(*id).is_some_and(|old| equal(old, new)))
        .map(|(id, new)| (id.clone(), Some(new.clone())));
    let removed = current
        .keys()
        .filter(|id| !wanted.contains_key(*id))
        .map(|id| (id.clone(), None));
    set.chain(removed).collect()
}

/// Appends a summary of each changed entry to `parts`.
fn describe<T>(what: &str, part: &BTreeMap<Box<str>, Option<T>>, parts: &mut Vec<String>) {
    for (id, entry) in part {
        let verb = if entry.is_some() { "set" } else { "remove" };
        parts.push(format!("{verb} {what} {id}"));
    }
}

/// Returns the configuration that results from applying `change` to `current`.
///
/// # Errors
/// `conflict` when the change does not lead to the next version; `not_found` when it names a data
/// centre that does not exist.
pub fn apply(current: &Configuration, change: &Change) -> Result<Configuration> {
    if current.version.checked_add(1) != Some(change.version) {
        let detail = format!(
            "a change to version {} does not follow version {}",
            change.version, current.version
        );
        return Err(Error::new(ErrorKind::Conflict, detail));
    }
    let mut next = current.clone();
    next.version = change.version;
    match &change.kind {
        ChangeKind::Publish(delta) => {
            merge(&mut next.data_centres, &delta.data_centres);
            for (id, data_centre) in &mut next.data_centres {
                data_centre.in_service = !next.taken_out.contains_key(id);
            }
            merge(&mut next.services, &delta.services);
            merge(&mut next.customers, &delta.customers);
            merge(&mut next.operators, &delta.operators);
        }
        ChangeKind::TakeOut { data_centre, lost } => {
            find_data_centre(&mut next, data_centre)?.in_service = false;
            let taken_out = TakenOut {
                version: change.version,
                lost: *lost,
            };
            next.taken_out.insert(data_centre.clone(), taken_out);
        }
        ChangeKind::Return { data_centre } => {
            find_data_centre(&mut next, data_centre)?.in_service = true;
            next.taken_out.remove(data_centre);
        }
    }
    Ok(next)
}

fn find_data_centre<'a>(
    configuration: &'a mut Configuration,
    id: &str,
) -> Result<&'a mut DataCentre> {
    configuration.data_centres.get_mut(id).ok_or_else(|| {
        let detail = format!("there is no data centre {id}");
        Error::new(ErrorKind::NotFound, detail)
    })
}

/// Applies the set and removed entries of `changes` to `entries`.
fn merge<T: Clone>(entries: &mut BTreeMap<Box<str>, T>, changes: &BTreeMap<Box<str>, Option<T>>) {
    for (id, entry) in changes {
        match entry {
            Some(entry) => entries.insert(id.clone(), entry.clone()),
            None => entries.remove(id),
        };
    }
}
