//! Processor time of threads and memory of this process, from `/proc`.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// Interval at which the threads of a deployment's roles check their control flags.
const CONTROL_POLL: Duration = Duration::from_millis(10);

fn first_number(text: &str) -> u64 {
    let first = text.split_whitespace().next();
    first.and_then(|field| field.parse().ok()).unwrap_or(0)
}

/// Returns the processor time of all threads in milliseconds, by thread name.
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

/// Waits for `window` and returns the processor time used meanwhile in milliseconds per second, by thread name.
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

/// Returns the median of values in ascending order, or zero without values.
pub(crate) fn median(sorted: &[f64]) -> f64 {
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

/// Returns the resident memory of this process in megabytes.
pub(crate) fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.map_or(0.0, |line| first_number(line) as f64 / 1024.0)
}

/// Returns the processor time of the current thread in nanoseconds.
fn thread_time_ns() -> u64 {
    first_number(&std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default())
}

/// Returns the smallest observed increment of this thread's processor time, in nanoseconds.
pub(crate) fn clock_step_ns() -> u64 {
    let mut smallest = u64::MAX;
    let mut last = thread_time_ns();
    for _ in 0..10_000 {
        let now = thread_time_ns();
        if now > last {
            smallest = smallest.min(now - last);
            last = now;
        }
    }
    smallest
}

/// Returns the processor time of a thread that only checks its control flags, in milliseconds per second.
pub(crate) fn control_poll_ms_per_second() -> Result<f64> {
    let thread = std::thread::spawn(|| {
        let runtime = compio::runtime::Runtime::new()
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
        let before = thread_time_ns();
        runtime.block_on(async {
            for _ in 0..200 {
                compio::time::sleep(CONTROL_POLL).await;
            }
        });
        Ok((thread_time_ns() - before) as f64 / 1e6 / 2.0)
    });
    let ended = thread.join();
    ended.unwrap_or_else(|_| Err(Error::new(ErrorKind::Internal, "the thread panicked")))
}
