//! State of one agent: its gangs, the resources they hold, and closed attempts.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::LocalBoxFuture;
use futures_util::future::Shared;

use crate::Attempt;
use crate::AttemptPhase;
use crate::AttemptReport;
use crate::GangEnd;
use crate::MemberReport;
use crate::MemberSpec;
use crate::TaskStatus;
use crate::messages::Bind;
use crate::messages::MembersState;
use crate::messages::RenewAnswer;
use crate::messages::StartAnswer;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_net::Drain;

/// Number of closed attempts above which old ones are dropped.
const CLOSED_LIMIT: usize = 4096;

/// Job and attempt of a gang.
pub(crate) type Key = (JobId, Attempt);

/// An operation that several requests wait for.
pub(crate) type Pending<T> = Shared<LocalBoxFuture<'static, T>>;

/// Resources of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Resources {
    /// Processor cores.
    pub cores: u32,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Subtracts the needs of `members`, if they fit.
    fn minus<'a>(self, members: impl IntoIterator<Item = &'a MemberSpec>) -> Option<Self> {
        members.into_iter().try_fold(self, |free, need| {
            Some(Self {
                cores: free.cores.checked_sub(need.cores)?,
                memory_mb: free.memory_mb.checked_sub(need.memory_mb)?,
                accelerators: free.accelerators.checked_sub(need.accelerators)?,
            })
        })
    }
}

/// Phase of a gang on this agent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Phase {
    /// The reservation lapses at `until`.
    Reserved { until: Instant },
    /// Tasks may be started before `start_until`; the resources are held until `until`.
    Bound {
        start_until: Instant,
        until: Instant,
    },
    /// Tasks may run.
    Running {
        /// When the agent stops its tasks unless renewed, counted from before the last renewal.
        until: Instant,
        /// When the worker has stopped the tasks by its own lease, counted from after the renewal.
        held_until: Instant,
    },
    /// Tasks are being stopped.
    Ending { end: GangEnd, held_until: Instant },
    /// No task runs.
    Ended { end: GangEnd, sequence: u64 },
}

/// One gang on this agent.
pub(crate) struct Gang {
    pub(crate) members: Vec<MemberSpec>,
    pub(crate) phase: Phase,
    pub(crate) bind: Option<Rc<Bind>>,
    /// Last known states of the tasks.
    pub(crate) tasks: Vec<MemberReport>,
    /// Highest round that extended the lease.
    pub(crate) round: u64,
    /// Start of the tasks on this worker, once asked for.
    pub(crate) members_start: Option<Pending<Result<()>>>,
    /// Start of the whole gang, on the lead.
    pub(crate) gang_start: Option<Pending<StartAnswer>>,
    /// Stop of the tasks on this worker, once the gang ends.
    pub(crate) stop: Option<Pending<()>>,
    /// Starts when the gang ends on this agent.
    pub(crate) ending: Drain,
}

impl Gang {
    pub(crate) fn new(members: Vec<MemberSpec>, phase: Phase) -> Self {
        Self {
            tasks: members
                .iter()
                .map(|spec| MemberReport {
                    member: spec.member,
                    state: None,
                    progress_ms: 0,
                    checkpoint_ms: 0,
                })
                .collect(),
            members,
            phase,
            bind: None,
            round: 0,
            members_start: None,
            gang_start: None,
            stop: None,
            ending: Drain::new(),
        }
    }

    /// Takes over what the worker lists; a task that is not listed any more is gone.
    pub(crate) fn update(&mut self, key: &Key, list: &[TaskStatus]) {
        for task in &mut self.tasks {
            let listed = list.iter().find(|status| {
                let metadata = &status.metadata;
                metadata.member == task.member && metadata.attempt == key.1 && metadata.job == key.0
            });
            task.state = listed.map(|status| status.state);
            if let Some(status) = listed {
                task.progress_ms = status.progress_ms;
                task.checkpoint_ms = status.checkpoint_ms;
            }
        }
    }

    /// Returns the answer in a renewal round.
    pub(crate) fn answer(&self) -> RenewAnswer {
        RenewAnswer {
            round: self.round,
            members: u32::try_from(self.tasks.len()).ok(),
            state: MembersState::of(&self.tasks),
        }
    }

    fn holds_resources(&self) -> bool {
        !matches!(self.phase, Phase::Ended { .. })
    }
}

/// An attempt that was closed, so that late steps of it are refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Closed {
    pub(crate) attempt: Attempt,
    pub(crate) end: GangEnd,
    at: Instant,
}

/// All gangs of one agent.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) epoch_floor: Option<Epoch>,
    pub(crate) recovered: bool,
    pub(crate) sequence: u64,
    pub(crate) gangs: BTreeMap<Key, Gang>,
    closed: HashMap<JobId, Closed>,
}

impl State {
    /// Refuses epochs below the highest one seen and keeps a higher one.
    pub(crate) fn check_epoch(&mut self, epoch: Epoch) -> Result<()> {
        match self.epoch_floor {
            Some(floor) if epoch < floor => Err(Error::new(
                ErrorKind::StaleEpoch,
                format!("epoch {epoch} was superseded by epoch {floor}"),
            )),
            Some(_) => {
                self.epoch_floor = Some(epoch);
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Refuses attempts that were closed, and those before the last closed one of the job.
    pub(crate) fn check_open(&self, key: &Key) -> Result<()> {
        let closed = self
            .closed
            .get(&key.0)
            .is_some_and(|closed| key.1 <= closed.attempt);
        let superseded = self.newest_attempt(&key.0) > Some(key.1);
        if closed || superseded {
            return Err(closed_error(key));
        }
        Ok(())
    }

    /// Returns the end of `key`'s attempt when it is the last one of its job to be closed.
    pub(crate) fn closed_end(&self, key: &Key) -> Option<GangEnd> {
        let closed = self.closed.get(&key.0)?;
        (closed.attempt == key.1).then_some(closed.end)
    }

    /// Leaves a tombstone for an attempt.
    pub(crate) fn close(&mut self, key: &Key, end: GangEnd, keep: Duration) {
        let now = Instant::now();
        if self.closed.len() >= CLOSED_LIMIT {
            self.closed.retain(|_, closed| now < closed.at + keep);
        }
        let closed = Closed {
            attempt: key.1,
            end,
            at: now,
        };
        let entry = self.closed.entry(key.0.clone()).or_insert(closed);
        if entry.attempt < key.1 {
            *entry = closed;
        }
        self.sequence += 1;
    }

    fn newest_attempt(&self, job: &str) -> Option<Attempt> {
        self.gangs
            .keys()
            .filter(|key| &*key.0 == job)
            .map(|key| key.1)
            .max()
    }

    /// Sets resources aside; a repeat of a step that took effect has no further effect.
    pub(crate) fn reserve(
        &mut self,
        key: &Key,
        members: Vec<MemberSpec>,
        until: Instant,
        capacity: Option<Resources>,
    ) -> Result<bool> {
        self.check_open(key)?;
        if self.gangs.contains_key(key) {
            return Ok(false);
        }
        // An earlier attempt that was only prepared gives way; one that may run does not.
        let earlier: Vec<Key> = self
            .gangs
            .keys()
            .filter(|other| other.0 == key.0)
            .cloned()
            .collect();
        for other in earlier {
            match self.gangs.get(&other).map(|gang| gang.phase) {
                Some(Phase::Reserved { .. } | Phase::Bound { .. }) => {
                    if let Some(gang) = self.gangs.remove(&other) {
                        gang.ending.start();
                    }
                }
                Some(Phase::Running { .. } | Phase::Ending { .. }) => {
                    return Err(Error::new(
                        ErrorKind::InsufficientResources,
                        format!("attempt {:?} of job {} may still run", other.1, other.0),
                    ));
                }
                Some(Phase::Ended { .. }) | None => {}
            }
        }
        if let Some(capacity) = capacity {
            let held = self.gangs.values().filter(|gang| gang.holds_resources());
            let needs = held.flat_map(|gang| &gang.members).chain(&members);
            if capacity.minus(needs).is_none() {
                return Err(Error::new(
                    ErrorKind::InsufficientResources,
                    format!("the worker has no room for {} members", members.len()),
                ));
            }
        }
        self.gangs
            .insert(key.clone(), Gang::new(members, Phase::Reserved { until }));
        self.sequence += 1;
        Ok(true)
    }

    /// Returns the reports of all attempts.
    pub(crate) fn reports(&self, own: std::net::SocketAddr) -> Vec<AttemptReport> {
        self.gangs
            .iter()
            .map(|((job, attempt), gang)| {
                let (phase, end) = match gang.phase {
                    Phase::Reserved { .. } => (AttemptPhase::Reserved, None),
                    Phase::Bound { .. } => (AttemptPhase::Bound, None),
                    Phase::Running { .. } => (AttemptPhase::Running, None),
                    Phase::Ending { end, .. } => (AttemptPhase::Ending, Some(end)),
                    Phase::Ended { end, .. } => (AttemptPhase::Ended, Some(end)),
                };
                AttemptReport {
                    job: job.clone(),
                    attempt: *attempt,
                    phase,
                    lead: gang
                        .bind
                        .as_ref()
                        .is_some_and(|bind| bind.agents.first() == Some(&own)),
                    end,
                    members: gang.tasks.clone(),
                }
            })
            .collect()
    }
}

/// Returns the error for a step of an attempt that was closed or is not known.
pub(crate) fn closed_error(key: &Key) -> Error {
    Error::new(
        ErrorKind::AttemptClosed,
        format!("attempt {:?} of job {} is not open", key.1, key.0),
    )
}
