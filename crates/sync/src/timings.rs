//! Intervals and limits of synchronization.

use std::time::Duration;

/// Intervals and limits of synchronization and membership; tests use shorter ones.
#[derive(Clone, Copy, Debug)]
pub struct SyncTimings {
    /// Time between the starts of two reads of the head by an entry host.
    pub read_interval: Duration,
    /// Timeout of one round of reads by an entry host.
    pub read_timeout: Duration,
    /// Number of read rounds per scan of all owner rows; every round reads the rows of known duties.
    pub rounds_per_scan: u32,
    /// Time between the starts of two polls of the upstream.
    pub poll_interval: Duration,
    /// Timeout of one poll. A lost upstream has to be replaced within 3 s, which has to cover two polls and
    /// one interval.
    pub poll_timeout: Duration,
    /// Age from which a view no longer permits a task to start.
    pub max_permission_age: Duration,
    /// Age of an upstream's view from which another upstream is tried.
    pub max_upstream_age: Duration,
    /// Time between two digests of an unchanged report.
    pub digest_interval: Duration,
    /// Time without contact after which a process counts as failed.
    pub failed_after: Duration,
    /// Time without contact after which a failed process is removed.
    pub remove_after: Duration,
    /// Time without a confirmation of the view after which a process counts as isolated.
    pub isolated_after: Duration,
    /// Number of live agents from which a data centre has relays; with fewer, the extra hop costs more than
    /// it saves.
    pub min_agents_for_relays: usize,
}

impl Default for SyncTimings {
    fn default() -> Self {
        Self {
            read_interval: Duration::from_millis(500),
            read_timeout: Duration::from_secs(2),
            rounds_per_scan: 10,
            poll_interval: Duration::from_secs(1),
            poll_timeout: Duration::from_secs(1),
            max_permission_age: Duration::from_secs(4),
            max_upstream_age: Duration::from_millis(2500),
            digest_interval: Duration::from_secs(10),
            failed_after: Duration::from_secs(5),
            remove_after: Duration::from_secs(600),
            isolated_after: Duration::from_secs(70 * 60),
            min_agents_for_relays: 16,
        }
    }
}
