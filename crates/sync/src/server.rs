//! The server side of polls, on entry hosts and on relays.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::Membership;
use crate::OwnerRow;
use crate::Peer;
use crate::RecordOutcome;
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

/// Relays as last announced by a process's upstream; clones share the list.
pub type RelayList = Rc<RefCell<Vec<Peer>>>;

/// Serves `/v1/sync` from a view and records the reports of the processes that poll.
pub struct SyncServer {
    view: View,
    membership: Membership,
    secret: Secret,
    timings: SyncTimings,
    announced_relays: Option<RelayList>,
    /// Relays selected by an entry host, by data centre.
    selected_relays: RefCell<BTreeMap<DataCentreId, Vec<Peer>>>,
    /// Membership revision at which `selected_relays` was computed.
    selected_revision: Cell<u64>,
}

impl SyncServer {
    /// Creates the server of an entry host, which selects the relays itself.
    #[must_use]
    pub fn new(view: View, membership: Membership, secret: Secret, timings: SyncTimings) -> Self {
        Self {
            view,
            membership,
            secret,
            timings,
            announced_relays: None,
            selected_relays: RefCell::default(),
            selected_revision: Cell::new(0),
        }
    }

    /// Turns this into the server of an agent, which forwards the relays that its upstream announced.
    #[must_use]
    pub fn with_announced_relays(mut self, relays: RelayList) -> Self {
        self.announced_relays = Some(relays);
        self
    }

    /// Handles a request for `/v1/sync`; returns `None` for other paths.
    #[must_use]
    pub fn handle(&self, request: &Request) -> Option<Response> {
        if &*request.path != SyncRequest::PATH {
            return None;
        }
        let message = request.message::<SyncRequest>(&self.secret);
        let answer = message.map(|message| self.answer(&message, Instant::now()));
        Some(Response::message(&answer))
    }

    /// Records the reports of a poll that arrived at `now` and returns the answer.
    #[must_use]
    pub fn answer(&self, request: &SyncRequest, now: Instant) -> SyncAnswer {
        let is_direct = request.role != Role::Entry;
        let mut wanted = Vec::new();
        for update in &request.reports {
            // Reports from an entry host are not direct, so this process does not forward them: the entry host
            // sends them to every other one itself.
            if self.membership.record(update, is_direct, now) == RecordOutcome::ReportNeeded {
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
        let rows = self.view.owners();
        let owners = rows.iter().filter(|(duty, row)| {
            let requester_version = request.held_owners.get(*duty);
            requester_version.is_none_or(|version| *version < row.version)
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
            .filter(|duty| age.is_some() && !rows.contains_key(*duty));
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
        if let Some(announced) = &self.announced_relays {
            return announced.borrow().clone();
        }
        let Some(data_centre) = data_centre else {
            return Vec::new();
        };
        let mut selected = self.selected_relays.borrow_mut();
        let revision = self.membership.revision();
        if self.selected_revision.replace(revision) != revision {
            selected.clear();
        }
        if let Some(relays) = selected.get(data_centre) {
            return relays.clone();
        }
        let relays = choose_relays(
            &self.membership,
            data_centre,
            self.timings.min_agents_for_relays,
        );
        selected.insert(data_centre.into(), relays.clone());
        relays
    }
}

impl Handler for SyncServer {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        SyncServer::handle(&self, &request).unwrap_or_else(|| {
            let detail = format!("there is no path {}", request.path);
            Response::error(&Error::new(ErrorKind::NotFound, detail))
        })
    }
}

/// Converts an age to milliseconds, rounded up so that it is never underestimated.
fn round_up_ms(age: Duration) -> u64 {
    u64::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
