//! Processor time of threads and memory of this process, from `/proc`.

/// Duration of a clock tick of `/proc`, in seconds.
const TICK_SECONDS: f64 = 0.01;

/// Returns the total processor time of the threads whose names start with `prefix`, in seconds.
pub(crate) fn thread_seconds(prefix: &str) -> f64 {
    let tasks = std::fs::read_dir("/proc/self/task").expect("/proc is mounted");
    let ticks = tasks.flatten().filter_map(|task| {
        let stat = std::fs::read_to_string(task.path().join("stat")).ok()?;
        // The name is in parentheses and may contain spaces.
        let (head, tail) = stat.rsplit_once(") ")?;
        let name = head.split_once('(')?.1;
        let fields: Vec<&str> = tail.split(' ').collect();
        let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        name.starts_with(prefix).then_some(ticks)
    });
    ticks.sum::<u64>() as f64 * TICK_SECONDS
}

/// Returns the resident memory of this process, in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let size_kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    size_kb.unwrap_or(0) * 1024
}
