//! Finding the owner of the domain.

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
use nutmegwalk_store::Duty;
use nutmegwalk_store::StoreClient;

/// Time for reading the lease row.
const READ_DEADLINE: Duration = Duration::from_millis(600);

/// Knows the owner from the lease row.
pub struct OwnerLocator {
    store: StoreClient,
    key: Box<str>,
    /// The contention of this process, if it can own the domain.
    ownership: Option<Rc<Ownership>>,
    known: RefCell<Option<OwnerRow>>,
    /// Epoch and renewal of the row whose holder said that it is not the owner. It may only have been too
    /// early: a later renewal shows that it is the owner.
    rejected: Cell<(Epoch, u64)>,
}

impl OwnerLocator {
    /// Creates a locator for the owner of `domain`; `ownership` is the contention of this process, if it can
    /// own the domain.
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

    /// Returns the address of the owner, as far as it is known.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        // A contender has just read the row, so it knows best.
        if let Some(row) = self
            .ownership
            .as_ref()
            .and_then(|ownership| ownership.owner())
        {
            self.learn(row);
        }
        let known = self.known.borrow();
        let row = known.as_ref()?;
        ((row.epoch, row.renewal) > self.rejected.get() && !row.is_released())
            .then(|| row.address.parse().ok())
            .flatten()
    }

    /// Notes that the known owner has said that it is not the owner.
    pub fn invalidate(&self) {
        if let Some(row) = &*self.known.borrow() {
            let rejected = (row.epoch, row.renewal);
            self.rejected.set(self.rejected.get().max(rejected));
        }
    }

    /// Reads the lease row.
    pub async fn refresh(&self) {
        let keys = [self.key.clone()];
        let rows = match self.store.get(Duty::Ownership, &keys, READ_DEADLINE).await {
            Ok(rows) => rows,
            Err(error) => {
                debug!(target: event::OWNER_LOST, "cannot read who owns the domain: {error}");
                return;
            }
        };
        if let Some(row) = rows.into_iter().flatten().next() {
            match serde_json::from_str(&row.value) {
                Ok(row) => self.learn(row),
                Err(error) => {
                    log::error!(target: event::ROW_UNREADABLE, "the lease row cannot be read: {error}")
                }
            }
        }
    }

    fn learn(&self, row: OwnerRow) {
        let mut known = self.known.borrow_mut();
        if known.as_ref().is_none_or(|known| {
            (row.epoch, row.renewal, row.is_released())
                > (known.epoch, known.renewal, known.is_released())
        }) {
            *known = Some(row);
        }
    }
}
