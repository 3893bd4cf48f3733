//! The classes of requests to the store, in order of priority, and their counters.

use std::cell::RefCell;

/// Purpose of a request to the store, which determines its priority; an earlier class has priority over a later one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RequestClass {
    /// Ownership leases.
    Ownership,
    /// Acceptance of jobs and claims of non-repeatable requests.
    Acceptance,
    /// Progress and results of jobs.
    Progress,
    /// Details of the audit trail.
    Audit,
}

impl RequestClass {
    /// All classes, in order of priority.
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

/// Counters of the requests of one class.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestClassCounters {
    /// Transactions and object writes sent, including retries; a batch counts as one transaction.
    pub writes: u64,
    /// Reads, scans and object reads sent, including retries.
    pub reads: u64,
    /// Requests that the store did not answer.
    pub failures: u64,
    /// Committed transactions of callers, each counted separately when several are sent in one batch.
    pub committed: u64,
}

/// Counters of all request classes of one client.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    classes: [RequestClassCounters; 4],
}

impl Counters {
    /// Returns the counters of one class.
    #[must_use]
    pub fn of(&self, class: RequestClass) -> RequestClassCounters {
        self.classes[class.index()]
    }

    /// Returns the sum over all classes.
    #[must_use]
    pub fn total(&self) -> RequestClassCounters {
        let mut total = RequestClassCounters::default();
        for counters in &self.classes {
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
    pub(crate) fn update(
        &self,
        class: RequestClass,
        change: impl FnOnce(&mut RequestClassCounters),
    ) {
        change(&mut self.0.borrow_mut().classes[class.index()]);
    }

    pub(crate) fn snapshot(&self) -> Counters {
        *self.0.borrow()
    }
}
