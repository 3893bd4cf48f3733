//! Estimate of the time of day from the clocks of the domain's hosts.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Instant;

use nutmegwalk_base::ProcessId;
use nutmegwalk_base::clock;

/// Estimates the time of day as the median over the hosts, so that a jump of one host's clock has no effect.
pub(crate) struct WallClock {
    origin: Instant,
    /// Time of day of each host minus the time since `origin`, in milliseconds.
    offsets_ms: RefCell<BTreeMap<ProcessId, i64>>,
}

impl WallClock {
    pub(crate) fn new() -> Self {
        Self {
            origin: clock::now(),
            offsets_ms: RefCell::default(),
        }
    }

    /// Records the time of day of a host.
    pub(crate) fn observe(&self, host: &str, unix_ms: u64) {
        let offset_ms = signed(unix_ms) - self.elapsed_ms();
        self.offsets_ms.borrow_mut().insert(host.into(), offset_ms);
    }

    /// Returns the estimated time of day, in milliseconds since 1970.
    pub(crate) fn unix_ms(&self) -> u64 {
        let mut offsets_ms: Vec<i64> = self.offsets_ms.borrow().values().copied().collect();
        if offsets_ms.is_empty() {
            return clock::unix_ms();
        }
        offsets_ms.sort_unstable();
        let median_ms = offsets_ms[offsets_ms.len() / 2];
        u64::try_from(median_ms + self.elapsed_ms()).unwrap_or(0)
    }

    fn elapsed_ms(&self) -> i64 {
        let elapsed = clock::now().saturating_duration_since(self.origin);
        i64::try_from(elapsed.as_millis()).unwrap_or(i64::MAX)
    }
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
