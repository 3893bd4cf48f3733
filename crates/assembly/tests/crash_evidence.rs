//! Tests of jobs beside workers that crash for reasons of their own, and tasks that crash their workers.

mod common;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::TestDomain;
use common::gang;
use common::job;
use common::run;
use common::scripted_agent::ScriptedAgent;
use common::scripted_agent::idle_worker;

use nutmegwalk_emulator::EmulatedWorker;
use nutmegwalk_supervisor::TaskRun;
use nutmegwalk_supervisor::WorkerCrash;
use nutmegwalk_supervisor::WorkerStatus;
use nutmegwalk_workload::JobSpec;
use nutmegwalk_workload::JobState;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::Run;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() { run(|| async $body) })* };
}

/// Time for which each life of a worker lasts: a little longer than it takes until a suspect may be tried there.
const LIFE: Duration = Duration::from_millis(2_450);
/// Most starts of a task that crashes each worker that starts it.
const MAX_CRASHING_STARTS: usize = 5;

/// Returns a job of healthy tasks that take a worker each.
fn healthy(tasks: u32) -> JobSpec {
    let mut spec = job(tasks, 1_000);
    spec.payload = "work=1000 cpu=1000 mem=1024 gpu=8".into();
    spec.steps[0].demand = Resources::new(1_000, 1_024, 8);
    spec
}

/// Returns a job of one task that crashes its worker shortly after it has started.
fn crashing() -> JobSpec {
    let mut spec = job(1, 60_000);
    spec.payload = "work=60000 crashes=20".into();
    spec
}

/// Plays `lives` lives of all workers of a domain, which end together and whatever runs; submits the healthy job `a`
/// 150 ms before the first end. Then the workers stay up, and the job completes.
async fn complete_after_lives(hosts: usize, tasks: u32, lives: usize) {
    let domain = TestDomain::start(hosts).await;
    compio::time::sleep(LIFE).await;
    domain.submit("normal", "a", healthy(tasks)).await;
    compio::time::sleep(Duration::from_millis(150)).await;
    for _ in 0..lives {
        for host in &domain.hosts {
            host.worker.restart_under_its_id();
        }
        compio::time::sleep(LIFE).await;
    }
    domain
        .wait_for_state("normal", "a", JobState::Completed)
        .await;
}

/// Crashes a worker every second until `is_over`.
fn flap(worker: Rc<EmulatedWorker>, is_over: Rc<Cell<bool>>) {
    compio::runtime::spawn(async move {
        while !is_over.get() {
            compio::time::sleep(Duration::from_millis(1_000)).await;
            worker.restart_under_its_id();
        }
    })
    .detach();
}

/// A scripted agent and its worker, which crashes whenever it has started a run of one member of a gang.
struct Member {
    agent: Rc<ScriptedAgent>,
    status: RefCell<WorkerStatus>,
}

impl Member {
    async fn start(name: &str) -> Self {
        let mut status = idle_worker();
        status.announcement.worker.id = name.into();
        status.announcement.worker.machine = Some(format!("m-{name}").into());
        Self {
            agent: ScriptedAgent::start_as(name).await,
            status: RefCell::new(status),
        }
    }

    async fn report(&self, owner: SocketAddr) {
        let status = self.status.borrow().clone();
        self.agent.report(owner, status).await;
    }

    /// Returns the run of a member of gang `a` with this number, once the agent was ordered to start it.
    fn started(&self, run: Run) -> Option<TaskRun> {
        let tasks = ["a.0.0.0", "a.0.0.1"];
        let task = tasks
            .iter()
            .find(|task| self.agent.ordered_runs(task).contains(&run))?;
        Some(TaskRun {
            task: task.parse().expect("a task id"),
            run,
        })
    }

    /// Crashes the worker, which had been up for `up_for` when it started the run, and reports this with its next life,
    /// which is said to be up for `next_up_for`.
    async fn crash(
        &self,
        owner: SocketAddr,
        run: TaskRun,
        up_for: Duration,
        next_up_for: Duration,
    ) {
        let as_ms = |time: Duration| u64::try_from(time.as_millis()).expect("a short time");
        let mut status = self.status.borrow().clone();
        let crash = WorkerCrash {
            worker: status.announcement.worker.clone(),
            age_ms: 0,
            just_started: vec![run],
            was_broken: true,
            up_for_ms: as_ms(up_for),
        };
        let next_life = &mut status.announcement.worker;
        next_life.born_unix_ms += 1;
        next_life.id = format!("{}-{}", self.agent.name, next_life.born_unix_ms).into();
        status.up_for_ms = Some(as_ms(next_up_for));
        status.crashes = vec![crash];
        self.status.replace(status);
        self.report(owner).await;
    }
}

cases! {
    // Guards against a trial that begins just when its worker is 2 s old, so that workers whose lives last a little longer
    // always crash "at its start".
    healthy_job_on_a_worker_with_short_lives_is_not_given_up => {
        complete_after_lives(1, 1, 12).await;
    }

    // Guards against the same on all workers of a data centre at once. Each has just started a healthy task, so that none counts as the
    // proof of a common cause.
    healthy_job_on_a_data_centre_with_short_lives_is_not_given_up => {
        complete_after_lives(3, 3, 12).await;
    }

    // Guards against one worker of the data centre that crashes again and again is a common cause for all others.
    task_that_crashes_its_workers_beside_a_worker_that_flaps_is_given_up => {
        let domain = TestDomain::start(5).await;
        let is_over = Rc::new(Cell::new(false));
        flap(Rc::clone(&domain.hosts[4].worker), Rc::clone(&is_over));
        domain.submit("normal", "a", crashing()).await;
        for _ in 0..400 {
            let starts = domain.events.started_runs("a.0.0.0").len();
            if starts > MAX_CRASHING_STARTS || domain.state("normal", "a").await == Ok(JobState::Failed) {
                break;
            }
            compio::time::sleep(Duration::from_millis(100)).await;
        }
        is_over.set(true);
        let starts = domain.events.started_runs("a.0.0.0").len();
        assert!(starts <= MAX_CRASHING_STARTS, "{starts} starts");
        domain.wait_for_state("normal", "a", JobState::Failed).await;
    }

    // Guards against crashes under one member of a gang that are no trials any more since those under the other were
    // reported first.
    gang_whose_crashes_are_reported_in_changing_order_is_given_up => {
        let (domain, owner) = TestDomain::start_busy(1).await;
        let members = [Member::start("first").await, Member::start("second").await];
        for member in &members {
            member.report(owner).await;
        }
        domain.submit("normal", "a", gang(2, 60_000)).await;
        let is_given_up = async || domain.state("normal", "a").await == Ok(JobState::Failed);
        let mut up_for = Duration::ZERO;
        for run in 1.. {
            let has_settled = async || {
                for member in &members {
                    member.report(owner).await;
                }
                members.iter().all(|member| member.started(run).is_some()) || is_given_up().await
            };
            domain.wait_until_async("the gang starts or is given up", has_settled).await;
            if is_given_up().await {
                break;
            }
            assert!(run as usize <= MAX_CRASHING_STARTS, "start {run}");
            // The next workers have just been up for as long as the next trial asks for.
            let next_up_for = LIFE.max(Duration::from_secs(2) * run);
            let mut crashes: Vec<(&Member, TaskRun)> = members
                .iter()
                .map(|member| (member, member.started(run).expect("the run has started")))
                .collect();
            crashes.sort_by_key(|(_, run)| run.task.clone());
            if run % 2 == 0 {
                crashes.reverse();
            }
            for (member, run) in crashes {
                member.crash(owner, run, up_for, next_up_for).await;
            }
            up_for = next_up_for;
        }
    }

    // Guards against starts without end while workers are away for long.
    task_whose_workers_are_away_for_long_is_not_started_without_end => {
        let domain = TestDomain::start(8).await;
        for host in &domain.hosts {
            host.worker.restart_delay.set(Duration::from_secs(40));
        }
        domain.submit("normal", "a", crashing()).await;
        for _ in 0..500 {
            if domain.events.started_runs("a.0.0.0").len() > MAX_CRASHING_STARTS {
                break;
            }
            compio::time::sleep(Duration::from_millis(100)).await;
        }
        let starts = domain.events.started_runs("a.0.0.0").len();
        assert!(starts <= MAX_CRASHING_STARTS, "{starts} starts");
    }

    // Guards against a wide step of which each task crashes its worker.
    wide_step_that_crashes_its_workers_is_given_up => {
        let domain = TestDomain::start(4).await;
        let mut spec = job(9, 60_000);
        spec.payload = "work=60000 crashes=20 cpu=1000 mem=1024 gpu=1".into();
        domain.submit("normal", "a", spec).await;
        domain.wait_for_state("normal", "a", JobState::Failed).await;
        let starts: Vec<usize> = (0..9)
            .map(|task| domain.events.started_runs(&format!("a.0.0.{task}")).len())
            .collect();
        assert!(starts.iter().all(|starts| *starts <= MAX_CRASHING_STARTS), "{starts:?}");
    }
}
