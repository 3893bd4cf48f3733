//! The local copy of the configuration and of the owner rows, and when it was last confirmed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::SyncTimings;
use crate::history::VersionStep;
use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_config::Change;
use nutmegwalk_config::Configuration;
use nutmegwalk_store::RowVersion;

/// Number of recent changes kept to send to other processes. One that is further behind gets a snapshot.
const MAX_RECENT_CHANGES: usize = 100;

/// The version and value of the row `owner/<duty>` in the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerValue {
    /// Version of the row.
    pub version: RowVersion,
    /// JSON text of the row.
    pub value: Rc<str>,
}

/// Owner rows by duty.
pub type Owners = BTreeMap<Box<str>, OwnerValue>;

/// The configuration and owner rows as one process has them; clones share the state.
#[derive(Clone, Debug)]
pub struct View {
    state: Rc<RefCell<State>>,
    timings: SyncTimings,
    created: Instant,
}

#[derive(Debug, Default)]
struct State {
    configuration: Rc<Configuration>,
    /// The newest changes, oldest first; the last one, if any, leads to the version of `configuration`.
    recent_changes: VecDeque<Rc<Change>>,
    owners: Rc<Owners>,
    confirmed_at: Option<Instant>,
    revision: u64,
}

impl View {
    /// Creates an empty view, with configuration version 0, that has never been confirmed.
    #[must_use]
    pub fn new(timings: SyncTimings) -> Self {
        Self {
            state: Rc::default(),
            timings,
            created: Instant::now(),
        }
    }

    /// Returns the newest configuration; its version is 0 before any was received.
    #[must_use]
    pub fn configuration(&self) -> Rc<Configuration> {
        Rc::clone(&self.state.borrow().configuration)
    }

    /// Returns the version of the newest configuration.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.state.borrow().configuration.version
    }

    /// Returns the owner rows by duty, without the prefix `owner/`.
    #[must_use]
    pub fn owners(&self) -> Rc<Owners> {
        Rc::clone(&self.state.borrow().owners)
    }

    /// Returns a number that increases with each change of the configuration or of an owner row.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state.borrow().revision
    }

    /// Returns the time since the table read that last confirmed the view was sent; `None` before the first
    /// confirmation. For a view that came through an upstream, the time of the polls is included.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.state
            .borrow()
            .confirmed_at
            .map(|confirmed_at| confirmed_at.elapsed())
    }

    /// Returns the time since the last confirmation, or since the creation if there was none.
    #[must_use]
    pub fn isolated_for(&self) -> Duration {
        self.age().unwrap_or_else(|| self.created.elapsed())
    }

    /// Returns whether running work has to stop because the view was not confirmed for too long.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.isolated_for() >= self.timings.isolated_after
    }

    /// Checks that a task may start in `data_centre` now.
    ///
    /// # Errors
    /// `stale_view` when the view was not confirmed recently; `data_centre_out` when operators have taken the
    /// data centre out of service; `not_found` when it does not exist.
    pub fn check_start_permission(&self, data_centre: &str) -> Result<()> {
        match self.age() {
            Some(age) if age < self.timings.max_permission_age => {}
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

    /// Returns the changes after `version`, oldest first; `None` when some of them are no longer kept.
    #[must_use]
    pub fn changes_after(&self, version: ConfigVersion) -> Option<Vec<Rc<Change>>> {
        let state = self.state.borrow();
        let missing = state.configuration.version.saturating_sub(version);
        let missing = usize::try_from(missing).ok()?;
        let kept = state.recent_changes.len();
        (missing <= kept).then(|| {
            state
                .recent_changes
                .iter()
                .skip(kept - missing)
                .cloned()
                .collect()
        })
    }

    /// Applies newer versions, oldest first; versions that are not newer are skipped.
    ///
    /// Returns whether the configuration has changed.
    pub fn advance(&self, steps: &[VersionStep]) -> bool {
        let mut state = self.state.borrow_mut();
        let before = state.configuration.version;
        for step in steps {
            let version = step.configuration.version;
            if version <= state.configuration.version {
                continue;
            }
            match &step.change {
                Some(change) if version == state.configuration.version + 1 => {
                    state.recent_changes.push_back(Rc::clone(change));
                    if state.recent_changes.len() > MAX_RECENT_CHANGES {
                        state.recent_changes.pop_front();
                    }
                }
                // The changes in between are missing, so the kept ones do not lead to this version.
                _ => state.recent_changes.clear(),
            }
            state.configuration = Rc::clone(&step.configuration);
        }
        let advanced = state.configuration.version > before;
        if advanced {
            state.revision += 1;
        }
        advanced
    }

    /// Records that `version` was the newest one at `confirmed_at`. Returns whether the confirmation applies.
    ///
    /// A confirmation of a version other than that of this view is ignored. An older version only shows what
    /// was newest before the version of this view was written.
    pub fn confirm(&self, version: ConfigVersion, confirmed_at: Instant) -> bool {
        let mut state = self.state.borrow_mut();
        if version != state.configuration.version {
            return false;
        }
        state.confirmed_at = Some(
            state
                .confirmed_at
                .map_or(confirmed_at, |previous| previous.max(confirmed_at)),
        );
        true
    }

    /// Stores the owner rows that are newer than those of this view and drops the rows of the duties in
    /// `removed`. The caller may pass `removed` only from a source that is newer than this view.
    pub fn update_owners(
        &self,
        rows: impl IntoIterator<Item = (Box<str>, OwnerValue)>,
        removed: &[Box<str>],
    ) {
        let mut state = self.state.borrow_mut();
        let mut owners = None;
        let previous = Rc::clone(&state.owners);
        for (duty, row) in rows {
            if previous
                .get(&duty)
                .is_none_or(|previous| previous.version < row.version)
            {
                owners
                    .get_or_insert_with(|| (*previous).clone())
                    .insert(duty, row);
            }
        }
        for duty in removed {
            if previous.contains_key(duty) {
                owners
                    .get_or_insert_with(|| (*previous).clone())
                    .remove(duty);
            }
        }
        if let Some(owners) = owners {
            state.owners = Rc::new(owners);
            state.revision += 1;
        }
    }

    /// Returns the instant of the newest confirmation; `None` before the first one.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.state.borrow().confirmed_at
    }
}
