//! State of an owner during one term, from acquiring its lease to losing it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use crate::job_table::StoredJob;
use crate::jobs::JobRecord;
use crate::jobs::RunRecord;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;
use nutmegwalk_base::succession::Contact;
use nutmegwalk_config::Configuration;
use nutmegwalk_config::WorkerShape;
use nutmegwalk_fleet::Degraded;
use nutmegwalk_fleet::Fleet;
use nutmegwalk_fleet::GuaranteeSpec;
use nutmegwalk_fleet::JobSpec;
use nutmegwalk_fleet::Placement;
use nutmegwalk_fleet::Policy;
use nutmegwalk_fleet::StopReason;
use nutmegwalk_gang::Attempt;
use nutmegwalk_gang::GangEnd;
use nutmegwalk_gang::GangHandle;
use nutmegwalk_gang::GangMember;
use nutmegwalk_gang::GangReport;
use nutmegwalk_gang::GangSpec;
use nutmegwalk_gang::MemberSpec;
use nutmegwalk_gang::Running;
use nutmegwalk_store::RowVersion;

/// Delay before the first retry of a refused start; it doubles up to 32 times this value.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// First suspension of a worker that did not answer a start; it doubles up to 8 times this value.
const INITIAL_SUSPENSION: Duration = Duration::from_secs(5);

/// State of a job during a term.
pub(crate) enum Phase {
    /// An attempt of an earlier term may still be running; the agents' reports resolve this.
    Unresolved,
    /// The job waits to be placed by the planner.
    Queued,
    /// An attempt is being started.
    Starting {
        /// Reason to stop the job as soon as the start has completed, if requested.
        stop: Option<StopReason>,
    },
    /// The gang is running.
    Running {
        /// Handle for commands to the gang.
        gang: GangHandle<Running>,
        /// When the owner discovered that the gang is running.
        since: Instant,
        /// When the next periodic checkpoint is due.
        checkpoint_at: Instant,
        /// When a member was first reported as ended.
        member_ended: Option<Instant>,
    },
    /// The gang is being stopped, or its end is being recorded.
    Ending,
}

impl Phase {
    /// Returns the phase of a gang that has just been found running.
    pub(crate) fn running(gang: GangHandle<Running>, checkpoint: Duration) -> Self {
        let now = Instant::now();
        // Randomized, so that gangs started or adopted together do not write their checkpoints together.
        let fraction = rand::rng().random_range(0.5..=1.0);
        Self::Running {
            gang,
            since: now,
            checkpoint_at: now + checkpoint.mul_f64(fraction),
            member_ended: None,
        }
    }
}

/// A job of the data centre.
pub(crate) struct JobEntry {
    pub(crate) stored: StoredJob,
    pub(crate) phase: Phase,
    /// When the job was last put into the queue.
    pub(crate) queued_since: Instant,
    /// Consecutive starts that were refused for lack of capacity, permission or connection.
    pub(crate) refusals: u32,
    /// When the job is submitted to the planner again.
    pub(crate) retry_at: Option<Instant>,
}

impl JobEntry {
    pub(crate) fn new(stored: StoredJob, phase: Phase) -> Self {
        Self {
            stored,
            phase,
            queued_since: Instant::now(),
            refusals: 0,
            retry_at: None,
        }
    }

    /// Puts the job back into the queue.
    pub(crate) fn enqueue(&mut self) {
        self.phase = Phase::Queued;
        self.queued_since = Instant::now();
    }

    pub(crate) fn attempt(&self) -> Option<Attempt> {
        self.stored.record.run.as_ref().map(|run| run.attempt)
    }
}

/// A worker as its agent last reported it.
pub(crate) struct WorkerEntry {
    pub(crate) address: SocketAddr,
    pub(crate) contact: Contact,
    pub(crate) last_report_at: Instant,
    pub(crate) usable: bool,
    pub(crate) accelerators: u32,
    /// Consecutive starts that the worker or its agent did not answer.
    pub(crate) unanswered: u32,
    /// Time until which no tasks are placed on the worker.
    pub(crate) suspended_until: Option<Instant>,
    pub(crate) gangs: GangReport,
}

/// State of one term.
pub(crate) struct Term {
    pub(crate) epoch: Epoch,
    pub(crate) started: Instant,
    pub(crate) fleet: Fleet,
    pub(crate) jobs: BTreeMap<JobId, JobEntry>,
    pub(crate) workers: BTreeMap<WorkerId, WorkerEntry>,
    pub(crate) loaded: bool,
    pub(crate) config_version: Option<u64>,
    pub(crate) in_service: bool,
    /// Row versions at which jobs were removed since the current read of the rows began.
    pub(crate) departed: BTreeMap<JobId, RowVersion>,
    last_plan: Instant,
    next_sequence: u64,
    logged_degraded: Vec<Degraded>,
}

impl Term {
    pub(crate) fn new(epoch: Epoch, policy: Policy) -> Self {
        Self {
            epoch,
            started: Instant::now(),
            fleet: Fleet::new(policy),
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            loaded: false,
            config_version: None,
            in_service: true,
            departed: BTreeMap::new(),
            last_plan: Instant::now(),
            next_sequence: 1,
            logged_degraded: Vec::new(),
        }
    }

    /// Returns the time on the planner's clock, which starts with the term.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(crate) fn next_attempt(&mut self) -> Attempt {
        let attempt = Attempt {
            epoch: self.epoch,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        attempt
    }

    /// Excludes a worker from new tasks and reservations until its agent reports again.
    pub(crate) fn set_unresponsive(&mut self, worker: &str) {
        let now = self.now();
        self.fleet.set_worker_usable(worker, false, now);
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.usable = false;
        }
    }

    /// Removes a job that is not running from the planner.
    pub(crate) fn withdraw(&mut self, job: &str) {
        let now = self.now();
        self.fleet.cancel(job, now);
        self.fleet.record_stopped(job, Duration::ZERO, now);
    }

    /// Removes a job; rows of it that were read before its last write are ignored from now on.
    pub(crate) fn remove_job(&mut self, job: &str) {
        if let Some(entry) = self.jobs.remove(job) {
            let id = entry.stored.record.id;
            self.departed.insert(id, entry.stored.version);
        }
    }

    /// Withdraws a job and schedules its resubmission to the planner. The delay grows with the number of
    /// refusals, because each attempt costs a write and a message to every agent.
    pub(crate) fn delay_retry(&mut self, job: &str) {
        self.withdraw(job);
        if let Some(entry) = self.jobs.get_mut(job) {
            let pause = INITIAL_RETRY_DELAY * 2_u32.pow(entry.refusals.min(5));
            entry.refusals = entry.refusals.saturating_add(1);
            entry.retry_at = Some(Instant::now() + pause);
        }
    }

    /// Suspends placements on a worker that did not answer a start.
    pub(crate) fn suspend_worker(&mut self, worker: &str) {
        let now = self.now();
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let pause = INITIAL_SUSPENSION * 2_u32.pow(entry.unanswered.min(3));
        log::warn!(worker = worker; "a start was not answered; placements on the worker are suspended for {pause:?}");
        entry.unanswered = entry.unanswered.saturating_add(1);
        entry.suspended_until = Some(Instant::now() + pause);
        entry.usable = false;
        self.fleet.set_worker_usable(worker, false, now);
    }

    /// Extends the workers' report deadlines by a pause of this process, during which their reports could not be
    /// handled.
    pub(crate) fn compensate_for_pause(&mut self, tick: Duration) {
        let pause = self.last_plan.elapsed();
        self.last_plan = Instant::now();
        if pause < tick * 10 {
            return;
        }
        for worker in self.workers.values_mut() {
            worker.last_report_at = (worker.last_report_at + pause).min(self.last_plan);
        }
    }

    /// Applies the parts of a configuration that concern the data centre.
    pub(crate) fn apply_configuration(
        &mut self,
        configuration: &Configuration,
        data_centre: &str,
        in_service: bool,
    ) {
        if self.config_version == Some(configuration.version) {
            return;
        }
        self.config_version = Some(configuration.version);
        let now = self.now();
        for (name, customer) in &configuration.customers {
            self.fleet.set_customer_weight(name, customer.weight, now);
        }
        self.fleet
            .set_guarantees(guarantees_of(configuration, data_centre), now);
        self.in_service = in_service;
        self.fleet.set_in_service(in_service, now);
    }

    /// Logs the guarantees that the remaining workers cannot satisfy, after each change.
    pub(crate) fn log_degraded(&mut self) {
        let degraded = self.fleet.degraded();
        if degraded == self.logged_degraded {
            return;
        }
        for guarantee in &degraded {
            log::warn!(
                customer = &*guarantee.customer, guarantee = &*guarantee.guarantee;
                "guarantee_degraded: {} parts have no worker", guarantee.lost_parts
            );
        }
        if degraded.is_empty() {
            log::info!("all guarantees are satisfied again");
        }
        self.logged_degraded = degraded;
    }

    /// Returns the gang of a job's attempt with the current addresses of its agents, which change when an
    /// agent restarts at another address.
    pub(crate) fn current_gang(&self, job: &str) -> Option<GangSpec> {
        let record = &self.jobs.get(job)?.stored.record;
        self.gang_spec(record, record.run.as_ref()?).ok()
    }

    /// Builds the gang spec of a job from its placements.
    pub(crate) fn gang_spec(&self, record: &JobRecord, run: &RunRecord) -> Result<GangSpec> {
        let mut members = Vec::new();
        for placement in &run.placements {
            let worker = self.workers.get(&placement.worker).ok_or_else(|| {
                Error::new(
                    ErrorKind::Unreachable,
                    format!("worker `{}` is not known", placement.worker),
                )
            })?;
            for _ in 0..placement.tasks {
                members.push(GangMember {
                    spec: member_spec(u32::try_from(members.len()).unwrap_or(u32::MAX), record),
                    agent: worker.address,
                    worker: placement.worker.clone(),
                });
            }
        }
        Ok(GangSpec {
            job: record.id.clone(),
            attempt: run.attempt,
            customer: record.customer.clone(),
            borrowed: run.borrowed,
            payload: record.request.payload.clone(),
            checkpoint_ms: record.checkpoint_ms,
            members,
        })
    }
}

fn member_spec(member: u32, record: &JobRecord) -> MemberSpec {
    let WorkerShape {
        cores,
        memory_mb,
        accelerators,
    } = record.request.shape;
    MemberSpec {
        member,
        cores,
        memory_mb,
        accelerators,
    }
}

/// Converts a job's row to the planner's specification.
pub(crate) fn job_spec(record: &JobRecord) -> JobSpec {
    let request = &record.request;
    let mut spec = JobSpec::new(
        record.id.clone(),
        record.customer.clone(),
        request.service.clone(),
        request.tasks,
        request.shape.to_shape(),
    )
    .with_adjacency(request.adjacency.to_planner());
    spec.guarantee = request.guarantee.clone();
    spec.declared_run_time = Duration::from_millis(request.declared_run_ms.unwrap_or(0));
    spec.checkpoint = Duration::from_millis(record.checkpoint_ms);
    spec.time_since_accepted =
        Duration::from_millis(crate::jobs::unix_ms().saturating_sub(record.accepted_unix_ms));
    spec
}

/// Returns the guarantees whose home or standby is `data_centre`.
fn guarantees_of(configuration: &Configuration, data_centre: &str) -> Vec<GuaranteeSpec> {
    let mut specs = Vec::new();
    for (customer, entry) in &configuration.customers {
        for (name, guarantee) in &entry.guarantees {
            let is_home = &*guarantee.data_centre == data_centre;
            if is_home || guarantee.standby.as_deref() == Some(data_centre) {
                specs.push(guarantee.to_spec(customer, name));
            }
        }
    }
    specs
}

/// State of an attempt according to the reports of all its workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptStatus {
    /// A worker of the attempt has not sent a valid report yet.
    Incomplete,
    /// All parts are running.
    Running,
    /// The gang has ended, as observed by its lead.
    Ended(GangEnd),
    /// A part is missing, so the remaining ones have to be stopped.
    Broken,
}

/// Evaluates an attempt from the reports of the workers in `placements`.
///
/// Only reports of agents that already refuse epochs below `epoch` count, because others could still
/// start the attempt for an earlier owner. Once `is_quiet_period_over`, workers without such a report count as
/// not running the attempt.
pub(crate) fn evaluate_attempt(
    workers: &BTreeMap<WorkerId, WorkerEntry>,
    job: &str,
    attempt: Attempt,
    placements: &[Placement],
    epoch: Epoch,
    is_quiet_period_over: bool,
) -> AttemptStatus {
    use nutmegwalk_gang::AttemptPhase;

    let mut all_run = true;
    let mut incomplete = false;
    for placement in placements {
        let report = workers
            .get(&placement.worker)
            .map(|worker| &worker.gangs)
            .filter(|gangs| {
                gangs.recovered && gangs.epoch_floor.is_some_and(|floor| floor >= epoch)
            });
        let Some(report) = report else {
            incomplete = true;
            continue;
        };
        let found = report
            .attempts
            .iter()
            .find(|part| &*part.job == job && part.attempt == attempt);
        match found {
            // A part ends as finished only after the lead found that all members have finished.
            Some(part) if part.end == Some(GangEnd::Finished) => {
                return AttemptStatus::Ended(GangEnd::Finished);
            }
            Some(part) if part.lead && part.phase == AttemptPhase::Ended => {
                return AttemptStatus::Ended(part.end.unwrap_or(GangEnd::Lost));
            }
            Some(part) if part.phase == AttemptPhase::Running => {}
            _ => all_run = false,
        }
    }
    match (all_run, incomplete) {
        (true, false) => AttemptStatus::Running,
        (_, true) if !is_quiet_period_over => AttemptStatus::Incomplete,
        _ => AttemptStatus::Broken,
    }
}
