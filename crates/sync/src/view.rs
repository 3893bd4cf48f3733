//! What one process knows of the configuration and of the owners, and how recently it was confirmed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::SyncTimings;
use crate::history::Step;
use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_config::Change;
use nutmegwalk_config::Configuration;
use nutmegwalk_store::RowVersion;

/// Changes kept to answer others with; one that is further behind gets a snapshot.
const KEPT_CHANGES: usize = 100;

/// The row `owner/<duty>` as the table holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerValue {
    /// Version of the row.
    pub version: RowVersion,
    /// JSON text of the row.
    pub value: Rc<str>,
}

/// Owner rows by duty.
pub type Owners = BTreeMap<Box<str>, OwnerValue>;

/// The view of one process; clones share it.
#[derive(Clone, Debug)]
pub struct View {
    state: Rc<RefCell<State>>,
    timings: SyncTimings,
    created: Instant,
}

#[derive(Debug, Default)]
struct State {
    configuration: Rc<Configuration>,
    changes: VecDeque<Rc<Change>>,
    owners: Rc<Owners>,
    confirmed: Option<Instant>,
    revision: u64,
}

impl View {
    /// Creates a view that knows nothing and has never been confirmed.
    #[must_use]
    pub fn new(timings: SyncTimings) -> Self {
        Self {
            state: Rc::default(),
            timings,
            created: Instant::now(),
        }
    }

    /// Returns the newest configuration; it has version 0 before anything is known.
    #[must_use]
    pub fn configuration(&self) -> Rc<Configuration> {
        Rc::clone(&self.state.borrow().configuration)
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.state.borrow().configuration.version
    }

    /// Returns the owner rows by duty, without the prefix `owner/`.
    #[must_use]
    pub fn owners(&self) -> Rc<Owners> {
        Rc::clone(&self.state.borrow().owners)
    }

    /// Returns a number that rises with each change of the configuration or of an owner row.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state.borrow().revision
    }

    /// Returns the time since the read that confirmed the view was sent; `None` before the first one.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.state
            .borrow()
            .confirmed
            .map(|confirmed| confirmed.elapsed())
    }

    /// Returns for how long no confirmed view could be obtained, since the creation if there was none.
    #[must_use]
    pub fn isolated_for(&self) -> Duration {
        self.age().unwrap_or_else(|| self.created.elapsed())
    }

    /// Returns whether work has to stop because this process was cut off for too long.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.isolated_for() >= self.timings.isolated_after
    }

    /// Checks that a task may start in a data centre now.
    ///
    /// # Errors
    /// `stale_view` when the view is not confirmed recently; `data_centre_out` when operators took the
    /// data centre out of service; `not_found` when it does not exist.
    pub fn start_permission(&self, data_centre: &str) -> Result<()> {
        match self.age() {
            Some(age) if age < self.timings.permission_age => {}
            Some(age) => {
                let detail = format!("the configuration was last confirmed {age:.1?} ago");
                return Err(Error::new(ErrorKind::StaleView, detail));
            }
            None => {
                let detail = "the configuration has not been confirmed since the start";
                return Err(Error::new(ErrorKind::StaleView, detail));
            }
        }
        match self
            .state
            .borrow()
            .configuration
            .data_centres
            .get(data_centre)
        {
            Some(entry) if entry.in_service => Ok(()),
            Some(_) => {
                let detail = format!("{data_centre} is out of service");
                Err(Error::new(ErrorKind::DataCentreOut, detail))
            }
            None => {
                let detail = format!("there is no data centre {data_centre}");
                Err(Error::new(ErrorKind::NotFound, detail))
            }
        }
    }

    /// Returns the changes after version `held`, if all of them are kept.
    #[must_use]
    pub fn changes_after(&self, held: ConfigVersion) -> Option<Vec<Rc<Change>>> {
        let state = self.state.borrow();
        let missing = state.configuration.version.saturating_sub(held);
        let missing = usize::try_from(missing).ok()?;
        let kept = state.changes.len();
        (missing <= kept).then(|| state.changes.iter().skip(kept - missing).cloned().collect())
    }

    /// Takes over newer versions, oldest first; versions that are not newer are left out.
    ///
    /// Returns whether the configuration is a newer one now.
    pub fn advance(&self, steps: &[Step]) -> bool {
        let mut state = self.state.borrow_mut();
        let before = state.configuration.version;
        for step in steps {
            let version = step.configuration.version;
            if version <= state.configuration.version {
                continue;
            }
            match &step.change {
                Some(change) if version == state.configuration.version + 1 => {
                    state.changes.push_back(Rc::clone(change));
                    if state.changes.len() > KEPT_CHANGES {
                        state.changes.pop_front();
                    }
                }
                // The changes in between are unknown, so the kept ones no longer lead to this version.
                _ => state.changes.clear(),
            }
            state.configuration = Rc::clone(&step.configuration);
        }
        let advanced = state.configuration.version > before;
        if advanced {
            state.revision += 1;
        }
        advanced
    }

    /// Records that `version` was the newest one at the instant `confirmed`.
    ///
    /// A confirmation of another version than the one held is ignored: an older one says nothing about
    /// the time after the held version was made.
    pub fn confirm(&self, version: ConfigVersion, confirmed: Instant) -> bool {
        let mut state = self.state.borrow_mut();
        if version != state.configuration.version {
            return false;
        }
        state.confirmed = Some(
            state
                .confirmed
                .map_or(confirmed, |held| held.max(confirmed)),
        );
        true
    }

    /// Takes over owner rows that are newer. Rows named in `removed` are dropped; the caller names
    /// them only when its knowledge is newer than this view's.
    pub fn update_owners(
        &self,
        rows: impl IntoIterator<Item = (Box<str>, OwnerValue)>,
        removed: &[Box<str>],
    ) {
        let mut state = self.state.borrow_mut();
        let mut owners = None;
        let held = Rc::clone(&state.owners);
        for (duty, row) in rows {
            if held
                .get(&duty)
                .is_none_or(|held| held.version < row.version)
            {
                owners
                    .get_or_insert_with(|| (*held).clone())
                    .insert(duty, row);
            }
        }
        for duty in removed {
            if held.contains_key(duty) {
                owners.get_or_insert_with(|| (*held).clone()).remove(duty);
            }
        }
        if let Some(owners) = owners {
            state.owners = Rc::new(owners);
            state.revision += 1;
        }
    }

    /// Returns the instant of the newest confirmation.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.state.borrow().confirmed
    }
}
