//! Type aliases for ids, and functions that generate random ids.

use rand::Rng;

/// Name of a worker.
pub type WorkerId = Box<str>;
/// Name of a rack, unique within its data centre.
pub type RackId = Box<str>;
/// Name of a data centre.
pub type DataCentreId = Box<str>;
/// Name of a region.
pub type RegionId = Box<str>;
/// Name of a customer.
pub type CustomerId = Box<str>;
/// Name of a guarantee, unique within its customer.
pub type GuaranteeId = Box<str>;
/// Name of a service.
pub type ServiceId = Box<str>;
/// Id of a job, assigned by the entry host that accepts it or, on the platform, chosen by the caller.
pub type JobId = Box<str>;
/// Id of one request of a caller.
pub type RequestId = Box<str>;
/// Name of a process of this system, for example an agent.
pub type ProcessId = Box<str>;
/// Version of the configuration; versions only increase.
pub type ConfigVersion = u64;
/// Fencing epoch of an ownership lease.
pub type Epoch = u64;
/// Random number that a process generates at its start; a restarted process has a different one.
pub type Incarnation = u64;

/// Returns a random incarnation, which is never zero.
#[must_use]
pub fn new_incarnation() -> Incarnation {
    rand::rng().random_range(1..u64::MAX)
}

/// Returns a random id with `prefix`, 64 bits of randomness in hexadecimal.
#[must_use]
pub fn new_id(prefix: &str) -> Box<str> {
    let random: u64 = rand::rng().random();
    format!("{prefix}-{random:016x}").into_boxed_str()
}
