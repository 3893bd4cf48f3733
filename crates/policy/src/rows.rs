//! The operators' rows, behind a trait that the adapter to the platform implements.

use std::time::Duration;

use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Result;
use nutmegwalk_workload::JobConfiguration;

/// What a row of the operators is about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Subject {
    /// The whole configuration.
    Configuration,
    /// A data centre that is out of service for as long as the row is there.
    OutOfService(DataCentreId),
    /// A wave of maintenance.
    Wave(u64),
    /// Something that this system does not know.
    Other,
}

/// A wave of maintenance: each machine is taken down once, a few at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MaintenanceWave {
    /// Number of the wave.
    pub number: u64,
    /// Machines that have to be maintained.
    pub machines: Vec<Box<str>>,
    /// Time for the whole wave.
    pub duration: Duration,
    /// Largest number of machines that are down for it at once.
    pub max_down: usize,
}

/// Decodes the operators' rows.
pub trait OperatorRows {
    /// Returns the prefix of the keys of the rows.
    fn prefix(&self) -> &str;

    /// Returns what a row is about.
    fn subject(&self, key: &str) -> Subject;

    /// Decodes a configuration.
    ///
    /// # Errors
    /// `invalid_configuration` naming the field.
    fn configuration(&self, value: &str) -> Result<JobConfiguration>;

    /// Decodes a wave of maintenance.
    ///
    /// # Errors
    /// `invalid_configuration` naming the field.
    fn wave(&self, value: &str) -> Result<MaintenanceWave>;
}
