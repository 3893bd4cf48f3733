//! Selection of relays by rendezvous hashing.

use std::cmp::Reverse;

use crate::Membership;
use crate::Peer;
use crate::Role;

/// Returns the rendezvous weight of `candidate` for `key`; the highest weight is preferred.
pub(crate) fn weight(key: &str, candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(candidate.as_bytes());
    let digest = hasher.finalize();
    let (first, _) = digest
        .as_bytes()
        .split_first_chunk()
        .unwrap_or((&[0; 8], &[]));
    u64::from_le_bytes(*first)
}

/// Selects relays among the live agents of a data centre that are not draining.
///
/// The number of relays is the integer square root of the number of those agents. A data centre with fewer
/// than `min_agents` of them has no relays.
pub(crate) fn choose_relays(
    membership: &Membership,
    data_centre: &str,
    min_agents: usize,
) -> Vec<Peer> {
    let mut agents = membership.in_data_centre(data_centre, Role::Agent);
    agents.retain(|member| !member.report.draining);
    if agents.len() < min_agents {
        return Vec::new();
    }
    let count = agents.len().isqrt();
    agents.sort_by_cached_key(|member| Reverse(weight(data_centre, &member.report.process)));
    let relays = agents.into_iter().take(count).map(|member| Peer {
        process: member.report.process.clone(),
        address: member.report.address,
    });
    relays.collect()
}
