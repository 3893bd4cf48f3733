//! The domain owner: runs a term whenever this process holds the lease.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use log::info;

use crate::DomainMetrics;
use crate::replica::JobReplica;
use crate::settings::DomainSettings;
use crate::term::State;
use crate::term::Term;
use crate::time::WallClock;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::clock;
use nutmegwalk_base::event;
use nutmegwalk_base::signal::Signal;
use nutmegwalk_lease::HeldLease;
use nutmegwalk_lease::Ownership;
use nutmegwalk_net::Client;
use nutmegwalk_net::spawn_restarting;
use nutmegwalk_policy::OperatorRows;
use nutmegwalk_policy::PolicyView;
use nutmegwalk_store::ChangeFeed;
use nutmegwalk_store::Follower;
use nutmegwalk_store::StoreClient;
use nutmegwalk_supervisor::PeersAnswer;
use nutmegwalk_supervisor::Report;
use nutmegwalk_supervisor::ReportAnswer;
use nutmegwalk_workload::JOB_PREFIX;

/// Interval at which the lease is checked.
const LEASE_POLL: Duration = Duration::from_millis(20);

/// Owner of a domain, which is active in the process that holds the lease.
pub struct DomainOwner {
    settings: DomainSettings,
    ownership: Rc<Ownership>,
    store: StoreClient,
    feed: Rc<dyn ChangeFeed>,
    rows: Rc<dyn OperatorRows>,
    client: Client,
    metrics: DomainMetrics,
    term: RefCell<Option<Rc<Term>>>,
    terms: Cell<u64>,
}

impl DomainOwner {
    /// Creates an owner that is active while `ownership`, the lease of the domain, is held.
    #[must_use]
    pub fn new(
        settings: DomainSettings,
        ownership: Rc<Ownership>,
        store: StoreClient,
        feed: Rc<dyn ChangeFeed>,
        rows: Rc<dyn OperatorRows>,
        client: Client,
        metrics: DomainMetrics,
    ) -> Self {
        Self {
            settings,
            ownership,
            store,
            feed,
            rows,
            client,
            metrics,
            term: RefCell::new(None),
            terms: Cell::new(0),
        }
    }

    /// Runs a term whenever the lease is held, until the task is dropped.
    pub async fn run(&self) {
        loop {
            if let Some(held) = self.ownership.current() {
                self.run_term(held).await;
            }
            compio::time::sleep(LEASE_POLL).await;
        }
    }

    /// Applies an agent's report and returns the answer.
    ///
    /// # Errors
    /// `stale_epoch` when this process is not the owner; `stale_view` when it has not read the jobs yet.
    pub fn handle_report(&self, report: &Report) -> Result<ReportAnswer> {
        let term = self.term.borrow().clone();
        match term {
            Some(term) if !term.is_loaded.get() => {
                let detail = "the owner is reading the jobs";
                Err(Error::new(ErrorKind::StaleView, detail))
            }
            Some(term) if !term.is_superseded() => Ok(term.apply_report(report)),
            _ if self.ownership.current().is_some() => {
                let detail = "the owner's term is about to begin";
                Err(Error::new(ErrorKind::StaleView, detail))
            }
            _ => {
                let detail = "this process does not own the domain";
                Err(Error::new(ErrorKind::StaleEpoch, detail))
            }
        }
    }

    /// Returns agents that can relay requests to the store.
    ///
    /// # Errors
    /// `stale_epoch` when this process is not the owner.
    pub fn peers(&self) -> Result<PeersAnswer> {
        match &*self.term.borrow() {
            Some(term) => Ok(PeersAnswer {
                peers: term.peers(),
            }),
            None => {
                let detail = "this process does not own the domain";
                Err(Error::new(ErrorKind::StaleEpoch, detail))
            }
        }
    }

    /// Returns whether a term is active in this process.
    #[must_use]
    pub fn has_active_term(&self) -> bool {
        self.term.borrow().is_some()
    }

    /// Runs one term, until another process takes over or the lease is released.
    async fn run_term(&self, held: HeldLease) {
        self.terms.set(self.terms.get() + 1);
        info!(target: event::TERM_BEGUN, domain = &*self.settings.domain, epoch = held.epoch; "");
        let policy = PolicyView::new(Rc::clone(&self.feed), Rc::clone(&self.rows));
        let wake = Signal::new();
        policy.subscribe(wake.clone());
        let jobs = Rc::new(Follower::new(Rc::clone(&self.feed), JOB_PREFIX));
        let term = Rc::new(Term {
            settings: self.settings.clone(),
            held,
            ownership: Rc::clone(&self.ownership),
            store: self.store.clone(),
            client: self.client.clone(),
            policy: policy.clone(),
            jobs: Rc::clone(&jobs),
            metrics: self.metrics.clone(),
            started_at: clock::now(),
            wall_clock: WallClock::new(),
            state: RefCell::new(State::new(self.settings.health)),
            wake,
            is_loaded: Cell::new(false),
            decisions: Cell::new(0),
        });
        *self.term.borrow_mut() = Some(Rc::clone(&term));
        let replica = Rc::new(JobReplica::new(Rc::clone(&term)));
        let feed = Rc::clone(&self.feed);
        let (planner, cleaner) = (Rc::clone(&term), Rc::clone(&term));
        let tasks = [
            spawn_restarting("policy", move || {
                let policy = policy.clone();
                async move { policy.run().await }
            }),
            spawn_restarting("jobs", move || {
                let (feed, jobs, replica) =
                    (Rc::clone(&feed), Rc::clone(&jobs), Rc::clone(&replica));
                async move {
                    replica.read_parts(&*feed).await;
                    jobs.run(&*replica).await;
                }
            }),
            spawn_restarting("planner", move || Rc::clone(&planner).run_planner()),
            spawn_restarting("cleaner", move || Rc::clone(&cleaner).clean_up()),
        ];
        // A lease that lapsed during an outage can still be renewed with the same epoch, so the term ends only
        // when another process has taken over or the lease was released.
        while !term.is_superseded() && !self.is_released(&held) {
            compio::time::sleep(LEASE_POLL).await;
        }
        drop(tasks);
        *self.term.borrow_mut() = None;
        info!(target: event::TERM_ENDED, domain = &*self.settings.domain, epoch = held.epoch; "");
    }

    /// Returns whether the lease row was released with the epoch of `held`.
    fn is_released(&self, held: &HeldLease) -> bool {
        self.ownership
            .lease_row()
            .is_some_and(|owner| owner.is_released() && owner.epoch == held.epoch)
    }
}
