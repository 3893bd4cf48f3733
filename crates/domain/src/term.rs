//! State of one term, from the acquisition of the lease until another process takes over or it is released.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::Level;
use log::info;
use log::log;
use log::warn;

use crate::capacity::TaskCapacity;
use crate::cleanup::DeletedJobs;
use crate::crash::KnownCrash;
use crate::directory::AgentDirectory;
use crate::health::may_be_worker_fault;
use crate::job::Assignment;
use crate::job::AssignmentState;
use crate::job::Job;
use crate::job::LiveRun;
use crate::metrics::DomainMetrics;
use crate::run_index::RunIndex;
use crate::settings::DomainSettings;
use crate::time::WallClock;
use crate::worker::AgentInfo;
use crate::worker::Worker;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::JobId;
use nutmegwalk_base::ProcessId;
use nutmegwalk_base::WorkerId;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_base::signal::Signal;
use nutmegwalk_lease::HeldLease;
use nutmegwalk_lease::Ownership;
use nutmegwalk_net::Client;
use nutmegwalk_placement::DomainHealth;
use nutmegwalk_placement::HealthSettings;
use nutmegwalk_placement::RunTimeEstimates;
use nutmegwalk_policy::PolicyView;
use nutmegwalk_store::Follower;
use nutmegwalk_store::StoreClient;
use nutmegwalk_supervisor::TaskRun;
use nutmegwalk_workload::EndEffect;
use nutmegwalk_workload::EndKind;
use nutmegwalk_workload::JobState;
use nutmegwalk_workload::QueuePolicy;
use nutmegwalk_workload::Run;
use nutmegwalk_workload::UnitId;
use nutmegwalk_workload::WorkerRef;

/// State shared by the asynchronous tasks of one term.
pub(crate) struct Term {
    pub(crate) settings: DomainSettings,
    pub(crate) held: HeldLease,
    pub(crate) ownership: Rc<Ownership>,
    pub(crate) store: StoreClient,
    pub(crate) client: Client,
    pub(crate) policy: PolicyView,
    /// Follows the job rows.
    pub(crate) jobs: Rc<Follower>,
    pub(crate) metrics: DomainMetrics,
    pub(crate) started_at: Instant,
    pub(crate) wall_clock: WallClock,
    pub(crate) state: RefCell<State>,
    /// Raised when a decision may have become possible.
    pub(crate) wake: Signal,
    /// Whether the jobs have been read from the store.
    pub(crate) is_loaded: Cell<bool>,
    /// Number of decisions made in this term.
    pub(crate) decisions: Cell<u64>,
}

/// Jobs, workers and agents of the domain.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) deleted_jobs: DeletedJobs,
    /// Current incarnation of each worker.
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    pub(crate) agents: BTreeMap<ProcessId, AgentInfo>,
    pub(crate) run_times: RunTimeEstimates,
    pub(crate) health: DomainHealth,
    /// The runs of all jobs, by worker.
    pub(crate) runs: RunIndex,
    pub(crate) directory: AgentDirectory,
    pub(crate) task_capacity: TaskCapacity,
    /// Crashes of workers that were reported in this term, for a while.
    pub(crate) crashes: Vec<KnownCrash>,
    /// Whether something has changed that a decision depends on.
    pub(crate) needs_decision: bool,
    /// Jobs with changed progress that has to be stored.
    dirty: BTreeSet<JobId>,
    /// Workers whose dispatchers have to be woken.
    pending_notifications: BTreeSet<WorkerId>,
}

impl Term {
    pub(crate) fn epoch(&self) -> Epoch {
        self.held.epoch
    }

    /// Returns whether this process is guaranteed to be the owner now.
    pub(crate) fn is_valid(&self) -> bool {
        self.ownership.current() == Some(self.held)
    }

    /// Returns the instant until which tasks may be started: the views of the jobs and of the operators' rows are
    /// recent enough until then. `None` before the first read of either.
    pub(crate) fn starts_permitted_until(&self) -> Option<Instant> {
        let by_jobs = self.jobs.confirmed_at()? + self.settings.max_job_age;
        let by_policy = self.policy.confirmed_at()? + self.settings.max_policy_age;
        Some(by_jobs.min(by_policy))
    }

    /// Returns the time of `instant` on the clock of this term, in milliseconds since it began.
    pub(crate) fn clock_ms(&self, instant: Instant) -> u64 {
        as_ms(instant.saturating_duration_since(self.started_at))
    }

    /// Returns the policy of a job's queue from the current configuration, or the one at the job's acceptance if
    /// the queue is no longer configured.
    pub(crate) fn policy_of(&self, job: &Job) -> QueuePolicy {
        let configuration = self.policy.configuration();
        match configuration.queues.get(&job.record.queue) {
            Some(queue) => queue.policy.clone(),
            None => job.record.policy.clone(),
        }
    }

    /// Starts writing changed progress, wakes dispatchers with new orders, and wakes the planner if a decision
    /// depends on what has changed.
    pub(crate) fn flush(self: &Rc<Self>) {
        self.flush_without_wake();
        if std::mem::take(&mut self.state.borrow_mut().needs_decision) {
            self.wake.raise();
        }
    }

    /// Starts writing changed progress and wakes dispatchers with new orders.
    pub(crate) fn flush_without_wake(self: &Rc<Self>) {
        let (dirty, pending_notifications) = {
            let mut state = self.state.borrow_mut();
            (
                std::mem::take(&mut state.dirty),
                std::mem::take(&mut state.pending_notifications),
            )
        };
        for id in &dirty {
            self.start_writing(id);
        }
        {
            let state = self.state.borrow();
            for id in &pending_notifications {
                if let Some(worker) = state.workers.get(id) {
                    worker.orders.raise();
                }
            }
        }
    }

    /// Applies the end of a task's run and returns the revision of the job that contains its effects; `None` if
    /// the run is unknown or has ended before.
    pub(crate) fn apply_end(
        &self,
        worker: &WorkerRef,
        ended: &TaskRun,
        kind: EndKind,
        checkpoint: Option<&str>,
    ) -> Option<(JobId, u64)> {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let job_id = ended.task.job.clone();
        let job = state.jobs.get_mut(&job_id)?;
        let policy = match self.policy.configuration().queues.get(&job.record.queue) {
            Some(queue) => queue.policy.clone(),
            None => job.record.policy.clone(),
        };
        let unit = job.record.spec.unit_of(&ended.task)?;
        let assignment = job.assignment_mut(&unit, ended.run, ended.task.index)?;
        if assignment.worker != *worker || assignment.state == AssignmentState::Ended {
            return None;
        }
        let started_at = assignment.since;
        assignment.enter(AssignmentState::Ended, now);
        let spec = &job.record.spec;
        let step = &spec.steps[unit.step as usize];
        if kind != EndKind::Done
            && let Some(checkpoint) = checkpoint
        {
            job.progress.save_checkpoint(spec, &ended.task, checkpoint);
        }
        let max_failures = (!step.is_lasting).then_some(policy.max_failures);
        let effect = job
            .progress
            .record_end(spec, &ended.task, ended.run, kind, max_failures);
        let estimate_ms = step.estimate_ms;
        // The ends of the other members of a completed gang add no information.
        let level = if effect == EndEffect::Ignored {
            Level::Debug
        } else {
            Level::Info
        };
        log!(target: event::RUN_ENDED,
            level,
            job = &*job_id,
            task:% = ended.task,
            run = ended.run,
            worker = &*worker.id,
            kind = kind.name(),
            effect:? = effect;
            ""
        );
        self.metrics.record_run_end(kind);
        let live = job.units.entry(unit.clone()).or_default();
        let mut run_time = None;
        // Workers of the runs that this end stops or completes. The ends of further members change nothing for them.
        let mut workers_of_run: BTreeSet<WorkerRef> = BTreeSet::new();
        let mut is_worker_suspect = false;
        for run in &mut live.runs {
            let is_ended = run.run == ended.run;
            if is_ended {
                is_worker_suspect = may_be_worker_fault(step, run, now);
                run_time = run
                    .all_running_since
                    .filter(|_| run.resumed_from.is_none())
                    .map(|since| now.saturating_duration_since(since));
            }
            let is_stopped = if is_ended {
                kind != EndKind::Done && !run.is_stop_requested && {
                    run.stop();
                    true
                }
            } else {
                effect == EndEffect::UnitDone && {
                    run.stop();
                    true
                }
            };
            if is_stopped || is_ended && effect == EndEffect::UnitDone {
                workers_of_run.extend(run.workers().into_iter().cloned());
            }
        }
        match effect {
            EndEffect::UnitDone => {
                live.done_at = Some(now);
                if let Some(run_time) = run_time {
                    state
                        .run_times
                        .observe(&job.record.queue, estimate_ms, run_time);
                }
                for worker in &workers_of_run {
                    state.health.record_success(&job_id, worker);
                }
                job.readiness.mark_stale(unit.occurrence);
            }
            EndEffect::Failed { is_exhausted } => {
                live.failed_on.push(worker.clone());
                if is_exhausted {
                    job.progress.end(JobState::Failed);
                    job.stop_all();
                }
            }
            EndEffect::Interrupted | EndEffect::Ignored => {}
        }
        let workers_of_run = workers_of_run.into_iter().map(|worker| worker.id);
        state.pending_notifications.extend(workers_of_run);
        if matches!(effect, EndEffect::Failed { .. }) && is_worker_suspect {
            self.record_run_failure(state, worker, &job_id, started_at);
        }
        let is_changed = state.remove_ended_runs(&job_id, &unit) || effect != EndEffect::Ignored;
        self.record_job_end(state, &job_id, now);
        if is_changed {
            state.mark_changed(&job_id);
        }
        // An end without effect may follow from another end whose effects are not stored yet.
        let revision = state.jobs.get(&job_id).map_or(0, |job| job.revision);
        Some((job_id, revision))
    }

    /// Stops a run of a unit that will run again, for example because another unit needs its resources.
    pub(crate) fn stop_run(&self, unit: &UnitId, run: Run) {
        let mut state = self.state.borrow_mut();
        let mut workers = Vec::new();
        if let Some(job) = state.jobs.get_mut(&unit.job)
            && let Some(live) = job.units.get_mut(unit)
        {
            for live_run in live.runs.iter_mut().filter(|live_run| live_run.run == run) {
                live_run.stop();
                workers.extend(
                    live_run
                        .workers()
                        .into_iter()
                        .map(|worker| worker.id.clone()),
                );
            }
        }
        state.pending_notifications.extend(workers);
        if state.remove_ended_runs(&unit.job, unit) {
            state.mark_changed(&unit.job);
        }
    }

    /// Records the end of a job if it has just reached a final state.
    pub(crate) fn record_job_end(&self, state: &mut State, id: &JobId, now: Instant) {
        let Some(job) = state.jobs.get_mut(id) else {
            return;
        };
        if job.progress.state.is_final() && job.ended_at.is_none() {
            job.ended_at = Some(now);
            job.progress.ended_unix_ms = Some(self.wall_clock.unix_ms());
            let age = now.saturating_duration_since(job.accepted_at);
            let (ended, priority) = (job.progress.state, job.record.policy.priority);
            self.metrics.record_job_end(ended, priority, age);
            info!(target: event::JOB_ENDED,
                job = &**id,
                queue = &*job.record.queue,
                state = job.progress.state.name(),
                age_ms = as_ms(age);
                ""
            );
        }
    }

    /// Cancels a job and stops its runs, unless it has ended.
    pub(crate) fn cancel(&self, id: &JobId) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let Some(job) = state.jobs.get_mut(id) else {
            return;
        };
        if job.progress.state.is_final() {
            return;
        }
        info!(target: event::JOB_CANCELLED, job = &**id, state = job.progress.state.name(); "");
        job.progress.end(JobState::Cancelled);
        job.stop_all();
        let workers = job
            .units
            .values()
            .flat_map(|unit| &unit.runs)
            .flat_map(|run| &run.assignments)
            .map(|assignment| assignment.worker.id.clone());
        let workers: Vec<WorkerId> = workers.collect();
        state.pending_notifications.extend(workers);
        state.remove_all_ended_runs(id);
        self.record_job_end(&mut state, id, now);
        state.mark_changed(id);
    }

    /// Ends all runs on an incarnation of a worker that is guaranteed to be over. `report` is the number of the
    /// report that shows it.
    pub(crate) fn handle_lost_worker(&self, worker: &WorkerRef, report: Option<u64>, reason: &str) {
        self.end_runs_on(worker, |_| true, report, reason);
        if let Some(known) = self.state.borrow_mut().workers.get_mut(&worker.id)
            && known.announcement.worker == *worker
        {
            known.unexpected_runs.clear();
        }
    }

    /// Ends the runs on an incarnation of a worker for which `is_over` holds.
    pub(crate) fn end_runs_on(
        &self,
        worker: &WorkerRef,
        is_over: impl Fn(&Assignment) -> bool,
        report: Option<u64>,
        reason: &str,
    ) {
        let mut lost = Vec::new();
        for (unit, run, assignment) in self.state.borrow().assignments_on(worker) {
            if assignment.state != AssignmentState::Ended && is_over(assignment) {
                let task = unit.task_id(assignment.index);
                let ended = TaskRun { task, run: run.run };
                lost.push((ended, assignment.checkpoint.clone()));
            }
        }
        if !lost.is_empty() {
            warn!(target: event::RUNS_LOST,
                worker = &*worker.id,
                born_unix_ms = worker.born_unix_ms,
                report:? = report,
                runs = lost.len();
                "runs lost: {reason}"
            );
        }
        for (ended, checkpoint) in lost {
            self.apply_end(worker, &ended, EndKind::Lost, checkpoint.as_deref());
        }
    }
}

impl State {
    /// Creates the state of a term that knows neither jobs nor workers.
    pub(crate) fn new(health: HealthSettings) -> Self {
        Self {
            health: DomainHealth::new(health),
            ..Self::default()
        }
    }

    /// Returns the assignments of tasks to an incarnation of a worker, with their units and runs.
    pub(crate) fn assignments_on<'a>(
        &'a self,
        worker: &'a WorkerRef,
    ) -> impl Iterator<Item = (&'a UnitId, &'a LiveRun, &'a Assignment)> {
        self.runs
            .runs_on(&worker.id)
            .flat_map(move |(unit, number)| {
                let job = self.jobs.get(&unit.job);
                let live = job.and_then(|job| job.units.get(unit));
                let runs = live.into_iter().flat_map(|live| &live.runs);
                runs.filter(move |run| run.run == *number)
                    .flat_map(move |run| {
                        run.assignments
                            .iter()
                            .filter(move |assignment| assignment.worker == *worker)
                            .map(move |assignment| (unit, run, assignment))
                    })
            })
    }

    /// Returns the assignment of the task of a run.
    pub(crate) fn assignment_mut(&mut self, run: &TaskRun) -> Option<&mut Assignment> {
        let job = self.jobs.get_mut(&run.task.job)?;
        let unit = job.record.spec.unit_of(&run.task)?;
        job.assignment_mut(&unit, run.run, run.task.index)
    }

    /// Marks the progress of a job as changed and returns the new revision.
    pub(crate) fn mark_changed(&mut self, id: &JobId) -> u64 {
        let Some(job) = self.jobs.get_mut(id) else {
            return 0;
        };
        job.revision += 1;
        self.dirty.insert(id.clone());
        self.needs_decision = true;
        job.revision
    }

    /// Marks a worker's dispatcher to be woken by the next flush.
    pub(crate) fn queue_notification(&mut self, worker: &WorkerId) {
        self.pending_notifications.insert(worker.clone());
    }

    /// Removes the ended runs of a unit; returns whether the job's progress has changed.
    pub(crate) fn remove_ended_runs(&mut self, id: &JobId, unit: &UnitId) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let Some(live) = job.units.get_mut(unit) else {
            return false;
        };
        let mut is_changed = false;
        for ended in live.runs.extract_if(.., |run| run.has_ended()) {
            live.last_run_ended_at = Some(clock::now());
            self.runs.remove(unit, &ended);
            self.needs_decision = true;
            is_changed |= job
                .progress
                .close_attempt(&job.record.spec, unit, ended.run);
        }
        is_changed
    }

    /// Removes the ended runs of all units of a job.
    pub(crate) fn remove_all_ended_runs(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let units: Vec<UnitId> = job.units.keys().cloned().collect();
        for unit in units {
            self.remove_ended_runs(id, &unit);
        }
    }
}

/// Returns a duration in whole milliseconds.
pub(crate) fn as_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
