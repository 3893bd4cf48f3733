//! Actions of the steps of a scenario.

use std::str::FromStr;

use nutmegwalk_base::DataCentreId;

/// Name of a worker, or a prefix of names followed by `*`.
pub type WorkerPattern = Box<str>;

/// Action of a step.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// No action; the step only waits for its conditions.
    Wait,
    /// Kills agents.
    KillAgent(WorkerPattern),
    /// Restarts agents; running agents are stopped gracefully first. `*` restarts only the agents that earlier
    /// steps killed or stopped.
    RestartAgent(WorkerPattern),
    /// Stops agents and their backend servers gracefully.
    StopAgent(WorkerPattern),
    /// Freezes a process.
    Pause(Box<str>),
    /// Resumes a frozen process, or all of them for `*`.
    Resume(Box<str>),
    /// Kills the agent that owns the data centre.
    KillOwner(DataCentreId),
    /// Freezes the agent that owns the data centre.
    PauseOwner(DataCentreId),
    /// Kills workers with their tasks.
    KillWorker(WorkerPattern),
    /// Restarts workers without tasks.
    RestartWorker(WorkerPattern),
    /// Kills workers with their agents and backend servers.
    KillHost(WorkerPattern),
    /// Restarts workers without tasks, and their agents and backend servers.
    RestartHost(WorkerPattern),
    /// Makes all starts on workers fail.
    WorkerFailsStarts(WorkerPattern),
    /// Makes workers never answer checkpoint commands.
    WorkerIgnoresCheckpoint(WorkerPattern),
    /// Sets the duration of a checkpoint on workers, in milliseconds.
    WorkerSlowCheckpoint(WorkerPattern, u64),
    /// Clears all faults of workers.
    WorkerHealthy(WorkerPattern),
    /// Makes the store refuse all requests.
    StoreDown,
    /// Makes the store answer no requests.
    StoreSilent,
    /// Clears all faults of the store.
    StoreUp,
    /// Sets the latency of each store request, in milliseconds.
    StoreLatency(u64),
    /// Sets the share of writes whose answer is lost, from 0 to 1.
    StoreLosesAnswers(f64),
    /// Makes the store refuse all requests of one process.
    StoreDownFor(Box<str>),
    /// Makes the store refuse all requests of the processes of a region.
    StoreDownForRegion(Box<str>),
    /// Partitions two regions, or a region and the `platform`, from each other.
    Cut(Box<str>, Box<str>),
    /// Heals all partitions.
    Heal,
    /// Takes a data centre out of service.
    TakeOut(DataCentreId),
    /// Returns a data centre to service.
    Return(DataCentreId),
    /// Makes this many operators concurrently publish different changes on top of the same version.
    PublishRace(usize),
    /// Takes a data centre out through all entry hosts concurrently, together with a publish race.
    TakeOutRace(DataCentreId),
    /// Concurrently cancels all jobs that have not ended.
    CancelAll,
    /// Kills an entry host.
    KillEntry(usize),
    /// Restarts an entry host; a running one is stopped gracefully first.
    RestartEntry(usize),
    /// Stops an entry host gracefully.
    StopEntry(usize),
    /// Stops backend servers gracefully.
    StopBackend(WorkerPattern),
    /// Kills backend servers.
    KillBackend(WorkerPattern),
    /// Starts backend servers.
    StartBackend(WorkerPattern),
    /// Sets the time that backend servers take for a call, in milliseconds.
    BackendSlow(WorkerPattern, u64),
    /// Makes backend servers answer every call with status 500.
    BackendFails(WorkerPattern),
    /// Makes backend servers answer each call with the id and body of the previous one.
    BackendMixesAnswers(WorkerPattern),
    /// Clears all faults of backend servers.
    BackendHealthy(WorkerPattern),
}

/// Tokens of the text of an action or state.
pub(crate) struct Tokens<'a> {
    tokens: std::str::SplitWhitespace<'a>,
}

impl<'a> Tokens<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Self {
            tokens: text.split_whitespace(),
        }
    }

    /// Returns the next token; `what` names it in the error message.
    pub(crate) fn token(&mut self, what: &str) -> Result<&'a str, String> {
        self.tokens
            .next()
            .ok_or_else(|| format!("{what} is missing"))
    }

    pub(crate) fn number<T: FromStr>(&mut self, what: &str) -> Result<T, String> {
        let token = self.token(what)?;
        token
            .parse()
            .map_err(|_| format!("`{token}` is not {what}"))
    }

    pub(crate) fn end(mut self) -> Result<(), String> {
        match self.tokens.next() {
            None => Ok(()),
            Some(token) => Err(format!("unexpected token `{token}`")),
        }
    }
}

impl Action {
    /// Parses the action of a step.
    ///
    /// # Errors
    /// Description of the problem with `text`.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut tokens = Tokens::new(text);
        let name = tokens.token("a step")?;
        let action = match name {
            "wait" => Self::Wait,
            "store-down" => Self::StoreDown,
            "store-silent" => Self::StoreSilent,
            "store-up" => Self::StoreUp,
            "store-latency" => Self::StoreLatency(tokens.number("a time in milliseconds")?),
            "store-loses-answers" => Self::StoreLosesAnswers(tokens.number("a share from 0 to 1")?),
            "store-down-for" => Self::StoreDownFor(tokens.token("a process")?.into()),
            "store-down-for-region" => Self::StoreDownForRegion(tokens.token("a region")?.into()),
            "cut" => Self::Cut(
                tokens.token("a region")?.into(),
                tokens.token("a second region")?.into(),
            ),
            "heal" => Self::Heal,
            "publish-race" => Self::PublishRace(tokens.number("a number of operators")?),
            "cancel-all" => Self::CancelAll,
            "kill-entry" => Self::KillEntry(tokens.number("an index of an entry host")?),
            "restart-entry" => Self::RestartEntry(tokens.number("an index of an entry host")?),
            "stop-entry" => Self::StopEntry(tokens.number("an index of an entry host")?),
            "pause" => Self::Pause(tokens.token("a process")?.into()),
            "resume" => Self::Resume(tokens.token("a process")?.into()),
            "kill-owner" | "pause-owner" | "take-out" | "return" | "take-out-race" => {
                let data_centre = tokens.token("a data centre")?.into();
                match name {
                    "kill-owner" => Self::KillOwner(data_centre),
                    "pause-owner" => Self::PauseOwner(data_centre),
                    "take-out" => Self::TakeOut(data_centre),
                    "return" => Self::Return(data_centre),
                    _ => Self::TakeOutRace(data_centre),
                }
            }
            _ => Self::parse_worker_action(name, &mut tokens)?,
        };
        tokens.end()?;
        Ok(action)
    }

    fn parse_worker_action(name: &str, tokens: &mut Tokens<'_>) -> Result<Self, String> {
        let action: fn(WorkerPattern) -> Self = match name {
            "kill-agent" => Self::KillAgent,
            "restart-agent" => Self::RestartAgent,
            "stop-agent" => Self::StopAgent,
            "kill-worker" => Self::KillWorker,
            "restart-worker" => Self::RestartWorker,
            "kill-host" => Self::KillHost,
            "restart-host" => Self::RestartHost,
            "worker-fails-starts" => Self::WorkerFailsStarts,
            "worker-ignores-checkpoint" => Self::WorkerIgnoresCheckpoint,
            "worker-healthy" => Self::WorkerHealthy,
            "stop-backend" => Self::StopBackend,
            "kill-backend" => Self::KillBackend,
            "start-backend" => Self::StartBackend,
            "backend-fails" => Self::BackendFails,
            "backend-mixes-answers" => Self::BackendMixesAnswers,
            "backend-healthy" => Self::BackendHealthy,
            "worker-slow-checkpoint" | "backend-slow" => {
                let worker = tokens.token("a worker")?.into();
                let time_ms = tokens.number("a time in milliseconds")?;
                return Ok(if name == "backend-slow" {
                    Self::BackendSlow(worker, time_ms)
                } else {
                    Self::WorkerSlowCheckpoint(worker, time_ms)
                });
            }
            _ => {
                return Err(format!(
                    "`{name}` is not a step; scenarios/README.md lists them"
                ));
            }
        };
        Ok(action(tokens.token("a worker")?.into()))
    }

    /// Returns whether the action is a fault that can break calls in flight. A graceful stop must not break
    /// them.
    #[must_use]
    pub fn is_fault(&self) -> bool {
        !matches!(
            self,
            Self::Wait
                | Self::RestartAgent(_)
                | Self::StopAgent(_)
                | Self::TakeOut(_)
                | Self::Return(_)
                | Self::PublishRace(_)
                | Self::TakeOutRace(_)
                | Self::CancelAll
                | Self::RestartEntry(_)
                | Self::StopEntry(_)
                | Self::StopBackend(_)
                | Self::StartBackend(_)
                | Self::BackendSlow(..)
                | Self::BackendHealthy(_)
                | Self::WorkerFailsStarts(_)
                | Self::WorkerIgnoresCheckpoint(_)
                | Self::WorkerSlowCheckpoint(..)
                | Self::WorkerHealthy(_)
                | Self::Heal
                | Self::StoreUp
        )
    }
}
