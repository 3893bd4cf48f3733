//! What workers were seen to do, and what of it breaks a promise.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use nutmegwalk_supervisor::TaskRun;
use nutmegwalk_workload::EndKind;
use nutmegwalk_workload::TaskId;

/// Something that a worker did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A run began.
    Began,
    /// A run ended.
    Ended(EndKind),
    /// An end was acknowledged, and the lease had not lapsed since it was listed.
    Noted(EndKind),
}

/// Something that a worker did with a run.
#[derive(Clone, Debug)]
pub struct LoggedEvent {
    /// When it was seen.
    pub at: Instant,
    /// Machine of the worker.
    pub machine: Box<str>,
    /// The run.
    pub run: TaskRun,
    /// What was done.
    pub event: Event,
}

/// Everything that the workers have done, in order; clones share the state.
#[derive(Clone, Debug, Default)]
pub struct EventLog {
    seen: Rc<RefCell<Vec<LoggedEvent>>>,
}

impl EventLog {
    pub(crate) fn push(&self, machine: &str, run: TaskRun, event: Event) {
        self.seen.borrow_mut().push(LoggedEvent {
            at: Instant::now(),
            machine: machine.into(),
            run,
            event,
        });
    }

    /// Returns everything that was seen from position `from` on.
    #[must_use]
    pub fn since(&self, from: usize) -> Vec<LoggedEvent> {
        self.seen.borrow()[from..].to_vec()
    }

    /// Returns the runs of a task that have begun.
    #[must_use]
    pub fn started_runs(&self, task: &str) -> Vec<TaskRun> {
        let seen = self.seen.borrow();
        seen.iter()
            .filter(|seen| seen.event == Event::Began && seen.run.task.to_string() == task)
            .map(|seen| seen.run.clone())
            .collect()
    }

    /// Returns what breaks the promises that a task runs once at a time and never again once its success
    /// was noted.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let mut check = Check::default();
        for seen in self.seen.borrow().iter() {
            check.take_in(seen);
        }
        check.found
    }
}

#[derive(Default)]
struct Check {
    running: BTreeMap<TaskId, TaskRun>,
    done: BTreeMap<TaskId, TaskRun>,
    noted: Vec<TaskRun>,
    restarted: Vec<(TaskRun, TaskRun)>,
    found: Vec<String>,
}

impl Check {
    fn take_in(&mut self, seen: &LoggedEvent) {
        let run = &seen.run;
        match seen.event {
            Event::Began => self.begin(run),
            Event::Ended(kind) => {
                if self.running.get(&run.task) == Some(run) {
                    self.running.remove(&run.task);
                }
                if kind == EndKind::Done {
                    self.done.insert(run.task.clone(), run.clone());
                }
            }
            Event::Noted(EndKind::Done) => {
                self.noted.push(run.clone());
                let again = self.restarted.iter().filter(|(first, _)| first == run);
                self.found.extend(again.map(|(first, later)| {
                    format!("{later:?} began after {first:?} was done, which was noted")
                }));
            }
            Event::Noted(_) => {}
        }
    }

    fn begin(&mut self, run: &TaskRun) {
        if let Some(other) = self.running.insert(run.task.clone(), run.clone()) {
            self.found
                .push(format!("{run:?} began while {other:?} ran"));
        }
        if let Some(first) = self.done.get(&run.task) {
            if self.noted.contains(first) {
                self.found
                    .push(format!("{run:?} began after {first:?} was noted as done"));
            }
            self.restarted.push((first.clone(), run.clone()));
        }
    }
}
