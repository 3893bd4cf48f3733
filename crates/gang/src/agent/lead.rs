//! Lead of a gang: starts all members in parallel and renews the gang.

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
use super::state::Key;
use super::state::Pending;
use super::state::Phase;
use super::state::closed_error;
use crate::GangEnd;
use crate::exchange::send_until;
use crate::messages::Bind;
use crate::messages::EndMembers;
use crate::messages::MembersState;
use crate::messages::Renew;
use crate::messages::RenewAnswer;
use crate::messages::Start;
use crate::messages::StartAnswer;
use crate::messages::StartMembers;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_net::Drain;

/// What one renewal round says about the gang.
enum Round {
    /// Every agent answered and every task runs or has finished.
    Whole,
    /// An agent did not answer.
    Silent,
    /// The gang must end.
    Over(GangEnd),
}

impl GangAgent {
    /// Starts the whole gang; repeats wait for the same start.
    pub(super) async fn start(&self, message: Start) -> Result<StartAnswer> {
        let key = (message.job, message.attempt);
        self.shared.state.borrow().check_open(&key)?;
        let repeated = self.with_gang(&key, |gang| gang.gang_start.clone());
        if let Some(start) = repeated.flatten() {
            return Ok(start.await);
        }
        self.check_start(message.epoch)?;
        let start: Pending<StartAnswer> = {
            let mut state = self.shared.state.borrow_mut();
            let Some(gang) = state.gangs.get_mut(&key) else {
                return Err(closed_error(&key));
            };
            let bind = match (gang.phase, &gang.bind) {
                (Phase::Bound { .. }, Some(bind)) => Rc::clone(bind),
                _ => return Err(closed_error(&key)),
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
        // The start goes on when the request that asked for it is dropped.
        compio::runtime::spawn(start.clone().map(drop)).detach();
        Ok(start.await)
    }

    async fn start_gang(&self, key: Key, epoch: Epoch, bind: Rc<Bind>) -> StartAnswer {
        let members = by_agent(&bind);
        let message = StartMembers {
            job: key.0.clone(),
            attempt: key.1,
            epoch,
        };
        let began = Instant::now();
        let deadline = began + self.timings().step;
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
                "job {} attempt {:?}: {agent} did not start: {error}",
                key.0, key.1
            );
            self.end(&key, GangEnd::Failed);
            self.spawn_end(key, members, GangEnd::Failed);
            return StartAnswer::Failed { agent, error };
        }
        info!("job {} attempt {:?} runs", key.0, key.1);
        self.spawn_lead(key, members, Some(began));
        StartAnswer::Started
    }

    /// Resumes the lead of a gang whose tasks were running before this agent restarted.
    pub(super) fn rejoin_as_lead(&self, key: Key, bind: &Bind) {
        self.spawn_lead(key, by_agent(bind), None);
    }

    fn spawn_lead(
        &self,
        key: Key,
        members: BTreeMap<SocketAddr, Vec<u32>>,
        began: Option<Instant>,
    ) {
        let agent = self.clone();
        compio::runtime::spawn(async move {
            if let Some(end) = agent.lead(&key, &members, began).await {
                agent.end(&key, end);
                agent.spawn_end(key, members, end);
            }
        })
        .detach();
    }

    /// Renews the gang until it ends; `None` when the agent shuts down.
    ///
    /// `began` is when the start that all members have answered began: their first leases count from
    /// then, and so do the rounds. A lead that rejoins has none and asks for the states first.
    async fn lead(
        &self,
        key: &Key,
        members: &BTreeMap<SocketAddr, Vec<u32>>,
        began: Option<Instant>,
    ) -> Option<GangEnd> {
        let interval = self.timings().renew_interval;
        let mut heard: BTreeMap<SocketAddr, Instant> = members
            .keys()
            .map(|agent| (*agent, Instant::now()))
            .collect();
        let mut extend = began.is_some();
        let mut round = 0;
        let mut known = MembersState::Running;
        let mut next = began.map_or_else(Instant::now, |began| began + interval);
        loop {
            let Some(ending) = self.with_gang(key, |gang| gang.ending.clone()) else {
                return Some(GangEnd::Lost);
            };
            self.wait_for_round(key, next, &ending, &mut known).await;
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
            next = Instant::now() + interval;
            round += 1;
            match self
                .round(key, members, &mut heard, &mut round, extend)
                .await
            {
                Round::Whole => extend = true,
                Round::Silent => extend = false,
                Round::Over(end) => return Some(end),
            }
        }
    }

    /// Waits until `next`, until the gang is told to end, or until the state of the lead's own members
    /// is no longer the `known` one.
    ///
    /// The tasks of a gang mostly finish together, so a round right after the lead's own ones finds the
    /// end of the gang long before the next regular round.
    async fn wait_for_round(
        &self,
        key: &Key,
        next: Instant,
        ending: &Drain,
        known: &mut MembersState,
    ) {
        let watch_interval = self.timings().watch_interval;
        loop {
            let pause = next
                .saturating_duration_since(Instant::now())
                .min(watch_interval);
            select(pin!(compio::time::sleep(pause)), pin!(ending.started())).await;
            let is_due = Instant::now() >= next;
            if is_due || ending.is_started() || self.shared.shutdown.is_started() {
                return;
            }
            let Ok(list) = self.bounded(self.shared.worker.list()).await else {
                continue;
            };
            let state = self.with_gang(key, |gang| {
                gang.update(key, &list);
                gang.answer().state
            });
            if state != Some(*known) {
                *known = state.unwrap_or(MembersState::Gone);
                return;
            }
        }
    }

    async fn round(
        &self,
        key: &Key,
        members: &BTreeMap<SocketAddr, Vec<u32>>,
        heard: &mut BTreeMap<SocketAddr, Instant>,
        round: &mut u64,
        extend: bool,
    ) -> Round {
        let timings = self.timings();
        let message = Renew {
            job: key.0.clone(),
            attempt: key.1,
            round: *round,
            extend,
        };
        let sent = Instant::now();
        let requests = members.keys().map(|agent| async {
            let answer = if *agent == self.shared.address {
                self.renew(message.clone()).await
            } else {
                let limit = timings.renew_interval;
                self.shared.client.send(*agent, &message, limit).await
            };
            (*agent, answer)
        });
        let mut whole = true;
        let mut all_finished = true;
        for (agent, answer) in join_all(requests).await {
            match answer {
                Ok(answer) => {
                    heard.insert(agent, sent);
                    *round = answer.round.max(*round);
                    match verdict(&members[&agent], answer) {
                        Ok(finished) => all_finished &= finished,
                        Err(end) => return Round::Over(end),
                    }
                }
                Err(error) if error.kind == ErrorKind::AttemptClosed => {
                    warn!(
                        "job {} attempt {:?}: {agent} has no such gang",
                        key.0, key.1
                    );
                    return Round::Over(GangEnd::Lost);
                }
                Err(error) => {
                    warn!("job {} attempt {:?}: {agent}: {error}", key.0, key.1);
                    whole = false;
                    all_finished = false;
                    if heard
                        .get(&agent)
                        .is_none_or(|heard| heard.elapsed() >= timings.lease)
                    {
                        return Round::Over(GangEnd::Lost);
                    }
                }
            }
        }
        match (all_finished, whole) {
            (true, _) => Round::Over(GangEnd::Finished),
            (false, true) => Round::Whole,
            (false, false) => Round::Silent,
        }
    }

    /// Tells all other agents of the gang to stop; silent ones stop when their lease lapses.
    fn spawn_end(&self, key: Key, members: BTreeMap<SocketAddr, Vec<u32>>, end: GangEnd) {
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
                    warn!("job {} attempt {:?}: {error}", message.job, message.attempt);
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
        let exchange: Duration = self.timings().exchange;
        send_until(&self.shared.client, to, message, exchange, deadline, || {
            if self.shared.shutdown.is_started() {
                return Err(Error::new(
                    ErrorKind::DeadlineExceeded,
                    "the agent is shutting down",
                ));
            }
            Ok(())
        })
        .await
    }
}

/// Returns whether all of an agent's members have finished, or how the gang must end.
fn verdict(members: &[u32], answer: RenewAnswer) -> Result<bool, GangEnd> {
    // A task that its worker has forgotten is missing from the list that a restarted agent read.
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
