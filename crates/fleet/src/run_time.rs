//! Run times learned from finished jobs, by customer and service.

use std::collections::HashMap;
use std::time::Duration;

use nutmegwalk_base::CustomerId;
use nutmegwalk_base::ServiceId;

/// Observations kept for each customer and service.
const WINDOW: usize = 32;
/// Expected run time before anything was observed; most jobs run for hours.
const UNKNOWN: Duration = Duration::from_secs(3600);

#[derive(Clone, Debug, Default)]
struct Samples {
    recent: Vec<Duration>,
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
        // The upper quartile: a backfilled job that overruns costs more than one that waits. The median
        // and the 95th percentile were measured to be no better.
        self.estimate = sorted[(sorted.len() * 3 / 4).min(sorted.len() - 1)];
    }
}

/// Learned run times.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    by_source: HashMap<(CustomerId, ServiceId), Samples>,
    all: Samples,
}

impl RunTimes {
    /// Records the whole run time of a finished job.
    pub(crate) fn observe(&mut self, customer: &CustomerId, service: &ServiceId, time: Duration) {
        let source = (customer.clone(), service.clone());
        self.by_source.entry(source).or_default().add(time);
        self.all.add(time);
    }

    /// Returns the expected whole run time.
    pub(crate) fn estimate(&self, customer: &CustomerId, service: &ServiceId) -> Duration {
        match self.by_source.get(&(customer.clone(), service.clone())) {
            Some(samples) => samples.estimate,
            None if !self.all.recent.is_empty() => self.all.estimate,
            None => UNKNOWN,
        }
    }

    /// Returns the expected time to the end of a job that has done `done` of its work.
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
            // A job over its estimate is expected to need half as long again as it has run.
            (done / 2).max(Duration::from_secs(1))
        }
    }
}
