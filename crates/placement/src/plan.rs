//! The decision: who starts where, who gives way, who waits.
//!
//! Answers a load in which small tasks arrive faster than a large gang finds room: steps are looked at in
//! order of urgency, and each takes the earliest place that does not delay a more urgent one
//! (conservative backfilling). A step whose place is now starts.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Plan;
use crate::Preemption;
use crate::Snapshot;
use crate::Start;
use crate::WaitReason;
use crate::Waiting;
use crate::WaitingStep;
use crate::fit::Allowance;
use crate::fit::Locality;
use crate::fit::allowance;
use crate::fit::place;
use crate::leaving::runs_to_move;
use crate::preempt::Search;
use crate::profile::Profile;
use crate::profile::Room;
use crate::profile::STOPPING;
use crate::profile::release_time;
use crate::rank::rank;
use crate::rank::total_capacity;

/// Steps for which a place in the future is looked for; it bounds the time of a decision.
const MAX_PLANNED: usize = 12;
/// Time for which a step under a guarantee waits for running work to end before others give way to it.
/// With the time to store the decision and to stop tasks it stays below the time promised for a reclaim.
const RECLAIM_PATIENCE: Duration = Duration::from_millis(600);
/// A step that is not guaranteed displaces others only if they lose at most this many times its own work.
const MAX_LOSS_FACTOR: f64 = 2.0;
/// Cores that an accelerator counts as when work is weighed.
pub(crate) const CORES_PER_ACCELERATOR: u64 = 8;

/// Decides for one moment.
#[must_use]
pub fn plan(snapshot: &Snapshot) -> Plan {
    let mut planning = Planning::new(snapshot);
    let mut order: Vec<usize> = (0..snapshot.waiting.len()).collect();
    let capacity = total_capacity(snapshot);
    order.sort_by_key(|index| (rank(&snapshot.waiting[*index], capacity), *index));
    for index in order {
        planning.decide(index);
    }
    planning.plan
}

/// State of one decision.
struct Planning<'a> {
    snapshot: &'a Snapshot,
    profile: Profile,
    planned: usize,
    taken: BTreeSet<usize>,
    plan: Plan,
}

/// Places in the future.
#[derive(Default)]
struct Later {
    places: Vec<(Duration, Vec<usize>)>,
    /// Time until all tasks have started, if there are places for all of them.
    all_start_in: Option<Duration>,
}

/// The part of a step that is not placed yet.
#[derive(Clone)]
struct Rest {
    tasks: u32,
    allowance: Allowance,
}

impl<'a> Planning<'a> {
    fn new(snapshot: &'a Snapshot) -> Self {
        let moves = runs_to_move(snapshot);
        let mut profile = Profile::new(snapshot);
        for running in moves.iter().map(|index| &snapshot.running[*index]) {
            profile.give(&running.allocations, STOPPING, release_time(running));
        }
        Self {
            snapshot,
            profile,
            planned: 0,
            taken: moves.iter().copied().collect(),
            plan: Plan {
                moves,
                ..Plan::default()
            },
        }
    }

    fn decide(&mut self, index: usize) {
        let step = &self.snapshot.waiting[index];
        let mut rest = Rest {
            tasks: step.count(),
            allowance: allowance(self.snapshot, step),
        };
        let Some(locality) = self.locality(step, &rest) else {
            self.wait(index, rest.tasks, WaitReason::NeverFits, None);
            return;
        };
        self.start(index, &mut rest, locality);
        if rest.tasks == 0 {
            return;
        }
        if self.planned >= MAX_PLANNED && !step.is_guaranteed {
            self.wait(index, rest.tasks, WaitReason::Behind, None);
            return;
        }
        self.planned += 1;
        let later = self.places_later(step, &rest, locality);
        let starts_in = later.all_start_in;
        if self.preempt(index, &rest, locality, starts_in) {
            return;
        }
        if locality == Locality::Near && self.compromise(index, &mut rest, starts_in) {
            return;
        }
        for (time, places) in &later.places {
            self.profile.take(places, step.demand, *time, step.run_time);
        }
        self.wait(index, rest.tasks, WaitReason::Planned, starts_in);
    }

    /// Returns how near the tasks can be to each other and to their data on empty workers; `None` when
    /// they do not fit at all.
    fn locality(&self, step: &WaitingStep, rest: &Rest) -> Option<Locality> {
        let empty: Room = self
            .snapshot
            .workers
            .iter()
            .map(|worker| worker.capacity)
            .collect();
        let fits = |locality: &Locality| {
            let places = self.places(step, &empty, rest, *locality);
            !places.is_empty()
        };
        [Locality::Near, Locality::Any].into_iter().find(fits)
    }

    /// Returns workers in `room` for the rest of a step.
    fn places(
        &self,
        step: &WaitingStep,
        room: &Room,
        rest: &Rest,
        locality: Locality,
    ) -> Vec<usize> {
        place(
            self.snapshot,
            step,
            room,
            &rest.allowance,
            rest.tasks,
            locality,
        )
    }

    /// Starts what fits now without delaying a more urgent step.
    fn start(&mut self, index: usize, rest: &mut Rest, locality: Locality) {
        let step = &self.snapshot.waiting[index];
        let room = self.profile.room(Duration::ZERO, step.run_time);
        let places = self.places(step, &room, rest, locality);
        self.start_at(index, rest, &places, step.run_time);
    }

    fn start_at(&mut self, index: usize, rest: &mut Rest, places: &[usize], length: Duration) {
        if places.is_empty() {
            return;
        }
        let step = &self.snapshot.waiting[index];
        self.profile
            .take(places, step.demand, Duration::ZERO, length);
        let first = step.tasks.len() - rest.tasks as usize;
        let assignments = step.tasks[first..]
            .iter()
            .copied()
            .zip(places.iter().copied());
        self.plan.starts.push(Start {
            waiting: index,
            assignments: assignments.collect(),
        });
        rest.take(places);
    }

    /// Finds the earliest places for the rest of a step: for all tasks of a gang together, else for as many
    /// at a time as fit.
    fn places_later(&self, step: &WaitingStep, rest: &Rest, locality: Locality) -> Later {
        let mut later = Later::default();
        let mut rest = rest.clone();
        let mut profile = self.profile.clone();
        for time in &self.profile.times()[1..] {
            let room = profile.room(*time, step.run_time);
            let places = self.places(step, &room, &rest, locality);
            if places.is_empty() {
                continue;
            }
            profile.take(&places, step.demand, *time, step.run_time);
            rest.take(&places);
            later.places.push((*time, places));
            if rest.tasks == 0 {
                later.all_start_in = Some(*time);
                break;
            }
        }
        later
    }

    /// Has others give way if the step must not wait; returns whether it did.
    fn preempt(
        &mut self,
        index: usize,
        rest: &Rest,
        locality: Locality,
        starts_in: Option<Duration>,
    ) -> bool {
        let step = &self.snapshot.waiting[index];
        if !may_preempt(step, starts_in.unwrap_or(Duration::MAX)) {
            return false;
        }
        let mut room = self.profile.room(STOPPING, step.run_time);
        let search = Search {
            snapshot: self.snapshot,
            step,
            allowance: &rest.allowance,
            tasks: rest.tasks,
            locality,
            taken: &self.taken,
        };
        let Some(victims) = search.run(&room) else {
            return false;
        };
        if !step.is_guaranteed && victims.loss_core_s > work_core_s(step) * MAX_LOSS_FACTOR {
            return false;
        }
        for victim in victims.running {
            let running = &self.snapshot.running[victim];
            self.profile
                .give(&running.allocations, STOPPING, release_time(running));
            for (worker, size) in &running.allocations {
                room[*worker] = room[*worker].plus(*size);
            }
            self.taken.insert(victim);
            self.plan.preemptions.push(Preemption {
                running: victim,
                beneficiary: index,
            });
        }
        let places = self.places(step, &room, rest, locality);
        self.profile
            .take(&places, step.demand, STOPPING, step.run_time);
        self.wait(index, rest.tasks, WaitReason::Planned, Some(STOPPING));
        true
    }

    /// Gives up that the tasks run near to each other, if that serves their job; returns whether they have a
    /// place then.
    fn compromise(&mut self, index: usize, rest: &mut Rest, starts_in: Option<Duration>) -> bool {
        if self.spread(index, rest, starts_in) {
            return true;
        }
        let step = &self.snapshot.waiting[index];
        // What is guaranteed is that the tasks begin, not that they are near.
        if !step.is_guaranteed || !may_preempt(step, starts_in.unwrap_or(Duration::MAX)) {
            return false;
        }
        self.start(index, rest, Locality::Any);
        rest.tasks == 0 || self.preempt(index, rest, Locality::Any, None)
    }

    /// Starts the tasks spread over racks if that is faster than waiting for a near place; returns whether
    /// it did.
    fn spread(&mut self, index: usize, rest: &mut Rest, starts_in: Option<Duration>) -> bool {
        let step = &self.snapshot.waiting[index];
        let spread_time = step.run_time.mul_f64(self.snapshot.spread_factor);
        let near_end = starts_in
            .unwrap_or(Duration::MAX)
            .saturating_add(step.run_time);
        if spread_time >= near_end {
            return false;
        }
        let room = self.profile.room(Duration::ZERO, spread_time);
        let places = self.places(step, &room, rest, Locality::Any);
        if places.len() < rest.tasks as usize {
            return false;
        }
        self.start_at(index, rest, &places, spread_time);
        true
    }

    fn wait(&mut self, index: usize, tasks: u32, reason: WaitReason, starts_in: Option<Duration>) {
        self.plan.waits.push(Waiting {
            waiting: index,
            tasks,
            reason,
            starts_in,
        });
    }
}

impl Rest {
    fn take(&mut self, places: &[usize]) {
        self.tasks -= u32::try_from(places.len()).unwrap_or(u32::MAX);
        for worker in places {
            self.allowance[*worker] = self.allowance[*worker].saturating_sub(1);
        }
    }
}

/// Returns whether others give way to a step that would start in `starts_in` otherwise.
fn may_preempt(step: &WaitingStep, starts_in: Duration) -> bool {
    if step.is_guaranteed {
        return starts_in > RECLAIM_PATIENCE.saturating_sub(step.waited).max(STOPPING);
    }
    // Beyond a guarantee only the most urgent work displaces others, when it would be late otherwise and
    // is in time with it.
    step.priority == 0 && starts_in > step.slack() && step.slack() > STOPPING
}

/// Returns the work of the tasks that wait, in core-seconds.
fn work_core_s(step: &WaitingStep) -> f64 {
    let cores = step.demand.milli_cores / 1000 + step.demand.accelerators * CORES_PER_ACCELERATOR;
    #[expect(clippy::cast_precision_loss, reason = "cores of a step")]
    let cores = (cores * u64::from(step.count())) as f64;
    cores * step.run_time.as_secs_f64()
}
