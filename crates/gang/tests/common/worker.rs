//! Fake worker that keeps tasks in memory and stops them when their leases lapse.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::check::Log;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;
use nutmegwalk_gang::Attempt;
use nutmegwalk_gang::TaskMetadata;
use nutmegwalk_gang::TaskState;
use nutmegwalk_gang::TaskStatus;
use nutmegwalk_gang::WorkerApi;

type TaskKey = (Box<str>, Attempt, u32);

struct Task {
    status: TaskStatus,
    lease_until: Instant,
}

pub struct FakeWorker {
    id: WorkerId,
    log: Rc<Log>,
    tasks: Rc<RefCell<BTreeMap<TaskKey, Task>>>,
    /// Whether every start is refused.
    pub refuse_start: Cell<bool>,
    /// Delay before a start takes effect.
    pub start_delay: Cell<Duration>,
    /// Whether checkpoints are never answered.
    pub hang_checkpoint: Cell<bool>,
    pub throttled_percent: Cell<u32>,
    pub renewals: Cell<u64>,
}

impl FakeWorker {
    pub fn new(id: &str, log: Rc<Log>) -> Rc<Self> {
        Rc::new(Self {
            id: id.into(),
            log,
            tasks: Rc::default(),
            refuse_start: Cell::new(false),
            start_delay: Cell::new(Duration::ZERO),
            hang_checkpoint: Cell::new(false),
            throttled_percent: Cell::new(100),
            renewals: Cell::new(0),
        })
    }

    pub fn running(&self) -> usize {
        let tasks = self.tasks.borrow();
        tasks
            .values()
            .filter(|task| task.status.state == TaskState::Running)
            .count()
    }

    pub fn listed(&self) -> usize {
        self.tasks.borrow().len()
    }

    /// Ends all running tasks in `state`, as if they had ended by themselves.
    pub fn end_tasks(&self, state: TaskState) {
        for (key, task) in self.tasks.borrow_mut().iter_mut() {
            end(&self.log, key, task, state);
        }
    }

    fn watch_lease(&self, key: TaskKey) {
        let (tasks, log) = (Rc::clone(&self.tasks), Rc::clone(&self.log));
        compio::runtime::spawn(async move {
            loop {
                let remaining = match tasks.borrow_mut().get_mut(&key) {
                    Some(task) if task.status.state == TaskState::Running => {
                        let remaining = task.lease_until.saturating_duration_since(Instant::now());
                        if remaining.is_zero() {
                            end(&log, &key, task, TaskState::Stopped);
                        }
                        remaining
                    }
                    _ => return,
                };
                compio::time::sleep(remaining).await;
            }
        })
        .detach();
    }
}

fn end(log: &Log, key: &TaskKey, task: &mut Task, state: TaskState) {
    if task.status.state == TaskState::Running {
        task.status.state = state;
        log.ended(key, state);
    }
}

fn not_found() -> Error {
    Error::new(ErrorKind::NotFound, "no such task")
}

impl WorkerApi for FakeWorker {
    fn worker(&self) -> &WorkerId {
        &self.id
    }

    fn start<'a>(
        &'a self,
        task: &'a TaskMetadata,
        lease: Duration,
    ) -> LocalBoxFuture<'a, Result<()>> {
        async move {
            compio::time::sleep(self.start_delay.get()).await;
            if self.refuse_start.get() {
                return Err(Error::new(
                    ErrorKind::Internal,
                    "the task cannot be started",
                ));
            }
            let key = (task.job.clone(), task.attempt, task.member);
            if self.tasks.borrow().contains_key(&key) {
                return Ok(());
            }
            let status = TaskStatus {
                metadata: task.clone(),
                state: TaskState::Running,
                progress_ms: task.checkpoint_ms,
                checkpoint_ms: task.checkpoint_ms,
                used_memory_mb: 0,
            };
            let lease_until = Instant::now() + lease;
            self.tasks.borrow_mut().insert(
                key.clone(),
                Task {
                    status,
                    lease_until,
                },
            );
            self.log.started(&key);
            self.watch_lease(key);
            Ok(())
        }
        .boxed_local()
    }

    fn renew<'a>(
        &'a self,
        job: &'a str,
        attempt: Attempt,
        member: u32,
        lease: Duration,
    ) -> LocalBoxFuture<'a, Result<()>> {
        async move {
            match self
                .tasks
                .borrow_mut()
                .get_mut(&(job.into(), attempt, member))
            {
                Some(task) if task.status.state == TaskState::Running => {
                    task.lease_until = Instant::now() + lease;
                    self.renewals.set(self.renewals.get() + 1);
                    Ok(())
                }
                _ => Err(not_found()),
            }
        }
        .boxed_local()
    }

    fn checkpoint<'a>(
        &'a self,
        job: &'a str,
        attempt: Attempt,
        member: u32,
    ) -> LocalBoxFuture<'a, Result<u64>> {
        async move {
            if self.hang_checkpoint.get() {
                return pending().await;
            }
            let mut tasks = self.tasks.borrow_mut();
            let task = tasks
                .get_mut(&(job.into(), attempt, member))
                .ok_or_else(not_found)?;
            task.status.checkpoint_ms += 1000;
            Ok(task.status.checkpoint_ms)
        }
        .boxed_local()
    }

    fn throttle<'a>(
        &'a self,
        _job: &'a str,
        _attempt: Attempt,
        _member: u32,
        share_percent: u32,
    ) -> LocalBoxFuture<'a, Result<()>> {
        self.throttled_percent.set(share_percent);
        async { Ok(()) }.boxed_local()
    }

    fn stop<'a>(
        &'a self,
        job: &'a str,
        attempt: Attempt,
        member: u32,
    ) -> LocalBoxFuture<'a, Result<()>> {
        async move {
            let key = (job.into(), attempt, member);
            if let Some(mut task) = self.tasks.borrow_mut().remove(&key) {
                end(&self.log, &key, &mut task, TaskState::Stopped);
            }
            Ok(())
        }
        .boxed_local()
    }

    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<TaskStatus>>> {
        let list = self
            .tasks
            .borrow()
            .values()
            .map(|task| task.status.clone())
            .collect();
        async { Ok(list) }.boxed_local()
    }
}
