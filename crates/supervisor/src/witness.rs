//! What an agent has seen of the last starts on an incarnation of its worker, as evidence should it crash.
//!
//! A run can have crashed its worker at its start only if nothing shows that the worker was alive later. The proofs of
//! life are the times on the worker's own clock in its answers, so that an answer that was read late proves no more than
//! it should.

use std::time::Duration;
use std::time::Instant;

use crate::LeaseClock;
use crate::TaskRun;
use crate::WorkerCrash;
use crate::supervisor::as_ms;
use nutmegwalk_workload::WorkerRef;

/// Time on the worker's clock from a start after which a worker that is alive was not crashed by it.
pub const START_CRASH_WINDOW: Duration = Duration::from_millis(300);
/// Longest time from a start until the agent notices that the worker has crashed: the window, a poll that confirms the
/// start, and its timeout. After a longer one, the agent was not watching.
const MAX_NOTICE_TIME: Duration = Duration::from_millis(1_000);
/// Age of a start from which a heartbeat was sent after its window, as it takes a moment on the same host.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(600);
/// Time for which a crash is reported to each owner; longer than a takeover takes.
const CRASH_REPORT_TIME: Duration = Duration::from_secs(15);
/// Maximum number of starts that are kept.
const MAX_STARTS: usize = 256;

/// A start that the worker has carried out, or may have.
#[derive(Clone, Debug)]
struct Start {
    run: TaskRun,
    /// The worker's clock at the start, in milliseconds.
    clock_ms: u64,
    /// When the order was sent. Its answer may have been read late.
    sent_at: Instant,
}

/// The last starts on one incarnation of a worker, and since when it has been silent.
#[derive(Debug, Default)]
pub(crate) struct StartWitness {
    starts: Vec<Start>,
    /// When the agent first noticed that the worker no longer answers; `None` while it does.
    silent_since: Option<Instant>,
    /// When a connection was first refused or closed since then. It shows that the process has ended, and not its link or
    /// host.
    broken_at: Option<Instant>,
}

impl StartWitness {
    /// Records a start at `clock_ms` on the worker's clock.
    pub(crate) fn record_start(&mut self, run: &TaskRun, clock_ms: u64, sent_at: Instant) {
        let window_ms = u64::try_from(START_CRASH_WINDOW.as_millis()).unwrap_or(u64::MAX);
        self.starts
            .retain(|start| start.run != *run && start.clock_ms + window_ms > clock_ms);
        if self.starts.len() == MAX_STARTS {
            self.starts.remove(0);
        }
        self.starts.push(Start {
            run: run.clone(),
            clock_ms,
            sent_at,
        });
    }

    /// Records that a poll was not answered.
    pub(crate) fn record_silence(&mut self, is_broken: bool, now: Instant) {
        self.silent_since.get_or_insert(now);
        if is_broken {
            self.broken_at.get_or_insert(now);
        }
    }

    /// Records an answer to a poll.
    pub(crate) fn record_answer(&mut self) {
        self.silent_since = None;
        self.broken_at = None;
    }

    /// Records a heartbeat, which shows that the worker has outlived earlier starts.
    pub(crate) fn record_heartbeat(&mut self, now: Instant) {
        self.starts
            .retain(|start| now.saturating_duration_since(start.sent_at) < MAX_HEARTBEAT_DELAY);
    }

    /// Returns whether a start is not confirmed yet: nothing shows that the worker was alive after its window.
    pub(crate) fn has_unconfirmed(&self, clock: Option<LeaseClock>) -> bool {
        self.unconfirmed(clock).next().is_some()
    }

    /// Returns what the agent has seen of the end of `worker`, which announced itself first at `announced_at` and has
    /// crashed.
    pub(crate) fn into_crash(
        self,
        worker: WorkerRef,
        announced_at: Instant,
        clock: Option<LeaseClock>,
        now: Instant,
    ) -> SeenCrash {
        // The agent has to have seen the worker fall silent: another writer may announce a worker that does not exist.
        let starts = self.starts_before_silence(clock);
        let up_for = starts
            .iter()
            .map(|start| start.sent_at.saturating_duration_since(announced_at))
            .min();
        let was_broken = starts.iter().all(|start| {
            self.broken_at
                .is_some_and(|at| at.saturating_duration_since(start.sent_at) <= MAX_NOTICE_TIME)
        });
        SeenCrash {
            was_broken,
            up_for: up_for.unwrap_or_default(),
            just_started: starts.into_iter().map(|start| start.run.clone()).collect(),
            worker,
            noticed_at: self.silent_since.unwrap_or(now),
            is_answered: false,
        }
    }

    /// Returns the runs that the worker had just started when it fell silent; none while it answers.
    pub(crate) fn silent_since_start(&self, clock: Option<LeaseClock>) -> Vec<TaskRun> {
        let starts = self.starts_before_silence(clock).into_iter();
        starts.map(|start| start.run.clone()).collect()
    }

    /// Returns the unconfirmed starts soon after which the worker fell silent.
    fn starts_before_silence(&self, clock: Option<LeaseClock>) -> Vec<&Start> {
        let Some(silent_since) = self.silent_since else {
            return Vec::new();
        };
        self.unconfirmed(clock)
            .filter(|start| {
                silent_since.saturating_duration_since(start.sent_at) <= MAX_NOTICE_TIME
            })
            .collect()
    }

    fn unconfirmed(&self, clock: Option<LeaseClock>) -> impl Iterator<Item = &Start> {
        let window_ms = u64::try_from(START_CRASH_WINDOW.as_millis()).unwrap_or(u64::MAX);
        let alive_ms = clock.map(|clock| clock.clock_ms());
        self.starts
            .iter()
            .filter(move |start| alive_ms.is_none_or(|alive| alive < start.clock_ms + window_ms))
    }
}

/// Crash of an incarnation of the worker.
#[derive(Clone, Debug)]
pub(crate) struct SeenCrash {
    pub(crate) worker: WorkerRef,
    pub(crate) noticed_at: Instant,
    pub(crate) just_started: Vec<TaskRun>,
    /// Whether connections to the worker were refused or closed soon after these starts.
    pub(crate) was_broken: bool,
    /// Time for which the worker had been up before the first of these starts.
    pub(crate) up_for: Duration,
    /// Whether an owner has answered a report of it.
    pub(crate) is_answered: bool,
}

impl SeenCrash {
    /// Returns what is reported at `now`.
    pub(crate) fn to_report(&self, now: Instant) -> WorkerCrash {
        WorkerCrash {
            worker: self.worker.clone(),
            age_ms: as_ms(now.saturating_duration_since(self.noticed_at)),
            just_started: self.just_started.clone(),
            was_broken: self.was_broken,
            up_for_ms: as_ms(self.up_for),
        }
    }

    /// Returns whether it still has to be reported. A new owner may not know what was reported to the one before.
    pub(crate) fn is_reportable(&self, now: Instant) -> bool {
        !self.is_answered || now.saturating_duration_since(self.noticed_at) < CRASH_REPORT_TIME
    }
}
