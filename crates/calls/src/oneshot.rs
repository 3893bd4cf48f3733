//! A single-value channel between tasks on the same runtime thread.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

#[derive(Debug)]
struct Shared<T> {
    value: Option<T>,
    waker: Option<Waker>,
    sender_dropped: bool,
}

/// Sending half of the channel; sends at most one value.
#[derive(Debug)]
pub(crate) struct Sender<T>(Rc<RefCell<Shared<T>>>);

/// Receiving half of the channel: resolves to the value, or to `None` when the sender was dropped
/// without sending one.
#[derive(Debug)]
pub(crate) struct Receiver<T>(Rc<RefCell<Shared<T>>>);

/// Creates a channel and returns its two halves.
pub(crate) fn channel<T>() -> (Sender<T>, Receiver<T>) {
    let shared = Rc::new(RefCell::new(Shared {
        value: None,
        waker: None,
        sender_dropped: false,
    }));
    (Sender(Rc::clone(&shared)), Receiver(shared))
}

impl<T> Sender<T> {
    /// Sends `value`.
    ///
    /// # Errors
    /// Returns `value` when the receiver was dropped.
    pub(crate) fn send(self, value: T) -> Result<(), T> {
        if self.is_canceled() {
            return Err(value);
        }
        self.0.borrow_mut().value = Some(value);
        Ok(())
    }

    /// Returns whether the receiver was dropped.
    pub(crate) fn is_canceled(&self) -> bool {
        Rc::strong_count(&self.0) == 1
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        let waker = {
            let mut shared = self.0.borrow_mut();
            shared.sender_dropped = true;
            shared.waker.take()
        };
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

impl<T> Future for Receiver<T> {
    type Output = Option<T>;

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<T>> {
        let mut shared = self.0.borrow_mut();
        if let Some(value) = shared.value.take() {
            return Poll::Ready(Some(value));
        }
        if shared.sender_dropped {
            return Poll::Ready(None);
        }
        shared.waker = Some(context.waker().clone());
        Poll::Pending
    }
}
