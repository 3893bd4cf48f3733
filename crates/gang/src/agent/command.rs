//! Owner's commands to running members on this agent's worker.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use futures_util::future::try_join_all;

use super::GangAgent;
use super::state::AttemptKey;
use super::state::Phase;
use super::state::attempt_closed_error;
use crate::GangEnd;
use crate::MemberReport;
use crate::messages::Abort;
use crate::messages::Checkpoint;
use crate::messages::Stop;
use crate::messages::Throttle;
use nutmegwalk_base::Result;

impl GangAgent {
    /// Stops the tasks and returns their last known states.
    pub(super) async fn stop(&self, message: Stop) -> Result<Vec<MemberReport>> {
        let key = (message.job, message.attempt);
        self.shared.state.borrow_mut().check_epoch(message.epoch)?;
        if let Some(stop) = self.end(&key, GangEnd::Stopped) {
            stop.await;
        }
        Ok(self.last_states(&key))
    }

    /// Closes the attempt; returns once none of its tasks runs.
    pub(super) async fn abort(&self, message: Abort) -> Result<()> {
        let key = (message.job, message.attempt);
        self.shared.state.borrow_mut().check_epoch(message.epoch)?;
        if let Some(stop) = self.end(&key, GangEnd::Aborted) {
            stop.await;
        }
        Ok(())
    }

    /// Writes checkpoints within a time limit; with `stop`, stops the tasks at the limit in any case.
    pub(super) async fn checkpoint(&self, message: Checkpoint) -> Result<Vec<MemberReport>> {
        let key = (message.job, message.attempt);
        self.shared.state.borrow_mut().check_epoch(message.epoch)?;
        let deadline = Instant::now() + Duration::from_millis(message.within_ms);
        let members = self.running_members(&key)?;
        if message.stop {
            let agent = self.clone();
            let key = key.clone();
            compio::runtime::spawn(async move {
                compio::time::sleep(deadline.saturating_duration_since(Instant::now())).await;
                if !agent.shared.shutdown.is_started() && agent.running_members(&key).is_ok() {
                    agent.end(&key, GangEnd::Stopped);
                }
            })
            .detach();
        }
        let checkpoints = members.iter().map(|member| async {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let call = self.shared.worker.checkpoint(&key.0, key.1, *member);
            match compio::time::timeout(remaining, call).await {
                Ok(Ok(checkpoint_ms)) => Some((*member, checkpoint_ms)),
                Ok(Err(_)) | Err(_) => None,
            }
        });
        let checkpoints = join_all(checkpoints).await;
        self.with_gang(&key, |gang| {
            for (member, checkpoint_ms) in checkpoints.into_iter().flatten() {
                for task in gang.tasks.iter_mut().filter(|task| task.member == member) {
                    task.checkpoint_ms = task.checkpoint_ms.max(checkpoint_ms);
                }
            }
        });
        Ok(self.last_states(&key))
    }

    /// Limits the processor time of the tasks.
    pub(super) async fn throttle(&self, message: Throttle) -> Result<()> {
        let key = (message.job, message.attempt);
        self.shared.state.borrow_mut().check_epoch(message.epoch)?;
        let share_percent = message.share_percent.clamp(1, 100);
        let members = self.running_members(&key)?;
        let calls = members.iter().map(|member| {
            let worker = &self.shared.worker;
            self.with_step_timeout(worker.throttle(&key.0, key.1, *member, share_percent))
        });
        try_join_all(calls).await.map(drop)
    }

    fn running_members(&self, key: &AttemptKey) -> Result<Vec<u32>> {
        let members = self.with_gang(key, |gang| {
            let running = matches!(gang.phase, Phase::Running { .. });
            running.then(|| gang.members.iter().map(|spec| spec.member).collect())
        });
        members.flatten().ok_or_else(|| attempt_closed_error(key))
    }

    fn last_states(&self, key: &AttemptKey) -> Vec<MemberReport> {
        self.with_gang(key, |gang| gang.tasks.clone())
            .unwrap_or_default()
    }
}
