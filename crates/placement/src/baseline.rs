//! First-fit policy in arrival order, a baseline to compare [`plan()`](crate::plan()) with.

use crate::Plan;
use crate::Snapshot;
use crate::Start;
use crate::WaitingStep;
use nutmegwalk_workload::Resources;

/// Places steps in arrival order on the first workers with enough free resources.
///
/// It preempts nothing and reserves nothing for later starts.
#[must_use]
pub fn first_fit(snapshot: &Snapshot) -> Plan {
    let mut free: Vec<Resources> = snapshot
        .workers
        .iter()
        .map(|worker| worker.free())
        .collect();
    let mut order: Vec<usize> = (0..snapshot.waiting.len()).collect();
    order.sort_by_key(|index| std::cmp::Reverse(snapshot.waiting[*index].waited));
    let mut plan = Plan::default();
    for index in order {
        let step = &snapshot.waiting[index];
        let workers = first_fitting_workers(snapshot, step, &free);
        if workers.is_empty() || step.is_gang && workers.len() < step.tasks.len() as usize {
            continue;
        }
        for worker in &workers {
            free[*worker] = free[*worker].minus(step.demand);
        }
        plan.starts.push(Start {
            step: index,
            assignments: step.tasks.iter().zip(workers).collect(),
        });
    }
    plan
}

/// Returns the first worker that fits for each task, up to the first task that fits on none.
fn first_fitting_workers(
    snapshot: &Snapshot,
    step: &WaitingStep,
    free: &[Resources],
) -> Vec<usize> {
    let mut free = free.to_vec();
    let mut workers = Vec::new();
    for _ in step.tasks.iter() {
        let fits = |index: &usize| {
            let worker = &snapshot.workers[*index];
            worker.accepts_tasks
                && !worker.is_quarantined
                && worker.service == step.service
                && step.demand.fits(free[*index])
        };
        let Some(index) = (0..free.len()).find(fits) else {
            break;
        };
        free[index] = free[index].minus(step.demand);
        workers.push(index);
    }
    workers
}
