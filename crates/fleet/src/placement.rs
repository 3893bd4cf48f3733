//! Selection of workers for one gang.

use crate::Adjacency;

/// A worker that tasks of the gang can be placed on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) worker: usize,
    pub(crate) rack: usize,
    /// Number of tasks that fit.
    pub(crate) tasks: u32,
}

/// Chooses workers by best fit: one worker if the gang fits on it, else one rack, else the fewest racks.
///
/// Each step chooses the smallest worker or rack that is sufficient, so that large free capacity is not split.
pub(crate) fn best_fit(
    candidates: &[Candidate],
    rack_count: usize,
    tasks: u32,
    adjacency: Adjacency,
) -> Option<Vec<(usize, u32)>> {
    let mut rack_capacity = vec![0_u64; rack_count];
    for candidate in candidates {
        rack_capacity[candidate.rack] += u64::from(candidate.tasks);
    }
    if let Some(candidate) = candidates
        .iter()
        .filter(|candidate| candidate.tasks >= tasks)
        .min_by_key(|candidate| {
            (
                candidate.tasks,
                rack_capacity[candidate.rack],
                candidate.worker,
            )
        })
    {
        return Some(vec![(candidate.worker, tasks)]);
    }
    let required = u64::from(tasks);
    let smallest_rack = |rack_capacity: &[u64], required: u64| {
        (0..rack_count)
            .filter(|rack| rack_capacity[*rack] >= required)
            .min_by_key(|rack| rack_capacity[*rack])
    };
    if let Some(rack) = smallest_rack(&rack_capacity, required) {
        let mut chosen = Vec::new();
        fill_rack(candidates, rack, tasks, &mut chosen);
        return Some(chosen);
    }
    if adjacency == Adjacency::Rack || rack_capacity.iter().sum::<u64>() < required {
        return None;
    }
    let mut by_rack = vec![Vec::new(); rack_count];
    for candidate in candidates {
        by_rack[candidate.rack].push(*candidate);
    }
    let mut order: Vec<usize> = (0..rack_count).collect();
    order.sort_by_key(|rack| std::cmp::Reverse(rack_capacity[*rack]));
    let mut chosen = Vec::new();
    let mut remaining = tasks;
    for rack in order {
        let last = smallest_rack(&rack_capacity, u64::from(remaining));
        let rack = last.unwrap_or(rack);
        let count =
            u32::try_from(rack_capacity[rack].min(u64::from(remaining))).unwrap_or(remaining);
        fill_rack(&by_rack[rack], rack, count, &mut chosen);
        rack_capacity[rack] = 0;
        remaining -= count;
        if remaining == 0 {
            break;
        }
    }
    (remaining == 0).then_some(chosen)
}

/// Fills the largest candidates of a rack, and places the last tasks on the smallest candidate that is sufficient.
fn fill_rack(candidates: &[Candidate], rack: usize, tasks: u32, chosen: &mut Vec<(usize, u32)>) {
    let mut candidates: Vec<Candidate> = candidates
        .iter()
        .copied()
        .filter(|candidate| candidate.rack == rack)
        .collect();
    candidates.sort_by_key(|candidate| (candidate.tasks, candidate.worker));
    let mut remaining = tasks;
    while remaining > 0 {
        let position = candidates
            .iter()
            .position(|candidate| candidate.tasks >= remaining)
            .unwrap_or(candidates.len().saturating_sub(1));
        if position >= candidates.len() {
            debug_assert!(false, "the rack has less capacity than was counted");
            return;
        }
        let candidate = candidates.remove(position);
        let count = candidate.tasks.min(remaining);
        chosen.push((candidate.worker, count));
        remaining -= count;
    }
}

/// Chooses the first candidates, in their order, until all tasks are placed.
pub(crate) fn first_fit(
    candidates: &[Candidate],
    rack_count: usize,
    tasks: u32,
    adjacency: Adjacency,
) -> Option<Vec<(usize, u32)>> {
    let fill_in_order = |rack: Option<usize>| {
        let mut remaining = tasks;
        let mut chosen = Vec::new();
        for candidate in candidates {
            if remaining > 0 && rack.is_none_or(|rack| rack == candidate.rack) {
                let count = candidate.tasks.min(remaining);
                chosen.push((candidate.worker, count));
                remaining -= count;
            }
        }
        (remaining == 0).then_some(chosen)
    };
    match adjacency {
        Adjacency::DataCentre => fill_in_order(None),
        Adjacency::Rack => (0..rack_count).find_map(|rack| fill_in_order(Some(rack))),
    }
}
