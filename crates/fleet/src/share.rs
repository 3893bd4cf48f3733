//! Weighted fair sharing between customers.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegwalk_base::CustomerId;

/// Half-life of past use. A half-life of one hour gave no better results.
const HALF_LIFE: Duration = Duration::from_secs(24 * 3600);

#[derive(Clone, Debug)]
struct Customer {
    weight: u32,
    /// Accelerator-seconds used beyond guarantees, with exponential decay.
    used: f64,
    /// Accelerators currently in use beyond guarantees.
    accelerators: u64,
    /// Time up to which `used` is computed.
    updated: Duration,
}

/// Use of all customers beyond their guarantees.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairShare {
    customers: BTreeMap<CustomerId, Customer>,
}

impl FairShare {
    /// Returns a customer with its use computed up to `now`.
    fn customer(&mut self, id: &CustomerId, now: Duration) -> &mut Customer {
        let customer = self.customers.entry(id.clone()).or_insert(Customer {
            weight: 1,
            used: 0.0,
            accelerators: 0,
            updated: now,
        });
        let elapsed = now.saturating_sub(customer.updated).as_secs_f64();
        customer.used *= 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        customer.used += customer.accelerators as f64 * elapsed;
        customer.updated = customer.updated.max(now);
        customer
    }

    /// Sets the weight of a customer; zero is treated as one.
    pub(crate) fn set_weight(&mut self, id: &CustomerId, weight: u32, now: Duration) {
        self.customer(id, now).weight = weight.max(1);
    }

    /// Adds accelerators that a customer uses beyond its guarantees from `now` on.
    pub(crate) fn add(&mut self, id: &CustomerId, accelerators: u64, now: Duration) {
        let customer = self.customer(id, now);
        customer.accelerators = customer.accelerators.saturating_add(accelerators);
    }

    /// Removes accelerators that a customer no longer uses beyond its guarantees.
    pub(crate) fn remove(&mut self, id: &CustomerId, accelerators: u64, now: Duration) {
        let customer = self.customer(id, now);
        customer.accelerators = customer.accelerators.saturating_sub(accelerators);
    }

    /// Returns the use of a customer divided by its weight. The customer with the lowest value is served first.
    pub(crate) fn weighted_use(&mut self, id: &CustomerId, now: Duration) -> f64 {
        let customer = self.customer(id, now);
        customer.used / f64::from(customer.weight)
    }

    /// Returns the weight of a customer.
    pub(crate) fn weight(&self, id: &CustomerId) -> u32 {
        self.customers.get(id).map_or(1, |customer| customer.weight)
    }
}
