//! Number of tasks that fit on the empty workers of a service, computed once for each size of task.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::worker::Worker;
use nutmegwalk_base::ServiceId;
use nutmegwalk_base::WorkerId;
use nutmegwalk_workload::Resources;

/// Maximum number of cached counts.
const MAX_COUNTS: usize = 4_096;

/// Cache of task counts. It has to be cleared when a worker joins or leaves or its capacity changes.
#[derive(Debug, Default)]
pub(crate) struct TaskCapacity {
    counts: RefCell<HashMap<(ServiceId, Resources), u64>>,
}

impl TaskCapacity {
    /// Returns how many tasks of size `demand` fit on all workers of a service when these are empty.
    pub(crate) fn count(
        &self,
        workers: &BTreeMap<WorkerId, Worker>,
        service: &str,
        demand: Resources,
    ) -> u64 {
        let key = (ServiceId::from(service), demand);
        if let Some(count) = self.counts.borrow().get(&key) {
            return *count;
        }
        let count = workers
            .values()
            .map(|worker| &worker.announcement)
            .filter(|announcement| &*announcement.service == service)
            .map(|announcement| demand.count_fitting_in(announcement.capacity))
            .fold(0, u64::saturating_add);
        let mut counts = self.counts.borrow_mut();
        if counts.len() >= MAX_COUNTS {
            counts.clear();
        }
        counts.insert(key, count);
        count
    }

    /// Forgets all counts.
    pub(crate) fn clear(&self) {
        self.counts.borrow_mut().clear();
    }
}
