//! Intervals and limits of the distribution of state.

use std::time::Duration;

/// Intervals and limits; tests use shorter ones.
#[derive(Clone, Copy, Debug)]
pub struct SyncTimings {
    /// Time between reads of the head by an entry host.
    pub read_interval: Duration,
    /// Time after which one read of the table is given up.
    pub read_timeout: Duration,
    /// Every this many reads, all owner rows are scanned instead of those of known duties.
    pub scan_every: u32,
    /// Time between polls of the upstream.
    pub poll_interval: Duration,
    /// Time after which one poll is given up; two polls and one interval have to fit in the 3 s
    /// within which a lost upstream is replaced.
    pub poll_timeout: Duration,
    /// Age from which a view gives no permission to start.
    pub permission_age: Duration,
    /// Age from which an upstream's answers are not good enough to stay with it.
    pub upstream_age: Duration,
    /// Time between digests of an unchanged report.
    pub digest_interval: Duration,
    /// Silence after which a process counts as failed.
    pub failed_after: Duration,
    /// Silence after which a failed process is forgotten.
    pub forget_after: Duration,
    /// Time without any confirmed view after which a process counts as isolated.
    pub isolated_after: Duration,
    /// Live agents from which a data centre has relays; for fewer, the extra hop costs more than it saves.
    pub relays_from: usize,
}

impl Default for SyncTimings {
    fn default() -> Self {
        Self {
            read_interval: Duration::from_millis(500),
            read_timeout: Duration::from_secs(2),
            scan_every: 10,
            poll_interval: Duration::from_secs(1),
            poll_timeout: Duration::from_secs(1),
            permission_age: Duration::from_secs(4),
            upstream_age: Duration::from_millis(2500),
            digest_interval: Duration::from_secs(10),
            failed_after: Duration::from_secs(5),
            forget_after: Duration::from_secs(600),
            isolated_after: Duration::from_secs(70 * 60),
            relays_from: 16,
        }
    }
}
