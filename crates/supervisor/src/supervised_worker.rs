//! State of the current incarnation of the worker.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use log::info;

use crate::Announcement;
use crate::EndedTask;
use crate::LeaseClock;
use crate::MAX_LISTED_ENDS;
use crate::PollAnswer;
use crate::RunningTask;
use crate::START_CRASH_WINDOW;
use crate::TaskRun;
use crate::supervisor::as_ms;
use crate::witness::StartWitness;
use nutmegwalk_base::event;
use nutmegwalk_workload::WorkerRef;

/// Number of late heartbeats in order, with none accepted between them, after which the last accepted one counts as
/// wrongly numbered. Fewer may be repetitions that were delayed.
const MAX_LATE_HEARTBEATS: u32 = 3;

/// Time after the sending of an answered poll for which its incarnation is taken to receive what is sent. It is shorter
/// than the time that a worker takes to start again.
const CONFIRMED_FOR: Duration = Duration::from_millis(100);
/// Maximum number of unanswered starts that are kept, many times as many as a worker has room for.
const MAX_UNRESOLVED_STARTS: usize = 1024;
/// Number of polls in a row without an answer after which the worker counts as silent.
const MAX_UNANSWERED_POLLS: u32 = 2;

/// State of the current incarnation of the worker.
#[derive(Debug)]
pub(crate) struct SupervisedWorker {
    pub(crate) announcement: Announcement,
    /// When the first heartbeat of the incarnation arrived.
    pub(crate) announced_at: Instant,
    pub(crate) heartbeat_at: Instant,
    pub(crate) late_heartbeats: LateHeartbeats,
    pub(crate) clock: Option<LeaseClock>,
    pub(crate) answered_at: Option<Instant>,
    /// Whether the last poll was not answered, or a start since. Until the next answer, polls do not renew the lease, so
    /// that it lapses early if the worker has crashed.
    pub(crate) is_unanswered: bool,
    /// Number of polls in a row that were not answered.
    pub(crate) unanswered_polls: u32,
    /// When a request was last not answered, or answered by another incarnation. An answer to an earlier request does
    /// not show which incarnation is there now.
    pub(crate) doubted_at: Option<Instant>,
    /// When the last poll that was answered was sent. The incarnation was there later.
    pub(crate) confirmed_at: Option<Instant>,
    /// Whether another incarnation answered the last poll. Any other incarnation that announces itself replaces this
    /// one then, also an earlier one: this one may never have existed.
    pub(crate) is_disowned: bool,
    /// Number up to which the owner has stored the ends.
    pub(crate) acknowledged: u64,
    /// The worker's clock when it made the list that was applied last. Answers to orders have later clocks and no list.
    pub(crate) listed_clock_ms: Option<u64>,
    pub(crate) running: Vec<RunningTask>,
    pub(crate) ended: Vec<EndedTask>,
    /// Whether the worker may have ends that its last list had no room for.
    pub(crate) may_have_unlisted_ends: bool,
    /// Whether the worker's last list had entries that cannot be read.
    pub(crate) is_incomplete: bool,
    /// Number up to which the worker may drop ends at most; `None` for no limit.
    pub(crate) acknowledge_limit: Option<u64>,
    /// End of the last lease that is known to have lapsed, on the worker's clock, in milliseconds. No start that was
    /// assigned before the owner knew of this lapse may be sent to the worker.
    pub(crate) lapsed_until_ms: Option<u64>,
    /// Runs that were started, with the worker's clock at that time. A list that the worker made earlier, or in the same
    /// millisecond, may not contain them.
    pub(crate) recent_starts: Vec<(TaskRun, u64)>,
    /// Last runs whose start was sent and not answered, and which may start later.
    pub(crate) unresolved_starts: Vec<TaskRun>,
    pub(crate) witness: StartWitness,
    /// The worker's clock when this process of the agent first knew of each running run, in milliseconds.
    pub(crate) first_seen_ms: BTreeMap<TaskRun, u64>,
}

/// Late heartbeats since the last accepted one.
#[derive(Debug, Default)]
pub(crate) struct LateHeartbeats {
    last_sequence: u64,
    /// Number of heartbeats with increasing numbers.
    count: u32,
}

impl LateHeartbeats {
    /// Records a late heartbeat; returns whether there are enough of them to accept it.
    pub(crate) fn record(&mut self, sequence: u64) -> bool {
        if sequence < self.last_sequence {
            self.count = 0;
        }
        if sequence > self.last_sequence || self.count == 0 {
            self.count += 1;
        }
        self.last_sequence = sequence;
        self.count >= MAX_LATE_HEARTBEATS
    }
}

impl SupervisedWorker {
    pub(crate) fn new(announcement: Announcement, heartbeat_at: Instant) -> Self {
        Self {
            announcement,
            announced_at: heartbeat_at,
            heartbeat_at,
            late_heartbeats: LateHeartbeats::default(),
            clock: None,
            answered_at: None,
            is_unanswered: false,
            unanswered_polls: 0,
            doubted_at: None,
            confirmed_at: None,
            is_disowned: false,
            acknowledged: 0,
            listed_clock_ms: None,
            running: Vec::new(),
            ended: Vec::new(),
            may_have_unlisted_ends: false,
            is_incomplete: false,
            acknowledge_limit: None,
            lapsed_until_ms: None,
            recent_starts: Vec::new(),
            unresolved_starts: Vec::new(),
            witness: StartWitness::default(),
            first_seen_ms: BTreeMap::new(),
        }
    }

    pub(crate) fn worker(&self) -> &WorkerRef {
        &self.announcement.worker
    }

    /// Returns whether another incarnation may receive what is sent to this one, as both have the same id.
    pub(crate) fn is_doubtful(&self) -> bool {
        self.is_unanswered || self.is_disowned
    }

    /// Returns whether this incarnation answered a moment before `now`, so that no other one receives what is sent now.
    pub(crate) fn is_confirmed(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= CONFIRMED_FOR;
        !self.is_doubtful() && self.confirmed_at.is_some_and(is_recent)
    }

    /// Records that this incarnation has answered a poll that was sent at `sent_at`.
    pub(crate) fn record_answer(&mut self, sent_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        if self.doubted_at <= Some(sent_at) {
            self.unanswered_polls = 0;
            self.is_unanswered = false;
            self.is_disowned = false;
        }
    }

    /// Returns whether the owner should place no tasks on the worker until it answers again.
    pub(crate) fn is_silent(&self) -> bool {
        self.is_disowned || self.unanswered_polls >= MAX_UNANSWERED_POLLS
    }

    /// Records that the start of a run was sent and not answered.
    pub(crate) fn record_unresolved(&mut self, run: &TaskRun) {
        if self.unresolved_starts.len() == MAX_UNRESOLVED_STARTS {
            self.unresolved_starts.remove(0);
        }
        self.unresolved_starts.push(run.clone());
    }

    /// Returns whether a run is running or among the ends.
    pub(crate) fn has_run(&self, run: &TaskRun) -> bool {
        self.running.iter().any(|task| task.run == *run)
            || self.ended.iter().any(|end| end.run == *run)
    }

    /// Records the lapse of the lease, if it has lapsed at `now`.
    pub(crate) fn record_lapse(&mut self, now: Instant) {
        let Some(clock) = self.clock.filter(|clock| clock.has_lapsed(now)) else {
            return;
        };
        let lapsed_until_ms = Some(clock.lease_until_clock_ms());
        // The end of the lease goes back when a renewal turns out not to have been sent; a lapse that was reported
        // stays.
        if self.lapsed_until_ms < lapsed_until_ms {
            self.lapsed_until_ms = lapsed_until_ms;
            info!(target: event::WORKER_LAPSED,
                worker = &*self.worker().id,
                lease_until_ms = clock.lease_until_clock_ms(),
                answer_age_ms = as_ms(clock.time_since_answer(now)),
                running = self.running.len();
                ""
            );
        }
    }

    /// Returns the running runs that are not known to have outlived their start.
    pub(crate) fn starting(&self) -> Vec<TaskRun> {
        let window_ms = as_ms(START_CRASH_WINDOW);
        let alive_ms = self.clock.map_or(0, |clock| clock.clock_ms());
        let first_seen = self.first_seen_ms.iter();
        first_seen
            .filter(|(_, first_ms)| alive_ms < *first_ms + window_ms)
            .map(|(run, _)| run.clone())
            .collect()
    }

    /// Drops the ends that the owner has stored, up to `number`; returns whether `number` is new.
    pub(crate) fn acknowledge(&mut self, number: u64) -> bool {
        if number <= self.acknowledged {
            return false;
        }
        self.acknowledged = number;
        self.ended.retain(|end| end.number > number);
        true
    }

    /// Applies the list in an answer; returns whether it should be reported to the owner immediately.
    pub(crate) fn apply_list(&mut self, answer: PollAnswer) -> bool {
        let mut running = answer.running;
        self.listed_clock_ms = Some(answer.clock_ms);
        self.recent_starts
            .retain(|(_, clock_ms)| *clock_ms >= answer.clock_ms);
        let not_listed_yet: Vec<RunningTask> = self
            .running
            .iter()
            .filter(|task| {
                self.recent_starts.iter().any(|(run, _)| *run == task.run)
                    && !running.iter().any(|listed| listed.run == task.run)
                    && !answer.ended.iter().any(|end| end.run == task.run)
            })
            .cloned()
            .collect();
        running.extend(not_listed_yet);
        self.may_have_unlisted_ends = answer.ended.len() >= MAX_LISTED_ENDS;
        let ended: Vec<EndedTask> = answer
            .ended
            .into_iter()
            .filter(|end| end.number > self.acknowledged)
            .collect();
        let has_changed = ended.iter().any(|end| !self.ended.contains(end))
            || running.len() != self.running.len()
            || running
                .iter()
                .any(|task| !self.running.iter().any(|known| known.run == task.run));
        let mut seen = std::mem::take(&mut self.first_seen_ms);
        self.first_seen_ms = running
            .iter()
            .map(|task| {
                let first = seen.remove(&task.run).unwrap_or(answer.clock_ms);
                (task.run.clone(), first)
            })
            .collect();
        self.running = running;
        self.ended = ended;
        self.is_incomplete = answer.is_incomplete;
        self.acknowledge_limit = answer.acknowledge_limit;
        has_changed
    }
}
