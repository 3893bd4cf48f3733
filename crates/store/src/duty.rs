//! The duties for which a process uses the store, in order of priority, and their counters.

use std::cell::RefCell;

/// Purpose of a request to the store; an earlier duty has priority over a later one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Duty {
    /// Ownership leases.
    Ownership,
    /// Acceptance of jobs and claims of non-repeatable requests.
    Acceptance,
    /// Progress and results of jobs.
    Progress,
    /// Details of the audit trail.
    Audit,
}

impl Duty {
    /// All duties, in order of priority.
    pub const ALL: [Self; 4] = [
        Self::Ownership,
        Self::Acceptance,
        Self::Progress,
        Self::Audit,
    ];

    /// Returns the name used in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Ownership => "ownership",
            Self::Acceptance => "acceptance",
            Self::Progress => "progress",
            Self::Audit => "audit",
        }
    }

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

/// Counters of the requests of one duty to the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DutyCounters {
    /// Transactions and object writes sent, including retries; a batch counts as one transaction.
    pub writes: u64,
    /// Reads, scans and object reads sent, including retries.
    pub reads: u64,
    /// Requests that the store did not answer.
    pub failures: u64,
    /// Committed transactions of callers, each counted separately when several are sent in one batch.
    pub committed: u64,
}

/// Counters of all duties of one client.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    duties: [DutyCounters; 4],
}

impl Counters {
    /// Returns the counters of one duty.
    #[must_use]
    pub fn of(&self, duty: Duty) -> DutyCounters {
        self.duties[duty.index()]
    }

    /// Returns the sum over all duties.
    #[must_use]
    pub fn total(&self) -> DutyCounters {
        let mut total = DutyCounters::default();
        for counters in &self.duties {
            total.writes += counters.writes;
            total.reads += counters.reads;
            total.failures += counters.failures;
            total.committed += counters.committed;
        }
        total
    }
}

/// Shared counters that are updated in place.
#[derive(Debug, Default)]
pub(crate) struct SharedCounters(RefCell<Counters>);

impl SharedCounters {
    pub(crate) fn update(&self, duty: Duty, change: impl FnOnce(&mut DutyCounters)) {
        change(&mut self.0.borrow_mut().duties[duty.index()]);
    }

    pub(crate) fn snapshot(&self) -> Counters {
        *self.0.borrow()
    }
}
