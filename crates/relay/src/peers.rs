//! The processes that can be asked.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::seq::IndexedRandom;

/// Addresses of other processes; clones share them.
#[derive(Clone, Debug, Default)]
pub struct PeerList {
    inner: Rc<RefCell<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    addresses: Vec<SocketAddr>,
    /// The peer that answered last.
    proven: Option<SocketAddr>,
}

impl PeerList {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the addresses; an empty list changes nothing, since old peers are better than none.
    pub fn set(&self, addresses: Vec<SocketAddr>) {
        if !addresses.is_empty() {
            self.inner.borrow_mut().addresses = addresses;
        }
    }

    /// Returns up to `count` peers to ask: the one that answered last, then others at random.
    #[must_use]
    pub fn choose(&self, count: usize) -> Vec<SocketAddr> {
        let inner = self.inner.borrow();
        let mut chosen: Vec<SocketAddr> = inner.proven.into_iter().collect();
        let others = inner
            .addresses
            .choose_multiple(&mut rand::rng(), count)
            .copied();
        chosen.extend(others.filter(|address| Some(*address) != inner.proven));
        chosen.truncate(count);
        chosen
    }

    /// Notes that a peer has answered.
    pub(crate) fn prove(&self, address: SocketAddr) {
        self.inner.borrow_mut().proven = Some(address);
    }

    /// Notes that a peer has not answered.
    pub(crate) fn doubt(&self, address: SocketAddr) {
        let mut inner = self.inner.borrow_mut();
        if inner.proven == Some(address) {
            inner.proven = None;
        }
    }
}
