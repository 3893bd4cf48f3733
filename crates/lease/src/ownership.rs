//! Runs the lease protocol against the table.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use rand::Rng;

use crate::HeldLease;
use crate::LeaseState;
use crate::LeaseTiming;
use crate::OwnerRow;
use crate::Step;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_base::new_incarnation;
use nutmegwalk_store::Duty;
use nutmegwalk_store::Row;
use nutmegwalk_store::RowVersion;
use nutmegwalk_store::StoreClient;
use nutmegwalk_store::Transaction;

/// Interval at which a release looks whether it is done.
const RELEASE_POLL: Duration = Duration::from_millis(5);

/// Contends for one duty; clones share the lease.
#[derive(Clone)]
pub struct Ownership {
    inner: Rc<Inner>,
}

struct Inner {
    store: StoreClient,
    duty: Box<str>,
    state: RefCell<LeaseState>,
    timing: LeaseTiming,
    is_running: Cell<bool>,
    reported: Cell<Option<Epoch>>,
}

impl Ownership {
    /// Creates a contender for `duty`: process `holder`, which takes messages at `address`.
    #[must_use]
    pub fn new(
        store: StoreClient,
        duty: impl Into<Box<str>>,
        holder: impl Into<Box<str>>,
        address: impl Into<Box<str>>,
    ) -> Self {
        Self::with_timing(store, duty, holder, address, LeaseTiming::default())
    }

    /// Creates a contender with its own timing, which must be the same for all contenders.
    #[must_use]
    pub fn with_timing(
        store: StoreClient,
        duty: impl Into<Box<str>>,
        holder: impl Into<Box<str>>,
        address: impl Into<Box<str>>,
        timing: LeaseTiming,
    ) -> Self {
        let duty = duty.into();
        let state = LeaseState::new(duty.clone(), holder, address, new_incarnation(), timing);
        Self {
            inner: Rc::new(Inner {
                store,
                duty,
                state: RefCell::new(state),
                timing,
                is_running: Cell::new(false),
                reported: Cell::new(None),
            }),
        }
    }

    /// Contends for the lease and renews it until [`Ownership::release`] is called.
    ///
    /// A second call returns at once while the first is running.
    pub async fn run(&self) {
        let inner = &self.inner;
        if inner.is_running.replace(true) {
            return;
        }
        let running = Running(&inner.is_running);
        loop {
            let step = {
                let mut state = inner.state.borrow_mut();
                state.observe_clock(inner.store.clock());
                state.step(clock::now())
            };
            match step {
                Step::Sleep(time) => {
                    // A release is noticed within one interval.
                    let time = time.min(self.inner.timing.poll_interval / 4);
                    compio::time::sleep(time).await;
                }
                Step::Read => inner.read().await,
                Step::Write(transaction) => inner.write(&transaction).await,
                Step::Stop => break,
            }
            inner.report_change();
        }
        drop(running);
    }

    /// Returns the lease if it is held now; ask again immediately before each command.
    #[must_use]
    pub fn current(&self) -> Option<HeldLease> {
        self.inner.state.borrow().current(clock::now())
    }

    /// Returns a transaction with the condition that the epoch is still that of `held`; the caller adds
    /// its own conditions and writes.
    #[must_use]
    pub fn fence(&self, held: &HeldLease) -> Transaction {
        self.inner.state.borrow().fence(held)
    }

    /// Returns the lease row as it was seen last, held by this process or another one.
    #[must_use]
    pub fn owner(&self) -> Option<OwnerRow> {
        self.inner.state.borrow().owner().cloned()
    }

    /// Gives the lease up for a planned stop, so that a contender need not wait until it lapses.
    ///
    /// [`Ownership::current`] returns nothing from the call on, and [`Ownership::run`] returns. A new
    /// [`Ownership`] is needed to contend again.
    ///
    /// # Errors
    /// `store_unavailable` when the release could not be written; the lease then lapses by itself.
    pub async fn release(&self) -> Result<()> {
        self.inner.state.borrow_mut().release();
        let until = clock::now() + self.inner.timing.lease;
        while self.inner.is_running.get() {
            if clock::now() >= until {
                let detail = format!("the lease of {} could not be released", self.inner.duty);
                return Err(Error::new(ErrorKind::StoreUnavailable, detail));
            }
            compio::time::sleep(RELEASE_POLL).await;
        }
        Ok(())
    }
}

/// Notes the end of a run, also when its task is dropped.
struct Running<'a>(&'a Cell<bool>);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

impl Inner {
    /// Time for one request, so that a lease sees several attempts.
    fn deadline(&self) -> Duration {
        self.timing.lease / 2
    }

    async fn read(&self) {
        let keys = self.state.borrow().keys();
        let result = self
            .store
            .get(Duty::Ownership, &keys, self.deadline())
            .await;
        // The instant after the answer, from which a contender counts.
        let now = clock::now();
        match result.and_then(|rows| parse(&rows)) {
            Ok((row, epoch_row_version)) => {
                let mut state = self.state.borrow_mut();
                state.observe_clock(self.store.clock());
                state.observe(row, epoch_row_version, now);
            }
            Err(error) => {
                warn!(target: event::LEASE_PROBLEM, "cannot read the lease of {}: {error}", self.duty);
                self.pause().await;
            }
        }
    }

    async fn write(&self, transaction: &Transaction) {
        let outcome = self
            .store
            .transact(Duty::Ownership, transaction, self.deadline())
            .await;
        let failure = outcome.as_ref().err().cloned();
        self.state.borrow_mut().finish_write(outcome, clock::now());
        if let Some(error) = failure {
            warn!(target: event::LEASE_PROBLEM, "cannot write the lease of {}: {error}", self.duty);
            self.pause().await;
        }
    }

    /// Waits after a failure; contenders that failed together do not return together.
    async fn pause(&self) {
        let share = rand::rng().random_range(0.2..=0.5);
        compio::time::sleep(self.timing.poll_interval.mul_f64(share)).await;
    }

    fn report_change(&self) {
        let epoch = self
            .state
            .borrow()
            .current(clock::now())
            .map(|held| held.epoch);
        if self.reported.replace(epoch) != epoch {
            match epoch {
                Some(epoch) => {
                    info!(target: event::LEASE_HELD, duty = &*self.duty, epoch = epoch; "")
                }
                None => info!(target: event::LEASE_ENDED, duty = &*self.duty; ""),
            }
        }
    }
}

type Observed = (Option<(OwnerRow, RowVersion)>, Option<RowVersion>);

fn parse(rows: &[Option<Row>]) -> Result<Observed> {
    let [owner, epoch] = rows else {
        let detail = format!("{} rows instead of 2", rows.len());
        return Err(Error::new(ErrorKind::Internal, detail));
    };
    let owner = match owner {
        Some(row) => {
            let content = serde_json::from_str(&row.value).map_err(|error| {
                let detail = format!("malformed row {}: {error}", row.key);
                Error::new(ErrorKind::Internal, detail)
            })?;
            Some((content, row.version))
        }
        None => None,
    };
    Ok((owner, epoch.as_ref().map(|row| row.version)))
}
