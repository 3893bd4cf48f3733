//! Liveness of processes, as observed by a process that others report to.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::Report;
use crate::ReportUpdate;
use crate::Role;
use crate::SyncTimings;
use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::ProcessId;
use nutmegwalk_net::Drain;

/// Maximum number of superseded incarnations remembered for each process.
const MAX_SUPERSEDED: usize = 16;

/// One process that has reported.
#[derive(Clone, Debug)]
pub struct Member {
    /// Newest report.
    pub report: Rc<Report>,
    /// Configuration version that the process has.
    pub confirmed_version: ConfigVersion,
    /// When the last heartbeat of the process arrived, at this process or at the one that forwarded it.
    pub last_contact: Instant,
    /// Whether the process counts as alive.
    pub alive: bool,
    /// Whether the reports arrive from the process itself or its relay, and not from an entry host.
    pub is_direct: bool,
    /// Earlier incarnations, oldest first; their updates are rejected.
    superseded: VecDeque<Incarnation>,
}

/// The result of recording a [`ReportUpdate`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordOutcome {
    /// The update was applied, or is not newer than what is known.
    Accepted,
    /// The receiver needs the whole report, because it lacks this revision or has other content.
    ReportNeeded,
    /// The update comes from a superseded incarnation, is too old, or is inconsistent.
    Rejected,
}

/// All processes that have reported; clones share the state.
#[derive(Clone, Debug)]
pub struct Membership {
    state: Rc<RefCell<State>>,
    timings: SyncTimings,
}

#[derive(Debug, Default)]
struct State {
    members: BTreeMap<ProcessId, Member>,
    revision: u64,
    last_tick: Option<Instant>,
}

impl Membership {
    /// Creates a membership without members.
    #[must_use]
    pub fn new(timings: SyncTimings) -> Self {
        Self {
            state: Rc::default(),
            timings,
        }
    }

    /// Returns a number that increases with each change of a report or of the set of live processes.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state.borrow().revision
    }

    /// Returns the member with the name `process`, alive or failed.
    #[must_use]
    pub fn get(&self, process: &str) -> Option<Member> {
        self.state.borrow().members.get(process).cloned()
    }

    /// Returns all live members, sorted by name.
    #[must_use]
    pub fn alive(&self) -> Vec<Member> {
        self.select(|_| true)
    }

    /// Returns the live members of `data_centre` that have the role `role`, sorted by name.
    #[must_use]
    pub fn in_data_centre(&self, data_centre: &str, role: Role) -> Vec<Member> {
        self.select(|member| {
            member.report.role == role && member.report.data_centre.as_deref() == Some(data_centre)
        })
    }

    /// Returns the live members whose reports this process forwards.
    #[must_use]
    pub fn direct_members(&self) -> Vec<Member> {
        self.select(|member| member.is_direct)
    }

    /// Returns the oldest configuration version among the live members; `None` when there are none.
    #[must_use]
    pub fn oldest_confirmed(&self) -> Option<ConfigVersion> {
        let state = self.state.borrow();
        let alive = state.members.values().filter(|member| member.alive);
        alive.map(|member| member.confirmed_version).min()
    }

    /// Returns the names of the live members whose configuration is older than `version`.
    #[must_use]
    pub fn not_confirmed(&self, version: ConfigVersion) -> Vec<ProcessId> {
        let behind = self.select(|member| member.confirmed_version < version);
        behind
            .into_iter()
            .map(|member| member.report.process.clone())
            .collect()
    }

    /// Returns the live members that satisfy `keep`, sorted by name.
    fn select(&self, keep: impl Fn(&Member) -> bool) -> Vec<Member> {
        let state = self.state.borrow();
        let alive = state.members.values().filter(|member| member.alive);
        alive.filter(|member| keep(member)).cloned().collect()
    }

    /// Records a heartbeat that arrived at `now`.
    pub fn record(&self, update: &ReportUpdate, is_direct: bool, now: Instant) -> RecordOutcome {
        let since_contact = Duration::from_millis(update.silent_ms);
        let Some(last_contact) = now.checked_sub(since_contact) else {
            return RecordOutcome::Rejected;
        };
        if since_contact >= self.timings.failed_after {
            return RecordOutcome::Rejected;
        }
        if let Some(report) = &update.report
            && (report.process != update.process
                || report.incarnation != update.incarnation
                || report.revision != update.revision)
        {
            return RecordOutcome::Rejected;
        }
        let mut state = self.state.borrow_mut();
        let State {
            members, revision, ..
        } = &mut *state;
        let Some(member) = members.get_mut(&update.process) else {
            let Some(report) = &update.report else {
                return RecordOutcome::ReportNeeded;
            };
            let member = new_member(report, update, is_direct, last_contact);
            members.insert(update.process.clone(), member);
            *revision += 1;
            return RecordOutcome::Accepted;
        };
        if member.report.incarnation != update.incarnation {
            // Two relays can forward different incarnations; the one with the later contact is the newer one.
            if member.superseded.contains(&update.incarnation) || last_contact < member.last_contact
            {
                return RecordOutcome::Rejected;
            }
            let Some(report) = &update.report else {
                return RecordOutcome::ReportNeeded;
            };
            let mut superseded = std::mem::take(&mut member.superseded);
            superseded.push_back(member.report.incarnation);
            if superseded.len() > MAX_SUPERSEDED {
                superseded.pop_front();
            }
            *member = new_member(report, update, is_direct, last_contact);
            member.superseded = superseded;
            *revision += 1;
            return RecordOutcome::Accepted;
        }
        member.apply_update(update, is_direct, last_contact, revision)
    }

    /// Marks unresponsive processes as failed and removes those that failed long ago.
    ///
    /// Has to be called regularly. A long gap between calls means that this process itself was paused and
    /// could not receive heartbeats, so the gap does not count as time without contact.
    pub fn tick(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        let State {
            members,
            revision,
            last_tick,
        } = &mut *state;
        let gap = last_tick.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        *last_tick = Some(now);
        let paused = gap >= self.timings.failed_after / 2;
        members.retain(|_, member| {
            if paused && member.alive {
                member.last_contact = (member.last_contact + gap).min(now);
            }
            let since_contact = now.saturating_duration_since(member.last_contact);
            if member.alive && since_contact >= self.timings.failed_after {
                member.alive = false;
                *revision += 1;
            }
            since_contact < self.timings.remove_after
        });
    }

    /// Calls [`Membership::tick`] regularly until `drain` starts.
    pub async fn run(&self, drain: Drain) {
        while !drain.is_started() {
            self.tick(Instant::now());
            compio::time::sleep(self.timings.failed_after / 10).await;
        }
    }
}

impl Member {
    /// Applies a heartbeat of the current incarnation.
    fn apply_update(
        &mut self,
        update: &ReportUpdate,
        is_direct: bool,
        last_contact: Instant,
        revision: &mut u64,
    ) -> RecordOutcome {
        let is_newest = last_contact >= self.last_contact;
        if is_newest {
            self.last_contact = last_contact;
            self.is_direct = is_direct;
            if !self.alive {
                self.alive = true;
                *revision += 1;
            }
        }
        self.confirmed_version = self.confirmed_version.max(update.confirmed_version);
        if let Some(report) = &update.report {
            // A report of equal revision with other content repairs one that was damaged in transit.
            let replaces = update.revision > self.report.revision
                || (update.revision == self.report.revision
                    && is_newest
                    && *report != *self.report);
            if replaces {
                self.report = Rc::new(report.clone());
                *revision += 1;
            }
            return RecordOutcome::Accepted;
        }
        let is_outdated = update.revision > self.report.revision;
        let differs = update.revision == self.report.revision
            && update
                .digest
                .is_some_and(|digest| digest != self.report.digest());
        if is_outdated || differs {
            RecordOutcome::ReportNeeded
        } else {
            RecordOutcome::Accepted
        }
    }
}

fn new_member(
    report: &Report,
    update: &ReportUpdate,
    is_direct: bool,
    last_contact: Instant,
) -> Member {
    Member {
        report: Rc::new(report.clone()),
        confirmed_version: update.confirmed_version,
        last_contact,
        alive: true,
        is_direct,
        superseded: VecDeque::new(),
    }
}
