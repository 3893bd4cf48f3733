//! Simulated tasks, whose progress follows from elapsed time and throttle, under a lease.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;

use crate::platform::events::TaskEnd;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_gang::TaskMetadata;
use nutmegwalk_gang::TaskState;
use nutmegwalk_gang::TaskStatus;

/// Behaviour of the simulated program, parsed from the payload of a task.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Program {
    /// Run time of the program at full speed, in milliseconds.
    work_ms: u64,
    /// Whether the program ends with an error.
    #[serde(default)]
    fail: bool,
    /// Memory that the program uses, in megabytes; by default the allocated memory.
    memory_mb: Option<u64>,
}

#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) metadata: TaskMetadata,
    program: Program,
    started_at: Instant,
    lease_until: Instant,
    share_percent: u32,
    /// Work done up to `updated_at`.
    progress: Duration,
    updated_at: Instant,
    checkpoint_ms: u64,
    end: Option<TaskEnd>,
}

impl Task {
    pub(crate) fn start(metadata: TaskMetadata, lease: Duration, now: Instant) -> Result<Self> {
        let program: Program = serde_json::from_str(&metadata.payload).map_err(|error| {
            let detail = format!("the payload of {} cannot be run: {error}", metadata.job);
            Error::new(ErrorKind::BadRequest, detail)
        })?;
        Ok(Self {
            program,
            started_at: now,
            lease_until: now + lease,
            share_percent: 100,
            progress: Duration::from_millis(metadata.checkpoint_ms),
            updated_at: now,
            checkpoint_ms: metadata.checkpoint_ms,
            end: None,
            metadata,
        })
    }

    pub(crate) fn is_running(&self) -> bool {
        self.end.is_none()
    }

    pub(crate) fn progress_ms(&self) -> u64 {
        u64::try_from(self.progress.as_millis()).unwrap_or(u64::MAX)
    }

    /// Advances the task to `now`; returns when and how it ended, if its work was done or its lease lapsed.
    pub(crate) fn advance_to(&mut self, now: Instant) -> Option<(Instant, TaskEnd)> {
        if !self.is_running() {
            return None;
        }
        let until = now.min(self.lease_until).max(self.updated_at);
        let share = f64::from(self.share_percent) / 100.0;
        let work = Duration::from_millis(self.program.work_ms);
        let remaining = work.saturating_sub(self.progress);
        let elapsed = until.duration_since(self.updated_at);
        let done = elapsed.mul_f64(share);
        let ended = if done >= remaining && (share > 0.0 || remaining.is_zero()) {
            // The task ended between the last update and `now`, when its work was done.
            let needed = if share > 0.0 {
                remaining.div_f64(share)
            } else {
                Duration::ZERO
            };
            self.progress = self.progress.max(work);
            let end = if self.program.fail {
                TaskEnd::Failed
            } else {
                TaskEnd::Finished
            };
            Some((self.updated_at + needed.min(elapsed), end))
        } else {
            self.progress += done;
            (now >= self.lease_until).then_some((until, TaskEnd::LeaseLapsed))
        };
        self.updated_at = until;
        self.end = ended.map(|(_, end)| end);
        ended
    }

    /// Extends the lease from `now`.
    pub(crate) fn renew(&mut self, lease: Duration, now: Instant) {
        self.lease_until = self.lease_until.max(now + lease);
    }

    /// Sets the share of processor time. The task must have been advanced to the current time.
    pub(crate) fn throttle(&mut self, share_percent: u32) {
        self.share_percent = share_percent.min(100);
    }

    /// Takes a checkpoint and returns its progress in milliseconds. The task must have been advanced to the
    /// current time.
    pub(crate) fn checkpoint(&mut self) -> u64 {
        self.checkpoint_ms = self.progress_ms();
        self.checkpoint_ms
    }

    /// Returns the status that the worker reports; memory usage is zero until `usage_lag` after the start.
    pub(crate) fn status(&self, usage_lag: Duration, now: Instant) -> TaskStatus {
        let is_reported = now.saturating_duration_since(self.started_at) >= usage_lag;
        let memory_mb = self.program.memory_mb.unwrap_or(self.metadata.memory_mb);
        TaskStatus {
            metadata: self.metadata.clone(),
            state: match self.end {
                None => TaskState::Running,
                Some(TaskEnd::Finished) => TaskState::Finished,
                Some(TaskEnd::Failed) => TaskState::Failed,
                Some(TaskEnd::Stopped | TaskEnd::LeaseLapsed | TaskEnd::Killed) => {
                    TaskState::Stopped
                }
            },
            progress_ms: self.progress_ms(),
            checkpoint_ms: self.checkpoint_ms,
            used_memory_mb: if is_reported { memory_mb } else { 0 },
        }
    }
}
