//! The lease protocol without I/O: determines what to read or write next, and whether the lease is held.

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

/// Durations of the lease protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTiming {
    /// Duration for which a renewal is valid, counted by the holder from before the renewal was sent.
    pub lease: Duration,
    /// Time that a contender waits beyond the lease before it takes over.
    pub margin: Duration,
    /// Interval between renewals.
    pub renew_interval: Duration,
    /// Interval at which a contender reads the lease row.
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

/// Proof that the lease was held at the instant at which it was queried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Fencing epoch to include in commands.
    pub epoch: Epoch,
    epoch_row_version: RowVersion,
}

/// The next action of a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Wait for this duration.
    Sleep(Duration),
    /// Read the rows named by [`LeaseState::keys`] and pass them to [`LeaseState::observe`].
    Read,
    /// Run the transaction and pass its outcome to [`LeaseState::finish_write`].
    Write(Transaction),
    /// Stop: the lease has been released, or it has lapsed and needs no release.
    Stop,
}

#[derive(Clone, Debug)]
struct Observation {
    row: Option<OwnerRow>,
    version: RowVersion,
    /// When this content was first read or written.
    first_seen_at: Instant,
    /// When this content was last read or written.
    last_seen_at: Instant,
    /// The store's clock when this content was last read or written, in milliseconds.
    store_now_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Term {
    epoch: Epoch,
    epoch_row_version: RowVersion,
    renewed_at: Instant,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WriteKind {
    TakeOver,
    Renew,
    Release,
}

/// A write whose outcome is not yet known.
#[derive(Clone, Debug)]
struct PendingWrite {
    kind: WriteKind,
    row: OwnerRow,
    sent_at: Instant,
}

/// State of the lease protocol for one process and one lease.
#[derive(Clone, Debug)]
pub struct LeaseState {
    duty: Box<str>,
    holder: ProcessId,
    address: Box<str>,
    incarnation: Incarnation,
    timing: LeaseTiming,
    observation: Option<Observation>,
    term: Option<Term>,
    pending: Option<PendingWrite>,
    last_renewal: u64,
    is_releasing: bool,
    store_clock: Option<StoreClock>,
}

impl LeaseState {
    /// Creates the state of a process that has not read the lease row yet.
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
            observation: None,
            term: None,
            pending: None,
            last_renewal: 0,
            is_releasing: false,
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
        if self.is_releasing {
            return None;
        }
        let term = self.term?;
        (now < term.renewed_at + self.timing.lease).then_some(HeldLease {
            epoch: term.epoch,
            epoch_row_version: term.epoch_row_version,
        })
    }

    /// Returns a transaction with the condition that the epoch is still that of `held`.
    #[must_use]
    pub fn fence(&self, held: &HeldLease) -> Transaction {
        Transaction::new().with_version(epoch_key(&self.duty), held.epoch_row_version)
    }

    /// Returns the lease row as last read or written.
    #[must_use]
    pub fn lease_row(&self) -> Option<&OwnerRow> {
        self.observation.as_ref()?.row.as_ref()
    }

    /// Releases the lease permanently; the actions that follow write the release to the lease row.
    pub fn release(&mut self) {
        self.is_releasing = true;
    }

    /// Determines what to do at `now`. A write must be sent after `now`, because its lease is counted from `now`.
    pub fn next_action(&mut self, now: Instant) -> Action {
        if self.is_releasing && self.has_lapsed(now) {
            return Action::Stop;
        }
        if self.pending.is_some() {
            return Action::Read;
        }
        let Some(observation) = self.observation.clone() else {
            return Action::Read;
        };
        if let Some(term) = self.term {
            if self.is_releasing {
                return self.prepare_write(WriteKind::Release, &observation, now);
            }
            let due = term.renewed_at + self.timing.renew_interval;
            if now < due {
                return Action::Sleep(due - now);
            }
            return self.prepare_write(WriteKind::Renew, &observation, now);
        }
        if now.saturating_duration_since(observation.last_seen_at) > self.max_observation_gap() {
            return Action::Read;
        }
        let takeover_at = self.takeover_at(&observation);
        let read_at = observation.last_seen_at + self.timing.poll_interval;
        if now >= takeover_at {
            self.prepare_write(WriteKind::TakeOver, &observation, now)
        } else if now >= read_at {
            Action::Read
        } else {
            Action::Sleep(takeover_at.min(read_at) - now)
        }
    }

    /// Records the store's clock as reported in the latest response.
    ///
    /// With the clock, a contender need not observe the row for the full duration of the lease, because the row
    /// contains the clock reading of its renewal.
    pub fn observe_clock(&mut self, clock: Option<StoreClock>) {
        self.store_clock = clock;
    }

    /// Applies the rows that a read returned; `now` is an instant after the response arrived.
    ///
    /// Contenders count a lease from the instant at which they observed a renewal, which is later than the instant
    /// at which the holder sent it.
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
            self.record_commit(pending, version, epoch_row_version, now);
            return;
        }
        if let Some(term) = self.term {
            let is_own_row = row.as_ref().is_some_and(|row| {
                row.incarnation == self.incarnation && row.epoch == term.epoch && !row.is_released()
            });
            if !is_own_row {
                self.end_term(now);
            }
        }
        let max_observation_gap = self.max_observation_gap();
        let store_now_ms = self.store_clock.map(|clock| clock.now_ms);
        match &mut self.observation {
            Some(observation)
                if observation.row == row
                    && observation.version == version
                    && now.saturating_duration_since(observation.last_seen_at)
                        <= max_observation_gap =>
            {
                observation.last_seen_at = now;
                observation.store_now_ms = store_now_ms;
            }
            observation => {
                *observation = Some(Observation {
                    row,
                    version,
                    first_seen_at: now,
                    last_seen_at: now,
                    store_now_ms,
                });
            }
        }
    }

    /// Records the outcome of the write that the last action requested.
    pub fn finish_write(&mut self, outcome: Result<TransactionOutcome>, now: Instant) {
        let Some(pending) = self.pending.take() else {
            debug_assert!(false, "no write is pending");
            return;
        };
        match outcome {
            Ok(TransactionOutcome::Committed { version }) => {
                self.record_commit(pending, version, Some(version), now);
            }
            // The row has changed: by another process, or by an earlier write of this one.
            Ok(TransactionOutcome::Rejected { .. }) => self.observation = None,
            Err(error) if error.outcome() == nutmegwalk_base::Outcome::NotRun => {}
            // The next read determines whether the write took effect.
            Err(_) => self.pending = Some(pending),
        }
    }

    /// Returns the instant from which the lease can be taken over, based on `observation`.
    fn takeover_at(&self, observation: &Observation) -> Instant {
        let row = match &observation.row {
            Some(row) if !row.is_released() => row,
            _ => return observation.last_seen_at,
        };
        if row.holder == self.holder && row.incarnation != self.incarnation {
            // The previous incarnation of this process on the same host has ended.
            return observation.last_seen_at;
        }
        let takeover_delay = self.timing.lease + self.timing.margin;
        let observed_expiry = observation.first_seen_at + takeover_delay;
        match (row.renewed_at_ms, observation.store_now_ms) {
            (Some(renewed_ms), Some(now_ms)) => {
                let age = Duration::from_millis(now_ms.saturating_sub(renewed_ms));
                observed_expiry.min(observation.last_seen_at + takeover_delay.saturating_sub(age))
            }
            _ => observed_expiry,
        }
    }

    /// Returns the longest time between two observations of the same row content that count as continuous.
    ///
    /// After a longer gap a contender starts to count the lease again, unless the store's clock shows the age of the
    /// renewal. This lets the holder renew first after an outage of the store.
    fn max_observation_gap(&self) -> Duration {
        self.timing.lease / 2
    }

    /// Returns whether every lease that this process holds or may have been granted by a pending write has lapsed,
    /// so that contenders need no release.
    fn has_lapsed(&self, now: Instant) -> bool {
        let renewed_at = self.term.map(|term| term.renewed_at);
        let sent_at = self.pending.as_ref().map(|pending| pending.sent_at);
        renewed_at
            .max(sent_at)
            .is_none_or(|from| now >= from + self.timing.lease)
    }

    fn end_term(&mut self, now: Instant) {
        if self.current(now).is_some() {
            warn!(target: event::LEASE_PROBLEM, "the lease row of {} was changed while the lease was held", self.duty);
        }
        self.term = None;
    }

    fn prepare_write(
        &mut self,
        kind: WriteKind,
        observation: &Observation,
        now: Instant,
    ) -> Action {
        let (observed_epoch, observed_renewal) = observation
            .row
            .as_ref()
            .map_or((0, 0), |row| (row.epoch, row.renewal));
        // Each attempt has its own renewal number. If a number were reused, an earlier attempt that takes effect
        // late would be mistaken for the later one, and the lease would be counted from too late an instant.
        self.last_renewal = self.last_renewal.max(observed_renewal) + 1;
        let row = OwnerRow {
            epoch: match kind {
                WriteKind::TakeOver => observed_epoch + 1,
                WriteKind::Renew | WriteKind::Release => observed_epoch,
            },
            holder: match kind {
                WriteKind::TakeOver | WriteKind::Renew => self.holder.clone(),
                WriteKind::Release => ProcessId::default(),
            },
            address: self.address.clone(),
            renewal: self.last_renewal,
            incarnation: self.incarnation,
            // A later instant than that of the renewal never lets a contender take over too early.
            renewed_at_ms: self.store_clock.map(|clock| clock.upper_bound_ms(now)),
        };
        let value = match serde_json::to_string(&row) {
            Ok(value) => value,
            Err(error) => {
                warn!(target: event::LEASE_PROBLEM, "cannot encode the lease row of {}: {error}", self.duty);
                return Action::Sleep(self.timing.poll_interval);
            }
        };
        let [owner, epoch] = self.keys();
        let mut transaction = match observation.row {
            Some(_) => Transaction::new().with_version(owner.clone(), observation.version),
            None => Transaction::new().with_absent(owner.clone()),
        };
        if kind != WriteKind::Renew {
            transaction = transaction.with_put(epoch, value.clone());
        }
        self.pending = Some(PendingWrite {
            kind,
            row,
            sent_at: now,
        });
        Action::Write(transaction.with_put(owner, value))
    }

    /// Records that a write took effect and gave the lease row `version`.
    fn record_commit(
        &mut self,
        pending: PendingWrite,
        version: RowVersion,
        epoch_row_version: Option<RowVersion>,
        now: Instant,
    ) {
        match (pending.kind, epoch_row_version) {
            (WriteKind::TakeOver, Some(epoch_row_version)) => {
                self.term = Some(Term {
                    epoch: pending.row.epoch,
                    epoch_row_version,
                    renewed_at: pending.sent_at,
                });
            }
            // The epoch row is missing although it is written in the same transaction as the lease row.
            (WriteKind::TakeOver, None) => self.term = None,
            (WriteKind::Renew, _) => {
                if let Some(term) = &mut self.term {
                    term.renewed_at = pending.sent_at;
                }
            }
            (WriteKind::Release, _) => self.term = None,
        }
        self.observation = Some(Observation {
            row: Some(pending.row),
            version,
            first_seen_at: now,
            last_seen_at: now,
            store_now_ms: self.store_clock.map(|clock| clock.now_ms),
        });
    }
}
