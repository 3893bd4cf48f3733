//! Steps of a job whose tasks may start, and the tasks among them that wait.
//!
//! It is kept by step and changes with the occurrences that become due and the steps that are done, so its cost does not
//! depend on the number of tasks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::job::Job;
use nutmegwalk_base::JobId;
use nutmegwalk_placement::TaskList;
use nutmegwalk_workload::CrashRisk;
use nutmegwalk_workload::MAX_OPEN_OCCURRENCES;
use nutmegwalk_workload::Occurrence;
use nutmegwalk_workload::StepIndex;
use nutmegwalk_workload::TaskIndex;
use nutmegwalk_workload::UnitId;

/// Margin after the due time of an occurrence, in milliseconds, for differences between clocks.
const DUE_MARGIN_MS: u64 = 20;
/// Time for which a unit waits for the witness of a crash after its run was lost; it doubles with each further run of which
/// the worker has been silent since its start. The worker may never be back.
const WITNESS_WAIT: Duration = Duration::from_secs(2);
/// Limit of the doublings.
const MAX_WITNESS_WAIT_DOUBLINGS: usize = 5;

/// Steps of a job that are ready to start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Readiness {
    /// When each ready step that is not done became ready.
    since: BTreeMap<(Occurrence, StepIndex), Instant>,
    /// Occurrences that were due and are not finished.
    open: BTreeSet<Occurrence>,
    /// Occurrences whose steps have to be examined.
    stale: BTreeSet<Occurrence>,
}

impl Readiness {
    /// Returns the ready steps, with the time since which they are.
    pub(crate) fn steps(&self) -> impl Iterator<Item = (Occurrence, StepIndex, Instant)> + use<'_> {
        self.since
            .iter()
            .map(|((occurrence, step), since)| (*occurrence, *step, *since))
    }

    /// Returns when a step became ready; `None` if it is not ready or done.
    pub(crate) fn since(&self, occurrence: Occurrence, step: StepIndex) -> Option<Instant> {
        self.since.get(&(occurrence, step)).copied()
    }

    /// Marks an occurrence of which a step may be done.
    pub(crate) fn mark_stale(&mut self, occurrence: Occurrence) {
        self.stale.insert(occurrence);
    }
}

impl Job {
    /// Records the steps that have become ready or done, given the wall-clock time.
    pub(crate) fn refresh_readiness(&mut self, unix_ms: u64, now: Instant) {
        if self.progress.state.is_final() {
            self.readiness = Readiness::default();
            return;
        }
        for occurrence in self.due_occurrences(unix_ms) {
            if self.readiness.open.insert(occurrence) {
                self.readiness.stale.insert(occurrence);
            }
        }
        let (progress, spec) = (&self.progress, &self.record.spec);
        for occurrence in std::mem::take(&mut self.readiness.stale) {
            if progress.is_finished(occurrence) {
                self.readiness.open.remove(&occurrence);
            }
            // A step may be done in an occurrence that is not due any more, as the clock was set back.
            let is_open = self.readiness.open.contains(&occurrence);
            for step in (0..).take(spec.steps.len()) {
                let key = (occurrence, step);
                if is_open && progress.is_step_ready(spec, occurrence, step) {
                    self.readiness.since.entry(key).or_insert(now);
                } else {
                    self.readiness.since.remove(&key);
                }
            }
        }
    }

    /// Returns the first occurrences that are due and not finished.
    fn due_occurrences(&self, unix_ms: u64) -> Vec<Occurrence> {
        let latest_due_ms = unix_ms.saturating_sub(DUE_MARGIN_MS);
        let is_due = |occurrence: Occurrence| match &self.record.spec.repeat {
            Some(repeat) => {
                occurrence < repeat.count && repeat.due_unix_ms(occurrence) <= latest_due_ms
            }
            None => occurrence == 0,
        };
        let first = self.progress.first_unfinished(0);
        let following = |occurrence: &Occurrence| {
            Some(self.progress.first_unfinished(occurrence.checked_add(1)?))
        };
        std::iter::successors(Some(first), following)
            .take_while(|occurrence| is_due(*occurrence))
            .take(MAX_OPEN_OCCURRENCES as usize)
            .collect()
    }

    /// Returns the waiting tasks of a ready step by the risk that they crash their workers.
    pub(crate) fn waiting_tasks(
        &self,
        id: &JobId,
        occurrence: Occurrence,
        step: StepIndex,
        now: Instant,
    ) -> BTreeMap<CrashRisk, TaskList> {
        let mut waiting = BTreeMap::<CrashRisk, TaskList>::new();
        let spec = &self.record.spec;
        if spec.step(step).is_some_and(|step| step.is_gang) {
            let unit = spec.unit_at(id, occurrence, step, 0);
            if !self.has_runs(&unit) && !self.awaits_witness(&unit, now) {
                let tasks = waiting.entry(self.crash_risk_of(&unit)).or_default();
                tasks.push(0..spec.steps[step as usize].tasks);
            }
            return waiting;
        }
        // Tasks that run, or wait in another group than the one without risk.
        let mut apart: BTreeSet<TaskIndex> = self
            .started_units(id, occurrence, step)
            .filter(|(_, live)| !live.runs.is_empty())
            .filter_map(|(unit, _)| unit.task)
            .collect();
        for (index, risk) in self.progress.risky_units(occurrence, step) {
            let unit = spec.unit_at(id, occurrence, step, index);
            if apart.insert(index) && !self.awaits_witness(&unit, now) {
                waiting.entry(risk).or_default().push(index..index + 1);
            }
        }
        let mut low_risk = TaskList::default();
        for open in self.progress.open_units(spec, occurrence, step) {
            let mut start = open.start;
            for index in apart.range(open.clone()) {
                low_risk.push(start..*index);
                start = index + 1;
            }
            low_risk.push(start..open.end);
        }
        if !low_risk.is_empty() {
            waiting.insert(CrashRisk::Low, low_risk);
        }
        waiting
    }

    /// Returns whether a unit waits until it is known whether its last start has crashed the worker, which has been silent
    /// since.
    fn awaits_witness(&self, unit: &UnitId, now: Instant) -> bool {
        let progress = self.progress.unit(unit);
        let silent = progress.map_or(0, |unit| unit.crash_history.silent_count());
        let ended_at = self.units.get(unit).and_then(|live| live.last_run_ended_at);
        let (Some(doublings), Some(ended_at)) = (silent.checked_sub(1), ended_at) else {
            return false;
        };
        let factor = 1 << doublings.min(MAX_WITNESS_WAIT_DOUBLINGS);
        now.saturating_duration_since(ended_at) < WITNESS_WAIT * factor
    }

    /// Returns whether a unit has runs that are or may be on workers.
    fn has_runs(&self, unit: &UnitId) -> bool {
        self.units
            .get(unit)
            .is_some_and(|live| !live.runs.is_empty())
    }
}
