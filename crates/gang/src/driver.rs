//! Owner side of the gang protocol.

mod handle;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::Either;
use futures_util::future::join_all;
use futures_util::future::select;
use futures_util::future::try_join_all;
use handle::Plan;

use crate::Attempt;
use crate::GangTimings;
use crate::MemberReport;
use crate::MemberSpec;
use crate::StartPermission;
use crate::messages::Abort;
use crate::messages::Bind;
use crate::messages::Checkpoint;
use crate::messages::Reserve;
use crate::messages::Start;
use crate::messages::StartAnswer;
use crate::messages::Stop;
use crate::messages::Throttle;
use crate::retry::send_until;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_base::backoff::Backoff;
use nutmegwalk_net::Client;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Message;

pub use handle::Bound;
pub use handle::GangHandle;
pub use handle::GangMember;
pub use handle::GangSpec;
pub use handle::Releasing;
pub use handle::Reserved;
pub use handle::Running;
pub use handle::StartFailure;
pub use handle::Stopped;

/// Cancellation signals of the starts in progress.
type StartsInProgress = HashMap<(JobId, Attempt), Weak<Drain>>;

/// Starts and stops gangs for the owner of a data centre; clones share the set of starts in progress.
#[derive(Clone)]
pub struct GangDriver {
    client: Client,
    timings: GangTimings,
    permission: Option<Rc<dyn StartPermission>>,
    starting: Rc<RefCell<StartsInProgress>>,
}

impl fmt::Debug for GangDriver {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("GangDriver").finish_non_exhaustive()
    }
}

impl GangDriver {
    /// Creates a driver that sends through `client`.
    #[must_use]
    pub fn new(client: Client) -> Self {
        Self {
            client,
            timings: GangTimings::default(),
            permission: None,
            starting: Rc::default(),
        }
    }

    /// Sets the intervals of the protocol.
    #[must_use]
    pub fn with_timings(mut self, timings: GangTimings) -> Self {
        self.timings = timings;
        self
    }

    /// Sets the check of the owner's lease and view that is made before each command that prepares or
    /// starts tasks.
    #[must_use]
    pub fn with_permission(mut self, permission: Rc<dyn StartPermission>) -> Self {
        self.permission = Some(permission);
        self
    }

    /// Starts all members of a gang, or none.
    ///
    /// # Errors
    /// The first error of an agent or of the permission check, or `attempt_closed` after
    /// [`GangDriver::cancel`]. The attempt is aborted before this returns. An unresponsive agent delays
    /// that by one request timeout, or until the quiet period has passed if the lead was commanded to start.
    pub async fn start(&self, spec: GangSpec) -> Result<GangHandle<Running>, StartFailure> {
        let reserved = self.reserve(spec).await?;
        let bound = self.bind(reserved).await?;
        self.launch(bound).await
    }

    /// Cancels a start, which then fails; returns whether such a start is in progress.
    pub fn cancel(&self, job: &str, attempt: Attempt) -> bool {
        let starting = self.starting.borrow();
        let cancel = starting.get(&(job.into(), attempt)).and_then(Weak::upgrade);
        if let Some(cancel) = &cancel {
            cancel.start();
        }
        cancel.is_some()
    }

    /// Takes over a gang that an earlier owner started; its commands carry the new owner's `epoch`.
    #[must_use]
    pub fn adopt(&self, spec: GangSpec, epoch: Epoch) -> GangHandle<Running> {
        GangHandle {
            plan: Rc::new(Plan::new(spec, epoch)),
            state: Running,
        }
    }

    /// Reserves all members.
    ///
    /// # Errors
    /// As for [`GangDriver::start`].
    pub async fn reserve(&self, spec: GangSpec) -> Result<GangHandle<Reserved>, StartFailure> {
        let epoch = spec.attempt.epoch;
        let plan = Rc::new(Plan::new(spec, epoch));
        if let Err(error) = plan.validate() {
            return Err(StartFailure {
                worker: None,
                error,
                is_stop_confirmed: true,
            });
        }
        let lease_ms = u64::try_from(self.timings.reservation.as_millis()).unwrap_or(u64::MAX);
        {
            let mut starting = self.starting.borrow_mut();
            starting.retain(|_, cancel| cancel.strong_count() > 0);
            starting.insert(plan.key(), Rc::downgrade(&plan.cancel));
        }
        // Only half a step, because urgent jobs wait while a failed reservation is retried on other workers.
        let limit = self.timings.step_timeout / 2;
        let step = self.send_to_all(&plan, limit, |_, members| Reserve {
            job: plan.spec.job.clone(),
            attempt: plan.spec.attempt,
            epoch,
            members: members.to_vec(),
            lease_ms,
        });
        self.finish_step(&plan, step, false).await?;
        Ok(GangHandle {
            plan,
            state: Reserved,
        })
    }

    /// Binds all members and designates the lead.
    ///
    /// # Errors
    /// As for [`GangDriver::start`].
    pub async fn bind(
        &self,
        gang: GangHandle<Reserved>,
    ) -> Result<GangHandle<Bound>, StartFailure> {
        let plan = Rc::clone(&gang.plan);
        let spec = &plan.spec;
        let agents: Vec<SocketAddr> = spec.members.iter().map(|member| member.agent).collect();
        let lead = plan.lead();
        let step = self.send_to_all(&plan, self.timings.step_timeout, |agent, _| Bind {
            job: spec.job.clone(),
            attempt: spec.attempt,
            epoch: plan.epoch,
            agents: if Some(agent) == lead {
                agents.clone()
            } else {
                lead.into_iter().collect()
            },
            customer: spec.customer.clone(),
            borrowed: spec.borrowed,
            payload: spec.payload.clone(),
            checkpoint_ms: spec.checkpoint_ms,
        });
        self.finish_step(&plan, step, false).await?;
        Ok(gang.into_state(Bound))
    }

    /// Commands the lead to start the gang.
    ///
    /// # Errors
    /// As for [`GangDriver::start`].
    pub async fn launch(
        &self,
        gang: GangHandle<Bound>,
    ) -> Result<GangHandle<Running>, StartFailure> {
        let plan = Rc::clone(&gang.plan);
        let step = async {
            let Some(lead) = plan.lead() else {
                return Err((
                    None,
                    Error::new(ErrorKind::BadRequest, "the gang has no members"),
                ));
            };
            let message = Start {
                job: plan.spec.job.clone(),
                attempt: plan.spec.attempt,
                epoch: plan.epoch,
            };
            // The lead itself may use a whole step, so its answer gets one request timeout more.
            let limit = self.timings.step_timeout + self.timings.request_timeout;
            let deadline = Instant::now() + limit;
            let answer = self.send(lead, &message, limit, deadline, plan.epoch).await;
            match answer {
                Ok(StartAnswer::Started) => Ok(()),
                Ok(StartAnswer::Failed { agent, error }) => Err((Some(agent), error)),
                Err(error) => Err((Some(lead), error)),
            }
        };
        self.finish_step(&plan, step, true).await?;
        self.starting.borrow_mut().remove(&plan.key());
        Ok(gang.into_state(Running))
    }

    /// Aborts a gang that was not started.
    pub async fn abort<S>(&self, gang: GangHandle<S>) -> GangHandle<Stopped> {
        let is_stop_confirmed = self.abort_all(&gang.plan, true).await;
        self.starting.borrow_mut().remove(&gang.plan.key());
        gang.into_state(Stopped {
            members: Vec::new(),
            is_stop_confirmed,
        })
    }

    /// Stops a gang; returns once its end is confirmed or can no longer be confirmed.
    pub async fn stop(&self, gang: GangHandle<Running>) -> GangHandle<Stopped> {
        let (members, is_stop_confirmed) = self.stop_all(&gang.plan).await;
        gang.into_state(Stopped {
            members,
            is_stop_confirmed,
        })
    }

    /// Requests checkpoints from all members and stops the gang once all have answered or `within` has passed.
    pub async fn checkpoint_and_stop(
        &self,
        gang: GangHandle<Running>,
        within: Duration,
    ) -> GangHandle<Stopped> {
        let releasing = self.release(gang, within).await;
        self.confirm_stop(releasing).await
    }

    /// Requests checkpoints from all members and stops the members whose agents answer.
    ///
    /// An unresponsive agent delays the stop after the checkpoints by one request timeout only, so that the
    /// capacity of the other members is free long before the lease of the unresponsive member has provably
    /// lapsed.
    pub async fn release(
        &self,
        gang: GangHandle<Running>,
        within: Duration,
    ) -> GangHandle<Releasing> {
        let plan = &gang.plan;
        let message = Checkpoint {
            job: plan.spec.job.clone(),
            attempt: plan.spec.attempt,
            epoch: plan.epoch,
            within_ms: u64::try_from(within.as_millis()).unwrap_or(u64::MAX),
            stop: true,
        };
        let deadline = Instant::now() + within;
        let sends = plan.by_agent.keys().map(|agent| async {
            let (client, request_timeout) = (&self.client, within);
            send_until(client, *agent, &message, request_timeout, deadline, || {
                Ok(())
            })
            .await
        });
        let checkpoints: Vec<MemberReport> = join_all(sends)
            .await
            .into_iter()
            .flatten()
            .flatten()
            .collect();
        let request_timeout = self.timings.request_timeout;
        let message = stop_message(plan);
        let first_closed_at = Cell::new(None);
        let stops = plan.by_agent.keys().map(|agent| async {
            let deadline = Instant::now() + request_timeout;
            let answer = send_until(
                &self.client,
                *agent,
                &message,
                request_timeout,
                deadline,
                || Ok(()),
            )
            .await;
            if answer.is_ok() && first_closed_at.get().is_none() {
                first_closed_at.set(Some(Instant::now()));
            }
            (*agent, answer)
        });
        let mut answers: BTreeMap<_, _> = join_all(stops).await.into_iter().collect();
        for member in answers.values_mut().flatten().flatten() {
            let checkpoint = checkpoints
                .iter()
                .find(|other| other.member == member.member);
            let checkpoint_ms = checkpoint.map_or(0, |other| other.checkpoint_ms);
            member.checkpoint_ms = member.checkpoint_ms.max(checkpoint_ms);
        }
        gang.into_state(Releasing {
            answers,
            first_closed_at: first_closed_at.get(),
        })
    }

    /// Repeats the stop to the agents that did not answer, until each has answered or the quiet period has passed.
    pub async fn confirm_stop(&self, gang: GangHandle<Releasing>) -> GangHandle<Stopped> {
        let Releasing {
            answers,
            first_closed_at,
        } = &gang.state;
        let unanswered = answers.iter().filter(|(_, answer)| answer.is_err());
        let unanswered: Vec<SocketAddr> = unanswered.map(|(agent, _)| *agent).collect();
        let late_answers = if unanswered.is_empty() {
            Vec::new()
        } else {
            let message = stop_message(&gang.plan);
            self.send_until_closed(unanswered.into_iter(), *first_closed_at, &message)
                .await
        };
        let received = answers.values().filter(|answer| answer.is_ok()).cloned();
        let all: Vec<Result<Vec<MemberReport>>> = received.chain(late_answers).collect();
        let is_stop_confirmed = is_stop_confirmed(&all, true);
        let members = sorted_members(all);
        gang.into_state(Stopped {
            members,
            is_stop_confirmed,
        })
    }

    /// Limits all members to `share_percent` of their processor time.
    ///
    /// # Errors
    /// The first error of an agent.
    pub async fn throttle(&self, gang: &GangHandle<Running>, share_percent: u32) -> Result<()> {
        let plan = &gang.plan;
        let message = Throttle {
            job: plan.spec.job.clone(),
            attempt: plan.spec.attempt,
            epoch: plan.epoch,
            share_percent,
        };
        let deadline = Instant::now() + self.timings.step_timeout;
        let request_timeout = self.timings.request_timeout;
        let sends = plan.by_agent.keys().map(|agent| {
            send_until(
                &self.client,
                *agent,
                &message,
                request_timeout,
                deadline,
                || Ok(()),
            )
        });
        try_join_all(sends).await.map(drop)
    }

    /// Sends each agent its message; returns once all have answered or one has failed.
    async fn send_to_all<M: Message>(
        &self,
        plan: &Plan,
        limit: Duration,
        message: impl Fn(SocketAddr, &[MemberSpec]) -> M,
    ) -> Result<(), (Option<SocketAddr>, Error)> {
        let deadline = Instant::now() + limit;
        let request_timeout = self.timings.request_timeout;
        let sends = plan.by_agent.iter().map(|(agent, members)| {
            let message = message(*agent, members);
            async move {
                let answer = self
                    .send(*agent, &message, request_timeout, deadline, plan.epoch)
                    .await;
                answer.map_err(|error| (Some(*agent), error))
            }
        });
        try_join_all(sends).await.map(drop)
    }

    async fn send<M: Message>(
        &self,
        to: SocketAddr,
        message: &M,
        request_timeout: Duration,
        deadline: Instant,
        epoch: Epoch,
    ) -> Result<M::Answer> {
        let check = || match &self.permission {
            Some(permission) => permission.check(epoch),
            None => Ok(()),
        };
        send_until(&self.client, to, message, request_timeout, deadline, check).await
    }

    /// Waits for a step; a failure or a cancellation aborts the attempt.
    async fn finish_step(
        &self,
        plan: &Plan,
        step: impl Future<Output = Result<(), (Option<SocketAddr>, Error)>>,
        may_have_started: bool,
    ) -> Result<(), StartFailure> {
        let key = plan.key();
        let cancel = &plan.cancel;
        let result = if cancel.is_started() {
            Err(None)
        } else {
            match select(pin!(step), pin!(cancel.started())).await {
                Either::Left((Ok(()), _)) if cancel.is_started() => Err(None),
                Either::Left((result, _)) => result.map_err(Some),
                Either::Right(_) => Err(None),
            }
        };
        let Err(failure) = result else {
            return Ok(());
        };
        let (agent, error) = failure.unwrap_or_else(|| {
            let error = Error::new(ErrorKind::AttemptClosed, "the start was cancelled");
            (None, error)
        });
        let is_stop_confirmed = self.abort_all(plan, may_have_started).await;
        self.starting.borrow_mut().remove(&key);
        Err(StartFailure {
            worker: agent.and_then(|agent| plan.worker(agent)),
            error,
            is_stop_confirmed,
        })
    }

    async fn abort_all(&self, plan: &Plan, may_have_started: bool) -> bool {
        let message = Abort {
            job: plan.spec.job.clone(),
            attempt: plan.spec.attempt,
            epoch: plan.epoch,
        };
        let answers = if may_have_started {
            self.send_until_closed(plan.by_agent.keys().copied(), None, &message)
                .await
        } else {
            // Before the start command nothing can run, and resources held on an unresponsive agent lapse.
            let deadline = Instant::now() + self.timings.request_timeout;
            let request_timeout = self.timings.request_timeout;
            let sends = plan.by_agent.keys().map(|agent| {
                send_until(
                    &self.client,
                    *agent,
                    &message,
                    request_timeout,
                    deadline,
                    || Ok(()),
                )
            });
            join_all(sends).await
        };
        is_stop_confirmed(&answers, may_have_started)
    }

    async fn stop_all(&self, plan: &Plan) -> (Vec<MemberReport>, bool) {
        let agents = plan.by_agent.keys().copied();
        let answers = self
            .send_until_closed(agents, None, &stop_message(plan))
            .await;
        let is_stop_confirmed = is_stop_confirmed(&answers, true);
        (sorted_members(answers), is_stop_confirmed)
    }

    /// Sends `message`, which closes the attempt, to `agents` until each has answered or the quiet period
    /// has passed.
    ///
    /// The quiet period counts from the first answer, which an earlier message may already have received
    /// at `first_closed_at`: until one agent has closed the attempt, the lead may keep renewing the gang
    /// on agents that the owner cannot reach.
    async fn send_until_closed<M: Message>(
        &self,
        agents: impl Iterator<Item = SocketAddr>,
        first_closed_at: Option<Instant>,
        message: &M,
    ) -> Vec<Result<M::Answer>> {
        let quiet_period = self.timings.quiet_period();
        let request_timeout = self.timings.request_timeout;
        let deadline = Cell::new(first_closed_at.unwrap_or_else(Instant::now) + quiet_period);
        let is_first = Cell::new(first_closed_at.is_none());
        let (deadline, is_first) = (&deadline, &is_first);
        let sends = agents.map(|agent| async move {
            let mut backoff = Backoff::new(request_timeout / 32, request_timeout);
            loop {
                let answer = self.client.send(agent, message, request_timeout).await;
                match &answer {
                    Ok(_) => {
                        if is_first.replace(false) {
                            deadline.set(Instant::now() + quiet_period);
                        }
                        return answer;
                    }
                    Err(error) if is_final_refusal(error.kind) => return answer,
                    Err(_) if Instant::now() >= deadline.get() => return answer,
                    Err(_) => compio::time::sleep(backoff.next_delay()).await,
                }
            }
        });
        join_all(sends).await
    }
}

fn stop_message(plan: &Plan) -> Stop {
    Stop {
        job: plan.spec.job.clone(),
        attempt: plan.spec.attempt,
        epoch: plan.epoch,
    }
}

fn sorted_members(answers: Vec<Result<Vec<MemberReport>>>) -> Vec<MemberReport> {
    let mut members: Vec<MemberReport> = answers.into_iter().flatten().flatten().collect();
    members.sort_by_key(|member| member.member);
    members
}

/// Returns whether an error of this kind is final: the agent will never accept commands of this owner.
fn is_final_refusal(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::StaleEpoch | ErrorKind::Unauthenticated)
}

/// Returns whether no part of the gang can run, given the agents' answers to a command that closes it.
///
/// A gang with one closed member is not renewed, so the tasks of unresponsive agents have ended with
/// their leases. If no agent answered, a started gang may continue without the owner.
fn is_stop_confirmed<T>(answers: &[Result<T>], may_have_started: bool) -> bool {
    let mut errors = answers.iter().filter_map(|answer| answer.as_ref().err());
    if errors.any(|error| is_final_refusal(error.kind)) {
        return false;
    }
    !may_have_started || answers.iter().any(Result::is_ok)
}
