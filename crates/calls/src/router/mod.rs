//! Routing of calls on an entry host: admission, server selection and retries.

mod admission;
mod at_most_once;
mod attempt;
mod budget;
mod health;
mod selector;
mod servers;

pub use selector::RoutingPolicy;
pub use servers::ServerEntry;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use admission::Admission;
use admission::AdmissionPermit;
use admission::Rates;
use attempt::AttemptParams;
use budget::RetryBudget;
use selector::ServerSelector;
use servers::Distance;
use servers::SelectedServer;
use servers::Server;
use servers::Servers;

use crate::BackendAnswer;
use crate::CallAnswer;
use crate::CallRequest;
use crate::Claims;
use crate::Repeat;
use crate::new_attempt_id;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::RegionId;
use nutmegwalk_base::Result;
use nutmegwalk_base::ServiceId;
use nutmegwalk_base::backoff::Backoff;
use nutmegwalk_net::Client;
use nutmegwalk_net::Drain;

/// Bounds of the backoff with jitter before a retry.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(5);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Location of an entry host and its routing policy.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Data centre of the entry host.
    pub data_centre: DataCentreId,
    /// Region of the entry host.
    pub region: RegionId,
    /// Routing policy; all but the default are baselines.
    pub policy: RoutingPolicy,
    /// Maximum number of attempts for one call.
    pub max_attempts: u32,
}

impl RouterSettings {
    /// Creates settings with the default policy for an entry host in `data_centre` and `region`.
    #[must_use]
    pub fn new(data_centre: impl Into<DataCentreId>, region: impl Into<RegionId>) -> Self {
        Self {
            data_centre: data_centre.into(),
            region: region.into(),
            policy: RoutingPolicy::default(),
            max_attempts: 3,
        }
    }

    /// Sets the policy; `NoBudget` also raises the maximum number of attempts.
    #[must_use]
    pub fn with_policy(mut self, policy: RoutingPolicy) -> Self {
        self.policy = policy;
        if policy == RoutingPolicy::NoBudget {
            self.max_attempts = 10;
        }
        self
    }
}

/// Numbers of calls and attempts of a router since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RouterCounts {
    /// Calls received.
    pub calls: u64,
    /// Attempts sent to agents.
    pub attempts: u64,
    /// Retries after a failed attempt, except those of an attempt that a duplicate of the call closed.
    pub retries: u64,
    /// Retries that the budget did not allow.
    pub retries_denied: u64,
    /// Calls refused before any attempt.
    pub refused: u64,
}

struct Inner {
    client: Client,
    settings: RouterSettings,
    claims: Option<Claims>,
    servers: Servers,
    selector: ServerSelector,
    budget: RetryBudget,
    rates: Rates,
    admissions: RefCell<BTreeMap<ServiceId, Admission>>,
    cross_region_bytes: RefCell<BTreeMap<CustomerId, u64>>,
    counts: Cell<RouterCounts>,
    drain: Drain,
}

/// Routes calls to the agents of backend servers; clones share all state.
#[derive(Clone)]
pub struct Router(Rc<Inner>);

impl Router {
    /// Creates a router without servers. Without `claims`, requests marked `never` are refused.
    #[must_use]
    pub fn new(client: Client, settings: RouterSettings, claims: Option<Claims>) -> Self {
        Self(Rc::new(Inner {
            client,
            selector: ServerSelector::new(settings.policy),
            settings,
            claims,
            servers: Servers::default(),
            budget: RetryBudget::new(),
            rates: Rates::default(),
            admissions: RefCell::default(),
            cross_region_bytes: RefCell::default(),
            counts: Cell::default(),
            drain: Drain::new(),
        }))
    }

    /// Replaces the entries of the routing table.
    ///
    /// A server that is already in the table keeps its health and a recent load from an answer. A new
    /// incarnation counts as a new server.
    pub fn update_servers(&self, entries: Vec<ServerEntry>) {
        let settings = &self.0.settings;
        self.0.servers.update(entries, |entry| {
            if entry.data_centre == settings.data_centre {
                Distance::SameDataCentre
            } else if entry.region == settings.region {
                Distance::SameRegion
            } else {
                Distance::OtherRegion
            }
        });
    }

    /// Sets the rates guaranteed to customers on this entry host, in calls per second.
    pub fn set_customer_rates(&self, rates: &BTreeMap<CustomerId, f64>) {
        self.0.rates.set(rates);
    }

    /// Makes a call and returns the complete answer or an error with the outcome.
    pub async fn call(&self, request: CallRequest) -> CallAnswer {
        self.count(|counts| counts.calls += 1);
        let attempts = Cell::new(0);
        let result = if self.0.drain.is_started() {
            self.count(|counts| counts.refused += 1);
            Err(Error::new(
                ErrorKind::Draining,
                "the entry host is shutting down",
            ))
        } else {
            let _in_flight = self.0.drain.enter();
            let deadline = Instant::now() + request.deadline;
            match &request.repeat {
                Repeat::Never { key } => {
                    self.call_at_most_once(&request, key, deadline, &attempts)
                        .await
                }
                Repeat::Unmarked | Repeat::Always => {
                    self.call_unclaimed(&request, deadline, &attempts).await
                }
            }
        };
        CallAnswer {
            request_id: request.request_id,
            result,
            attempts: attempts.get(),
        }
    }

    /// Refuses new calls from now on; calls in flight continue.
    pub fn drain(&self) {
        self.0.drain.start();
    }

    /// Waits until no call is in flight and no write of an answer to the store is pending.
    pub async fn idle(&self) {
        self.0.drain.idle().await;
        if let Some(claims) = &self.0.claims {
            claims.idle().await;
        }
    }

    /// Returns the counts since the start.
    #[must_use]
    pub fn counts(&self) -> RouterCounts {
        self.0.counts.get()
    }

    /// Returns the number of body bytes of calls and answers that were sent between regions, by customer.
    #[must_use]
    pub fn cross_region_bytes(&self) -> BTreeMap<CustomerId, u64> {
        self.0.cross_region_bytes.borrow().clone()
    }

    fn count(&self, change: impl FnOnce(&mut RouterCounts)) {
        let mut counts = self.0.counts.get();
        change(&mut counts);
        self.0.counts.set(counts);
    }

    /// Makes a call that is not marked as non-repeatable.
    async fn call_unclaimed(
        &self,
        request: &CallRequest,
        deadline: Instant,
        attempts: &Cell<u32>,
    ) -> Result<BackendAnswer> {
        let (_permit, within_rate) = self.admit(request, deadline).await?;
        let mut retries = RetryState::new(request.repeat == Repeat::Always);
        loop {
            let selected = match self.select_server(request, &retries.tried, deadline) {
                Ok(selected) => selected,
                Err(error) => return Err(retries.final_error(error)),
            };
            let params = AttemptParams {
                attempt: new_attempt_id(),
                claimed: false,
                within_rate,
                deadline,
            };
            attempts.set(attempts.get() + 1);
            let error = match self.attempt(&selected, request, params).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            if !self
                .prepare_retry(&mut retries, &selected, &error, deadline)
                .await
            {
                return Err(retries.final_error(error));
            }
        }
    }

    /// Decides whether a failed attempt is retried and waits for the backoff before the retry.
    async fn prepare_retry(
        &self,
        retries: &mut RetryState,
        selected: &SelectedServer,
        error: &Error,
        deadline: Instant,
    ) -> bool {
        if !retries.record_failure(selected, error)
            || retries.attempts_made >= self.0.settings.max_attempts
        {
            return false;
        }
        let with_budget = self.0.settings.policy != RoutingPolicy::NoBudget;
        if with_budget && !self.0.budget.take_retry() {
            self.count(|counts| counts.retries_denied += 1);
            return false;
        }
        let delay = retries.backoff.next_delay();
        if Instant::now() + delay >= deadline {
            return false;
        }
        compio::time::sleep(delay).await;
        self.count(|counts| counts.retries += 1);
        true
    }

    fn select_server(
        &self,
        request: &CallRequest,
        tried: &[Rc<Server>],
        deadline: Instant,
    ) -> Result<SelectedServer> {
        let servers = self.0.servers.for_service(&request.service);
        let time_left = deadline.saturating_duration_since(Instant::now());
        self.0.selector.select_server(&servers, tried, time_left)
    }

    /// Admits a call according to the policy; also returns whether the customer is within its rate.
    async fn admit(
        &self,
        request: &CallRequest,
        deadline: Instant,
    ) -> Result<(Option<AdmissionPermit>, bool)> {
        let within_rate = self.0.rates.take_token(&request.customer);
        self.0.budget.record_call();
        let admitted = if self.0.settings.policy == RoutingPolicy::NoBudget {
            Ok(None)
        } else {
            self.admit_fairly(request, within_rate, deadline)
                .await
                .map(Some)
        };
        if admitted.is_err() {
            self.count(|counts| counts.refused += 1);
        }
        Ok((admitted?, within_rate))
    }

    async fn admit_fairly(
        &self,
        request: &CallRequest,
        within_rate: bool,
        deadline: Instant,
    ) -> Result<AdmissionPermit> {
        if self.0.servers.for_service(&request.service).is_empty() {
            return Err(Error::new(
                ErrorKind::NoBackendServer,
                format!("no backend server provides the service {}", request.service),
            ));
        }
        let admission = self
            .0
            .admissions
            .borrow_mut()
            .entry(request.service.clone())
            .or_default()
            .clone();
        // If no server is usable, one call at a time is admitted, to detect that one is usable again.
        let capacity = self.0.servers.capacity(&request.service).max(1);
        let time_left = deadline.saturating_duration_since(Instant::now());
        admission
            .admit(&request.customer, within_rate, capacity, time_left)
            .await
    }
}

/// Retry state of one call.
struct RetryState {
    repeatable: bool,
    attempts_made: u32,
    tried: Vec<Rc<Server>>,
    unknown: Option<Error>,
    backoff: Backoff,
}

impl RetryState {
    fn new(repeatable: bool) -> Self {
        Self {
            repeatable,
            attempts_made: 0,
            tried: Vec::new(),
            unknown: None,
            backoff: Backoff::new(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY),
        }
    }

    /// Records a failed attempt; returns whether another attempt is allowed and may succeed.
    fn record_failure(&mut self, selected: &SelectedServer, error: &Error) -> bool {
        self.attempts_made += 1;
        self.tried.push(Rc::clone(selected.server()));
        if error.outcome() == Outcome::NotRun {
            return is_retryable(error.kind);
        }
        self.unknown = Some(error.clone());
        self.repeatable
    }

    /// Returns the error for the caller. Its outcome is not `not_run` if any attempt may have run.
    fn final_error(self, last: Error) -> Error {
        match self.unknown {
            Some(unknown) if last.outcome() == Outcome::NotRun => unknown,
            _ => last,
        }
    }
}

/// Returns whether another server may accept a call that one server refused with `kind`.
fn is_retryable(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::AttemptClosed
            | ErrorKind::Draining
            | ErrorKind::NoBackendServer
            | ErrorKind::Overloaded
            | ErrorKind::Unreachable
    )
}
