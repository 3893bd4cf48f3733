//! Fair admission of customers to one service on an entry host.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::oneshot;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// Calls within their customer's rate that may wait for admission.
const MAX_WAITING: usize = 256;
/// Share of the capacity, in eighths, that is open to calls beyond their customer's rate. The rest
/// lets a call within its rate start without waiting for one of those to end.
const OPEN_EIGHTHS: usize = 7;
/// Hint for a refused caller: one call typically ends within this time.
const RETRY_AFTER_MS: u64 = 50;

/// Guaranteed rates of all customers on this entry host.
#[derive(Debug, Default)]
pub(super) struct Rates(RefCell<BTreeMap<CustomerId, TokenBucket>>);

#[derive(Debug)]
struct TokenBucket {
    per_second: f64,
    tokens: f64,
    filled: Instant,
}

impl Rates {
    /// Sets the rates in calls a second; a customer that is not named has none.
    pub(super) fn set(&self, rates: &BTreeMap<CustomerId, f64>) {
        let mut buckets = self.0.borrow_mut();
        buckets.retain(|customer, _| rates.contains_key(customer));
        for (customer, rate) in rates {
            let per_second = rate.max(0.0);
            let bucket = buckets
                .entry(customer.clone())
                .or_insert_with(|| TokenBucket {
                    per_second,
                    tokens: per_second.max(1.0),
                    filled: Instant::now(),
                });
            bucket.per_second = per_second;
        }
    }

    /// Counts a call; returns whether the customer is within its rate.
    pub(super) fn take(&self, customer: &str) -> bool {
        let mut buckets = self.0.borrow_mut();
        let Some(bucket) = buckets.get_mut(customer) else {
            return false;
        };
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(bucket.filled);
        bucket.filled = now;
        // One second's worth may be used in a burst.
        let limit = bucket.per_second.max(1.0);
        bucket.tokens = (bucket.tokens + elapsed.as_secs_f64() * bucket.per_second).min(limit);
        if bucket.per_second <= 0.0 || bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }
}

#[derive(Debug, Default)]
struct State {
    in_flight: usize,
    by_customer: BTreeMap<CustomerId, usize>,
    waiting: VecDeque<(CustomerId, oneshot::Sender<Admitted>)>,
}

/// Admission to one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Admission(Rc<RefCell<State>>);

/// A call that was admitted; dropping it admits the next one.
#[derive(Debug)]
pub(super) struct Admitted {
    admission: Admission,
    customer: CustomerId,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.admission.0.borrow_mut().leave(&self.customer);
        self.admission.admit_next();
    }
}

impl Admission {
    /// Admits a call, if `capacity` calls at once are sensible for the service.
    ///
    /// # Errors
    /// `overloaded` at once for a call beyond its customer's rate when the capacity or the customer's
    /// share of it is used up or others within their rate wait; `deadline_exceeded` for a call that
    /// waited in vain.
    pub(super) async fn admit(
        &self,
        customer: &str,
        within_rate: bool,
        capacity: usize,
        time_left: Duration,
    ) -> Result<Admitted> {
        let receiver = {
            let mut state = self.0.borrow_mut();
            state.waiting.retain(|(_, sender)| !sender.is_canceled());
            let admissible = if within_rate {
                state.waiting.is_empty() && state.in_flight < capacity
            } else {
                state.waiting.is_empty() && state.has_room_beyond_rate(customer, capacity)
            };
            if admissible {
                state.enter(customer);
                return Ok(self.admitted(customer));
            }
            if !within_rate || state.waiting.len() >= MAX_WAITING {
                let detail = format!("{customer} has used up its share of a busy service");
                return Err(
                    Error::new(ErrorKind::Overloaded, detail).with_retry_after_ms(RETRY_AFTER_MS)
                );
            }
            let (sender, receiver) = oneshot::channel();
            state.waiting.push_back((customer.into(), sender));
            receiver
        };
        match compio::time::timeout(time_left, receiver).await {
            Ok(Some(admitted)) => Ok(admitted),
            Ok(None) | Err(_) => Err(Error::new(
                ErrorKind::DeadlineExceeded,
                "the call was not admitted before its deadline",
            )),
        }
    }

    fn admitted(&self, customer: &str) -> Admitted {
        Admitted {
            admission: self.clone(),
            customer: customer.into(),
        }
    }

    fn admit_next(&self) {
        let next = {
            let mut state = self.0.borrow_mut();
            let next = loop {
                match state.waiting.pop_front() {
                    Some((_, sender)) if sender.is_canceled() => {}
                    next => break next,
                }
            };
            if let Some((customer, _)) = &next {
                state.enter(customer);
            }
            next
        };
        if let Some((customer, sender)) = next {
            // An admission that is given back here is released by its drop.
            let _ = sender.send(self.admitted(&customer));
        }
    }
}

impl State {
    fn enter(&mut self, customer: &str) {
        self.in_flight += 1;
        *self.by_customer.entry(customer.into()).or_default() += 1;
    }

    fn leave(&mut self, customer: &str) {
        debug_assert!(self.in_flight > 0);
        self.in_flight -= 1;
        if let Some(count) = self.by_customer.get_mut(customer) {
            *count -= 1;
            if *count == 0 {
                self.by_customer.remove(customer);
            }
        }
    }

    /// A customer beyond its rate may use what is open, but once half of that is in use no more than
    /// an equal share among the customers that have calls in flight.
    fn has_room_beyond_rate(&self, customer: &str, capacity: usize) -> bool {
        let open = (capacity * OPEN_EIGHTHS / 8).max(1);
        if self.in_flight >= open {
            return false;
        }
        if self.in_flight < open / 2 {
            return true;
        }
        let own = self.by_customer.get(customer).copied().unwrap_or(0);
        let others = self.by_customer.len() - usize::from(own > 0);
        own < open.div_ceil(others + 1)
    }
}
