//! Failures at each step of a gang's life cycle: lost answers, agent crashes, broken links, refusals and
//! cancellations.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::Cluster;
use common::Rule;
use common::WAIT_LIMIT;
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

/// Waits until the attempt has ended on every agent; returns the ends.
async fn ends(cluster: &Cluster, attempt: Attempt) -> Vec<Option<GangEnd>> {
    let of = |cluster: &Cluster| -> Vec<Option<GangEnd>> {
        let reports = cluster.nodes.iter().map(|node| node.agent.report());
        let attempts = reports.flat_map(|report| report.attempts);
        attempts
            .filter(|report| report.attempt == attempt)
            .map(|report| report.end)
            .collect()
    };
    cluster
        .wait_for("end", |cluster| of(cluster).iter().all(Option::is_some))
        .await;
    of(cluster)
}

// Guards against a step that takes effect twice, or a gang that is abandoned, when an answer is lost.
#[rstest]
#[case::reserve("/v1/gang/reserve")]
#[case::bind("/v1/gang/bind")]
#[case::start("/v1/gang/start")]
#[case::member_start("/v1/gang/start-members")]
#[case::renew("/v1/gang/renew")]
fn request_with_lost_answer_is_repeated(#[case] path: &'static str) {
    run(async move {
        let cluster = Cluster::new(3).await;
        cluster.faults.once(path, Fault::LoseAnswer);
        let spec = cluster.spec(1, 1, 6);
        let gang = cluster.driver.start(spec.clone()).await.unwrap();
        cluster
            .wait_for("lost answer", |cluster| cluster.faults.all_used())
            .await;
        let end = Instant::now() + cluster.timings.lease + cluster.timings.renew_interval * 2;
        cluster
            .wait_for("further lease", |_| Instant::now() > end)
            .await;
        assert_eq!(cluster.running(), 6);
        assert_eq!(cluster.log.starts(spec.attempt), 6);
        assert!(cluster.driver.stop(gang).await.is_stop_confirmed());
        cluster.check();
    });
}

// Guards against members that run, or resources that stay reserved, when an agent crashes between steps.
#[rstest]
#[case::before_bind(false, 1)]
#[case::before_start(true, 1)]
#[case::lead_before_start(true, 0)]
fn agent_crash_between_steps_aborts_the_start(#[case] is_bound: bool, #[case] crashed: usize) {
    run(async move {
        let cluster = Cluster::new(3).await;
        let reserved = cluster.driver.reserve(cluster.spec(1, 1, 6)).await.unwrap();
        let failure = if is_bound {
            let bound = cluster.driver.bind(reserved).await.unwrap();
            cluster.crash(crashed);
            cluster.driver.launch(bound).await.unwrap_err()
        } else {
            cluster.crash(crashed);
            cluster.driver.bind(reserved).await.unwrap_err()
        };
        assert_eq!(
            failure.worker.as_ref(),
            Some(&cluster.spec(1, 1, 6).members[crashed * 2].worker)
        );
        assert!(failure.is_stop_confirmed);
        assert_eq!(cluster.running(), 0);
        for (index, node) in cluster.nodes.iter().enumerate() {
            assert!(
                index == crashed || node.agent.report().attempts.iter().all(|a| a.end.is_some())
            );
        }
        cluster.check();
    });
}

// Guards against a gang that is started after the take-out of its data centre, at each step, on the lead
// and on a member.
#[rstest]
#[case::reserve(0, 0)]
#[case::bind(0, 1)]
#[case::lead_start(0, 2)]
#[case::member_start_on_the_lead(0, 3)]
#[case::member_start(1, 2)]
fn taken_out_data_centre_refuses_each_step(#[case] agent: usize, #[case] checks: u32) {
    run(async move {
        let cluster = Cluster::new(3).await;
        cluster.nodes[agent]
            .permission
            .refuse_after
            .set(Some(checks));
        let spec = cluster.spec(1, 1, 6);
        let failure = cluster.driver.start(spec.clone()).await.unwrap_err();
        assert_eq!(failure.error.kind, ErrorKind::DataCentreOut);
        assert!(failure.is_stop_confirmed);
        assert_eq!(cluster.nodes[agent].permission.checks.get(), checks + 1);
        assert_eq!(cluster.running(), 0);
        cluster.check();
        assert!(cluster.log.starts(spec.attempt) < 6);
    });
}

// Guards against a cancelled start that leaves members running, whichever step the cancellation hits.
#[rstest]
#[case::reserve("/v1/gang/reserve")]
#[case::bind("/v1/gang/bind")]
#[case::start("/v1/gang/start")]
#[case::member_start("/v1/gang/start-members")]
fn cancel_races_with_start(#[case] path: &'static str) {
    run(async move {
        let cluster = Cluster::new(3).await;
        let slow = Fault::Delay(Duration::from_millis(1500));
        cluster.faults.add(Rule {
            from: None,
            to: None,
            path,
            fault: slow,
            count: 1,
        });
        let spec = cluster.spec(1, 1, 6);
        let (driver, started) = (cluster.driver.clone(), spec.clone());
        let start = compio::runtime::spawn(async move { driver.start(started).await });
        cluster
            .wait_for("delayed step", |cluster| cluster.faults.all_used())
            .await;
        assert!(cluster.driver.cancel(&spec.job, spec.attempt));
        let failure = start.await.unwrap().unwrap_err();
        assert_eq!(failure.error.kind, ErrorKind::AttemptClosed);
        assert!(failure.is_stop_confirmed);
        assert!(!cluster.driver.cancel(&spec.job, spec.attempt));
        cluster.wait_until_ended().await;
        cluster.driver.start(cluster.spec(1, 2, 6)).await.unwrap();
        // By this time the delayed request of the cancelled attempt has arrived.
        let end = Instant::now() + Duration::from_millis(1700);
        cluster
            .wait_for("late request", |_| Instant::now() > end)
            .await;
        assert_eq!(cluster.running(), 6);
        cluster.check();
    });
}

cases! {
    // Guards against a late start of an aborted attempt.
    late_steps_after_abort_are_refused => {
        let cluster = Cluster::new(2).await;
        let spec = cluster.spec(1, 1, 4);
        let bound = cluster.driver.bind(cluster.driver.reserve(spec.clone()).await.unwrap()).await.unwrap();
        let duplicate = cluster.driver.bind(cluster.driver.reserve(spec.clone()).await.unwrap()).await.unwrap();
        assert!(cluster.driver.abort(duplicate).await.is_stop_confirmed());
        let failure = cluster.driver.launch(bound).await.unwrap_err();
        assert_eq!(failure.error.kind, ErrorKind::AttemptClosed);
        let failure = cluster.driver.start(spec.clone()).await.unwrap_err();
        assert_eq!(failure.error.kind, ErrorKind::AttemptClosed);
        assert_eq!(cluster.log.starts(spec.attempt), 0);
    }

    // Guards against commands of an owner that was replaced.
    older_epoch_is_refused_after_a_newer_one => {
        let cluster = Cluster::new(2).await;
        let bound = cluster.driver.bind(cluster.driver.reserve(cluster.spec(3, 1, 4)).await.unwrap()).await.unwrap();
        cluster.nodes[1].agent.set_epoch_floor(4);
        // Only the member knows the new epoch; the lead accepts the start, and the member's refusal fails it.
        let failure = cluster.driver.launch(bound).await.unwrap_err();
        assert_eq!(failure.error.kind, ErrorKind::StaleEpoch);
        assert!(!failure.is_stop_confirmed);
        cluster.wait_until_ended().await;
        let gang = cluster.driver.start(cluster.spec(5, 1, 4)).await.unwrap();
        let failure = cluster.driver.start(cluster.spec(4, 9, 4)).await.unwrap_err();
        assert_eq!(failure.error.kind, ErrorKind::StaleEpoch);
        let old = cluster.driver.adopt(gang.spec().clone(), 4);
        assert!(!cluster.driver.stop(old).await.is_stop_confirmed());
        assert_eq!(cluster.running(), 4);
        let adopted = cluster.driver.adopt(gang.spec().clone(), 6);
        assert!(cluster.driver.stop(adopted).await.is_stop_confirmed());
        assert_eq!(cluster.running(), 0);
        cluster.check();
    }

    // Guards against a start that is accepted before the agent knows the current epoch.
    agent_without_epoch_or_task_list_starts_nothing => {
        let mut cluster = Cluster::new(1).await;
        cluster.crash(0);
        cluster.restart(0).await;
        let failure = cluster.driver.start(cluster.spec(1, 1, 1)).await.unwrap_err();
        assert_eq!(failure.error.kind, ErrorKind::StaleView);
        cluster.nodes[0].agent.recover().await.unwrap();
        let failure = cluster.driver.start(cluster.spec(1, 2, 1)).await.unwrap_err();
        assert_eq!(failure.error.kind, ErrorKind::StaleView);
        cluster.nodes[0].agent.set_epoch_floor(1);
        cluster.driver.start(cluster.spec(1, 3, 1)).await.unwrap();
    }

    // Guards against members that keep running after another member failed or could not be started.
    member_failure_ends_the_gang => {
        let cluster = Cluster::new(3).await;
        let spec = cluster.spec(1, 1, 6);
        cluster.driver.start(spec.clone()).await.unwrap();
        cluster.nodes[2].worker.end_tasks(TaskState::Failed);
        cluster.wait_until_ended().await;
        assert_eq!(ends(&cluster, spec.attempt).await, vec![Some(GangEnd::Failed); 3]);
        let report = cluster.nodes[2].agent.report();
        assert_eq!(report.attempts[0].members[0].state, Some(TaskState::Failed));
        cluster.nodes[1].worker.refuse_start.set(true);
        let failure = cluster.driver.start(cluster.spec(1, 2, 6)).await.unwrap_err();
        assert_eq!(failure.worker.as_deref(), Some("worker-1"));
        assert!(failure.is_stop_confirmed);
        assert_eq!(cluster.running(), 0);
        cluster.check();
    }

    // Guards against running tasks, or a start in progress, that continue at an agent that was disconnected
    // for so long that its data centre may have been abandoned.
    disconnected_agent_ends_all_gangs => {
        let cluster = Cluster::new(3).await;
        cluster.driver.start(cluster.spec(1, 1, 6)).await.unwrap();
        let mut other = cluster.spec(1, 2, 3);
        other.job = "job-2".into();
        let bound = cluster.driver.reserve(other).await.unwrap();
        let bound = cluster.driver.bind(bound).await.unwrap();
        cluster.nodes[1].agent.end_all().await;
        assert_eq!(cluster.nodes[1].worker.running(), 0);
        let failure = cluster.driver.launch(bound).await.unwrap_err();
        assert_eq!(failure.error.kind, ErrorKind::AttemptClosed);
        // The loss of one member ends the whole gang.
        cluster.wait_until_ended().await;
        assert_eq!(cluster.running(), 0);
    }

    // Guards against members that keep running without their lead.
    lead_crash_ends_the_gang => {
        let cluster = Cluster::new(3).await;
        let spec = cluster.spec(1, 1, 6);
        cluster.driver.start(spec.clone()).await.unwrap();
        cluster.crash(0);
        cluster.wait_until_ended().await;
        for node in &cluster.nodes[1..] {
            assert_eq!(node.agent.report().attempts[0].end, Some(GangEnd::Lapsed));
        }
        cluster.check();
    }

    // Guards against a gang that loses its work because one agent restarts, and against a restarted agent
    // that stops a member it no longer knows.
    restarted_agents_rejoin_their_gang => {
        let mut cluster = Cluster::new(3).await;
        let spec = cluster.spec(1, 1, 6);
        let gang = cluster.driver.start(spec.clone()).await.unwrap();
        for index in [1, 0] {
            let renewals = cluster.nodes[2].worker.renewals.get();
            cluster.wait_for("renewal", |cluster| cluster.nodes[2].worker.renewals.get() > renewals).await;
            cluster.crash(index);
            cluster.restart(index).await;
            cluster.nodes[index].agent.recover().await.unwrap();
            let end = Instant::now() + cluster.timings.lease * 2;
            cluster.wait_for("two leases", |_| Instant::now() > end).await;
            assert_eq!(cluster.running(), 6);
        }
        assert_eq!(cluster.log.starts(spec.attempt), 6);
        assert!(cluster.driver.stop(gang).await.is_stop_confirmed());
        cluster.check();
    }

    // Guards against some members being renewed while the lead cannot reach another.
    broken_link_between_lead_and_member_ends_the_gang => {
        let cluster = Cluster::new(3).await;
        cluster.driver.start(cluster.spec(1, 1, 6)).await.unwrap();
        cluster.faults.add(Rule {
            from: Some("agent-0".into()),
            to: Some(cluster.nodes[2].address),
            path: "/",
            fault: Fault::Unreachable,
            count: u32::MAX,
        });
        cluster.wait_until_ended().await;
        // Each worker runs two tasks, and one round may extend the leases before the missing answer is known.
        let renewals = |index: usize| cluster.nodes[index].worker.renewals.get();
        assert!(renewals(1) <= renewals(2) + 2, "{} after {}", renewals(1), renewals(2));
        cluster.check();
    }

    // Guards against capacity of reachable workers that is released only with an unresponsive one: a reclaim
    // has 8.8 s, and an unresponsive member has provably ended only after its lease and the steps around it.
    unresponsive_member_does_not_delay_the_release_of_others => {
        let cluster = Cluster::new(3).await;
        let gang = cluster.driver.start(cluster.spec(1, 1, 6)).await.unwrap();
        cluster.faults.add(Rule {
            from: None,
            to: Some(cluster.nodes[2].address),
            path: "/",
            fault: Fault::Unreachable,
            count: u32::MAX,
        });
        let releasing = cluster.driver.release(gang, Duration::from_millis(200)).await;
        assert_eq!(releasing.unresponsive_workers(), ["worker-2".into()]);
        let stopped_workers: Vec<bool> =
            cluster.nodes.iter().map(|node| node.agent.report().attempts.iter().all(|part| part.end.is_some()))
                .collect();
        assert_eq!(stopped_workers[..2], [true, true]);
        let stopped = cluster.driver.confirm_stop(releasing).await;
        assert!(stopped.is_stop_confirmed());
        assert_eq!(cluster.running(), 0);
        cluster.check();
    }

    // Guards against a restart of the job while a member that the owner cannot reach still runs.
    unreachable_member_delays_the_next_attempt => {
        let cluster = Cluster::new(3).await;
        let gang = cluster.driver.start(cluster.spec(1, 1, 6)).await.unwrap();
        cluster.faults.add(Rule {
            from: None,
            to: Some(cluster.nodes[2].address),
            path: "/",
            fault: Fault::Unreachable,
            count: u32::MAX,
        });
        let stopped = cluster.driver.stop(gang).await;
        assert!(stopped.is_stop_confirmed());
        assert_eq!(stopped.checkpoint_ms(), None);
        assert_eq!(cluster.running(), 0);
        cluster.faults.clear();
        cluster.driver.start(cluster.spec(1, 2, 6)).await.unwrap();
        cluster.check();
    }

    // Guards against an owner that reports a gang as ended although it cannot reach any of its agents.
    disconnected_owner_does_not_confirm_the_end => {
        let cluster = Cluster::new(2).await;
        cluster.driver.start(cluster.spec(1, 1, 4)).await.unwrap();
        cluster.faults.add(Rule {
            from: Some("isolated".into()),
            to: None,
            path: "/",
            fault: Fault::Unreachable,
            count: u32::MAX,
        });
        let isolated = cluster.driver_of("isolated");
        let gang = isolated.adopt(cluster.spec(1, 1, 4), 1);
        assert!(!isolated.stop(gang).await.is_stop_confirmed());
        assert_eq!(cluster.running(), 4);
    }

    // Guards against a gang of the target size that does not start, renew or stop as a whole.
    gang_of_1024_tasks_runs_on_128_agents => {
        // A gang of this size needs longer intervals in a debug build than the other tests use.
        let timings = GangTimings {
            reservation: WAIT_LIMIT,
            lease: WAIT_LIMIT,
            request_timeout: Duration::from_secs(20),
            step_timeout: WAIT_LIMIT,
            ..common::timings()
        };
        let cluster = Cluster::with_timings(128, timings).await;
        let spec = cluster.spec(1, 1, 1024);
        let gang = cluster.driver.start(spec.clone()).await.unwrap();
        assert_eq!(cluster.running(), 1024);
        cluster.wait_for("renewal of all", |cluster| {
            cluster.nodes.iter().all(|node| node.worker.renewals.get() >= 16)
        }).await;
        assert!(cluster.driver.stop(gang).await.is_stop_confirmed());
        assert_eq!(cluster.running(), 0);
        assert_eq!(cluster.log.starts(spec.attempt), 1024);
        cluster.check();
    }
}
