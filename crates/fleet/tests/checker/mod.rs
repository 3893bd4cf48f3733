//! Independent checker of invariant P1 for small data centres: guaranteed capacity can always be reclaimed.
//!
//! The checker maintains its own model from the events and actions, and searches all placements where the
//! planner reports that there is none. It uses only the public interface of the planner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use nutmegwalk_fleet::Action;
use nutmegwalk_fleet::Adjacency;
use nutmegwalk_fleet::Fleet;
use nutmegwalk_fleet::GuaranteeSpec;
use nutmegwalk_fleet::JobSpec;
use nutmegwalk_fleet::Placement;
use nutmegwalk_fleet::Shape;

/// Accelerators, cores and memory.
pub(crate) type Amount = [u64; 3];

pub(crate) fn amount(shape: Shape, count: u32) -> Amount {
    let times = u64::from(count);
    [
        u64::from(shape.accelerators) * times,
        u64::from(shape.cores) * times,
        shape.memory_mb * times,
    ]
}

fn add(sum: &mut Amount, more: Amount) {
    for (sum, more) in sum.iter_mut().zip(more) {
        *sum += more;
    }
}

fn within(sum: Amount, limit: Amount) -> bool {
    sum.iter().zip(limit).all(|(sum, limit)| *sum <= limit)
}

#[derive(Clone, Debug)]
pub(crate) struct WorkerModel {
    pub(crate) rack: u32,
    pub(crate) size: Amount,
    pub(crate) present: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct JobModel {
    pub(crate) spec: JobSpec,
    /// Empty while no task runs.
    pub(crate) placements: Vec<Placement>,
    pub(crate) confirmed: bool,
    pub(crate) stopping: bool,
    pub(crate) cancelled: bool,
}

/// Model of the data centre, and counters of the checks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Checker {
    pub(crate) workers: BTreeMap<Box<str>, WorkerModel>,
    pub(crate) guarantees: Vec<GuaranteeSpec>,
    pub(crate) jobs: BTreeMap<Box<str>, JobModel>,
    pub(crate) cancelled: BTreeSet<Box<str>>,
    pub(crate) in_service: bool,
    /// Number of degraded guarantees for which all placements were tried.
    pub(crate) searches: u64,
    /// Number of guarantees whose capacity was reclaimed on a copy of the planner.
    pub(crate) reclaims: u64,
}

impl Checker {
    /// Records the actions of the planner and checks that they are allowed in the current state.
    pub(crate) fn record_actions(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Start {
                    job, placements, ..
                } => {
                    assert!(self.in_service, "{job} starts while out of service");
                    let model = self.jobs.get_mut(job).expect("an unknown job starts");
                    assert!(model.placements.is_empty(), "{job} starts twice");
                    let tasks: u32 = placements.iter().map(|placement| placement.tasks).sum();
                    assert_eq!(tasks, model.spec.tasks, "{job} starts in part");
                    model.placements.clone_from(placements);
                    model.confirmed = false;
                    self.assert_placement(job);
                }
                Action::Stop { job, within, .. } => {
                    assert!(*within <= Duration::from_secs(2));
                    let model = self.jobs.get_mut(job).expect("an unknown job stops");
                    assert!(!model.placements.is_empty(), "{job} stops without running");
                    model.stopping = true;
                }
                Action::Throttle { job } => assert!(self.jobs.contains_key(job)),
                Action::Reject { job, .. } => {
                    let known = self.jobs.remove(job).is_some();
                    // The rejection may have been decided before the job was cancelled.
                    let cancelled = self.cancelled.contains(job);
                    assert!(
                        known || cancelled,
                        "{job} is rejected but was never submitted"
                    );
                }
            }
        }
    }

    /// Checks that the planner still has each job that did not end and was not rejected.
    pub(crate) fn check_no_job_lost(&self, fleet: &Fleet) {
        for id in self.jobs.keys() {
            assert!(
                fleet.explain(id).is_some(),
                "{id} was lost without a rejection"
            );
        }
    }

    fn assert_placement(&self, job: &str) {
        let model = &self.jobs[job];
        let racks = model.placements.iter().map(|placement| {
            let worker = &self.workers[&placement.worker];
            assert!(
                worker.present,
                "{job} starts on absent {}",
                placement.worker
            );
            worker.rack
        });
        let racks: Vec<u32> = racks.collect();
        if model.spec.adjacency == Adjacency::Rack {
            assert!(
                racks.iter().all(|rack| *rack == racks[0]),
                "{job} is spread over racks"
            );
        }
        for placement in &model.placements {
            let mut used = Amount::default();
            for other in self.jobs.values() {
                for allocation in &other.placements {
                    if allocation.worker == placement.worker {
                        add(&mut used, amount(other.spec.shape, allocation.tasks));
                    }
                }
            }
            let size = self.workers[&placement.worker].size;
            assert!(within(used, size), "{job} overcommits {}", placement.worker);
        }
    }

    /// Checks all invariants after an event.
    pub(crate) fn check(&mut self, fleet: &Fleet) {
        assert_eq!(fleet.check(), []);
        let quarantined = fleet.quarantined_workers();
        let limit = (self.workers.len() / 5).max(1);
        assert!(
            quarantined.len() <= limit,
            "too many workers in quarantine: {quarantined:?}"
        );
        let usable: BTreeMap<Box<str>, WorkerModel> = self
            .workers
            .iter()
            .filter(|(id, worker)| worker.present && !quarantined.contains(id))
            .map(|(id, worker)| (id.clone(), worker.clone()))
            .collect();
        let parts = self.parts(fleet);
        self.check_parts(&usable, &parts, fleet);
        self.check_guaranteed_tasks(&parts, fleet);
        self.check_degraded(&usable, &parts, fleet);
        if self.in_service {
            self.check_reclaim(&parts, fleet);
        }
    }

    /// Returns the parts of each guarantee that have a worker: the worker, and whether a job uses the part.
    fn parts(&self, fleet: &Fleet) -> Vec<Vec<(Box<str>, bool)>> {
        let mut parts = vec![Vec::new(); self.guarantees.len()];
        for part in fleet.reserved_parts() {
            let index = self
                .guarantees
                .iter()
                .position(|spec| spec.customer == part.customer && spec.name == part.guarantee);
            let index = index.expect("a part of an unknown guarantee");
            if let Some(worker) = part.worker {
                parts[index].push((worker, !part.used.is_empty()));
            }
        }
        parts
    }

    /// Checks that parts are on usable workers, do not overlap, meet the locality constraint, and that lost parts are
    /// reported.
    fn check_parts(
        &self,
        usable: &BTreeMap<Box<str>, WorkerModel>,
        parts: &[Vec<(Box<str>, bool)>],
        fleet: &Fleet,
    ) {
        let mut reserved: BTreeMap<&str, Amount> = BTreeMap::new();
        for (spec, parts) in self.guarantees.iter().zip(parts) {
            let name = &spec.customer;
            let mut racks = Vec::new();
            for (index, (worker, _)) in parts.iter().enumerate() {
                let model = usable.get(worker);
                racks.push(model.expect("a part on an unusable worker").rack);
                let again = parts[..index].iter().any(|(other, _)| other == worker);
                assert!(!again, "{name} has two parts on {worker}");
                add(
                    reserved.entry(&**worker).or_default(),
                    amount(spec.shape, 1),
                );
            }
            if spec.adjacency == Adjacency::Rack {
                racks.dedup();
                assert!(
                    racks.len() <= 1,
                    "the parts of {name} are spread over racks"
                );
            }
            let lost = spec.workers - u32::try_from(parts.len()).unwrap();
            let reported = fleet
                .degraded()
                .iter()
                .find(|degraded| {
                    degraded.customer == spec.customer && degraded.guarantee == spec.name
                })
                .map_or(0, |degraded| degraded.lost_parts);
            assert_eq!(lost, reported, "the loss of {name} is not reported");
        }
        for (worker, reserved) in reserved {
            assert!(
                within(reserved, usable[worker].size),
                "parts on {worker} overlap"
            );
        }
    }

    /// Checks that guaranteed tasks stay within parts of their own guarantee.
    fn check_guaranteed_tasks(&self, parts: &[Vec<(Box<str>, bool)>], fleet: &Fleet) {
        let mut inside: BTreeMap<(usize, &str), Amount> = BTreeMap::new();
        for (id, job) in &self.jobs {
            let Some(explanation) = fleet.explain(id) else {
                // The rejection of a removed job is returned by the next `schedule` call.
                assert!(job.placements.is_empty(), "{id} runs but was removed");
                continue;
            };
            if job.placements.is_empty() || explanation.borrowed {
                continue;
            }
            let guarantee = self.guarantees.iter().position(|spec| {
                spec.customer == job.spec.customer
                    && Some(&spec.name) == job.spec.guarantee.as_ref()
            });
            let guarantee = guarantee.expect("a guaranteed job without guarantee");
            for placement in &job.placements {
                let held = parts[guarantee]
                    .iter()
                    .any(|(worker, used)| *used && *worker == placement.worker);
                assert!(
                    held,
                    "{id} runs outside its guarantee on {}",
                    placement.worker
                );
                let sum = inside.entry((guarantee, &*placement.worker)).or_default();
                add(sum, amount(job.spec.shape, placement.tasks));
            }
        }
        for ((guarantee, worker), sum) in inside {
            let part = amount(self.guarantees[guarantee].shape, 1);
            assert!(within(sum, part), "tasks on {worker} overflow their part");
        }
    }

    /// Checks that no placement exists that holds a degraded guarantee together with all complete ones.
    fn check_degraded(
        &mut self,
        usable: &BTreeMap<Box<str>, WorkerModel>,
        parts: &[Vec<(Box<str>, bool)>],
        fleet: &Fleet,
    ) {
        let is_lost = |index: usize| (parts[index].len() as u32) < self.guarantees[index].workers;
        let lost: Vec<usize> = (0..parts.len()).filter(|index| is_lost(*index)).collect();
        assert_eq!(lost.len(), fleet.degraded().len());
        for degraded in &lost {
            self.searches += 1;
            let mut capacity: Vec<(&str, u32, Amount)> = usable
                .iter()
                .map(|(id, worker)| (&**id, worker.rack, worker.size))
                .collect();
            // Parts in use stay where they are, also those of other degraded guarantees.
            let mut required = Vec::new();
            for (index, spec) in self.guarantees.iter().enumerate() {
                let used = parts[index]
                    .iter()
                    .filter(|part| part.1)
                    .map(|part| &*part.0);
                let used: Vec<&str> = used.collect();
                for (worker, _, size) in &mut capacity {
                    if used.contains(worker) {
                        let part = amount(spec.shape, 1);
                        size.iter_mut()
                            .zip(part)
                            .for_each(|(size, part)| *size -= part);
                    }
                }
                if index == *degraded || !lost.contains(&index) {
                    required.push((spec, used));
                }
            }
            let name = &self.guarantees[*degraded].name;
            assert!(
                !can_hold(&mut capacity, &required, 0),
                "{name} is degraded but fits"
            );
        }
    }

    /// Checks on a copy of the planner that the empty parts of all complete guarantees can be reclaimed together.
    fn check_reclaim(&mut self, parts: &[Vec<(Box<str>, bool)>], fleet: &Fleet) {
        let mut copy = fleet.clone();
        let now = Duration::from_secs(1_000_000);
        for (id, job) in &self.jobs {
            if job.placements.is_empty() {
                copy.cancel(id, now);
            }
        }
        let mut probes = Vec::new();
        // The cancelled jobs no longer have claims, which can change the parts.
        let parts_now = self.parts(&copy);
        for (index, spec) in self.guarantees.iter().enumerate() {
            let empty = parts_now[index].iter().filter(|part| !part.1).count() as u32;
            if parts[index].len() as u32 == spec.workers && empty > 0 {
                let id = format!("probe-{index}");
                let mut job =
                    JobSpec::new(id.clone(), spec.customer.clone(), "s", empty, spec.shape)
                        .with_guarantee(spec.name.clone())
                        .with_adjacency(spec.adjacency);
                job.time_since_accepted = now;
                copy.submit(job, now).expect("a reserved shape is refused");
                probes.push(id);
            }
        }
        let mut started = Vec::new();
        for round in 0..2 {
            for action in copy.schedule(now + Duration::from_secs(round)) {
                if let Action::Start { job, borrowed, .. } = action
                    && !borrowed
                {
                    started.push(job);
                }
            }
            for (id, job) in &self.jobs {
                let stopping = copy.explain(id).is_some_and(|explanation| {
                    explanation.phase == nutmegwalk_fleet::JobPhase::Stopping
                });
                if !job.placements.is_empty() && stopping {
                    copy.record_stopped(id, Duration::ZERO, now);
                }
            }
        }
        assert_eq!(copy.check(), []);
        for id in probes {
            self.reclaims += 1;
            let found = started.iter().any(|job| **job == *id);
            assert!(
                found,
                "{id} does not get its reserved shape: {:?}",
                copy.explain(&id)
            );
        }
    }
}

/// Returns whether any placement holds the missing parts of the guarantees in `required` from index `from` on. Each
/// guarantee comes with the workers of its parts in use. All placements are tried.
fn can_hold(
    capacity: &mut [(&str, u32, Amount)],
    required: &[(&GuaranteeSpec, Vec<&str>)],
    from: usize,
) -> bool {
    let Some((spec, used)) = required.get(from) else {
        return true;
    };
    let missing = spec.workers - used.len() as u32;
    for set in 0_u32..1 << capacity.len() {
        if set.count_ones() != missing {
            continue;
        }
        let chosen: Vec<usize> = (0..capacity.len())
            .filter(|index| set >> index & 1 == 1)
            .collect();
        let part = amount(spec.shape, 1);
        let fits = chosen.iter().all(|index| {
            let (worker, _, size) = capacity[*index];
            !used.contains(&worker) && within(part, size)
        });
        let meets_locality = spec.adjacency == Adjacency::DataCentre || {
            let racks = (0..capacity.len())
                .filter(|index| chosen.contains(index) || used.contains(&capacity[*index].0));
            let mut racks: Vec<u32> = racks.map(|index| capacity[index].1).collect();
            racks.dedup();
            racks.len() <= 1
        };
        if !fits || !meets_locality {
            continue;
        }
        for index in &chosen {
            capacity[*index]
                .2
                .iter_mut()
                .zip(part)
                .for_each(|(size, part)| *size -= part);
        }
        let held = can_hold(capacity, required, from + 1);
        for index in &chosen {
            add(&mut capacity[*index].2, part);
        }
        if held {
            return true;
        }
    }
    false
}
