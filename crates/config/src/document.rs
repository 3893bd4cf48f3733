//! The configuration document that all processes act on.

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
    /// Data centres that operators took out and have not returned. An entry outlives the data
    /// centre's removal from the files, so that adding it again does not return it to service.
    #[serde(default)]
    pub taken_out: BTreeMap<DataCentreId, TakenOut>,
}

/// How a data centre was taken out of service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TakenOut {
    /// Version of the change that took it out.
    pub version: ConfigVersion,
    /// Whether an operator vouches that nothing runs there any more.
    pub lost: bool,
}

/// A data centre with its racks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Region that the data centre is in.
    pub region: RegionId,
    /// Whether the data centre is in service; take-out sets this to false.
    #[serde(default = "in_service")]
    pub in_service: bool,
    /// Racks by name.
    pub racks: BTreeMap<RackId, Rack>,
}

fn in_service() -> bool {
    true
}

/// A rack of equal workers.
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
    /// Processor cores.
    pub cores: u32,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
}

/// A service that backend servers announce and callers call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Calls that one backend server runs at once.
    pub slots: u32,
    /// Connections that one backend server accepts.
    pub connections: u32,
    /// Deadline of a call that names none, in milliseconds.
    pub deadline_ms: u64,
}

/// A customer with its guarantees.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// BLAKE3 digest of the customer's token, in hexadecimal.
    pub token_digest: Box<str>,
    /// Calls a second that the customer is guaranteed, over all entry hosts.
    pub calls_per_second: u32,
    /// Weight in fair sharing beyond guarantees.
    #[serde(default = "one")]
    pub weight: u32,
    /// Guaranteed shapes by name.
    #[serde(default)]
    pub guarantees: BTreeMap<GuaranteeId, Guarantee>,
}

fn one() -> u32 {
    1
}

/// How near to each other the members of a gang have to be.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// All in one rack.
    Rack,
    /// All in one data centre, which holds for every gang.
    #[default]
    DataCentre,
}

/// A shape that a customer can always get back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Number of members, each on a worker of its own.
    pub workers: u32,
    /// Size of each member.
    pub shape: WorkerShape,
    /// How near the members have to be.
    #[serde(default)]
    pub adjacency: Adjacency,
    /// Data centre that holds the shape.
    pub data_centre: DataCentreId,
    /// Data centre that holds the shape while its own is out of service.
    #[serde(default)]
    pub standby: Option<DataCentreId>,
    /// Time until borrowed capacity is back, in milliseconds.
    pub reclaim_within_ms: u64,
}

/// An operator who may publish and take data centres out of service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// BLAKE3 digest of the operator's token, in hexadecimal.
    pub token_digest: Box<str>,
}
