//! Routing of calls on an entry host: choice of agents, limits and retries.

mod admission;
mod attempt;
mod budget;
mod choice;
mod health;
mod once;
mod servers;

pub use choice::RoutingPolicy;
pub use servers::ServerEntry;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use admission::Admission;
use admission::Admitted;
use admission::Rates;
use attempt::AttemptTerms;
use budget::RetryBudget;
use choice::Choice;
use servers::Chosen;
use servers::Distance;
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

/// Bounds of the jittered pause before a retry.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(5);
const LONGEST_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Where an entry host is and how it routes.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Data centre of the entry host.
    pub data_centre: DataCentreId,
    /// Region of the entry host.
    pub region: RegionId,
    /// Policy; all but the default are baselines.
    pub policy: RoutingPolicy,
    /// Most attempts for one call.
    pub max_attempts: u32,
}

impl RouterSettings {
    /// Creates the settings of an entry host.
    #[must_use]
    pub fn new(data_centre: impl Into<DataCentreId>, region: impl Into<RegionId>) -> Self {
        Self {
            data_centre: data_centre.into(),
            region: region.into(),
            policy: RoutingPolicy::default(),
            max_attempts: 3,
        }
    }

    /// Sets the policy.
    #[must_use]
    pub fn with_policy(mut self, policy: RoutingPolicy) -> Self {
        self.policy = policy;
        if policy == RoutingPolicy::NoBudget {
            self.max_attempts = 10;
        }
        self
    }
}

/// Counts of a router since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RouterCounts {
    /// Calls taken.
    pub calls: u64,
    /// Attempts sent to agents.
    pub attempts: u64,
    /// Attempts beyond the first of a call.
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
    choice: Choice,
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
            choice: Choice::new(settings.policy),
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

    /// Replaces the servers that calls can be routed to.
    ///
    /// A server that stays keeps its load and health; a new incarnation is a new server.
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

    /// Sets the rates guaranteed to customers on this entry host, in calls a second.
    pub fn set_customer_rates(&self, rates: &BTreeMap<CustomerId, f64>) {
        self.0.rates.set(rates);
    }

    /// Makes a call; the answer is complete or an error that says what is known.
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
                Repeat::Never { key } => self.call_once(&request, key, deadline, &attempts).await,
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

    /// Refuses new calls from now on; those in flight continue.
    pub fn drain(&self) {
        self.0.drain.start();
    }

    /// Waits until no call is in flight and no answer waits for its write to the store.
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

    /// Returns the bytes of calls and answers that crossed regions, by customer.
    #[must_use]
    pub fn cross_region_bytes(&self) -> BTreeMap<CustomerId, u64> {
        self.0.cross_region_bytes.borrow().clone()
    }

    fn count(&self, change: impl FnOnce(&mut RouterCounts)) {
        let mut counts = self.0.counts.get();
        change(&mut counts);
        self.0.counts.set(counts);
    }

    async fn call_unclaimed(
        &self,
        request: &CallRequest,
        deadline: Instant,
        attempts: &Cell<u32>,
    ) -> Result<BackendAnswer> {
        let (_admitted, within_rate) = self.admit(request, deadline).await?;
        let mut retries = Retries::new(request.repeat == Repeat::Always);
        loop {
            let chosen = match self.choose(request, &retries.tried, deadline) {
                Ok(chosen) => chosen,
                Err(error) => return Err(retries.final_error(error)),
            };
            let terms = AttemptTerms {
                attempt: new_attempt_id(),
                claimed: false,
                within_rate,
                deadline,
            };
            attempts.set(attempts.get() + 1);
            let error = match self.attempt(&chosen, request, terms).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            if !self
                .may_retry(&mut retries, &chosen, &error, deadline)
                .await
            {
                return Err(retries.final_error(error));
            }
        }
    }

    /// Decides whether a failed attempt is followed by another one, and waits for its turn.
    async fn may_retry(
        &self,
        retries: &mut Retries,
        chosen: &Chosen,
        error: &Error,
        deadline: Instant,
    ) -> bool {
        if !retries.note(chosen, error) || retries.made >= self.0.settings.max_attempts {
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

    fn choose(
        &self,
        request: &CallRequest,
        tried: &[Rc<Server>],
        deadline: Instant,
    ) -> Result<Chosen> {
        let servers = self.0.servers.of(&request.service);
        let time_left = deadline.saturating_duration_since(Instant::now());
        self.0.choice.choose(&servers, tried, time_left)
    }

    async fn admit(
        &self,
        request: &CallRequest,
        deadline: Instant,
    ) -> Result<(Option<Admitted>, bool)> {
        let within_rate = self.0.rates.take(&request.customer);
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
    ) -> Result<Admitted> {
        if self.0.servers.of(&request.service).is_empty() {
            return Err(Error::new(
                ErrorKind::NoBackendServer,
                format!("no backend server provides {}", request.service),
            ));
        }
        let admission = self
            .0
            .admissions
            .borrow_mut()
            .entry(request.service.clone())
            .or_default()
            .clone();
        // With no usable server left, one call at a time finds out whether that is still so.
        let capacity = self.0.servers.capacity(&request.service).max(1);
        let time_left = deadline.saturating_duration_since(Instant::now());
        admission
            .admit(&request.customer, within_rate, capacity, time_left)
            .await
    }
}

/// What one call has tried so far.
struct Retries {
    repeatable: bool,
    made: u32,
    tried: Vec<Rc<Server>>,
    unknown: Option<Error>,
    backoff: Backoff,
}

impl Retries {
    fn new(repeatable: bool) -> Self {
        Self {
            repeatable,
            made: 0,
            tried: Vec::new(),
            unknown: None,
            backoff: Backoff::new(FIRST_RETRY_DELAY, LONGEST_RETRY_DELAY),
        }
    }

    /// Notes a failed attempt; returns whether another attempt is allowed and may help.
    fn note(&mut self, chosen: &Chosen, error: &Error) -> bool {
        self.made += 1;
        self.tried.push(Rc::clone(chosen.server()));
        if error.outcome() == Outcome::NotRun {
            return is_worth_retrying(error.kind);
        }
        self.unknown = Some(error.clone());
        self.repeatable
    }

    /// Returns the error for the caller. When any attempt may have run, it is not "not run".
    fn final_error(self, last: Error) -> Error {
        match self.unknown {
            Some(unknown) if last.outcome() == Outcome::NotRun => unknown,
            _ => last,
        }
    }
}

/// Returns whether another server may accept what one has refused.
fn is_worth_retrying(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::AttemptClosed
            | ErrorKind::Draining
            | ErrorKind::NoBackendServer
            | ErrorKind::Overloaded
            | ErrorKind::Unreachable
    )
}
