//! The operators' rows, behind a trait that the adapter to the platform implements.

use std::time::Duration;

use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Result;
use nutmegwalk_workload::JobConfiguration;

/// Content of a row that operators write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Subject {
    /// The whole configuration.
    Configuration,
    /// A data centre that is out of service as long as the row exists.
    OutOfService(DataCentreId),
    /// A wave of maintenance, by its number.
    Wave(u64),
    /// Unknown content, which is ignored.
    Other,
}

/// A wave of maintenance, which takes each of its machines down once, a limited number at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MaintenanceWave {
    /// Number of the wave.
    pub number: u64,
    /// Names of the machines to maintain.
    pub machines: Vec<Box<str>>,
    /// Duration of the whole wave.
    pub duration: Duration,
    /// Maximum number of machines that are down for the wave at the same time.
    pub max_down: usize,
}

/// Decodes the operators' rows.
pub trait OperatorRows {
    /// Returns the key prefix of the operators' rows.
    fn prefix(&self) -> &str;

    /// Returns the content that a key stands for.
    fn subject(&self, key: &str) -> Subject;

    /// Decodes a configuration.
    ///
    /// # Errors
    /// `invalid_configuration`, with the field in the detail.
    fn configuration(&self, value: &str) -> Result<JobConfiguration>;

    /// Decodes a wave of maintenance.
    ///
    /// # Errors
    /// `invalid_configuration`, with the field in the detail.
    fn wave(&self, value: &str) -> Result<MaintenanceWave>;
}
