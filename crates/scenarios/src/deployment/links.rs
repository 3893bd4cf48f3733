//! Simulated network faults between roles.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use nutmegwalk_net::Fault;
use nutmegwalk_net::LinkFaults;

#[derive(Debug, Default)]
struct State {
    /// Group of each process. Links between two groups can be cut or delayed.
    group_of_process: BTreeMap<Box<str>, Box<str>>,
    /// Group of the process that listens on each address.
    group_of_address: BTreeMap<SocketAddr, Box<str>>,
    cut: BTreeSet<(Box<str>, Box<str>)>,
    delays: BTreeMap<(Box<str>, Box<str>), Duration>,
}

/// Faults on the links between groups of processes, such as regions; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Links {
    state: Arc<Mutex<State>>,
}

impl Links {
    /// Creates links without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Assigns a process and its address to a group.
    pub fn assign_group(&self, process: &str, address: SocketAddr, group: &str) {
        let mut state = self.state();
        state.group_of_process.insert(process.into(), group.into());
        state.group_of_address.insert(address, group.into());
    }

    /// Cuts the links between two groups in both directions, or restores them.
    pub fn set_cut(&self, one: &str, other: &str, cut: bool) {
        let mut state = self.state();
        for pair in [(one.into(), other.into()), (other.into(), one.into())] {
            if cut {
                state.cut.insert(pair);
            } else {
                state.cut.remove(&pair);
            }
        }
    }

    /// Delays each request between two groups by `delay`.
    pub fn set_delay(&self, one: &str, other: &str, delay: Duration) {
        let mut state = self.state();
        state.delays.insert((one.into(), other.into()), delay);
        state.delays.insert((other.into(), one.into()), delay);
    }
}

impl LinkFaults for Links {
    fn fault(&self, from: &str, to: SocketAddr, _path: &str) -> Fault {
        let state = self.state();
        let groups = state
            .group_of_process
            .get(from)
            .zip(state.group_of_address.get(&to));
        let Some(pair) = groups.map(|(from, to)| (from.clone(), to.clone())) else {
            return Fault::None;
        };
        if state.cut.contains(&pair) {
            return Fault::Unreachable;
        }
        state
            .delays
            .get(&pair)
            .map_or(Fault::None, |delay| Fault::Delay(*delay))
    }
}
