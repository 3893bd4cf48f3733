//! Log of starts and ends of tasks, and the checks of invariants on it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use nutmegwalk_base::CustomerId;
use nutmegwalk_base::JobId;
use nutmegwalk_base::WorkerId;
use nutmegwalk_gang::Attempt;

/// How a task ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskEnd {
    /// The program ended with success.
    Finished,
    /// The program ended with an error.
    Failed,
    /// A stop command ended the task.
    Stopped,
    /// The lease lapsed.
    LeaseLapsed,
    /// The worker was killed.
    Killed,
}

/// Kind of an event of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventKind {
    /// The task was started.
    Started,
    /// The task ended.
    Ended(TaskEnd),
}

/// Start or end of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Time since the platform was started, on a monotonic clock.
    pub at: Duration,
    /// Worker of the task.
    pub worker: WorkerId,
    /// Job of the task.
    pub job: JobId,
    /// Customer of the job.
    pub customer: CustomerId,
    /// Attempt of the gang.
    pub attempt: Attempt,
    /// Index of the member within the gang.
    pub member: u32,
    /// Number of members of the gang, as far as the task's metadata lists them.
    pub gang_size: usize,
    /// Whether the task can be reclaimed.
    pub borrowed: bool,
    /// Work done so far, in milliseconds.
    pub progress_ms: u64,
    /// Whether the task was started or has ended.
    pub kind: EventKind,
}

/// Start of a task while another attempt of its job, or the same member on another worker, was running.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Overlap {
    /// Job that ran twice.
    pub job: JobId,
    /// Time of the second start.
    pub at: Duration,
    /// Attempt and member that was already running.
    pub running: (Attempt, u32),
    /// Attempt and member that was started.
    pub started: (Attempt, u32),
}

/// Returns every start of a task while another attempt of its job, or the same member, was running.
///
/// `events` are in order of time.
#[must_use]
pub fn overlapping_attempts(events: &[Event]) -> Vec<Overlap> {
    let mut running: BTreeMap<&str, BTreeSet<(Attempt, u32, &str)>> = BTreeMap::new();
    let mut overlaps = Vec::new();
    for event in events {
        let tasks = running.entry(&*event.job).or_default();
        let task = (event.attempt, event.member, &*event.worker);
        match event.kind {
            EventKind::Started => {
                let other = tasks.iter().find(|(attempt, member, _)| {
                    *attempt != event.attempt || *member == event.member
                });
                if let Some((attempt, member, _)) = other {
                    overlaps.push(Overlap {
                        job: event.job.clone(),
                        at: event.at,
                        running: (*attempt, *member),
                        started: (event.attempt, event.member),
                    });
                }
                tasks.insert(task);
            }
            EventKind::Ended(_) => {
                tasks.remove(&task);
            }
        }
    }
    overlaps
}

/// Returns the longest time for which some, but not all, members of an attempt were running.
///
/// Members that have finished successfully count as running. `events` are in order of time. For attempts
/// that are still partially running, the time up to `now` counts. The size of a gang is the largest size in
/// any event of its job, because members other than the lead are started without the list of all members.
#[must_use]
pub fn longest_partial_run(events: &[Event], now: Duration) -> Duration {
    #[derive(Default)]
    struct Gang {
        running: BTreeSet<u32>,
        finished: BTreeSet<u32>,
        partial_since: Option<Duration>,
    }
    let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
    for event in events {
        let size = sizes.entry(&*event.job).or_default();
        *size = event.gang_size.max(*size);
    }
    let mut gangs: BTreeMap<(&str, Attempt), Gang> = BTreeMap::new();
    let mut longest = Duration::ZERO;
    for event in events {
        let gang = gangs.entry((&*event.job, event.attempt)).or_default();
        match event.kind {
            EventKind::Started => {
                gang.running.insert(event.member);
            }
            EventKind::Ended(end) => {
                gang.running.remove(&event.member);
                if end == TaskEnd::Finished {
                    gang.finished.insert(event.member);
                }
            }
        }
        let is_partially_running = !gang.running.is_empty()
            && gang.running.len() + gang.finished.len() < sizes[&*event.job];
        if is_partially_running {
            gang.partial_since.get_or_insert(event.at);
        } else if let Some(since) = gang.partial_since.take() {
            longest = longest.max(event.at.saturating_sub(since));
        }
    }
    gangs
        .values()
        .filter_map(|gang| gang.partial_since)
        .map(|since| now.saturating_sub(since))
        .fold(longest, Duration::max)
}
