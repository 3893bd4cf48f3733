//! Processor time of threads and memory of this process, from `/proc`.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// Interval at which the roles of a deployment look at their controls.
const CONTROL_POLL: Duration = Duration::from_millis(10);

fn first_number(text: &str) -> u64 {
    let first = text.split_whitespace().next();
    first.and_then(|field| field.parse().ok()).unwrap_or(0)
}

/// Returns the processor time of all threads in milliseconds, by name of the thread.
pub(crate) fn thread_ms() -> BTreeMap<String, f64> {
    let mut times = BTreeMap::new();
    for entry in std::fs::read_dir("/proc/self/task").into_iter().flatten() {
        let Ok(path) = entry.map(|entry| entry.path()) else {
            continue;
        };
        let name = std::fs::read_to_string(path.join("comm")).unwrap_or_default();
        let time = std::fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        *times.entry(name.trim().to_owned()).or_default() += first_number(&time) as f64 / 1e6;
    }
    times
}

/// Returns the processor time used during `window` in milliseconds per second, by name of the thread.
pub(crate) async fn thread_load(window: Duration) -> BTreeMap<String, f64> {
    let before = thread_ms();
    let started = std::time::Instant::now();
    compio::time::sleep(window).await;
    let after = thread_ms();
    let seconds = started.elapsed().as_secs_f64();
    let load = after.into_iter().filter_map(|(name, time)| {
        let used = time - before.get(&name)?;
        Some((name, used / seconds))
    });
    load.collect()
}

/// Returns the loads of the threads whose names start with `prefix`, in ascending order.
pub(crate) fn loads_of(load: &BTreeMap<String, f64>, prefix: &str) -> Vec<f64> {
    let matching = load.iter().filter(|(name, _)| name.starts_with(prefix));
    let mut values: Vec<f64> = matching.map(|(_, value)| *value).collect();
    values.sort_by(f64::total_cmp);
    values
}

/// Returns the middle of values in ascending order, zero without values.
pub(crate) fn median(sorted: &[f64]) -> f64 {
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

/// Returns the resident memory of this process in megabytes.
pub(crate) fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.map_or(0.0, |line| first_number(line) as f64 / 1024.0)
}

fn own_ns() -> u64 {
    first_number(&std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default())
}

/// Returns the smallest step that the clock of processor time shows on this thread.
pub(crate) fn clock_step_ns() -> u64 {
    let mut smallest = u64::MAX;
    let mut last = own_ns();
    for _ in 0..10_000 {
        let now = own_ns();
        if now > last {
            smallest = smallest.min(now - last);
            last = now;
        }
    }
    smallest
}

/// Returns the processor time of a thread that does nothing but look at its controls.
pub(crate) fn control_poll_ms_per_second() -> Result<f64> {
    let thread = std::thread::spawn(|| {
        let runtime = compio::runtime::Runtime::new()
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
        let before = own_ns();
        runtime.block_on(async {
            for _ in 0..200 {
                compio::time::sleep(CONTROL_POLL).await;
            }
        });
        Ok((own_ns() - before) as f64 / 1e6 / 2.0)
    });
    let ended = thread.join();
    ended.unwrap_or_else(|_| Err(Error::new(ErrorKind::Internal, "the thread panicked")))
}
