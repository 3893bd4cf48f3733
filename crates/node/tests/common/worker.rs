//! A fake worker that keeps tasks in memory, stops them when their leases expire, and records starts and ends.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;
use nutmegwalk_gang::Attempt;
use nutmegwalk_gang::TaskMetadata;
use nutmegwalk_gang::TaskState;
use nutmegwalk_gang::TaskStatus;
use nutmegwalk_gang::WorkerApi;

type TaskKey = (JobId, Attempt, u32);

/// A start or an end of a task.
#[derive(Clone, Debug)]
pub struct Event {
    pub job: JobId,
    pub attempt: Attempt,
    pub member: u32,
    pub resumed_ms: u64,
    /// Final state of the task; `None` for a start.
    pub end: Option<TaskState>,
}

pub type EventLog = Rc<RefCell<Vec<Event>>>;

struct Task {
    status: TaskStatus,
    lease_until: Instant,
}

pub struct FakeWorker {
    id: WorkerId,
    events: EventLog,
    tasks: RefCell<BTreeMap<TaskKey, Task>>,
    /// Whether starts are left unanswered and have no effect.
    pub hangs: Cell<bool>,
    /// Work contained in the next checkpoint, in milliseconds.
    pub progress_ms: Cell<u64>,
}

impl FakeWorker {
    pub fn new(id: &str, events: EventLog) -> Rc<Self> {
        Rc::new(Self {
            id: id.into(),
            events,
            tasks: RefCell::default(),
            hangs: Cell::new(false),
            progress_ms: Cell::new(0),
        })
    }

    pub fn running(&self) -> usize {
        self.expire_leases();
        let tasks = self.tasks.borrow();
        let running = tasks.values().filter(|task| is_running(task));
        running.count()
    }

    /// Ends all running tasks in `state`, without a request.
    pub fn end_tasks(&self, state: TaskState) {
        for (key, task) in self.tasks.borrow_mut().iter_mut() {
            self.end(key, task, state);
        }
    }

    /// Loses all tasks, like a worker that restarts.
    pub fn restart(&self) {
        self.end_tasks(TaskState::Stopped);
        self.tasks.borrow_mut().clear();
    }

    fn expire_leases(&self) {
        for (key, task) in self.tasks.borrow_mut().iter_mut() {
            if task.lease_until <= Instant::now() {
                self.end(key, task, TaskState::Stopped);
            }
        }
    }

    fn end(&self, key: &TaskKey, task: &mut Task, state: TaskState) {
        if is_running(task) {
            task.status.state = state;
            self.record(key, 0, Some(state));
        }
    }

    fn record(&self, key: &TaskKey, resumed_ms: u64, end: Option<TaskState>) {
        self.events.borrow_mut().push(Event {
            job: key.0.clone(),
            attempt: key.1,
            member: key.2,
            resumed_ms,
            end,
        });
    }
}

fn is_running(task: &Task) -> bool {
    task.status.state == TaskState::Running
}

fn no_such_task() -> Error {
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
            if self.hangs.get() {
                return pending().await;
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
            let task = Task {
                status,
                lease_until,
            };
            self.record(&key, task.status.checkpoint_ms, None);
            self.tasks.borrow_mut().insert(key, task);
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
        self.expire_leases();
        let mut tasks = self.tasks.borrow_mut();
        let renewed = match tasks.get_mut(&(job.into(), attempt, member)) {
            Some(task) if is_running(task) => {
                task.lease_until = Instant::now() + lease;
                Ok(())
            }
            _ => Err(no_such_task()),
        };
        async { renewed }.boxed_local()
    }

    fn checkpoint<'a>(
        &'a self,
        job: &'a str,
        attempt: Attempt,
        member: u32,
    ) -> LocalBoxFuture<'a, Result<u64>> {
        let mut tasks = self.tasks.borrow_mut();
        let written = match tasks.get_mut(&(job.into(), attempt, member)) {
            Some(task) => {
                task.status.checkpoint_ms = task.status.checkpoint_ms.max(self.progress_ms.get());
                Ok(task.status.checkpoint_ms)
            }
            None => Err(no_such_task()),
        };
        async { written }.boxed_local()
    }

    fn throttle<'a>(
        &'a self,
        _job: &'a str,
        _attempt: Attempt,
        _member: u32,
        _share_percent: u32,
    ) -> LocalBoxFuture<'a, Result<()>> {
        async { Ok(()) }.boxed_local()
    }

    fn stop<'a>(
        &'a self,
        job: &'a str,
        attempt: Attempt,
        member: u32,
    ) -> LocalBoxFuture<'a, Result<()>> {
        self.expire_leases();
        let key = (job.into(), attempt, member);
        if let Some(mut task) = self.tasks.borrow_mut().remove(&key) {
            self.end(&key, &mut task, TaskState::Stopped);
        }
        async { Ok(()) }.boxed_local()
    }

    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<TaskStatus>>> {
        self.expire_leases();
        let tasks = self.tasks.borrow();
        let list = tasks.values().map(|task| task.status.clone()).collect();
        async { Ok(list) }.boxed_local()
    }
}
