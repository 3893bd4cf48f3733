//! Limits that follow from the tasks of a step that have started, in earlier decisions and in the current one.

use std::collections::BTreeMap;

use crate::Snapshot;
use crate::WaitingStep;
use crate::fit::is_eligible;
use crate::isolation::IsolationRules;
use nutmegwalk_workload::Occurrence;
use nutmegwalk_workload::StepIndex;

/// Workers that are used only as a last resort.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LastResort {
    /// No such workers.
    None,
    /// Workers in quarantine.
    Quarantined,
    /// Workers where tasks of the step have failed or stalled.
    Excluded,
}

/// Where further tasks of a step may be placed, regardless of the free resources.
#[derive(Clone, Debug)]
pub(crate) struct StepLimits {
    /// Maximum number of further tasks for each worker.
    max_tasks: Vec<u32>,
    /// Worker of a task of the step that has started.
    started_on: Option<usize>,
}

impl StepLimits {
    /// Returns how many further tasks a worker may accept.
    pub(crate) fn max_tasks_on(&self, worker: usize) -> u32 {
        self.max_tasks[worker]
    }

    /// Returns the maximum number of further tasks for each worker.
    pub(crate) fn max_tasks(&self) -> &[u32] {
        &self.max_tasks
    }

    /// Returns the worker of a task of the step that has started, if any.
    pub(crate) fn started_on(&self) -> Option<usize> {
        self.started_on
    }

    /// Counts tasks that are placed on `workers`, one entry per task.
    pub(crate) fn record_placed(&mut self, workers: &[usize]) {
        for worker in workers {
            self.max_tasks[*worker] = self.max_tasks[*worker].saturating_sub(1);
        }
        self.started_on = self.started_on.or(workers.first().copied());
    }
}

/// Identifies a step; its waiting tasks may be in several entries of [`Snapshot::waiting`].
type StepKey<'a> = (&'a str, Occurrence, StepIndex);

/// Tasks that the current decision has started, which the snapshot does not contain.
#[derive(Debug, Default)]
pub(crate) struct PlacedTasks<'a> {
    by_step: BTreeMap<StepKey<'a>, Vec<usize>>,
}

impl<'a> PlacedTasks<'a> {
    /// Records that tasks of a step are started on `workers`, one entry per task.
    pub(crate) fn record(&mut self, step: &'a WaitingStep, workers: &[usize]) {
        let placed = self.by_step.entry(key_of(step)).or_default();
        placed.extend_from_slice(workers);
    }

    /// Returns where further tasks of a step may be placed.
    pub(crate) fn limits(
        &self,
        snapshot: &Snapshot,
        rules: &IsolationRules,
        step: &WaitingStep,
        last_resort: LastResort,
    ) -> StepLimits {
        let placed = self
            .by_step
            .get(&key_of(step))
            .map_or(&[][..], |placed| placed);
        let by_step = further_tasks(snapshot, step, placed);
        let allowed = |index: usize| {
            let is_closed = last_resort != LastResort::Quarantined
                && snapshot.workers[index].is_quarantined
                || last_resort != LastResort::Excluded && step.excluded.contains(&index);
            if is_closed || !is_eligible(snapshot, step, index) {
                return 0;
            }
            let by_step = by_step.as_ref().map_or(u32::MAX, |by_step| by_step[index]);
            by_step.min(rules.max_tasks(step, index))
        };
        let started_on = step.started_tasks.first().map(|(worker, _)| *worker);
        StepLimits {
            max_tasks: (0..snapshot.workers.len()).map(allowed).collect(),
            started_on: started_on.or(placed.first().copied()),
        }
    }
}

fn key_of(step: &WaitingStep) -> StepKey<'_> {
    (&step.job, step.occurrence, step.step)
}

/// Returns how many further tasks of a step its limit leaves to each worker; `None` if it has no limit.
fn further_tasks(snapshot: &Snapshot, step: &WaitingStep, placed: &[usize]) -> Option<Vec<u32>> {
    let limit = step.max_tasks_per_worker?;
    let mut further = vec![limit; snapshot.workers.len()];
    for (worker, tasks) in &step.started_tasks {
        further[*worker] = further[*worker].saturating_sub(*tasks);
    }
    for worker in placed {
        further[*worker] = further[*worker].saturating_sub(1);
    }
    Some(further)
}
