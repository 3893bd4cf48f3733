//! Selection of the backend server for an attempt.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use super::health::Permission;
use super::servers::Distance;
use super::servers::SelectedServer;
use super::servers::Server;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// Policy by which servers are selected and calls and retries are limited.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RoutingPolicy {
    /// Selects the less loaded of two random servers; admission, health checks and the retry budget apply.
    #[default]
    TwoChoices,
    /// Baseline: selects each server in turn, regardless of load and health.
    RoundRobin,
    /// Baseline: as `TwoChoices`, but without admission and retry budget, and with more attempts per call.
    NoBudget,
}

/// Selects servers according to a policy.
#[derive(Debug)]
pub(super) struct ServerSelector {
    policy: RoutingPolicy,
    next: Cell<usize>,
}

impl ServerSelector {
    /// Creates a selector that uses `policy`.
    pub(super) fn new(policy: RoutingPolicy) -> Self {
        Self {
            policy,
            next: Cell::new(0),
        }
    }

    /// Selects one of `servers` for an attempt with `time_left` until its deadline. Servers in `tried` are
    /// selected only if there is no other one.
    ///
    /// # Errors
    /// `no_backend_server` when no server may be used.
    pub(super) fn select_server(
        &self,
        servers: &[Rc<Server>],
        tried: &[Rc<Server>],
        time_left: Duration,
    ) -> Result<SelectedServer> {
        let is_untried = |server: &Rc<Server>| !tried.iter().any(|known| Rc::ptr_eq(known, server));
        let available: Vec<&Rc<Server>> = servers
            .iter()
            .filter(|server| !server.is_leaving())
            .collect();
        let untried: Vec<&Rc<Server>> = available
            .iter()
            .copied()
            .filter(|server| is_untried(server))
            .collect();
        let pick = |candidates: &[&Rc<Server>]| match self.policy {
            RoutingPolicy::RoundRobin => self.round_robin(candidates),
            RoutingPolicy::TwoChoices | RoutingPolicy::NoBudget => {
                nearest_first(candidates, time_left)
            }
        };
        let selected = pick(&untried).or_else(|| pick(&available));
        selected.ok_or_else(|| {
            Error::new(
                ErrorKind::NoBackendServer,
                "no backend server of the service can be used",
            )
        })
    }

    /// Selects the next of the nearest servers.
    fn round_robin(&self, candidates: &[&Rc<Server>]) -> Option<SelectedServer> {
        let nearest = candidates.iter().map(|server| server.distance).min()?;
        let group = at_distance(candidates, nearest);
        let next = self.next.get();
        self.next.set(next.wrapping_add(1));
        let server = group.get(next % group.len())?;
        Some(SelectedServer::new(server, false))
    }
}

fn at_distance<'a>(candidates: &[&'a Rc<Server>], distance: Distance) -> Vec<&'a Rc<Server>> {
    candidates
        .iter()
        .copied()
        .filter(|server| server.distance == distance)
        .collect()
}

/// Selects the less loaded of two random servers, at a greater distance only if no nearer server can meet
/// the deadline. A server that is due for a probe is selected first among those at its distance.
fn nearest_first(candidates: &[&Rc<Server>], time_left: Duration) -> Option<SelectedServer> {
    let now = Instant::now();
    let mut fallback = None;
    for distance in [
        Distance::SameDataCentre,
        Distance::SameRegion,
        Distance::OtherRegion,
    ] {
        let group = at_distance(candidates, distance);
        let permission = |server: &Rc<Server>| server.health.borrow().permission(now);
        if let Some(server) = group
            .iter()
            .find(|server| permission(server) == Permission::Probe)
        {
            server.health.borrow_mut().start_probe();
            return Some(SelectedServer::new(server, true));
        }
        let usable: Vec<&Rc<Server>> = group
            .iter()
            .copied()
            .filter(|server| permission(server) == Permission::Use)
            .collect();
        let meeting_deadline: Vec<&Rc<Server>> = usable
            .iter()
            .copied()
            .filter(|server| server.can_meet_deadline(time_left))
            .collect();
        if let Some(server) = less_loaded_of_two(&meeting_deadline) {
            return Some(SelectedServer::new(server, false));
        }
        fallback = fallback.or_else(|| less_loaded_of_two(&usable));
    }
    // No server is expected to meet the deadline; the agent decides with its more recent load.
    fallback.map(|server| SelectedServer::new(server, false))
}

fn less_loaded_of_two<'a>(servers: &[&'a Rc<Server>]) -> Option<&'a Rc<Server>> {
    let mut random = rand::rng();
    match servers {
        [] => None,
        [only] => Some(only),
        _ => {
            let first = random.random_range(0..servers.len());
            let step = random.random_range(1..servers.len());
            let second = (first + step) % servers.len();
            let (first, second) = (servers[first], servers[second]);
            Some(if second.load_per_slot() < first.load_per_slot() {
                second
            } else {
                first
            })
        }
    }
}
