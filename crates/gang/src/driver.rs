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
use crate::exchange::send_until;
use crate::messages::Abort;
use crate::messages::Bind;
use crate::messages::Checkpoint;
use crate::messages::Reserve;
use crate::messages::Start;
use crate::messages::StartAnswer;
use crate::messages::Stop;
use crate::messages::Throttle;
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

/// Cancel signals of the starts in progress.
type Starting = HashMap<(JobId, Attempt), Weak<Drain>>;

/// Starts and stops gangs for the owner of a data centre; clones share the starts in progress.
#[derive(Clone)]
pub struct GangDriver {
    client: Client,
    timings: GangTimings,
    permission: Option<Rc<dyn StartPermission>>,
    starting: Rc<RefCell<Starting>>,
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

    /// Sets the intervals.
    #[must_use]
    pub fn with_timings(mut self, timings: GangTimings) -> Self {
        self.timings = timings;
        self
    }

    /// Sets a check of the owner's own lease and view, made before each command that prepares or
    /// starts tasks.
    #[must_use]
    pub fn with_permission(mut self, permission: Rc<dyn StartPermission>) -> Self {
        self.permission = Some(permission);
        self
    }

    /// Starts a gang whole or not at all.
    ///
    /// # Errors
    /// The first refusal, or `deadline_exceeded` after [`GangDriver::cancel`]. The attempt is aborted
    /// before this returns; with a silent agent that takes up to the quiet time.
    pub async fn start(&self, spec: GangSpec) -> Result<GangHandle<Running>, StartFailure> {
        let reserved = self.reserve(spec).await?;
        let bound = self.bind(reserved).await?;
        self.launch(bound).await
    }

    /// Cancels a start in progress, which then fails; returns whether there is one.
    pub fn cancel(&self, job: &str, attempt: Attempt) -> bool {
        let starting = self.starting.borrow();
        let cancel = starting.get(&(job.into(), attempt)).and_then(Weak::upgrade);
        if let Some(cancel) = &cancel {
            cancel.start();
        }
        cancel.is_some()
    }

    /// Takes over a gang that an earlier owner started; `epoch` is the new owner's.
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
        if let Err(error) = plan.check() {
            return Err(StartFailure {
                worker: None,
                error,
                is_settled: true,
            });
        }
        let lease_ms = u64::try_from(self.timings.reservation.as_millis()).unwrap_or(u64::MAX);
        {
            let mut starting = self.starting.borrow_mut();
            starting.retain(|_, cancel| cancel.strong_count() > 0);
            starting.insert(plan.key(), Rc::downgrade(&plan.cancel));
        }
        // Half a step, because a failed reservation is retried elsewhere while urgent work waits.
        let limit = self.timings.step / 2;
        let step = self.each(&plan, limit, |_, members| Reserve {
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

    /// Binds all members and names the lead.
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
        let step = self.each(&plan, self.timings.step, |agent, _| Bind {
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

    /// Asks the lead to start the gang.
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
                return Err((None, Error::new(ErrorKind::BadRequest, "no members")));
            };
            let message = Start {
                job: plan.spec.job.clone(),
                attempt: plan.spec.attempt,
                epoch: plan.epoch,
            };
            // The lead may need a whole step itself; its answer is waited for a little longer.
            let limit = self.timings.step + self.timings.exchange;
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
        let is_settled = self.abort_all(&gang.plan, true).await;
        self.starting.borrow_mut().remove(&gang.plan.key());
        gang.into_state(Stopped {
            members: Vec::new(),
            is_settled,
        })
    }

    /// Stops a gang; returns once its end is certain or cannot be confirmed.
    pub async fn stop(&self, gang: GangHandle<Running>) -> GangHandle<Stopped> {
        let (members, is_settled) = self.stop_all(&gang.plan).await;
        gang.into_state(Stopped {
            members,
            is_settled,
        })
    }

    /// Asks all members for a checkpoint and stops the gang, at the bound whether or not they answered.
    pub async fn checkpoint_and_stop(
        &self,
        gang: GangHandle<Running>,
        within: Duration,
    ) -> GangHandle<Stopped> {
        let releasing = self.release(gang, within).await;
        self.settle(releasing).await
    }

    /// Asks all members for a checkpoint and stops those whose agents answer.
    ///
    /// A silent agent delays this by one exchange only, so that the capacity of the others is free
    /// long before the lease of the silent member has lapsed for certain.
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
            let (client, exchange) = (&self.client, within);
            send_until(client, *agent, &message, exchange, deadline, || Ok(())).await
        });
        let checkpoints: Vec<MemberReport> = join_all(sends)
            .await
            .into_iter()
            .flatten()
            .flatten()
            .collect();
        let exchange = self.timings.exchange;
        let message = stop_message(plan);
        let closed = Cell::new(None);
        let stops = plan.by_agent.keys().map(|agent| async {
            let deadline = Instant::now() + exchange;
            let answer = send_until(
                &self.client,
                *agent,
                &message,
                exchange,
                deadline,
                || Ok(()),
            )
            .await;
            if answer.is_ok() && closed.get().is_none() {
                closed.set(Some(Instant::now()));
            }
            (*agent, answer)
        });
        let mut answers: BTreeMap<_, _> = join_all(stops).await.into_iter().collect();
        for member in answers.values_mut().flatten().flatten() {
            let written = checkpoints
                .iter()
                .find(|other| other.member == member.member);
            let written_ms = written.map_or(0, |other| other.checkpoint_ms);
            member.checkpoint_ms = member.checkpoint_ms.max(written_ms);
        }
        gang.into_state(Releasing {
            answers,
            closed: closed.get(),
        })
    }

    /// Goes on asking silent agents to stop their members until each has answered or can run nothing.
    pub async fn settle(&self, gang: GangHandle<Releasing>) -> GangHandle<Stopped> {
        let Releasing { answers, closed } = &gang.state;
        let silent = answers.iter().filter(|(_, answer)| answer.is_err());
        let silent: Vec<SocketAddr> = silent.map(|(agent, _)| *agent).collect();
        let late = if silent.is_empty() {
            Vec::new()
        } else {
            let message = stop_message(&gang.plan);
            self.close(silent.into_iter(), *closed, &message).await
        };
        let known = answers.values().filter(|answer| answer.is_ok()).cloned();
        let all: Vec<Result<Vec<MemberReport>>> = known.chain(late).collect();
        let is_settled = is_settled(&all, true);
        let members = sorted_members(all);
        gang.into_state(Stopped {
            members,
            is_settled,
        })
    }

    /// Slows all members down to a share of their processor time.
    ///
    /// # Errors
    /// The first refusal.
    pub async fn throttle(&self, gang: &GangHandle<Running>, share_percent: u32) -> Result<()> {
        let plan = &gang.plan;
        let message = Throttle {
            job: plan.spec.job.clone(),
            attempt: plan.spec.attempt,
            epoch: plan.epoch,
            share_percent,
        };
        let deadline = Instant::now() + self.timings.step;
        let exchange = self.timings.exchange;
        let sends = plan.by_agent.keys().map(|agent| {
            send_until(
                &self.client,
                *agent,
                &message,
                exchange,
                deadline,
                || Ok(()),
            )
        });
        try_join_all(sends).await.map(drop)
    }

    /// Sends one message to each agent and waits for all answers.
    async fn each<M: Message>(
        &self,
        plan: &Plan,
        limit: Duration,
        message: impl Fn(SocketAddr, &[MemberSpec]) -> M,
    ) -> Result<(), (Option<SocketAddr>, Error)> {
        let deadline = Instant::now() + limit;
        let exchange = self.timings.exchange;
        let sends = plan.by_agent.iter().map(|(agent, members)| {
            let message = message(*agent, members);
            async move {
                let answer = self
                    .send(*agent, &message, exchange, deadline, plan.epoch)
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
        exchange: Duration,
        deadline: Instant,
        epoch: Epoch,
    ) -> Result<M::Answer> {
        let check = || match &self.permission {
            Some(permission) => permission.check(epoch),
            None => Ok(()),
        };
        send_until(&self.client, to, message, exchange, deadline, check).await
    }

    /// Waits for a step; a failure or a cancel aborts the attempt.
    async fn finish_step(
        &self,
        plan: &Plan,
        step: impl Future<Output = Result<(), (Option<SocketAddr>, Error)>>,
        is_start: bool,
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
        let is_settled = self.abort_all(plan, is_start).await;
        self.starting.borrow_mut().remove(&key);
        Err(StartFailure {
            worker: agent.and_then(|agent| plan.worker(agent)),
            error,
            is_settled,
        })
    }

    async fn abort_all(&self, plan: &Plan, may_have_started: bool) -> bool {
        let message = Abort {
            job: plan.spec.job.clone(),
            attempt: plan.spec.attempt,
            epoch: plan.epoch,
        };
        let answers = if may_have_started {
            self.close(plan.by_agent.keys().copied(), None, &message)
                .await
        } else {
            // Without a start nothing can run, and what a silent agent holds lapses by itself.
            let deadline = Instant::now() + self.timings.exchange;
            let exchange = self.timings.exchange;
            let sends = plan.by_agent.keys().map(|agent| {
                send_until(
                    &self.client,
                    *agent,
                    &message,
                    exchange,
                    deadline,
                    || Ok(()),
                )
            });
            join_all(sends).await
        };
        is_settled(&answers, may_have_started)
    }

    async fn stop_all(&self, plan: &Plan) -> (Vec<MemberReport>, bool) {
        let agents = plan.by_agent.keys().copied();
        let answers = self.close(agents, None, &stop_message(plan)).await;
        let is_settled = is_settled(&answers, true);
        (sorted_members(answers), is_settled)
    }

    /// Sends `message` to `agents` until each has answered or has been silent for the quiet time.
    ///
    /// The quiet time counts from the first answer, which may have come to an earlier message at
    /// `closed`: until an agent has closed the attempt, its lead may renew a gang whose agents the
    /// owner cannot reach.
    async fn close<M: Message>(
        &self,
        agents: impl Iterator<Item = SocketAddr>,
        closed: Option<Instant>,
        message: &M,
    ) -> Vec<Result<M::Answer>> {
        let quiet = self.timings.quiet();
        let exchange = self.timings.exchange;
        let deadline = Cell::new(closed.unwrap_or_else(Instant::now) + quiet);
        let is_first = Cell::new(closed.is_none());
        let (deadline, is_first) = (&deadline, &is_first);
        let sends = agents.map(|agent| async move {
            let mut backoff = Backoff::new(exchange / 32, exchange);
            loop {
                let answer = self.client.send(agent, message, exchange).await;
                match &answer {
                    Ok(_) => {
                        if is_first.replace(false) {
                            deadline.set(Instant::now() + quiet);
                        }
                        return answer;
                    }
                    Err(error) if is_refusal(error.kind) => return answer,
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

/// Returns whether an agent will never obey this owner.
fn is_refusal(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::StaleEpoch | ErrorKind::Unauthenticated)
}

/// Returns whether no part of the gang can run, after agents were told to close it.
///
/// A gang with one closed member is not renewed, so the tasks of silent agents have ended by their
/// leases; if no agent answered, a started gang may go on without the owner.
fn is_settled<T>(answers: &[Result<T>], may_have_started: bool) -> bool {
    let mut errors = answers.iter().filter_map(|answer| answer.as_ref().err());
    if errors.any(|error| is_refusal(error.kind)) {
        return false;
    }
    !may_have_started || answers.iter().any(Result::is_ok)
}
