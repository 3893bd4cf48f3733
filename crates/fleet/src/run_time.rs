//! Run time estimates from completed jobs, by customer and service.

use std::collections::HashMap;
use std::time::Duration;

use nutmegwalk_base::CustomerId;
use nutmegwalk_base::ServiceId;

/// Number of run times kept for each customer and service.
const WINDOW: usize = 32;
/// Estimate before any job has completed; most jobs run for hours.
const DEFAULT_ESTIMATE: Duration = Duration::from_secs(3600);

/// Ring buffer of the last run times, with the estimate computed from them.
#[derive(Clone, Debug, Default)]
struct Samples {
    recent: Vec<Duration>,
    /// Position of the oldest run time once the buffer is full.
    next: usize,
    estimate: Duration,
}

impl Samples {
    fn add(&mut self, run_time: Duration) {
        if self.recent.len() < WINDOW {
            self.recent.push(run_time);
        } else {
            self.recent[self.next] = run_time;
            self.next = (self.next + 1) % WINDOW;
        }
        let mut sorted = self.recent.clone();
        sorted.sort_unstable();
        // The upper quartile, because a backfilled job that exceeds its estimate costs more than one that waits.
        // The median and the 95th percentile gave no better results.
        self.estimate = sorted[(sorted.len() * 3 / 4).min(sorted.len() - 1)];
    }
}

/// Run time estimates by customer and service, and over all jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    by_customer_and_service: HashMap<(CustomerId, ServiceId), Samples>,
    all: Samples,
}

impl RunTimes {
    /// Records the total run time of a completed job.
    pub(crate) fn observe(&mut self, customer: &CustomerId, service: &ServiceId, time: Duration) {
        let key = (customer.clone(), service.clone());
        self.by_customer_and_service
            .entry(key)
            .or_default()
            .add(time);
        self.all.add(time);
    }

    /// Returns the expected total run time; for an unknown customer and service, the estimate over all jobs.
    pub(crate) fn estimate(&self, customer: &CustomerId, service: &ServiceId) -> Duration {
        match self
            .by_customer_and_service
            .get(&(customer.clone(), service.clone()))
        {
            Some(samples) => samples.estimate,
            None if !self.all.recent.is_empty() => self.all.estimate,
            None => DEFAULT_ESTIMATE,
        }
    }

    /// Returns the expected remaining run time of a job that has run for `done`.
    pub(crate) fn remaining(
        &self,
        customer: &CustomerId,
        service: &ServiceId,
        done: Duration,
    ) -> Duration {
        let estimate = self.estimate(customer, service);
        if done < estimate {
            estimate - done
        } else {
            // A job that exceeds its estimate is expected to run for another half of its run time so far, but at least
            // for one second.
            (done / 2).max(Duration::from_secs(1))
        }
    }
}
