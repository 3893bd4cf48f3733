//! Scenario files. Each describes one failure or load: the deployment, the steps and the expected result.

mod load;
mod parse;
mod state;
mod step;

use std::time::Duration;

use serde::Deserialize;
use toml::Spanned;

use nutmegwalk_config::Configuration;
use nutmegwalk_fleet::Policy;

pub use load::CallLoad;
pub use load::JobLoad;
pub use load::ValueDistribution;
pub use parse::load;
pub use state::State;
pub use step::Action;
pub use step::WorkerPattern;

/// Default time limit of a scenario, in milliseconds.
const DEFAULT_LIMIT_MS: u64 = 60_000;

/// Parsed and validated scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the file without its extension.
    pub name: Box<str>,
    /// Failure that the scenario guards against.
    pub description: Box<str>,
    /// Seed of the load, unless the command line sets another one.
    pub seed: u64,
    /// Time limit, from the start of the load, for all accepted jobs and all calls to end.
    pub limit: Duration,
    /// Configuration that is published before the load starts.
    pub configuration: Configuration,
    /// Settings of the deployment.
    pub deployment: DeploymentPart,
    /// Groups of jobs.
    pub jobs: Vec<JobLoad>,
    /// Groups of calls.
    pub calls: Vec<CallLoad>,
    /// Steps in the order of the file; each starts after the previous one.
    pub steps: Vec<Step>,
    /// Conditions that the run must meet.
    pub expectations: Vec<Expectation>,
}

/// The `[deployment]` section.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DeploymentPart {
    /// Directories or files with the operators' configuration, relative to the root of the repository.
    pub files: Vec<Box<str>>,
    /// Number of entry hosts.
    pub entries: usize,
    /// Placement policy.
    pub policy: Policy,
    /// Time that a backend server takes for a call, in milliseconds.
    pub service_time_ms: u64,
    /// Delay of each request between two regions, in milliseconds.
    pub region_delay_ms: u64,
}

impl Default for DeploymentPart {
    fn default() -> Self {
        Self {
            files: Vec::new(),
            entries: 2,
            policy: Policy::Guaranteed,
            service_time_ms: 5,
            region_delay_ms: 0,
        }
    }
}

/// Action with the conditions under which it starts.
#[derive(Clone, Debug)]
pub struct Step {
    /// Earliest time, from the start of the load.
    pub at: Duration,
    /// State that must be reached first.
    pub after: Option<State>,
    /// Time to wait after both conditions are met.
    pub delay: Duration,
    /// Action of the step.
    pub action: Action,
}

/// Expected result of a run.
#[derive(Clone, Debug)]
pub enum Expectation {
    /// A state is reached within a time limit.
    Reached {
        /// Expected state.
        state: State,
        /// Time limit, from the start of the load.
        within: Duration,
    },
    /// A metric of the run lies between two bounds, inclusive.
    Metric {
        /// Name of the metric.
        name: Box<str>,
        /// Smallest value.
        min: f64,
        /// Largest value.
        max: f64,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    description: Box<str>,
    #[serde(default)]
    seed: u64,
    #[serde(default = "default_limit_ms")]
    limit_ms: u64,
    #[serde(default)]
    deployment: DeploymentPart,
    sites: Option<toml::Table>,
    #[serde(default)]
    jobs: Vec<JobLoad>,
    #[serde(default)]
    calls: Vec<CallLoad>,
    #[serde(default)]
    steps: Vec<FileStep>,
    #[serde(default)]
    expect: Vec<Spanned<FileExpectation>>,
}

fn default_limit_ms() -> u64 {
    DEFAULT_LIMIT_MS
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileStep {
    #[serde(default)]
    at_ms: u64,
    after: Option<Spanned<String>>,
    #[serde(default)]
    delay_ms: u64,
    #[serde(rename = "do")]
    action: Spanned<String>,
}

#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileExpectation {
    state: Option<String>,
    within_ms: Option<u64>,
    figure: Option<Box<str>>,
    min: Option<f64>,
    max: Option<f64>,
}
