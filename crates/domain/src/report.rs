//! Handling of the agents' reports.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;

use crate::directory::AgentDirectory;
use crate::job::AssignmentState;
use crate::job::StopState;
use crate::metrics::DomainMetrics;
use crate::term::State;
use crate::term::Term;
use crate::term::as_ms;
use crate::worker::AgentInfo;
use crate::worker::REPORT_TIMEOUT;
use crate::worker::UnexpectedRun;
use crate::worker::Worker;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_base::signal::Signal;
use nutmegwalk_base::succession::Contact;
use nutmegwalk_base::succession::MessageOrder;
use nutmegwalk_supervisor::Report;
use nutmegwalk_supervisor::ReportAnswer;
use nutmegwalk_supervisor::RunningTask;
use nutmegwalk_supervisor::TaskRun;
use nutmegwalk_supervisor::WorkerState;
use nutmegwalk_supervisor::WorkerStatus;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::WorkerRef;

/// Time for which a report that was sent before a start can still arrive after it.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(1_500);

/// Worker of a report, compared with the agent's report before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReportedWorker {
    /// The same incarnation of the same worker.
    Same,
    /// Another worker, another incarnation, or the first report.
    Other,
}

impl Term {
    /// Applies a report and returns the answer.
    pub(crate) fn apply_report(self: &Rc<Self>, report: &Report) -> ReportAnswer {
        let now = clock::now();
        let reported = match self.record_agent(report, now) {
            Ok(reported) => reported,
            Err(order) => return self.answer_without_effect(report, order, now),
        };
        self.wall_clock.observe(&report.agent, report.unix_ms);
        if let Some(status) = &report.worker {
            // A heartbeat alone does not prove that the incarnation exists.
            if reported == ReportedWorker::Other && status.answer_age_ms.is_some() {
                self.end_superseded_workers(report, &status.announcement.worker);
            }
            self.record_worker(report, status, now);
            self.apply_ends(status);
            self.reconcile_runs(status, now);
            self.end_lapsed_runs(report, status);
            self.apply_crashes(status, now);
            self.withdraw_excess_starts(&status.announcement.worker);
        }
        self.state.borrow_mut().advance_acknowledgements();
        self.flush();
        self.answer(report, now)
    }

    /// Records the agent. Returns an error if the report may not be applied.
    fn record_agent(&self, report: &Report, now: Instant) -> Result<ReportedWorker, MessageOrder> {
        let mut state = self.state.borrow_mut();
        let known = state.agents.get(&report.agent);
        let contact = known.map(|known| known.contact);
        let known_incarnation = contact.map(|contact| contact.incarnation);
        let order = state.order_of(report, self.epoch(), now);
        if let Some(known_incarnation) = known_incarnation {
            if order != MessageOrder::Latest {
                log_report(event::REPORT_DROPPED, report, known_incarnation);
            } else if known_incarnation != report.incarnation {
                log_report(event::AGENT_REPLACED, report, known_incarnation);
            }
        }
        if order != MessageOrder::Latest {
            return Err(order);
        }
        let announcement = report.worker.as_ref().map(|status| &status.announcement);
        let worker = report
            .worker
            .as_ref()
            .filter(|status| status.answer_age_ms.is_some())
            .map(|status| status.announcement.worker.clone());
        let reported = if known.is_some_and(|known| known.worker == worker) {
            ReportedWorker::Same
        } else {
            ReportedWorker::Other
        };
        let info = AgentInfo {
            contact: Contact::after(
                contact.as_ref(),
                report.incarnation,
                report.sequence,
                self.clock_ms(now),
            ),
            address: report.address,
            is_eligible: report.is_eligible,
            data_centre: announcement.map(|announcement| announcement.data_centre.clone()),
            worker,
            last_report_at: now,
        };
        state.agents.insert(report.agent.clone(), info);
        Ok(reported)
    }

    /// Ends the runs that are over because the worker's lease has lapsed since they were assigned.
    fn end_lapsed_runs(&self, report: &Report, status: &WorkerStatus) {
        let worker = &status.announcement.worker;
        let is_current_epoch = report.epoch >= self.epoch();
        self.end_runs_on(
            worker,
            |assignment| {
                assignment
                    .assigned_after
                    .has_lapsed(status, is_current_epoch)
            },
            Some(report.sequence),
            "the worker's lease has lapsed",
        );
        if status.has_lapsed
            && let Some(known) = self.state.borrow_mut().workers.get_mut(&worker.id)
            && known.announcement.worker == *worker
        {
            known.unexpected_runs.clear();
        }
    }

    /// Records the worker and its announcement.
    fn record_worker(self: &Rc<Self>, report: &Report, status: &WorkerStatus, now: Instant) {
        let worker = &status.announcement.worker;
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if let Some(known) = state.workers.get(&worker.id)
            && known.announcement.worker != *worker
        {
            return;
        }
        let is_new = !state.workers.contains_key(&worker.id);
        let entry = state
            .workers
            .entry(worker.id.clone())
            .or_insert_with(|| Worker {
                announcement: status.announcement.clone(),
                agent: report.agent.clone(),
                last_report_at: now,
                answered_at: None,
                lease_expires_at: now,
                lapsed_until_ms: None,
                pending_ends: BTreeMap::new(),
                acknowledged: 0,
                unexpected_runs: BTreeMap::new(),
                orders: Signal::new(),
                leaves_at: None,
                unreachable_since: None,
                up_since: None,
                last_start_at: None,
            });
        let was_responsive = entry.is_responsive(now);
        let has_changed = entry.announcement.capacity != status.announcement.capacity
            || entry.announcement.labels != status.announcement.labels
            || entry.announcement.state != status.announcement.state;
        if entry.announcement.state != status.announcement.state {
            info!(target: event::WORKER_STATE,
                worker = &*worker.id,
                state:? = status.announcement.state;
                ""
            );
        }
        entry.lapsed_until_ms = entry.lapsed_until_ms.max(status.lapsed_until_ms);
        entry.leaves_at = leaves_at(status, now);
        entry.up_since = status
            .up_for_ms
            .and_then(|up_for_ms| now.checked_sub(Duration::from_millis(up_for_ms)));
        entry.announcement = status.announcement.clone();
        entry.agent = report.agent.clone();
        entry.last_report_at = now;
        entry.answered_at = status
            .answer_age_ms
            .and_then(|age_ms| now.checked_sub(Duration::from_millis(age_ms)));
        let is_usable_again = !was_responsive && entry.is_responsive(now);
        state.needs_decision |= is_new || has_changed || is_usable_again;
        if is_new || has_changed {
            state.task_capacity.clear();
        }
        if is_new {
            info!(target: event::WORKER_JOINED,
                worker = &*worker.id,
                born_unix_ms = worker.born_unix_ms,
                agent = &*report.agent,
                data_centre = &*status.announcement.data_centre,
                rack = status.announcement.rack.as_deref().unwrap_or("");
                ""
            );
            self.spawn_dispatcher(worker.clone());
        }
    }

    /// Applies the reported ends that were not applied before.
    fn apply_ends(self: &Rc<Self>, status: &WorkerStatus) {
        let worker = &status.announcement.worker;
        for end in &status.ended {
            let is_known = match self.state.borrow().workers.get(&worker.id) {
                Some(known) if known.announcement.worker == *worker => {
                    end.number <= known.acknowledged || known.pending_ends.contains_key(&end.number)
                }
                _ => return,
            };
            if is_known {
                continue;
            }
            let job_revision =
                self.apply_end(worker, &end.run, end.kind, end.checkpoint.as_deref());
            let mut state = self.state.borrow_mut();
            if let Some(known) = state.workers.get_mut(&worker.id) {
                known.unexpected_runs.remove(&end.run);
                known.pending_ends.insert(end.number, job_revision);
            }
        }
    }

    /// Reconciles the runs that the worker lists with the assigned ones.
    fn reconcile_runs(self: &Rc<Self>, status: &WorkerStatus, now: Instant) {
        let worker = &status.announcement.worker;
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let mut unexpected_runs = BTreeMap::new();
        let answer_age = Duration::from_millis(status.answer_age_ms.unwrap_or(0));
        let listed_at = now.checked_sub(answer_age).unwrap_or(now);
        let has_outlived = |run: &TaskRun| {
            status.answer_age_ms.is_some()
                && status
                    .starting
                    .as_ref()
                    .is_some_and(|starting| !starting.contains(run))
        };
        for task in &status.running {
            let is_expected = state.record_running(worker, task, &self.metrics, listed_at, now);
            if is_expected && has_outlived(&task.run) {
                state.record_outlived(&task.run, listed_at);
            }
            if !is_expected {
                let demand = state.demand_of(&task.run);
                let known = state.workers.get(&worker.id);
                let known = known.and_then(|known| known.unexpected_runs.get(&task.run));
                let run = UnexpectedRun {
                    demand,
                    stop_accepted_at: known.and_then(|known| known.stop_accepted_at),
                };
                unexpected_runs.insert(task.run.clone(), run);
            }
        }
        let running = status.running.iter().map(|task| &task.run);
        let ended = status.ended.iter().map(|end| &end.run);
        let listed: BTreeSet<&TaskRun> = running.chain(ended).collect();
        let has_answered = status.answer_age_ms.is_some();
        if has_answered && state.stop_missing(worker, &listed, now) {
            state.queue_notification(&worker.id);
        }
        let Some(known) = state.workers.get_mut(&worker.id) else {
            return;
        };
        let has_new_run = unexpected_runs
            .keys()
            .any(|run| !known.unexpected_runs.contains_key(run));
        if has_new_run {
            for run in unexpected_runs.keys() {
                warn!(target: event::RUN_UNWANTED, task:% = run.task, run = run.run, worker = &*worker.id; "the worker has an unexpected run, stopping it");
            }
            known.orders.raise();
        }
        state.needs_decision |= known.unexpected_runs.len() != unexpected_runs.len() || has_new_run;
        known.unexpected_runs = unexpected_runs;
    }

    /// Builds the answer to a report that was not applied.
    fn answer_without_effect(
        &self,
        report: &Report,
        order: MessageOrder,
        now: Instant,
    ) -> ReportAnswer {
        let mut state = self.state.borrow_mut();
        state.refresh_directory(now);
        ReportAnswer {
            epoch: self.epoch(),
            worker: None,
            acknowledged: 0,
            hold_for_ms: 0,
            owner_clock_ms: self.clock_ms(now),
            is_unconfirmed: order == MessageOrder::Unconfirmed,
            is_standby: state.directory.is_standby(&report.agent),
            peers: state.directory.peers(Some(&report.agent)),
        }
    }

    /// Builds the answer to a report that was applied.
    fn answer(&self, report: &Report, now: Instant) -> ReportAnswer {
        let mut state = self.state.borrow_mut();
        state.refresh_directory(now);
        let is_standby = state.directory.is_standby(&report.agent);
        // The agent cannot tell whether the lease of a worker that has not answered it has lapsed. Without a renewal
        // the lease ends on the owner's clock.
        let has_answered = report
            .worker
            .as_ref()
            .is_some_and(|status| status.answer_age_ms.is_some());
        let worker_lease = if self.is_valid() && has_answered {
            self.settings.worker_lease
        } else {
            Duration::ZERO
        };
        let worker = report
            .worker
            .as_ref()
            .map(|status| status.announcement.worker.clone());
        let mut acknowledged = 0;
        if let Some(worker) = &worker
            && let Some(known) = state.workers.get_mut(&worker.id)
            && known.announcement.worker == *worker
        {
            acknowledged = known.acknowledged;
            if !worker_lease.is_zero() {
                known.lease_expires_at = known.lease_expires_at.max(now + worker_lease);
            }
        }
        ReportAnswer {
            epoch: self.epoch(),
            worker,
            acknowledged,
            hold_for_ms: as_ms(worker_lease),
            owner_clock_ms: self.clock_ms(now),
            is_unconfirmed: false,
            is_standby,
            peers: state.directory.peers(Some(&report.agent)),
        }
    }

    /// Returns agents that can relay requests to the store.
    pub(crate) fn peers(&self) -> Vec<SocketAddr> {
        let mut state = self.state.borrow_mut();
        state.refresh_directory(clock::now());
        state.directory.peers(None)
    }
}

impl State {
    /// Returns the place of a report that arrives at `now`, in the term with `epoch`.
    fn order_of(&self, report: &Report, epoch: Epoch, now: Instant) -> MessageOrder {
        let known = self.agents.get(&report.agent);
        match report.last_answer {
            Some(answer) => Contact::order(
                known.map(|known| &known.contact),
                report.incarnation,
                report.sequence,
                answer,
                epoch,
            ),
            None => self.order_by_heartbeat(report, now),
        }
    }

    /// Returns the place of a report of an agent of an earlier release, which names no answer.
    fn order_by_heartbeat(&self, report: &Report, now: Instant) -> MessageOrder {
        let Some(known) = self.agents.get(&report.agent) else {
            return MessageOrder::Latest;
        };
        if known.contact.incarnation == report.incarnation {
            return known.contact.order_of_own(report.sequence);
        }
        if now.saturating_duration_since(known.last_report_at) > REPORT_TIMEOUT {
            return MessageOrder::Latest;
        }
        // A new process knows only later heartbeats of the worker.
        let is_late = report.worker.as_ref().is_some_and(|status| {
            let announcement = &status.announcement;
            self.workers
                .get(&announcement.worker.id)
                .is_some_and(|worker| {
                    worker.announcement.worker == announcement.worker
                        && worker.announcement.sequence >= announcement.sequence
                })
        });
        if is_late {
            MessageOrder::Late
        } else {
            MessageOrder::Latest
        }
    }

    /// Records that a worker has a task of a run; returns false if the run is unexpected there.
    fn record_running(
        &mut self,
        worker: &WorkerRef,
        task: &RunningTask,
        metrics: &DomainMetrics,
        listed_at: Instant,
        now: Instant,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&task.run.task.job) else {
            return false;
        };
        let Some(unit) = job.record.spec.unit_of(&task.run.task) else {
            return false;
        };
        let Some(assignment) = job.assignment_mut(&unit, task.run.run, task.run.task.index) else {
            return false;
        };
        if assignment.worker != *worker
            || matches!(
                assignment.state,
                AssignmentState::Ended | AssignmentState::Unstored
            )
        {
            return false;
        }
        assignment.enter(AssignmentState::Running, now);
        assignment.record_progress(task.progress_percent, listed_at);
        if task.checkpoint.is_some() && task.checkpoint != assignment.checkpoint {
            assignment.checkpoint.clone_from(&task.checkpoint);
            assignment.checkpoint_at = Some(now);
        }
        if let Some(live) = job.units.get_mut(&unit)
            && let Some(run) = live.runs.iter_mut().find(|run| run.run == task.run.run)
            && run.all_running_since.is_none()
            && run.is_fully_running()
        {
            run.all_running_since = Some(now);
            if let Some(ready_since) = job.readiness.since(unit.occurrence, unit.step) {
                let delay = now.saturating_duration_since(ready_since);
                let priority = job.record.policy.priority;
                metrics.record_start(priority, run.is_guaranteed, delay);
            }
        }
        true
    }

    /// Requests the stop of runs that the worker should have but does not list; returns whether there are any.
    ///
    /// The worker then refuses them should a delayed order to start them arrive.
    fn stop_missing(
        &mut self,
        worker: &WorkerRef,
        listed: &BTreeSet<&TaskRun>,
        now: Instant,
    ) -> bool {
        let mut missing = Vec::new();
        for (unit, run, assignment) in self.assignments_on(worker) {
            let is_expected = match assignment.state {
                AssignmentState::Inherited => true,
                AssignmentState::Running => {
                    now.saturating_duration_since(assignment.since) > MAX_REPORT_DELAY
                }
                AssignmentState::Unstored | AssignmentState::Ordered | AssignmentState::Ended => {
                    false
                }
            };
            let task = TaskRun {
                task: unit.task_id(assignment.index),
                run: run.run,
            };
            if is_expected && assignment.stop == StopState::None && !listed.contains(&task) {
                missing.push((unit.clone(), run.run, assignment.index));
            }
        }
        for (unit, run, index) in &missing {
            let job = self.jobs.get_mut(&unit.job);
            if let Some(assignment) = job.and_then(|job| job.assignment_mut(unit, *run, *index)) {
                assignment.stop = StopState::Requested;
            }
        }
        !missing.is_empty()
    }

    /// Returns the resources of a task; zero if its job is unknown.
    fn demand_of(&self, run: &TaskRun) -> Resources {
        self.jobs
            .get(&run.task.job)
            .and_then(|job| job.record.spec.step(run.task.step))
            .map(nutmegwalk_workload::StepSpec::allocated_resources)
            .unwrap_or_default()
    }

    /// Advances the acknowledged number of each worker past the ends whose effects are stored.
    pub(crate) fn advance_acknowledgements(&mut self) {
        for worker in self.workers.values_mut() {
            while let Some((number, job_revision)) = worker.pending_ends.first_key_value() {
                let is_stored = match job_revision {
                    Some((job, revision)) => self
                        .jobs
                        .get(job)
                        .is_none_or(|job| job.stored_revision >= *revision),
                    None => true,
                };
                if *number != worker.acknowledged + 1 && worker.acknowledged > 0 || !is_stored {
                    break;
                }
                worker.acknowledged = *number;
                worker.pending_ends.pop_first();
            }
        }
    }

    /// Rebuilds the directory of agents if it is out of date.
    fn refresh_directory(&mut self, now: Instant) {
        if self.directory.is_stale(now) {
            self.directory = AgentDirectory::new(&self.agents, now);
        }
    }
}

/// Logs what the owner does with a report of an agent whose known process is `known_incarnation`.
fn log_report(event: &'static str, report: &Report, known_incarnation: Incarnation) {
    let worker = report
        .worker
        .as_ref()
        .map(|status| &status.announcement.worker);
    info!(target: event,
        agent = &*report.agent,
        incarnation = report.incarnation,
        report = report.sequence,
        known_incarnation = known_incarnation,
        worker = worker.map_or("", |worker| &*worker.id),
        born_unix_ms = worker.map_or(0, |worker| worker.born_unix_ms);
        ""
    );
}

/// Returns the earliest time at which a worker leaves, if it has announced that.
fn leaves_at(status: &WorkerStatus, now: Instant) -> Option<Instant> {
    let WorkerState::Draining {
        remaining_ms: Some(remaining_ms),
    } = status.announcement.state
    else {
        return None;
    };
    let announced_at = now
        .checked_sub(Duration::from_millis(status.heartbeat_age_ms))
        .unwrap_or(now);
    Some(announced_at + Duration::from_millis(remaining_ms))
}
