//! Check that one data centre can hold a set of guarantees at once.

use std::time::Duration;

use crate::Adjacency;
use crate::DataCentre;
use crate::Guarantee;
use crate::WorkerShape;
use nutmegwalk_fleet::GuaranteeSpec;
use nutmegwalk_fleet::Shape;
use nutmegwalk_fleet::WorkerSpec;
use nutmegwalk_fleet::embed;

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

/// Checks that `data_centre` has room for all `demands` at once, by the search that the data-centre
/// owner uses for its reservations, so that an accepted configuration can be held by the owner.
///
/// # Errors
/// The first demand that does not fit beside those before it.
pub fn check_capacity(data_centre: &DataCentre, demands: &[Demand<'_>]) -> Result<(), Clash> {
    let workers = data_centre.worker_specs();
    let specs: Vec<GuaranteeSpec> = demands
        .iter()
        .map(|demand| demand.guarantee.to_spec(demand.customer, demand.name))
        .collect();
    if embed(&workers, &specs).is_ok() {
        return Ok(());
    }
    let fitting = (1..specs.len())
        .take_while(|count| embed(&workers, &specs[..*count]).is_ok())
        .count();
    let name = |demand: &Demand<'_>| format!("{}/{}", demand.customer, demand.name).into();
    Err(Clash {
        unplaced: name(&demands[fitting]),
        placed: demands[..fitting].iter().map(name).collect(),
    })
}

impl DataCentre {
    /// Returns the workers of all racks in the planner's form, with made-up names.
    #[must_use]
    pub fn worker_specs(&self) -> Vec<WorkerSpec> {
        let racks = self.racks.iter().flat_map(|(name, rack)| {
            (0..rack.workers).map(move |number| WorkerSpec {
                id: format!("{name}-{number}").into(),
                rack: name.clone(),
                shape: rack.shape.to_shape(),
            })
        });
        racks.collect()
    }
}

impl WorkerShape {
    /// Returns the planner's form of the size.
    #[must_use]
    pub fn to_shape(self) -> Shape {
        Shape::new(self.cores, self.memory_mb, self.accelerators)
    }
}

impl Adjacency {
    /// Returns the planner's form of the adjacency.
    #[must_use]
    pub fn to_planner(self) -> nutmegwalk_fleet::Adjacency {
        match self {
            Self::Rack => nutmegwalk_fleet::Adjacency::Rack,
            Self::DataCentre => nutmegwalk_fleet::Adjacency::DataCentre,
        }
    }
}

impl Guarantee {
    /// Returns the planner's form of the guarantee.
    #[must_use]
    pub fn to_spec(&self, customer: &str, name: &str) -> GuaranteeSpec {
        GuaranteeSpec {
            customer: customer.into(),
            name: name.into(),
            workers: self.workers,
            shape: self.shape.to_shape(),
            adjacency: self.adjacency.to_planner(),
            reclaim_within: Duration::from_millis(self.reclaim_within_ms),
        }
    }
}
