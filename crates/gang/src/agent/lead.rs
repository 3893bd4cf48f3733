//! Lead of a gang: starts all members concurrently and renews their leases.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::join_all;
use futures_util::future::select;
use futures_util::future::try_join_all;
use log::info;
use log::warn;

use super::GangAgent;
use super::state::AttemptKey;
use super::state::Phase;
use super::state::SharedFuture;
use super::state::attempt_closed_error;
use crate::GangEnd;
use crate::messages::Bind;
use crate::messages::EndMembers;
use crate::messages::MembersState;
use crate::messages::Renew;
use crate::messages::RenewAnswer;
use crate::messages::Start;
use crate::messages::StartAnswer;
use crate::messages::StartMembers;
use crate::retry::send_until;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_net::Drain;

/// Result of one renewal round.
enum RoundResult {
    /// Every agent answered, and every task runs or has finished.
    Complete,
    /// At least one agent did not answer.
    AnswerMissing,
    /// The gang must end.
    Ended(GangEnd),
}

impl GangAgent {
    /// Starts the whole gang; repeated requests await the same start.
    pub(super) async fn start(&self, message: Start) -> Result<StartAnswer> {
        let key = (message.job, message.attempt);
        self.shared.state.borrow().check_open(&key)?;
        let existing = self.with_gang(&key, |gang| gang.gang_start.clone());
        if let Some(start) = existing.flatten() {
            return Ok(start.await);
        }
        self.check_start(message.epoch)?;
        let start: SharedFuture<StartAnswer> = {
            let mut state = self.shared.state.borrow_mut();
            let Some(gang) = state.gangs.get_mut(&key) else {
                return Err(attempt_closed_error(&key));
            };
            let bind = match (gang.phase, &gang.bind) {
                (Phase::Bound { .. }, Some(bind)) => Rc::clone(bind),
                _ => return Err(attempt_closed_error(&key)),
            };
            if bind.agents.first() != Some(&self.shared.address) {
                return Err(Error::new(
                    ErrorKind::BadRequest,
                    "this agent is not the lead of the gang",
                ));
            }
            let agent = self.clone();
            let key = key.clone();
            let start = async move { agent.start_gang(key, message.epoch, bind).await }
                .boxed_local()
                .shared();
            gang.gang_start = Some(start.clone());
            start
        };
        // Lets the start continue when the request is dropped.
        compio::runtime::spawn(start.clone().map(drop)).detach();
        Ok(start.await)
    }

    async fn start_gang(&self, key: AttemptKey, epoch: Epoch, bind: Rc<Bind>) -> StartAnswer {
        let members = by_agent(&bind);
        let message = StartMembers {
            job: key.0.clone(),
            attempt: key.1,
            epoch,
        };
        let started_at = Instant::now();
        let deadline = started_at + self.timings().step_timeout;
        let starts = members.keys().map(|agent| async {
            let started = if *agent == self.shared.address {
                self.start_members(message.clone()).await
            } else {
                self.send(*agent, &message, deadline).await
            };
            started.map_err(|error| (*agent, error))
        });
        if let Err((agent, error)) = try_join_all(starts).await {
            warn!(
                "job {} attempt {:?}: {agent} did not start its members: {error}",
                key.0, key.1
            );
            self.end(&key, GangEnd::Failed);
            self.spawn_end(key, members, GangEnd::Failed);
            return StartAnswer::Failed { agent, error };
        }
        info!("job {} attempt {:?}: all members run", key.0, key.1);
        self.spawn_lead(key, members, Some(started_at));
        StartAnswer::Started
    }

    /// Resumes leading a gang whose tasks were running before this agent restarted.
    pub(super) fn resume_as_lead(&self, key: AttemptKey, bind: &Bind) {
        self.spawn_lead(key, by_agent(bind), None);
    }

    fn spawn_lead(
        &self,
        key: AttemptKey,
        members: BTreeMap<SocketAddr, Vec<u32>>,
        started_at: Option<Instant>,
    ) {
        let agent = self.clone();
        compio::runtime::spawn(async move {
            if let Some(end) = agent.run_lead(&key, &members, started_at).await {
                agent.end(&key, end);
                agent.spawn_end(key, members, end);
            }
        })
        .detach();
    }

    /// Renews the gang until it ends; returns `None` when the agent shuts down.
    ///
    /// `started_at` is the beginning of the start that all members have confirmed; the rounds and the
    /// members' first leases count from it. A lead that rejoins has none, so its first round only queries
    /// the states.
    async fn run_lead(
        &self,
        key: &AttemptKey,
        members: &BTreeMap<SocketAddr, Vec<u32>>,
        started_at: Option<Instant>,
    ) -> Option<GangEnd> {
        let interval = self.timings().renew_interval;
        let mut answered_at: BTreeMap<SocketAddr, Instant> = members
            .keys()
            .map(|agent| (*agent, Instant::now()))
            .collect();
        let mut extend = started_at.is_some();
        let mut round = 0;
        let mut own_state = MembersState::Running;
        let mut next_round =
            started_at.map_or_else(Instant::now, |started_at| started_at + interval);
        loop {
            let Some(ending) = self.with_gang(key, |gang| gang.ending.clone()) else {
                return Some(GangEnd::Lost);
            };
            self.wait_for_round(key, next_round, &ending, &mut own_state)
                .await;
            if self.shared.shutdown.is_started() {
                return None;
            }
            match self.with_gang(key, |gang| gang.phase) {
                Some(Phase::Running { .. }) => {}
                Some(Phase::Ending { end, .. } | Phase::Ended { end, .. }) => return Some(end),
                Some(Phase::Reserved { .. } | Phase::Bound { .. }) | None => {
                    return Some(GangEnd::Lost);
                }
            }
            next_round = Instant::now() + interval;
            round += 1;
            match self
                .run_round(key, members, &mut answered_at, &mut round, extend)
                .await
            {
                RoundResult::Complete => extend = true,
                RoundResult::AnswerMissing => extend = false,
                RoundResult::Ended(end) => return Some(end),
            }
        }
    }

    /// Waits until `next_round`, until the gang ends on this agent, or until the state of the lead's own
    /// members differs from `own_state`, which is then updated.
    ///
    /// The tasks of a gang mostly finish together, so a round right after the end of the lead's own tasks
    /// detects the end of the gang long before the next regular round.
    async fn wait_for_round(
        &self,
        key: &AttemptKey,
        next_round: Instant,
        ending: &Drain,
        own_state: &mut MembersState,
    ) {
        let task_poll_interval = self.timings().task_poll_interval;
        loop {
            let pause = next_round
                .saturating_duration_since(Instant::now())
                .min(task_poll_interval);
            select(pin!(compio::time::sleep(pause)), pin!(ending.started())).await;
            let is_due = Instant::now() >= next_round;
            if is_due || ending.is_started() || self.shared.shutdown.is_started() {
                return;
            }
            let Ok(list) = self.with_step_timeout(self.shared.worker.list()).await else {
                continue;
            };
            let state = self.with_gang(key, |gang| {
                gang.update_tasks(key, &list);
                gang.renew_answer().state
            });
            if state != Some(*own_state) {
                *own_state = state.unwrap_or(MembersState::Gone);
                return;
            }
        }
    }

    async fn run_round(
        &self,
        key: &AttemptKey,
        members: &BTreeMap<SocketAddr, Vec<u32>>,
        answered_at: &mut BTreeMap<SocketAddr, Instant>,
        round: &mut u64,
        extend: bool,
    ) -> RoundResult {
        let timings = self.timings();
        let message = Renew {
            job: key.0.clone(),
            attempt: key.1,
            round: *round,
            extend,
        };
        let sent_at = Instant::now();
        let requests = members.keys().map(|agent| async {
            let answer = if *agent == self.shared.address {
                self.renew(message.clone()).await
            } else {
                let limit = timings.renew_interval;
                self.shared.client.send(*agent, &message, limit).await
            };
            (*agent, answer)
        });
        let mut all_answered = true;
        let mut all_finished = true;
        for (agent, answer) in join_all(requests).await {
            match answer {
                Ok(answer) => {
                    answered_at.insert(agent, sent_at);
                    *round = answer.round.max(*round);
                    match check_answer(&members[&agent], answer) {
                        Ok(finished) => all_finished &= finished,
                        Err(end) => return RoundResult::Ended(end),
                    }
                }
                Err(error) if error.kind == ErrorKind::AttemptClosed => {
                    warn!(
                        "job {} attempt {:?}: {agent} does not know the gang",
                        key.0, key.1
                    );
                    return RoundResult::Ended(GangEnd::Lost);
                }
                Err(error) => {
                    warn!(
                        "job {} attempt {:?}: no renewal by {agent}: {error}",
                        key.0, key.1
                    );
                    all_answered = false;
                    all_finished = false;
                    if answered_at
                        .get(&agent)
                        .is_none_or(|answered_at| answered_at.elapsed() >= timings.lease)
                    {
                        return RoundResult::Ended(GangEnd::Lost);
                    }
                }
            }
        }
        match (all_finished, all_answered) {
            (true, _) => RoundResult::Ended(GangEnd::Finished),
            (false, true) => RoundResult::Complete,
            (false, false) => RoundResult::AnswerMissing,
        }
    }

    /// Commands all other agents of the gang to stop; unresponsive ones stop when their lease lapses.
    fn spawn_end(&self, key: AttemptKey, members: BTreeMap<SocketAddr, Vec<u32>>, end: GangEnd) {
        let agent = self.clone();
        compio::runtime::spawn(async move {
            let message = EndMembers {
                job: key.0,
                attempt: key.1,
                end,
            };
            let deadline = Instant::now() + agent.timings().lease;
            let sends = members
                .keys()
                .filter(|member| **member != agent.shared.address)
                .map(|member| agent.send(*member, &message, deadline));
            for result in join_all(sends).await {
                if let Err(error) = result {
                    warn!(
                        "job {} attempt {:?}: cannot end a member: {error}",
                        message.job, message.attempt
                    );
                }
            }
        })
        .detach();
    }

    async fn send<M: nutmegwalk_net::Message>(
        &self,
        to: SocketAddr,
        message: &M,
        deadline: Instant,
    ) -> Result<M::Answer> {
        let request_timeout: Duration = self.timings().request_timeout;
        send_until(
            &self.shared.client,
            to,
            message,
            request_timeout,
            deadline,
            || {
                if self.shared.shutdown.is_started() {
                    return Err(Error::new(
                        ErrorKind::DeadlineExceeded,
                        "the agent is shutting down",
                    ));
                }
                Ok(())
            },
        )
        .await
    }
}

/// Returns whether all `members` of an agent have finished, or else how the gang must end.
fn check_answer(members: &[u32], answer: RenewAnswer) -> Result<bool, GangEnd> {
    // A restarted agent knows only the tasks that its worker listed, so it may report too few members.
    let is_complete = answer
        .members
        .is_none_or(|count| usize::try_from(count) == Ok(members.len()));
    match answer.state {
        MembersState::Failed => Err(GangEnd::Failed),
        MembersState::Gone => Err(GangEnd::Lost),
        _ if !is_complete => Err(GangEnd::Lost),
        MembersState::Running => Ok(false),
        MembersState::Finished => Ok(true),
    }
}

/// Groups the members of a gang by agent.
fn by_agent(bind: &Bind) -> BTreeMap<SocketAddr, Vec<u32>> {
    let mut members: BTreeMap<SocketAddr, Vec<u32>> = BTreeMap::new();
    for (member, agent) in (0..).zip(&bind.agents) {
        members.entry(*agent).or_default().push(member);
    }
    members
}
