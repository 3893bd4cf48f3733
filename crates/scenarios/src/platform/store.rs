//! Table and object store of the simulated platform, with faults, rate limits and counters.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::platform::rate::RateLimit;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_store::MemoryStore;

/// Faults of table and object store; without any of them every request is answered immediately.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// Every request is refused.
    pub down: bool,
    /// No request is answered or takes effect.
    pub unresponsive: bool,
    /// Names of the processes whose requests are refused.
    pub down_for: HashSet<Box<str>>,
    /// Time that passes before a request takes effect.
    pub latency: Duration,
    /// Share of writes that take effect without an answer, from 0 to 1.
    pub lost_answers: f64,
    /// Writes accepted per second; more are refused with `rate_limited`.
    pub writes_per_second: Option<u32>,
    /// Reads accepted per second; more are refused with `rate_limited`.
    pub reads_per_second: Option<u32>,
}

/// Request counters of one client process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProcessCounters {
    /// Accepted transactions and object writes.
    pub writes: u64,
    /// Accepted reads.
    pub reads: u64,
}

/// Request counters of table and object store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreCounters {
    /// Accepted transactions and object writes.
    pub writes: u64,
    /// Accepted reads.
    pub reads: u64,
    /// Requests refused because the store was down.
    pub refused: u64,
    /// Requests refused by the rate limit.
    pub rate_limited: u64,
    /// Writes that took effect and whose answer was lost.
    pub lost_answers: u64,
    /// Accepted requests by client process.
    pub processes: BTreeMap<Box<str>, ProcessCounters>,
}

/// Kind of a request, each with its own rate limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Access {
    Read,
    Write,
}

pub(crate) struct StoreState {
    pub(crate) memory: MemoryStore,
    pub(crate) faults: StoreFaults,
    pub(crate) counters: StoreCounters,
    writes: RateLimit,
    reads: RateLimit,
    random: StdRng,
}

impl StoreState {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            memory: MemoryStore::new(),
            faults: StoreFaults::default(),
            counters: StoreCounters::default(),
            writes: RateLimit::default(),
            reads: RateLimit::default(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Checks that the store is available to a process, and counts the request as refused if not.
    ///
    /// # Errors
    /// `store_unavailable` when the store is down for the process.
    pub(crate) fn check_available(&mut self, process: &str) -> Result<()> {
        if self.faults.down || self.faults.down_for.contains(process) {
            self.counters.refused += 1;
            let detail = format!("the store is down for {process}");
            return Err(Error::new(ErrorKind::StoreUnavailable, detail));
        }
        Ok(())
    }

    /// Admits and counts a request.
    ///
    /// # Errors
    /// `rate_limited` when the request exceeds the rate limit.
    pub(crate) fn admit(&mut self, access: Access, process: &str, now: Instant) -> Result<()> {
        let (limit, per_second) = match access {
            Access::Read => (&mut self.reads, self.faults.reads_per_second),
            Access::Write => (&mut self.writes, self.faults.writes_per_second),
        };
        if !limit.admit(per_second, now) {
            self.counters.rate_limited += 1;
            let detail = "the store is over its rate limit";
            return Err(Error::new(ErrorKind::RateLimited, detail).with_retry_after_ms(100));
        }
        let process_counters = self.counters.processes.entry(process.into()).or_default();
        match access {
            Access::Read => {
                self.counters.reads += 1;
                process_counters.reads += 1;
            }
            Access::Write => {
                self.counters.writes += 1;
                process_counters.writes += 1;
            }
        }
        Ok(())
    }

    /// Returns whether the answer to a write is lost, at random with the probability set in the faults.
    pub(crate) fn loses_answer(&mut self) -> bool {
        let probability = self.faults.lost_answers.clamp(0.0, 1.0);
        let lost = probability > 0.0 && self.random.random_bool(probability);
        if lost {
            self.counters.lost_answers += 1;
        }
        lost
    }
}
