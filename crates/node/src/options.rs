//! Options of an embedded role that are not part of its settings.

use std::sync::Arc;
use std::time::Duration;

use nutmegwalk_calls::RoutingPolicy;
use nutmegwalk_fleet::Policy;
use nutmegwalk_net::LinkFaults;

/// Options of an embedded entry host or agent, for tests and measurements.
#[derive(Clone, Default)]
pub struct NodeOptions {
    pub(crate) faults: Option<Arc<dyn LinkFaults>>,
    pub(crate) policy: Policy,
    pub(crate) unreachable_after: Option<Duration>,
    pub(crate) isolated_after: Option<Duration>,
    pub(crate) routing: RoutingPolicy,
}

impl NodeOptions {
    /// Creates the options used in production: no fault injection, default policies.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Injects faults into the role's network links.
    #[must_use]
    pub fn with_faults(mut self, faults: Arc<dyn LinkFaults>) -> Self {
        self.faults = Some(faults);
        self
    }

    /// Sets the time without reports from a data centre after which its jobs are moved to other ones.
    #[must_use]
    pub fn with_unreachable_after(mut self, unreachable_after: Duration) -> Self {
        self.unreachable_after = Some(unreachable_after);
        self
    }

    /// Sets the time without a confirmed view after which an agent stops its tasks. It has to be shorter
    /// than the time set by [`NodeOptions::with_unreachable_after`], after which they are started elsewhere.
    #[must_use]
    pub fn with_isolated_after(mut self, isolated_after: Duration) -> Self {
        self.isolated_after = Some(isolated_after);
        self
    }

    /// Sets the placement policy.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the policy by which an entry host routes calls.
    #[must_use]
    pub fn with_routing(mut self, routing: RoutingPolicy) -> Self {
        self.routing = routing;
        self
    }
}
