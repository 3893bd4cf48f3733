//! Life cycle of the gang members on this agent's worker.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::join_all;
use futures_util::future::try_join_all;
use log::info;
use log::warn;

use super::GangAgent;
use super::state::AttemptKey;
use super::state::Phase;
use super::state::SharedFuture;
use super::state::attempt_closed_error;
use crate::GangEnd;
use crate::TaskMetadata;
use crate::TaskState;
use crate::messages::Bind;
use crate::messages::EndMembers;
use crate::messages::MembersState;
use crate::messages::Renew;
use crate::messages::RenewAnswer;
use crate::messages::Reserve;
use crate::messages::StartMembers;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::backoff::Backoff;

impl GangAgent {
    /// Reserves resources until the reservation lapses.
    pub(super) fn reserve(&self, message: Reserve) -> Result<()> {
        self.check_start(message.epoch)?;
        if message.attempt.epoch != message.epoch || message.members.is_empty() {
            return Err(Error::new(
                ErrorKind::BadRequest,
                "a reservation needs members and an attempt of the epoch that it carries",
            ));
        }
        let key = (message.job, message.attempt);
        let lease = Duration::from_millis(message.lease_ms).min(self.timings().reservation);
        let created = self.shared.state.borrow_mut().reserve(
            &key,
            message.members,
            Instant::now() + lease,
            self.shared.capacity.get(),
        )?;
        if created {
            self.watch_expiry(key);
        }
        Ok(())
    }

    /// Keeps the reserved resources for the lead's start.
    pub(super) fn bind(&self, message: Bind) -> Result<()> {
        self.check_start(message.epoch)?;
        let key = (message.job.clone(), message.attempt);
        let now = Instant::now();
        let mut state = self.shared.state.borrow_mut();
        state.check_open(&key)?;
        let Some(gang) = state.gangs.get_mut(&key) else {
            return Err(attempt_closed_error(&key));
        };
        match gang.phase {
            Phase::Reserved { until } if now < until => {}
            Phase::Bound { .. } | Phase::Running { .. } => return Ok(()),
            _ => return Err(attempt_closed_error(&key)),
        }
        let members = gang.members.iter();
        let is_lead = message.agents.first() == Some(&self.shared.address);
        if message.agents.is_empty()
            || is_lead
                && !members
                    .clone()
                    .all(|spec| (spec.member as usize) < message.agents.len())
        {
            return Err(Error::new(
                ErrorKind::BadRequest,
                "the bind lists no agent for a member",
            ));
        }
        gang.bind = Some(Rc::new(message));
        let timings = self.timings();
        gang.phase = Phase::Bound {
            start_until: now + timings.reservation,
            until: now + timings.reservation.max(timings.lease),
        };
        state.sequence += 1;
        Ok(())
    }

    /// Starts the tasks on this worker; repeated requests await the same start.
    pub(super) async fn start_members(&self, message: StartMembers) -> Result<()> {
        let key = (message.job, message.attempt);
        if let Some(start) = self.members_start(&key) {
            return start.await;
        }
        self.check_start(message.epoch)?;
        let start = {
            let now = Instant::now();
            let timings = self.timings();
            let mut state = self.shared.state.borrow_mut();
            state.check_open(&key)?;
            let Some(gang) = state.gangs.get_mut(&key) else {
                return Err(attempt_closed_error(&key));
            };
            let Some(bind) = gang.bind.clone() else {
                return Err(attempt_closed_error(&key));
            };
            match gang.phase {
                Phase::Bound { start_until, .. } if now < start_until => {}
                _ => return Err(attempt_closed_error(&key)),
            }
            gang.phase = Phase::Running {
                until: now + timings.lease,
                held_until: now + timings.step_timeout + timings.lease,
            };
            let members = gang.members.clone();
            let agent = self.clone();
            let start: SharedFuture<Result<()>> = async move {
                let tasks = members.iter().map(|spec| TaskMetadata {
                    job: bind.job.clone(),
                    attempt: bind.attempt,
                    member: spec.member,
                    customer: bind.customer.clone(),
                    borrowed: bind.borrowed,
                    // Only member 0 stores the whole list, from which a restarted lead rejoins. A list
                    // in each task would let the stored size grow with the square of the gang's size.
                    agents: if spec.member == 0 {
                        bind.agents.clone()
                    } else {
                        bind.agents.iter().take(1).copied().collect()
                    },
                    cores: spec.cores,
                    memory_mb: spec.memory_mb,
                    accelerators: spec.accelerators,
                    payload: bind.payload.clone(),
                    checkpoint_ms: bind.checkpoint_ms,
                });
                let tasks: Vec<TaskMetadata> = tasks.collect();
                let starts = tasks.iter().map(|task| async {
                    let start = agent.shared.worker.start(task, timings.lease);
                    agent.with_step_timeout(start).await
                });
                // Waits for all starts, because a start that is still in flight would take effect
                // after the stop that follows a failure.
                join_all(starts).await.into_iter().collect()
            }
            .boxed_local()
            .shared();
            gang.members_start = Some(start.clone());
            state.sequence += 1;
            start
        };
        // Lets the start continue when the request is dropped.
        compio::runtime::spawn(start.clone().map(drop)).detach();
        let result = start.await;
        if let Err(error) = &result {
            warn!("job {} attempt {:?}: start failed: {error}", key.0, key.1);
            self.end(&key, GangEnd::Failed);
        }
        result
    }

    fn members_start(&self, key: &AttemptKey) -> Option<SharedFuture<Result<()>>> {
        let state = self.shared.state.borrow();
        let gang = state.gangs.get(key)?;
        match gang.phase {
            Phase::Running { .. } => gang.members_start.clone(),
            _ => None,
        }
    }

    /// Returns the states of the tasks and, if the lead requests it, renews their leases.
    pub(super) async fn renew(&self, message: Renew) -> Result<RenewAnswer> {
        let key = (message.job, message.attempt);
        let timings = self.timings();
        if !self.is_running(&key) {
            return self.final_answer(&key);
        }
        let list = self.with_step_timeout(self.shared.worker.list()).await?;
        let sent_at = Instant::now();
        let (answer, running) = {
            let mut state = self.shared.state.borrow_mut();
            let Some(gang) = state.gangs.get_mut(&key) else {
                return Err(attempt_closed_error(&key));
            };
            let Phase::Running { until, held_until } = &mut gang.phase else {
                drop(state);
                return self.final_answer(&key);
            };
            // A renewal that was delayed in transit must not extend the lease once a later round was received.
            let extend = message.extend && message.round > gang.round && sent_at < *until;
            if extend {
                gang.round = message.round;
                *until = sent_at + timings.lease;
                *held_until = sent_at + timings.step_timeout + timings.lease;
            }
            gang.update_tasks(&key, &list);
            let answer = gang.renew_answer();
            let running = gang.tasks.iter();
            let running = running.filter(|task| task.state == Some(TaskState::Running));
            let running: Vec<u32> = running.map(|task| task.member).collect();
            if !extend || answer.state < MembersState::Running {
                return Ok(answer);
            }
            (answer, running)
        };
        let renewals = running.iter().map(|member| {
            let worker = &self.shared.worker;
            self.with_step_timeout(worker.renew(&key.0, key.1, *member, timings.lease))
        });
        try_join_all(renewals).await?;
        self.with_gang(&key, |gang| {
            if let Phase::Running { held_until, .. } = &mut gang.phase {
                *held_until = Instant::now() + timings.lease;
            }
        });
        Ok(answer)
    }

    fn is_running(&self, key: &AttemptKey) -> bool {
        let running = self.with_gang(key, |gang| matches!(gang.phase, Phase::Running { .. }));
        running == Some(true)
    }

    fn final_answer(&self, key: &AttemptKey) -> Result<RenewAnswer> {
        let state = self.shared.state.borrow();
        match state.gangs.get(key) {
            Some(gang) if matches!(gang.phase, Phase::Ending { .. } | Phase::Ended { .. }) => {
                let mut answer = gang.renew_answer();
                // A task that is being stopped no longer counts as running.
                if answer.state == MembersState::Running {
                    answer.state = MembersState::Gone;
                }
                Ok(answer)
            }
            None if state.closed_end(key) == Some(GangEnd::Finished) => Ok(RenewAnswer {
                round: 0,
                members: None,
                state: MembersState::Finished,
            }),
            _ => Err(attempt_closed_error(key)),
        }
    }

    /// Stops the tasks because the lead ended the gang.
    pub(super) async fn end_members(&self, message: EndMembers) -> Result<()> {
        let key = (message.job, message.attempt);
        if let Some(stop) = self.end(&key, message.end) {
            stop.await;
        }
        Ok(())
    }

    /// Ends the gang on this agent and closes the attempt; returns the stop of its tasks.
    pub(super) fn end(&self, key: &AttemptKey, end: GangEnd) -> Option<SharedFuture<()>> {
        let mut state = self.shared.state.borrow_mut();
        state.close(key, end, self.timings().tombstone_retention);
        let gang = state.gangs.get_mut(key)?;
        match gang.phase {
            Phase::Reserved { .. } | Phase::Bound { .. } => {
                gang.ending.start();
                state.gangs.remove(key);
                return None;
            }
            Phase::Ending { .. } | Phase::Ended { .. } => return gang.stop.clone(),
            Phase::Running { held_until, .. } => gang.phase = Phase::Ending { end, held_until },
        }
        info!("job {} attempt {:?}: ending: {end:?}", key.0, key.1);
        gang.ending.start();
        let agent = self.clone();
        let key = key.clone();
        let stop = async move { agent.stop_tasks(&key, end).await }
            .boxed_local()
            .shared();
        gang.stop = Some(stop.clone());
        drop(state);
        compio::runtime::spawn(stop.clone()).detach();
        Some(stop)
    }

    /// Stops all tasks of a gang; returns once they are stopped or their leases on the worker have lapsed.
    async fn stop_tasks(&self, key: &AttemptKey, end: GangEnd) {
        let start = self
            .with_gang(key, |gang| gang.members_start.clone())
            .flatten();
        let is_start_uncertain = match start {
            Some(start) => start.await.is_err(),
            None => false,
        };
        let held_until = self.with_gang(key, |gang| match gang.phase {
            Phase::Ending { held_until, .. } => held_until,
            _ => Instant::now(),
        });
        let held_until = held_until.unwrap_or_else(Instant::now);
        if let Ok(list) = self.with_step_timeout(self.shared.worker.list()).await {
            self.with_gang(key, |gang| gang.update_tasks(key, &list));
        }
        let mut backoff = Backoff::new(
            self.timings().request_timeout / 8,
            self.timings().request_timeout,
        );
        loop {
            // Finished tasks stay on the worker until the owner has acknowledged the final report,
            // so that a restarted agent can report them again.
            let members = self.with_gang(key, |gang| {
                let ended = [Some(TaskState::Finished), Some(TaskState::Stopped)];
                let tasks = gang.tasks.iter();
                let tasks =
                    tasks.filter(|task| end != GangEnd::Finished || !ended.contains(&task.state));
                tasks.map(|task| task.member).collect::<Vec<u32>>()
            });
            let stops = members.into_iter().flatten().map(|member| {
                self.with_step_timeout(self.shared.worker.stop(&key.0, key.1, member))
            });
            let stopped = join_all(stops).await.into_iter().all(|stop| stop.is_ok());
            // A start whose outcome is unknown can still take effect after a stop.
            if stopped && !is_start_uncertain || Instant::now() >= held_until {
                break;
            }
            compio::time::sleep(backoff.next_delay()).await;
        }
        let mut state = self.shared.state.borrow_mut();
        state.sequence += 1;
        let sequence = state.sequence;
        if let Some(gang) = state.gangs.get_mut(key) {
            for task in &mut gang.tasks {
                if task.state == Some(TaskState::Running) {
                    task.state = Some(TaskState::Stopped);
                }
            }
            gang.phase = Phase::Ended { end, sequence };
        }
    }

    /// Ends all gangs on this agent; for an agent whose view was not confirmed for too long.
    pub async fn end_all(&self) {
        let keys: Vec<AttemptKey> = self.shared.state.borrow().gangs.keys().cloned().collect();
        let stops = keys.iter().filter_map(|key| self.end(key, GangEnd::Lapsed));
        join_all(stops.collect::<Vec<_>>()).await;
    }

    /// Removes ended tasks from the worker's list.
    pub(super) fn remove_tasks(&self, attempts: Vec<(AttemptKey, Vec<u32>)>) {
        let agent = self.clone();
        compio::runtime::spawn(async move {
            for (key, members) in attempts {
                for member in members {
                    let _ = agent
                        .with_step_timeout(agent.shared.worker.stop(&key.0, key.1, member))
                        .await;
                }
            }
        })
        .detach();
    }

    /// Ends the gang on this agent when its reservation, bind or lease lapses.
    pub(super) fn watch_expiry(&self, key: AttemptKey) {
        let agent = self.clone();
        compio::runtime::spawn(async move {
            while !agent.shared.shutdown.is_started() {
                let until = agent.with_gang(&key, |gang| match gang.phase {
                    Phase::Reserved { until }
                    | Phase::Bound { until, .. }
                    | Phase::Running { until, .. } => Some(until),
                    Phase::Ending { .. } | Phase::Ended { .. } => None,
                });
                let Some(until) = until.flatten() else {
                    return;
                };
                let remaining = until.saturating_duration_since(Instant::now());
                if remaining.is_zero() {
                    agent.end(&key, GangEnd::Lapsed);
                    return;
                }
                compio::time::sleep(remaining).await;
            }
        })
        .detach();
    }

    pub(super) fn with_gang<T>(
        &self,
        key: &AttemptKey,
        f: impl FnOnce(&mut super::state::Gang) -> T,
    ) -> Option<T> {
        self.shared.state.borrow_mut().gangs.get_mut(key).map(f)
    }

    /// Limits a call to the worker to the timeout of a step.
    pub(super) async fn with_step_timeout<T>(
        &self,
        call: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        match compio::time::timeout(self.timings().step_timeout, call).await {
            Ok(result) => result,
            Err(_) => Err(Error::new(
                ErrorKind::UnknownOutcome,
                format!("worker {} did not answer", self.shared.worker.worker()),
            )),
        }
    }
}
