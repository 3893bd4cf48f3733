//! An independent judge of invariant P1 for small fleets.
//!
//! It keeps its own books from the events and actions it is shown, and tries all placements where the
//! planner claims that there is none. It uses nothing of the planner but its answers.

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

fn within(one: Amount, limit: Amount) -> bool {
    one.iter().zip(limit).all(|(one, limit)| *one <= limit)
}

#[derive(Clone, Debug)]
pub(crate) struct SeenWorker {
    pub(crate) rack: u32,
    pub(crate) size: Amount,
    pub(crate) present: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct SeenJob {
    pub(crate) spec: JobSpec,
    /// Empty while no task runs.
    pub(crate) placements: Vec<Placement>,
    pub(crate) confirmed: bool,
    pub(crate) stopping: bool,
    pub(crate) cancelled: bool,
}

/// What the judge knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct Checker {
    pub(crate) workers: BTreeMap<Box<str>, SeenWorker>,
    pub(crate) guarantees: Vec<GuaranteeSpec>,
    pub(crate) jobs: BTreeMap<Box<str>, SeenJob>,
    pub(crate) cancelled: BTreeSet<Box<str>>,
    pub(crate) in_service: bool,
    /// Degraded guarantees for which all placements were tried.
    pub(crate) searches: u64,
    /// Guaranteed shapes that were reclaimed on a copy of the planner.
    pub(crate) reclaims: u64,
}

impl Checker {
    /// Records what the planner decided.
    pub(crate) fn note(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Start {
                    job, placements, ..
                } => {
                    assert!(self.in_service, "{job} starts while out of service");
                    let seen = self.jobs.get_mut(job).expect("an unknown job starts");
                    assert!(seen.placements.is_empty(), "{job} starts twice");
                    let tasks: u32 = placements.iter().map(|one| one.tasks).sum();
                    assert_eq!(tasks, seen.spec.tasks, "{job} starts in part");
                    seen.placements.clone_from(placements);
                    seen.confirmed = false;
                    self.assert_placement(job);
                }
                Action::Stop { job, within, .. } => {
                    assert!(*within <= Duration::from_secs(2));
                    let seen = self.jobs.get_mut(job).expect("an unknown job stops");
                    assert!(!seen.placements.is_empty(), "{job} stops without running");
                    seen.stopping = true;
                }
                Action::Throttle { job } => assert!(self.jobs.contains_key(job)),
                Action::Reject { job, .. } => {
                    let known = self.jobs.remove(job).is_some();
                    // The rejection may have been decided before the job was cancelled.
                    let cancelled = self.cancelled.contains(job);
                    assert!(known || cancelled, "{job} is rejected and was never known");
                }
            }
        }
    }

    /// Checks that each job that the planner has forgotten was announced as rejected.
    pub(crate) fn judge_end(&self, fleet: &Fleet) {
        for id in self.jobs.keys() {
            assert!(fleet.explain(id).is_some(), "{id} was lost without a word");
        }
    }

    fn assert_placement(&self, job: &str) {
        let seen = &self.jobs[job];
        let racks = seen.placements.iter().map(|one| {
            let worker = &self.workers[&one.worker];
            assert!(worker.present, "{job} starts on absent {}", one.worker);
            worker.rack
        });
        let racks: Vec<u32> = racks.collect();
        if seen.spec.adjacency == Adjacency::Rack {
            assert!(
                racks.iter().all(|rack| *rack == racks[0]),
                "{job} is spread over racks"
            );
        }
        for placement in &seen.placements {
            let mut used = Amount::default();
            for other in self.jobs.values() {
                for one in &other.placements {
                    if one.worker == placement.worker {
                        add(&mut used, amount(other.spec.shape, one.tasks));
                    }
                }
            }
            let size = self.workers[&placement.worker].size;
            assert!(within(used, size), "{job} overcommits {}", placement.worker);
        }
    }

    /// Judges the planner after an event.
    pub(crate) fn judge(&mut self, fleet: &Fleet) {
        assert_eq!(fleet.check(), []);
        let quarantined = fleet.quarantined_workers();
        let limit = (self.workers.len() / 5).max(1);
        assert!(
            quarantined.len() <= limit,
            "{quarantined:?} are too many in quarantine"
        );
        let usable: BTreeMap<Box<str>, SeenWorker> = self
            .workers
            .iter()
            .filter(|(id, worker)| worker.present && !quarantined.contains(id))
            .map(|(id, worker)| (id.clone(), worker.clone()))
            .collect();
        let parts = self.parts(fleet);
        self.judge_parts(&usable, &parts, fleet);
        self.judge_guaranteed_tasks(&parts, fleet);
        self.judge_degraded(&usable, &parts, fleet);
        if self.in_service {
            self.judge_reclaim(&parts, fleet);
        }
    }

    /// Returns the held parts of each guarantee: worker and whether a job uses the part.
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

    fn judge_parts(
        &self,
        usable: &BTreeMap<Box<str>, SeenWorker>,
        parts: &[Vec<(Box<str>, bool)>],
        fleet: &Fleet,
    ) {
        let mut reserved: BTreeMap<&str, Amount> = BTreeMap::new();
        for (spec, parts) in self.guarantees.iter().zip(parts) {
            let name = &spec.customer;
            let mut racks = Vec::new();
            for (index, (worker, _)) in parts.iter().enumerate() {
                let seen = usable.get(worker);
                racks.push(seen.expect("a part on an unusable worker").rack);
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
                .find(|one| one.customer == spec.customer && one.guarantee == spec.name)
                .map_or(0, |one| one.lost_parts);
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
    fn judge_guaranteed_tasks(&self, parts: &[Vec<(Box<str>, bool)>], fleet: &Fleet) {
        let mut inside: BTreeMap<(usize, &str), Amount> = BTreeMap::new();
        for (id, job) in &self.jobs {
            let Some(explanation) = fleet.explain(id) else {
                // A job given up is announced as rejected by the next schedule call.
                assert!(job.placements.is_empty(), "{id} runs and was forgotten");
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
            for one in &job.placements {
                let held = parts[guarantee]
                    .iter()
                    .any(|(worker, used)| *used && *worker == one.worker);
                assert!(held, "{id} runs outside its guarantee on {}", one.worker);
                let sum = inside.entry((guarantee, &*one.worker)).or_default();
                add(sum, amount(job.spec.shape, one.tasks));
            }
        }
        for ((guarantee, worker), sum) in inside {
            let part = amount(self.guarantees[guarantee].shape, 1);
            assert!(within(sum, part), "tasks on {worker} overflow their part");
        }
    }

    /// Checks that each guarantee reported as degraded fits beside the whole ones in no way.
    fn judge_degraded(
        &mut self,
        usable: &BTreeMap<Box<str>, SeenWorker>,
        parts: &[Vec<(Box<str>, bool)>],
        fleet: &Fleet,
    ) {
        let is_lost = |index: usize| (parts[index].len() as u32) < self.guarantees[index].workers;
        let lost: Vec<usize> = (0..parts.len()).filter(|index| is_lost(*index)).collect();
        assert_eq!(lost.len(), fleet.degraded().len());
        for one in &lost {
            self.searches += 1;
            let mut room: Vec<(&str, u32, Amount)> = usable
                .iter()
                .map(|(id, worker)| (&**id, worker.rack, worker.size))
                .collect();
            // Parts in use stay where they are, also those of other degraded guarantees.
            let mut wanted = Vec::new();
            for (index, spec) in self.guarantees.iter().enumerate() {
                let used = parts[index]
                    .iter()
                    .filter(|part| part.1)
                    .map(|part| &*part.0);
                let used: Vec<&str> = used.collect();
                for (worker, _, size) in &mut room {
                    if used.contains(worker) {
                        let part = amount(spec.shape, 1);
                        size.iter_mut()
                            .zip(part)
                            .for_each(|(size, part)| *size -= part);
                    }
                }
                if index == *one || !lost.contains(&index) {
                    wanted.push((spec, used));
                }
            }
            let name = &self.guarantees[*one].name;
            assert!(
                !can_hold(&mut room, &wanted, 0),
                "{name} is degraded but fits"
            );
        }
    }

    /// Checks on a copy that the unfilled parts of all whole guarantees can be had together.
    fn judge_reclaim(&mut self, parts: &[Vec<(Box<str>, bool)>], fleet: &Fleet) {
        let mut copy = fleet.clone();
        let now = Duration::from_secs(1_000_000);
        for (id, job) in &self.jobs {
            if job.placements.is_empty() {
                copy.cancel(id, now);
            }
        }
        let mut wanted = Vec::new();
        // Claims of the cancelled jobs are gone, so parts are read again.
        let parts_now = self.parts(&copy);
        for (index, spec) in self.guarantees.iter().enumerate() {
            let empty = parts_now[index].iter().filter(|part| !part.1).count() as u32;
            if parts[index].len() as u32 == spec.workers && empty > 0 {
                let id = format!("probe-{index}");
                let mut job =
                    JobSpec::new(id.clone(), spec.customer.clone(), "s", empty, spec.shape)
                        .with_guarantee(spec.name.clone())
                        .with_adjacency(spec.adjacency);
                job.age = now;
                copy.submit(job, now).expect("a reserved shape is refused");
                wanted.push(id);
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
                let stopping = copy
                    .explain(id)
                    .is_some_and(|one| one.phase == nutmegwalk_fleet::JobPhase::Stopping);
                if !job.placements.is_empty() && stopping {
                    copy.stopped(id, Duration::ZERO, now);
                }
            }
        }
        assert_eq!(copy.check(), []);
        for id in wanted {
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

/// Tries all placements of the missing parts of `wanted`, from guarantee `from` on.
fn can_hold(
    room: &mut [(&str, u32, Amount)],
    wanted: &[(&GuaranteeSpec, Vec<&str>)],
    from: usize,
) -> bool {
    let Some((spec, used)) = wanted.get(from) else {
        return true;
    };
    let missing = spec.workers - used.len() as u32;
    for set in 0_u32..1 << room.len() {
        if set.count_ones() != missing {
            continue;
        }
        let chosen: Vec<usize> = (0..room.len())
            .filter(|index| set >> index & 1 == 1)
            .collect();
        let part = amount(spec.shape, 1);
        let fits = chosen.iter().all(|index| {
            let (worker, _, size) = room[*index];
            !used.contains(&worker) && within(part, size)
        });
        let near = spec.adjacency == Adjacency::DataCentre || {
            let racks = (0..room.len())
                .filter(|index| chosen.contains(index) || used.contains(&room[*index].0));
            let mut racks: Vec<u32> = racks.map(|index| room[index].1).collect();
            racks.dedup();
            racks.len() <= 1
        };
        if !fits || !near {
            continue;
        }
        for index in &chosen {
            room[*index]
                .2
                .iter_mut()
                .zip(part)
                .for_each(|(size, part)| *size -= part);
        }
        let held = can_hold(room, wanted, from + 1);
        for index in &chosen {
            add(&mut room[*index].2, part);
        }
        if held {
            return true;
        }
    }
    false
}
