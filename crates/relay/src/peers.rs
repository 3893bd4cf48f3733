//! The peers through which requests can be relayed.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::seq::IndexedRandom;

/// Addresses of the peers of a process; clones share them.
#[derive(Clone, Debug, Default)]
pub struct PeerList {
    inner: Rc<RefCell<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    addresses: Vec<SocketAddr>,
    /// The peer that answered the latest relayed request.
    last_responsive: Option<SocketAddr>,
}

impl PeerList {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the addresses. An empty list is ignored, because old addresses are more useful than none.
    pub fn set(&self, addresses: Vec<SocketAddr>) {
        if !addresses.is_empty() {
            self.inner.borrow_mut().addresses = addresses;
        }
    }

    /// Returns up to `count` peers to use: the one that answered last, followed by others in random order.
    #[must_use]
    pub fn choose(&self, count: usize) -> Vec<SocketAddr> {
        let inner = self.inner.borrow();
        let mut chosen: Vec<SocketAddr> = inner.last_responsive.into_iter().collect();
        let others = inner
            .addresses
            .choose_multiple(&mut rand::rng(), count)
            .copied();
        chosen.extend(others.filter(|address| Some(*address) != inner.last_responsive));
        chosen.truncate(count);
        chosen
    }

    /// Records that a peer has answered.
    pub(crate) fn record_success(&self, address: SocketAddr) {
        self.inner.borrow_mut().last_responsive = Some(address);
    }

    /// Records that a peer has failed to answer.
    pub(crate) fn record_failure(&self, address: SocketAddr) {
        let mut inner = self.inner.borrow_mut();
        if inner.last_responsive == Some(address) {
            inner.last_responsive = None;
        }
    }
}
