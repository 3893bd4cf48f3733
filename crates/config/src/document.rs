//! The configuration document, which is distributed to all processes.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::GuaranteeId;
use nutmegwalk_base::RackId;
use nutmegwalk_base::RegionId;
use nutmegwalk_base::ServiceId;

/// One version of the whole configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Version of this document; zero before anything was published.
    pub version: ConfigVersion,
    /// Data centres by name.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Customers by name.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Operators by name.
    pub operators: BTreeMap<Box<str>, Operator>,
    /// Data centres that operators have taken out and not returned. An entry is kept when the data centre is
    /// removed from the files, so that adding the data centre again does not return it to service.
    #[serde(default)]
    pub taken_out: BTreeMap<DataCentreId, TakenOut>,
}

/// How a data centre was taken out of service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TakenOut {
    /// Version of the change that took the data centre out or marked it as lost.
    pub version: ConfigVersion,
    /// Whether an operator confirms that nothing runs in the data centre any more.
    pub lost: bool,
}

/// A data centre with its racks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Region that the data centre is in.
    pub region: RegionId,
    /// Whether the data centre is in service; take-out sets this to false.
    #[serde(default = "default_in_service")]
    pub in_service: bool,
    /// Racks by name.
    pub racks: BTreeMap<RackId, Rack>,
}

fn default_in_service() -> bool {
    true
}

/// A rack of workers of the same size.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rack {
    /// Number of workers.
    pub workers: u32,
    /// Size of each worker.
    pub shape: WorkerShape,
}

/// Size of a worker, or of one member of a gang.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerShape {
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// A service that backend servers announce and callers call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Number of calls that one backend server runs concurrently.
    pub slots: u32,
    /// Number of connections that one backend server accepts.
    pub connections: u32,
    /// Deadline of a call without a deadline of its own, in milliseconds.
    pub deadline_ms: u64,
}

/// A customer with its guarantees.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// BLAKE3 digest of the customer's token, in hexadecimal.
    pub token_digest: Box<str>,
    /// Guaranteed rate in calls per second, over all entry hosts.
    pub calls_per_second: u32,
    /// Weight in the fair sharing of capacity beyond guarantees.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Guarantees by name.
    #[serde(default)]
    pub guarantees: BTreeMap<GuaranteeId, Guarantee>,
}

fn default_weight() -> u32 {
    1
}

/// Constraint on the placement of the members of a gang relative to each other.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// All members in one rack.
    Rack,
    /// All members in one data centre, which is required of every gang.
    #[default]
    DataCentre,
}

/// Capacity of a given shape that a customer is guaranteed. It may be lent to others, and the customer gets it
/// back within `reclaim_within_ms`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Number of gang members, each on a separate worker.
    pub workers: u32,
    /// Size of each member.
    pub shape: WorkerShape,
    /// Constraint on the placement of the members.
    #[serde(default)]
    pub adjacency: Adjacency,
    /// Data centre that provides the capacity.
    pub data_centre: DataCentreId,
    /// Data centre that provides the capacity while `data_centre` is out of service.
    #[serde(default)]
    pub standby: Option<DataCentreId>,
    /// Maximum time in which borrowed capacity is given back, in milliseconds.
    pub reclaim_within_ms: u64,
}

/// An operator, who may publish and may take data centres out of service and return them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// BLAKE3 digest of the operator's token, in hexadecimal.
    pub token_digest: Box<str>,
}
