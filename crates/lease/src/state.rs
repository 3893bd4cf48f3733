//! The lease protocol without I/O: decides what to read or write next, and whether the lease is held.

use std::time::Duration;
use std::time::Instant;

use log::warn;

use crate::OwnerRow;
use crate::epoch_key;
use crate::owner_key;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::ProcessId;
use nutmegwalk_base::Result;
use nutmegwalk_base::event;
use nutmegwalk_store::RowVersion;
use nutmegwalk_store::StoreClock;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;

/// Lengths of time of the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTiming {
    /// Time for which a renewal is good, counted by the holder from before it was sent.
    pub lease: Duration,
    /// Time that a contender waits beyond the lease.
    pub margin: Duration,
    /// Interval between renewals.
    pub renew_interval: Duration,
    /// Interval at which a contender reads the row.
    pub poll_interval: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(4),
            margin: Duration::from_millis(500),
            renew_interval: Duration::from_secs(1),
            poll_interval: Duration::from_millis(500),
        }
    }
}

/// Proof that the lease was held at the instant at which it was asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Fencing epoch that commands carry.
    pub epoch: Epoch,
    epoch_row_version: RowVersion,
}

/// What a process does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Wait this long.
    Sleep(Duration),
    /// Read the rows named by [`LeaseState::keys`] and pass them to [`LeaseState::observe`].
    Read,
    /// Run the transaction and pass its outcome to [`LeaseState::finish_write`].
    Write(Transaction),
    /// Nothing is left to do after a release.
    Stop,
}

#[derive(Clone, Debug)]
struct Seen {
    row: Option<OwnerRow>,
    version: RowVersion,
    /// When this content was first seen.
    since: Instant,
    /// When this content was last seen.
    until: Instant,
    /// The store's clock when this content was last seen, in milliseconds.
    store_now_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Term {
    epoch: Epoch,
    epoch_row_version: RowVersion,
    renewed_at: Instant,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Change {
    TakeOver,
    Renew,
    Release,
}

/// A write whose outcome is not known yet.
#[derive(Clone, Debug)]
struct Pending {
    change: Change,
    row: OwnerRow,
    sent_at: Instant,
}

/// State of one process with respect to one lease.
#[derive(Clone, Debug)]
pub struct LeaseState {
    duty: Box<str>,
    holder: ProcessId,
    address: Box<str>,
    incarnation: Incarnation,
    timing: LeaseTiming,
    seen: Option<Seen>,
    term: Option<Term>,
    pending: Option<Pending>,
    last_renewal: u64,
    releasing: bool,
    store_clock: Option<StoreClock>,
}

impl LeaseState {
    /// Creates the state of a process that has seen nothing yet.
    #[must_use]
    pub fn new(
        duty: impl Into<Box<str>>,
        holder: impl Into<ProcessId>,
        address: impl Into<Box<str>>,
        incarnation: Incarnation,
        timing: LeaseTiming,
    ) -> Self {
        Self {
            duty: duty.into(),
            holder: holder.into(),
            address: address.into(),
            incarnation,
            timing,
            seen: None,
            term: None,
            pending: None,
            last_renewal: 0,
            releasing: false,
            store_clock: None,
        }
    }

    /// Returns the keys of the lease row and of the epoch row.
    #[must_use]
    pub fn keys(&self) -> [Box<str>; 2] {
        [owner_key(&self.duty), epoch_key(&self.duty)]
    }

    /// Returns the lease if it is held at `now`.
    #[must_use]
    pub fn current(&self, now: Instant) -> Option<HeldLease> {
        if self.releasing {
            return None;
        }
        let term = self.term?;
        (now < term.renewed_at + self.timing.lease).then_some(HeldLease {
            epoch: term.epoch,
            epoch_row_version: term.epoch_row_version,
        })
    }

    /// Returns the condition that the epoch is still that of `held`.
    #[must_use]
    pub fn fence(&self, held: &HeldLease) -> Transaction {
        Transaction::new().with_version(epoch_key(&self.duty), held.epoch_row_version)
    }

    /// Returns the row that was seen last.
    #[must_use]
    pub fn owner(&self) -> Option<&OwnerRow> {
        self.seen.as_ref()?.row.as_ref()
    }

    /// Gives the lease up for good; the steps that follow write this to the row.
    pub fn release(&mut self) {
        self.releasing = true;
    }

    /// Decides what to do at `now`. A write must be sent after `now`, since its lease counts from there.
    pub fn step(&mut self, now: Instant) -> Step {
        if self.releasing && self.has_lapsed(now) {
            return Step::Stop;
        }
        if self.pending.is_some() {
            return Step::Read;
        }
        let Some(seen) = self.seen.clone() else {
            return Step::Read;
        };
        if let Some(term) = self.term {
            if self.releasing {
                return self.write(Change::Release, &seen, now);
            }
            let due = term.renewed_at + self.timing.renew_interval;
            if now < due {
                return Step::Sleep(due - now);
            }
            return self.write(Change::Renew, &seen, now);
        }
        if now.saturating_duration_since(seen.until) > self.longest_gap() {
            return Step::Read;
        }
        let free_at = self.free_at(&seen);
        let read_at = seen.until + self.timing.poll_interval;
        if now >= free_at {
            self.write(Change::TakeOver, &seen, now)
        } else if now >= read_at {
            Step::Read
        } else {
            Step::Sleep(free_at.min(read_at) - now)
        }
    }

    /// Takes in the store's clock as the last answer showed it.
    ///
    /// With it a contender need not watch the row for the length of the lease: the row says when it was
    /// renewed.
    pub fn observe_clock(&mut self, clock: Option<StoreClock>) {
        self.store_clock = clock;
    }

    /// Takes in the rows that a read returned; `now` is an instant after the answer arrived.
    ///
    /// A lease is counted by its contenders from when they saw a renewal, which is later than when its
    /// holder sent it.
    pub fn observe(
        &mut self,
        row: Option<(OwnerRow, RowVersion)>,
        epoch_row_version: Option<RowVersion>,
        now: Instant,
    ) {
        let (row, version) = match row {
            Some((row, version)) => (Some(row), version),
            None => (None, 0),
        };
        if let Some(pending) = self.pending.take()
            && row.as_ref() == Some(&pending.row)
        {
            self.committed(pending, version, epoch_row_version, now);
            return;
        }
        if let Some(term) = self.term {
            let is_own = row.as_ref().is_some_and(|row| {
                row.incarnation == self.incarnation && row.epoch == term.epoch && !row.is_released()
            });
            if !is_own {
                self.end_term(now);
            }
        }
        let longest_gap = self.longest_gap();
        let store_now_ms = self.store_clock.map(|clock| clock.now_ms);
        match &mut self.seen {
            Some(seen)
                if seen.row == row
                    && seen.version == version
                    && now.saturating_duration_since(seen.until) <= longest_gap =>
            {
                seen.until = now;
                seen.store_now_ms = store_now_ms;
            }
            seen => {
                *seen = Some(Seen {
                    row,
                    version,
                    since: now,
                    until: now,
                    store_now_ms,
                });
            }
        }
    }

    /// Takes in the outcome of the write that the last step asked for.
    pub fn finish_write(&mut self, outcome: Result<TransactionOutcome>, now: Instant) {
        let Some(pending) = self.pending.take() else {
            debug_assert!(false, "no write is pending");
            return;
        };
        match outcome {
            Ok(TransactionOutcome::Committed { version }) => {
                self.committed(pending, version, Some(version), now);
            }
            // The row has changed: by another process, or by an earlier write of this one.
            Ok(TransactionOutcome::Rejected { .. }) => self.seen = None,
            Err(error) if error.outcome() == nutmegwalk_base::Outcome::NotRun => {}
            // A read shows whether the write took effect.
            Err(_) => self.pending = Some(pending),
        }
    }

    /// Returns when the lease can be taken over, as far as `seen` tells.
    fn free_at(&self, seen: &Seen) -> Instant {
        let row = match &seen.row {
            Some(row) if !row.is_released() => row,
            _ => return seen.until,
        };
        if row.holder == self.holder && row.incarnation != self.incarnation {
            // The predecessor of this process on the same host is dead.
            return seen.until;
        }
        let length = self.timing.lease + self.timing.margin;
        let watched = seen.since + length;
        match (row.renewed_at_ms, seen.store_now_ms) {
            (Some(renewed_ms), Some(now_ms)) => {
                let age = Duration::from_millis(now_ms.saturating_sub(renewed_ms));
                watched.min(seen.until + length.saturating_sub(age))
            }
            _ => watched,
        }
    }

    /// Sightings of the row further apart than this do not count as one. It lets a holder renew first
    /// after an outage of the store.
    fn longest_gap(&self) -> Duration {
        self.timing.lease / 2
    }

    /// Returns whether no write of this process can still give it the lease, so that contenders need no
    /// release.
    fn has_lapsed(&self, now: Instant) -> bool {
        let renewed_at = self.term.map(|term| term.renewed_at);
        let sent_at = self.pending.as_ref().map(|pending| pending.sent_at);
        renewed_at
            .max(sent_at)
            .is_none_or(|from| now >= from + self.timing.lease)
    }

    fn end_term(&mut self, now: Instant) {
        if self.current(now).is_some() {
            warn!(target: event::LEASE_PROBLEM, "the row of {} was changed during a lease", self.duty);
        }
        self.term = None;
    }

    fn write(&mut self, change: Change, seen: &Seen, now: Instant) -> Step {
        let (seen_epoch, seen_renewal) = seen
            .row
            .as_ref()
            .map_or((0, 0), |row| (row.epoch, row.renewal));
        // Each attempt has its own number. With a reused number, a late effect of an earlier attempt
        // would be taken for the later one and the lease would be counted from too late an instant.
        self.last_renewal = self.last_renewal.max(seen_renewal) + 1;
        let row = OwnerRow {
            epoch: match change {
                Change::TakeOver => seen_epoch + 1,
                Change::Renew | Change::Release => seen_epoch,
            },
            holder: match change {
                Change::TakeOver | Change::Renew => self.holder.clone(),
                Change::Release => ProcessId::default(),
            },
            address: self.address.clone(),
            renewal: self.last_renewal,
            incarnation: self.incarnation,
            renewed_at_ms: self.store_clock.map(|clock| clock.at_least_ms(now)),
        };
        let value = match serde_json::to_string(&row) {
            Ok(value) => value,
            Err(error) => {
                warn!(target: event::LEASE_PROBLEM, "cannot encode the row of {}: {error}", self.duty);
                return Step::Sleep(self.timing.poll_interval);
            }
        };
        let [owner, epoch] = self.keys();
        let mut transaction = match seen.row {
            Some(_) => Transaction::new().with_version(owner.clone(), seen.version),
            None => Transaction::new().with_absent(owner.clone()),
        };
        if change != Change::Renew {
            transaction = transaction.with_put(epoch, value.clone());
        }
        self.pending = Some(Pending {
            change,
            row,
            sent_at: now,
        });
        Step::Write(transaction.with_put(owner, value))
    }

    /// Notes that a write took effect and gave the lease row `version`.
    fn committed(
        &mut self,
        pending: Pending,
        version: RowVersion,
        epoch_row_version: Option<RowVersion>,
        now: Instant,
    ) {
        match (pending.change, epoch_row_version) {
            (Change::TakeOver, Some(epoch_row_version)) => {
                self.term = Some(Term {
                    epoch: pending.row.epoch,
                    epoch_row_version,
                    renewed_at: pending.sent_at,
                });
            }
            // The epoch row is missing although it is written with the lease row.
            (Change::TakeOver, None) => self.term = None,
            (Change::Renew, _) => {
                if let Some(term) = &mut self.term {
                    term.renewed_at = pending.sent_at;
                }
            }
            (Change::Release, _) => self.term = None,
        }
        self.seen = Some(Seen {
            row: Some(pending.row),
            version,
            since: now,
            until: now,
            store_now_ms: self.store_clock.map(|clock| clock.now_ms),
        });
    }
}
