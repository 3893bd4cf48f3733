//! What follows from the passing of time: workers that are dead, runs that are late or stand still, stops
//! that have to be repeated.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::warn;

use crate::job::LiveRun;
use crate::job::Seat;
use crate::job::SeatState;
use crate::job::StopState;
use crate::term::Term;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_placement::TaskProgress;
use nutmegwalk_workload::Run;
use nutmegwalk_workload::UnitId;
use nutmegwalk_workload::WorkerRef;

/// Time after which a stop that was taken and not followed by an end is repeated.
const STOP_REPEAT: Duration = Duration::from_millis(1_000);
/// Time for which the other members of a gang that is done may still be listed as running.
const DONE_LINGER: Duration = Duration::from_millis(1_500);

impl Term {
    /// Notices what follows from the passing of time.
    pub(crate) fn look_after(self: &Rc<Self>) {
        let now = clock::now();
        for worker in self.dead_workers(now) {
            self.lose_worker(&worker, "nothing was heard for longer than its lease lasts");
        }
        for (unit, run) in self.late_runs(now) {
            warn!(target: event::RUN_LATE, unit:% = unit, run = run; "the run did not start in time on all workers, stopping it");
            self.stop_run(&unit, run);
        }
        for (unit, run, workers) in self.stalled_runs() {
            self.give_up_stalled(&unit, run, &workers);
        }
        self.repeat_stops(now);
    }

    /// Returns the runs that stand still, with the workers of their tasks that do.
    fn stalled_runs(&self) -> Vec<(UnitId, Run, Vec<WorkerRef>)> {
        let state = self.state.borrow();
        let mut stalled = Vec::new();
        for job in state.jobs.values() {
            for (unit, live) in &job.units {
                let step = job.step_of(unit);
                // What lasts or fills works at a pace of its own and lists no progress.
                if step.is_lasting || step.is_filler {
                    continue;
                }
                let run_time = state
                    .run_times
                    .expected(&job.record.queue, step.estimate_ms);
                for run in live.runs.iter().filter(|run| !run.is_stopping()) {
                    let workers = stalled_workers(run, step.has_checkpoints, run_time);
                    if !workers.is_empty() {
                        stalled.push((unit.clone(), run.run, workers));
                    }
                }
            }
        }
        stalled
    }

    /// Stops a run that stands still and has it start on other workers.
    fn give_up_stalled(&self, unit: &UnitId, run: Run, workers: &[WorkerRef]) {
        let names: Vec<&str> = workers.iter().map(|worker| &*worker.id).collect();
        warn!(target: event::RUN_STALLED,
            unit:% = unit,
            run = run,
            workers = names.join(" ").as_str();
            "the run makes no progress, stopping it"
        );
        if let Some(job) = self.state.borrow_mut().jobs.get_mut(&unit.job)
            && let Some(live) = job.units.get_mut(unit)
        {
            live.failed_on.extend_from_slice(workers);
        }
        // The members of a gang stand still together, so nobody can tell which worker is to blame.
        if let [worker] = workers {
            self.note_failure(worker);
        }
        self.stop_run(unit, run);
    }

    /// Returns the runs that did not start in time on all their workers.
    fn late_runs(&self, now: Instant) -> Vec<(UnitId, Run)> {
        let state = self.state.borrow();
        let mut late = Vec::new();
        for job in state.jobs.values() {
            for (unit, live) in &job.units {
                let is_late = |run: &&LiveRun| {
                    !run.is_stopping()
                        && run.seats.iter().any(|seat| {
                            let age = now.saturating_duration_since(seat.since);
                            seat.state == SeatState::Ordered && age > self.settings.start_timeout
                        })
                };
                let runs = live.runs.iter().filter(is_late);
                late.extend(runs.map(|run| (unit.clone(), run.run)));
            }
        }
        late
    }

    /// Repeats stops that were taken and not followed by an end, and stops what outlasts its unit.
    fn repeat_stops(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        let mut to_tell = Vec::new();
        for job in state.jobs.values_mut() {
            for live in job.units.values_mut() {
                let lingers = live
                    .done_at
                    .is_some_and(|at| now.saturating_duration_since(at) > DONE_LINGER);
                for seat in live.runs.iter_mut().flat_map(|run| &mut run.seats) {
                    let is_repeat = matches!(
                        seat.stop,
                        StopState::Taken(at) if now.saturating_duration_since(at) > STOP_REPEAT
                    );
                    if seat.state != SeatState::Ended
                        && (is_repeat || lingers && seat.stop == StopState::None)
                    {
                        seat.stop = StopState::Wanted;
                    }
                    if seat.stop == StopState::Wanted && seat.state != SeatState::Ended {
                        to_tell.push(seat.worker.id.clone());
                    }
                }
            }
        }
        for worker in to_tell {
            state.tell(&worker);
        }
    }

    /// Returns the lives of workers that have runs and cannot be alive any more.
    fn dead_workers(&self, now: Instant) -> Vec<WorkerRef> {
        let state = self.state.borrow();
        let inherited_until = self.started_at + self.settings.worker_lease;
        let mut dead = Vec::new();
        for job in state.jobs.values() {
            for run in job.units.values().flat_map(|unit| &unit.runs) {
                for seat in &run.seats {
                    if seat.state == SeatState::Ended || dead.contains(&seat.worker) {
                        continue;
                    }
                    let is_dead = match state.workers.get(&seat.worker.id) {
                        Some(worker) if worker.announcement.worker == seat.worker => {
                            worker.is_dead(now) && now > inherited_until
                        }
                        _ => now > inherited_until,
                    };
                    if is_dead {
                        dead.push(seat.worker.clone());
                    }
                }
            }
        }
        dead
    }
}

/// Returns the workers of the tasks of a run that stand still.
fn stalled_workers(run: &LiveRun, has_checkpoints: bool, run_time: Duration) -> Vec<WorkerRef> {
    let Some(whole_since) = run.whole_since else {
        return Vec::new();
    };
    let is_stalled = |seat: &&Seat| {
        let progress = TaskProgress {
            percent: seat.progress_percent,
            stalled_for: seat.unchanged_for(whole_since),
            has_checkpoints,
            run_time,
        };
        progress.is_stalled()
    };
    let seats = run.seats.iter().filter(is_stalled);
    seats.map(|seat| seat.worker.clone()).collect()
}
