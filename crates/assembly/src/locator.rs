//! Locates the owner of the domain through the lease row.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::debug;

use nutmegwalk_base::Epoch;
use nutmegwalk_base::event;
use nutmegwalk_lease::OwnerRow;
use nutmegwalk_lease::Ownership;
use nutmegwalk_lease::owner_key;
use nutmegwalk_store::RequestClass;
use nutmegwalk_store::StoreClient;

/// Deadline for reading the lease row.
const READ_DEADLINE: Duration = Duration::from_millis(600);

/// Caches the newest lease row and derives the owner's address from it.
pub struct OwnerLocator {
    store: StoreClient,
    key: Box<str>,
    /// This process's own contender for the lease, if the process can own the domain.
    ownership: Option<Rc<Ownership>>,
    /// The newest row that was read.
    known: RefCell<Option<OwnerRow>>,
    /// Epoch and renewal of the newest row whose holder replied that it is not the owner. The request may have
    /// reached the holder before its term began, so a row with a later renewal is used again.
    rejected: Cell<(Epoch, u64)>,
}

impl OwnerLocator {
    /// Creates a locator for the owner of `domain`; `ownership` is this process's own contender for the lease,
    /// if the process can own the domain.
    #[must_use]
    pub fn new(store: StoreClient, domain: &str, ownership: Option<Rc<Ownership>>) -> Self {
        Self {
            store,
            key: owner_key(domain),
            ownership,
            known: RefCell::new(None),
            rejected: Cell::new((0, 0)),
        }
    }

    /// Returns the owner's address from the newest known lease row.
    ///
    /// Returns `None` if no row is known, the lease was released, the row was invalidated, or its address does
    /// not parse.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        // While this process contends for the lease, its contender may have read a newer row.
        if let Some(row) = self
            .ownership
            .as_ref()
            .and_then(|ownership| ownership.lease_row())
        {
            self.record(row);
        }
        let known = self.known.borrow();
        let row = known.as_ref()?;
        ((row.epoch, row.renewal) > self.rejected.get() && !row.is_released())
            .then(|| row.address.parse().ok())
            .flatten()
    }

    /// Records that the holder of the known row replied that it is not the owner.
    pub fn invalidate(&self) {
        if let Some(row) = &*self.known.borrow() {
            let rejected = (row.epoch, row.renewal);
            self.rejected.set(self.rejected.get().max(rejected));
        }
    }

    /// Reads the lease row from the store; the known row stays if the read fails.
    pub async fn refresh(&self) {
        let keys = [self.key.clone()];
        let rows = match self
            .store
            .get(RequestClass::Ownership, &keys, READ_DEADLINE)
            .await
        {
            Ok(rows) => rows,
            Err(error) => {
                debug!(target: event::OWNER_LOST, "cannot read the lease row: {error}");
                return;
            }
        };
        if let Some(row) = rows.into_iter().flatten().next() {
            match serde_json::from_str(&row.value) {
                Ok(row) => self.record(row),
                Err(error) => {
                    log::error!(target: event::ROW_UNREADABLE, "cannot parse the lease row: {error}")
                }
            }
        }
    }

    /// Keeps `row` if it is newer than the known one.
    fn record(&self, row: OwnerRow) {
        let mut known = self.known.borrow_mut();
        if known.as_ref().is_none_or(|known| {
            (row.epoch, row.renewal, row.is_released())
                > (known.epoch, known.renewal, known.is_released())
        }) {
            *known = Some(row);
        }
    }
}
