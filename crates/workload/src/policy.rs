//! The part of the operators' configuration that applies to jobs.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::ServiceId;

/// Priority of a queue: 0 is the most urgent and may preempt the others.
pub type Priority = u32;

/// Policy for the jobs of one queue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueuePolicy {
    /// Service whose workers run the tasks.
    pub service: ServiceId,
    /// Priority of the jobs.
    pub priority: Priority,
    /// Number of failed runs of a unit after which its job fails.
    pub max_failures: u32,
    /// Target for the completion time, as a multiple of the longest chain of work of a job (its critical path).
    pub stretch: f64,
    /// Time added to the target for the completion time, in milliseconds.
    pub completion_slack_ms: u64,
    /// Cost and validity of requests for the workers that may run a step, if the queue restricts them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<AdvicePolicy>,
}

// `stretch` comes from a parsed document, where it is a finite number, so that equality is reflexive.
impl Eq for QueuePolicy {}

/// Cost and validity of a request for the workers that may run a step.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdvicePolicy {
    /// Time for one request, in milliseconds.
    pub decide_ms: u64,
    /// Additional time for each worker named in the request, in milliseconds.
    pub each_ms: u64,
    /// Time for which a ticket is valid, in milliseconds.
    pub valid_ms: u64,
}

/// A queue, and which requests select it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: Box<str>,
    /// Host name of the requests.
    pub host: Box<str>,
    /// Path prefix of the requests. Of several queues that match, the one with the longest prefix is selected.
    pub path_prefix: Box<str>,
    /// Whether requests need no key.
    pub is_anonymous: bool,
    /// Policy for the jobs of the queue.
    pub policy: QueuePolicy,
}

/// Policy for a customer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CustomerPolicy {
    /// Number of accelerators that are guaranteed to the customer's most urgent jobs at all times.
    pub guaranteed_accelerators: u64,
}

/// Policy for a service, whose workers form a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServicePolicy {
    /// Whether the workers themselves reject tasks that do not fit.
    pub workers_check_capacity: bool,
    /// Whether the machines of the pool are powered off and not paid for.
    pub is_spare: bool,
}

/// Size limits of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
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

/// One version of the configuration of jobs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobConfiguration {
    /// Version; zero before the first one has been received.
    pub version: ConfigVersion,
    /// Queues by name.
    pub queues: BTreeMap<Box<str>, Queue>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServicePolicy>,
    /// Customers by name.
    pub customers: BTreeMap<CustomerId, CustomerPolicy>,
    /// Customer of each valid API key.
    pub keys: BTreeMap<Box<str>, CustomerId>,
    /// Size limits of requests.
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
