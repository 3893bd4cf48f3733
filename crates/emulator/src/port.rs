//! In-process implementation of the agent's worker trait.

use std::rc::Rc;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::EmulatedWorker;
use crate::worker::TICK;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_supervisor::PollAnswer;
use nutmegwalk_supervisor::PollRequest;
use nutmegwalk_supervisor::StartAnswer;
use nutmegwalk_supervisor::StartRequest;
use nutmegwalk_supervisor::TaskRun;
use nutmegwalk_supervisor::WorkerPort;
use nutmegwalk_workload::WorkerRef;

/// Connection to an [`EmulatedWorker`] that applies the worker's faults. A lost answer never arrives.
#[derive(Clone, Debug)]
pub struct EmulatedPort {
    worker: Rc<EmulatedWorker>,
}

impl EmulatedPort {
    /// Creates a connection to `worker`.
    #[must_use]
    pub fn new(worker: Rc<EmulatedWorker>) -> Self {
        Self { worker }
    }

    /// Returns the answer, or never completes when the worker loses its answers.
    async fn deliver<T>(&self, answer: T) -> T {
        if self.worker.faults.loses_responses.get() {
            std::future::pending::<()>().await;
        }
        answer
    }
}

impl WorkerPort for EmulatedPort {
    fn start<'a>(&'a self, request: &'a StartRequest) -> LocalBoxFuture<'a, Result<StartAnswer>> {
        async move {
            self.worker.check_reachable()?;
            if self.worker.faults.restarts_before_start.take() {
                self.worker.restart_under_its_id();
            }
            if let Some(start_delay) = self.worker.faults.start_delay.get() {
                let (worker, request) = (Rc::clone(&self.worker), request.clone());
                compio::runtime::spawn(async move {
                    compio::time::sleep(start_delay).await;
                    worker.start_run(&request);
                })
                .detach();
                std::future::pending::<()>().await;
            }
            let answer = self.worker.start_run(request);
            self.deliver(Ok(answer)).await
        }
        .boxed_local()
    }

    fn stop<'a>(
        &'a self,
        worker: &'a WorkerRef,
        run: &'a TaskRun,
        epoch: Epoch,
    ) -> LocalBoxFuture<'a, Result<()>> {
        async move {
            self.worker.check_reachable()?;
            self.worker.admit(worker, epoch)?;
            self.worker.stop_run(run);
            self.deliver(Ok(())).await
        }
        .boxed_local()
    }

    fn pace<'a>(
        &'a self,
        worker: &'a WorkerRef,
        run: &'a TaskRun,
        percent: u32,
        epoch: Epoch,
    ) -> LocalBoxFuture<'a, Result<()>> {
        async move {
            self.worker.check_reachable()?;
            self.worker.admit(worker, epoch)?;
            self.worker.set_pace(run, percent);
            self.deliver(Ok(())).await
        }
        .boxed_local()
    }

    fn poll<'a>(&'a self, request: &'a PollRequest) -> LocalBoxFuture<'a, Result<PollAnswer>> {
        async move {
            self.worker.check_reachable()?;
            self.worker.admit(&request.worker, request.epoch)?;
            self.worker.renew(request);
            let until = Instant::now() + request.wait;
            while !self.worker.has_unacknowledged_ends() && Instant::now() < until {
                compio::time::sleep(TICK).await;
                self.worker
                    .check_reachable()
                    .map_err(|error| Error::new(ErrorKind::UnknownOutcome, error.detail))?;
            }
            self.deliver(Ok(self.worker.poll_answer())).await
        }
        .boxed_local()
    }
}
