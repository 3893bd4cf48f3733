//! A worker in the same process, behind the agent's trait.

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

/// A way to an [`EmulatedWorker`] with the worker's faults. A lost answer is one that never comes.
#[derive(Clone, Debug)]
pub struct EmulatedPort {
    worker: Rc<EmulatedWorker>,
}

impl EmulatedPort {
    /// Creates a way to a worker.
    #[must_use]
    pub fn new(worker: Rc<EmulatedWorker>) -> Self {
        Self { worker }
    }

    /// Passes an answer on unless the worker loses it.
    async fn answered<T>(&self, answer: T) -> T {
        if self.worker.faults.loses_answers.get() {
            std::future::pending::<()>().await;
        }
        answer
    }
}

impl WorkerPort for EmulatedPort {
    fn start<'a>(&'a self, request: &'a StartRequest) -> LocalBoxFuture<'a, Result<StartAnswer>> {
        async move {
            self.worker.check_reachable()?;
            if let Some(start_delay) = self.worker.faults.start_delay.get() {
                let (worker, request) = (Rc::clone(&self.worker), request.clone());
                compio::runtime::spawn(async move {
                    compio::time::sleep(start_delay).await;
                    worker.begin(&request);
                })
                .detach();
                std::future::pending::<()>().await;
            }
            let answer = self.worker.begin(request);
            self.answered(Ok(answer)).await
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
            self.worker.halt(run);
            self.answered(Ok(())).await
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
            self.worker.pace(run, percent);
            self.answered(Ok(())).await
        }
        .boxed_local()
    }

    fn poll<'a>(&'a self, request: &'a PollRequest) -> LocalBoxFuture<'a, Result<PollAnswer>> {
        async move {
            self.worker.check_reachable()?;
            self.worker.admit(&request.worker, request.epoch)?;
            self.worker.renew(request);
            let until = Instant::now() + request.wait;
            while !self.worker.has_ended() && Instant::now() < until {
                compio::time::sleep(TICK).await;
                self.worker
                    .check_reachable()
                    .map_err(|error| Error::new(ErrorKind::UnknownOutcome, error.detail))?;
            }
            self.answered(Ok(self.worker.list())).await
        }
        .boxed_local()
    }
}
