//! Runs a scenario against a deployment and judges what it showed.

mod calls;
mod figures;
mod jobs;
mod judge;
mod operate;
mod state;
mod steps;
mod table;
mod watch;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use log::info;

use crate::deployment::ApiClient;
use crate::deployment::Deployment;
use crate::deployment::DeploymentPlan;
use crate::deployment::PLATFORM_GROUP;
use crate::dev;
use crate::measures::Measures;
use crate::runner::calls::CallRun;
use crate::runner::jobs::JobRun;
use crate::runner::operate::OperatorAnswer;
use crate::runner::table::Table;
use crate::runner::watch::Watch;
use crate::script::Expectation;
use crate::script::Scenario;
use crate::script::State;
pub use judge::Evidence;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;

/// Time between two looks at a state that something waits for.
const STATE_POLL: Duration = Duration::from_millis(20);
/// Time added to the scenario's limit before a step or a call that hangs is given up.
const GRACE: Duration = Duration::from_secs(10);

/// Result of a run.
pub struct Report {
    /// Figures and numbers of violations.
    pub measures: Measures,
    /// What shows each violation.
    pub evidence: Evidence,
    /// Answers to calls that were not the caller's own body, and ends of jobs that did not finish, with
    /// how often each was seen.
    pub other_ends: BTreeMap<String, u64>,
}

/// A scenario while it runs.
struct Run {
    scenario: Rc<Scenario>,
    seed: u64,
    deployment: RefCell<Deployment>,
    operator: ApiClient,
    started: Instant,
    jobs: RefCell<Vec<JobRun>>,
    calls: RefCell<Vec<CallRun>>,
    watch: RefCell<Watch>,
    operator_answers: RefCell<Vec<OperatorAnswer>>,
    operators_busy: Cell<usize>,
    cancels_repeated: Cell<u32>,
    steps_done: Cell<bool>,
    ended: Cell<bool>,
    /// Processes that steps have frozen.
    paused: RefCell<BTreeSet<Box<str>>>,
    /// Workers whose agents steps have killed or stopped.
    down: RefCell<BTreeSet<WorkerId>>,
    /// Restarts of each process by steps.
    restarts: RefCell<BTreeMap<Box<str>, u32>>,
    /// Entry hosts to which the platform's balancer sends callers.
    balanced: RefCell<BTreeSet<usize>>,
    cuts: RefCell<Vec<(Box<str>, Box<str>)>>,
    /// Problems of the run itself, such as a step whose state was never reached.
    problems: RefCell<Vec<String>>,
}

/// Runs `scenario` with a load of `seed`.
///
/// # Errors
/// Those of a deployment that cannot be started or does not become ready.
pub async fn run(scenario: Rc<Scenario>, seed: u64) -> Result<Report> {
    let part = &scenario.deployment;
    let plan = DeploymentPlan {
        configuration: scenario.configuration.clone(),
        entries: part.entries,
        policy: part.policy,
        service_time: Duration::from_millis(part.service_time_ms),
        seed,
    };
    let deployment = Deployment::start(plan)?;
    set_region_delay(&deployment, Duration::from_millis(part.region_delay_ms));
    let operator = dev::publish(&deployment).await?;
    dev::wait_until_ready(&deployment, &operator).await?;
    info!(scenario = &*scenario.name; "the deployment is ready");
    let run = Rc::new(Run {
        jobs: RefCell::new(jobs::plan(&scenario, seed)?),
        calls: RefCell::new(calls::plan(&scenario, seed)?),
        deployment: RefCell::new(deployment),
        operator,
        started: Instant::now(),
        seed,
        watch: RefCell::default(),
        operator_answers: RefCell::default(),
        operators_busy: Cell::new(0),
        cancels_repeated: Cell::new(0),
        steps_done: Cell::new(false),
        ended: Cell::new(false),
        paused: RefCell::default(),
        down: RefCell::default(),
        restarts: RefCell::default(),
        balanced: RefCell::new((0..scenario.deployment.entries).collect()),
        cuts: RefCell::default(),
        problems: RefCell::default(),
        scenario,
    });
    run.execute().await;
    Ok(run.judge())
}

fn set_region_delay(deployment: &Deployment, delay: Duration) {
    if delay.is_zero() {
        return;
    }
    let sites = deployment.plan().configuration.data_centres.values();
    let regions: BTreeSet<&str> = sites.map(|site| &*site.region).collect();
    for one in &regions {
        for other in regions.iter().filter(|other| *other != one) {
            deployment.links.set_delay(one, other, delay);
        }
        deployment
            .links
            .set_delay(one, PLATFORM_GROUP, Duration::ZERO);
    }
}

impl Run {
    /// Drives load and steps until everything has ended or the limit has passed.
    async fn execute(self: &Rc<Self>) {
        self.spawn_watch();
        self.spawn_jobs();
        self.spawn_calls();
        let expectations: Vec<_> = (0..self.scenario.expectations.len())
            .map(|index| {
                let run = Rc::clone(self);
                compio::runtime::spawn(async move { run.await_expectation(index).await })
            })
            .collect();
        let run = Rc::clone(self);
        let steps = compio::runtime::spawn(async move { run.run_steps().await });
        let _ = steps.await;
        self.steps_done.set(true);
        join_all(expectations).await;
        let all = [
            State::AllJobsEnded,
            State::AllCallsAnswered,
            State::OperatorsAnswered,
        ];
        let limit = self.scenario.limit.max(self.started.elapsed()) + GRACE;
        while !all.iter().all(|state| self.has_reached(state)) && self.started.elapsed() < limit {
            compio::time::sleep(STATE_POLL).await;
        }
        self.ended.set(true);
    }

    /// Waits for the expectation with this index, if it is a state.
    async fn await_expectation(&self, index: usize) {
        let Expectation::Reached { state, within } = &self.scenario.expectations[index] else {
            return;
        };
        while !(self.steps_done.get() && self.has_reached(state)) {
            if self.started.elapsed() > *within {
                let problem = format!("expected {state:?} within {within:?}");
                self.problems.borrow_mut().push(problem);
                return;
            }
            compio::time::sleep(STATE_POLL).await;
        }
    }

    /// Waits until a time from the start of the load.
    async fn sleep_until(&self, at: Duration) {
        compio::time::sleep(at.saturating_sub(self.started.elapsed())).await;
    }

    /// Returns a client of the entry hosts that the balancer uses, of which callers take one in turn.
    fn caller(&self, customer: &str, turn: usize) -> Result<ApiClient> {
        let api = self
            .deployment
            .borrow()
            .api(&dev::example_token(customer))?;
        Ok(api
            .with_entries(&self.balanced.borrow())
            .with_first_entry(turn))
    }

    fn table(&self) -> Table<'_> {
        Table::new(self.deployment.borrow())
    }
}
