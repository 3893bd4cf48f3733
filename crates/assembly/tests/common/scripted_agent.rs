//! An agent whose reports a test makes, and that accepts all orders.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegwalk_base::Epoch;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::Result;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_base::succession::ReceivedAnswer;
use nutmegwalk_net::Client;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Handler;
use nutmegwalk_net::Message;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;
use nutmegwalk_net::Server;
use nutmegwalk_net::ServerLimits;
use nutmegwalk_supervisor::Announcement;
use nutmegwalk_supervisor::EndedTask;
use nutmegwalk_supervisor::Orders;
use nutmegwalk_supervisor::OrdersAnswer;
use nutmegwalk_supervisor::Refusal;
use nutmegwalk_supervisor::Report;
use nutmegwalk_supervisor::ReportAnswer;
use nutmegwalk_supervisor::RunningTask;
use nutmegwalk_supervisor::StartResult;
use nutmegwalk_supervisor::TaskOutcome;
use nutmegwalk_supervisor::TaskRun;
use nutmegwalk_supervisor::WorkerState;
use nutmegwalk_supervisor::WorkerStatus;
use nutmegwalk_workload::EndKind;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::WorkerRef;

const REPORT_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before a report that confirms that its process is alive.
const CONFIRMATION_PAUSE: Duration = Duration::from_millis(2);
/// Incarnation of the agent's process before.
const ENDED_INCARNATION: Incarnation = 100;

/// An agent without a supervisor.
pub(crate) struct ScriptedAgent {
    pub(crate) name: Box<str>,
    address: SocketAddr,
    client: Client,
    sequence: Cell<u64>,
    /// Incarnation of the process that the next report comes from.
    pub(crate) incarnation: Cell<Incarnation>,
    epoch: Cell<Epoch>,
    /// Last answer that each process has received.
    last_answers: RefCell<BTreeMap<Incarnation, ReceivedAnswer>>,
    received: RefCell<Received>,
    /// Reactions to the next messages with starts; the others are carried out.
    pub(crate) reactions: RefCell<VecDeque<Reaction>>,
}

/// How the agent reacts to the orders of one message.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Reaction {
    /// It carries them out and answers.
    CarryOut,
    /// It carries them out, but its answer is lost.
    LoseAnswer,
    /// It refuses all starts and carries out all stops.
    Refuse(Refusal),
}

/// Orders that the agent has accepted, oldest first.
#[derive(Default)]
struct Received {
    starts: Vec<TaskRun>,
    stops: Vec<TaskRun>,
    /// Incarnation of the agent in each message.
    incarnations: Vec<Incarnation>,
}

impl ScriptedAgent {
    /// Starts an agent that accepts orders.
    pub(crate) async fn start() -> Rc<Self> {
        Self::start_as("scripted").await
    }

    /// Starts an agent with this name that accepts orders.
    pub(crate) async fn start_as(name: &str) -> Rc<Self> {
        let listen = "127.0.0.1:0".parse().expect("an address");
        let server = Server::bind(listen, ServerLimits::default())
            .await
            .expect("a free port");
        let agent = Rc::new(Self {
            name: name.into(),
            address: server.local_address(),
            client: Client::new(name, Secret::new("")).expect("HTTP client"),
            sequence: Cell::new(0),
            incarnation: Cell::new(1),
            epoch: Cell::new(0),
            last_answers: RefCell::default(),
            received: RefCell::default(),
            reactions: RefCell::default(),
        });
        compio::runtime::spawn(server.serve(Rc::clone(&agent), Drain::new())).detach();
        agent
    }

    /// Sends a report to the owner and adopts the epoch of its answer.
    pub(crate) async fn report(&self, owner: SocketAddr, worker: WorkerStatus) {
        let answer = self.try_report(owner, worker).await;
        self.epoch.set(answer.expect("the owner answers").epoch);
    }

    /// Sends a report to the owner, again if the owner asks for a confirmation.
    pub(crate) async fn try_report(
        &self,
        owner: SocketAddr,
        worker: WorkerStatus,
    ) -> Result<ReportAnswer> {
        loop {
            let report = self.make_report(worker.clone());
            let answer = self.deliver(owner, &report).await?;
            let received = ReceivedAnswer {
                epoch: answer.epoch,
                owner_clock_ms: answer.owner_clock_ms,
            };
            self.last_answers
                .borrow_mut()
                .insert(report.incarnation, received);
            if !answer.is_unconfirmed {
                return Ok(answer);
            }
            compio::time::sleep(CONFIRMATION_PAUSE).await;
        }
    }

    /// Returns the next report of the current process.
    pub(crate) fn make_report(&self, worker: WorkerStatus) -> Report {
        self.sequence.set(self.sequence.get() + 1);
        let incarnation = self.incarnation.get();
        let last_answers = self.last_answers.borrow();
        Report {
            agent: self.name.clone(),
            incarnation,
            sequence: self.sequence.get(),
            address: self.address,
            epoch: self.epoch.get(),
            last_answer: Some(last_answers.get(&incarnation).copied().unwrap_or_default()),
            is_eligible: false,
            unix_ms: nutmegwalk_base::clock::unix_ms(),
            worker: Some(worker),
        }
    }

    /// Delivers a report that may have been made long before, by a process that has ended.
    pub(crate) async fn deliver(&self, owner: SocketAddr, report: &Report) -> Result<ReportAnswer> {
        self.client.send(owner, report, REPORT_TIMEOUT).await
    }

    /// Delivers a report of an earlier process of the agent that no owner has answered.
    pub(crate) async fn report_of_ended_process(&self, owner: SocketAddr, worker: WorkerStatus) {
        let report = Report {
            incarnation: ENDED_INCARNATION,
            sequence: 1,
            last_answer: Some(ReceivedAnswer::default()),
            ..self.make_report(worker)
        };
        let answer = self.deliver(owner, &report).await;
        answer.expect("the owner answers");
    }

    /// Returns the runs of a task that the agent was ordered to start.
    pub(crate) fn ordered_runs(&self, task: &str) -> Vec<u32> {
        let received = self.received.borrow();
        let starts = received.starts.iter();
        let of_task = starts.filter(|run| run.task.to_string() == task);
        of_task.map(|run| run.run).collect()
    }

    /// Returns the runs that the agent was ordered to stop.
    pub(crate) fn stops(&self) -> Vec<TaskRun> {
        self.received.borrow().stops.clone()
    }

    /// Returns the incarnation of the agent that each message was for.
    pub(crate) fn order_incarnations(&self) -> Vec<Incarnation> {
        self.received.borrow().incarnations.clone()
    }

    fn accept(&self, orders: &Orders, reaction: Reaction) -> OrdersAnswer {
        let mut received = self.received.borrow_mut();
        let done = |run: &TaskRun| StartResult {
            run: run.clone(),
            outcome: TaskOutcome::Done,
        };
        let starts: Vec<TaskRun> = orders
            .starts
            .iter()
            .flat_map(|order| order.tasks.iter().map(|index| order.task_run(*index)))
            .collect();
        let answer = OrdersAnswer {
            starts: starts
                .iter()
                .map(|run| match reaction {
                    Reaction::Refuse(refusal) => StartResult {
                        run: run.clone(),
                        outcome: TaskOutcome::Refused(refusal),
                    },
                    Reaction::CarryOut | Reaction::LoseAnswer => done(run),
                })
                .collect(),
            stops: orders.stops.iter().map(done).collect(),
        };
        received.incarnations.push(orders.agent_incarnation);
        received.starts.extend(starts);
        received.stops.extend(orders.stops.iter().cloned());
        answer
    }
}

impl Handler for ScriptedAgent {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        if &*request.path != Orders::PATH {
            return Response::new(404, "");
        }
        let orders = match request.message::<Orders>(&Secret::new("")) {
            Ok(orders) => orders,
            Err(error) => return Response::error(&error),
        };
        let reaction = if orders.starts.is_empty() {
            Reaction::CarryOut
        } else {
            let next = self.reactions.borrow_mut().pop_front();
            next.unwrap_or(Reaction::CarryOut)
        };
        let answer = self.accept(&orders, reaction);
        if matches!(reaction, Reaction::LoseAnswer) {
            std::future::pending::<()>().await;
        }
        Response::message(&Ok(answer))
    }
}

/// Returns the status of a worker that has just answered its agent and has nothing running.
pub(crate) fn idle_worker() -> WorkerStatus {
    WorkerStatus {
        announcement: Announcement {
            worker: WorkerRef {
                id: "i-scripted".into(),
                born_unix_ms: 1,
                machine: Some("m-scripted".into()),
            },
            service: "plank-desk".into(),
            data_centre: "ventspils".into(),
            rack: None,
            labels: Vec::new(),
            capacity: Resources::new(128_000, 262_144, 8),
            state: WorkerState::Ready,
            cold_remaining_ms: 0,
            sequence: 1,
        },
        heartbeat_age_ms: 0,
        answer_age_ms: Some(0),
        has_lapsed: false,
        lapsed_until_ms: None,
        running: Vec::new(),
        ended: Vec::new(),
        up_for_ms: None,
        starting: Some(Vec::new()),
        silent_since_start: Vec::new(),
        crashes: Vec::new(),
    }
}

/// Returns the first run of a task.
pub(crate) fn first_run(task: &str) -> TaskRun {
    TaskRun {
        task: task.parse().expect("a task id"),
        run: 1,
    }
}

/// Returns a listed run without progress.
pub(crate) fn running(run: TaskRun) -> RunningTask {
    RunningTask {
        run,
        checkpoint: None,
        progress_percent: 0,
        recent: None,
    }
}

/// Returns the first listed end of a worker.
pub(crate) fn ended(run: TaskRun, kind: EndKind) -> EndedTask {
    EndedTask {
        number: 1,
        run,
        kind,
        checkpoint: None,
    }
}
