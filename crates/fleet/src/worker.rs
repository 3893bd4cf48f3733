//! Workers and their free capacity, computed from the allocations on them.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::Shape;
use crate::WorkerSpec;
use nutmegwalk_base::RackId;
use nutmegwalk_base::WorkerId;

/// A worker with its allocations, claims and reservations.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) rack: usize,
    pub(crate) capacity: Shape,
    /// Allocated to tasks whose start was requested and that have not ended.
    pub(crate) used: Shape,
    /// Part of `used` that belongs to tasks whose stop was requested.
    pub(crate) stopping: Shape,
    /// Claimed by jobs that wait until other tasks have stopped.
    pub(crate) claimed: Shape,
    /// Reserved for parts of guarantees.
    pub(crate) reserved: Shape,
    /// Part of `reserved` that guaranteed jobs use or claim.
    pub(crate) reserved_used: Shape,
    /// Number of tasks by sequence number of their job.
    pub(crate) tasks: BTreeMap<u64, u32>,
    /// Whether the owner reports the worker as usable.
    pub(crate) present: bool,
    /// Whether the worker is not in quarantine.
    pub(crate) healthy: bool,
    /// Whether tasks may exceed the capacity for a reason outside the planner: the worker shrank or was
    /// removed, or `Fleet::add_running_job` added jobs that exceed it.
    pub(crate) overcommitted: bool,
}

impl Worker {
    /// Returns whether reservations and jobs may be placed on the worker.
    pub(crate) fn is_usable(&self) -> bool {
        self.present && self.healthy
    }

    /// Returns the capacity that no task uses.
    pub(crate) fn free(&self) -> Shape {
        self.capacity.minus(self.used)
    }

    /// Returns the capacity that no task uses and no waiting job claims.
    pub(crate) fn available(&self) -> Shape {
        self.capacity.minus(self.used.plus(self.claimed))
    }

    /// Returns the capacity that will be free and unclaimed once all stopping tasks have ended.
    pub(crate) fn available_after_stops(&self) -> Shape {
        self.capacity
            .minus(self.used.minus(self.stopping).plus(self.claimed))
    }

    /// Returns the reserved capacity that guaranteed jobs neither use nor claim.
    pub(crate) fn unused_reserved(&self) -> Shape {
        self.reserved.minus(self.reserved_used)
    }
}

/// All workers of the data centre. Workers are never removed from `list`, so indices stay valid.
#[derive(Clone, Debug, Default)]
pub(crate) struct Workers {
    pub(crate) list: Vec<Worker>,
    by_id: HashMap<WorkerId, usize>,
    racks: HashMap<RackId, usize>,
}

impl Workers {
    /// Returns the index of a worker.
    pub(crate) fn index(&self, id: &str) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    /// Returns the number of racks that any worker has been in so far.
    pub(crate) fn rack_count(&self) -> usize {
        self.racks.len()
    }

    /// Adds a worker or changes its capacity and rack; returns its index.
    pub(crate) fn upsert(&mut self, spec: &WorkerSpec) -> usize {
        let next_rack = self.racks.len();
        let rack = *self.racks.entry(spec.rack.clone()).or_insert(next_rack);
        if let Some(index) = self.index(&spec.id) {
            let worker = &mut self.list[index];
            worker.rack = rack;
            worker.capacity = spec.shape;
            worker.present = true;
            worker.overcommitted = !worker.used.fits(spec.shape);
            return index;
        }
        let index = self.list.len();
        self.by_id.insert(spec.id.clone(), index);
        self.list.push(Worker {
            id: spec.id.clone(),
            rack,
            capacity: spec.shape,
            used: Shape::default(),
            stopping: Shape::default(),
            claimed: Shape::default(),
            reserved: Shape::default(),
            reserved_used: Shape::default(),
            tasks: BTreeMap::new(),
            present: true,
            healthy: true,
            overcommitted: false,
        });
        index
    }

    /// Allocates resources for tasks of a job on a worker.
    pub(crate) fn allocate(&mut self, index: usize, job: u64, shape: Shape, tasks: u32) {
        let worker = &mut self.list[index];
        worker.used = worker.used.plus(shape.times(tasks));
        let count = worker.tasks.entry(job).or_default();
        *count = count.saturating_add(tasks);
        worker.overcommitted |= !worker.used.fits(worker.capacity);
    }

    /// Frees the resources that a job has on a worker.
    pub(crate) fn release(&mut self, index: usize, job: u64, shape: Shape, tasks: u32) {
        let worker = &mut self.list[index];
        worker.used = worker.used.minus(shape.times(tasks));
        worker.tasks.remove(&job);
        if worker.used.fits(worker.capacity) {
            worker.overcommitted = false;
        }
    }
}
