//! Giving orders: one task for each worker.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;

use crate::job::Job;
use crate::job::SeatState;
use crate::job::StopState;
use crate::term::Term;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_supervisor::Orders;
use nutmegwalk_supervisor::OrdersAnswer;
use nutmegwalk_supervisor::Refusal;
use nutmegwalk_supervisor::StartOrder;
use nutmegwalk_supervisor::StartResult;
use nutmegwalk_supervisor::TaskOutcome;
use nutmegwalk_supervisor::TaskRun;
use nutmegwalk_workload::EndKind;
use nutmegwalk_workload::Run;
use nutmegwalk_workload::UnitId;
use nutmegwalk_workload::WorkerRef;

/// Time for one message; the agent repeats an unanswered order for up to 800 ms.
const ORDERS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a message that was not answered, or a stop that the worker did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Interval at which the orders of a worker are looked through without a signal.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

impl Term {
    /// Starts the task that gives orders to a life of a worker.
    pub(crate) fn serve_worker(self: &Rc<Self>, worker: WorkerRef) {
        let term = Rc::clone(self);
        compio::runtime::spawn(async move { term.give_orders(&worker).await }).detach();
    }

    async fn give_orders(self: Rc<Self>, worker: &WorkerRef) {
        loop {
            let Some((orders, signal)) = self.next_orders(worker) else {
                return;
            };
            let Some(orders) = orders else {
                // Running into the limit is the usual case.
                let _ = compio::time::timeout(IDLE_INTERVAL, signal.raised()).await;
                continue;
            };
            if !self.send(worker, &orders).await {
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Sends orders and takes in the results; returns false when the agent did not answer.
    async fn send(self: &Rc<Self>, worker: &WorkerRef, orders: &Orders) -> bool {
        let address = {
            let state = self.state.borrow();
            let agent = state.workers.get(&worker.id).map(|known| &known.agent);
            agent.and_then(|agent| state.agents.get(agent).map(|agent| agent.address))
        };
        let Some(address) = address else {
            return false;
        };
        let result = self.client.send(address, orders, ORDERS_TIMEOUT).await;
        let mut state = self.state.borrow_mut();
        let Some(known) = state.workers.get_mut(&worker.id) else {
            return true;
        };
        let is_answered = match result {
            Ok(answer) => {
                known.unreachable_since = None;
                known.told_acknowledged = known.told_acknowledged.max(orders.acknowledged);
                drop(state);
                self.take_in_results(worker, &answer);
                let is_unknown = |result: &StartResult| result.outcome == TaskOutcome::Unknown;
                !answer.stops.iter().any(is_unknown)
            }
            Err(error) => {
                let is_first = known.unreachable_since.is_none();
                known.unreachable_since.get_or_insert_with(clock::now);
                if is_first {
                    warn!(target: event::ORDERS_NOT_GIVEN, worker = &*worker.id, agent = &*known.agent; "cannot give orders: {error}");
                }
                drop(state);
                error.kind == ErrorKind::StaleEpoch
            }
        };
        self.flush();
        is_answered
    }

    /// Returns the orders for a worker, `None` within when there are none; `None` when the life is over or
    /// this process is not the owner any more.
    fn next_orders(
        &self,
        worker: &WorkerRef,
    ) -> Option<(Option<Orders>, nutmegwalk_base::signal::Signal)> {
        let state = self.state.borrow();
        let known = state.workers.get(&worker.id)?;
        if known.announcement.worker != *worker {
            return None;
        }
        let signal = known.orders.clone();
        if self.is_superseded() {
            return None;
        }
        let mut starts = BTreeMap::new();
        let mut stops: Vec<TaskRun> = known.strays.keys().cloned().collect();
        for (id, job) in &state.jobs {
            collect(id, job, worker, &mut starts, &mut stops);
        }
        if !self.is_valid() {
            // Without the lease only what ends work may be sent.
            starts.clear();
        }
        let orders = Orders {
            epoch: self.epoch(),
            worker: worker.clone(),
            acknowledged: known.acknowledged,
            starts: starts.into_values().collect(),
            stops,
            paces: Vec::new(),
        };
        let is_empty = orders.starts.is_empty()
            && orders.stops.is_empty()
            && known.acknowledged <= known.told_acknowledged;
        Some(((!is_empty).then_some(orders), signal))
    }

    /// Returns whether another process is known to be the owner.
    pub(crate) fn is_superseded(&self) -> bool {
        self.ownership
            .owner()
            .is_some_and(|owner| owner.epoch > self.epoch())
    }

    fn take_in_results(self: &Rc<Self>, worker: &WorkerRef, answer: &OrdersAnswer) {
        for result in &answer.starts {
            self.metrics.order_answered("start", result.outcome.name());
            self.take_in_start(worker, result);
        }
        for result in &answer.stops {
            self.metrics.order_answered("stop", result.outcome.name());
            self.take_in_stop(worker, result);
        }
    }

    fn take_in_start(&self, worker: &WorkerRef, result: &StartResult) {
        let now = clock::now();
        match result.outcome {
            TaskOutcome::Done => {
                self.with_run(&result.run, |run| {
                    let index = result.run.task.index;
                    if let Some(seat) = run.seats.iter_mut().find(|seat| seat.index == index)
                        && seat.state == SeatState::Ordered
                    {
                        seat.enter(SeatState::Running, now);
                    }
                    if run.whole_since.is_none() && run.is_whole() {
                        run.whole_since = Some(now);
                    }
                });
            }
            TaskOutcome::Refused(refusal) => {
                info!(target: event::START_REFUSED,
                    task:% = result.run.task,
                    run = result.run.run,
                    worker = &*worker.id,
                    reason = refusal.name();
                    ""
                );
                if matches!(refusal, Refusal::Unhealthy | Refusal::Malformed) {
                    self.note_failure(worker);
                }
                self.apply_end(worker, &result.run, EndKind::Lost, None);
            }
            TaskOutcome::Unknown | TaskOutcome::Absent => {
                warn!(target: event::START_UNANSWERED,
                    task:% = result.run.task,
                    run = result.run.run,
                    worker = &*worker.id;
                    "the worker did not answer a start, stopping the run"
                );
                self.note_failure(worker);
                self.stop_task(&result.run);
            }
        }
    }

    fn take_in_stop(&self, worker: &WorkerRef, result: &StartResult) {
        let now = clock::now();
        {
            let mut state = self.state.borrow_mut();
            if let Some(known) = state.workers.get_mut(&worker.id)
                && result.outcome != TaskOutcome::Unknown
            {
                known.strays.remove(&result.run);
            }
        }
        match result.outcome {
            TaskOutcome::Done => {
                self.with_run(&result.run, |run| {
                    let index = result.run.task.index;
                    if let Some(seat) = run.seats.iter_mut().find(|seat| seat.index == index) {
                        seat.stop = StopState::Taken(now);
                    }
                });
            }
            TaskOutcome::Absent => {
                self.apply_end(worker, &result.run, EndKind::Lost, None);
            }
            TaskOutcome::Refused(_) | TaskOutcome::Unknown => {}
        }
    }

    pub(crate) fn note_failure(&self, worker: &WorkerRef) {
        if let Some(known) = self.state.borrow_mut().workers.get_mut(&worker.id)
            && known.health.record_failure(clock::now())
        {
            self.metrics.worker_set_aside();
            warn!(target: event::WORKER_SET_ASIDE, worker = &*worker.id; "worker set aside: it does not take orders or does no work");
        }
    }

    /// Stops the run that a task belongs to.
    fn stop_task(&self, run: &TaskRun) {
        let unit = {
            let state = self.state.borrow();
            let job = state.jobs.get(&run.task.job);
            job.and_then(|job| job.record.spec.unit_of(&run.task))
        };
        if let Some(unit) = unit {
            self.stop_run(&unit, run.run);
        }
    }

    fn with_run(&self, run: &TaskRun, change: impl FnOnce(&mut crate::job::LiveRun)) {
        let mut state = self.state.borrow_mut();
        let Some(job) = state.jobs.get_mut(&run.task.job) else {
            return;
        };
        let Some(unit) = job.record.spec.unit_of(&run.task) else {
            return;
        };
        let live = job.units.get_mut(&unit);
        let mut workers = Vec::new();
        if let Some(live) =
            live.and_then(|live| live.runs.iter_mut().find(|live| live.run == run.run))
        {
            change(live);
            workers.extend(live.seats.iter().map(|seat| seat.worker.id.clone()));
        }
        for worker in workers {
            state.tell(&worker);
        }
    }
}

/// Collects what one job has for a worker.
fn collect(
    id: &JobId,
    job: &Job,
    worker: &WorkerRef,
    starts: &mut BTreeMap<(UnitId, Run), StartOrder>,
    stops: &mut Vec<TaskRun>,
) {
    for (unit, run, seat) in job.seats_on(worker) {
        if seat.state == SeatState::Ended {
            continue;
        }
        if seat.stop == StopState::Wanted {
            stops.push(TaskRun {
                task: unit.task_id(seat.index),
                run: run.run,
            });
        } else if seat.state == SeatState::Ordered && seat.stop == StopState::None {
            let key = (unit.clone(), run.run);
            let order = starts.entry(key).or_insert_with(|| StartOrder {
                job: id.clone(),
                occurrence: unit.occurrence,
                step: unit.step,
                tasks: Vec::new(),
                run: run.run,
                payload: job.record.spec.payload.clone(),
                checkpoint: run.resumed_from.clone(),
                ticket: None,
            });
            order.tasks.push(seat.index);
        }
    }
}
