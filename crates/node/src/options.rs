//! What a program that embeds a role can change beyond its settings.

use std::sync::Arc;
use std::time::Duration;

use nutmegwalk_calls::RoutingPolicy;
use nutmegwalk_fleet::Policy;
use nutmegwalk_net::LinkFaults;

/// Options of an embedded role, for tests and measurements.
#[derive(Clone, Default)]
pub struct NodeOptions {
    pub(crate) faults: Option<Arc<dyn LinkFaults>>,
    pub(crate) policy: Policy,
    pub(crate) silent_after: Option<Duration>,
    pub(crate) isolated_after: Option<Duration>,
    pub(crate) routing: RoutingPolicy,
}

impl NodeOptions {
    /// Creates the options of production: no faults, the default policies.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Injects faults on the links of the role.
    #[must_use]
    pub fn with_faults(mut self, faults: Arc<dyn LinkFaults>) -> Self {
        self.faults = Some(faults);
        self
    }

    /// Sets the silence after which the jobs of a data centre are sent elsewhere.
    #[must_use]
    pub fn with_silent_after(mut self, silent_after: Duration) -> Self {
        self.silent_after = Some(silent_after);
        self
    }

    /// Sets the time without a confirmed view after which an agent stops its tasks; shorter than the
    /// silence after which they are started elsewhere.
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

    /// Sets the routing policy of an entry host.
    #[must_use]
    pub fn with_routing(mut self, routing: RoutingPolicy) -> Self {
        self.routing = routing;
        self
    }
}
