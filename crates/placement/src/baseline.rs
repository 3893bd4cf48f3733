//! A simpler policy to compare with: arrival order, first workers with room.

use crate::Plan;
use crate::Snapshot;
use crate::Start;
use crate::WaitingStep;
use nutmegwalk_workload::Resources;

/// Decides by arrival order; nothing gives way and nothing is planned ahead.
#[must_use]
pub fn first_fit(snapshot: &Snapshot) -> Plan {
    let mut room: Vec<Resources> = snapshot
        .workers
        .iter()
        .map(|worker| worker.free())
        .collect();
    let mut order: Vec<usize> = (0..snapshot.waiting.len()).collect();
    order.sort_by_key(|index| std::cmp::Reverse(snapshot.waiting[*index].waited));
    let mut plan = Plan::default();
    for index in order {
        let step = &snapshot.waiting[index];
        let places = first_places(snapshot, step, &room);
        if places.is_empty() || step.is_gang && places.len() < step.tasks.len() {
            continue;
        }
        for worker in &places {
            room[*worker] = room[*worker].minus(step.demand);
        }
        plan.starts.push(Start {
            waiting: index,
            assignments: step.tasks.iter().copied().zip(places).collect(),
        });
    }
    plan
}

fn first_places(snapshot: &Snapshot, step: &WaitingStep, room: &[Resources]) -> Vec<usize> {
    let mut room = room.to_vec();
    let mut places = Vec::new();
    for _ in &step.tasks {
        let fits = |index: &usize| {
            let worker = &snapshot.workers[*index];
            worker.accepts_tasks && worker.service == step.service && step.demand.fits(room[*index])
        };
        let Some(index) = (0..room.len()).find(fits) else {
            break;
        };
        room[index] = room[index].minus(step.demand);
        places.push(index);
    }
    places
}
