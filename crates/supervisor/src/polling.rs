//! The loop that polls the worker and renews its lease, and what each answer or its absence shows.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join;
use log::debug;
use log::warn;

use crate::LeaseClock;
use crate::PollAnswer;
use crate::PollRequest;
use crate::Refusal;
use crate::Supervisor;
use crate::TaskRun;
use crate::supervised_worker::SupervisedWorker;
use crate::supervisor::Inner;
use crate::supervisor::Renewal;
use crate::supervisor::with_timeout;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::Result;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_workload::WorkerRef;

/// Time after a start at which the worker is asked whether it is still alive; a little longer than the window in which a
/// task may crash it, also on a slow clock.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(350);

impl Supervisor {
    /// Polls the worker, renews its lease and confirms its starts, until the future is dropped.
    pub async fn run(&self) {
        join(self.poll(), self.confirm_starts()).await;
    }

    /// Polls the worker again after each start, so that it is known whether the worker has outlived it. The poll in
    /// flight may have waited since before the start.
    async fn confirm_starts(&self) {
        let inner = &self.inner;
        loop {
            inner.started.raised().await;
            compio::time::sleep(CONFIRMATION_DELAY).await;
            let Some(request) = inner.next_confirmation() else {
                continue;
            };
            if let Err(error) = inner.poll_worker(&request).await {
                warn!(target: event::WORKER_SILENT, worker = &*request.worker.id; "cannot poll the worker after a start: {error}");
            }
        }
    }

    async fn poll(&self) {
        let inner = &self.inner;
        loop {
            let Some((request, is_unacknowledged)) = inner.next_poll() else {
                inner.pause(inner.timings.idle_poll_wait).await;
                continue;
            };
            match inner.poll_worker(&request).await {
                Ok(()) if is_unacknowledged => {
                    inner.pause(inner.timings.unacknowledged_poll_wait).await
                }
                Ok(()) => {}
                Err(error) => {
                    if error.kind == ErrorKind::StaleEpoch {
                        inner.state.borrow_mut().refused_epoch = request.epoch;
                    }
                    warn!(target: event::WORKER_SILENT, worker = &*request.worker.id; "cannot poll the worker: {error}");
                    // The first failure may be a mere delay, and the next poll shows whether it was.
                    if inner.is_silent() {
                        inner.pause(inner.timings.retry_pause).await;
                    }
                }
            }
        }
    }
}

impl Inner {
    /// Waits until an immediate poll is requested, for `limit` at most.
    async fn pause(&self, limit: Duration) {
        // Reaching the limit is the usual case.
        let _ = compio::time::timeout(limit, self.poll_requested.raised()).await;
    }

    /// Returns the request that confirms the last starts, unless a later answer has done so.
    fn next_confirmation(&self) -> Option<PollRequest> {
        let state = self.state.borrow();
        let worker = state.worker.as_ref()?;
        let is_needed = state.epoch > state.refused_epoch
            && worker.unanswered_polls == 0
            && worker.witness.has_unconfirmed(worker.clock);
        is_needed.then(|| state.poll_request(worker, &self.timings, Duration::ZERO))
    }

    /// Requests that the last starts are confirmed.
    pub(crate) fn request_confirmation(&self) {
        self.started.raise();
    }

    pub(crate) fn notify_owner(&self) {
        self.report_needed.raise();
    }

    pub(crate) fn request_poll(&self) {
        self.poll_requested.raise();
    }

    /// Returns the next poll request, and whether ends await the owner's acknowledgement.
    fn next_poll(&self) -> Option<(PollRequest, bool)> {
        let state = self.state.borrow();
        let worker = state.worker.as_ref()?;
        if state.epoch <= state.refused_epoch {
            return None;
        }
        // A worker that lists an end answers at once, also when the end cannot be read.
        let is_unacknowledged = !worker.ended.is_empty() || worker.is_incomplete;
        let is_first = worker.answered_at.is_none();
        let wait = if is_unacknowledged || is_first || worker.is_doubtful() {
            Duration::ZERO
        } else if worker.running.is_empty() {
            self.timings.idle_poll_wait
        } else {
            self.timings.active_poll_wait
        };
        Some((
            state.poll_request(worker, &self.timings, wait),
            is_unacknowledged,
        ))
    }

    /// Polls the worker once and applies its answer.
    pub(crate) async fn poll_worker(&self, request: &PollRequest) -> Result<()> {
        let limit = request.wait + self.timings.answer_timeout;
        let renewal = self.begin_renewal(&request.worker, request.lease_until_clock_ms);
        let sent_at = clock::now();
        let answer = with_timeout(limit, self.port.poll(request)).await;
        self.end_renewal(renewal, answer.as_ref().err());
        if let Err(error) = &answer {
            // A connection that is refused or closed fails at once. A link or a host that fails is silent.
            let is_broken = clock::now().saturating_duration_since(sent_at) < limit;
            self.record_unanswered_poll(&request.worker, error, is_broken);
        }
        let result =
            answer.and_then(|answer| self.apply_poll_answer(&request.worker, answer, sent_at));
        if result
            .as_ref()
            .is_err_and(|error| error.kind == ErrorKind::NotFound)
        {
            self.record_disowned(&request.worker);
        }
        result
    }

    /// Makes sure that the incarnation was there a moment ago. Requests name the worker's id only, so that a later
    /// incarnation under the same id carries out what is meant for this one.
    ///
    /// # Errors
    /// The refusal of a start that must not be sent.
    pub(crate) async fn confirm_incarnation(&self, addressed: &WorkerRef) -> Result<(), Refusal> {
        let asked_at = clock::now();
        let _turn = self.confirming.lock().await;
        let request = {
            let state = self.state.borrow();
            let worker = state.worker.as_ref();
            let Some(worker) = worker.filter(|worker| worker.worker() == addressed) else {
                return Err(Refusal::OtherWorker);
            };
            if worker.is_confirmed(clock::now()) {
                return Ok(());
            }
            if worker.is_doubtful() && worker.doubted_at > Some(asked_at) {
                // A poll for another start has failed meanwhile.
                return Err(Refusal::LeasePassed);
            }
            state.confirmation_request(worker)
        };
        self.poll_worker(&request).await.map_err(|error| {
            warn!(target: event::WORKER_SILENT, worker = &*addressed.id; "cannot poll the worker before a start: {error}");
            match error.kind {
                ErrorKind::StaleEpoch => Refusal::StaleEpoch,
                ErrorKind::NotFound => Refusal::OtherWorker,
                _ => Refusal::LeasePassed,
            }
        })?;
        let state = self.state.borrow();
        let is_doubtful = state
            .worker
            .as_ref()
            .is_none_or(|worker| worker.worker() != addressed || worker.is_doubtful());
        if is_doubtful {
            Err(Refusal::LeasePassed)
        } else {
            Ok(())
        }
    }

    /// Records that a request that renews the lease is being sent. The worker may receive it from now on.
    pub(crate) fn begin_renewal(
        &self,
        addressed: &WorkerRef,
        until_ms: Option<u64>,
    ) -> Option<Renewal> {
        let until_ms = until_ms?;
        let mut state = self.state.borrow_mut();
        let worker = state.worker.as_mut()?;
        if worker.worker() != addressed {
            return None;
        }
        Some(Renewal {
            worker: addressed.clone(),
            renewal: worker.clock.as_mut()?.begin_renewal(until_ms),
        })
    }

    /// Completes a renewal; reverts it if its request was not sent.
    pub(crate) fn end_renewal(&self, renewal: Option<Renewal>, error: Option<&Error>) {
        let is_unsent = error.is_some_and(|error| error.outcome() == Outcome::NotRun);
        if let Some(renewal) = renewal.filter(|_| is_unsent)
            && let Some(worker) = &mut self.state.borrow_mut().worker
            && *worker.worker() == renewal.worker
            && let Some(clock) = &mut worker.clock
        {
            clock.cancel_renewal(renewal.renewal);
        }
    }

    /// Records that a request was not answered. The connection may have broken with the incarnation.
    pub(crate) fn record_unanswered(&self, addressed: &WorkerRef) {
        self.with_worker(addressed, |worker| {
            worker.is_unanswered = true;
            worker.doubted_at = Some(clock::now());
        });
    }

    /// Records that the start of a run was sent and not answered.
    pub(crate) fn record_unresolved(&self, addressed: &WorkerRef, run: &TaskRun) {
        self.with_worker(addressed, |worker| worker.record_unresolved(run));
    }

    fn record_unanswered_poll(&self, addressed: &WorkerRef, error: &Error, is_broken: bool) {
        self.record_unanswered(addressed);
        self.with_worker(addressed, |worker| {
            worker.unanswered_polls = worker.unanswered_polls.saturating_add(1);
            // Other errors are answers.
            if matches!(
                error.kind,
                ErrorKind::Unreachable | ErrorKind::UnknownOutcome
            ) {
                worker.witness.record_silence(is_broken, clock::now());
            }
        });
    }

    /// Records that another incarnation has answered.
    pub(crate) fn record_disowned(&self, addressed: &WorkerRef) {
        self.with_worker(addressed, |worker| {
            worker.is_disowned = true;
            // The process has ended, as another one answers in its place.
            worker.witness.record_silence(true, clock::now());
            worker.doubted_at = Some(clock::now());
        });
    }

    /// Applies a change to the worker if it is still `addressed`, and tells the owner at once when it has become silent.
    fn with_worker(&self, addressed: &WorkerRef, change: impl FnOnce(&mut SupervisedWorker)) {
        let mut state = self.state.borrow_mut();
        let worker = state.worker.as_mut();
        if let Some(worker) = worker.filter(|worker| worker.worker() == addressed) {
            let was_silent = worker.is_silent();
            change(worker);
            if worker.is_silent() && !was_silent {
                self.notify_owner();
            }
        }
    }

    fn is_silent(&self) -> bool {
        let state = self.state.borrow();
        state
            .worker
            .as_ref()
            .is_some_and(SupervisedWorker::is_silent)
    }

    /// Applies the answer to a poll that was sent at `sent_at`. Afterwards the agent has this list, or one that the worker
    /// made later.
    ///
    /// # Errors
    /// `not_found` when another incarnation answered, or has announced itself meanwhile.
    fn apply_poll_answer(
        &self,
        addressed: &WorkerRef,
        answer: PollAnswer,
        sent_at: Instant,
    ) -> Result<()> {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let worker = state.worker.as_mut();
        let Some(worker) = worker.filter(|worker| worker.worker() == addressed) else {
            let detail = "the agent no longer supervises this incarnation of the worker";
            return Err(Error::new(ErrorKind::NotFound, detail));
        };
        if answer
            .born_unix_ms
            .is_some_and(|born| born != addressed.born_unix_ms)
        {
            let detail = "another incarnation of the worker answered";
            return Err(Error::new(ErrorKind::NotFound, detail));
        }
        let is_first = worker.answered_at.is_none();
        let was_silent = worker.is_silent();
        // The answer to a later order brings no list, so it does not replace this one.
        let is_latest = worker
            .clock
            .is_none_or(|clock| clock.clock_ms() <= answer.clock_ms);
        worker
            .clock
            .get_or_insert_with(|| LeaseClock::new(answer.clock_ms, now, self.timings.max_lease))
            .observe(answer.clock_ms, now);
        worker.record_answer(sent_at);
        if is_latest {
            worker.answered_at = Some(now);
            worker.witness.record_answer();
        }
        if worker.listed_clock_ms > Some(answer.clock_ms) {
            debug!(target: event::LIST_SUPERSEDED, worker = &*addressed.id, clock_ms = answer.clock_ms; "");
        } else if worker.apply_list(answer) || is_first || was_silent {
            self.notify_owner();
        }
        Ok(())
    }
}
