//! Graceful shutdown: a flag that tasks wait for, and a count of the work in flight.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::task::Waker;

/// Shared shutdown state of one process.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    inner: Rc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    started: Cell<bool>,
    in_flight: Cell<usize>,
    wakers: RefCell<Vec<Waker>>,
}

impl Inner {
    fn wake_all(&self) {
        for waker in self.wakers.take() {
            waker.wake();
        }
    }
}

/// Counts as one unit of work in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    inner: Rc<Inner>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        debug_assert!(self.inner.in_flight.get() > 0);
        self.inner.in_flight.set(self.inner.in_flight.get() - 1);
        self.inner.wake_all();
    }
}

impl Drain {
    /// Creates a drain that has not started.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts draining and wakes all waiting tasks.
    ///
    /// The drain itself refuses nothing: its users check it and stop accepting work.
    pub fn start(&self) {
        self.inner.started.set(true);
        self.inner.wake_all();
    }

    /// Returns whether draining has started.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.inner.started.get()
    }

    /// Counts a unit of work until the returned value is dropped.
    #[must_use]
    pub fn enter(&self) -> InFlight {
        self.inner.in_flight.set(self.inner.in_flight.get() + 1);
        InFlight {
            inner: Rc::clone(&self.inner),
        }
    }

    /// Returns the number of units of work in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.inner.in_flight.get()
    }

    /// Waits until draining starts.
    pub async fn started(&self) {
        self.wait_until(|inner| inner.started.get()).await;
    }

    /// Waits until nothing is in flight.
    pub async fn idle(&self) {
        self.wait_until(|inner| inner.in_flight.get() == 0).await;
    }

    async fn wait_until(&self, condition: impl Fn(&Inner) -> bool) {
        poll_fn(|context| {
            if condition(&self.inner) {
                return Poll::Ready(());
            }
            let mut wakers = self.inner.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(context.waker())) {
                wakers.push(context.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
