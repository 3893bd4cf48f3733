//! Fair admission of the customers' calls to a service on an entry host.

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

/// Maximum number of calls within their customer's rate that wait for admission to a service.
const MAX_WAITING: usize = 256;
/// Share of the capacity, in eighths, that is available to calls beyond their customer's rate. The rest
/// is reserved, so that a call within its rate can start without waiting for the end of another call.
const BEYOND_RATE_EIGHTHS: usize = 7;
/// Retry hint for a refused caller: a call typically ends within this time.
const RETRY_AFTER_MS: u64 = 50;

/// Token buckets with the guaranteed rates of all customers on this entry host.
#[derive(Debug, Default)]
pub(super) struct Rates(RefCell<BTreeMap<CustomerId, TokenBucket>>);

#[derive(Debug)]
struct TokenBucket {
    per_second: f64,
    tokens: f64,
    last_refill: Instant,
}

impl Rates {
    /// Sets the rates, in calls per second; a customer without an entry has no guaranteed rate.
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
                    last_refill: Instant::now(),
                });
            bucket.per_second = per_second;
        }
    }

    /// Takes a token for a call; returns whether the customer is within its rate.
    pub(super) fn take_token(&self, customer: &str) -> bool {
        let mut buckets = self.0.borrow_mut();
        let Some(bucket) = buckets.get_mut(customer) else {
            return false;
        };
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(bucket.last_refill);
        bucket.last_refill = now;
        // The bucket holds the tokens of one second, which limits the size of a burst.
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
    waiting: VecDeque<(CustomerId, oneshot::Sender<AdmissionPermit>)>,
}

/// Admission to one service; clones share the state.
#[derive(Clone, Debug, Default)]
pub(super) struct Admission(Rc<RefCell<State>>);

/// Permit of an admitted call; dropping it admits the next waiting call.
#[derive(Debug)]
pub(super) struct AdmissionPermit {
    admission: Admission,
    customer: CustomerId,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.admission.0.borrow_mut().leave(&self.customer);
        self.admission.admit_next();
    }
}

impl Admission {
    /// Admits a call to a service for which `capacity` is the target number of concurrent calls.
    ///
    /// A call within its customer's rate waits for up to `time_left` until there is capacity.
    ///
    /// # Errors
    /// `overloaded` immediately for a call beyond its customer's rate, when the capacity or the customer's
    /// share of it is used up or calls within their rate wait, and for a call within its rate, when
    /// [`MAX_WAITING`] calls wait already; `deadline_exceeded` for a call that was not admitted in time.
    pub(super) async fn admit(
        &self,
        customer: &str,
        within_rate: bool,
        capacity: usize,
        time_left: Duration,
    ) -> Result<AdmissionPermit> {
        let receiver = {
            let mut state = self.0.borrow_mut();
            state.waiting.retain(|(_, sender)| !sender.is_canceled());
            let admissible = if within_rate {
                state.waiting.is_empty() && state.in_flight < capacity
            } else {
                state.waiting.is_empty() && state.has_capacity_beyond_rate(customer, capacity)
            };
            if admissible {
                state.enter(customer);
                return Ok(self.permit(customer));
            }
            if !within_rate || state.waiting.len() >= MAX_WAITING {
                let detail = format!(
                    "the service is busy and customer {customer} has used up its share of it"
                );
                return Err(
                    Error::new(ErrorKind::Overloaded, detail).with_retry_after_ms(RETRY_AFTER_MS)
                );
            }
            let (sender, receiver) = oneshot::channel();
            state.waiting.push_back((customer.into(), sender));
            receiver
        };
        match compio::time::timeout(time_left, receiver).await {
            Ok(Some(permit)) => Ok(permit),
            Ok(None) | Err(_) => Err(Error::new(
                ErrorKind::DeadlineExceeded,
                "the call was not admitted before its deadline",
            )),
        }
    }

    fn permit(&self, customer: &str) -> AdmissionPermit {
        AdmissionPermit {
            admission: self.clone(),
            customer: customer.into(),
        }
    }

    /// Admits the first waiting call whose caller still waits.
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
            // If the receiver was dropped, `send` returns the permit, and dropping it releases it.
            let _ = sender.send(self.permit(&customer));
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

    /// Returns whether a customer beyond its rate may start a call.
    ///
    /// It may use all capacity that is available to such calls until half of that is in use, and from
    /// then on only an equal share among the customers that have calls in flight.
    fn has_capacity_beyond_rate(&self, customer: &str, capacity: usize) -> bool {
        let available = (capacity * BEYOND_RATE_EIGHTHS / 8).max(1);
        if self.in_flight >= available {
            return false;
        }
        if self.in_flight < available / 2 {
            return true;
        }
        let customer_calls = self.by_customer.get(customer).copied().unwrap_or(0);
        let other_customers = self.by_customer.len() - usize::from(customer_calls > 0);
        customer_calls < available.div_ceil(other_customers + 1)
    }
}
