//! Simulated workers and their faults.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::platform::events::Event;
use crate::platform::events::EventKind;
use crate::platform::events::TaskEnd;
use crate::platform::task::Task;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;
use nutmegwalk_gang::TaskMetadata;
use nutmegwalk_gang::TaskStatus;
use nutmegwalk_gang::http_worker::TaskKey;

/// Default delay from the start of a task until its resource usage is reported.
const USAGE_LAG: Duration = Duration::from_secs(2);

/// Resources of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerSize {
    /// Processor cores.
    pub cores: u32,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
}

impl WorkerSize {
    /// Size of the current workers of the Joint Venture.
    pub const LARGE: Self = Self {
        cores: 128,
        memory_mb: 256 << 10,
        accelerators: 8,
    };
    /// Size of the current workers of Lamaçal.
    pub const SMALL: Self = Self {
        cores: 64,
        memory_mb: 128 << 10,
        accelerators: 8,
    };
}

/// Faults of one worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerFaults {
    /// Every start fails.
    pub fails_starts: bool,
    /// No command is answered or takes effect; tasks continue until their leases lapse.
    pub unresponsive: bool,
    /// Duration of a checkpoint.
    pub checkpoint_delay: Duration,
    /// Checkpoint commands are never answered.
    pub ignores_checkpoint: bool,
    /// Delay from the start of a task until its resource usage is reported.
    pub usage_lag: Duration,
}

impl Default for WorkerFaults {
    fn default() -> Self {
        Self {
            fails_starts: false,
            unresponsive: false,
            checkpoint_delay: Duration::ZERO,
            ignores_checkpoint: false,
            usage_lag: USAGE_LAG,
        }
    }
}

pub(crate) struct Worker {
    pub(crate) faults: WorkerFaults,
    size: WorkerSize,
    is_alive: bool,
    tasks: Vec<Task>,
}

/// All workers and the event log of their tasks.
pub(crate) struct Workers {
    workers: BTreeMap<WorkerId, Worker>,
    events: Vec<Event>,
    origin: Instant,
}

impl Worker {
    fn position(&self, key: &TaskKey) -> Option<usize> {
        self.tasks.iter().position(|task| {
            let metadata = &task.metadata;
            metadata.job == key.job
                && metadata.attempt == key.attempt
                && metadata.member == key.member
        })
    }

    /// Returns whether the worker has enough free resources to run `task` in addition to its running tasks.
    fn fits(&self, task: &TaskMetadata) -> bool {
        let running = || self.tasks.iter().filter(|task| task.is_running());
        let cores: u64 = running().map(|task| u64::from(task.metadata.cores)).sum();
        let accelerators: u64 = running()
            .map(|task| u64::from(task.metadata.accelerators))
            .sum();
        let memory_mb = running().fold(task.memory_mb, |sum, task| {
            sum.saturating_add(task.metadata.memory_mb)
        });
        cores + u64::from(task.cores) <= u64::from(self.size.cores)
            && accelerators + u64::from(task.accelerators) <= u64::from(self.size.accelerators)
            && memory_mb <= self.size.memory_mb
    }
}

fn no_task(key: &TaskKey) -> Error {
    let detail = format!("no running member {} of {}", key.member, key.job);
    Error::new(ErrorKind::NotFound, detail)
}

impl Workers {
    pub(crate) fn new(origin: Instant) -> Self {
        Self {
            workers: BTreeMap::new(),
            events: Vec::new(),
            origin,
        }
    }

    pub(crate) fn origin(&self) -> Instant {
        self.origin
    }

    pub(crate) fn add(&mut self, name: &str, size: WorkerSize) {
        self.workers.entry(name.into()).or_insert_with(|| Worker {
            faults: WorkerFaults::default(),
            size,
            is_alive: true,
            tasks: Vec::new(),
        });
    }

    /// Returns a worker, also one that is not running.
    pub(crate) fn worker(&mut self, name: &str) -> Result<&mut Worker> {
        self.workers
            .get_mut(name)
            .ok_or_else(|| Error::new(ErrorKind::NotFound, format!("worker {name} does not exist")))
    }

    /// Returns the faults of a running worker.
    ///
    /// # Errors
    /// `not_found` when there is no such worker, `unreachable` when it is not running.
    pub(crate) fn faults_if_alive(&mut self, name: &str) -> Result<WorkerFaults> {
        let worker = self.worker(name)?;
        if !worker.is_alive {
            let detail = format!("worker {name} is not running");
            return Err(Error::new(ErrorKind::Unreachable, detail));
        }
        Ok(worker.faults)
    }

    pub(crate) fn kill(&mut self, name: &str, now: Instant) -> Result<()> {
        self.advance_to(name, now)?;
        let worker = self.worker(name)?;
        worker.is_alive = false;
        for task in std::mem::take(&mut worker.tasks) {
            if task.is_running() {
                self.record(name, &task, now, EventKind::Ended(TaskEnd::Killed));
            }
        }
        Ok(())
    }

    pub(crate) fn restart(&mut self, name: &str) -> Result<()> {
        self.worker(name)?.is_alive = true;
        Ok(())
    }

    pub(crate) fn start(
        &mut self,
        name: &str,
        metadata: TaskMetadata,
        lease: Duration,
        now: Instant,
    ) -> Result<()> {
        self.advance_to(name, now)?;
        let worker = self.worker(name)?;
        let key = TaskKey {
            job: metadata.job.clone(),
            attempt: metadata.attempt,
            member: metadata.member,
        };
        if worker.position(&key).is_some() {
            return Ok(());
        }
        if worker.faults.fails_starts {
            let detail = format!("worker {name} cannot start tasks");
            return Err(Error::new(ErrorKind::Internal, detail));
        }
        if !worker.fits(&metadata) {
            let detail = format!("{} does not fit on worker {name}", metadata.job);
            return Err(Error::new(ErrorKind::InsufficientResources, detail));
        }
        let task = Task::start(metadata, lease, now)?;
        self.record(name, &task, now, EventKind::Started);
        self.worker(name)?.tasks.push(task);
        Ok(())
    }

    pub(crate) fn renew(
        &mut self,
        name: &str,
        key: &TaskKey,
        lease: Duration,
        now: Instant,
    ) -> Result<()> {
        self.running_task(name, key, now)?.renew(lease, now);
        Ok(())
    }

    pub(crate) fn throttle(
        &mut self,
        name: &str,
        key: &TaskKey,
        share_percent: u32,
        now: Instant,
    ) -> Result<()> {
        self.running_task(name, key, now)?.throttle(share_percent);
        Ok(())
    }

    pub(crate) fn checkpoint(&mut self, name: &str, key: &TaskKey, now: Instant) -> Result<u64> {
        Ok(self.running_task(name, key, now)?.checkpoint())
    }

    /// Stops a task and removes it; does nothing when the worker has no such task.
    pub(crate) fn stop(&mut self, name: &str, key: &TaskKey, now: Instant) -> Result<()> {
        self.advance_to(name, now)?;
        let worker = self.worker(name)?;
        if let Some(position) = worker.position(key) {
            let task = worker.tasks.remove(position);
            if task.is_running() {
                self.record(name, &task, now, EventKind::Ended(TaskEnd::Stopped));
            }
        }
        Ok(())
    }

    pub(crate) fn list(&mut self, name: &str, now: Instant) -> Result<Vec<TaskStatus>> {
        self.advance_to(name, now)?;
        let worker = self.worker(name)?;
        let usage_lag = worker.faults.usage_lag;
        Ok(worker
            .tasks
            .iter()
            .map(|task| task.status(usage_lag, now))
            .collect())
    }

    /// Returns all events up to `now`, in order of time.
    pub(crate) fn events(&mut self, now: Instant) -> Vec<Event> {
        let names: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for name in names {
            let _ = self.advance_to(&name, now);
        }
        // Ends are recorded when they are detected, with the time at which they occurred. The sort is
        // stable, so the order of events at the same instant is kept.
        self.events.sort_by_key(|event| event.at);
        self.events.clone()
    }

    fn running_task(&mut self, name: &str, key: &TaskKey, now: Instant) -> Result<&mut Task> {
        self.advance_to(name, now)?;
        let worker = self.worker(name)?;
        let position = worker.position(key).ok_or_else(|| no_task(key))?;
        let task = &mut worker.tasks[position];
        if task.is_running() {
            Ok(task)
        } else {
            Err(no_task(key))
        }
    }

    /// Advances the tasks of a worker to `now` and ends those whose work is done or whose lease has lapsed.
    fn advance_to(&mut self, name: &str, now: Instant) -> Result<()> {
        let mut tasks = std::mem::take(&mut self.worker(name)?.tasks);
        for task in &mut tasks {
            if let Some((at, end)) = task.advance_to(now) {
                self.record(name, task, at, EventKind::Ended(end));
            }
        }
        self.worker(name)?.tasks = tasks;
        Ok(())
    }

    fn record(&mut self, name: &str, task: &Task, at: Instant, kind: EventKind) {
        let metadata = &task.metadata;
        self.events.push(Event {
            at: at.saturating_duration_since(self.origin),
            worker: name.into(),
            job: metadata.job.clone(),
            customer: metadata.customer.clone(),
            attempt: metadata.attempt,
            member: metadata.member,
            gang_size: metadata.agents.len(),
            borrowed: metadata.borrowed,
            progress_ms: task.progress_ms(),
            kind,
        });
    }
}
