//! Steps of a scenario.

use std::str::FromStr;

use nutmegwalk_base::DataCentreId;

/// Name of a worker, or a prefix of names that ends with `*`.
pub type WorkerPattern = Box<str>;

/// What a step does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Nothing; the step only waits.
    Wait,
    /// Agents die.
    KillAgent(WorkerPattern),
    /// Agents are started again, those that run after a planned stop.
    RestartAgent(WorkerPattern),
    /// Planned stop of agents.
    StopAgent(WorkerPattern),
    /// A process is frozen.
    Pause(Box<str>),
    /// A frozen process goes on.
    Resume(Box<str>),
    /// The agent that owns the data centre dies.
    KillOwner(DataCentreId),
    /// The agent that owns the data centre is frozen.
    PauseOwner(DataCentreId),
    /// Workers die with their tasks.
    KillWorker(WorkerPattern),
    /// Workers come back empty.
    RestartWorker(WorkerPattern),
    /// Workers die with their agents and backend servers.
    KillHost(WorkerPattern),
    /// Workers come back empty with their agents and backend servers.
    RestartHost(WorkerPattern),
    /// Workers refuse all starts.
    WorkerFailsStarts(WorkerPattern),
    /// Workers never answer checkpoints.
    WorkerIgnoresCheckpoint(WorkerPattern),
    /// Time in milliseconds that workers take for a checkpoint.
    WorkerSlowCheckpoint(WorkerPattern, u64),
    /// Workers work again.
    WorkerHealthy(WorkerPattern),
    /// The store refuses everything.
    StoreDown,
    /// The store answers nothing.
    StoreSilent,
    /// All faults of the store end.
    StoreUp,
    /// Time in milliseconds that each store request takes.
    StoreLatency(u64),
    /// Share of writes whose answer is lost.
    StoreLosesAnswers(f64),
    /// The store refuses one process.
    StoreDownFor(Box<str>),
    /// The store refuses all processes of a region.
    StoreDownForRegion(Box<str>),
    /// Two regions, or a region and the `platform`, lose contact.
    Cut(Box<str>, Box<str>),
    /// All cut links work again.
    Heal,
    /// Takes a data centre out of service.
    TakeOut(DataCentreId),
    /// Returns a data centre to service.
    Return(DataCentreId),
    /// So many operators publish different changes of the same version at once.
    PublishRace(usize),
    /// Take-outs of a data centre through all entry hosts together with publishes.
    TakeOutRace(DataCentreId),
    /// All jobs that have not ended are cancelled at once.
    CancelAll,
    /// An entry host dies.
    KillEntry(usize),
    /// An entry host is started again, after a planned stop if it runs.
    RestartEntry(usize),
    /// Planned stop of an entry host.
    StopEntry(usize),
    /// Planned stop of backend servers.
    StopBackend(WorkerPattern),
    /// Backend servers die.
    KillBackend(WorkerPattern),
    /// Backend servers are started.
    StartBackend(WorkerPattern),
    /// Time in milliseconds that backend servers take for a call.
    BackendSlow(WorkerPattern, u64),
    /// Backend servers answer every call with status 500.
    BackendFails(WorkerPattern),
    /// Backend servers swap the ids of their answers.
    BackendMixesAnswers(WorkerPattern),
    /// Backend servers work again.
    BackendHealthy(WorkerPattern),
}

/// The words of a step or state.
pub(crate) struct Words<'a> {
    words: std::str::SplitWhitespace<'a>,
}

impl<'a> Words<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Self {
            words: text.split_whitespace(),
        }
    }

    pub(crate) fn word(&mut self, what: &str) -> Result<&'a str, String> {
        self.words
            .next()
            .ok_or_else(|| format!("{what} is missing"))
    }

    pub(crate) fn number<T: FromStr>(&mut self, what: &str) -> Result<T, String> {
        let word = self.word(what)?;
        word.parse().map_err(|_| format!("`{word}` is not {what}"))
    }

    pub(crate) fn end(mut self) -> Result<(), String> {
        match self.words.next() {
            None => Ok(()),
            Some(word) => Err(format!("`{word}` is one word too many")),
        }
    }
}

impl Action {
    /// Parses a step.
    ///
    /// # Errors
    /// What is wrong with `text`.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut words = Words::new(text);
        let name = words.word("a step")?;
        let action = match name {
            "wait" => Self::Wait,
            "store-down" => Self::StoreDown,
            "store-silent" => Self::StoreSilent,
            "store-up" => Self::StoreUp,
            "store-latency" => Self::StoreLatency(words.number("a time in milliseconds")?),
            "store-loses-answers" => Self::StoreLosesAnswers(words.number("a share from 0 to 1")?),
            "store-down-for" => Self::StoreDownFor(words.word("a process")?.into()),
            "store-down-for-region" => Self::StoreDownForRegion(words.word("a region")?.into()),
            "cut" => Self::Cut(
                words.word("a region")?.into(),
                words.word("a second region")?.into(),
            ),
            "heal" => Self::Heal,
            "publish-race" => Self::PublishRace(words.number("a number of operators")?),
            "cancel-all" => Self::CancelAll,
            "kill-entry" => Self::KillEntry(words.number("an index of an entry host")?),
            "restart-entry" => Self::RestartEntry(words.number("an index of an entry host")?),
            "stop-entry" => Self::StopEntry(words.number("an index of an entry host")?),
            "pause" => Self::Pause(words.word("a process")?.into()),
            "resume" => Self::Resume(words.word("a process")?.into()),
            "kill-owner" | "pause-owner" | "take-out" | "return" | "take-out-race" => {
                let data_centre = words.word("a data centre")?.into();
                match name {
                    "kill-owner" => Self::KillOwner(data_centre),
                    "pause-owner" => Self::PauseOwner(data_centre),
                    "take-out" => Self::TakeOut(data_centre),
                    "return" => Self::Return(data_centre),
                    _ => Self::TakeOutRace(data_centre),
                }
            }
            _ => Self::parse_of_workers(name, &mut words)?,
        };
        words.end()?;
        Ok(action)
    }

    fn parse_of_workers(name: &str, words: &mut Words<'_>) -> Result<Self, String> {
        let make: fn(WorkerPattern) -> Self = match name {
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
                let worker = words.word("a worker")?.into();
                let time_ms = words.number("a time in milliseconds")?;
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
        Ok(make(words.word("a worker")?.into()))
    }

    /// Returns whether the step can break calls in flight, as a planned stop must not.
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
