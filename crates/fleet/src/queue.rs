//! Queue of the jobs of one data centre.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use nutmegwalk_base::CustomerId;

/// Arrival time in milliseconds and sequence number of a job. Older jobs order first.
pub(crate) type QueueKey = (i64, u64);

/// Queued jobs by customer, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    pub(crate) by_customer: BTreeMap<CustomerId, BTreeSet<QueueKey>>,
    /// Queued jobs that name a guarantee, of all customers.
    pub(crate) guaranteed: BTreeSet<QueueKey>,
}

impl Queue {
    /// Adds a job; `guaranteed` states whether it names a guarantee.
    pub(crate) fn insert(&mut self, customer: &CustomerId, key: QueueKey, guaranteed: bool) {
        self.by_customer
            .entry(customer.clone())
            .or_default()
            .insert(key);
        if guaranteed {
            self.guaranteed.insert(key);
        }
    }

    /// Removes a job, if it is queued.
    pub(crate) fn remove(&mut self, customer: &CustomerId, key: QueueKey) {
        if let Some(keys) = self.by_customer.get_mut(customer) {
            keys.remove(&key);
            if keys.is_empty() {
                self.by_customer.remove(customer);
            }
        }
        self.guaranteed.remove(&key);
    }

    /// Returns the number of queued jobs.
    pub(crate) fn len(&self) -> usize {
        self.by_customer.values().map(BTreeSet::len).sum()
    }

    /// Returns the number of queued jobs of the customer that are older.
    pub(crate) fn ahead(&self, customer: &CustomerId, key: QueueKey) -> usize {
        self.by_customer
            .get(customer)
            .map_or(0, |keys| keys.range(..key).count())
    }

    /// Returns all queued jobs in the order of arrival.
    pub(crate) fn by_arrival(&self) -> Vec<QueueKey> {
        let mut keys: Vec<QueueKey> = self.by_customer.values().flatten().copied().collect();
        keys.sort_unstable();
        keys
    }
}
