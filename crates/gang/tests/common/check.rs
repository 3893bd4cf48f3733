//! Log of the task events on all workers, and the invariants checked on it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use nutmegwalk_gang::Attempt;
use nutmegwalk_gang::TaskState;

/// Period of the probe that measures the delay of the runtime's timers.
const PROBE_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub job: Box<str>,
    pub attempt: Attempt,
    pub member: u32,
    /// How the task ended; `None` for its start.
    pub ended: Option<TaskState>,
}

pub struct Log {
    events: RefCell<Vec<Event>>,
    /// Sum of the delays with which the runtime ran its timers. The limit of [`Log::check`] is extended by
    /// it, so that the check does not depend on the load of the machine.
    timer_delay: Cell<Duration>,
    /// Number of members of the gang, by attempt.
    gang_sizes: RefCell<BTreeMap<Attempt, usize>>,
}

struct Run {
    start: Instant,
    end: Instant,
    state: Option<TaskState>,
}

impl Log {
    pub fn new() -> Rc<Self> {
        let log = Rc::new(Self {
            events: RefCell::default(),
            timer_delay: Cell::default(),
            gang_sizes: RefCell::default(),
        });
        let probe = Rc::downgrade(&log);
        compio::runtime::spawn(async move {
            loop {
                let before = Instant::now();
                compio::time::sleep(PROBE_INTERVAL).await;
                let Some(log) = probe.upgrade() else { return };
                let delay = before.elapsed().saturating_sub(2 * PROBE_INTERVAL);
                log.timer_delay.set(log.timer_delay.get() + delay);
            }
        })
        .detach();
        log
    }

    pub fn expect(&self, attempt: Attempt, size: usize) {
        self.gang_sizes.borrow_mut().insert(attempt, size);
    }

    pub fn started(&self, key: &(Box<str>, Attempt, u32)) {
        self.push(key, None);
    }

    pub fn ended(&self, key: &(Box<str>, Attempt, u32), state: TaskState) {
        self.push(key, Some(state));
    }

    fn push(&self, (job, attempt, member): &(Box<str>, Attempt, u32), ended: Option<TaskState>) {
        self.events.borrow_mut().push(Event {
            at: Instant::now(),
            job: job.clone(),
            attempt: *attempt,
            member: *member,
            ended,
        });
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.borrow().clone()
    }

    pub fn starts(&self, attempt: Attempt) -> usize {
        let events = self.events.borrow();
        events
            .iter()
            .filter(|event| event.attempt == attempt && event.ended.is_none())
            .count()
    }

    /// Checks that no part of a gang ran without the rest for longer than `limit` and that no two attempts
    /// of a job overlapped. A task that has not ended counts as running until now.
    pub fn check(&self, limit: Duration) {
        let limit = limit + self.timer_delay.get() + 10 * PROBE_INTERVAL;
        let now = Instant::now();
        let mut runs: BTreeMap<(Box<str>, Attempt), BTreeMap<u32, Run>> = BTreeMap::new();
        for event in self.events.borrow().iter() {
            let gang = runs.entry((event.job.clone(), event.attempt)).or_default();
            match event.ended {
                None => {
                    let run = Run {
                        start: event.at,
                        end: now,
                        state: None,
                    };
                    assert!(
                        gang.insert(event.member, run).is_none(),
                        "started twice: {event:?}"
                    );
                }
                Some(state) => {
                    let run = gang.get_mut(&event.member).expect("ended before its start");
                    (run.end, run.state) = (event.at, Some(state));
                }
            }
        }
        let mut previous: BTreeMap<Box<str>, (Attempt, Instant)> = BTreeMap::new();
        for ((job, attempt), gang) in &runs {
            let first_start = gang.values().map(|run| run.start).min().expect("not empty");
            let complete_from = gang.values().map(|run| run.start).max().expect("not empty");
            // A member that finished by itself does not make the gang incomplete.
            let ends = gang
                .values()
                .filter(|run| run.state != Some(TaskState::Finished));
            let complete_until = ends.map(|run| run.end).min();
            let was_complete = gang.len() == self.gang_sizes.borrow()[attempt];
            for (member, run) in gang {
                let (before, after) = if was_complete {
                    let after =
                        complete_until.map(|until| run.end.saturating_duration_since(until));
                    (complete_from - run.start, after.unwrap_or_default())
                } else {
                    (run.end - run.start, Duration::ZERO)
                };
                assert!(
                    before <= limit && after <= limit,
                    "member {member} of {job} {attempt:?} ran in a partial gang for {before:?} and {after:?}"
                );
            }
            if let Some((earlier, end)) = previous.get(job) {
                assert!(
                    *end <= first_start,
                    "{job}: {earlier:?} and {attempt:?} overlapped"
                );
            }
            let end = gang.values().map(|run| run.end).max().expect("not empty");
            previous.insert(job.clone(), (*attempt, end));
        }
    }
}
