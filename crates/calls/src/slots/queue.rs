//! Slots of one backend server and the bounded queue of calls that wait for them.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::Load;
use crate::oneshot;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// Weight of the newest observation in the exponential moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

#[derive(Debug)]
struct Waiter {
    id: u64,
    within_rate: bool,
    sender: oneshot::Sender<Result<Slot>>,
}

#[derive(Debug)]
struct State {
    slots: u32,
    in_use: u32,
    queue_limit: usize,
    service_us: f64,
    waiters: VecDeque<Waiter>,
    last_id: u64,
    closed: Option<Error>,
}

/// Allocates the slots of one backend server; clones share them.
#[derive(Clone, Debug)]
pub(super) struct SlotQueue(Rc<RefCell<State>>);

/// A slot in use. Dropping it records the service time and passes the slot to the next waiter.
#[derive(Debug)]
pub(super) struct Slot {
    queue: SlotQueue,
    since: Instant,
}

impl Drop for Slot {
    fn drop(&mut self) {
        {
            let mut state = self.queue.0.borrow_mut();
            let observed_us = self.since.elapsed().as_secs_f64() * 1e6;
            state.service_us = if state.service_us == 0.0 {
                observed_us
            } else {
                state.service_us + SERVICE_TIME_WEIGHT * (observed_us - state.service_us)
            };
            debug_assert!(state.in_use > 0);
            state.in_use -= 1;
        }
        self.queue.grant();
    }
}

/// Removes the waiter `id` from the queue on drop.
struct WaiterGuard<'a> {
    queue: &'a SlotQueue,
    id: u64,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        let removed = {
            let mut state = self.queue.0.borrow_mut();
            let position = state.waiters.iter().position(|waiter| waiter.id == self.id);
            position.and_then(|position| state.waiters.remove(position))
        };
        drop(removed);
    }
}

impl SlotQueue {
    /// Creates a queue of at most `queue_limit` waiters for `slots` slots.
    pub(super) fn new(slots: u32, queue_limit: usize) -> Self {
        Self(Rc::new(RefCell::new(State {
            slots,
            in_use: 0,
            queue_limit,
            service_us: 0.0,
            waiters: VecDeque::new(),
            last_id: 0,
            closed: None,
        })))
    }

    /// Changes the number of slots; free slots are passed to waiters immediately.
    pub(super) fn set_slots(&self, slots: u32) {
        self.0.borrow_mut().slots = slots;
        self.grant();
    }

    /// Refuses all waiters and all later callers with `error`.
    pub(super) fn close(&self, error: &Error) {
        let waiters = {
            let mut state = self.0.borrow_mut();
            state.closed = Some(error.clone());
            std::mem::take(&mut state.waiters)
        };
        for waiter in waiters {
            let _ = waiter.sender.send(Err(error.clone()));
        }
    }

    /// Returns the current load.
    pub(super) fn load(&self) -> Load {
        let state = self.0.borrow();
        Load {
            slots: state.slots,
            in_use: state.in_use,
            queued: u32::try_from(state.waiters.len()).unwrap_or(u32::MAX),
            queue_limit: u32::try_from(state.queue_limit).unwrap_or(u32::MAX),
            service_us: state.service_us as u64,
        }
    }

    /// Waits for a slot until `deadline`.
    ///
    /// A call within its customer's rate is queued ahead of all calls beyond their customer's rate. If the
    /// queue is full, it evicts the newest of those.
    ///
    /// # Errors
    /// `overloaded` with a retry hint, immediately when the queue is full or the deadline cannot be met, or
    /// later when the call is evicted from the queue; `deadline_exceeded` when no slot became free in time;
    /// the error passed to [`SlotQueue::close`] when the queue was closed.
    pub(super) async fn acquire(&self, within_rate: bool, deadline: Instant) -> Result<Slot> {
        let (id, receiver) = match self.acquire_or_enqueue(within_rate, deadline)? {
            Acquisition::Slot(slot) => return Ok(slot),
            Acquisition::Waiting(id, receiver) => (id, receiver),
        };
        let guard = WaiterGuard { queue: self, id };
        let time_left = deadline.saturating_duration_since(Instant::now());
        let result = match compio::time::timeout(time_left, receiver).await {
            Ok(Some(result)) => result,
            Ok(None) | Err(_) => Err(Error::new(
                ErrorKind::DeadlineExceeded,
                "no slot became free before the deadline",
            )),
        };
        drop(guard);
        result
    }

    /// Allocates a free slot or adds a waiter to the queue.
    fn acquire_or_enqueue(&self, within_rate: bool, deadline: Instant) -> Result<Acquisition> {
        let mut state = self.0.borrow_mut();
        if let Some(error) = &state.closed {
            return Err(error.clone());
        }
        if state.in_use < state.slots && state.waiters.is_empty() {
            state.in_use += 1;
            return Ok(Acquisition::Slot(self.slot()));
        }
        let position = if within_rate {
            let first_beyond_rate = state.waiters.iter().position(|waiter| !waiter.within_rate);
            first_beyond_rate.unwrap_or(state.waiters.len())
        } else {
            state.waiters.len()
        };
        let wait = state.expected_wait(position);
        let service = Duration::from_micros(state.service_us as u64);
        let time_left = deadline.saturating_duration_since(Instant::now());
        if wait + service > time_left {
            return Err(overloaded("the deadline cannot be met", wait));
        }
        let mut evicted = None;
        if state.waiters.len() >= state.queue_limit {
            if !within_rate || position == state.waiters.len() {
                return Err(overloaded("the queue is full", wait));
            }
            evicted = state.waiters.pop_back();
        }
        state.last_id += 1;
        let id = state.last_id;
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            id,
            within_rate,
            sender,
        };
        state.waiters.insert(position, waiter);
        drop(state);
        if let Some(waiter) = evicted {
            let error = overloaded("evicted from the queue by a call within its rate", wait);
            let _ = waiter.sender.send(Err(error));
        }
        Ok(Acquisition::Waiting(id, receiver))
    }

    fn slot(&self) -> Slot {
        Slot {
            queue: self.clone(),
            since: Instant::now(),
        }
    }

    /// Passes free slots to waiters, in the order of the queue.
    fn grant(&self) {
        loop {
            let waiter = {
                let mut state = self.0.borrow_mut();
                if state.in_use >= state.slots {
                    return;
                }
                let Some(waiter) = state.waiters.pop_front() else {
                    return;
                };
                if waiter.sender.is_canceled() {
                    continue;
                }
                state.in_use += 1;
                waiter
            };
            // If the receiver was dropped, `send` returns the slot, and dropping it releases it.
            let _ = waiter.sender.send(Ok(self.slot()));
        }
    }
}

/// Result of a request for a slot.
enum Acquisition {
    /// A slot was free.
    Slot(Slot),
    /// The waiter with this id was queued and receives its slot from the receiver.
    Waiting(u64, oneshot::Receiver<Result<Slot>>),
}

impl State {
    /// Estimates the wait for a slot behind `waiters_ahead` waiters, from the mean service time.
    fn expected_wait(&self, waiters_ahead: usize) -> Duration {
        let rounds = (waiters_ahead + 1) as f64 / f64::from(self.slots.max(1));
        Duration::from_secs_f64(rounds * self.service_us / 1e6)
    }
}

fn overloaded(detail: &str, retry_after: Duration) -> Error {
    let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
    Error::new(ErrorKind::Overloaded, detail).with_retry_after_ms(retry_after_ms.max(1))
}
