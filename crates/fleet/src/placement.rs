//! Choice of workers for one gang.

use crate::Adjacency;

/// Room for tasks on one worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Room {
    pub(crate) worker: usize,
    pub(crate) rack: usize,
    /// Tasks that fit.
    pub(crate) tasks: u32,
}

/// Chooses workers by best fit: one worker if that is enough, else one rack, else the fewest racks.
///
/// Each step takes the smallest room that is enough, so that large rooms stay whole.
pub(crate) fn best_fit(
    rooms: &[Room],
    rack_count: usize,
    tasks: u32,
    adjacency: Adjacency,
) -> Option<Vec<(usize, u32)>> {
    let mut rack_rooms = vec![0_u64; rack_count];
    for room in rooms {
        rack_rooms[room.rack] += u64::from(room.tasks);
    }
    if let Some(room) = rooms
        .iter()
        .filter(|room| room.tasks >= tasks)
        .min_by_key(|room| (room.tasks, rack_rooms[room.rack], room.worker))
    {
        return Some(vec![(room.worker, tasks)]);
    }
    let wanted = u64::from(tasks);
    let smallest_rack = |rack_rooms: &[u64], wanted: u64| {
        (0..rack_count)
            .filter(|rack| rack_rooms[*rack] >= wanted)
            .min_by_key(|rack| rack_rooms[*rack])
    };
    if let Some(rack) = smallest_rack(&rack_rooms, wanted) {
        let mut chosen = Vec::new();
        fill_rack(rooms, rack, tasks, &mut chosen);
        return Some(chosen);
    }
    if adjacency == Adjacency::Rack || rack_rooms.iter().sum::<u64>() < wanted {
        return None;
    }
    let mut by_rack = vec![Vec::new(); rack_count];
    for room in rooms {
        by_rack[room.rack].push(*room);
    }
    let mut order: Vec<usize> = (0..rack_count).collect();
    order.sort_by_key(|rack| std::cmp::Reverse(rack_rooms[*rack]));
    let mut chosen = Vec::new();
    let mut left = tasks;
    for rack in order {
        let last = smallest_rack(&rack_rooms, u64::from(left));
        let rack = last.unwrap_or(rack);
        let taken = u32::try_from(rack_rooms[rack].min(u64::from(left))).unwrap_or(left);
        fill_rack(&by_rack[rack], rack, taken, &mut chosen);
        rack_rooms[rack] = 0;
        left -= taken;
        if left == 0 {
            break;
        }
    }
    (left == 0).then_some(chosen)
}

/// Takes the largest rooms of a rack, and for the rest the smallest room that is enough.
fn fill_rack(rooms: &[Room], rack: usize, tasks: u32, chosen: &mut Vec<(usize, u32)>) {
    let mut rooms: Vec<Room> = rooms
        .iter()
        .copied()
        .filter(|room| room.rack == rack)
        .collect();
    rooms.sort_by_key(|room| (room.tasks, room.worker));
    let mut left = tasks;
    while left > 0 {
        let position = rooms
            .iter()
            .position(|room| room.tasks >= left)
            .unwrap_or(rooms.len().saturating_sub(1));
        if position >= rooms.len() {
            debug_assert!(false, "the rack has less room than was counted");
            return;
        }
        let room = rooms.remove(position);
        let taken = room.tasks.min(left);
        chosen.push((room.worker, taken));
        left -= taken;
    }
}

/// Takes the first workers with room, in the order of `rooms`.
pub(crate) fn first_fit(
    rooms: &[Room],
    rack_count: usize,
    tasks: u32,
    adjacency: Adjacency,
) -> Option<Vec<(usize, u32)>> {
    let take = |rack: Option<usize>| {
        let mut left = tasks;
        let mut chosen = Vec::new();
        for room in rooms {
            if left > 0 && rack.is_none_or(|rack| rack == room.rack) {
                let taken = room.tasks.min(left);
                chosen.push((room.worker, taken));
                left -= taken;
            }
        }
        (left == 0).then_some(chosen)
    };
    match adjacency {
        Adjacency::DataCentre => take(None),
        Adjacency::Rack => (0..rack_count).find_map(|rack| take(Some(rack))),
    }
}
