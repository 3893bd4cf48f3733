//! Runs the lease protocol against the table service.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use rand::Rng;

use crate::Action;
use crate::HeldLease;
use crate::LeaseState;
use crate::LeaseTiming;
use crate::OwnerRow;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_base::new_incarnation;
use nutmegwalk_store::RequestClass;
use nutmegwalk_store::Row;
use nutmegwalk_store::RowVersion;
use nutmegwalk_store::StoreClient;
use nutmegwalk_store::Transaction;

/// Interval at which a release checks whether it is complete.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Largest epoch or renewal of a lease row, far above those that are reached, so that the next one has a number.
const MAX_NUMBER: u64 = 1 << 53;

/// Contends for the lease of one duty; clones share the lease.
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
    reported_epoch: Cell<Option<Epoch>>,
}

impl Ownership {
    /// Creates a contender for `duty`: the process `holder`, which accepts messages at `address`.
    #[must_use]
    pub fn new(
        store: StoreClient,
        duty: impl Into<Box<str>>,
        holder: impl Into<Box<str>>,
        address: impl Into<Box<str>>,
    ) -> Self {
        Self::with_timing(store, duty, holder, address, LeaseTiming::default())
    }

    /// Creates a contender with the given timing, which must be the same for all contenders.
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
                reported_epoch: Cell::new(None),
            }),
        }
    }

    /// Contends for the lease and renews it until [`Ownership::release`] is called.
    ///
    /// A second call returns immediately while the first is running.
    pub async fn run(&self) {
        let inner = &self.inner;
        if inner.is_running.replace(true) {
            return;
        }
        let running = RunningGuard(&inner.is_running);
        loop {
            let action = {
                let mut state = inner.state.borrow_mut();
                state.observe_clock(inner.store.clock());
                state.next_action(clock::now())
            };
            match action {
                Action::Sleep(duration) => {
                    // Bounds the sleep so that a release is noticed within a quarter of the poll interval.
                    let duration = duration.min(self.inner.timing.poll_interval / 4);
                    compio::time::sleep(duration).await;
                }
                Action::Read => inner.read().await,
                Action::Write(transaction) => inner.write(&transaction).await,
                Action::Stop => break,
            }
            inner.report_change();
        }
        drop(running);
    }

    /// Returns the lease if it is held now; query it again immediately before each command.
    #[must_use]
    pub fn current(&self) -> Option<HeldLease> {
        self.inner.state.borrow().current(clock::now())
    }

    /// Returns a transaction with the condition that the epoch is still that of `held`. The caller adds its own
    /// conditions and writes.
    #[must_use]
    pub fn fence(&self, held: &HeldLease) -> Transaction {
        self.inner.state.borrow().fence(held)
    }

    /// Returns the lease row as last read or written, held by this process or another one.
    #[must_use]
    pub fn lease_row(&self) -> Option<OwnerRow> {
        self.inner.state.borrow().lease_row().cloned()
    }

    /// Releases the lease for a planned stop, so that contenders need not wait until it lapses.
    ///
    /// [`Ownership::current`] returns `None` from this call on, and [`Ownership::run`] returns. To contend again,
    /// create a new [`Ownership`].
    ///
    /// # Errors
    /// `store_unavailable` when the release could not be written; the lease then lapses by itself.
    pub async fn release(&self) -> Result<()> {
        self.inner.state.borrow_mut().release();
        let deadline = clock::now() + self.inner.timing.lease;
        while self.inner.is_running.get() {
            if clock::now() >= deadline {
                let detail = format!("the lease of {} could not be released", self.inner.duty);
                return Err(Error::new(ErrorKind::StoreUnavailable, detail));
            }
            compio::time::sleep(RELEASE_POLL_INTERVAL).await;
        }
        Ok(())
    }
}

/// Clears the running flag when [`Ownership::run`] ends, also when its task is dropped.
struct RunningGuard<'a>(&'a Cell<bool>);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

impl Inner {
    /// Returns the timeout of one request, short enough for several attempts within a lease.
    fn request_timeout(&self) -> Duration {
        self.timing.lease / 2
    }

    async fn read(&self) {
        let keys = self.state.borrow().keys();
        let result = self
            .store
            .get(RequestClass::Ownership, &keys, self.request_timeout())
            .await;
        // Taken after the response has arrived; a contender counts the lease from here.
        let now = clock::now();
        match result.and_then(|rows| parse_rows(&rows)) {
            Ok((row, epoch_row_version)) => {
                let mut state = self.state.borrow_mut();
                state.observe_clock(self.store.clock());
                state.observe(row, epoch_row_version, now);
            }
            Err(error) => {
                warn!(target: event::LEASE_PROBLEM, "cannot read the lease row of {}: {error}", self.duty);
                self.back_off().await;
            }
        }
    }

    async fn write(&self, transaction: &Transaction) {
        let outcome = self
            .store
            .transact(RequestClass::Ownership, transaction, self.request_timeout())
            .await;
        let failure = outcome.as_ref().err().cloned();
        self.state.borrow_mut().finish_write(outcome, clock::now());
        if let Some(error) = failure {
            warn!(target: event::LEASE_PROBLEM, "cannot write the lease row of {}: {error}", self.duty);
            self.back_off().await;
        }
    }

    /// Waits for a random time after a failure, so that contenders that failed together do not retry together.
    async fn back_off(&self) {
        let fraction = rand::rng().random_range(0.2..=0.5);
        compio::time::sleep(self.timing.poll_interval.mul_f64(fraction)).await;
    }

    /// Logs when this process acquires or loses the lease.
    fn report_change(&self) {
        let epoch = self
            .state
            .borrow()
            .current(clock::now())
            .map(|held| held.epoch);
        if self.reported_epoch.replace(epoch) != epoch {
            match epoch {
                Some(epoch) => {
                    info!(target: event::LEASE_HELD, duty = &*self.duty, epoch = epoch; "")
                }
                None => info!(target: event::LEASE_ENDED, duty = &*self.duty; ""),
            }
        }
    }
}

type ObservedRows = (Option<(OwnerRow, RowVersion)>, Option<RowVersion>);

fn parse_rows(rows: &[Option<Row>]) -> Result<ObservedRows> {
    let [owner, epoch] = rows else {
        let detail = format!("the store returned {} rows instead of 2", rows.len());
        return Err(Error::new(ErrorKind::Internal, detail));
    };
    let owner = match owner {
        Some(row) => Some((parse_owner(row, epoch.as_ref())?, row.version)),
        None => None,
    };
    Ok((owner, epoch.as_ref().map(|row| row.version)))
}

/// Decodes the lease row. The row of another writer is replaced by the content of the epoch row, which the last takeover
/// or release wrote.
fn parse_owner(row: &Row, epoch_row: Option<&Row>) -> Result<OwnerRow> {
    let problem = match serde_json::from_str::<OwnerRow>(&row.value) {
        Ok(content) if content.epoch.max(content.renewal) <= MAX_NUMBER => return Ok(content),
        Ok(_) => "a number is too large".to_owned(),
        Err(problem) => problem.to_string(),
    };
    let known = epoch_row.and_then(|row| serde_json::from_str::<OwnerRow>(&row.value).ok());
    match known {
        Some(known) => Ok(OwnerRow {
            // The holder may have renewed the lease since.
            renewed_at_ms: None,
            ..known
        }),
        None => {
            let detail = format!("malformed row {}: {problem}", row.key);
            Err(Error::new(ErrorKind::Internal, detail))
        }
    }
}
