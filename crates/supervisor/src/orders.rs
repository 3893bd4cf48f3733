//! Execution of the owner's orders.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join;
use futures_util::stream;
use futures_util::stream::StreamExt;
use log::info;
use log::warn;

use crate::Orders;
use crate::OrdersAnswer;
use crate::Refusal;
use crate::RunningTask;
use crate::START_CRASH_WINDOW;
use crate::StartOrder;
use crate::StartRequest;
use crate::StartResult;
use crate::Supervisor;
use crate::TaskOutcome;
use crate::TaskRun;
use crate::WorkerState;
use crate::supervisor::Inner;
use crate::supervisor::as_ms;
use crate::supervisor::with_timeout;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::Result;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_workload::WorkerRef;

/// Number of tries of a stop that the worker does not answer, which has no further effect on the same incarnation, and of
/// a start that was not sent.
const MAX_ORDER_TRIES: u32 = 4;
/// Timeout of one try of an order; the worker is on the same host.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which a run is looked for whose start was not answered; the owner gets the outcome before it gives up the
/// message.
const MAX_LOOK_TIME: Duration = Duration::from_millis(600);
/// Interval at which it is looked for.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of orders in flight to the worker, each on a connection of its own.
const MAX_PARALLEL_REQUESTS: usize = 64;
/// Time after an accepted stop within which the run ends; the platform allows 200 ms.
const MAX_STOP_TIME: Duration = Duration::from_millis(300);

impl Supervisor {
    /// Executes orders and returns the result of each start and stop.
    ///
    /// # Errors
    /// `stale_epoch` when a later epoch was seen; `not_found` when the agent supervises another worker,
    /// another incarnation of it, or none.
    pub async fn execute(&self, orders: Orders) -> Result<OrdersAnswer> {
        self.accept_orders(&orders)?;
        let inner = &*self.inner;
        inner.prepare(&orders).await;
        let starts = orders.starts.iter().flat_map(|order| {
            let tasks = order.tasks.iter();
            tasks.map(|index| inner.start(&orders, order, *index))
        });
        // A start uses no room that a stop of the same orders makes, so neither waits for the other.
        let (stops, starts) = join(inner.stop_all(&orders), in_parallel(starts)).await;
        for pace in &orders.paces {
            let request = inner
                .port
                .pace(&orders.worker, &pace.run, pace.percent, orders.epoch);
            if let Err(error) = with_timeout(ORDER_TIMEOUT, request).await {
                warn!(target: event::WORKER_UNANSWERED, task:% = pace.run.task, percent = pace.percent; "cannot set the pace: {error}");
            }
        }
        Ok(OrdersAnswer { starts, stops })
    }

    fn accept_orders(&self, orders: &Orders) -> Result<()> {
        let mut state = self.inner.state.borrow_mut();
        if orders.epoch < state.epoch {
            let detail = format!("epoch {} was superseded by {}", orders.epoch, state.epoch);
            return Err(Error::new(ErrorKind::StaleEpoch, detail));
        }
        state.epoch = orders.epoch;
        match &mut state.worker {
            Some(worker) if *worker.worker() == orders.worker => {
                if worker.acknowledge(orders.acknowledged) {
                    self.inner.request_poll();
                }
                Ok(())
            }
            _ => {
                let detail = format!(
                    "worker {} is not supervised by this agent",
                    orders.worker.id
                );
                Err(Error::new(ErrorKind::NotFound, detail))
            }
        }
    }
}

impl Inner {
    /// Prepares the requests of orders, unless the worker is in doubt, so that none of them waits for that.
    async fn prepare(&self, orders: &Orders) {
        let is_doubtful = {
            let state = self.state.borrow();
            let worker = state.worker.as_ref();
            worker.is_none_or(|worker| worker.is_doubtful() || worker.answered_at.is_none())
        };
        if is_doubtful {
            return;
        }
        let starts: usize = orders.starts.iter().map(|order| order.tasks.len()).sum();
        let requests = (orders.stops.len() + starts).min(MAX_PARALLEL_REQUESTS);
        let request = self.port.prepare(&orders.worker, requests, orders.epoch);
        if let Err(error) = with_timeout(ORDER_TIMEOUT, request).await {
            // Each order finds out by itself whether it can be sent.
            warn!(target: event::WORKER_UNANSWERED, worker = &*orders.worker.id; "cannot prepare orders: {error}");
        }
    }

    /// Starts one task. A start that was sent is not sent again: each copy may be carried out seconds later, also by
    /// the next incarnation of the worker after this one has done the task.
    async fn start(&self, orders: &Orders, order: &StartOrder, index: u32) -> StartResult {
        let run = order.task_run(index);
        if self.is_running(&orders.worker, &run) {
            // The order is a repetition; the answer to the earlier one was lost.
            return StartResult {
                run,
                outcome: TaskOutcome::Done,
            };
        }
        if self.is_unresolved(&orders.worker, &run) {
            let outcome = self.look_for(&orders.worker, &run).await;
            return carried_out(event::START_CARRIED_OUT, orders, run, outcome);
        }
        let mut outcome = TaskOutcome::Unknown;
        for _ in 0..MAX_ORDER_TRIES {
            let request = match self.confirmed_start_request(orders, order, &run).await {
                Ok(request) => request,
                Err(refusal) => {
                    outcome = TaskOutcome::Refused(refusal);
                    break;
                }
            };
            let known_clock_ms = self.clock_ms(&orders.worker);
            let renewal = self.begin_renewal(&orders.worker, Some(request.lease_until_clock_ms));
            let sent_at = clock::now();
            let answer = with_timeout(ORDER_TIMEOUT, self.port.start(&request)).await;
            self.end_renewal(renewal, answer.as_ref().err());
            match answer {
                Ok(answer) => {
                    outcome = match answer.refusal {
                        // Clocks of workers start anew with each incarnation.
                        None if answer
                            .clock_ms
                            .is_some_and(|clock_ms| clock_ms < known_clock_ms) =>
                        {
                            self.record_disowned(&orders.worker);
                            TaskOutcome::Unknown
                        }
                        None => {
                            self.record_start(&orders.worker, &run, answer.clock_ms, sent_at);
                            self.request_confirmation();
                            TaskOutcome::Done
                        }
                        Some(refusal) => TaskOutcome::Refused(refusal),
                    };
                    break;
                }
                Err(error) => {
                    self.record_unanswered(&orders.worker);
                    warn!(target: event::WORKER_UNANSWERED, task:% = run.task, run = run.run; "no answer to a start: {error}");
                    if error.outcome() != Outcome::NotRun {
                        self.record_unanswered_start(&orders.worker, &run, sent_at);
                        self.record_unresolved(&orders.worker, &run);
                        outcome = self.look_for(&orders.worker, &run).await;
                        break;
                    }
                }
            }
        }
        carried_out(event::START_CARRIED_OUT, orders, run, outcome)
    }

    /// Returns whether the worker listed the run as running, or has started it since, and its lease has not lapsed.
    fn is_running(&self, addressed: &WorkerRef, run: &TaskRun) -> bool {
        let state = self.state.borrow();
        let worker = state.worker.as_ref();
        worker.is_some_and(|worker| {
            worker.worker() == addressed
                && worker.running.iter().any(|task| task.run == *run)
                && worker
                    .clock
                    .is_some_and(|clock| !clock.has_lapsed(clock::now()))
        })
    }

    fn is_unresolved(&self, addressed: &WorkerRef, run: &TaskRun) -> bool {
        let state = self.state.borrow();
        let worker = state.worker.as_ref();
        worker.is_some_and(|worker| {
            worker.worker() == addressed && worker.unresolved_starts.contains(run)
        })
    }

    /// Looks for a run whose start was not answered: `Done` if the worker has it, else `Unknown`.
    async fn look_for(&self, addressed: &WorkerRef, run: &TaskRun) -> TaskOutcome {
        let begun_at = clock::now();
        while self.confirm_incarnation(addressed).await.is_ok() {
            if self.has_run(addressed, run) {
                return TaskOutcome::Done;
            }
            if clock::now().saturating_duration_since(begun_at) >= MAX_LOOK_TIME {
                break;
            }
            compio::time::sleep(LOOK_INTERVAL).await;
        }
        TaskOutcome::Unknown
    }

    /// Returns whether the worker listed the run as running or among the ends.
    fn has_run(&self, addressed: &WorkerRef, run: &TaskRun) -> bool {
        let state = self.state.borrow();
        let worker = state.worker.as_ref();
        worker.is_some_and(|worker| worker.worker() == addressed && worker.has_run(run))
    }

    /// Returns the worker's clock at its last answer, in milliseconds.
    fn clock_ms(&self, addressed: &WorkerRef) -> u64 {
        let state = self.state.borrow();
        let worker = state.worker.as_ref();
        let worker = worker.filter(|worker| worker.worker() == addressed);
        worker
            .and_then(|worker| worker.clock)
            .map_or(0, |clock| clock.clock_ms())
    }

    /// Builds the request once it is certain that no later incarnation of the worker receives it, or returns the refusal.
    async fn confirmed_start_request(
        &self,
        orders: &Orders,
        order: &StartOrder,
        run: &TaskRun,
    ) -> Result<StartRequest, Refusal> {
        // A void order is not worth a look at the worker.
        self.start_request(orders, order, run)?;
        self.confirm_incarnation(&orders.worker).await?;
        // The order may have become void meanwhile.
        self.start_request(orders, order, run)
    }

    /// Builds the request, or returns the refusal if the state of the agent already rules out the start.
    fn start_request(
        &self,
        orders: &Orders,
        order: &StartOrder,
        run: &TaskRun,
    ) -> Result<StartRequest, Refusal> {
        let state = self.state.borrow();
        if state.epoch > orders.epoch {
            return Err(Refusal::StaleEpoch);
        }
        let Some(worker) = &state.worker else {
            return Err(Refusal::OtherWorker);
        };
        if *worker.worker() != orders.worker {
            return Err(Refusal::OtherWorker);
        }
        if worker.announcement.state != WorkerState::Ready {
            return Err(Refusal::Draining);
        }
        let is_valid = state.owner_clock.is_some_and(|owner_clock| {
            owner_clock.is_before(orders.epoch, orders.starts_expire_ms, clock::now())
        });
        if !is_valid {
            return Err(Refusal::Expired);
        }
        if order.known_lapse_ms < worker.lapsed_until_ms {
            return Err(Refusal::LeasePassed);
        }
        let Some(lease_until_clock_ms) = state.lease_until_ms(worker, &self.timings) else {
            return Err(Refusal::LeasePassed);
        };
        Ok(StartRequest {
            worker: orders.worker.clone(),
            run: run.clone(),
            payload: order.payload.clone(),
            checkpoint: order.checkpoint.clone(),
            ticket: order.ticket.clone(),
            lease_until_clock_ms,
            epoch: orders.epoch,
        })
    }

    fn record_start(
        &self,
        addressed: &WorkerRef,
        run: &TaskRun,
        clock_ms: Option<u64>,
        sent_at: Instant,
    ) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let Some(worker) = &mut state.worker else {
            return;
        };
        if worker.worker() != addressed {
            return;
        }
        if let (Some(clock), Some(clock_ms)) = (&mut worker.clock, clock_ms) {
            clock.observe(clock_ms, now);
            worker.recent_starts.push((run.clone(), clock_ms));
            worker.witness.record_start(run, clock_ms, sent_at);
        }
        if let Some(clock_ms) = clock_ms {
            worker.first_seen_ms.entry(run.clone()).or_insert(clock_ms);
        }
        // A list that was made after the start shows whether the run still goes on.
        let is_listed_since = clock_ms.is_some() && worker.listed_clock_ms > clock_ms;
        if !is_listed_since && !worker.has_run(run) {
            worker.running.push(RunningTask {
                run: run.clone(),
                checkpoint: None,
                progress_percent: 0,
                recent: None,
            });
        }
    }

    /// Records a start that was not answered, if the worker was alive when it was sent: it may have crashed at the start.
    fn record_unanswered_start(&self, addressed: &WorkerRef, run: &TaskRun, sent_at: Instant) {
        let mut state = self.state.borrow_mut();
        let Some(worker) = &mut state.worker else {
            return;
        };
        if worker.worker() == addressed
            && let Some(clock) = worker.clock
            && clock.time_since_answer(sent_at) <= START_CRASH_WINDOW
        {
            let clock_ms = clock.clock_ms() + as_ms(clock.time_since_answer(sent_at));
            worker.witness.record_start(run, clock_ms, sent_at);
            drop(state);
            self.request_confirmation();
        }
    }

    /// Stops runs and determines whether they were on the worker.
    async fn stop_all(&self, orders: &Orders) -> Vec<StartResult> {
        let requests = orders.stops.iter().map(|run| self.stop(orders, run));
        let mut outcomes = in_parallel(requests).await;
        if outcomes.contains(&None) {
            // One list shows the effect of all accepted stops.
            let is_listed = self.poll_after_stops(orders).await;
            for (outcome, run) in outcomes.iter_mut().zip(&orders.stops) {
                if outcome.is_none() {
                    *outcome = Some(match is_listed {
                        Ok(()) => self.outcome_of_stop(&orders.worker, run),
                        Err(outcome) => outcome,
                    });
                }
            }
        }
        let runs = orders.stops.iter().cloned();
        runs.zip(outcomes)
            .map(|(run, outcome)| {
                let outcome = outcome.unwrap_or(TaskOutcome::Unknown);
                carried_out(event::STOP_CARRIED_OUT, orders, run, outcome)
            })
            .collect()
    }

    /// Sends the order to stop one run; returns `None` if the worker has accepted it.
    async fn stop(&self, orders: &Orders, run: &TaskRun) -> Option<TaskOutcome> {
        for _ in 0..MAX_ORDER_TRIES {
            match with_timeout(
                ORDER_TIMEOUT,
                self.port.stop(&orders.worker, run, orders.epoch),
            )
            .await
            {
                Ok(()) => return None,
                Err(error) if error.kind == ErrorKind::StaleEpoch => {
                    return Some(TaskOutcome::Refused(Refusal::StaleEpoch));
                }
                Err(error) if error.kind == ErrorKind::NotFound => {
                    return Some(TaskOutcome::Refused(Refusal::OtherWorker));
                }
                Err(error) => {
                    warn!(target: event::WORKER_UNANSWERED, task:% = run.task, run = run.run; "no answer to a stop: {error}");
                }
            }
        }
        Some(TaskOutcome::Unknown)
    }

    /// Returns whether one of the runs is not listed, in a list from which entries were left out.
    fn may_be_unreadable(&self, runs: &[TaskRun]) -> bool {
        let state = self.state.borrow();
        state.worker.as_ref().is_some_and(|worker| {
            worker.is_incomplete && runs.iter().any(|run| !worker.has_run(run))
        })
    }

    /// Polls the worker after it has accepted stops, so that its list shows their effect.
    async fn poll_after_stops(&self, orders: &Orders) -> Result<(), TaskOutcome> {
        let addressed = &orders.worker;
        let request = {
            let state = self.state.borrow();
            match &state.worker {
                Some(worker) if worker.worker() == addressed => {
                    state.poll_request(worker, &self.timings, Duration::ZERO)
                }
                _ => return Err(TaskOutcome::Refused(Refusal::OtherWorker)),
            }
        };
        if let Err(error) = self.poll_worker(&request).await {
            warn!(target: event::WORKER_SILENT, worker = &*addressed.id; "cannot poll the worker after a stop: {error}");
            return Err(TaskOutcome::Unknown);
        }
        if self.may_be_unreadable(&orders.stops) {
            // A run may be listed in an entry that cannot be read, until its stop has taken effect.
            compio::time::sleep(MAX_STOP_TIME).await;
        }
        Ok(())
    }

    /// Returns the outcome of an accepted stop from the list made after it. It is `Done` if the run is among the ends, or
    /// is still running and ends soon, and `Absent` if the worker does not have it.
    fn outcome_of_stop(&self, addressed: &WorkerRef, run: &TaskRun) -> TaskOutcome {
        let state = self.state.borrow();
        match &state.worker {
            Some(worker) if worker.worker() == addressed && !worker.has_run(run) => {
                if worker.may_have_unlisted_ends {
                    TaskOutcome::Unknown
                } else {
                    TaskOutcome::Absent
                }
            }
            Some(worker) if worker.worker() == addressed => TaskOutcome::Done,
            _ => TaskOutcome::Refused(Refusal::OtherWorker),
        }
    }
}

/// Logs the outcome of an order for one task, and returns its result.
fn carried_out(target: &str, orders: &Orders, run: TaskRun, outcome: TaskOutcome) -> StartResult {
    info!(target: target,
        task:% = run.task,
        run = run.run,
        epoch = orders.epoch,
        worker = &*orders.worker.id,
        outcome = outcome.name();
        ""
    );
    StartResult { run, outcome }
}

/// Awaits requests to the worker, [`MAX_PARALLEL_REQUESTS`] at a time, and returns the results in their order.
async fn in_parallel<T>(requests: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    stream::iter(requests)
        .buffered(MAX_PARALLEL_REQUESTS)
        .collect()
        .await
}
