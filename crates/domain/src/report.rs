//! Taking in the agents' reports.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;

use crate::job::SeatState;
use crate::job::StopState;
use crate::metrics::DomainMetrics;
use crate::term::State;
use crate::term::Term;
use crate::term::as_ms;
use crate::worker::AgentInfo;
use crate::worker::Stray;
use crate::worker::Worker;
use nutmegwalk_base::ProcessId;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_base::signal::Signal;
use nutmegwalk_placement::WorkerHealth;
use nutmegwalk_supervisor::Report;
use nutmegwalk_supervisor::ReportAnswer;
use nutmegwalk_supervisor::RunningTask;
use nutmegwalk_supervisor::TaskRun;
use nutmegwalk_supervisor::WorkerState;
use nutmegwalk_supervisor::WorkerStatus;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::WorkerRef;

/// Agents that stand by to take over the ownership, each in a data centre of its own.
const STANDBYS: usize = 2;
/// Agents that are named as peers, so that one of them is reachable through most cuts.
const PEERS: usize = 4;
/// Time without a report after which an agent is not counted among those that can stand by.
const AGENT_SILENT_AFTER: Duration = Duration::from_secs(5);
/// Time in which a report that was sent before a start can still arrive.
const REPORT_DELAY: Duration = Duration::from_millis(1_500);

impl Term {
    /// Takes in a report and answers it.
    pub(crate) fn take_in(self: &Rc<Self>, report: &Report) -> ReportAnswer {
        let now = clock::now();
        self.wall.observe(&report.agent, report.unix_ms);
        if self.note_agent(report, now)
            && let Some(status) = &report.worker
        {
            self.note_worker(report, status, now);
            self.take_in_ends(status);
            self.match_running(status, now);
            if status.has_lapsed {
                self.lose_worker(&status.announcement.worker, "the worker's lease has lapsed");
            }
        }
        self.state.borrow_mut().advance_acknowledgements();
        self.flush();
        self.answer(report, now)
    }

    /// Notes the agent; returns false for a report that was overtaken by a later one.
    fn note_agent(&self, report: &Report, now: Instant) -> bool {
        let mut state = self.state.borrow_mut();
        if let Some(known) = state.agents.get(&report.agent)
            && known.incarnation == report.incarnation
            && known.sequence >= report.sequence
        {
            return false;
        }
        let data_centre = report
            .worker
            .as_ref()
            .map(|status| status.announcement.data_centre.clone());
        let info = AgentInfo {
            incarnation: report.incarnation,
            sequence: report.sequence,
            address: report.address,
            is_eligible: report.is_eligible,
            data_centre,
            heard_at: now,
        };
        state.agents.insert(report.agent.clone(), info);
        true
    }

    /// Notes the worker's life; runs of an earlier life on the same machine are lost.
    fn note_worker(self: &Rc<Self>, report: &Report, status: &WorkerStatus, now: Instant) {
        let worker = &status.announcement.worker;
        for life in self.superseded_lives(report, worker) {
            self.lose_worker(&life, "a later life of the worker is there");
            let mut state = self.state.borrow_mut();
            if state
                .workers
                .get(&life.id)
                .is_some_and(|known| known.announcement.worker == life)
            {
                state.workers.remove(&life.id);
            }
        }
        let mut state = self.state.borrow_mut();
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
                heard_at: now,
                answered_at: None,
                held_until: now,
                pending_ends: BTreeMap::new(),
                acknowledged: 0,
                told_acknowledged: 0,
                strays: BTreeMap::new(),
                health: WorkerHealth::new(self.settings.health),
                orders: Signal::new(),
                leaves_at: None,
                unreachable_since: None,
            });
        if entry.announcement.state != status.announcement.state {
            info!(target: event::WORKER_STATE,
                worker = &*worker.id,
                state:? = status.announcement.state;
                ""
            );
        }
        entry.leaves_at = leaves_at(status, now);
        entry.announcement = status.announcement.clone();
        entry.agent = report.agent.clone();
        entry.heard_at = now;
        entry.answered_at = status
            .answer_age_ms
            .and_then(|age_ms| now.checked_sub(Duration::from_millis(age_ms)));
        if is_new {
            info!(target: event::WORKER_JOINED,
                worker = &*worker.id,
                born_unix_ms = worker.born_unix_ms,
                agent = &*report.agent,
                data_centre = &*status.announcement.data_centre,
                rack = status.announcement.rack.as_deref().unwrap_or("");
                ""
            );
            drop(state);
            self.serve_worker(worker.clone());
        }
    }

    /// Returns the lives that are over because `worker` is there: those that the same agent reported, and
    /// those of the same machine or id that a predecessor gave runs to.
    fn superseded_lives(&self, report: &Report, worker: &WorkerRef) -> Vec<WorkerRef> {
        let state = self.state.borrow();
        let known = state
            .workers
            .values()
            .filter(|known| known.agent == report.agent)
            .map(|known| &known.announcement.worker)
            .filter(|known| known.born_unix_ms < worker.born_unix_ms);
        let seated = state
            .jobs
            .values()
            .flat_map(|job| job.units.values())
            .flat_map(|unit| &unit.runs)
            .flat_map(|run| &run.seats)
            .map(|seat| &seat.worker)
            .filter(|seated| seated.is_superseded_by(worker));
        let lives: BTreeSet<&WorkerRef> = known.chain(seated).collect();
        lives.into_iter().cloned().collect()
    }

    /// Takes in the ends that are new.
    fn take_in_ends(self: &Rc<Self>, status: &WorkerStatus) {
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
            let follows = self.apply_end(worker, &end.run, end.kind, end.checkpoint.as_deref());
            let mut state = self.state.borrow_mut();
            if let Some(known) = state.workers.get_mut(&worker.id) {
                known.strays.remove(&end.run);
                known.pending_ends.insert(end.number, follows);
            }
        }
    }

    /// Compares what runs on the worker with what should.
    fn match_running(self: &Rc<Self>, status: &WorkerStatus, now: Instant) {
        let worker = &status.announcement.worker;
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let mut strays = BTreeMap::new();
        let answer_age = Duration::from_millis(status.answer_age_ms.unwrap_or(0));
        let listed_at = now.checked_sub(answer_age).unwrap_or(now);
        for task in &status.running {
            if !state.note_running(worker, task, &self.metrics, listed_at, now) {
                let demand = state.demand_of(&task.run);
                strays.insert(task.run.clone(), Stray { demand });
            }
        }
        let is_listed = |run: &TaskRun| {
            status.running.iter().any(|task| task.run == *run)
                || status.ended.iter().any(|end| end.run == *run)
        };
        let has_looked = status.answer_age_ms.is_some();
        if has_looked && state.stop_missing(worker, &is_listed, now) {
            state.tell(&worker.id);
        }
        let Some(known) = state.workers.get_mut(&worker.id) else {
            return;
        };
        let is_news = strays.keys().any(|run| !known.strays.contains_key(run));
        if is_news {
            for run in strays.keys() {
                warn!(target: event::RUN_UNWANTED, task:% = run.task, run = run.run, worker = &*worker.id; "a run that is not wanted is there");
            }
            known.orders.raise();
        }
        known.strays = strays;
    }

    /// Builds the answer to a report.
    fn answer(&self, report: &Report, now: Instant) -> ReportAnswer {
        let mut state = self.state.borrow_mut();
        let is_standby = state.standbys(now).contains(&report.agent);
        let worker_lease = if self.is_valid() {
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
            known.told_acknowledged = known.told_acknowledged.max(acknowledged);
            if !worker_lease.is_zero() {
                known.held_until = known.held_until.max(now + worker_lease);
            }
        }
        ReportAnswer {
            epoch: self.epoch(),
            worker,
            acknowledged,
            hold_for_ms: as_ms(worker_lease),
            is_standby,
            peers: state.peers(Some(&report.agent), now),
        }
    }

    /// Returns agents that can pass requests on to the store.
    pub(crate) fn peers(&self) -> Vec<SocketAddr> {
        self.state.borrow().peers(None, clock::now())
    }
}

impl State {
    /// Notes that a task runs; returns false when it should not.
    fn note_running(
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
        let Some(seat) = job.seat_mut(&unit, task.run.run, task.run.task.index) else {
            return false;
        };
        if seat.worker != *worker || matches!(seat.state, SeatState::Ended | SeatState::Assigned) {
            return false;
        }
        seat.enter(SeatState::Running, now);
        seat.note_progress(task.progress_percent, listed_at);
        if task.checkpoint.is_some() && task.checkpoint != seat.checkpoint {
            seat.checkpoint.clone_from(&task.checkpoint);
            seat.checkpoint_at = Some(now);
        }
        if let Some(live) = job.units.get_mut(&unit)
            && let Some(run) = live.runs.iter_mut().find(|run| run.run == task.run.run)
            && run.whole_since.is_none()
            && run.is_whole()
        {
            run.whole_since = Some(now);
            if let Some(ready_since) = live.ready_since {
                let delay = now.saturating_duration_since(ready_since);
                let priority = job.record.policy.priority;
                metrics.started(priority, run.is_guaranteed, delay);
            }
        }
        true
    }

    /// Has the worker refuse runs that it should have and has not; returns whether there are any.
    fn stop_missing(
        &mut self,
        worker: &WorkerRef,
        is_listed: &dyn Fn(&TaskRun) -> bool,
        now: Instant,
    ) -> bool {
        let mut has_any = false;
        for job in self.jobs.values_mut() {
            for (unit, live) in &mut job.units {
                for run in &mut live.runs {
                    let number = run.run;
                    for seat in run.seats.iter_mut().filter(|seat| seat.worker == *worker) {
                        let is_expected = match seat.state {
                            SeatState::Inherited => true,
                            SeatState::Running => {
                                now.saturating_duration_since(seat.since) > REPORT_DELAY
                            }
                            SeatState::Assigned | SeatState::Ordered | SeatState::Ended => false,
                        };
                        let task = TaskRun {
                            task: unit.task_id(seat.index),
                            run: number,
                        };
                        if is_expected && seat.stop == StopState::None && !is_listed(&task) {
                            seat.stop = StopState::Wanted;
                            has_any = true;
                        }
                    }
                }
            }
        }
        has_any
    }

    /// Returns the size of a task, as far as its job is known.
    fn demand_of(&self, run: &TaskRun) -> Resources {
        self.jobs
            .get(&run.task.job)
            .and_then(|job| job.record.spec.step(run.task.step))
            .map(nutmegwalk_workload::StepSpec::booked)
            .unwrap_or_default()
    }

    /// Moves the acknowledged numbers up over the ends whose consequences are stored.
    pub(crate) fn advance_acknowledgements(&mut self) {
        let mut advanced = Vec::new();
        for worker in self.workers.values_mut() {
            while let Some((number, follows)) = worker.pending_ends.first_key_value() {
                let is_stored = match follows {
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
            if worker.acknowledged > worker.told_acknowledged {
                advanced.push(worker.announcement.worker.id.clone());
            }
        }
        for worker in advanced {
            self.tell(&worker);
        }
    }

    /// Returns live agents other than `except`, of as many data centres as there are.
    fn peers(&self, except: Option<&ProcessId>, now: Instant) -> Vec<SocketAddr> {
        let mut by_data_centre: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
        for (name, agent) in &self.agents {
            let is_live = now.saturating_duration_since(agent.heard_at) < AGENT_SILENT_AFTER;
            if is_live && Some(name) != except {
                let data_centre = agent.data_centre.as_deref().unwrap_or_default();
                by_data_centre
                    .entry(data_centre)
                    .or_default()
                    .push(agent.address);
            }
        }
        let mut peers = Vec::new();
        while peers.len() < PEERS && !by_data_centre.is_empty() {
            by_data_centre.retain(|_, addresses| {
                peers.extend(addresses.pop());
                !addresses.is_empty()
            });
        }
        peers.truncate(PEERS);
        peers
    }

    /// Returns the agents that stand by to take over, the first of each data centre.
    fn standbys(&self, now: Instant) -> Vec<ProcessId> {
        let mut chosen: BTreeMap<&str, &ProcessId> = BTreeMap::new();
        for (name, agent) in &self.agents {
            let is_live = now.saturating_duration_since(agent.heard_at) < AGENT_SILENT_AFTER;
            if agent.is_eligible
                && is_live
                && let Some(data_centre) = &agent.data_centre
            {
                chosen.entry(data_centre).or_insert(name);
            }
        }
        chosen.into_values().take(STANDBYS).cloned().collect()
    }
}

/// Returns the instant until which a worker stays at least, if it has announced that it leaves.
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
