//! Clocks: a monotonic clock that includes the time for which the host was suspended, and the time of day.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Time for which the host had been suspended when [`now`] was first called.
static SUSPENDED_BEFORE: OnceLock<Duration> = OnceLock::new();

/// Returns the current instant on a clock that advances while the host is suspended.
///
/// [`Instant::now`] does not advance during a suspension, so after it a process would treat an expired lease as
/// valid.
#[must_use]
pub fn now() -> Instant {
    let suspended = suspended();
    let before = *SUSPENDED_BEFORE.get_or_init(|| suspended);
    Instant::now() + suspended.saturating_sub(before)
}

/// Returns the time of day in milliseconds since 1970; zero if the clock is set before that.
#[must_use]
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
}

/// Returns the total time for which the host has been suspended since it was booted.
fn suspended() -> Duration {
    read(ClockId::Boottime).saturating_sub(read(ClockId::Monotonic))
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or(0);
    Duration::from_secs(seconds) + Duration::from_nanos(nanoseconds)
}
