//! Behaviour of an emulated task.

use std::time::Duration;

use nutmegwalk_workload::Resources;
use nutmegwalk_workload::TaskIndex;

/// Behaviour of a task, parsed from its payload. The payload is a list of tokens separated by spaces:
/// `work=<ms>` sets the work time, `gang=<tasks>` makes the task work only once that many tasks of its step
/// have started, `fails=<runs>` makes that many runs fail, `fail` makes every run fail, `saves` enables
/// checkpoints, `lasts` makes the task run until it is stopped, `crashes=<ms>` makes the task crash its worker after
/// that time, `crasher=<index>` leaves that to one task of the step, and `cpu=<milli cores>`, `mem=<megabytes>` and `gpu=<accelerators>` set what it uses of the worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TaskScript {
    /// Time for which the task works at full pace before it ends.
    pub work_time: Duration,
    /// Number of tasks in the gang, which work only together; 0 or 1 for a task that works alone.
    pub gang: usize,
    /// Number of runs, counted from the first, that fail when their work is done.
    pub failing_runs: u32,
    /// Whether the task reports checkpoints, from which a later run can resume.
    pub has_checkpoints: bool,
    /// Whether the task runs until it is stopped.
    pub is_long_running: bool,
    /// Resources that the task uses.
    pub demand: Resources,
    /// Time after its start at which the task crashes its worker; `None` if it does not.
    pub crashes_after: Option<Duration>,
    /// Only task of its step that crashes its worker; `None` if all do.
    pub crashing_task: Option<TaskIndex>,
}

impl TaskScript {
    /// Parses a payload; unknown tokens are ignored.
    #[must_use]
    pub fn parse(payload: &str) -> Self {
        let mut script = Self::default();
        for token in payload.split_whitespace() {
            let (name, value) = token.split_once('=').unwrap_or((token, ""));
            let number = value.parse::<u32>().unwrap_or(0);
            match name {
                "work" => script.work_time = Duration::from_millis(u64::from(number)),
                "gang" => script.gang = number as usize,
                "fails" => script.failing_runs = number,
                "fail" => script.failing_runs = u32::MAX,
                "saves" => script.has_checkpoints = true,
                "cpu" => script.demand.milli_cores = u64::from(number),
                "mem" => script.demand.memory_mb = u64::from(number),
                "gpu" => script.demand.accelerators = u64::from(number),
                "lasts" => script.is_long_running = true,
                "crashes" => {
                    script.crashes_after = Some(Duration::from_millis(u64::from(number)));
                }
                "crasher" => script.crashing_task = Some(number),
                _ => {}
            }
        }
        script
    }

    /// Returns whether a run of the task with this index crashes its worker at `age`.
    #[must_use]
    pub fn crashes_at(&self, index: TaskIndex, age: Duration) -> bool {
        self.crashing_task.is_none_or(|crashing| crashing == index)
            && self.crashes_after.is_some_and(|after| age >= after)
    }
}
