//! The load part of a scenario file.

use rand::Rng;
use rand::rngs::StdRng;
use serde::Deserialize;

use nutmegwalk_base::CustomerId;
use nutmegwalk_base::GuaranteeId;
use nutmegwalk_config::Adjacency;

/// A number, or numbers of which each job takes one at random.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum Numbers {
    /// Always the same.
    One(u64),
    /// One of several.
    Choice(Vec<u64>),
    /// Any between two bounds.
    Range {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
}

impl Numbers {
    /// Returns one of the numbers.
    pub fn draw(&self, random: &mut StdRng) -> u64 {
        match self {
            Self::One(value) => *value,
            Self::Choice(values) if values.is_empty() => 0,
            Self::Choice(values) => values[random.random_range(0..values.len())],
            Self::Range { min, max } => random.random_range(*min..=(*max).max(*min)),
        }
    }
}

/// Jobs of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobLoad {
    /// Customer; without one, all customers submit in turn.
    pub customer: Option<CustomerId>,
    /// Number of jobs.
    pub count: u64,
    /// Time of the first arrival, in milliseconds from the start of the load.
    #[serde(default)]
    pub at_ms: u64,
    /// Time over which the jobs arrive at random; zero for a burst.
    #[serde(default)]
    pub over_ms: u64,
    /// Tasks of each job.
    #[serde(default = "one")]
    pub tasks: Numbers,
    /// Accelerators of each task.
    #[serde(default = "one")]
    pub accelerators: Numbers,
    /// Cores of each task.
    #[serde(default = "four")]
    pub cores: u32,
    /// Memory of each task.
    #[serde(default = "four_gigabytes")]
    pub memory_mb: u64,
    /// Work of each task.
    pub work_ms: Numbers,
    /// Guarantee that the jobs use.
    pub guarantee: Option<GuaranteeId>,
    /// How near the tasks have to be.
    #[serde(default)]
    pub adjacency: Adjacency,
    /// Declared run time, as a percentage of the work; far from 100 for a wrong declaration.
    #[serde(default = "hundred")]
    pub declared_percent: Numbers,
    /// Memory that the program really uses, as a percentage of what it declares.
    pub used_memory_percent: Option<u64>,
    /// Whether the program ends with an error.
    #[serde(default)]
    pub fails: bool,
}

/// Calls of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallLoad {
    /// Customer; without one, all customers call in turn.
    pub customer: Option<CustomerId>,
    /// Calls a second.
    pub per_second: f64,
    /// Time of the first call, in milliseconds from the start of the load.
    #[serde(default)]
    pub at_ms: u64,
    /// Time over which the calls are made.
    pub over_ms: u64,
    /// Size of the body, in bytes.
    #[serde(default = "body_bytes")]
    pub body_bytes: usize,
    /// Share of calls marked as not to be repeated, from 0 to 1.
    #[serde(default)]
    pub never_share: f64,
    /// Share of calls marked as repeatable, from 0 to 1.
    #[serde(default)]
    pub repeatable_share: f64,
    /// How often each call marked as not to be repeated is sent, through different entry hosts.
    #[serde(default = "one_send")]
    pub sends: u32,
    /// Time between two sends of the same call; zero for all at once.
    #[serde(default)]
    pub resend_ms: u64,
    /// Deadline of each call.
    #[serde(default = "deadline_ms")]
    pub deadline_ms: u64,
}

fn one() -> Numbers {
    Numbers::One(1)
}

fn hundred() -> Numbers {
    Numbers::One(100)
}

fn four() -> u32 {
    4
}

fn four_gigabytes() -> u64 {
    4096
}

fn body_bytes() -> usize {
    64
}

fn one_send() -> u32 {
    1
}

fn deadline_ms() -> u64 {
    10_000
}
