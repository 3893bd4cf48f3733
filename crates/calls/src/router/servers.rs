//! The routing table: servers by service, their loads and their health.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::health::Evidence;
use super::health::Health;
use crate::Load;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::RegionId;
use nutmegwalk_base::ServiceId;

/// A load from an answer is preferred to one from a report for this long, since reports are up to
/// two seconds old when they arrive.
const FRESH: Duration = Duration::from_secs(1);

/// One backend server that calls can be routed to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerEntry {
    /// Address of the agent beside the backend server.
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
    /// Load at the time of the report.
    pub load: Load,
}

/// Distance of a server from this entry host; nearer ones sort first.
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
    load_at: Cell<Option<Instant>>,
    leaving: Cell<bool>,
    outstanding: Cell<u32>,
}

/// A server chosen for one attempt, which counts as outstanding until this is dropped.
#[derive(Debug)]
pub(super) struct Chosen {
    server: Rc<Server>,
    is_probe: bool,
}

impl Chosen {
    /// Counts an attempt at `server`.
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

impl Drop for Chosen {
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
            load_at: Cell::new(None),
            leaving: Cell::new(entry.leaving),
            outstanding: Cell::new(0),
            entry,
        }
    }

    fn is_same(&self, entry: &ServerEntry) -> bool {
        self.entry.agent_address == entry.agent_address
            && self.entry.agent_incarnation == entry.agent_incarnation
            && self.entry.server_incarnation == entry.server_incarnation
            && self.entry.service == entry.service
            && self.entry.data_centre == entry.data_centre
            && self.entry.region == entry.region
    }

    fn update(&self, entry: &ServerEntry) {
        self.leaving.set(entry.leaving);
        let fresh = self.load_at.get().is_some_and(|at| at.elapsed() < FRESH);
        if !fresh {
            self.load.set(entry.load);
        }
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Treats the server as leaving until the next update. Its agent has just refused a call for good,
    /// and the report that says so is up to two seconds away.
    pub(super) fn avoid_until_update(&self) {
        self.leaving.set(true);
    }

    /// Sets the load that an answer carried.
    pub(super) fn set_load(&self, load: Load) {
        self.load.set(load);
        self.load_at.set(Some(Instant::now()));
    }

    /// Returns the calls at the server for each of its slots, as far as is known here.
    pub(super) fn pressure(&self) -> f64 {
        let load = self.load.get();
        let reported = load.in_use.saturating_add(load.queued);
        let calls = reported.max(self.outstanding.get());
        f64::from(calls) / f64::from(load.slots.max(1))
    }

    /// Returns whether the queue has room and a call can be expected to end within `time_left`.
    pub(super) fn can_meet(&self, time_left: Duration) -> bool {
        let load = self.load.get();
        if load.queue_limit > 0 && load.queued >= load.queue_limit {
            return false;
        }
        let rounds = 1.0 + f64::from(load.queued) / f64::from(load.slots.max(1));
        rounds * load.service_us as f64 <= time_left.as_secs_f64() * 1e6
    }

    /// Returns how many calls at once are sensible: the slots and as many waiting ones.
    fn capacity(&self) -> usize {
        let load = self.load.get();
        load.slots as usize + load.queue_limit.min(load.slots) as usize
    }
}

/// All servers by service.
#[derive(Debug, Default)]
pub(super) struct Servers(RefCell<BTreeMap<ServiceId, Rc<[Rc<Server>]>>>);

impl Servers {
    /// Replaces the table; servers that stay keep their health and load.
    pub(super) fn update(
        &self,
        entries: Vec<ServerEntry>,
        distance: impl Fn(&ServerEntry) -> Distance,
    ) {
        let mut previous = self.0.take();
        let mut by_service: BTreeMap<ServiceId, Vec<Rc<Server>>> = BTreeMap::new();
        for entry in entries {
            let known = previous
                .get_mut(&entry.service)
                .and_then(|servers| servers.iter().find(|server| server.is_same(&entry)));
            let server = match known {
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
    pub(super) fn of(&self, service: &str) -> Rc<[Rc<Server>]> {
        let servers = self.0.borrow().get(service).cloned();
        servers.unwrap_or_else(|| Rc::from(Vec::new()))
    }

    /// Returns how many calls of the service at once are sensible.
    pub(super) fn capacity(&self, service: &str) -> usize {
        let servers = self.of(service);
        let usable = servers
            .iter()
            .filter(|server| !server.is_leaving() && !server.health.borrow().is_ejected());
        usable.map(|server| server.capacity()).sum()
    }

    /// Takes the end of an attempt into account.
    pub(super) fn record(&self, chosen: &Chosen, evidence: Evidence) {
        let server = &chosen.server;
        let servers = self.of(&server.entry.service);
        // A server that leaves takes no calls, so the limit is half of those that stay.
        let staying: Vec<&Rc<Server>> = servers.iter().filter(|peer| !peer.is_leaving()).collect();
        let ejected = staying
            .iter()
            .filter(|peer| peer.health.borrow().is_ejected())
            .count();
        let may_eject = ejected < staying.len() / 2;
        let mut latencies_us: Vec<f64> = staying
            .iter()
            .filter(|peer| !Rc::ptr_eq(peer, server) && peer.distance == server.distance)
            .filter_map(|peer| peer.health.borrow().latency_us())
            .collect();
        latencies_us.sort_by(f64::total_cmp);
        let median_us = latencies_us.get(latencies_us.len() / 2).copied();
        server.health.borrow_mut().record(
            evidence,
            chosen.is_probe,
            median_us,
            may_eject,
            Instant::now(),
        );
    }
}
