//! Submissions whose outcome is unknown.
//!
//! The answer to a write that stores a job can be lost, so that nobody knows whether the job will run. Until the store
//! shows it, a repeated submission that does not reach the store is not proof that the job will not run.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::Result;

/// Time for which an unresolved submission is kept. Callers repeat a submission for much less than that.
const RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of unresolved submissions, which bounds the memory use during an outage. The oldest is dropped first.
const MAX_UNRESOLVED: usize = 10_000;

/// Ids of the jobs whose submission to this process has an unknown outcome, with the time of the last attempt.
#[derive(Debug, Default)]
pub(crate) struct UnresolvedSubmissions {
    attempted_at: RefCell<BTreeMap<JobId, Instant>>,
}

impl UnresolvedSubmissions {
    /// Returns whether an earlier attempt may have stored the job, as known at `now`.
    pub(crate) fn contains(&self, id: &str, now: Instant) -> bool {
        self.attempted_at
            .borrow()
            .get(id)
            .is_some_and(|at| now.saturating_duration_since(*at) < RETENTION)
    }

    /// Records that no attempt to store the job will take effect any more.
    pub(crate) fn forget(&self, id: &str) {
        self.attempted_at.borrow_mut().remove(id);
    }

    /// Records the result of a submission at `now`, and returns it as the caller may see it: the job may have been
    /// stored by an earlier attempt although this one has not run.
    pub(crate) fn resolve(&self, id: &str, result: Result<()>, now: Instant) -> Result<()> {
        let is_unresolved = self.contains(id, now);
        let mut attempted_at = self.attempted_at.borrow_mut();
        match result {
            Ok(()) => {
                attempted_at.remove(id);
                Ok(())
            }
            Err(error) if error.kind == ErrorKind::Cancelled => {
                attempted_at.remove(id);
                Err(error)
            }
            Err(error) if error.outcome() != Outcome::NotRun => {
                attempted_at.retain(|_, at| now.saturating_duration_since(*at) < RETENTION);
                if attempted_at.len() >= MAX_UNRESOLVED {
                    let oldest = attempted_at.iter().min_by_key(|(_, at)| **at);
                    if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                        attempted_at.remove(&oldest);
                    }
                }
                attempted_at.insert(id.into(), now);
                Err(error)
            }
            Err(error) if is_unresolved && error.kind == ErrorKind::StoreUnavailable => {
                let detail = format!("an earlier attempt may have stored the job: {error}");
                Err(Error::new(ErrorKind::StoreUnknown, detail))
            }
            Err(error) => Err(error),
        }
    }
}
