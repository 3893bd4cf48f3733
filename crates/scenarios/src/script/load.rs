//! Load sections of a scenario file.

use rand::Rng;
use rand::rngs::StdRng;
use serde::Deserialize;

use nutmegwalk_base::CustomerId;
use nutmegwalk_base::GuaranteeId;
use nutmegwalk_config::Adjacency;

/// Distribution of a number, from which one value is sampled per job.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum ValueDistribution {
    /// The same value for every job.
    One(u64),
    /// One of several values, all equally likely; zero if there are none.
    Choice(Vec<u64>),
    /// Any value between two bounds, inclusive, all equally likely.
    Range {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
}

impl ValueDistribution {
    /// Samples a value.
    pub fn sample(&self, random: &mut StdRng) -> u64 {
        match self {
            Self::One(value) => *value,
            Self::Choice(values) if values.is_empty() => 0,
            Self::Choice(values) => values[random.random_range(0..values.len())],
            Self::Range { min, max } => random.random_range(*min..=(*max).max(*min)),
        }
    }
}

/// Group of similar jobs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobLoad {
    /// Customer that submits the jobs; without one, all customers submit in turn.
    pub customer: Option<CustomerId>,
    /// Number of jobs.
    pub count: u64,
    /// Earliest arrival, in milliseconds from the start of the load.
    #[serde(default)]
    pub at_ms: u64,
    /// Period over which the jobs arrive at random, in milliseconds; zero for a burst.
    #[serde(default)]
    pub over_ms: u64,
    /// Number of tasks of each job.
    #[serde(default = "default_count")]
    pub tasks: ValueDistribution,
    /// Accelerators of each task.
    #[serde(default = "default_count")]
    pub accelerators: ValueDistribution,
    /// Cores of each task.
    #[serde(default = "default_cores")]
    pub cores: u32,
    /// Memory of each task, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Run time of each task at full speed, in milliseconds.
    pub work_ms: ValueDistribution,
    /// Guarantee that the jobs use.
    pub guarantee: Option<GuaranteeId>,
    /// Required proximity of the tasks of a job.
    #[serde(default)]
    pub adjacency: Adjacency,
    /// Declared run time, as a percentage of the actual work; 100 is an accurate declaration.
    #[serde(default = "default_declared_percent")]
    pub declared_percent: ValueDistribution,
    /// Memory that the program actually uses, as a percentage of its declared memory.
    pub used_memory_percent: Option<u64>,
    /// Whether the program ends with an error.
    #[serde(default)]
    pub fails: bool,
}

/// Group of similar calls.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallLoad {
    /// Customer that makes the calls; without one, all customers call in turn.
    pub customer: Option<CustomerId>,
    /// Mean rate of calls per second.
    pub per_second: f64,
    /// Earliest time of a call, in milliseconds from the start of the load.
    #[serde(default)]
    pub at_ms: u64,
    /// Period over which the calls are made, in milliseconds.
    pub over_ms: u64,
    /// Size of the body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: usize,
    /// Share of calls marked as never to be repeated, from 0 to 1.
    #[serde(default)]
    pub never_share: f64,
    /// Share of calls marked as repeatable, from 0 to 1.
    #[serde(default)]
    pub repeatable_share: f64,
    /// Number of times that each call marked as never to be repeated is sent, each time starting with a
    /// different entry host.
    #[serde(default = "default_sends")]
    pub sends: u32,
    /// Time between two sends of the same call, in milliseconds; zero sends all at the same time.
    #[serde(default)]
    pub resend_ms: u64,
    /// Deadline of each call, in milliseconds from its send.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

fn default_count() -> ValueDistribution {
    ValueDistribution::One(1)
}

fn default_declared_percent() -> ValueDistribution {
    ValueDistribution::One(100)
}

fn default_cores() -> u32 {
    4
}

fn default_memory_mb() -> u64 {
    4096
}

fn default_body_bytes() -> usize {
    64
}

fn default_sends() -> u32 {
    1
}

fn default_deadline_ms() -> u64 {
    10_000
}
