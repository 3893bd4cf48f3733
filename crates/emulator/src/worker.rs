//! A worker: it runs tasks under a lease, and its faults are set by a test.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
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

/// Interval at which time passes for tasks.
pub(crate) const TICK: Duration = Duration::from_millis(5);
/// Time for which the members of a gang wait for each other, as the platform's do.
const GANG_WAIT: Duration = Duration::from_millis(3_000);
/// Time until a lasting task is at work.
const LASTING_START: Duration = Duration::from_millis(200);

/// What a worker is.
#[derive(Clone, Debug)]
pub struct WorkerSetup {
    /// Machine, of which each life of the worker is one.
    pub machine: Box<str>,
    /// Service whose tasks it runs.
    pub service: ServiceId,
    /// Data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Kind and rack.
    pub labels: Vec<Box<str>>,
    /// What it has.
    pub capacity: Resources,
    /// Longest lease that it grants.
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
    there_since: Instant,
    /// Work done, over all runs from which this one resumed.
    done: Duration,
    pace_percent: u32,
}

/// One life of a worker.
#[derive(Debug)]
struct Life {
    worker: WorkerRef,
    origin: Instant,
    ticked_at: Instant,
    lease_until_ms: u64,
    fence: Epoch,
    running: Vec<Running>,
    ended: Vec<EndedTask>,
    /// Highest run of each task that was stopped or has ended here.
    closed: BTreeMap<TaskId, u32>,
    next_end: u64,
    /// Ends up to this number were listed when the lease lapsed; to note them says nothing any more.
    lapsed_ends: u64,
    sequence: u64,
}

/// Faults of a worker; they stay until they are taken back.
#[derive(Debug, Default)]
pub struct WorkerFaults {
    /// No connection can be made.
    pub refuses_connections: Cell<bool>,
    /// Calls are carried out, and their answers never come.
    pub loses_answers: Cell<bool>,
    /// Orders to start are not answered and carried out after this time.
    pub start_delay: Cell<Option<Duration>>,
    /// Everything fails at once.
    pub fails_all: Cell<bool>,
    /// Tasks take this many times as long; 0 counts as 1.
    pub slowdown_factor: Cell<u32>,
    /// Tasks stand still.
    pub hangs: Cell<bool>,
}

/// A worker with its successive lives.
#[derive(Debug)]
pub struct EmulatedWorker {
    setup: WorkerSetup,
    life: RefCell<Life>,
    record: EventLog,
    gangs: GangRegistry,
    is_powered: Cell<bool>,
    /// What is wrong with it.
    pub faults: WorkerFaults,
    /// Whether it takes new tasks.
    pub state: Cell<WorkerState>,
}

impl EmulatedWorker {
    /// Creates a worker whose first life has this id, and lets time pass for it.
    #[must_use]
    pub fn new(setup: WorkerSetup, id: &str, record: EventLog, gangs: GangRegistry) -> Rc<Self> {
        let life = Life::new(id, &setup.machine, 1);
        let worker = Rc::new(Self {
            setup,
            life: RefCell::new(life),
            record,
            gangs,
            is_powered: Cell::new(true),
            faults: WorkerFaults::default(),
            state: Cell::new(WorkerState::Ready),
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

    /// Returns what the worker is.
    #[must_use]
    pub fn setup(&self) -> &WorkerSetup {
        &self.setup
    }

    /// Returns the current life.
    #[must_use]
    pub fn current(&self) -> WorkerRef {
        self.life.borrow().worker.clone()
    }

    /// Returns whether the worker has power.
    #[must_use]
    pub fn is_powered(&self) -> bool {
        self.is_powered.get()
    }

    /// Ends the life of the worker without a trace; nothing answers until it is restarted.
    pub fn die(&self) {
        self.is_powered.set(false);
        for running in self.life.borrow_mut().running.drain(..) {
            self.gangs.break_up(&running.run);
            let event = Event::Ended(EndKind::Lost);
            self.record.push(&self.setup.machine, running.run, event);
        }
    }

    /// Begins a new life with this id on the same machine.
    pub fn restart_as(&self, id: &str) {
        self.die();
        let born = self.life.borrow().worker.born_unix_ms + 1;
        *self.life.borrow_mut() = Life::new(id, &self.setup.machine, born);
        self.state.set(WorkerState::Ready);
        self.is_powered.set(true);
    }

    /// Returns whether a run of the task is here.
    #[must_use]
    pub fn runs(&self, task: &str) -> bool {
        let life = self.life.borrow();
        life.running
            .iter()
            .any(|running| running.run.task.to_string() == task)
    }

    /// Returns the next heartbeat; `None` without power.
    pub fn announcement(&self) -> Option<Announcement> {
        if !self.is_powered.get() {
            return None;
        }
        let mut life = self.life.borrow_mut();
        life.sequence += 1;
        Some(Announcement {
            worker: life.worker.clone(),
            service: self.setup.service.clone(),
            data_centre: self.setup.data_centre.clone(),
            rack: self.setup.labels.get(1).cloned(),
            labels: self.setup.labels.clone(),
            capacity: self.setup.capacity,
            state: self.state.get(),
            cold_remaining_ms: 0,
            sequence: life.sequence,
        })
    }

    /// Returns the error of a connection that cannot be made.
    pub(crate) fn check_reachable(&self) -> Result<()> {
        if self.faults.refuses_connections.get() || !self.is_powered.get() {
            return Err(Error::new(ErrorKind::Unreachable, "connection refused"));
        }
        Ok(())
    }

    /// Lets time pass: work is done, gangs gather, the lease lapses.
    fn tick(&self) {
        let now = Instant::now();
        let mut life = self.life.borrow_mut();
        let life = &mut *life;
        let passed = now.saturating_duration_since(life.ticked_at);
        life.ticked_at = now;
        let has_lapsed = life.clock_ms(now) > life.lease_until_ms;
        if has_lapsed {
            life.lapsed_ends = life.next_end - 1;
        }
        for mut running in std::mem::take(&mut life.running) {
            let end = if has_lapsed {
                Some(EndKind::LeaseLapsed)
            } else {
                self.work(&mut running, passed, now)
            };
            match end {
                Some(kind) => self.end(life, running, kind),
                None => life.running.push(running),
            }
        }
    }

    /// Lets a task work for a while; returns how it ends, if it does.
    fn work(&self, running: &mut Running, passed: Duration, now: Instant) -> Option<EndKind> {
        let script = running.script;
        let run = &running.run;
        if self.faults.fails_all.get() {
            return Some(EndKind::Failed);
        }
        if script.gang > 1 {
            if self.gangs.is_broken(run) {
                return Some(EndKind::GangBroken);
            }
            if self.gangs.count(run) < script.gang {
                let is_alone = now.saturating_duration_since(running.there_since) > GANG_WAIT;
                return is_alone.then_some(EndKind::GangIncomplete);
            }
        }
        if !self.faults.hangs.get() {
            let slowdown_factor = self.faults.slowdown_factor.get().max(1);
            running.done += passed * running.pace_percent / 100 / slowdown_factor;
        }
        if script.is_long_running || running.done < script.work_time {
            return None;
        }
        if run.run <= script.failing_runs {
            return Some(EndKind::Failed);
        }
        Some(EndKind::Done)
    }

    fn end(&self, life: &mut Life, running: Running, kind: EndKind) {
        if kind != EndKind::Done {
            self.gangs.break_up(&running.run);
        }
        let machine = &self.setup.machine;
        self.record
            .push(machine, running.run.clone(), Event::Ended(kind));
        life.end(running, kind);
    }

    /// Carries out an order to start.
    pub(crate) fn begin(&self, request: &StartRequest) -> StartAnswer {
        let now = Instant::now();
        let mut life = self.life.borrow_mut();
        let clock_ms = life.clock_ms(now);
        let answer = |refusal| StartAnswer {
            clock_ms: Some(clock_ms),
            refusal,
        };
        if request.worker.id != life.worker.id || !self.is_powered.get() {
            return answer(Some(Refusal::OtherWorker));
        }
        if request.epoch < life.fence {
            return answer(Some(Refusal::StaleEpoch));
        }
        life.fence = request.epoch;
        life.extend_lease(request.lease_until_clock_ms, now, self.setup.max_lease);
        let is_there = |running: &Running| running.run == request.run;
        if life.running.iter().any(is_there) {
            return answer(None);
        }
        if request.lease_until_clock_ms <= clock_ms {
            return answer(Some(Refusal::LeasePassed));
        }
        let closed = life.closed.get(&request.run.task).copied().unwrap_or(0);
        if closed >= request.run.run {
            return answer(Some(Refusal::SupersededRun));
        }
        let script = TaskScript::parse(&request.payload);
        if script.gang > 1 {
            self.gangs.join(&request.run);
        }
        self.record
            .push(&self.setup.machine, request.run.clone(), Event::Began);
        life.running.push(Running {
            run: request.run.clone(),
            script,
            there_since: now,
            done: request.checkpoint.as_deref().map_or(Duration::ZERO, saved),
            pace_percent: 100,
        });
        answer(None)
    }

    /// Checks that a call is meant for this life and not outdated, and notes its epoch.
    pub(crate) fn admit(&self, worker: &WorkerRef, epoch: Epoch) -> Result<()> {
        let mut life = self.life.borrow_mut();
        if worker.id != life.worker.id {
            return Err(Error::new(ErrorKind::NotFound, "another life"));
        }
        if epoch < life.fence {
            return Err(Error::new(ErrorKind::StaleEpoch, "stale epoch"));
        }
        life.fence = epoch;
        Ok(())
    }

    /// Carries out an order to stop.
    pub(crate) fn halt(&self, run: &TaskRun) {
        let mut life = self.life.borrow_mut();
        let position = life.running.iter().position(|running| running.run == *run);
        if let Some(position) = position {
            let running = life.running.remove(position);
            self.end(&mut life, running, EndKind::Stopped);
        } else {
            let closed = life.closed.entry(run.task.clone()).or_default();
            *closed = (*closed).max(run.run);
        }
    }

    /// Sets the pace of a run.
    pub(crate) fn pace(&self, run: &TaskRun, percent: u32) {
        let mut life = self.life.borrow_mut();
        for running in &mut life.running {
            if running.run == *run {
                running.pace_percent = percent.min(100);
            }
        }
    }

    /// Renews the lease and forgets acknowledged ends.
    pub(crate) fn renew(&self, request: &PollRequest) {
        let mut life = self.life.borrow_mut();
        let (noted, kept): (Vec<EndedTask>, _) = std::mem::take(&mut life.ended)
            .into_iter()
            .partition(|end| end.number <= request.acknowledged);
        life.ended = kept;
        let lapsed_ends = life.lapsed_ends;
        for end in noted.into_iter().filter(|end| end.number > lapsed_ends) {
            let event = Event::Noted(end.kind);
            self.record.push(&self.setup.machine, end.run, event);
        }
        if let Some(until_ms) = request.lease_until_clock_ms {
            life.extend_lease(until_ms, Instant::now(), self.setup.max_lease);
        }
    }

    /// Returns whether ends are listed.
    pub(crate) fn has_ended(&self) -> bool {
        !self.life.borrow().ended.is_empty()
    }

    /// Lists what runs and what has ended.
    pub(crate) fn list(&self) -> PollAnswer {
        let life = self.life.borrow();
        PollAnswer {
            clock_ms: life.clock_ms(Instant::now()),
            born_unix_ms: Some(life.worker.born_unix_ms),
            running: life.running.iter().map(Running::listed).collect(),
            ended: life.ended.clone(),
        }
    }
}

/// Returns the work that a checkpoint holds.
fn saved(checkpoint: &str) -> Duration {
    Duration::from_millis(checkpoint.trim_start_matches('c').parse().unwrap_or(0))
}

impl Running {
    fn checkpoint(&self) -> Option<Box<str>> {
        self.script
            .has_checkpoints
            .then(|| format!("c{}", self.done.as_millis()).into_boxed_str())
    }

    fn listed(&self) -> RunningTask {
        let (done, whole) = if self.script.is_long_running {
            (self.there_since.elapsed(), LASTING_START)
        } else {
            (self.done, self.script.work_time)
        };
        let percent = done.as_millis() * 100 / whole.as_millis().max(1);
        RunningTask {
            run: self.run.clone(),
            checkpoint: self.checkpoint(),
            progress_percent: u32::try_from(percent.min(100)).unwrap_or(100),
            recent: None,
        }
    }
}

impl Life {
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
            next_end: 1,
            lapsed_ends: 0,
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
            number: self.next_end,
            run,
            kind,
            checkpoint,
        });
        self.next_end += 1;
    }
}

fn as_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
