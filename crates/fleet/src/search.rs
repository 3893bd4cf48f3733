//! Search for workers that together hold the parts of several guarantees (vector bin packing).

use crate::Adjacency;
use crate::Shape;

/// Maximum number of steps of the search. Small data centres are searched exhaustively within it.
const STEP_LIMIT: usize = 60_000;

/// Number of parts above which only the greedy pass runs, because the recursive search uses stack space for each part.
const DEPTH_LIMIT: usize = 1_000;

/// A worker as input of the search.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bin {
    pub(crate) worker: usize,
    pub(crate) rack: usize,
    /// Capacity that is not reserved by parts that keep their workers.
    pub(crate) unreserved: Shape,
    /// Capacity that no task uses or claims. Workers where a part fits into it are preferred.
    pub(crate) free: Shape,
}

/// Parts of one guarantee that need a worker.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    pub(crate) shape: Shape,
    pub(crate) parts: usize,
    pub(crate) adjacency: Adjacency,
    /// Rack that the parts have to be in, if parts of the guarantee that keep their workers determine it.
    pub(crate) rack: Option<usize>,
    /// Workers of the parts of the guarantee that keep them. Each part needs a different worker.
    pub(crate) held_workers: Vec<usize>,
}

/// Returns the workers for each item, in the order of the items, or `None` if no assignment was found.
///
/// Tries a greedy assignment first and then a search with backtracking.
pub(crate) fn find_workers(bins: &[Bin], items: &[Item]) -> Option<Vec<Vec<usize>>> {
    let mut order: Vec<usize> = (0..items.len()).collect();
    // The most constrained and largest parts first, which avoids most dead ends.
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
    /// Indices of the chosen bins by item.
    chosen: Vec<Vec<usize>>,
    steps: usize,
}

impl Search<'_> {
    /// Places each item on its first choice, without backtracking.
    fn place_greedily(&mut self) -> bool {
        for index in self.order.clone() {
            let item = &self.items[index];
            let Some(choice) = self.choices(item).into_iter().next() else {
                return false;
            };
            if !self.place_on(index, &choice) {
                return false;
            }
        }
        true
    }

    /// Places the parts of an item on the first bins of `choice`; returns whether there are enough.
    fn place_on(&mut self, index: usize, choice: &[usize]) -> bool {
        let item = &self.items[index];
        for bin in choice.iter().take(item.parts) {
            self.bins[*bin].unreserved = self.bins[*bin].unreserved.minus(item.shape);
            self.chosen[index].push(*bin);
        }
        self.chosen[index].len() == item.parts
    }

    /// Places the items from `position` in the order on, with backtracking.
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

    /// Returns the sets of bins that may hold an item, in order of preference: one set for each rack, or a single
    /// set without locality constraint.
    fn choices(&self, item: &Item) -> Vec<Vec<usize>> {
        if item.parts == 0 {
            return vec![Vec::new()];
        }
        let mut candidates: Vec<usize> = (0..self.bins.len())
            .filter(|bin| {
                let bin = &self.bins[*bin];
                item.shape.fits(bin.unreserved)
                    && !item.held_workers.contains(&bin.worker)
                    && item.rack.is_none_or(|rack| rack == bin.rack)
            })
            .collect();
        candidates.sort_by_key(|bin| {
            let bin = &self.bins[*bin];
            (
                !item.shape.fits(bin.free),
                bin.unreserved,
                bin.rack,
                bin.worker,
            )
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

    /// Places the missing parts of an item on `bins` from index `from` on, then the items after it.
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
            let kind = (self.bins[bin].rack, self.bins[bin].unreserved);
            // Workers in the same rack with equal unreserved capacity lead to the same outcome, unless a
            // guarantee already has a part on one of them.
            let interchangeable = self.items.iter().all(|item| item.held_workers.is_empty());
            if interchangeable && previous == Some(kind) {
                continue;
            }
            previous = Some(kind);
            self.bins[bin].unreserved = self.bins[bin].unreserved.minus(item.shape);
            self.chosen[index].push(bin);
            if self.place_part(position, index, bins, next + 1) {
                return true;
            }
            self.chosen[index].pop();
            self.bins[bin].unreserved = self.bins[bin].unreserved.plus(item.shape);
        }
        false
    }
}
