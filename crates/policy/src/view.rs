//! The [`PolicyView`], kept up to date from the change feed of the store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::error;
use log::info;

use crate::MaintenanceWave;
use crate::OperatorRows;
use crate::Subject;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::event;
use nutmegwalk_base::signal::Signal;
use nutmegwalk_store::Change;
use nutmegwalk_store::ChangeFeed;
use nutmegwalk_store::Follower;
use nutmegwalk_store::Replica;
use nutmegwalk_store::Row;
use nutmegwalk_workload::JobConfiguration;

/// View of the operators' rows. Clones share their state.
#[derive(Clone)]
pub struct PolicyView {
    inner: Rc<Inner>,
}

struct Inner {
    rows: Rc<dyn OperatorRows>,
    follower: Follower,
    configuration: RefCell<Rc<JobConfiguration>>,
    out_of_service: RefCell<BTreeSet<DataCentreId>>,
    waves: RefCell<BTreeMap<u64, MaintenanceWave>>,
    subscribers: RefCell<Vec<Signal>>,
}

impl PolicyView {
    /// Creates an empty view. [`Self::run`] fills it.
    #[must_use]
    pub fn new(feed: Rc<dyn ChangeFeed>, rows: Rc<dyn OperatorRows>) -> Self {
        let follower = Follower::new(feed, rows.prefix());
        Self {
            inner: Rc::new(Inner {
                rows,
                follower,
                configuration: RefCell::default(),
                out_of_service: RefCell::default(),
                waves: RefCell::default(),
                subscribers: RefCell::default(),
            }),
        }
    }

    /// Follows the rows until the future is dropped.
    pub async fn run(&self) {
        self.inner.follower.run(&*self.inner).await;
    }

    /// Adds a signal that is raised after each change of the rows.
    pub fn subscribe(&self, signal: Signal) {
        self.inner.subscribers.borrow_mut().push(signal);
    }

    /// Returns the configuration with the highest version so far; version 0 and empty before the first one.
    #[must_use]
    pub fn configuration(&self) -> Rc<JobConfiguration> {
        Rc::clone(&self.inner.configuration.borrow())
    }

    /// Returns whether operators have taken a data centre out of service.
    #[must_use]
    pub fn is_out_of_service(&self, data_centre: &str) -> bool {
        self.inner.out_of_service.borrow().contains(data_centre)
    }

    /// Returns the current waves of maintenance by number.
    #[must_use]
    pub fn waves(&self) -> BTreeMap<u64, MaintenanceWave> {
        self.inner.waves.borrow().clone()
    }

    /// Returns whether a configuration has been received.
    #[must_use]
    pub fn has_configuration(&self) -> bool {
        self.inner.configuration.borrow().version > 0
    }

    /// Returns the latest instant at which the view is known to have been current; `None` before the first read.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.inner.follower.confirmed_at()
    }

    /// Returns the time since the view was last provably current; `None` before the first read.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.inner.follower.age()
    }
}

impl Inner {
    /// Applies a row that was written.
    fn put(&self, row: &Row) {
        match self.rows.subject(&row.key) {
            Subject::Configuration => match self.rows.configuration(&row.value) {
                Ok(configuration) => self.apply_configuration(configuration),
                Err(error) => {
                    error!(target: event::CONFIG_REJECTED, key = &*row.key, version = row.version; "rejected the configuration: {error}");
                }
            },
            Subject::OutOfService(data_centre) => {
                let mut out_of_service = self.out_of_service.borrow_mut();
                if out_of_service.insert(data_centre.clone()) {
                    info!(target: event::DATA_CENTRE_TAKEN_OUT, data_centre = &*data_centre, version = row.version; "");
                }
            }
            Subject::Wave(number) => match self.rows.wave(&row.value) {
                Ok(wave) => {
                    info!(target: event::WAVE_REQUESTED, wave = number, version = row.version; "");
                    self.waves.borrow_mut().insert(number, wave);
                }
                Err(error) => {
                    error!(target: event::WAVE_REJECTED, key = &*row.key, version = row.version; "rejected the wave: {error}");
                }
            },
            Subject::Other => {}
        }
    }

    /// Applies the deletion of a row. A deleted configuration stays in force.
    fn delete(&self, key: &str) {
        match self.rows.subject(key) {
            Subject::OutOfService(data_centre) => {
                if self.out_of_service.borrow_mut().remove(&data_centre) {
                    info!(target: event::DATA_CENTRE_RETURNED, data_centre = &*data_centre; "");
                }
            }
            Subject::Wave(number) => {
                self.waves.borrow_mut().remove(&number);
            }
            Subject::Configuration | Subject::Other => {}
        }
    }

    /// Replaces the configuration if the version is higher than that of the one in force.
    fn apply_configuration(&self, configuration: JobConfiguration) {
        let mut current = self.configuration.borrow_mut();
        if configuration.version > current.version {
            info!(target: event::CONFIG_APPLIED,
                version = configuration.version,
                before = current.version;
                ""
            );
            *current = Rc::new(configuration);
        }
    }

    /// Raises the signals of all subscribers.
    fn notify(&self) {
        for signal in self.subscribers.borrow().iter() {
            signal.raise();
        }
    }
}

impl Replica for Inner {
    fn reset(&self, rows: Vec<Row>) {
        self.out_of_service.borrow_mut().clear();
        self.waves.borrow_mut().clear();
        rows.iter().for_each(|row| self.put(row));
        self.notify();
    }

    fn apply(&self, change: Change) {
        match change {
            Change::Put(row) => self.put(&row),
            Change::Delete { key, .. } => self.delete(&key),
        }
        self.notify();
    }
}
