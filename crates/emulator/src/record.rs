//! Event log of the emulated workers, and the detection of violated invariants.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use nutmegwalk_supervisor::TaskRun;
use nutmegwalk_workload::EndKind;
use nutmegwalk_workload::TaskId;

/// Event in the life cycle of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A run started.
    Started,
    /// A run started for which the worker had no room beside its other runs, including those that are being stopped.
    ExceededCapacity,
    /// A run ended.
    Ended(EndKind),
    /// The end of a run was acknowledged, and the lease had not lapsed since the end was reported.
    Acknowledged(EndKind),
}

/// Event of a run on a worker, with its time.
#[derive(Clone, Debug)]
pub struct LoggedEvent {
    /// Time at which the event was recorded.
    pub at: Instant,
    /// Machine of the worker.
    pub machine: Box<str>,
    /// Run that the event is about.
    pub run: TaskRun,
    /// The event itself.
    pub event: Event,
}

/// Events of all workers in order of time; clones share the state.
#[derive(Clone, Debug, Default)]
pub struct EventLog {
    events: Rc<RefCell<Vec<LoggedEvent>>>,
}

impl EventLog {
    pub(crate) fn push(&self, machine: &str, run: TaskRun, event: Event) {
        self.events.borrow_mut().push(LoggedEvent {
            at: Instant::now(),
            machine: machine.into(),
            run,
            event,
        });
    }

    /// Returns the events from position `from` on.
    #[must_use]
    pub fn events_from(&self, from: usize) -> Vec<LoggedEvent> {
        self.events.borrow()[from..].to_vec()
    }

    /// Returns the runs of a task that have started, in order.
    #[must_use]
    pub fn started_runs(&self, task: &str) -> Vec<TaskRun> {
        let events = self.events.borrow();
        events
            .iter()
            .filter(|logged| logged.event == Event::Started && logged.run.task.to_string() == task)
            .map(|logged| logged.run.clone())
            .collect()
    }

    /// Returns the violations of three invariants: at most one run of a task is active at any time, no run
    /// starts after the success of the task was acknowledged, and no start exceeds the capacity of a worker.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let mut checker = ViolationChecker::default();
        for logged in self.events.borrow().iter() {
            checker.apply(logged);
        }
        checker.violations
    }
}

#[derive(Default)]
struct ViolationChecker {
    running: BTreeMap<TaskId, TaskRun>,
    done: BTreeMap<TaskId, TaskRun>,
    acknowledged: Vec<TaskRun>,
    restarted: Vec<(TaskRun, TaskRun)>,
    violations: Vec<String>,
}

impl ViolationChecker {
    fn apply(&mut self, logged: &LoggedEvent) {
        let run = &logged.run;
        match logged.event {
            Event::Started => self.apply_start(run),
            Event::ExceededCapacity => self.violations.push(format!(
                "{run:?} exceeded the capacity of the worker on {}",
                logged.machine
            )),
            Event::Ended(kind) => {
                if self.running.get(&run.task) == Some(run) {
                    self.running.remove(&run.task);
                }
                if kind == EndKind::Done {
                    self.done.insert(run.task.clone(), run.clone());
                }
            }
            Event::Acknowledged(EndKind::Done) => {
                self.acknowledged.push(run.clone());
                let restarts = self.restarted.iter().filter(|(first, _)| first == run);
                self.violations.extend(restarts.map(|(first, later)| {
                    format!("{later:?} started after {first:?} had succeeded, which was acknowledged later")
                }));
            }
            Event::Acknowledged(_) => {}
        }
    }

    fn apply_start(&mut self, run: &TaskRun) {
        if let Some(other) = self.running.insert(run.task.clone(), run.clone()) {
            self.violations
                .push(format!("{run:?} started while {other:?} was running"));
        }
        if let Some(first) = self.done.get(&run.task) {
            if self.acknowledged.contains(first) {
                self.violations.push(format!(
                    "{run:?} started after the success of {first:?} was acknowledged"
                ));
            }
            self.restarted.push((first.clone(), run.clone()));
        }
    }
}
