//! The decision: who starts where, who gives way, who waits.

use std::time::Duration;

use crate::Plan;
use crate::Preemption;
use crate::Snapshot;
use crate::Start;
use crate::WaitReason;
use crate::Waiting;
use crate::WaitingUnit;
use crate::fit::Locality;
use crate::fit::Room;
use crate::fit::counts;
use crate::fit::place;
use crate::fit::take;
use crate::hold::Hold;
use crate::hold::STOPPING;
use crate::hold::take_from_holds;
use crate::hold::usable;
use crate::preempt::victims;
use crate::rank::rank;

/// Holds that are kept at once; more would leave too little room for backfill.
const MAX_HOLDS: usize = 4;
/// Time for which a unit under a guarantee waits for running work to end before others give way to it.
/// With the time to store the decision and to stop tasks it stays below the time promised for a reclaim.
const RECLAIM_PATIENCE: Duration = Duration::from_millis(600);

/// Decides for one moment.
#[must_use]
pub fn plan(snapshot: &Snapshot) -> Plan {
    let mut planning = Planning::new(snapshot);
    let mut order: Vec<usize> = (0..snapshot.waiting.len()).collect();
    order.sort_by_key(|index| (rank(&snapshot.waiting[*index]), *index));
    for index in order {
        planning.decide(index);
    }
    planning.plan
}

/// State of one decision.
struct Planning<'a> {
    snapshot: &'a Snapshot,
    /// Room that is free now.
    free: Room,
    holds: Vec<Hold>,
    plan: Plan,
}

impl<'a> Planning<'a> {
    fn new(snapshot: &'a Snapshot) -> Self {
        Self {
            snapshot,
            free: snapshot
                .workers
                .iter()
                .map(|worker| worker.free())
                .collect(),
            holds: Vec::new(),
            plan: Plan::default(),
        }
    }

    fn decide(&mut self, index: usize) {
        let unit = &self.snapshot.waiting[index];
        let locality = self.locality(unit);
        let Some(locality) = locality else {
            self.wait(index, WaitReason::NeverFits);
            return;
        };
        let room = usable(&self.free, &self.holds, unit.run_time);
        if let Some(places) = place(self.snapshot, unit, &room, locality) {
            self.start(index, places);
            return;
        }
        if self.holds.len() >= MAX_HOLDS && !unit.is_guaranteed {
            self.wait(index, WaitReason::NoRoom);
            return;
        }
        let promised = self.unpromised();
        let hold = Hold::find(self.snapshot, unit, &promised, locality);
        let expected = hold.as_ref().map_or(Duration::MAX, |hold| hold.due_in);
        if self.may_preempt(unit, expected)
            && let Some(hold) = self.preempt(index, locality)
        {
            self.holds.push(hold);
            self.wait(index, WaitReason::HasHold);
            return;
        }
        if let Some(places) = self.spread(unit, locality, expected) {
            self.start(index, places);
            return;
        }
        match hold {
            Some(hold) => {
                self.holds.push(hold);
                self.wait(index, WaitReason::HasHold);
            }
            None => self.wait(index, WaitReason::NoRoom),
        }
    }

    /// Returns how near the tasks can be to each other and to their data on empty workers; `None` when
    /// they do not fit at all.
    fn locality(&self, unit: &WaitingUnit) -> Option<Locality> {
        let empty: Room = self
            .snapshot
            .workers
            .iter()
            .map(|worker| worker.capacity)
            .collect();
        [Locality::Near, Locality::Any]
            .into_iter()
            .find(|locality| place(self.snapshot, unit, &empty, *locality).is_some())
    }

    /// Returns the room that is free now and not promised to a hold.
    fn unpromised(&self) -> Room {
        usable(&self.free, &self.holds, Duration::MAX)
    }

    fn start(&mut self, index: usize, places: Vec<usize>) {
        let unit = &self.snapshot.waiting[index];
        take(&mut self.free, unit, &places);
        take_from_holds(&mut self.holds, unit, &places);
        self.plan.starts.push(Start {
            waiting: index,
            workers: places,
        });
    }

    fn wait(&mut self, index: usize, reason: WaitReason) {
        self.plan.waits.push(Waiting {
            waiting: index,
            reason,
        });
    }

    /// Returns whether others give way to a unit that is expected to start in `expected`.
    fn may_preempt(&self, unit: &WaitingUnit, expected: Duration) -> bool {
        if unit.is_guaranteed {
            return expected > RECLAIM_PATIENCE.saturating_sub(unit.waited).max(STOPPING);
        }
        // Beyond a guarantee only the most urgent work displaces others, when it would be late otherwise
        // and is in time with it.
        unit.priority == 0 && expected > unit.slack() && unit.slack() > STOPPING
    }

    /// Stops runs so that the unit fits, and keeps the room for it.
    fn preempt(&mut self, index: usize, locality: Locality) -> Option<Hold> {
        let unit = &self.snapshot.waiting[index];
        let mut room = self.unpromised();
        for running in &self.snapshot.running {
            if running.is_ending {
                for (worker, size) in &running.seats {
                    room[*worker] = room[*worker].plus(*size);
                }
            }
        }
        let chosen: Vec<usize> = self
            .plan
            .preemptions
            .iter()
            .map(|preemption| preemption.running)
            .collect();
        let (victims, _) = victims(self.snapshot, unit, &room, locality)?;
        for victim in victims {
            for (worker, size) in &self.snapshot.running[victim].seats {
                room[*worker] = room[*worker].plus(*size);
            }
            if !chosen.contains(&victim) {
                self.plan.preemptions.push(Preemption {
                    running: victim,
                    beneficiary: index,
                });
            }
        }
        let places = place(self.snapshot, unit, &room, locality)?;
        take(&mut room, unit, &places);
        Some(Hold {
            due_in: STOPPING,
            spare: room,
        })
    }

    /// Returns a place that spreads the tasks over racks, when waiting for a near one takes longer.
    fn spread(
        &self,
        unit: &WaitingUnit,
        locality: Locality,
        expected: Duration,
    ) -> Option<Vec<usize>> {
        if locality == Locality::Any {
            return None;
        }
        let spread_time = unit.run_time.mul_f64(self.snapshot.spread_factor);
        let near_end = expected.saturating_add(unit.run_time);
        if spread_time >= near_end || counts(self.snapshot, unit, &self.free).is_empty() {
            return None;
        }
        let room = usable(&self.free, &self.holds, spread_time);
        place(self.snapshot, unit, &room, Locality::Any)
    }
}
