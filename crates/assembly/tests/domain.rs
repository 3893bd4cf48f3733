//! Tests of a complete domain: jobs run, and failures neither lose nor repeat work.

mod common;

use std::time::Duration;

use common::TestDomain;
use common::gang;
use common::job;
use common::run;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_supervisor::WorkerState;
use nutmegwalk_workload::JobSpec;
use nutmegwalk_workload::JobState;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::StepSpec;

/// Starts of a task that crashes each worker that starts it: one fewer than three more after three crashes.
const MAX_CRASHING_STARTS: usize = 5;

/// Returns a job of one task that crashes its worker shortly after it has started.
fn crashing() -> JobSpec {
    let mut spec = job(1, 60_000);
    spec.payload = "work=60000 crashes=20".into();
    spec
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() { run(|| async $body) })* };
}

cases! {
    // Guards against a break anywhere on the path from a caller to a worker.
    job_with_two_steps_completes => {
        let domain = TestDomain::start(2).await;
        let mut spec = job(3, 100);
        let second = StepSpec { after: vec![0], ..spec.steps[0].clone() };
        spec.steps.push(second);
        domain.submit("normal", "a", spec).await;
        domain.wait_for_state("normal", "a", JobState::Completed).await;
        assert_eq!(domain.events.started_runs("a.0.1.2").len(), 1);
        domain.assert_no_violations();
    }

    // Guards against acknowledging the end of a gang's member before the job's completion is stored: after a power
    // failure, a gang whose end was acknowledged would run again.
    end_of_a_gang_is_not_acknowledged_before_it_is_stored => {
        let domain = TestDomain::start(2).await;
        domain.submit("normal", "a", gang(2, 400)).await;
        domain.wait_for_starts("a.0.0.0", 1).await;
        domain.store.rejects_progress_writes.set(true);
        compio::time::sleep(Duration::from_millis(1_200)).await;
        domain.cut_power();
        domain.store.rejects_progress_writes.set(false);
        domain.restore_power().await;
        domain.wait_for_state("normal", "a", JobState::Completed).await;
        assert_eq!(domain.events.started_runs("a.0.0.0").len(), 2);
        domain.assert_no_violations();
    }

    // Guards against keeping runs assigned to a worker that has crashed while its agent still runs.
    run_on_a_crashed_worker_starts_elsewhere => {
        let domain = TestDomain::start(2).await;
        domain.submit("normal", "a", job(1, 1_500)).await;
        domain.wait_for_starts("a.0.0.0", 1).await;
        let host = domain.host_of("a.0.0.0");
        domain.hosts[host].worker.crash();
        domain.wait_for_starts("a.0.0.0", 2).await;
        domain.wait_for_state("normal", "a", JobState::Completed).await;
        domain.assert_no_violations();
    }

    // Guards against losing work on a worker that is withdrawn at short notice: the gang has to continue elsewhere
    // from its checkpoint before the worker stops.
    gang_moves_off_a_draining_worker => {
        let domain = TestDomain::start(3).await;
        let mut spec = gang(2, 3_000);
        spec.payload = "work=3000 gang=2 saves".into();
        spec.steps[0].has_checkpoints = true;
        domain.submit("normal", "a", spec).await;
        domain.wait_for_starts("a.0.0.1", 1).await;
        compio::time::sleep(Duration::from_millis(500)).await;
        let host = domain.host_of("a.0.0.0");
        domain.hosts[host].worker.state.set(WorkerState::Draining { remaining_ms: Some(1_500) });
        domain.wait_for_starts("a.0.0.1", 2).await;
        assert!(!domain.hosts[host].worker.has_run_of("a.0.0.0"));
        domain.hosts[host].worker.crash();
        domain.wait_for_state("normal", "a", JobState::Completed).await;
        assert_eq!(domain.events.started_runs("a.0.0.0").len(), 2, "no work was lost with the worker");
        domain.assert_no_violations();
    }

    // Guards against a job that is blocked for as long as a worker runs that makes no progress.
    stalled_run_starts_elsewhere => {
        let domain = TestDomain::start(2).await;
        domain.submit("normal", "a", job(1, 2_000)).await;
        domain.wait_for_starts("a.0.0.0", 1).await;
        let host = domain.host_of("a.0.0.0");
        domain.hosts[host].worker.faults.stalls.set(true);
        domain.wait_for_starts("a.0.0.0", 2).await;
        assert_ne!(domain.host_of("a.0.0.0"), host);
        domain.wait_for_state("normal", "a", JobState::Completed).await;
        domain.assert_no_violations();
    }

    // Guards against a job that is accepted although no worker will ever start it.
    job_that_needs_advice_is_refused_as_unsupported => {
        let domain = TestDomain::start(1).await;
        let error = domain.submit_refused("advised", "a").await;
        assert_eq!(error.kind, ErrorKind::Unsupported);
        assert_eq!(error.outcome(), Outcome::NotRun);
    }

    // Guards against callers that wait for a store that is known to be unreachable, and against refusals that
    // continue after the outage.
    callers_are_refused_immediately_during_an_outage => {
        let domain = TestDomain::start(1).await;
        domain.store.is_down.set(true);
        domain.wait_until_refused("normal", "a", "out of reach").await;
        domain.store.is_down.set(false);
        domain.wait_until_accepted("normal", "a", job(1, 10)).await;
        domain.wait_for_state("normal", "a", JobState::Completed).await;
        domain.assert_no_violations();
    }

    // Guards against a run that is preempted before it was stored and is then never placed again.
    run_preempted_before_it_was_stored_is_placed_again => {
        let domain = TestDomain::start(1).await;
        domain.submit("normal", "first", job(1, 10)).await;
        domain.wait_for_state("normal", "first", JobState::Completed).await;
        domain.store.rejects_progress_writes.set(true);
        domain.submit("normal", "a", gang(1, 4_000)).await;
        compio::time::sleep(Duration::from_millis(300)).await;
        domain.submit("urgent", "b", gang(1, 100)).await;
        compio::time::sleep(Duration::from_millis(300)).await;
        domain.store.rejects_progress_writes.set(false);
        domain.wait_for_state("urgent", "b", JobState::Completed).await;
        domain.wait_for_state("normal", "a", JobState::Completed).await;
        let run = domain.events.started_runs("a.0.0.0").pop().expect("task has a run");
        assert_eq!(run.run, 2, "the first run was preempted");
        domain.assert_no_violations();
    }

    // Guards against a takeover that loses or repeats running tasks.
    runs_continue_when_the_owner_crashes => {
        let domain = TestDomain::start(3).await;
        domain.submit("normal", "a", job(3, 4_000)).await;
        domain.wait_for_starts("a.0.0.2", 1).await;
        let owner = domain.owner().expect("domain has an owner");
        domain.kill_agent(owner);
        domain.start_agent(owner).await;
        domain.wait_for_state("normal", "a", JobState::Completed).await;
        for task in ["a.0.0.0", "a.0.0.1", "a.0.0.2"] {
            assert_eq!(domain.events.started_runs(task).len(), 1, "{task}");
        }
        domain.assert_no_violations();
    }

    // Guards against an unanswered start that takes effect after the task was started elsewhere.
    late_start_does_not_run_twice => {
        let domain = TestDomain::start(2).await;
        for host in &domain.hosts {
            host.worker.faults.start_delay.set(Some(Duration::from_millis(1_500)));
        }
        domain.submit("normal", "a", job(1, 1_000)).await;
        compio::time::sleep(Duration::from_millis(1_000)).await;
        for host in &domain.hosts {
            host.worker.faults.start_delay.set(None);
        }
        domain.wait_for_state("normal", "a", JobState::Completed).await;
        compio::time::sleep(Duration::from_millis(1_500)).await;
        domain.assert_no_violations();
    }

    // Guards against tasks that keep running after their job was cancelled.
    cancelled_job_stops => {
        let domain = TestDomain::start(1).await;
        domain.submit("normal", "a", job(2, 60_000)).await;
        domain.wait_for_starts("a.0.0.1", 1).await;
        domain.cancel("normal", "a").await;
        assert_eq!(domain.state("normal", "a").await, Ok(JobState::Cancelled));
        domain.submit("normal", "b", gang(1, 100)).await;
        domain.wait_for_state("normal", "b", JobState::Completed).await;
    }

    // Guards against an owner that has not read the jobs for a while and starts one that was cancelled since.
    owner_with_an_old_view_of_the_jobs_starts_nothing => {
        let domain = TestDomain::start(1).await;
        domain.submit("normal", "running", gang(1, 4_500)).await;
        domain.wait_for_starts("running.0.0.0", 1).await;
        domain.submit("normal", "waiting", gang(1, 100)).await;
        compio::time::sleep(Duration::from_millis(500)).await;
        domain.silence_job_feeds();
        domain.cancel("normal", "waiting").await;
        domain.wait_until("the first job has ended", || !domain.hosts[0].worker.has_run_of("running.0.0.0")).await;
        compio::time::sleep(Duration::from_millis(1_500)).await;
        assert!(domain.events.started_runs("waiting.0.0.0").is_empty());
        domain.assert_no_violations();
    }

    // Guards against a job that fails before its last attempt, or never.
    failing_job_fails_after_its_attempts => {
        let domain = TestDomain::start(3).await;
        let mut spec = job(1, 50);
        spec.payload = "work=50 fail".into();
        domain.submit("normal", "a", spec).await;
        domain.wait_for_state("normal", "a", JobState::Failed).await;
        assert_eq!(domain.events.started_runs("a.0.0.0").len(), 2);
    }

    // Guards against a task that crashes worker after worker: three more starts after three crashes are too many.
    task_that_crashes_its_workers_is_given_up => {
        let domain = TestDomain::start(4).await;
        domain.submit("normal", "a", crashing()).await;
        domain.wait_for_state("normal", "a", JobState::Failed).await;
        assert!(domain.events.started_runs("a.0.0.0").len() <= MAX_CRASHING_STARTS);
        compio::time::sleep(Duration::from_millis(1_500)).await;
        assert!(domain.hosts.iter().all(|host| !host.worker.has_run_of("a.0.0.0")));
        domain.assert_no_violations();
    }

    // Guards against crashes that are not counted since the lease of the worker has lapsed before it is back.
    crashes_count_although_the_lease_lapsed_before => {
        let domain = TestDomain::start(4).await;
        for host in &domain.hosts {
            host.worker.restart_delay.set(Duration::from_secs(6));
        }
        domain.submit("normal", "a", crashing()).await;
        domain.wait_for_state("normal", "a", JobState::Failed).await;
        assert!(domain.events.started_runs("a.0.0.0").len() <= MAX_CRASHING_STARTS);
        domain.assert_no_violations();
    }

    // Guards against a gang that crashes the workers of its members again and again.
    gang_that_crashes_its_workers_is_given_up => {
        let domain = TestDomain::start(3).await;
        let mut spec = gang(2, 60_000);
        spec.payload = "work=60000 gang=2 crashes=20".into();
        domain.submit("normal", "a", spec).await;
        domain.wait_for_state("normal", "a", JobState::Failed).await;
        for task in ["a.0.0.0", "a.0.0.1"] {
            assert!(domain.events.started_runs(task).len() <= MAX_CRASHING_STARTS, "{task}");
        }
        domain.assert_no_violations();
    }

    // Guards against a lasting task, which may fail without a limit, that crashes worker after worker.
    lasting_task_that_crashes_its_workers_is_given_up => {
        let domain = TestDomain::start(4).await;
        let mut spec = crashing();
        spec.payload = "lasts crashes=20".into();
        spec.steps[0].is_lasting = true;
        domain.submit("normal", "a", spec).await;
        domain.wait_for_state("normal", "a", JobState::Failed).await;
        assert!(domain.events.started_runs("a.0.0.0").len() <= MAX_CRASHING_STARTS);
        domain.assert_no_violations();
    }

    // Guards against an owner that starts to count the crashes anew when it takes over.
    crashes_of_workers_are_counted_across_owners => {
        let domain = TestDomain::start(4).await;
        domain.submit("normal", "a", crashing()).await;
        for starts in 1..=2 {
            domain.wait_for_starts("a.0.0.0", starts).await;
            let owner = domain.owner().expect("domain has an owner");
            domain.kill_agent(owner);
            domain.start_agent(owner).await;
        }
        domain.wait_for_state("normal", "a", JobState::Failed).await;
        assert!(domain.events.started_runs("a.0.0.0").len() <= MAX_CRASHING_STARTS);
        domain.assert_no_violations();
    }

    // Guards against jobs that are given up because another job's task has crashed their workers.
    job_beside_a_crashing_task_completes => {
        let domain = TestDomain::start(3).await;
        domain.submit("normal", "innocent", job(9, 1_500)).await;
        domain.wait_for_starts("innocent.0.0.8", 1).await;
        domain.submit("normal", "a", crashing()).await;
        domain.wait_for_state("normal", "a", JobState::Failed).await;
        domain.wait_for_state("normal", "innocent", JobState::Completed).await;
        domain.assert_no_violations();
    }

    // Guards against a job that is given up because its hosts fail: their workers have not crashed.
    job_on_hosts_that_fail_is_not_given_up => {
        let domain = TestDomain::start(2).await;
        domain.submit("normal", "a", job(1, 2_000)).await;
        for starts in 1..=4 {
            domain.wait_for_starts("a.0.0.0", starts).await;
            domain.cut_power();
            domain.restore_power().await;
        }
        domain.wait_for_state("normal", "a", JobState::Completed).await;
        domain.assert_no_violations();
    }

    // Guards against a start that was decided before a worker's capacity shrank and is ordered after that.
    start_beyond_a_capacity_that_has_shrunk_is_withdrawn => {
        let domain = TestDomain::start(1).await;
        domain.submit("normal", "first", job(1, 10)).await;
        domain.wait_for_state("normal", "first", JobState::Completed).await;
        let worker = &domain.hosts[0].worker;
        let capacity = worker.capacity.get();
        domain.store.rejects_progress_writes.set(true);
        domain.submit("normal", "a", gang(1, 100)).await;
        compio::time::sleep(Duration::from_millis(500)).await;
        worker.capacity.set(Resources { accelerators: 4, ..capacity });
        compio::time::sleep(Duration::from_millis(1_000)).await;
        domain.store.rejects_progress_writes.set(false);
        compio::time::sleep(Duration::from_millis(1_500)).await;
        assert!(domain.events.started_runs("a.0.0.0").is_empty(), "the task needs 8 accelerators of 4");
        worker.capacity.set(capacity);
        domain.wait_for_state("normal", "a", JobState::Completed).await;
        domain.assert_no_violations();
    }

    // Guards against starts that count on capacity that a worker no longer has, while runs that began before fill it.
    shrunk_capacity_holds_starts_back_until_it_has_grown => {
        let domain = TestDomain::start(1).await;
        domain.submit("normal", "running", job(4, 60_000)).await;
        domain.wait_for_starts("running.0.0.3", 1).await;
        let worker = &domain.hosts[0].worker;
        let capacity = worker.capacity.get();
        worker.capacity.set(Resources { accelerators: 2, ..capacity });
        compio::time::sleep(Duration::from_millis(1_000)).await;
        domain.submit("normal", "a", job(1, 100)).await;
        compio::time::sleep(Duration::from_millis(1_500)).await;
        assert!(domain.events.started_runs("a.0.0.0").is_empty(), "four accelerators of two are in use");
        worker.capacity.set(capacity);
        domain.wait_for_state("normal", "a", JobState::Completed).await;
        domain.assert_no_violations();
    }
}
