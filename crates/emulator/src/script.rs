//! What a task does.

use std::time::Duration;

/// What a task does, as its payload says in words: `work=<ms>` is how long it works, `gang=<tasks>` that it
/// works only when that many tasks of its step are there, `fails=<runs>` that so many runs of it fail,
/// `fail` that all do, `saves` that it writes checkpoints, and `lasts` that it never ends by itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TaskScript {
    /// Time that the task works.
    pub work_time: Duration,
    /// Number of tasks that work only together; 0 and 1 for a task that works alone.
    pub gang: usize,
    /// Number of runs that fail at their end.
    pub failing_runs: u32,
    /// Whether progress survives a stop.
    pub has_checkpoints: bool,
    /// Whether the task works until it is stopped.
    pub is_long_running: bool,
}

impl TaskScript {
    /// Reads a payload; words that are not known are left out.
    #[must_use]
    pub fn parse(payload: &str) -> Self {
        let mut script = Self::default();
        for word in payload.split_whitespace() {
            let (name, value) = word.split_once('=').unwrap_or((word, ""));
            let number = value.parse::<u32>().unwrap_or(0);
            match name {
                "work" => script.work_time = Duration::from_millis(u64::from(number)),
                "gang" => script.gang = number as usize,
                "fails" => script.failing_runs = number,
                "fail" => script.failing_runs = u32::MAX,
                "saves" => script.has_checkpoints = true,
                "lasts" => script.is_long_running = true,
                _ => {}
            }
        }
        script
    }
}
