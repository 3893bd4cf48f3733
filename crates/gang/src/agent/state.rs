//! State of one agent: its gangs, the resources that they hold, and closed attempts.

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

/// Number of closed attempts at which expired ones are dropped.
const CLOSED_PURGE_THRESHOLD: usize = 4096;

/// Job and attempt of a gang.
pub(crate) type AttemptKey = (JobId, Attempt);

/// Operation whose result several requests await.
pub(crate) type SharedFuture<T> = Shared<LocalBoxFuture<'static, T>>;

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
    /// Returns what remains after `members` are placed; `None` if they do not fit.
    fn checked_sub<'a>(self, members: impl IntoIterator<Item = &'a MemberSpec>) -> Option<Self> {
        members.into_iter().try_fold(self, |free, member| {
            Some(Self {
                cores: free.cores.checked_sub(member.cores)?,
                memory_mb: free.memory_mb.checked_sub(member.memory_mb)?,
                accelerators: free.accelerators.checked_sub(member.accelerators)?,
            })
        })
    }
}

/// Phase of a gang on this agent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Phase {
    /// The reservation lapses at `until`.
    Reserved { until: Instant },
    /// Tasks may be started until `start_until`; the resources are held until `until`.
    Bound {
        start_until: Instant,
        until: Instant,
    },
    /// Tasks may run.
    Running {
        /// Time at which the agent stops the tasks unless the lease is renewed; counted from before the
        /// last renewal.
        until: Instant,
        /// Time by which the worker has stopped the tasks because of their leases; counted from after the
        /// last renewal.
        held_until: Instant,
    },
    /// Tasks are being stopped.
    Ending { end: GangEnd, held_until: Instant },
    /// No task runs.
    Ended { end: GangEnd, sequence: u64 },
}

/// Part of a gang that is on this agent's worker.
pub(crate) struct Gang {
    pub(crate) members: Vec<MemberSpec>,
    pub(crate) phase: Phase,
    pub(crate) bind: Option<Rc<Bind>>,
    /// Last known states of the tasks.
    pub(crate) tasks: Vec<MemberReport>,
    /// Highest renewal round that extended the lease.
    pub(crate) round: u64,
    /// Start of the tasks on this worker, once commanded.
    pub(crate) members_start: Option<SharedFuture<Result<()>>>,
    /// Start of the whole gang, once commanded; only on the lead.
    pub(crate) gang_start: Option<SharedFuture<StartAnswer>>,
    /// Stop of the tasks on this worker, once the gang ends.
    pub(crate) stop: Option<SharedFuture<()>>,
    /// Triggered when the gang ends on this agent.
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

    /// Updates the tasks from the worker's list; a task that is not listed is recorded as missing.
    pub(crate) fn update_tasks(&mut self, key: &AttemptKey, list: &[TaskStatus]) {
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

    /// Returns the answer to a renewal.
    pub(crate) fn renew_answer(&self) -> RenewAnswer {
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

/// Tombstone of the last closed attempt of a job, by which its late requests are refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClosedAttempt {
    pub(crate) attempt: Attempt,
    pub(crate) end: GangEnd,
    closed_at: Instant,
}

/// All gangs of one agent.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) epoch_floor: Option<Epoch>,
    pub(crate) recovered: bool,
    pub(crate) sequence: u64,
    pub(crate) gangs: BTreeMap<AttemptKey, Gang>,
    closed: HashMap<JobId, ClosedAttempt>,
}

impl State {
    /// Refuses epochs below the highest one seen; records a higher one once the floor is set.
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

    /// Refuses attempts that were closed, or that are older than a closed or present attempt of the job.
    pub(crate) fn check_open(&self, key: &AttemptKey) -> Result<()> {
        let closed = self
            .closed
            .get(&key.0)
            .is_some_and(|closed| key.1 <= closed.attempt);
        let superseded = self.newest_attempt(&key.0) > Some(key.1);
        if closed || superseded {
            return Err(attempt_closed_error(key));
        }
        Ok(())
    }

    /// Returns how the attempt ended, if it is the last closed attempt of its job.
    pub(crate) fn closed_end(&self, key: &AttemptKey) -> Option<GangEnd> {
        let closed = self.closed.get(&key.0)?;
        (closed.attempt == key.1).then_some(closed.end)
    }

    /// Records a tombstone for an attempt, to be kept at least for `retention`.
    pub(crate) fn close(&mut self, key: &AttemptKey, end: GangEnd, retention: Duration) {
        let now = Instant::now();
        if self.closed.len() >= CLOSED_PURGE_THRESHOLD {
            self.closed
                .retain(|_, closed| now < closed.closed_at + retention);
        }
        let closed = ClosedAttempt {
            attempt: key.1,
            end,
            closed_at: now,
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

    /// Reserves resources; returns false for a repeat, which has no further effect.
    pub(crate) fn reserve(
        &mut self,
        key: &AttemptKey,
        members: Vec<MemberSpec>,
        until: Instant,
        capacity: Option<Resources>,
    ) -> Result<bool> {
        self.check_open(key)?;
        if self.gangs.contains_key(key) {
            return Ok(false);
        }
        // Replaces an earlier attempt that was only prepared, but not one that may run.
        let earlier: Vec<AttemptKey> = self
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
            let needed = held.flat_map(|gang| &gang.members).chain(&members);
            if capacity.checked_sub(needed).is_none() {
                return Err(Error::new(
                    ErrorKind::InsufficientResources,
                    format!(
                        "the worker has too few free resources for {} members",
                        members.len()
                    ),
                ));
            }
        }
        self.gangs
            .insert(key.clone(), Gang::new(members, Phase::Reserved { until }));
        self.sequence += 1;
        Ok(true)
    }

    /// Returns the reports on all attempts; `own_address` is the address of this agent.
    pub(crate) fn reports(&self, own_address: std::net::SocketAddr) -> Vec<AttemptReport> {
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
                        .is_some_and(|bind| bind.agents.first() == Some(&own_address)),
                    end,
                    members: gang.tasks.clone(),
                }
            })
            .collect()
    }
}

/// Returns the error for a request for an attempt that was closed or is unknown.
pub(crate) fn attempt_closed_error(key: &AttemptKey) -> Error {
    Error::new(
        ErrorKind::AttemptClosed,
        format!("attempt {:?} of job {} is not open", key.1, key.0),
    )
}
