//! Signals between tasks of the same thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::task::Waker;

/// A flag that tasks set and one task waits for; clones share it.
///
/// A signal that is raised while no task waits is kept for the next wait. Several raises count as one.
#[derive(Clone, Debug, Default)]
pub struct Signal {
    inner: Rc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    raised: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Signal {
    /// Creates a signal that is not raised.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Raises the signal and wakes the waiting task.
    pub fn raise(&self) {
        self.inner.raised.set(true);
        if let Some(waker) = self.inner.waker.take() {
            waker.wake();
        }
    }

    /// Waits until the signal is raised, then clears it.
    pub async fn raised(&self) {
        poll_fn(|context| {
            if self.inner.raised.replace(false) {
                return Poll::Ready(());
            }
            *self.inner.waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }
}
