//! States that steps wait for and that are expected.

use crate::script::step::Words;
use nutmegwalk_base::DataCentreId;

/// A state of the product, the load or the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// At least so many jobs were accepted.
    JobsAccepted(usize),
    /// At least so many jobs run with all their members.
    JobsRunning(usize),
    /// At least so many jobs have ended.
    JobsEnded(usize),
    /// At least so many jobs have finished.
    JobsFinished(usize),
    /// All jobs of the load were submitted and have ended.
    AllJobsEnded,
    /// At least so many calls were answered.
    CallsAnswered(usize),
    /// A call was executed, and its first send is not answered yet.
    CallInFlight,
    /// All calls of the load were answered.
    AllCallsAnswered,
    /// The data centre has an owner that answers.
    Owned(DataCentreId),
    /// Every process that reports has at least this version.
    InForce(u64),
    /// No task runs in the data centre.
    Empty(DataCentreId),
    /// A task runs in the data centre.
    Busy(DataCentreId),
    /// Owners know at least so many workers together.
    Workers(u32),
    /// At most so many accelerators are free in all data centres.
    FreeAtMost(u32),
    /// All take-outs, returns and publishes of steps were answered.
    OperatorsAnswered,
}

impl State {
    /// Parses a state.
    ///
    /// # Errors
    /// What is wrong with `text`.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut words = Words::new(text);
        let state = match words.word("a state")? {
            "jobs-accepted" => Self::JobsAccepted(words.number("a number of jobs")?),
            "jobs-running" => Self::JobsRunning(words.number("a number of jobs")?),
            "jobs-ended" => Self::JobsEnded(words.number("a number of jobs")?),
            "jobs-finished" => Self::JobsFinished(words.number("a number of jobs")?),
            "all-jobs-ended" => Self::AllJobsEnded,
            "calls-answered" => Self::CallsAnswered(words.number("a number of calls")?),
            "call-in-flight" => Self::CallInFlight,
            "all-calls-answered" => Self::AllCallsAnswered,
            "owned" => Self::Owned(words.word("a data centre")?.into()),
            "in-force" => Self::InForce(words.number("a version")?),
            "empty" => Self::Empty(words.word("a data centre")?.into()),
            "busy" => Self::Busy(words.word("a data centre")?.into()),
            "workers" => Self::Workers(words.number("a number of workers")?),
            "free-at-most" => Self::FreeAtMost(words.number("a number of accelerators")?),
            "operators-answered" => Self::OperatorsAnswered,
            other => {
                return Err(format!(
                    "`{other}` is not a state; scenarios/README.md lists them"
                ));
            }
        };
        words.end()?;
        Ok(state)
    }
}
