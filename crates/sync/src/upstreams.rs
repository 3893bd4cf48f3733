//! The order in which upstreams are tried.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::Peer;
use crate::relays::weight;
use nutmegwalk_base::ProcessId;
use nutmegwalk_base::backoff::Backoff;

/// Relays tried before entry hosts, so that the loss of many relays does not delay the failover.
const RELAYS_FIRST: usize = 2;
/// First time for which a failed upstream is tried last.
const INITIAL_PENALTY: Duration = Duration::from_secs(2);
/// Longest time for which a failed upstream is tried last.
const LONGEST_PENALTY: Duration = Duration::from_secs(30);

/// Entry hosts and relays, with those that failed recently.
#[derive(Debug)]
pub(crate) struct Upstreams {
    process: ProcessId,
    entries: Vec<SocketAddr>,
    far_entries: Vec<SocketAddr>,
    current: Option<SocketAddr>,
    penalties: BTreeMap<SocketAddr, Penalty>,
}

#[derive(Debug)]
struct Penalty {
    until: Instant,
    backoff: Backoff,
}

impl Upstreams {
    pub(crate) fn new(process: ProcessId, entries: Vec<SocketAddr>) -> Self {
        Self {
            process,
            entries,
            far_entries: Vec::new(),
            current: None,
            penalties: BTreeMap::new(),
        }
    }

    pub(crate) fn set_entries(&mut self, entries: Vec<SocketAddr>) {
        self.entries = entries;
    }

    pub(crate) fn set_far_entries(&mut self, entries: Vec<SocketAddr>) {
        self.far_entries = entries;
    }

    pub(crate) fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    pub(crate) fn current(&self) -> Option<SocketAddr> {
        self.current
    }

    /// Returns all upstreams: the best relays, entry hosts, other relays, then entry hosts of other
    /// regions, each by rendezvous hashing; those that failed recently come last. A process that is a
    /// relay itself uses entry hosts only, so that relays never wait for each other.
    pub(crate) fn order(&self, relays: &[Peer], now: Instant) -> Vec<SocketAddr> {
        let is_relay = relays.iter().any(|relay| relay.process == self.process);
        let mut relays: Vec<&Peer> = relays.iter().filter(|_| !is_relay).collect();
        relays.sort_by_cached_key(|relay| Reverse(weight(&self.process, &relay.process)));
        let by_weight = |entries: &[SocketAddr]| {
            let mut entries = entries.to_vec();
            entries.sort_by_cached_key(|entry| Reverse(weight(&self.process, &entry.to_string())));
            entries
        };
        let failed = |address: &SocketAddr| {
            let penalty = self.penalties.get(address);
            penalty.is_some_and(|penalty| penalty.until > now)
        };
        let mut order: Vec<SocketAddr> = relays.iter().map(|relay| relay.address).collect();
        order.sort_by_key(failed);
        let others = order.split_off(RELAYS_FIRST.min(order.len()));
        order.extend(by_weight(&self.entries));
        order.extend(others);
        order.extend(by_weight(&self.far_entries));
        order.sort_by_key(failed);
        order
    }

    pub(crate) fn answered(&mut self, address: SocketAddr) {
        self.current = Some(address);
        self.penalties.remove(&address);
    }

    pub(crate) fn failed(&mut self, address: SocketAddr, now: Instant) {
        // Addresses of relays that are long gone are dropped.
        self.penalties
            .retain(|_, penalty| penalty.until + LONGEST_PENALTY > now);
        let penalty = self.penalties.entry(address).or_insert_with(|| Penalty {
            until: now,
            backoff: Backoff::new(INITIAL_PENALTY, LONGEST_PENALTY),
        });
        penalty.until = now + penalty.backoff.next_delay();
        if self.current == Some(address) {
            self.current = None;
        }
    }
}
