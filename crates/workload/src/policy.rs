//! The operators' configuration as far as jobs are subject to it.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::ServiceId;

/// Urgency of a queue: 0 comes first and may preempt the others.
pub type Priority = u32;

/// How the jobs of one queue are treated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueuePolicy {
    /// Service whose workers run the tasks.
    pub service: ServiceId,
    /// Urgency.
    pub priority: Priority,
    /// Failed runs after which a unit is given up.
    pub max_failures: u32,
    /// Factor on a job's longest chain of work within which it should complete.
    pub stretch: f64,
    /// Time in addition to it, in milliseconds.
    pub completion_slack_ms: u64,
    /// How to ask which workers may run a step, if the queue's policy restricts them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<AdvicePolicy>,
}

// The factor comes from a document, where it is a finite number.
impl Eq for QueuePolicy {}

/// Cost and validity of asking which workers may run a step.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdvicePolicy {
    /// Time for one question, in milliseconds.
    pub decide_ms: u64,
    /// Time in addition for each worker named, in milliseconds.
    pub each_ms: u64,
    /// Time for which a ticket is valid, in milliseconds.
    pub valid_ms: u64,
}

/// A queue with the requests that select it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: Box<str>,
    /// Host that requests name.
    pub host: Box<str>,
    /// Prefix of the path of requests; the longest one that matches is selected.
    pub path_prefix: Box<str>,
    /// Whether no key is needed.
    pub is_anonymous: bool,
    /// How the jobs are treated.
    pub policy: QueuePolicy,
}

/// A customer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CustomerPolicy {
    /// Accelerators that belong to the customer's most urgent jobs at all times.
    pub guaranteed_accelerators: u64,
}

/// A service, whose workers form a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServicePolicy {
    /// Whether the workers themselves refuse tasks that do not fit.
    pub guards_capacity: bool,
    /// Whether the pool's machines are off and not paid for.
    pub is_spare: bool,
}

/// Limits of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobConfiguration {
    /// Version; zero before the first one is known.
    pub version: ConfigVersion,
    /// Queues by name.
    pub queues: BTreeMap<Box<str>, Queue>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServicePolicy>,
    /// Customers by name.
    pub customers: BTreeMap<CustomerId, CustomerPolicy>,
    /// Customer of each key that is in force.
    pub keys: BTreeMap<Box<str>, CustomerId>,
    /// Limits of requests.
    pub limits: RequestLimits,
}

impl JobConfiguration {
    /// Returns the queue that a request for `path` at `host` selects.
    #[must_use]
    pub fn select(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .values()
            .filter(|queue| &*queue.host == host && path.starts_with(&*queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }
}
