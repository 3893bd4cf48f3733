//! The queue of one data centre.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use nutmegwalk_base::CustomerId;

/// Arrival in milliseconds and sequence number; the lowest is the oldest.
pub(crate) type QueueKey = (i64, u64);

/// Waiting jobs by customer, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    pub(crate) by_customer: BTreeMap<CustomerId, BTreeSet<QueueKey>>,
    /// Waiting jobs that name a guarantee.
    pub(crate) guaranteed: BTreeSet<QueueKey>,
}

impl Queue {
    /// Adds a job.
    pub(crate) fn insert(&mut self, customer: &CustomerId, key: QueueKey, guaranteed: bool) {
        self.by_customer
            .entry(customer.clone())
            .or_default()
            .insert(key);
        if guaranteed {
            self.guaranteed.insert(key);
        }
    }

    /// Removes a job, if it waits.
    pub(crate) fn remove(&mut self, customer: &CustomerId, key: QueueKey) {
        if let Some(keys) = self.by_customer.get_mut(customer) {
            keys.remove(&key);
            if keys.is_empty() {
                self.by_customer.remove(customer);
            }
        }
        self.guaranteed.remove(&key);
    }

    /// Returns the number of waiting jobs.
    pub(crate) fn len(&self) -> usize {
        self.by_customer.values().map(BTreeSet::len).sum()
    }

    /// Returns how many older jobs of the customer wait.
    pub(crate) fn ahead(&self, customer: &CustomerId, key: QueueKey) -> usize {
        self.by_customer
            .get(customer)
            .map_or(0, |keys| keys.range(..key).count())
    }

    /// Returns all waiting jobs in the order of arrival.
    pub(crate) fn by_arrival(&self) -> Vec<QueueKey> {
        let mut keys: Vec<QueueKey> = self.by_customer.values().flatten().copied().collect();
        keys.sort_unstable();
        keys
    }
}
