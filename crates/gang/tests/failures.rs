//! Failures at each step of a gang's life: lost answers, dead agents, cut links, refusals, cancels.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::LIMIT;
use common::Rule;
use common::World;
use rstest::rstest;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_gang::Attempt;
use nutmegwalk_gang::GangEnd;
use nutmegwalk_gang::GangTimings;
use nutmegwalk_gang::TaskState;
use nutmegwalk_net::Fault;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest] fn $name() { run(async $body) })*
    };
}

fn run(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(test);
}

/// Waits until every agent has ended the attempt and returns the ends.
async fn ends(world: &World, attempt: Attempt) -> Vec<Option<GangEnd>> {
    let of = |world: &World| -> Vec<Option<GangEnd>> {
        let reports = world.nodes.iter().map(|node| node.agent.report());
        let attempts = reports.flat_map(|report| report.attempts);
        attempts
            .filter(|report| report.attempt == attempt)
            .map(|report| report.end)
            .collect()
    };
    world
        .wait_for("end", |world| of(world).iter().all(Option::is_some))
        .await;
    of(world)
}

// Guards against a step that is done twice, or a gang given up, when an answer is lost.
#[rstest]
#[case::reserve("/v1/gang/reserve")]
#[case::bind("/v1/gang/bind")]
#[case::start("/v1/gang/start")]
#[case::member_start("/v1/gang/start-members")]
#[case::renew("/v1/gang/renew")]
fn lost_answer_is_repeated(#[case] path: &'static str) {
    run(async move {
        let world = World::new(3).await;
        world.faults.once(path, Fault::LoseAnswer);
        let spec = world.spec(1, 1, 6);
        let gang = world.driver.start(spec.clone()).await.unwrap();
        world
            .wait_for("lost answer", |world| world.faults.used_up())
            .await;
        let end = Instant::now() + world.timings.lease + world.timings.renew_interval * 2;
        world
            .wait_for("further lease", |_| Instant::now() > end)
            .await;
        assert_eq!(world.running(), 6);
        assert_eq!(world.log.starts(spec.attempt), 6);
        assert!(world.driver.stop(gang).await.is_settled());
        world.check();
    });
}

// Guards against parts that run, or resources that stay set aside, when an agent dies between steps.
#[rstest]
#[case::before_bind(false, 1)]
#[case::before_start(true, 1)]
#[case::lead_before_start(true, 0)]
fn agent_dies_between_steps(#[case] is_bound: bool, #[case] dead: usize) {
    run(async move {
        let world = World::new(3).await;
        let reserved = world.driver.reserve(world.spec(1, 1, 6)).await.unwrap();
        let failure = if is_bound {
            let bound = world.driver.bind(reserved).await.unwrap();
            world.kill(dead);
            world.driver.launch(bound).await.unwrap_err()
        } else {
            world.kill(dead);
            world.driver.bind(reserved).await.unwrap_err()
        };
        assert_eq!(
            failure.worker.as_ref(),
            Some(&world.spec(1, 1, 6).members[dead * 2].worker)
        );
        assert!(failure.is_settled);
        assert_eq!(world.running(), 0);
        for (index, node) in world.nodes.iter().enumerate() {
            assert!(index == dead || node.agent.report().attempts.iter().all(|a| a.end.is_some()));
        }
        world.check();
    });
}

// Guards against a start after a take-out, at each step, on the lead and on a member.
#[rstest]
#[case::reserve(0, 0)]
#[case::bind(0, 1)]
#[case::lead_start(0, 2)]
#[case::member_start_on_the_lead(0, 3)]
#[case::member_start(1, 2)]
fn taken_out_data_centre_refuses(#[case] agent: usize, #[case] checks: u32) {
    run(async move {
        let world = World::new(3).await;
        world.nodes[agent].gate.refuse_after.set(Some(checks));
        let spec = world.spec(1, 1, 6);
        let failure = world.driver.start(spec.clone()).await.unwrap_err();
        assert_eq!(failure.error.kind, ErrorKind::DataCentreOut);
        assert!(failure.is_settled);
        assert_eq!(world.nodes[agent].gate.checks.get(), checks + 1);
        assert_eq!(world.running(), 0);
        world.check();
        assert!(world.log.starts(spec.attempt) < 6);
    });
}

// Guards against a cancelled start that leaves a part running, whenever the cancel comes.
#[rstest]
#[case::reserve("/v1/gang/reserve")]
#[case::bind("/v1/gang/bind")]
#[case::start("/v1/gang/start")]
#[case::member_start("/v1/gang/start-members")]
fn cancel_races_with_start(#[case] path: &'static str) {
    run(async move {
        let world = World::new(3).await;
        let slow = Fault::Delay(Duration::from_millis(1500));
        world.faults.add(Rule {
            from: None,
            to: None,
            path,
            fault: slow,
            count: 1,
        });
        let spec = world.spec(1, 1, 6);
        let (driver, started) = (world.driver.clone(), spec.clone());
        let start = compio::runtime::spawn(async move { driver.start(started).await });
        world
            .wait_for("delayed step", |world| world.faults.used_up())
            .await;
        assert!(world.driver.cancel(&spec.job, spec.attempt));
        let failure = start.await.unwrap().unwrap_err();
        assert_eq!(failure.error.kind, ErrorKind::AttemptClosed);
        assert!(failure.is_settled);
        assert!(!world.driver.cancel(&spec.job, spec.attempt));
        world.wait_until_ended().await;
        world.driver.start(world.spec(1, 2, 6)).await.unwrap();
        // The delayed request of the cancelled attempt arrives by now.
        let end = Instant::now() + Duration::from_millis(1700);
        world
            .wait_for("late request", |_| Instant::now() > end)
            .await;
        assert_eq!(world.running(), 6);
        world.check();
    });
}

cases! {
    // Guards against a late start of an attempt that was aborted.
    late_steps_after_abort_are_refused => {
        let world = World::new(2).await;
        let spec = world.spec(1, 1, 4);
        let bound = world.driver.bind(world.driver.reserve(spec.clone()).await.unwrap()).await.unwrap();
        let twin = world.driver.bind(world.driver.reserve(spec.clone()).await.unwrap()).await.unwrap();
        assert!(world.driver.abort(twin).await.is_settled());
        let failure = world.driver.launch(bound).await.unwrap_err();
        assert_eq!(failure.error.kind, ErrorKind::AttemptClosed);
        let failure = world.driver.start(spec.clone()).await.unwrap_err();
        assert_eq!(failure.error.kind, ErrorKind::AttemptClosed);
        assert_eq!(world.log.starts(spec.attempt), 0);
    }

    // Guards against commands of an owner that was replaced.
    older_epoch_is_refused_after_a_newer_one => {
        let world = World::new(2).await;
        let bound = world.driver.bind(world.driver.reserve(world.spec(3, 1, 4)).await.unwrap()).await.unwrap();
        world.nodes[1].agent.set_epoch_floor(4);
        // Only the member has seen the new epoch; its refusal fails the start that the lead obeys.
        let failure = world.driver.launch(bound).await.unwrap_err();
        assert_eq!(failure.error.kind, ErrorKind::StaleEpoch);
        assert!(!failure.is_settled);
        world.wait_until_ended().await;
        let gang = world.driver.start(world.spec(5, 1, 4)).await.unwrap();
        let failure = world.driver.start(world.spec(4, 9, 4)).await.unwrap_err();
        assert_eq!(failure.error.kind, ErrorKind::StaleEpoch);
        let old = world.driver.adopt(gang.spec().clone(), 4);
        assert!(!world.driver.stop(old).await.is_settled());
        assert_eq!(world.running(), 4);
        let adopted = world.driver.adopt(gang.spec().clone(), 6);
        assert!(world.driver.stop(adopted).await.is_settled());
        assert_eq!(world.running(), 0);
        world.check();
    }

    // Guards against a start obeyed before the current epoch is known.
    agent_without_epoch_or_task_list_starts_nothing => {
        let mut world = World::new(1).await;
        world.kill(0);
        world.restart(0).await;
        let failure = world.driver.start(world.spec(1, 1, 1)).await.unwrap_err();
        assert_eq!(failure.error.kind, ErrorKind::StaleView);
        world.nodes[0].agent.recover().await.unwrap();
        let failure = world.driver.start(world.spec(1, 2, 1)).await.unwrap_err();
        assert_eq!(failure.error.kind, ErrorKind::StaleView);
        world.nodes[0].agent.set_epoch_floor(1);
        world.driver.start(world.spec(1, 3, 1)).await.unwrap();
    }

    // Guards against members that run on after another member failed or could not be started.
    member_failure_ends_the_gang => {
        let world = World::new(3).await;
        let spec = world.spec(1, 1, 6);
        world.driver.start(spec.clone()).await.unwrap();
        world.nodes[2].worker.end_tasks(TaskState::Failed);
        world.wait_until_ended().await;
        assert_eq!(ends(&world, spec.attempt).await, vec![Some(GangEnd::Failed); 3]);
        let report = world.nodes[2].agent.report();
        assert_eq!(report.attempts[0].members[0].state, Some(TaskState::Failed));
        world.nodes[1].worker.refuse_start.set(true);
        let failure = world.driver.start(world.spec(1, 2, 6)).await.unwrap_err();
        assert_eq!(failure.worker.as_deref(), Some("worker-1"));
        assert!(failure.is_settled);
        assert_eq!(world.running(), 0);
        world.check();
    }

    // Guards against tasks, or a start that is under way, that go on beside an agent that was cut off for
    // so long that its data centre may have been given up.
    cut_off_agent_ends_everything => {
        let world = World::new(3).await;
        world.driver.start(world.spec(1, 1, 6)).await.unwrap();
        let mut other = world.spec(1, 2, 3);
        other.job = "job-2".into();
        let bound = world.driver.reserve(other).await.unwrap();
        let bound = world.driver.bind(bound).await.unwrap();
        world.nodes[1].agent.end_all().await;
        assert_eq!(world.nodes[1].worker.running(), 0);
        let failure = world.driver.launch(bound).await.unwrap_err();
        assert_eq!(failure.error.kind, ErrorKind::AttemptClosed);
        // Without one member the whole gang ends.
        world.wait_until_ended().await;
        assert_eq!(world.running(), 0);
    }

    // Guards against members that run on without their lead.
    lead_dies => {
        let world = World::new(3).await;
        let spec = world.spec(1, 1, 6);
        world.driver.start(spec.clone()).await.unwrap();
        world.kill(0);
        world.wait_until_ended().await;
        for node in &world.nodes[1..] {
            assert_eq!(node.agent.report().attempts[0].end, Some(GangEnd::Lapsed));
        }
        world.check();
    }

    // Guards against a gang that loses its work because one agent restarts, and against a member
    // that is stopped by an agent that has forgotten it.
    restarted_agents_rejoin => {
        let mut world = World::new(3).await;
        let spec = world.spec(1, 1, 6);
        let gang = world.driver.start(spec.clone()).await.unwrap();
        for index in [1, 0] {
            let renewals = world.nodes[2].worker.renewals.get();
            world.wait_for("renewal", |world| world.nodes[2].worker.renewals.get() > renewals).await;
            world.kill(index);
            world.restart(index).await;
            world.nodes[index].agent.recover().await.unwrap();
            let end = Instant::now() + world.timings.lease * 2;
            world.wait_for("two leases", |_| Instant::now() > end).await;
            assert_eq!(world.running(), 6);
        }
        assert_eq!(world.log.starts(spec.attempt), 6);
        assert!(world.driver.stop(gang).await.is_settled());
        world.check();
    }

    // Guards against renewal of some members while the lead cannot reach another.
    cut_link_between_lead_and_member_ends_the_gang => {
        let world = World::new(3).await;
        world.driver.start(world.spec(1, 1, 6)).await.unwrap();
        world.faults.add(Rule {
            from: Some("agent-0".into()),
            to: Some(world.nodes[2].address),
            path: "/",
            fault: Fault::Cut,
            count: u32::MAX,
        });
        world.wait_until_ended().await;
        // Each worker runs two tasks, and one round may extend before the silence is known.
        let renewals = |index: usize| world.nodes[index].worker.renewals.get();
        assert!(renewals(1) <= renewals(2) + 2, "{} after {}", renewals(1), renewals(2));
        world.check();
    }

    // Guards against capacity of reachable workers that waits for a silent one: a reclaim has 8.8 s,
    // and a silent member is certain to have ended only after its lease and the steps around it.
    silent_member_does_not_delay_the_release_of_others => {
        let world = World::new(3).await;
        let gang = world.driver.start(world.spec(1, 1, 6)).await.unwrap();
        world.faults.add(Rule {
            from: None,
            to: Some(world.nodes[2].address),
            path: "/",
            fault: Fault::Cut,
            count: u32::MAX,
        });
        let releasing = world.driver.release(gang, Duration::from_millis(200)).await;
        assert_eq!(releasing.silent_workers(), ["worker-2".into()]);
        let stopped_workers: Vec<bool> =
            world.nodes.iter().map(|node| node.agent.report().attempts.iter().all(|part| part.end.is_some())).collect();
        assert_eq!(stopped_workers[..2], [true, true]);
        let stopped = world.driver.settle(releasing).await;
        assert!(stopped.is_settled());
        assert_eq!(world.running(), 0);
        world.check();
    }

    // Guards against a restart of the job while a member that the owner cannot reach still runs.
    unreachable_member_delays_the_next_attempt => {
        let world = World::new(3).await;
        let gang = world.driver.start(world.spec(1, 1, 6)).await.unwrap();
        world.faults.add(Rule {
            from: None,
            to: Some(world.nodes[2].address),
            path: "/",
            fault: Fault::Cut,
            count: u32::MAX,
        });
        let stopped = world.driver.stop(gang).await;
        assert!(stopped.is_settled());
        assert_eq!(stopped.checkpoint_ms(), None);
        assert_eq!(world.running(), 0);
        world.faults.clear();
        world.driver.start(world.spec(1, 2, 6)).await.unwrap();
        world.check();
    }

    // Guards against a claim that a gang has ended which the owner cannot reach at all.
    owner_without_any_link_does_not_claim_the_end => {
        let world = World::new(2).await;
        world.driver.start(world.spec(1, 1, 4)).await.unwrap();
        world.faults.add(Rule {
            from: Some("lonely".into()),
            to: None,
            path: "/",
            fault: Fault::Cut,
            count: u32::MAX,
        });
        let lonely = world.driver_named("lonely");
        let gang = lonely.adopt(world.spec(1, 1, 4), 1);
        assert!(!lonely.stop(gang).await.is_settled());
        assert_eq!(world.running(), 4);
    }

    // Guards against a gang of the target size that does not start, renew or stop whole.
    thousand_tasks_on_128_agents => {
        // The debug build needs more than the short intervals for a gang of this size.
        let timings = GangTimings {
            reservation: LIMIT,
            lease: LIMIT,
            exchange: Duration::from_secs(20),
            step: LIMIT,
            ..common::timings()
        };
        let world = World::with_timings(128, timings).await;
        let spec = world.spec(1, 1, 1024);
        let gang = world.driver.start(spec.clone()).await.unwrap();
        assert_eq!(world.running(), 1024);
        world.wait_for("renewal of all", |world| {
            world.nodes.iter().all(|node| node.worker.renewals.get() >= 16)
        }).await;
        assert!(world.driver.stop(gang).await.is_settled());
        assert_eq!(world.running(), 0);
        assert_eq!(world.log.starts(spec.attempt), 1024);
        world.check();
    }
}
