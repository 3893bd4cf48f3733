//! Release of waiting jobs to other data centres with free capacity.

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

/// Minimum time in the queue before a job is released. A job that can start here starts within a few
/// planning rounds, and a move to another data centre takes about as long as this.
const MIN_WAIT: Duration = Duration::from_secs(2);

impl DataCentreOwner {
    /// Releases the oldest waiting jobs that fit into the free capacity of another data centre.
    ///
    /// # Errors
    /// `stale_epoch` when this process is not the owner.
    pub(crate) fn release(&self, request: &ReleaseRequest) -> Result<Released> {
        let held = self.inner.ownership.current().ok_or_else(not_owner)?;
        let jobs = self.with_term(held.epoch, |term| {
            let jobs = select_jobs(term, request.free.clone());
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
            info!(job = &**job, data_centre = &*request.data_centre; "releasing the job to another data centre");
            self.unassign(held.epoch, job.clone());
        }
        Ok(Released { jobs })
    }

    /// Clears the home of a job that is not running.
    pub(crate) fn unassign(&self, epoch: nutmegwalk_base::Epoch, job: JobId) {
        let owner = self.clone();
        compio::runtime::spawn(async move {
            owner
                .record_stopped(epoch, &job, StopReason::OutOfService, None)
                .await;
        })
        .detach();
    }
}

impl JobEntry {
    /// Returns whether the job may be moved: it is queued without a guarantee, and no attempt may be running.
    pub(crate) fn is_releasable(&self) -> bool {
        let record = &self.stored.record;
        matches!(self.phase, Phase::Queued)
            && record.state == JobState::Accepted
            && record.run.is_none()
            && record.request.guarantee.is_none()
            && self.queued_since.elapsed() >= MIN_WAIT
            // The free capacity in a release request is not divided by racks.
            && (record.request.tasks == 1 || record.request.adjacency == Adjacency::DataCentre)
    }
}

/// Selects the jobs that fit together into `free`, the oldest ones first.
fn select_jobs(term: &Term, mut free: Vec<FreeWorkers>) -> Vec<JobId> {
    let mut waiting: Vec<&JobRecord> = term
        .jobs
        .values()
        .filter(|entry| entry.is_releasable())
        .map(|entry| &entry.stored.record)
        .collect();
    waiting.sort_by_key(|record| record.accepted_unix_ms);
    let mut selected = Vec::new();
    for record in waiting {
        let request = &record.request;
        if let Some(remaining) = allocate(&free, request.tasks, request.shape.accelerators.max(1)) {
            free = remaining;
            selected.push(record.id.clone());
        }
    }
    selected
}

/// Returns what remains of `free` after placing tasks of the given size; `None` when they do not fit.
pub(crate) fn allocate(
    free: &[FreeWorkers],
    mut tasks: u32,
    accelerators: u32,
) -> Option<Vec<FreeWorkers>> {
    let mut remaining: BTreeMap<u32, u32> = BTreeMap::new();
    let mut groups: Vec<FreeWorkers> = free.to_vec();
    // Workers with the least free capacity first, so that whole workers stay free.
    groups.sort_unstable_by_key(|group| group.accelerators);
    for group in groups {
        for _ in 0..group.workers {
            let placed = (group.accelerators / accelerators.max(1)).min(tasks);
            tasks -= placed;
            *remaining
                .entry(group.accelerators - placed * accelerators)
                .or_default() += 1;
        }
    }
    let remaining = remaining
        .into_iter()
        .map(|(accelerators, workers)| FreeWorkers {
            accelerators,
            workers,
        });
    (tasks == 0).then(|| remaining.collect())
}

impl Term {
    /// Returns the usable workers with free accelerators, grouped by the number of these.
    pub(crate) fn free_workers(&self) -> Vec<FreeWorkers> {
        let mut allocated: BTreeMap<&WorkerId, u32> = BTreeMap::new();
        for entry in self.jobs.values() {
            let record = &entry.stored.record;
            for placement in record.run.iter().flat_map(|run| &run.placements) {
                let accelerators = placement.tasks * record.request.shape.accelerators;
                *allocated.entry(&placement.worker).or_default() += accelerators;
            }
        }
        let mut free: BTreeMap<u32, u32> = BTreeMap::new();
        for (id, worker) in self.workers.iter().filter(|(_, worker)| worker.usable) {
            let allocated = allocated.get(id).copied().unwrap_or(0);
            let unallocated = worker.accelerators.saturating_sub(allocated);
            if unallocated > 0 {
                *free.entry(unallocated).or_default() += 1;
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
