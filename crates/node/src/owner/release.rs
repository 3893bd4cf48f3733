//! Release of waiting jobs to other data centres that have room for them.

use std::collections::BTreeMap;
use std::time::Duration;

use log::info;

use crate::api::FreeWorkers;
use crate::jobs::JobRecord;
use crate::jobs::JobState;
use crate::owner::DataCentreOwner;
use crate::owner::messages::ReleaseRequest;
use crate::owner::messages::Released;
use crate::owner::not_owner;
use crate::owner::term::JobEntry;
use crate::owner::term::Phase;
use crate::owner::term::Term;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;
use nutmegwalk_config::Adjacency;
use nutmegwalk_fleet::StopReason;

/// Wait after which a job is released. A job that can start here starts within a few rounds of planning,
/// and a move to another data centre takes about as long as this.
const MIN_WAIT: Duration = Duration::from_secs(2);

impl DataCentreOwner {
    /// Gives up the oldest waiting jobs that fit into the room of another data centre.
    ///
    /// # Errors
    /// `stale_epoch` when this process is not the owner.
    pub(crate) fn release(&self, request: &ReleaseRequest) -> Result<Released> {
        let held = self.inner.ownership.current().ok_or_else(not_owner)?;
        let jobs = self.with_term(held.epoch, |term| {
            let jobs = choose(term, request.free.clone());
            for job in &jobs {
                if let Some(entry) = term.jobs.get_mut(job) {
                    entry.phase = Phase::Ending;
                }
                term.withdraw(job);
            }
            jobs
        });
        let jobs = jobs.ok_or_else(not_owner)?;
        for job in &jobs {
            info!(job = &**job, data_centre = &*request.data_centre; "releasing the job, which fits elsewhere");
            self.give_away(held.epoch, job.clone());
        }
        Ok(Released { jobs })
    }

    /// Clears the home of a job that does not run.
    pub(crate) fn give_away(&self, epoch: nutmegwalk_base::Epoch, job: JobId) {
        let owner = self.clone();
        compio::runtime::spawn(async move {
            owner
                .settle_stopped(epoch, &job, StopReason::OutOfService, None)
                .await;
        })
        .detach();
    }
}

impl JobEntry {
    /// Returns whether another data centre may have the job: it waits, and no attempt may run.
    pub(crate) fn is_releasable(&self) -> bool {
        let record = &self.stored.record;
        matches!(self.phase, Phase::Queued)
            && record.state == JobState::Accepted
            && record.run.is_none()
            && record.request.guarantee.is_none()
            && self.queued_since.elapsed() >= MIN_WAIT
            // The room that is told has no racks.
            && (record.request.tasks == 1 || record.request.adjacency == Adjacency::DataCentre)
    }
}

/// Chooses the jobs that fit together into `free`, the oldest ones first.
fn choose(term: &Term, mut free: Vec<FreeWorkers>) -> Vec<JobId> {
    let mut waiting: Vec<&JobRecord> = term
        .jobs
        .values()
        .filter(|entry| entry.is_releasable())
        .map(|entry| &entry.stored.record)
        .collect();
    waiting.sort_by_key(|record| record.accepted_unix_ms);
    let mut chosen = Vec::new();
    for record in waiting {
        let request = &record.request;
        if let Some(left) = fit(&free, request.tasks, request.shape.accelerators.max(1)) {
            free = left;
            chosen.push(record.id.clone());
        }
    }
    chosen
}

/// Returns what is left of `free` beside tasks of the given size, or none when they do not fit.
pub(crate) fn fit(
    free: &[FreeWorkers],
    mut tasks: u32,
    accelerators: u32,
) -> Option<Vec<FreeWorkers>> {
    let mut left: BTreeMap<u32, u32> = BTreeMap::new();
    let mut by_room: Vec<FreeWorkers> = free.to_vec();
    // The smallest room first, so that whole workers stay free.
    by_room.sort_unstable_by_key(|one| one.accelerators);
    for one in by_room {
        for _ in 0..one.workers {
            let here = (one.accelerators / accelerators.max(1)).min(tasks);
            tasks -= here;
            *left
                .entry(one.accelerators - here * accelerators)
                .or_default() += 1;
        }
    }
    let left = left.into_iter().map(|(accelerators, workers)| FreeWorkers {
        accelerators,
        workers,
    });
    (tasks == 0).then(|| left.collect())
}

impl Term {
    /// Returns the usable workers by the accelerators that no task takes.
    pub(crate) fn free_workers(&self) -> Vec<FreeWorkers> {
        let mut taken: BTreeMap<&WorkerId, u32> = BTreeMap::new();
        for entry in self.jobs.values() {
            let record = &entry.stored.record;
            for placement in record.run.iter().flat_map(|run| &run.placements) {
                let accelerators = placement.tasks * record.request.shape.accelerators;
                *taken.entry(&placement.worker).or_default() += accelerators;
            }
        }
        let mut free: BTreeMap<u32, u32> = BTreeMap::new();
        for (id, worker) in self.workers.iter().filter(|(_, worker)| worker.usable) {
            let taken = taken.get(id).copied().unwrap_or(0);
            let room = worker.accelerators.saturating_sub(taken);
            if room > 0 {
                *free.entry(room).or_default() += 1;
            }
        }
        let free = free.into_iter();
        free.map(|(accelerators, workers)| FreeWorkers {
            accelerators,
            workers,
        })
        .collect()
    }
}
