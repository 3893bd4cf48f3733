//! Directory of live agents, from which standbys and peers are chosen.
//!
//! It is rebuilt at an interval instead of for each report, so that its cost does not grow with the square of the
//! number of agents.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::worker::AgentInfo;
use nutmegwalk_base::ProcessId;

/// Maximum number of standby agents for the ownership, each in a different data centre.
const MAX_STANDBYS: usize = 2;
/// Maximum number of peers in an answer, enough that one of them stays reachable in most network partitions.
const MAX_PEERS: usize = 4;
/// Time without a report after which an agent is no longer offered as a peer or standby.
const AGENT_REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Age from which the directory is rebuilt; short against [`AGENT_REPORT_TIMEOUT`].
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// Standbys and peers among the agents that were live when it was built.
#[derive(Debug, Default)]
pub(crate) struct AgentDirectory {
    built_at: Option<Instant>,
    standbys: Vec<ProcessId>,
    /// One more than an answer contains, since an agent is not its own peer.
    peers: Vec<(ProcessId, SocketAddr)>,
}

impl AgentDirectory {
    /// Chooses standbys and peers among `agents`.
    pub(crate) fn new(agents: &BTreeMap<ProcessId, AgentInfo>, now: Instant) -> Self {
        let live = agents.iter().filter(|(_, agent)| {
            now.saturating_duration_since(agent.last_report_at) < AGENT_REPORT_TIMEOUT
        });
        let mut standbys: BTreeMap<&str, &ProcessId> = BTreeMap::new();
        let mut by_data_centre: BTreeMap<&str, Vec<(ProcessId, SocketAddr)>> = BTreeMap::new();
        for (name, agent) in live {
            if agent.is_eligible
                && let Some(data_centre) = &agent.data_centre
            {
                standbys.entry(data_centre).or_insert(name);
            }
            by_data_centre
                .entry(agent.data_centre.as_deref().unwrap_or_default())
                .or_default()
                .push((name.clone(), agent.address));
        }
        Self {
            built_at: Some(now),
            standbys: standbys.into_values().take(MAX_STANDBYS).cloned().collect(),
            peers: spread(by_data_centre, MAX_PEERS + 1),
        }
    }

    /// Returns whether the directory has to be rebuilt.
    pub(crate) fn is_stale(&self, now: Instant) -> bool {
        self.built_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REFRESH_INTERVAL)
    }

    /// Returns whether an agent is a standby: the first eligible agent of one of the first data centres.
    pub(crate) fn is_standby(&self, agent: &str) -> bool {
        self.standbys.iter().any(|standby| **standby == *agent)
    }

    /// Returns the addresses of up to [`MAX_PEERS`] agents other than `except`.
    pub(crate) fn peers(&self, except: Option<&str>) -> Vec<SocketAddr> {
        self.peers
            .iter()
            .filter(|(name, _)| except != Some(&**name))
            .map(|(_, address)| *address)
            .take(MAX_PEERS)
            .collect()
    }
}

/// Takes up to `count` agents from as many data centres as possible.
fn spread(
    mut by_data_centre: BTreeMap<&str, Vec<(ProcessId, SocketAddr)>>,
    count: usize,
) -> Vec<(ProcessId, SocketAddr)> {
    let mut chosen = Vec::new();
    while chosen.len() < count && !by_data_centre.is_empty() {
        by_data_centre.retain(|_, agents| {
            chosen.extend(agents.pop());
            !agents.is_empty()
        });
    }
    chosen.truncate(count);
    chosen
}
