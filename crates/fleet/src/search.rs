//! Search for workers that hold the parts of several guarantees at once.

use crate::Adjacency;
use crate::Shape;

/// Steps after which the search gives up; small fleets are searched completely.
const STEP_LIMIT: usize = 60_000;

/// Parts above which only the greedy pass is made; the search uses stack space for each part.
const DEPTH_LIMIT: usize = 1_000;

/// A worker as the search sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bin {
    pub(crate) worker: usize,
    pub(crate) rack: usize,
    /// Room beside the parts that stay where they are.
    pub(crate) room: Shape,
    /// Room that no task takes, for preferring workers without borrowers.
    pub(crate) free: Shape,
}

/// Parts of one guarantee that need workers.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    pub(crate) shape: Shape,
    pub(crate) parts: usize,
    pub(crate) adjacency: Adjacency,
    /// Rack of the guarantee's parts that stay, if they bind the others.
    pub(crate) rack: Option<usize>,
    /// Workers of the guarantee's parts that stay; each part is on a worker of its own.
    pub(crate) taken: Vec<usize>,
}

/// Finds workers for all items, in their order, or returns none.
pub(crate) fn find(bins: &[Bin], items: &[Item]) -> Option<Vec<Vec<usize>>> {
    let mut order: Vec<usize> = (0..items.len()).collect();
    // The most restricted and largest parts first, which leaves the fewest dead ends.
    order.sort_by_key(|index| {
        let item = &items[*index];
        std::cmp::Reverse((
            item.adjacency,
            item.shape.accelerators,
            item.parts,
            item.shape,
        ))
    });
    let mut search = Search {
        bins: bins.to_vec(),
        items,
        order,
        chosen: vec![Vec::new(); items.len()],
        steps: 0,
    };
    let parts: usize = items.iter().map(|item| item.parts).sum();
    let found = search.place_greedily()
        || (parts <= DEPTH_LIMIT && {
            search.bins = bins.to_vec();
            search.chosen.iter_mut().for_each(Vec::clear);
            search.place_item(0)
        });
    if !found {
        return None;
    }
    let found = search.chosen.iter().map(|chosen| {
        let workers = chosen.iter().map(|bin| search.bins[*bin].worker);
        workers.collect()
    });
    Some(found.collect())
}

struct Search<'a> {
    bins: Vec<Bin>,
    items: &'a [Item],
    order: Vec<usize>,
    /// Indices of bins by item.
    chosen: Vec<Vec<usize>>,
    steps: usize,
}

impl Search<'_> {
    /// Places each item on its first choice without going back.
    fn place_greedily(&mut self) -> bool {
        for index in self.order.clone() {
            let item = &self.items[index];
            let Some(choice) = self.choices(item).into_iter().next() else {
                return false;
            };
            if !self.place_rest(index, &choice) {
                return false;
            }
        }
        true
    }

    fn place_rest(&mut self, index: usize, choice: &[usize]) -> bool {
        let item = &self.items[index];
        for bin in choice.iter().take(item.parts) {
            self.bins[*bin].room = self.bins[*bin].room.minus(item.shape);
            self.chosen[index].push(*bin);
        }
        self.chosen[index].len() == item.parts
    }

    fn place_item(&mut self, position: usize) -> bool {
        let Some(&index) = self.order.get(position) else {
            return true;
        };
        let item = &self.items[index];
        if item.parts == 0 {
            return self.place_item(position + 1);
        }
        self.choices(item)
            .into_iter()
            .any(|bins| self.place_part(position, index, &bins, 0))
    }

    /// Returns the sets of workers that may hold the item, in order of preference.
    fn choices(&self, item: &Item) -> Vec<Vec<usize>> {
        if item.parts == 0 {
            return vec![Vec::new()];
        }
        let mut candidates: Vec<usize> = (0..self.bins.len())
            .filter(|bin| {
                let bin = &self.bins[*bin];
                item.shape.fits(bin.room)
                    && !item.taken.contains(&bin.worker)
                    && item.rack.is_none_or(|rack| rack == bin.rack)
            })
            .collect();
        candidates.sort_by_key(|bin| {
            let bin = &self.bins[*bin];
            (!item.shape.fits(bin.free), bin.room, bin.rack, bin.worker)
        });
        if item.adjacency == Adjacency::DataCentre {
            return vec![candidates];
        }
        let mut racks: Vec<(usize, usize, usize)> = Vec::new();
        for bin in &candidates {
            let bin = &self.bins[*bin];
            let free = usize::from(item.shape.fits(bin.free));
            match racks.iter_mut().find(|rack| rack.0 == bin.rack) {
                Some(rack) => {
                    rack.1 += 1;
                    rack.2 += free;
                }
                None => racks.push((bin.rack, 1, free)),
            }
        }
        racks.retain(|rack| rack.1 >= item.parts);
        racks.sort_by_key(|rack| (rack.2 < item.parts, rack.1, rack.0));
        let in_rack = |rack: usize| {
            let bins = candidates.iter().copied();
            bins.filter(|bin| self.bins[*bin].rack == rack).collect()
        };
        racks.iter().map(|rack| in_rack(rack.0)).collect()
    }

    fn place_part(&mut self, position: usize, index: usize, bins: &[usize], from: usize) -> bool {
        let item = &self.items[index];
        let missing = item.parts - self.chosen[index].len();
        if missing == 0 {
            return self.place_item(position + 1);
        }
        let mut previous: Option<(usize, Shape)> = None;
        for next in from..bins.len() {
            if bins.len() - next < missing {
                return false;
            }
            self.steps += 1;
            if self.steps > STEP_LIMIT {
                return false;
            }
            let bin = bins[next];
            let kind = (self.bins[bin].rack, self.bins[bin].room);
            // Workers of one rack with equal room lead to the same outcome unless a later guarantee
            // already has a part on one of them.
            let interchangeable = self.items.iter().all(|item| item.taken.is_empty());
            if interchangeable && previous == Some(kind) {
                continue;
            }
            previous = Some(kind);
            self.bins[bin].room = self.bins[bin].room.minus(item.shape);
            self.chosen[index].push(bin);
            if self.place_part(position, index, bins, next + 1) {
                return true;
            }
            self.chosen[index].pop();
            self.bins[bin].room = self.bins[bin].room.plus(item.shape);
        }
        false
    }
}
