//! Emulated worker: runs tasks under a lease, with faults that a test sets.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::Event;
use crate::EventLog;
use crate::GangRegistry;
use crate::TaskScript;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::ServiceId;
use nutmegwalk_supervisor::Announcement;
use nutmegwalk_supervisor::EndedTask;
use nutmegwalk_supervisor::PollAnswer;
use nutmegwalk_supervisor::PollRequest;
use nutmegwalk_supervisor::Refusal;
use nutmegwalk_supervisor::RunningTask;
use nutmegwalk_supervisor::StartAnswer;
use nutmegwalk_supervisor::StartRequest;
use nutmegwalk_supervisor::TaskRun;
use nutmegwalk_supervisor::WorkerState;
use nutmegwalk_workload::EndKind;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::TaskId;
use nutmegwalk_workload::WorkerRef;

/// Interval at which the progress of tasks and the lease are updated.
pub(crate) const TICK: Duration = Duration::from_millis(5);
/// Time that a member waits for its gang to be complete, as on the platform's workers.
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Startup time of a long-running task, after which it reports 100 percent progress.
const LONG_RUNNING_STARTUP: Duration = Duration::from_millis(200);
/// Initial value of [`EmulatedWorker::restart_delay`].
const RESTART_DELAY: Duration = Duration::from_millis(800);

/// Static description of a worker.
#[derive(Clone, Debug)]
pub struct WorkerSetup {
    /// Machine that the worker runs on; all incarnations of the worker share it.
    pub machine: Box<str>,
    /// Service whose tasks the worker runs.
    pub service: ServiceId,
    /// Data centre that the worker is in.
    pub data_centre: DataCentreId,
    /// Kind and rack, in this order.
    pub labels: Vec<Box<str>>,
    /// Resources of the worker.
    pub capacity: Resources,
    /// Longest lease that the worker grants.
    pub max_lease: Duration,
}

impl WorkerSetup {
    /// Creates a setup with eight accelerators in `rack` of `data_centre`.
    #[must_use]
    pub fn new(machine: &str, service: &str, data_centre: &str, rack: &str) -> Self {
        Self {
            machine: machine.into(),
            service: service.into(),
            data_centre: data_centre.into(),
            labels: vec!["a".into(), rack.into()],
            capacity: Resources::new(128_000, 262_144, 8),
            max_lease: Duration::from_secs(6),
        }
    }
}

#[derive(Clone, Debug)]
struct Running {
    run: TaskRun,
    script: TaskScript,
    started_at: Instant,
    /// Work done, including the work of earlier runs from whose checkpoint this run resumed.
    done: Duration,
    pace_percent: u32,
    /// When the run ends because it was told to stop.
    stops_at: Option<Instant>,
}

/// State of one incarnation of a worker.
#[derive(Debug)]
struct Incarnation {
    worker: WorkerRef,
    origin: Instant,
    ticked_at: Instant,
    lease_until_ms: u64,
    fence: Epoch,
    running: Vec<Running>,
    ended: Vec<EndedTask>,
    /// Highest run of each task that was stopped or has ended in this incarnation.
    closed: BTreeMap<TaskId, u32>,
    next_end_number: u64,
    /// Ends up to this number were listed when the lease lapsed. The owner may have treated their runs as lost, so an
    /// acknowledgement no longer means that the result was recorded. It is not logged.
    lapsed_end_number: u64,
    sequence: u64,
}

/// Faults of a worker; each stays in effect until the test clears it.
#[derive(Debug, Default)]
pub struct WorkerFaults {
    /// Every connection is refused.
    pub refuses_connections: Cell<bool>,
    /// Requests take effect, but their answers never arrive.
    pub loses_responses: Cell<bool>,
    /// Start requests take effect after this delay and are never answered.
    pub start_delay: Cell<Option<Duration>>,
    /// The worker starts again under its id when the next start request arrives, and carries that out.
    pub restarts_before_start: Cell<bool>,
    /// All tasks fail immediately.
    pub fails_all: Cell<bool>,
    /// Factor by which tasks run slower; 0 counts as 1.
    pub slowdown_factor: Cell<u32>,
    /// Tasks make no progress.
    pub stalls: Cell<bool>,
    /// Time that a run takes to stop, during which it uses its resources.
    pub stop_delay: Cell<Duration>,
}

/// What happens when a worker crashes, beside the loss of its tasks.
#[derive(Default)]
struct CrashActions(RefCell<Vec<Box<dyn Fn()>>>);

impl fmt::Debug for CrashActions {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} crash actions", self.0.borrow().len())
    }
}

/// Emulated worker with its successive incarnations.
#[derive(Debug)]
pub struct EmulatedWorker {
    setup: WorkerSetup,
    incarnation: RefCell<Incarnation>,
    log: EventLog,
    gangs: GangRegistry,
    is_powered: Cell<bool>,
    crash_actions: CrashActions,
    /// When the worker starts again after a task has crashed it.
    restart_at: Cell<Option<Instant>>,
    /// Faults of the worker.
    pub faults: WorkerFaults,
    /// State that the worker announces; it does not affect start requests.
    pub state: Cell<WorkerState>,
    /// Time after which the worker is back as a later incarnation when a task has crashed it.
    pub restart_delay: Cell<Duration>,
    /// Whether the worker keeps its id when it is back after a task has crashed it.
    pub keeps_id: Cell<bool>,
    /// Capacity that the worker announces; it does not affect start requests.
    pub capacity: Cell<Resources>,
}

impl EmulatedWorker {
    /// Creates a worker whose first incarnation has the given id, and starts the task that updates it.
    #[must_use]
    pub fn new(setup: WorkerSetup, id: &str, log: EventLog, gangs: GangRegistry) -> Rc<Self> {
        let incarnation = Incarnation::new(id, &setup.machine, 1);
        let capacity = Cell::new(setup.capacity);
        let worker = Rc::new(Self {
            setup,
            incarnation: RefCell::new(incarnation),
            log,
            gangs,
            is_powered: Cell::new(true),
            crash_actions: CrashActions::default(),
            restart_at: Cell::new(None),
            faults: WorkerFaults::default(),
            state: Cell::new(WorkerState::Ready),
            restart_delay: Cell::new(RESTART_DELAY),
            keeps_id: Cell::new(false),
            capacity,
        });
        let ticking = Rc::downgrade(&worker);
        compio::runtime::spawn(async move {
            while let Some(worker) = ticking.upgrade() {
                worker.tick();
                drop(worker);
                compio::time::sleep(TICK).await;
            }
        })
        .detach();
        worker
    }

    /// Returns the static description of the worker.
    #[must_use]
    pub fn setup(&self) -> &WorkerSetup {
        &self.setup
    }

    /// Returns the reference to the current incarnation.
    #[must_use]
    pub fn current_incarnation(&self) -> WorkerRef {
        self.incarnation.borrow().worker.clone()
    }

    /// Returns the end of the lease of the current incarnation, on its clock, in milliseconds.
    #[must_use]
    pub fn lease_until_ms(&self) -> u64 {
        self.incarnation.borrow().lease_until_ms
    }

    /// Returns whether the worker has power.
    #[must_use]
    pub fn is_powered(&self) -> bool {
        self.is_powered.get()
    }

    /// Adds what happens at each crash, such as the end of the connections to the worker.
    pub fn on_crash(&self, action: impl Fn() + 'static) {
        self.crash_actions.0.borrow_mut().push(Box::new(action));
    }

    /// Crashes the worker: its running tasks are lost, and no connection succeeds until it is restarted.
    pub fn crash(&self) {
        self.is_powered.set(false);
        for running in self.incarnation.borrow_mut().running.drain(..) {
            self.gangs.mark_broken(&running.run);
            let event = Event::Ended(EndKind::Lost);
            self.log.push(&self.setup.machine, running.run, event);
        }
        for action in &*self.crash_actions.0.borrow() {
            action();
        }
    }

    /// Starts a new incarnation with the given id on the same machine.
    pub fn restart_as(&self, id: &str) {
        self.crash();
        let born = self.incarnation.borrow().worker.born_unix_ms + 1;
        *self.incarnation.borrow_mut() = Incarnation::new(id, &self.setup.machine, born);
        self.state.set(WorkerState::Ready);
        self.restart_at.set(None);
        self.is_powered.set(true);
    }

    /// Crashes the worker and starts it again as a new incarnation with the id that it had.
    pub fn restart_under_its_id(&self) {
        let id = self.current_incarnation().id;
        self.restart_as(&id);
    }

    /// Crashes the worker, or starts it again, if a task of its script has determined that.
    fn apply_crashing_tasks(&self, now: Instant) {
        let is_crashing = self.incarnation.borrow().running.iter().any(|running| {
            let age = now.saturating_duration_since(running.started_at);
            running.script.crashes_at(running.run.task.index, age)
        });
        if is_crashing {
            self.crash();
            self.restart_at.set(Some(now + self.restart_delay.get()));
        } else if self.restart_at.get().is_some_and(|at| now >= at) {
            if self.keeps_id.get() {
                return self.restart_under_its_id();
            }
            let born_unix_ms = self.incarnation.borrow().worker.born_unix_ms;
            self.restart_as(&format!("{}-{}", self.setup.machine, born_unix_ms + 1));
        }
    }

    /// Returns whether a run of the task is on this worker.
    #[must_use]
    pub fn has_run_of(&self, task: &str) -> bool {
        let incarnation = self.incarnation.borrow();
        incarnation
            .running
            .iter()
            .any(|running| running.run.task.to_string() == task)
    }

    /// Returns the next heartbeat, or `None` while the worker has no power.
    pub fn announcement(&self) -> Option<Announcement> {
        if !self.is_powered.get() {
            return None;
        }
        let mut incarnation = self.incarnation.borrow_mut();
        incarnation.sequence += 1;
        Some(Announcement {
            worker: incarnation.worker.clone(),
            service: self.setup.service.clone(),
            data_centre: self.setup.data_centre.clone(),
            rack: self.setup.labels.get(1).cloned(),
            labels: self.setup.labels.clone(),
            capacity: self.capacity.get(),
            state: self.state.get(),
            cold_remaining_ms: 0,
            sequence: incarnation.sequence,
        })
    }

    /// Checks that a connection to the worker succeeds.
    ///
    /// # Errors
    /// `unreachable` when the worker has no power or refuses connections.
    pub(crate) fn check_reachable(&self) -> Result<()> {
        if self.faults.refuses_connections.get() || !self.is_powered.get() {
            return Err(Error::new(ErrorKind::Unreachable, "connection refused"));
        }
        Ok(())
    }

    /// Advances all tasks to the current time and ends those that are done or whose lease has lapsed.
    fn tick(&self) {
        let now = Instant::now();
        self.apply_crashing_tasks(now);
        let mut incarnation = self.incarnation.borrow_mut();
        let incarnation = &mut *incarnation;
        let elapsed = now.saturating_duration_since(incarnation.ticked_at);
        incarnation.ticked_at = now;
        let has_lapsed = incarnation.clock_ms(now) > incarnation.lease_until_ms;
        if has_lapsed {
            incarnation.lapsed_end_number = incarnation.next_end_number - 1;
        }
        for mut running in std::mem::take(&mut incarnation.running) {
            let end = if has_lapsed {
                Some(EndKind::LeaseLapsed)
            } else {
                self.advance(&mut running, elapsed, now)
            };
            match end {
                Some(kind) => self.end(incarnation, running, kind),
                None => incarnation.running.push(running),
            }
        }
    }

    /// Advances a task by the elapsed time; returns how the task ends, if it ends.
    fn advance(&self, running: &mut Running, elapsed: Duration, now: Instant) -> Option<EndKind> {
        let script = running.script;
        let run = &running.run;
        if let Some(stops_at) = running.stops_at {
            return (now >= stops_at).then_some(EndKind::Stopped);
        }
        if self.faults.fails_all.get() {
            return Some(EndKind::Failed);
        }
        if script.gang > 1 {
            if self.gangs.is_broken(run) {
                return Some(EndKind::GangBroken);
            }
            if self.gangs.member_count(run) < script.gang {
                let is_timed_out = now.saturating_duration_since(running.started_at) > GANG_TIMEOUT;
                return is_timed_out.then_some(EndKind::GangIncomplete);
            }
        }
        if !self.faults.stalls.get() {
            let slowdown_factor = self.faults.slowdown_factor.get().max(1);
            running.done += elapsed * running.pace_percent / 100 / slowdown_factor;
        }
        if running.done < script.work_time {
            return None;
        }
        if run.run <= script.failing_runs {
            return Some(EndKind::Failed);
        }
        (!script.is_long_running).then_some(EndKind::Done)
    }

    fn end(&self, incarnation: &mut Incarnation, running: Running, kind: EndKind) {
        if kind != EndKind::Done {
            self.gangs.mark_broken(&running.run);
        }
        let machine = &self.setup.machine;
        self.log
            .push(machine, running.run.clone(), Event::Ended(kind));
        incarnation.end(running, kind);
    }

    /// Handles a start request.
    pub(crate) fn start_run(&self, request: &StartRequest) -> StartAnswer {
        let now = Instant::now();
        let mut incarnation = self.incarnation.borrow_mut();
        let clock_ms = incarnation.clock_ms(now);
        let answer = |refusal| StartAnswer {
            clock_ms: Some(clock_ms),
            refusal,
        };
        if request.worker.id != incarnation.worker.id || !self.is_powered.get() {
            return answer(Some(Refusal::OtherWorker));
        }
        if request.epoch < incarnation.fence {
            return answer(Some(Refusal::StaleEpoch));
        }
        incarnation.fence = request.epoch;
        incarnation.extend_lease(request.lease_until_clock_ms, now, self.setup.max_lease);
        let is_same_run = |running: &Running| running.run == request.run;
        if incarnation.running.iter().any(is_same_run) {
            return answer(None);
        }
        if request.lease_until_clock_ms <= clock_ms {
            return answer(Some(Refusal::LeasePassed));
        }
        let closed = incarnation
            .closed
            .get(&request.run.task)
            .copied()
            .unwrap_or(0);
        if closed >= request.run.run {
            return answer(Some(Refusal::SupersededRun));
        }
        let script = TaskScript::parse(&request.payload);
        if script.gang > 1 {
            self.gangs.add_member(&request.run);
        }
        let machine = &self.setup.machine;
        self.log.push(machine, request.run.clone(), Event::Started);
        let others = incarnation.running.iter();
        let demand = others.fold(script.demand, |sum, running| {
            sum.plus(running.script.demand)
        });
        if !demand.fits(self.setup.capacity) {
            self.log
                .push(machine, request.run.clone(), Event::ExceededCapacity);
        }
        incarnation.running.push(Running {
            run: request.run.clone(),
            script,
            started_at: now,
            done: request
                .checkpoint
                .as_deref()
                .map_or(Duration::ZERO, checkpointed_work),
            pace_percent: 100,
            stops_at: None,
        });
        answer(None)
    }

    /// Checks that a request addresses the current incarnation under a current epoch, and records the epoch.
    ///
    /// # Errors
    /// `not_found` for another incarnation, `stale_epoch` when a higher epoch was recorded before.
    pub(crate) fn admit(&self, worker: &WorkerRef, epoch: Epoch) -> Result<()> {
        let mut incarnation = self.incarnation.borrow_mut();
        if worker.id != incarnation.worker.id {
            return Err(Error::new(
                ErrorKind::NotFound,
                "another incarnation of the worker is running",
            ));
        }
        if epoch < incarnation.fence {
            return Err(Error::new(ErrorKind::StaleEpoch, "stale epoch"));
        }
        incarnation.fence = epoch;
        Ok(())
    }

    /// Handles a stop request; a run that is not on the worker can no longer start afterwards.
    pub(crate) fn stop_run(&self, run: &TaskRun) {
        let mut incarnation = self.incarnation.borrow_mut();
        let position = incarnation
            .running
            .iter()
            .position(|running| running.run == *run);
        let stop_delay = self.faults.stop_delay.get();
        if let Some(position) = position
            && !stop_delay.is_zero()
        {
            let stops_at = &mut incarnation.running[position].stops_at;
            stops_at.get_or_insert(Instant::now() + stop_delay);
        } else if let Some(position) = position {
            let running = incarnation.running.remove(position);
            self.end(&mut incarnation, running, EndKind::Stopped);
        } else {
            let closed = incarnation.closed.entry(run.task.clone()).or_default();
            *closed = (*closed).max(run.run);
        }
    }

    /// Sets the pace of a run, in percent of full speed.
    pub(crate) fn set_pace(&self, run: &TaskRun, percent: u32) {
        let mut incarnation = self.incarnation.borrow_mut();
        for running in &mut incarnation.running {
            if running.run == *run {
                running.pace_percent = percent.min(100);
            }
        }
    }

    /// Renews the lease and removes acknowledged ends.
    pub(crate) fn renew(&self, request: &PollRequest) {
        let mut incarnation = self.incarnation.borrow_mut();
        let (acknowledged, kept): (Vec<EndedTask>, _) = std::mem::take(&mut incarnation.ended)
            .into_iter()
            .partition(|end| end.number <= request.acknowledged);
        incarnation.ended = kept;
        let lapsed_end_number = incarnation.lapsed_end_number;
        for end in acknowledged
            .into_iter()
            .filter(|end| end.number > lapsed_end_number)
        {
            let event = Event::Acknowledged(end.kind);
            self.log.push(&self.setup.machine, end.run, event);
        }
        if let Some(until_ms) = request.lease_until_clock_ms {
            incarnation.extend_lease(until_ms, Instant::now(), self.setup.max_lease);
        }
    }

    /// Returns whether any ends await acknowledgement.
    pub(crate) fn has_unacknowledged_ends(&self) -> bool {
        !self.incarnation.borrow().ended.is_empty()
    }

    /// Returns the running tasks and the unacknowledged ends.
    pub(crate) fn poll_answer(&self) -> PollAnswer {
        let incarnation = self.incarnation.borrow();
        PollAnswer {
            clock_ms: incarnation.clock_ms(Instant::now()),
            born_unix_ms: Some(incarnation.worker.born_unix_ms),
            running: incarnation
                .running
                .iter()
                .map(Running::to_running_task)
                .collect(),
            ended: incarnation.ended.clone(),
            ..PollAnswer::default()
        }
    }
}

/// Returns the work done up to a checkpoint.
fn checkpointed_work(checkpoint: &str) -> Duration {
    Duration::from_millis(checkpoint.trim_start_matches('c').parse().unwrap_or(0))
}

impl Running {
    fn checkpoint(&self) -> Option<Box<str>> {
        self.script
            .has_checkpoints
            .then(|| format!("c{}", self.done.as_millis()).into_boxed_str())
    }

    fn to_running_task(&self) -> RunningTask {
        let (done, total) = if self.script.is_long_running {
            (self.started_at.elapsed(), LONG_RUNNING_STARTUP)
        } else {
            (self.done, self.script.work_time)
        };
        let percent = done.as_millis() * 100 / total.as_millis().max(1);
        RunningTask {
            run: self.run.clone(),
            checkpoint: self.checkpoint(),
            progress_percent: u32::try_from(percent.min(100)).unwrap_or(100),
            recent: None,
        }
    }
}

impl Incarnation {
    fn new(id: &str, machine: &str, born_unix_ms: u64) -> Self {
        let now = Instant::now();
        Self {
            worker: WorkerRef {
                id: id.into(),
                born_unix_ms,
                machine: Some(machine.into()),
            },
            origin: now,
            ticked_at: now,
            lease_until_ms: 0,
            fence: 0,
            running: Vec::new(),
            ended: Vec::new(),
            closed: BTreeMap::new(),
            next_end_number: 1,
            lapsed_end_number: 0,
            sequence: 0,
        }
    }

    fn clock_ms(&self, now: Instant) -> u64 {
        as_ms(now.saturating_duration_since(self.origin))
    }

    fn extend_lease(&mut self, until_ms: u64, now: Instant, max_lease: Duration) {
        let longest_ms = self.clock_ms(now) + as_ms(max_lease);
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(longest_ms));
    }

    fn end(&mut self, running: Running, kind: EndKind) {
        let checkpoint = running.checkpoint();
        let run = running.run;
        let closed = self.closed.entry(run.task.clone()).or_default();
        *closed = (*closed).max(run.run);
        self.ended.push(EndedTask {
            number: self.next_end_number,
            run,
            kind,
            checkpoint,
        });
        self.next_end_number += 1;
    }
}

fn as_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
