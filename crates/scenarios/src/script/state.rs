//! States that steps wait for and that scenarios expect.

use crate::script::step::Tokens;
use nutmegwalk_base::DataCentreId;

/// A state of the system, the load or the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// At least this many jobs were accepted.
    JobsAccepted(usize),
    /// At least this many jobs run with all their members.
    JobsRunning(usize),
    /// At least this many jobs have ended, with any result.
    JobsEnded(usize),
    /// At least this many jobs have finished successfully.
    JobsFinished(usize),
    /// Every job of the load was refused or has ended.
    AllJobsEnded,
    /// At least this many sends of calls have a result.
    CallsAnswered(usize),
    /// A call was sent and has no result yet.
    CallInFlight,
    /// All sends of the calls of the load have a result.
    AllCallsAnswered,
    /// The data centre has an owner that reports its summary.
    Owned(DataCentreId),
    /// Every reporting process has at least this configuration version.
    InForce(u64),
    /// No task runs in the data centre.
    Empty(DataCentreId),
    /// A task runs in the data centre.
    Busy(DataCentreId),
    /// The owners together report at least this many workers.
    Workers(u32),
    /// At most this many accelerators are free in all data centres together.
    FreeAtMost(u32),
    /// All take-outs, returns and publishes of earlier steps have completed.
    OperatorsAnswered,
}

impl State {
    /// Parses a state.
    ///
    /// # Errors
    /// Description of the problem with `text`.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut tokens = Tokens::new(text);
        let state = match tokens.token("a state")? {
            "jobs-accepted" => Self::JobsAccepted(tokens.number("a number of jobs")?),
            "jobs-running" => Self::JobsRunning(tokens.number("a number of jobs")?),
            "jobs-ended" => Self::JobsEnded(tokens.number("a number of jobs")?),
            "jobs-finished" => Self::JobsFinished(tokens.number("a number of jobs")?),
            "all-jobs-ended" => Self::AllJobsEnded,
            "calls-answered" => Self::CallsAnswered(tokens.number("a number of calls")?),
            "call-in-flight" => Self::CallInFlight,
            "all-calls-answered" => Self::AllCallsAnswered,
            "owned" => Self::Owned(tokens.token("a data centre")?.into()),
            "in-force" => Self::InForce(tokens.number("a version")?),
            "empty" => Self::Empty(tokens.token("a data centre")?.into()),
            "busy" => Self::Busy(tokens.token("a data centre")?.into()),
            "workers" => Self::Workers(tokens.number("a number of workers")?),
            "free-at-most" => Self::FreeAtMost(tokens.number("a number of accelerators")?),
            "operators-answered" => Self::OperatorsAnswered,
            other => {
                return Err(format!(
                    "`{other}` is not a state; scenarios/README.md lists them"
                ));
            }
        };
        tokens.end()?;
        Ok(state)
    }
}
