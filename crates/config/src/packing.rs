//! Check that one data centre can hold a set of guarantees at once.

use std::cmp::Reverse;

use crate::Adjacency;
use crate::DataCentre;
use crate::Guarantee;
use crate::WorkerShape;

/// One guarantee that a data centre has to hold.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Customer that holds the guarantee.
    pub customer: &'a str,
    /// Name of the guarantee.
    pub name: &'a str,
    /// The guarantee.
    pub guarantee: &'a Guarantee,
}

/// A set of guarantees that does not fit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Clash {
    /// `customer/guarantee` that found no place.
    pub unplaced: Box<str>,
    /// `customer/guarantee` of those that were placed before it.
    pub placed: Vec<Box<str>>,
}

type Order = fn(&WorkerShape) -> u64;

/// Resources by which demands are ordered in turn. One order can fail where another succeeds, because
/// the embedding is a heuristic.
const ORDERS: [Order; 3] = [
    |shape| u64::from(shape.accelerators),
    |shape| u64::from(shape.cores),
    |shape| shape.memory_mb,
];

/// Checks that `data_centre` has room for all `demands` at once.
///
/// The embedding is best-fit decreasing: the largest demand comes first, and each takes the fullest
/// workers with room, a rack-adjacent one the fullest rack with room for all its members. It may refuse
/// a set that an exhaustive search could place.
///
/// # Errors
/// The clash that the first order met, when every order fails.
pub fn can_hold(data_centre: &DataCentre, demands: &[Demand<'_>]) -> Result<(), Clash> {
    let mut first_clash = None;
    for order in ORDERS {
        match embed(data_centre, demands, order) {
            Ok(()) => return Ok(()),
            Err(clash) => first_clash = first_clash.or(Some(clash)),
        }
    }
    first_clash.map_or(Ok(()), Err)
}

fn embed(data_centre: &DataCentre, demands: &[Demand<'_>], order: Order) -> Result<(), Clash> {
    let mut racks: Vec<Vec<WorkerShape>> = data_centre
        .racks
        .values()
        .map(|rack| vec![rack.shape; rack.workers as usize])
        .collect();
    let mut sorted: Vec<&Demand<'_>> = demands.iter().collect();
    // Rack-adjacent demands have the fewest possible places, so they come first.
    sorted.sort_by_key(|demand| {
        let guarantee = demand.guarantee;
        let size = order(&guarantee.shape);
        let total = size.saturating_mul(u64::from(guarantee.workers));
        (
            guarantee.adjacency != Adjacency::Rack,
            Reverse(size),
            Reverse(total),
        )
    });
    let mut placed = Vec::new();
    for demand in sorted {
        let name = format!("{}/{}", demand.customer, demand.name);
        if !place(&mut racks, demand.guarantee) {
            let unplaced = name.into();
            return Err(Clash { unplaced, placed });
        }
        placed.push(name.into());
    }
    Ok(())
}

fn place(racks: &mut [Vec<WorkerShape>], guarantee: &Guarantee) -> bool {
    let members = guarantee.workers as usize;
    let shape = &guarantee.shape;
    match guarantee.adjacency {
        Adjacency::Rack => {
            let fitting = racks
                .iter_mut()
                .filter(|rack| rack.iter().filter(|free| fits(free, shape)).count() >= members);
            let Some(rack) = fitting.min_by_key(|rack| free_accelerators(rack)) else {
                return false;
            };
            take(rack.iter_mut().collect(), members, shape)
        }
        Adjacency::DataCentre => take(racks.iter_mut().flatten().collect(), members, shape),
    }
}

/// Takes one member from each of the `members` fullest workers with room; takes nothing if there are fewer.
fn take(workers: Vec<&mut WorkerShape>, members: usize, shape: &WorkerShape) -> bool {
    let mut fitting: Vec<&mut WorkerShape> = workers
        .into_iter()
        .filter(|free| fits(free, shape))
        .collect();
    if fitting.len() < members {
        return false;
    }
    fitting.sort_by_key(|free| (free.accelerators, free.cores, free.memory_mb));
    for free in fitting.into_iter().take(members) {
        free.accelerators -= shape.accelerators;
        free.cores -= shape.cores;
        free.memory_mb -= shape.memory_mb;
    }
    true
}

fn fits(free: &WorkerShape, shape: &WorkerShape) -> bool {
    free.accelerators >= shape.accelerators
        && free.cores >= shape.cores
        && free.memory_mb >= shape.memory_mb
}

fn free_accelerators(rack: &[WorkerShape]) -> u64 {
    rack.iter().map(|free| u64::from(free.accelerators)).sum()
}
