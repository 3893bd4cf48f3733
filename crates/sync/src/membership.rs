//! Who is alive, as seen by a process that others report to.

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

/// Replaced incarnations that are remembered for each process.
const KEPT_INCARNATIONS: usize = 16;

/// One process that has reported.
#[derive(Clone, Debug)]
pub struct Member {
    /// Newest report.
    pub report: Rc<Report>,
    /// Configuration version that the process has.
    pub confirmed_version: ConfigVersion,
    /// When the process was last heard, by this process or by the one that passed its report on.
    pub last_contact: Instant,
    /// Whether the process counts as alive.
    pub alive: bool,
    /// Whether the process or its relay reports here, and not to another entry host.
    pub is_direct: bool,
    superseded: VecDeque<Incarnation>,
}

/// What became of a [`ReportUpdate`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Recorded {
    /// The update was taken over.
    Accepted,
    /// The whole report is needed.
    Wanted,
    /// The update comes from an incarnation that was replaced, or is too old to matter.
    Refused,
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

    /// Returns a number that rises with each change of a report or of who is alive.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state.borrow().revision
    }

    /// Returns one member, alive or failed.
    #[must_use]
    pub fn get(&self, process: &str) -> Option<Member> {
        self.state.borrow().members.get(process).cloned()
    }

    /// Returns all live members in the order of their names.
    #[must_use]
    pub fn alive(&self) -> Vec<Member> {
        self.select(|_| true)
    }

    /// Returns the live members with a role in a data centre.
    #[must_use]
    pub fn in_data_centre(&self, data_centre: &str, role: Role) -> Vec<Member> {
        self.select(|member| {
            member.report.role == role && member.report.data_centre.as_deref() == Some(data_centre)
        })
    }

    /// Returns the live members whose reports this process passes on.
    #[must_use]
    pub fn direct_members(&self) -> Vec<Member> {
        self.select(|member| member.is_direct)
    }

    /// Returns the oldest configuration version in force among live members.
    #[must_use]
    pub fn oldest_confirmed(&self) -> Option<ConfigVersion> {
        let state = self.state.borrow();
        let alive = state.members.values().filter(|member| member.alive);
        alive.map(|member| member.confirmed_version).min()
    }

    /// Returns the live members that do not have `version` yet.
    #[must_use]
    pub fn not_confirmed(&self, version: ConfigVersion) -> Vec<ProcessId> {
        let behind = self.select(|member| member.confirmed_version < version);
        behind
            .into_iter()
            .map(|member| member.report.process.clone())
            .collect()
    }

    fn select(&self, keep: impl Fn(&Member) -> bool) -> Vec<Member> {
        let state = self.state.borrow();
        let alive = state.members.values().filter(|member| member.alive);
        alive.filter(|member| keep(member)).cloned().collect()
    }

    /// Takes over a sign of life that arrived at `now`.
    pub fn record(&self, update: &ReportUpdate, is_direct: bool, now: Instant) -> Recorded {
        let silence = Duration::from_millis(update.silent_ms);
        let Some(last_contact) = now.checked_sub(silence) else {
            return Recorded::Refused;
        };
        if silence >= self.timings.failed_after {
            return Recorded::Refused;
        }
        if let Some(report) = &update.report
            && (report.process != update.process
                || report.incarnation != update.incarnation
                || report.revision != update.revision)
        {
            return Recorded::Refused;
        }
        let mut state = self.state.borrow_mut();
        let State {
            members, revision, ..
        } = &mut *state;
        let Some(member) = members.get_mut(&update.process) else {
            let Some(report) = &update.report else {
                return Recorded::Wanted;
            };
            let member = new_member(report, update, is_direct, last_contact);
            members.insert(update.process.clone(), member);
            *revision += 1;
            return Recorded::Accepted;
        };
        if member.report.incarnation != update.incarnation {
            // Two relays can pass on different incarnations; the one heard later is the newer one.
            if member.superseded.contains(&update.incarnation) || last_contact < member.last_contact
            {
                return Recorded::Refused;
            }
            let Some(report) = &update.report else {
                return Recorded::Wanted;
            };
            let mut superseded = std::mem::take(&mut member.superseded);
            superseded.push_back(member.report.incarnation);
            if superseded.len() > KEPT_INCARNATIONS {
                superseded.pop_front();
            }
            *member = new_member(report, update, is_direct, last_contact);
            member.superseded = superseded;
            *revision += 1;
            return Recorded::Accepted;
        }
        member.hear(update, is_direct, last_contact, revision)
    }

    /// Marks silent processes as failed. Called regularly; a long gap between calls means that this
    /// process itself was paused and could not hear anyone, so the gap does not count as silence.
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
            let silence = now.saturating_duration_since(member.last_contact);
            if member.alive && silence >= self.timings.failed_after {
                member.alive = false;
                *revision += 1;
            }
            silence < self.timings.forget_after
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
    /// Takes over a sign of life of the incarnation that is known.
    fn hear(
        &mut self,
        update: &ReportUpdate,
        is_direct: bool,
        last_contact: Instant,
        revision: &mut u64,
    ) -> Recorded {
        let newest = last_contact >= self.last_contact;
        if newest {
            self.last_contact = last_contact;
            self.is_direct = is_direct;
            if !self.alive {
                self.alive = true;
                *revision += 1;
            }
        }
        self.confirmed_version = self.confirmed_version.max(update.confirmed_version);
        if let Some(report) = &update.report {
            // An equal revision with other content repairs a report that was damaged on the way.
            let replaces = update.revision > self.report.revision
                || (update.revision == self.report.revision && newest && *report != *self.report);
            if replaces {
                self.report = Rc::new(report.clone());
                *revision += 1;
            }
            return Recorded::Accepted;
        }
        let lacks = update.revision > self.report.revision;
        let differs = update.revision == self.report.revision
            && update
                .digest
                .is_some_and(|digest| digest != self.report.digest());
        if lacks || differs {
            Recorded::Wanted
        } else {
            Recorded::Accepted
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
