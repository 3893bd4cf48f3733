//! The choice of a server for one attempt.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use super::health::Permission;
use super::servers::Chosen;
use super::servers::Distance;
use super::servers::Server;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// How servers are chosen and retries are limited.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RoutingPolicy {
    /// The less loaded of two random servers, with all limits.
    #[default]
    TwoChoices,
    /// Baseline: each server in turn, whatever its load and health.
    RoundRobin,
    /// Baseline: as `TwoChoices`, but without admission and without a retry budget.
    NoBudget,
}

/// Chooses servers by a policy.
#[derive(Debug)]
pub(super) struct Choice {
    policy: RoutingPolicy,
    next: Cell<usize>,
}

impl Choice {
    /// Creates a choice.
    pub(super) fn new(policy: RoutingPolicy) -> Self {
        Self {
            policy,
            next: Cell::new(0),
        }
    }

    /// Chooses among `servers`, avoiding those in `tried` while there are others.
    ///
    /// # Errors
    /// `no_backend_server` when there is none that may be used.
    pub(super) fn choose(
        &self,
        servers: &[Rc<Server>],
        tried: &[Rc<Server>],
        time_left: Duration,
    ) -> Result<Chosen> {
        let is_new = |server: &Rc<Server>| !tried.iter().any(|known| Rc::ptr_eq(known, server));
        let present: Vec<&Rc<Server>> = servers
            .iter()
            .filter(|server| !server.is_leaving())
            .collect();
        let untried: Vec<&Rc<Server>> = present
            .iter()
            .copied()
            .filter(|server| is_new(server))
            .collect();
        let pick = |candidates: &[&Rc<Server>]| match self.policy {
            RoutingPolicy::RoundRobin => self.round_robin(candidates),
            RoutingPolicy::TwoChoices | RoutingPolicy::NoBudget => {
                nearest_first(candidates, time_left)
            }
        };
        let chosen = pick(&untried).or_else(|| pick(&present));
        chosen.ok_or_else(|| {
            Error::new(
                ErrorKind::NoBackendServer,
                "no backend server of the service can be used",
            )
        })
    }

    fn round_robin(&self, candidates: &[&Rc<Server>]) -> Option<Chosen> {
        let nearest = candidates.iter().map(|server| server.distance).min()?;
        let group = at_distance(candidates, nearest);
        let next = self.next.get();
        self.next.set(next.wrapping_add(1));
        let server = group.get(next % group.len())?;
        Some(Chosen::new(server, false))
    }
}

fn at_distance<'a>(candidates: &[&'a Rc<Server>], distance: Distance) -> Vec<&'a Rc<Server>> {
    candidates
        .iter()
        .copied()
        .filter(|server| server.distance == distance)
        .collect()
}

/// Goes farther only when no nearer server can meet the deadline.
fn nearest_first(candidates: &[&Rc<Server>], time_left: Duration) -> Option<Chosen> {
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
            return Some(Chosen::new(server, true));
        }
        let usable: Vec<&Rc<Server>> = group
            .iter()
            .copied()
            .filter(|server| permission(server) == Permission::Use)
            .collect();
        let able: Vec<&Rc<Server>> = usable
            .iter()
            .copied()
            .filter(|server| server.can_meet(time_left))
            .collect();
        if let Some(server) = less_loaded_of_two(&able) {
            return Some(Chosen::new(server, false));
        }
        fallback = fallback.or_else(|| less_loaded_of_two(&usable));
    }
    // The agent decides with its newer knowledge.
    fallback.map(|server| Chosen::new(server, false))
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
            Some(if second.pressure() < first.pressure() {
                second
            } else {
                first
            })
        }
    }
}
