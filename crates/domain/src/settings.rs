//! Settings of a domain's owner.

use std::time::Duration;

use nutmegwalk_placement::HealthSettings;

/// Settings of a domain's owner. The durations are derived from the bounds that the deployment states.
#[derive(Clone, Debug)]
pub struct DomainSettings {
    /// Name of the domain, which names its lease row.
    pub domain: Box<str>,
    /// Time for which an agent may renew its worker's lease without an answer from the owner. A longer time
    /// keeps runs alive during partitions and outages; a shorter one restarts the runs of a lost host sooner.
    pub worker_lease: Duration,
    /// Age of the operators' configuration from which no tasks are started. It has to be below the time within
    /// which an evacuation must be in force.
    pub max_policy_age: Duration,
    /// Age of the view of the jobs from which no tasks are started. It has to be below the time within which a
    /// cancelled job's tasks may still be started.
    pub max_job_age: Duration,
    /// Time within which all tasks of a run have to be started. It has to be below the time for which the
    /// members of a gang wait for each other.
    pub start_timeout: Duration,
    /// Time for which an ended job is kept, so that its state can be requested.
    pub ended_job_retention: Duration,
    /// Factor on the run time of rack-sensitive tasks that are spread over racks.
    pub spread_factor: f64,
    /// Quarantine of workers.
    pub health: HealthSettings,
}

impl DomainSettings {
    /// Creates settings of a domain with the default durations.
    #[must_use]
    pub fn new(domain: impl Into<Box<str>>) -> Self {
        Self {
            domain: domain.into(),
            worker_lease: Duration::from_secs(9),
            max_policy_age: Duration::from_millis(3_500),
            max_job_age: Duration::from_millis(2_400),
            start_timeout: Duration::from_millis(1_800),
            ended_job_retention: Duration::from_secs(180),
            spread_factor: 3.0,
            health: HealthSettings::default(),
        }
    }
}
