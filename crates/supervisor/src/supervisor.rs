//! Supervision of one worker: its heartbeats, its status for the owner, and the owner's answers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::lock::Mutex;
use log::info;

use crate::ANSWER_TIMEOUT;
use crate::Announcement;
use crate::LeaseRenewal;
use crate::OwnerClock;
use crate::PollRequest;
use crate::ReportAnswer;
use crate::TaskRun;
use crate::WorkerPort;
use crate::WorkerState;
use crate::WorkerStatus;
use crate::supervised_worker::LateHeartbeats;
use crate::supervised_worker::SupervisedWorker;
use crate::witness::SeenCrash;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_base::signal::Signal;
use nutmegwalk_workload::WorkerRef;

/// Number of crashed incarnations that are reported to the owner.
const MAX_CRASHES: usize = 8;
/// Maximum number of runs in a log line.
const MAX_LOGGED_RUNS: usize = 16;

/// Timeouts and intervals of the supervision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SupervisorTimings {
    /// Longest lease that the worker grants.
    pub max_lease: Duration,
    /// Time for which a poll waits for a task to end while tasks run. The lease is renewed at this
    /// interval, so that it outlasts a restart of the agent.
    pub active_poll_wait: Duration,
    /// Time for which a poll waits for a task to end while no tasks run.
    pub idle_poll_wait: Duration,
    /// Interval of polls while ends await the owner's acknowledgement.
    pub unacknowledged_poll_wait: Duration,
    /// Timeout of a poll in addition to the time for which it waits; the worker is on the same host.
    pub answer_timeout: Duration,
    /// Pause after a failed poll.
    pub retry_pause: Duration,
    /// Time without an answer after which no start, which would also renew the lease, is sent until the
    /// worker answers again. Polls stop renewing the lease after the first one that is not answered.
    pub unresponsive_after: Duration,
}

impl Default for SupervisorTimings {
    fn default() -> Self {
        Self {
            max_lease: Duration::from_secs(6),
            active_poll_wait: Duration::from_millis(1000),
            idle_poll_wait: Duration::from_millis(2000),
            unacknowledged_poll_wait: Duration::from_millis(300),
            answer_timeout: Duration::from_millis(400),
            retry_pause: Duration::from_millis(200),
            unresponsive_after: Duration::from_millis(3_500),
        }
    }
}

/// Supervises one worker; clones share all state.
#[derive(Clone)]
pub struct Supervisor {
    pub(crate) inner: Rc<Inner>,
}

pub(crate) struct Inner {
    pub(crate) port: Rc<dyn WorkerPort>,
    pub(crate) timings: SupervisorTimings,
    pub(crate) state: RefCell<State>,
    /// Raised when a report should be sent to the owner immediately.
    pub(crate) report_needed: Signal,
    /// Raised when the worker should be polled immediately.
    pub(crate) poll_requested: Signal,
    /// Raised when the worker has carried out a start.
    pub(crate) started: Signal,
    /// Held while a poll confirms which incarnation of the worker is there.
    pub(crate) confirming: Mutex<()>,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) worker: Option<SupervisedWorker>,
    /// Highest fencing epoch seen.
    pub(crate) epoch: Epoch,
    /// Clock of the owner that answered last.
    pub(crate) owner_clock: Option<OwnerClock>,
    /// Instant until which the owner allows the lease to last.
    pub(crate) lease_limit: Option<Instant>,
    /// Epoch that the worker refused because it has seen a higher one; polls no longer use it.
    pub(crate) refused_epoch: Epoch,
    /// Last incarnations of the worker that crashed while they were supervised.
    crashes: Vec<SeenCrash>,
}

/// A renewal of the lease in flight.
pub(crate) struct Renewal {
    pub(crate) worker: WorkerRef,
    pub(crate) renewal: LeaseRenewal,
}

impl Supervisor {
    /// Creates the supervisor of the worker behind `port`.
    #[must_use]
    pub fn new(port: Rc<dyn WorkerPort>, timings: SupervisorTimings) -> Self {
        Self {
            inner: Rc::new(Inner {
                port,
                timings,
                state: RefCell::new(State::default()),
                report_needed: Signal::new(),
                poll_requested: Signal::new(),
                started: Signal::new(),
                confirming: Mutex::new(()),
            }),
        }
    }

    /// Records a heartbeat; returns false for a late one, which is ignored.
    pub fn record_heartbeat(&self, announcement: Announcement) -> bool {
        let now = clock::now();
        let mut state = self.inner.state.borrow_mut();
        if let Some(current) = &mut state.worker {
            let known = &current.announcement;
            if announcement.worker == known.worker {
                if announcement.sequence <= known.sequence
                    && !current.late_heartbeats.record(announcement.sequence)
                {
                    return false;
                }
                current.late_heartbeats = LateHeartbeats::default();
                let has_changed = announcement.state != known.state
                    || announcement.labels != known.labels
                    || announcement.capacity != known.capacity;
                current.announcement = announcement;
                current.heartbeat_at = now;
                current.witness.record_heartbeat(now);
                if has_changed {
                    self.inner.report_needed.raise();
                }
                return true;
            }
            if announcement.worker.born_unix_ms < known.worker.born_unix_ms && !current.is_disowned
            {
                return false;
            }
        }
        info!(target: event::WORKER_ANNOUNCED,
            worker = &*announcement.worker.id,
            born_unix_ms = announcement.worker.born_unix_ms;
            ""
        );
        state.record_end_of_incarnation(now);
        state.worker = Some(SupervisedWorker::new(announcement, now));
        state.refused_epoch = 0;
        self.inner.report_needed.raise();
        self.inner.poll_requested.raise();
        true
    }

    /// Records that the worker has left permanently; ignored for another worker.
    pub fn record_departure(&self, id: &str) {
        let mut state = self.inner.state.borrow_mut();
        if state
            .worker
            .as_ref()
            .is_some_and(|worker| &*worker.worker().id == id)
        {
            info!(target: event::WORKER_LEFT, worker = id; "");
            state.worker = None;
            self.inner.report_needed.raise();
        }
    }

    /// Returns the status of the worker; `None` before its first heartbeat and after it has left.
    #[must_use]
    pub fn status(&self) -> Option<WorkerStatus> {
        let now = clock::now();
        let mut state = self.inner.state.borrow_mut();
        let state = &mut *state;
        let worker = state.worker.as_mut()?;
        worker.record_lapse(now);
        state.crashes.retain(|crash| crash.is_reportable(now));
        let crashes = state.crashes.iter();
        let crashes = crashes.map(|crash| crash.to_report(now)).collect();
        let since = |instant: Instant| as_ms(now.saturating_duration_since(instant));
        let min_answer_age_ms = if worker.is_silent() {
            as_ms(ANSWER_TIMEOUT)
        } else {
            0
        };
        Some(WorkerStatus {
            announcement: worker.announcement.clone(),
            heartbeat_age_ms: since(worker.heartbeat_at),
            answer_age_ms: worker
                .answered_at
                .map(|at| since(at).max(min_answer_age_ms)),
            lapsed_until_ms: worker.lapsed_until_ms,
            has_lapsed: worker.clock.is_some_and(|clock| clock.has_lapsed(now)),
            running: worker.running.clone(),
            ended: worker.ended.clone(),
            up_for_ms: Some(since(worker.announced_at)),
            starting: Some(worker.starting()),
            silent_since_start: worker.witness.silent_since_start(worker.clock),
            crashes,
        })
    }

    /// Returns the highest fencing epoch seen.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.inner.state.borrow().epoch
    }

    /// Applies the owner's answer to a report that was sent at `sent_at`.
    pub fn apply_answer(&self, answer: &ReportAnswer, sent_at: Instant) {
        let mut state = self.inner.state.borrow_mut();
        if answer.epoch < state.epoch {
            return;
        }
        let now = clock::now();
        let owner_clock = OwnerClock::new(answer.epoch, answer.owner_clock_ms, now);
        state.owner_clock = state
            .owner_clock
            .map(|known| known.improved_by(owner_clock, now))
            .or(Some(owner_clock));
        let is_new_epoch = state.epoch < answer.epoch;
        state.epoch = answer.epoch;
        let reported = state.crashes.iter_mut();
        for crash in reported.filter(|crash| crash.noticed_at <= sent_at) {
            crash.is_answered |= !answer.is_unconfirmed;
        }
        let mut is_renewable_again = false;
        if answer.hold_for_ms > 0 {
            let limit = sent_at + Duration::from_millis(answer.hold_for_ms);
            is_renewable_again = state.lease_limit.is_none_or(|known| known < now);
            state.lease_limit = state.lease_limit.max(Some(limit));
        }
        let mut is_acknowledged = false;
        if let Some(worker) = &mut state.worker
            && answer.worker.as_ref() == Some(worker.worker())
        {
            is_acknowledged = worker.acknowledge(answer.acknowledged);
        }
        if is_new_epoch || is_renewable_again || is_acknowledged {
            self.inner.poll_requested.raise();
        }
        let has_lapsed = state
            .worker
            .as_ref()
            .and_then(|worker| worker.clock)
            .is_some_and(|clock| clock.has_lapsed(now));
        if is_new_epoch && has_lapsed {
            // A new owner relies on a lapse only if it was found under its epoch.
            self.inner.report_needed.raise();
        }
    }

    /// Waits until a report should be sent to the owner immediately.
    pub async fn report_needed(&self) {
        self.inner.report_needed.raised().await;
    }
}

impl State {
    /// Records the current incarnation of the worker as crashed if a later one replaces it without notice.
    fn record_end_of_incarnation(&mut self, now: Instant) {
        let Some(ended) = self.worker.take() else {
            return;
        };
        if ended.announcement.state != WorkerState::Ready {
            return;
        }
        let crash = ended.witness.into_crash(
            ended.announcement.worker,
            ended.announced_at,
            ended.clock,
            now,
        );
        info!(target: event::WORKER_CRASHED,
            worker = &*crash.worker.id,
            born_unix_ms = crash.worker.born_unix_ms,
            runs = ended.running.len(),
            answer_age_ms:? = ended.clock.map(|clock| as_ms(clock.time_since_answer(now))),
            just_started = names(&crash.just_started).as_str(),
            broken = crash.was_broken,
            up_for_ms = as_ms(crash.up_for);
            ""
        );
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
    }

    /// Returns a poll request that changes nothing, whichever incarnation receives it.
    pub(crate) fn confirmation_request(&self, worker: &SupervisedWorker) -> PollRequest {
        PollRequest {
            worker: worker.worker().clone(),
            epoch: self.epoch,
            acknowledged: 0,
            lease_until_clock_ms: None,
            wait: Duration::ZERO,
        }
    }

    /// Returns a poll request that renews the lease as far as the owner allows, and acknowledges ends. It changes nothing
    /// if another incarnation may receive it.
    pub(crate) fn poll_request(
        &self,
        worker: &SupervisedWorker,
        timings: &SupervisorTimings,
        wait: Duration,
    ) -> PollRequest {
        let request = PollRequest {
            wait,
            ..self.confirmation_request(worker)
        };
        if worker.is_doubtful() {
            return request;
        }
        PollRequest {
            acknowledged: worker
                .acknowledge_limit
                .map_or(worker.acknowledged, |limit| limit.min(worker.acknowledged)),
            lease_until_clock_ms: self.lease_until_ms(worker, timings),
            ..request
        }
    }

    /// Returns the end of a lease that is renewed now, on the worker's clock; `None` if it may not be renewed.
    pub(crate) fn lease_until_ms(
        &self,
        worker: &SupervisedWorker,
        timings: &SupervisorTimings,
    ) -> Option<u64> {
        let now = clock::now();
        let limit = self.lease_limit.filter(|limit| *limit > now)?;
        let clock = worker.clock.as_ref()?;
        // The lease of an unresponsive worker is left to lapse, so that its tasks can be started elsewhere.
        let is_unresponsive = clock.time_since_answer(now) > timings.unresponsive_after;
        (!is_unresponsive).then(|| clock.lease_until_ms(now, limit, timings.max_lease))
    }
}

/// Waits for an answer of the worker, for `limit` at most.
pub(crate) async fn with_timeout<T>(
    limit: Duration,
    request: impl Future<Output = Result<T>>,
) -> Result<T> {
    match compio::time::timeout(limit, request).await {
        Ok(result) => result,
        Err(_) => {
            let detail = format!("the worker did not answer in {limit:?}");
            Err(Error::new(ErrorKind::UnknownOutcome, detail))
        }
    }
}

/// Returns the runs for the log, such as `a.0.0.0#1 a.0.0.1#1`.
fn names(runs: &[TaskRun]) -> String {
    let names: Vec<String> = runs
        .iter()
        .take(MAX_LOGGED_RUNS)
        .map(|run| format!("{}#{}", run.task, run.run))
        .collect();
    names.join(" ")
}

/// Returns a duration in whole milliseconds.
pub(crate) fn as_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
