//! Dispatch of orders to workers, with one asynchronous task for each worker.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;

use crate::job::AssignedAfter;
use crate::job::AssignmentState;
use crate::job::LiveRun;
use crate::job::StopState;
use crate::term::State;
use crate::term::Term;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_net::spawn_restarting;
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

/// Timeout of one message. The agent repeats an order that the worker does not answer for up to 800 ms.
const ORDERS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a message that the agent did not answer, or a stop that the worker did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Maximum number of starts in one message, and of stops. The agent carries them out within [`ORDERS_TIMEOUT`].
const MAX_ORDERS_PER_MESSAGE: usize = 256;
/// Length of the payloads, in bytes, from which no further start is added to a message.
const MAX_PAYLOAD_BYTES: usize = 1 << 20;
/// Interval at which the orders of a worker are checked without a signal.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

impl Term {
    /// Spawns the task that sends orders to one incarnation of a worker.
    pub(crate) fn spawn_dispatcher(self: &Rc<Self>, worker: WorkerRef) {
        let term = Rc::clone(self);
        spawn_restarting("dispatcher", move || {
            let (term, worker) = (Rc::clone(&term), worker.clone());
            async move { term.dispatch_orders(&worker).await }
        })
        .detach();
    }

    /// Sends the orders of a worker until its incarnation is over or another process is the owner.
    async fn dispatch_orders(self: Rc<Self>, worker: &WorkerRef) {
        loop {
            let Some((orders, signal)) = self.next_orders(worker) else {
                return;
            };
            let Some(orders) = orders else {
                // The timeout is the normal case without new orders.
                let _ = compio::time::timeout(IDLE_INTERVAL, signal.raised()).await;
                continue;
            };
            if !self.send_orders(worker, &orders).await {
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Sends orders and applies the results; returns false if they have to be sent again after a pause, because
    /// the agent did not answer or a stop was not carried out.
    async fn send_orders(self: &Rc<Self>, worker: &WorkerRef, orders: &Orders) -> bool {
        let address = {
            let state = self.state.borrow();
            let agent = state.workers.get(&worker.id).map(|known| &known.agent);
            agent.and_then(|agent| state.agents.get(agent).map(|agent| agent.address))
        };
        let Some(address) = address else {
            return false;
        };
        self.record_sent(orders);
        let result = self.client.send(address, orders, ORDERS_TIMEOUT).await;
        if let Err(error) = &result
            && error.outcome() == Outcome::NotRun
        {
            self.count_start_orders(orders, |count| count - 1);
        }
        let mut state = self.state.borrow_mut();
        let Some(known) = state.workers.get_mut(&worker.id) else {
            return true;
        };
        let is_answered = match result {
            Ok(answer) => {
                let is_usable_again = known.unreachable_since.take().is_some();
                state.needs_decision |= is_usable_again;
                drop(state);
                self.apply_results(worker, &answer);
                let is_open = |result: &StartResult| {
                    !matches!(result.outcome, TaskOutcome::Done | TaskOutcome::Absent)
                };
                !answer.stops.iter().any(is_open)
            }
            Err(error) => {
                let is_first = known.unreachable_since.is_none();
                known.unreachable_since.get_or_insert_with(clock::now);
                if is_first {
                    warn!(target: event::ORDERS_NOT_GIVEN, worker = &*worker.id, agent = &*known.agent; "cannot send orders: {error}");
                }
                drop(state);
                error.kind == ErrorKind::StaleEpoch
            }
        };
        self.flush();
        is_answered
    }

    /// Records that orders are being sent.
    fn record_sent(&self, orders: &Orders) {
        let now = clock::now();
        self.count_start_orders(orders, |count| count + 1);
        let mut state = self.state.borrow_mut();
        for order in &orders.starts {
            for index in &order.tasks {
                if let Some(assignment) = state.assignment_mut(&order.task_run(*index)) {
                    assignment.sent_at.get_or_insert(now);
                }
            }
        }
        if !orders.starts.is_empty() {
            state.record_start_on(&orders.worker, now);
        }
    }

    /// Changes the number of orders of each run that is to be started.
    fn count_start_orders(&self, orders: &Orders, change: impl Fn(u32) -> u32) {
        let mut state = self.state.borrow_mut();
        for order in &orders.starts {
            for index in &order.tasks {
                if let Some(assignment) = state.assignment_mut(&order.task_run(*index)) {
                    assignment.start_orders = change(assignment.start_orders);
                }
            }
        }
    }

    /// Returns whether a refused order shows that the run was not started and will not be.
    fn is_refusal_final(&self, run: &TaskRun, refusal: Refusal) -> bool {
        let mut state = self.state.borrow_mut();
        let assignment = state.assignment_mut(run);
        let is_repetition = assignment.is_some_and(|assignment| assignment.start_orders > 1);
        // An earlier order may have been carried out, and the run may have ended since.
        !is_repetition && refusal != Refusal::SupersededRun
    }

    /// Returns the orders for a worker, if any, and the signal for new ones; `None` when the incarnation of the
    /// worker is over or another process is the owner.
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
        let agent_incarnation = state.agents.get(&known.agent)?.contact.incarnation;
        let mut starts = BTreeMap::new();
        let now = clock::now();
        let mut stops: Vec<TaskRun> = known
            .unexpected_runs
            .iter()
            .filter(|(_, run)| run.needs_stop(now))
            .map(|(run, _)| run.clone())
            .collect();
        stops.truncate(MAX_ORDERS_PER_MESSAGE);
        collect_orders(&state, worker, &mut starts, &mut stops);
        let permitted_until = self
            .starts_permitted_until()
            .filter(|until| clock::now() < *until && self.is_valid());
        if permitted_until.is_none() {
            // Without a valid lease and recent views only orders that stop runs may be sent.
            starts.clear();
        }
        let orders = Orders {
            epoch: self.epoch(),
            worker: worker.clone(),
            agent_incarnation,
            acknowledged: known.acknowledged,
            starts_expire_ms: permitted_until.map_or(0, |until| self.clock_ms(until)),
            starts: starts.into_values().collect(),
            stops,
            paces: Vec::new(),
        };
        // An acknowledgement alone is sent with the answer to the next report, unless it has to show that orders can be
        // delivered again.
        let is_empty =
            orders.starts.is_empty() && orders.stops.is_empty() && !known.needs_probe(now);
        Some(((!is_empty).then_some(orders), signal))
    }

    /// Returns whether another process is known to be the owner.
    pub(crate) fn is_superseded(&self) -> bool {
        self.ownership
            .lease_row()
            .is_some_and(|owner| owner.epoch > self.epoch())
    }

    /// Applies the results of orders that a worker has answered.
    fn apply_results(self: &Rc<Self>, worker: &WorkerRef, answer: &OrdersAnswer) {
        for result in &answer.starts {
            self.metrics.record_order("start", result.outcome.name());
            self.apply_start_result(worker, result);
        }
        for result in &answer.stops {
            self.metrics.record_order("stop", result.outcome.name());
            self.apply_stop_result(worker, result);
        }
    }

    /// Applies the result of an order to start a task.
    fn apply_start_result(&self, worker: &WorkerRef, result: &StartResult) {
        let now = clock::now();
        match result.outcome {
            TaskOutcome::Done => {
                self.state.borrow_mut().record_start_on(worker, now);
                self.with_run(&result.run, |run| {
                    if let Some(assignment) = run.assignment_mut(result.run.task.index)
                        && assignment.state == AssignmentState::Ordered
                    {
                        assignment.enter(AssignmentState::Running, now);
                    }
                    if run.all_running_since.is_none() && run.is_fully_running() {
                        run.all_running_since = Some(now);
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
                match refusal {
                    Refusal::Unhealthy => self.record_worker_failure(worker),
                    // The worker may reject what the job asks for.
                    Refusal::Malformed => {
                        let job = &result.run.task.job;
                        let mut state = self.state.borrow_mut();
                        self.record_run_failure(&mut state, worker, job, now);
                    }
                    _ => {}
                }
                if self.is_refusal_final(&result.run, refusal) {
                    self.apply_end(worker, &result.run, EndKind::Lost, None);
                } else {
                    self.stop_task(&result.run);
                }
            }
            TaskOutcome::Unknown | TaskOutcome::Absent => {
                warn!(target: event::START_UNANSWERED,
                    task:% = result.run.task,
                    run = result.run.run,
                    worker = &*worker.id;
                    "the worker did not answer an order to start a task, stopping the run"
                );
                self.record_worker_failure(worker);
                self.stop_task(&result.run);
            }
        }
    }

    /// Applies the result of an order to stop a task.
    fn apply_stop_result(&self, worker: &WorkerRef, result: &StartResult) {
        let now = clock::now();
        {
            let mut state = self.state.borrow_mut();
            if let Some(known) = state.workers.get_mut(&worker.id) {
                match result.outcome {
                    TaskOutcome::Done => {
                        if let Some(run) = known.unexpected_runs.get_mut(&result.run) {
                            run.stop_accepted_at = Some(now);
                        }
                    }
                    TaskOutcome::Absent => {
                        let is_known = known.unexpected_runs.remove(&result.run).is_some();
                        state.needs_decision |= is_known;
                    }
                    TaskOutcome::Refused(_) | TaskOutcome::Unknown => {}
                }
            }
        }
        match result.outcome {
            TaskOutcome::Done => {
                self.with_run(&result.run, |run| {
                    if let Some(assignment) = run.assignment_mut(result.run.task.index) {
                        assignment.stop = StopState::Accepted(now);
                    }
                });
            }
            TaskOutcome::Absent => {
                let checkpoint = self
                    .state
                    .borrow_mut()
                    .assignment_mut(&result.run)
                    .and_then(|assignment| assignment.checkpoint.clone());
                self.apply_end(worker, &result.run, EndKind::Lost, checkpoint.as_deref());
            }
            TaskOutcome::Refused(_) | TaskOutcome::Unknown => {}
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

    /// Applies a change to a run, if it is known. No orders may follow from it.
    fn with_run(&self, run: &TaskRun, change: impl FnOnce(&mut LiveRun)) {
        let mut state = self.state.borrow_mut();
        let Some(job) = state.jobs.get_mut(&run.task.job) else {
            return;
        };
        let Some(unit) = job.record.spec.unit_of(&run.task) else {
            return;
        };
        let runs = job.units.get_mut(&unit).map(|live| &mut live.runs);
        let mut runs = runs.into_iter().flatten();
        if let Some(live) = runs.find(|live| live.run == run.run) {
            change(live);
        }
    }
}

impl State {
    /// Records that a worker starts a run at `now`, or has started one.
    fn record_start_on(&mut self, worker: &WorkerRef, now: Instant) {
        if let Some(known) = self.workers.get_mut(&worker.id)
            && known.announcement.worker == *worker
        {
            known.last_start_at = Some(now);
        }
    }
}

/// Collects orders for a worker, as many as one message may contain. The others follow once these are answered.
fn collect_orders(
    state: &State,
    worker: &WorkerRef,
    starts: &mut BTreeMap<(UnitId, Run), StartOrder>,
    stops: &mut Vec<TaskRun>,
) {
    let mut starting = 0;
    let mut payload_bytes = 0;
    for (unit, run, assignment) in state.assignments_on(worker) {
        let Some(job) = state.jobs.get(&unit.job) else {
            continue;
        };
        if assignment.state == AssignmentState::Ended {
            continue;
        }
        if assignment.stop == StopState::Requested && stops.len() < MAX_ORDERS_PER_MESSAGE {
            stops.push(TaskRun {
                task: unit.task_id(assignment.index),
                run: run.run,
            });
        } else if assignment.state == AssignmentState::Ordered
            && assignment.stop == StopState::None
            && starting < MAX_ORDERS_PER_MESSAGE
            && payload_bytes < MAX_PAYLOAD_BYTES
        {
            starting += 1;
            let key = (unit.clone(), run.run);
            let order = starts.entry(key).or_insert_with(|| {
                payload_bytes += job.record.spec.payload.len();
                StartOrder {
                    job: unit.job.clone(),
                    occurrence: unit.occurrence,
                    step: unit.step,
                    tasks: Vec::new(),
                    run: run.run,
                    payload: job.record.spec.payload.clone(),
                    checkpoint: run.resumed_from.clone(),
                    ticket: None,
                    known_lapse_ms: match assignment.assigned_after {
                        AssignedAfter::Lapse(known_ms) => known_ms,
                        AssignedAfter::EarlierTerm => None,
                    },
                }
            });
            order.tasks.push(assignment.index);
        }
    }
}
