//! Answers to polls, on entry hosts and on relays.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::Membership;
use crate::OwnerRow;
use crate::Peer;
use crate::Recorded;
use crate::Role;
use crate::SyncAnswer;
use crate::SyncRequest;
use crate::SyncTimings;
use crate::View;
use crate::relays::choose_relays;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_net::Handler;
use nutmegwalk_net::Message;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;

/// Relays as last announced by a relay's own upstream; clones share the list.
pub type RelayList = Rc<RefCell<Vec<Peer>>>;

/// Serves `/v1/sync` from a view and records the reports.
pub struct SyncServer {
    view: View,
    membership: Membership,
    secret: Secret,
    timings: SyncTimings,
    announced: Option<RelayList>,
    chosen: RefCell<BTreeMap<DataCentreId, Vec<Peer>>>,
    chosen_at: Cell<u64>,
}

impl SyncServer {
    /// Creates the server of an entry host, which chooses the relays itself.
    #[must_use]
    pub fn new(view: View, membership: Membership, secret: Secret, timings: SyncTimings) -> Self {
        Self {
            view,
            membership,
            secret,
            timings,
            announced: None,
            chosen: RefCell::default(),
            chosen_at: Cell::new(0),
        }
    }

    /// Makes this the server of an agent, which announces the relays that its upstream announced.
    #[must_use]
    pub fn with_announced_relays(mut self, relays: RelayList) -> Self {
        self.announced = Some(relays);
        self
    }

    /// Answers a request for `/v1/sync`; `None` for other paths.
    #[must_use]
    pub fn handle(&self, request: &Request) -> Option<Response> {
        if &*request.path != SyncRequest::PATH {
            return None;
        }
        let message = request.message::<SyncRequest>(&self.secret);
        let answer = message.map(|message| self.answer(&message, Instant::now()));
        Some(Response::message(&answer))
    }

    /// Records the reports of a poll that arrived at `now` and makes the answer.
    #[must_use]
    pub fn answer(&self, request: &SyncRequest, now: Instant) -> SyncAnswer {
        let is_direct = request.role != Role::Entry;
        let mut wanted = Vec::new();
        for update in &request.reports {
            // An entry host's own report is its own first-hand knowledge, and only it sends it.
            if self.membership.record(update, is_direct, now) == Recorded::Wanted {
                wanted.push(update.process.clone());
            }
        }
        let version = self.view.version();
        let (changes, snapshot) = if request.held_version >= version {
            (Vec::new(), None)
        } else {
            match self.view.changes_after(request.held_version) {
                Some(changes) => (
                    changes.iter().map(|change| (**change).clone()).collect(),
                    None,
                ),
                None => (
                    Vec::new(),
                    Some(Box::new((*self.view.configuration()).clone())),
                ),
            }
        };
        let held = self.view.owners();
        let owners = held.iter().filter(|(duty, row)| {
            let theirs = request.held_owners.get(*duty);
            theirs.is_none_or(|version| *version < row.version)
        });
        let owners = owners.map(|(duty, row)| OwnerRow {
            duty: duty.clone(),
            version: row.version,
            value: (*row.value).into(),
        });
        let age = self.view.age();
        let removed = request
            .held_owners
            .keys()
            .filter(|duty| age.is_some() && !held.contains_key(*duty));
        SyncAnswer {
            version,
            age_ms: age.map(round_up_ms),
            changes,
            snapshot,
            owners: owners.collect(),
            removed_owners: removed.cloned().collect(),
            relays: self.relays(request.data_centre.as_deref()),
            wanted,
        }
    }

    fn relays(&self, data_centre: Option<&str>) -> Vec<Peer> {
        if let Some(announced) = &self.announced {
            return announced.borrow().clone();
        }
        let Some(data_centre) = data_centre else {
            return Vec::new();
        };
        let mut chosen = self.chosen.borrow_mut();
        let revision = self.membership.revision();
        if self.chosen_at.replace(revision) != revision {
            chosen.clear();
        }
        if let Some(relays) = chosen.get(data_centre) {
            return relays.clone();
        }
        let relays = choose_relays(&self.membership, data_centre, self.timings.relays_from);
        chosen.insert(data_centre.into(), relays.clone());
        relays
    }
}

impl Handler for SyncServer {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        SyncServer::handle(&self, &request).unwrap_or_else(|| {
            let detail = format!("there is no {}", request.path);
            Response::error(&Error::new(ErrorKind::NotFound, detail))
        })
    }
}

/// Rounds up, so that an age is never underestimated.
fn round_up_ms(age: Duration) -> u64 {
    u64::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
