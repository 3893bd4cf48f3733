//! Selection of the upstream to poll.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::Peer;
use crate::relays::weight;
use nutmegwalk_base::ProcessId;
use nutmegwalk_base::backoff::Backoff;

/// Relays tried before entry hosts. The limit keeps failover fast when many relays are lost.
const RELAYS_BEFORE_ENTRIES: usize = 2;
/// Time after its first failure during which an upstream is tried last.
const INITIAL_PENALTY: Duration = Duration::from_secs(2);
/// Upper bound of the time during which a failed upstream is tried last.
const MAX_PENALTY: Duration = Duration::from_secs(30);

/// Entry hosts that can be polled, the upstream in use, and penalties of upstreams that failed recently.
#[derive(Debug)]
pub(crate) struct Upstreams {
    process: ProcessId,
    entries: Vec<SocketAddr>,
    remote_entries: Vec<SocketAddr>,
    current: Option<SocketAddr>,
    penalties: BTreeMap<SocketAddr, Penalty>,
}

/// Backoff of one failed upstream.
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
            remote_entries: Vec::new(),
            current: None,
            penalties: BTreeMap::new(),
        }
    }

    pub(crate) fn set_entries(&mut self, entries: Vec<SocketAddr>) {
        self.entries = entries;
    }

    pub(crate) fn set_remote_entries(&mut self, entries: Vec<SocketAddr>) {
        self.remote_entries = entries;
    }

    pub(crate) fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// Returns the upstream in use; `None` before the first success and after it failed.
    pub(crate) fn current(&self) -> Option<SocketAddr> {
        self.current
    }

    /// Returns all upstreams in the order in which to try them: the relays with the highest weights, entry
    /// hosts, the remaining relays, then entry hosts of other regions. Each group is sorted by rendezvous
    /// hashing, and upstreams that failed recently come last. A process that is a relay itself uses entry
    /// hosts only, so that relays never depend on each other.
    pub(crate) fn by_preference(&self, relays: &[Peer], now: Instant) -> Vec<SocketAddr> {
        let is_relay = relays.iter().any(|relay| relay.process == self.process);
        let mut relays: Vec<&Peer> = relays.iter().filter(|_| !is_relay).collect();
        relays.sort_by_cached_key(|relay| Reverse(weight(&self.process, &relay.process)));
        let by_weight = |entries: &[SocketAddr]| {
            let mut entries = entries.to_vec();
            entries.sort_by_cached_key(|entry| Reverse(weight(&self.process, &entry.to_string())));
            entries
        };
        let is_penalized = |address: &SocketAddr| {
            let penalty = self.penalties.get(address);
            penalty.is_some_and(|penalty| penalty.until > now)
        };
        let mut order: Vec<SocketAddr> = relays.iter().map(|relay| relay.address).collect();
        order.sort_by_key(is_penalized);
        let remaining_relays = order.split_off(RELAYS_BEFORE_ENTRIES.min(order.len()));
        order.extend(by_weight(&self.entries));
        order.extend(remaining_relays);
        order.extend(by_weight(&self.remote_entries));
        order.sort_by_key(is_penalized);
        order
    }

    /// Makes `address` the upstream in use and clears its penalty.
    pub(crate) fn record_success(&mut self, address: SocketAddr) {
        self.current = Some(address);
        self.penalties.remove(&address);
    }

    /// Penalizes `address`; if it is the upstream in use, there is none afterwards.
    pub(crate) fn record_failure(&mut self, address: SocketAddr, now: Instant) {
        // Drops penalties that expired more than `MAX_PENALTY` ago, so that former relays do not accumulate.
        self.penalties
            .retain(|_, penalty| penalty.until + MAX_PENALTY > now);
        let penalty = self.penalties.entry(address).or_insert_with(|| Penalty {
            until: now,
            backoff: Backoff::new(INITIAL_PENALTY, MAX_PENALTY),
        });
        penalty.until = now + penalty.backoff.next_delay();
        if self.current == Some(address) {
            self.current = None;
        }
    }
}
