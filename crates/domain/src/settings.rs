//! Settings of a domain's owner.

use std::time::Duration;

use nutmegwalk_placement::HealthSettings;

/// Settings of a domain's owner. The lengths of time come from the bounds that the deployment states.
#[derive(Clone, Debug)]
pub struct DomainSettings {
    /// Name of the domain, which names its lease row.
    pub domain: Box<str>,
    /// Time for which an agent may renew its worker's lease without hearing from the owner. Longer keeps
    /// work alive through cuts and outages; shorter restarts the work of a lost host sooner.
    pub worker_lease: Duration,
    /// Age of the operators' configuration beyond which nothing is started, below the time within which
    /// an evacuation has to be in force.
    pub max_policy_age: Duration,
    /// Time within which all tasks of a run have to be started, below the time for which a gang's members
    /// wait for each other.
    pub start_timeout: Duration,
    /// Time for which an ended job can be asked for.
    pub ended_job_retention: Duration,
    /// How many times as long rack-sensitive tasks take when they are spread over racks.
    pub spread_factor: f64,
    /// When workers are set aside.
    pub health: HealthSettings,
}

impl DomainSettings {
    /// Creates settings with the usual lengths of time.
    #[must_use]
    pub fn new(domain: impl Into<Box<str>>) -> Self {
        Self {
            domain: domain.into(),
            worker_lease: Duration::from_secs(9),
            max_policy_age: Duration::from_millis(3_500),
            start_timeout: Duration::from_millis(1_800),
            ended_job_retention: Duration::from_secs(180),
            spread_factor: 3.0,
            health: HealthSettings::default(),
        }
    }
}
