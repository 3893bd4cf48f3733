//! Routing table: the backend servers of each service, with their load and health.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::health::Health;
use super::health::Observation;
use crate::Load;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::RegionId;
use nutmegwalk_base::ServiceId;

/// Time for which the load in an answer takes precedence over the load in reports, since reports are up
/// to two seconds old when they arrive.
const ANSWER_LOAD_VALIDITY: Duration = Duration::from_secs(1);

/// Routing table entry of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerEntry {
    /// Address of the agent of the backend server.
    pub agent_address: SocketAddr,
    /// Incarnation of the agent.
    pub agent_incarnation: Incarnation,
    /// Incarnation of the backend server.
    pub server_incarnation: Incarnation,
    /// Service that the backend server provides.
    pub service: ServiceId,
    /// Data centre of the backend server.
    pub data_centre: DataCentreId,
    /// Region of the backend server.
    pub region: RegionId,
    /// Whether the backend server is shutting down.
    pub leaving: bool,
    /// Load of the backend server at the time of the report.
    pub load: Load,
}

/// Distance of a server from this entry host; smaller distances sort first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Distance {
    SameDataCentre,
    SameRegion,
    OtherRegion,
}

/// A server in the routing table.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) entry: ServerEntry,
    pub(super) distance: Distance,
    pub(super) health: RefCell<Health>,
    load: Cell<Load>,
    answer_load_at: Cell<Option<Instant>>,
    leaving: Cell<bool>,
    outstanding: Cell<u32>,
}

/// A server selected for an attempt. The attempt counts as outstanding until this value is dropped.
#[derive(Debug)]
pub(super) struct SelectedServer {
    server: Rc<Server>,
    is_probe: bool,
}

impl SelectedServer {
    /// Counts an outstanding attempt at `server`.
    pub(super) fn new(server: &Rc<Server>, is_probe: bool) -> Self {
        server.outstanding.set(server.outstanding.get() + 1);
        Self {
            server: Rc::clone(server),
            is_probe,
        }
    }

    /// Returns the server.
    pub(super) fn server(&self) -> &Rc<Server> {
        &self.server
    }
}

impl Drop for SelectedServer {
    fn drop(&mut self) {
        let server = &self.server;
        server.outstanding.set(server.outstanding.get() - 1);
        if self.is_probe {
            server.health.borrow_mut().abandon_probe(Instant::now());
        }
    }
}

impl Server {
    fn new(entry: ServerEntry, distance: Distance) -> Self {
        Self {
            distance,
            health: RefCell::new(Health::new()),
            load: Cell::new(entry.load),
            answer_load_at: Cell::new(None),
            leaving: Cell::new(entry.leaving),
            outstanding: Cell::new(0),
            entry,
        }
    }

    /// Returns whether `entry` describes the same incarnations at the same location.
    fn is_same(&self, entry: &ServerEntry) -> bool {
        self.entry.agent_address == entry.agent_address
            && self.entry.agent_incarnation == entry.agent_incarnation
            && self.entry.server_incarnation == entry.server_incarnation
            && self.entry.service == entry.service
            && self.entry.data_centre == entry.data_centre
            && self.entry.region == entry.region
    }

    /// Applies a newer entry of the same server.
    fn update(&self, entry: &ServerEntry) {
        self.leaving.set(entry.leaving);
        let fresh = self
            .answer_load_at
            .get()
            .is_some_and(|at| at.elapsed() < ANSWER_LOAD_VALIDITY);
        if !fresh {
            self.load.set(entry.load);
        }
    }

    /// Returns whether the server must not be used because it is shutting down or refused a call.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Treats the server as leaving until the next update. Its agent has refused a call because it cannot
    /// serve any, and the report of that may take up to two seconds to arrive.
    pub(super) fn avoid_until_update(&self) {
        self.leaving.set(true);
    }

    /// Sets the load from an answer.
    pub(super) fn set_load(&self, load: Load) {
        self.load.set(load);
        self.answer_load_at.set(Some(Instant::now()));
    }

    /// Returns the number of calls at the server divided by its slots, from the last known load and the
    /// outstanding attempts of this entry host.
    pub(super) fn load_per_slot(&self) -> f64 {
        let load = self.load.get();
        let reported = load.in_use.saturating_add(load.queued);
        let calls = reported.max(self.outstanding.get());
        f64::from(calls) / f64::from(load.slots.max(1))
    }

    /// Returns whether the queue is not full and a call is expected to end within `time_left`.
    pub(super) fn can_meet_deadline(&self, time_left: Duration) -> bool {
        let load = self.load.get();
        if load.queue_limit > 0 && load.queued >= load.queue_limit {
            return false;
        }
        let rounds = 1.0 + f64::from(load.queued) / f64::from(load.slots.max(1));
        rounds * load.service_us as f64 <= time_left.as_secs_f64() * 1e6
    }

    /// Returns the target number of concurrent calls: the slots and up to as many queued calls.
    fn capacity(&self) -> usize {
        let load = self.load.get();
        load.slots as usize + load.queue_limit.min(load.slots) as usize
    }
}

/// All servers, by service.
#[derive(Debug, Default)]
pub(super) struct Servers(RefCell<BTreeMap<ServiceId, Rc<[Rc<Server>]>>>);

impl Servers {
    /// Replaces the table; servers that were in it before keep their health and a recent load from an answer.
    pub(super) fn update(
        &self,
        entries: Vec<ServerEntry>,
        distance: impl Fn(&ServerEntry) -> Distance,
    ) {
        let mut previous = self.0.take();
        let mut by_service: BTreeMap<ServiceId, Vec<Rc<Server>>> = BTreeMap::new();
        for entry in entries {
            let existing = previous
                .get_mut(&entry.service)
                .and_then(|servers| servers.iter().find(|server| server.is_same(&entry)));
            let server = match existing {
                Some(server) => {
                    server.update(&entry);
                    Rc::clone(server)
                }
                None => {
                    let distance = distance(&entry);
                    Rc::new(Server::new(entry, distance))
                }
            };
            by_service
                .entry(server.entry.service.clone())
                .or_default()
                .push(server);
        }
        *self.0.borrow_mut() = by_service
            .into_iter()
            .map(|(service, servers)| (service, servers.into()))
            .collect();
    }

    /// Returns the servers of a service.
    pub(super) fn for_service(&self, service: &str) -> Rc<[Rc<Server>]> {
        let servers = self.0.borrow().get(service).cloned();
        servers.unwrap_or_else(|| Rc::from(Vec::new()))
    }

    /// Returns the target number of concurrent calls of the service.
    pub(super) fn capacity(&self, service: &str) -> usize {
        let servers = self.for_service(service);
        let usable = servers
            .iter()
            .filter(|server| !server.is_leaving() && !server.health.borrow().is_ejected());
        usable.map(|server| server.capacity()).sum()
    }

    /// Updates the health of the selected server at the end of an attempt.
    pub(super) fn record(&self, selected: &SelectedServer, observation: Observation) {
        let server = &selected.server;
        let servers = self.for_service(&server.entry.service);
        // Leaving servers accept no calls, so at most half of the other servers may be ejected.
        let active: Vec<&Rc<Server>> = servers.iter().filter(|peer| !peer.is_leaving()).collect();
        let ejected = active
            .iter()
            .filter(|peer| peer.health.borrow().is_ejected())
            .count();
        let may_eject = ejected < active.len() / 2;
        let mut latencies_us: Vec<f64> = active
            .iter()
            .filter(|peer| !Rc::ptr_eq(peer, server) && peer.distance == server.distance)
            .filter_map(|peer| peer.health.borrow().latency_us())
            .collect();
        latencies_us.sort_by(f64::total_cmp);
        let median_us = latencies_us.get(latencies_us.len() / 2).copied();
        server.health.borrow_mut().record(
            observation,
            selected.is_probe,
            median_us,
            may_eject,
            Instant::now(),
        );
    }
}
