//! Runs a scenario against a deployment and checks the result.

mod calls;
mod invariants;
mod jobs;
mod metrics;
mod observer;
mod operator_commands;
mod state;
mod steps;
mod table;

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
use crate::runner::observer::Observations;
use crate::runner::operator_commands::CommandResult;
use crate::runner::table::TableReader;
use crate::script::Expectation;
use crate::script::Scenario;
use crate::script::State;
pub use invariants::Evidence;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;

/// Interval at which an awaited state is checked.
const STATE_POLL: Duration = Duration::from_millis(20);
/// Time beyond the scenario's limit after which jobs, calls and commands that hang are abandoned.
const GRACE_PERIOD: Duration = Duration::from_secs(10);

/// Report on a run.
pub struct Report {
    /// Metrics and numbers of violations.
    pub measures: Measures,
    /// Description of each violation.
    pub evidence: Evidence,
    /// Results of calls other than the caller's own body, and of jobs that ended without success, with the
    /// number of occurrences of each.
    pub unexpected_results: BTreeMap<String, u64>,
}

/// State of a running scenario.
struct Run {
    scenario: Rc<Scenario>,
    seed: u64,
    deployment: RefCell<Deployment>,
    operator: ApiClient,
    started: Instant,
    jobs: RefCell<Vec<JobRun>>,
    calls: RefCell<Vec<CallRun>>,
    observations: RefCell<Observations>,
    command_results: RefCell<Vec<CommandResult>>,
    pending_commands: Cell<usize>,
    cancels_repeated: Cell<u32>,
    steps_done: Cell<bool>,
    ended: Cell<bool>,
    /// Processes that steps have frozen.
    paused: RefCell<BTreeSet<Box<str>>>,
    /// Workers whose agents steps have killed or stopped.
    workers_without_agent: RefCell<BTreeSet<WorkerId>>,
    /// Number of restarts of each process by steps.
    restarts: RefCell<BTreeMap<Box<str>, u32>>,
    /// Entry hosts to which the platform's load balancer sends callers.
    ready_entries: RefCell<BTreeSet<usize>>,
    /// Pairs of link groups that steps have partitioned from each other.
    partitions: RefCell<Vec<(Box<str>, Box<str>)>>,
    /// Problems of the run itself, such as a step whose state was never reached.
    problems: RefCell<Vec<String>>,
}

/// Runs `scenario` with a load that is generated from `seed`.
///
/// # Errors
/// The errors of a deployment that cannot be started or does not become ready.
pub async fn run(scenario: Rc<Scenario>, seed: u64) -> Result<Report> {
    let settings = &scenario.deployment;
    let plan = DeploymentPlan {
        configuration: scenario.configuration.clone(),
        entries: settings.entries,
        policy: settings.policy,
        service_time: Duration::from_millis(settings.service_time_ms),
        seed,
    };
    let deployment = Deployment::start(plan)?;
    set_region_delay(&deployment, Duration::from_millis(settings.region_delay_ms));
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
        observations: RefCell::default(),
        command_results: RefCell::default(),
        pending_commands: Cell::new(0),
        cancels_repeated: Cell::new(0),
        steps_done: Cell::new(false),
        ended: Cell::new(false),
        paused: RefCell::default(),
        workers_without_agent: RefCell::default(),
        restarts: RefCell::default(),
        ready_entries: RefCell::new((0..scenario.deployment.entries).collect()),
        partitions: RefCell::default(),
        problems: RefCell::default(),
        scenario,
    });
    run.execute().await;
    Ok(run.report())
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
    /// Runs the load and the steps until everything has ended or the limit has passed.
    async fn execute(self: &Rc<Self>) {
        self.spawn_observers();
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
        let end_states = [
            State::AllJobsEnded,
            State::AllCallsAnswered,
            State::OperatorsAnswered,
        ];
        let limit = self.scenario.limit.max(self.started.elapsed()) + GRACE_PERIOD;
        while !end_states.iter().all(|state| self.has_reached(state))
            && self.started.elapsed() < limit
        {
            compio::time::sleep(STATE_POLL).await;
        }
        self.ended.set(true);
    }

    /// Waits until the steps are done and the expectation with this index is reached, if it is a state. Records
    /// a problem when its time limit passes first.
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

    /// Waits until `at`, as measured from the start of the load.
    async fn sleep_until(&self, at: Duration) {
        compio::time::sleep(at.saturating_sub(self.started.elapsed())).await;
    }

    /// Returns a client of the entry hosts that the load balancer uses, which are selected round-robin by `turn`.
    fn caller(&self, customer: &str, turn: usize) -> Result<ApiClient> {
        let api = self
            .deployment
            .borrow()
            .api(&dev::example_token(customer))?;
        Ok(api
            .with_entries(&self.ready_entries.borrow())
            .with_first_entry(turn))
    }

    fn table(&self) -> TableReader<'_> {
        TableReader::new(self.deployment.borrow())
    }
}
