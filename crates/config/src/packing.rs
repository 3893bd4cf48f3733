//! Checks that one data centre has the capacity for a set of guarantees at the same time.

use std::time::Duration;

use crate::Adjacency;
use crate::DataCentre;
use crate::Guarantee;
use crate::WorkerShape;
use nutmegwalk_fleet::GuaranteeSpec;
use nutmegwalk_fleet::Shape;
use nutmegwalk_fleet::WorkerSpec;
use nutmegwalk_fleet::pack_guarantees;

/// One guarantee that a data centre has to provide.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Customer that has the guarantee.
    pub customer: &'a str,
    /// Name of the guarantee.
    pub name: &'a str,
    /// The guarantee.
    pub guarantee: &'a Guarantee,
}

/// A set of guarantees that exceeds the capacity of a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityConflict {
    /// The guarantee that could not be placed, as `customer/guarantee`.
    pub unplaced: Box<str>,
    /// The guarantees that were placed before it, each as `customer/guarantee`.
    pub placed: Vec<Box<str>>,
}

/// Checks that `data_centre` has the capacity for all `demands` at the same time. Uses the search that the owner
/// of the data centre uses for its reservations, so that the owner can reserve what an accepted configuration
/// guarantees.
///
/// # Errors
/// The first demand that does not fit together with those before it.
pub fn check_capacity(
    data_centre: &DataCentre,
    demands: &[Demand<'_>],
) -> Result<(), CapacityConflict> {
    let workers = data_centre.worker_specs();
    let specs: Vec<GuaranteeSpec> = demands
        .iter()
        .map(|demand| demand.guarantee.to_spec(demand.customer, demand.name))
        .collect();
    if pack_guarantees(&workers, &specs).is_ok() {
        return Ok(());
    }
    let fitting_count = (1..specs.len())
        .take_while(|count| pack_guarantees(&workers, &specs[..*count]).is_ok())
        .count();
    let name = |demand: &Demand<'_>| format!("{}/{}", demand.customer, demand.name).into();
    Err(CapacityConflict {
        unplaced: name(&demands[fitting_count]),
        placed: demands[..fitting_count].iter().map(name).collect(),
    })
}

impl DataCentre {
    /// Returns the workers of all racks as planner types, with generated names `<rack>-<number>`.
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
    /// Converts the size to the planner's type.
    #[must_use]
    pub fn to_shape(self) -> Shape {
        Shape::new(self.cores, self.memory_mb, self.accelerators)
    }
}

impl Adjacency {
    /// Converts the adjacency to the planner's type.
    #[must_use]
    pub fn to_planner(self) -> nutmegwalk_fleet::Adjacency {
        match self {
            Self::Rack => nutmegwalk_fleet::Adjacency::Rack,
            Self::DataCentre => nutmegwalk_fleet::Adjacency::DataCentre,
        }
    }
}

impl Guarantee {
    /// Converts the guarantee to the planner's type, with the names of its customer and of itself.
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
