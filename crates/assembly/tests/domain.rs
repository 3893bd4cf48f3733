//! Tests of a whole domain: jobs run, and failures neither lose nor repeat work.

mod common;

use std::time::Duration;

use common::Site;
use common::gang;
use common::job;
use common::run;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_supervisor::WorkerState;
use nutmegwalk_workload::JobState;
use nutmegwalk_workload::StepSpec;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() { run(|| async $body) })* };
}

cases! {
    // Guards against a path that breaks anywhere between a caller and a worker.
    job_with_two_steps_completes => {
        let site = Site::start(2).await;
        let mut spec = job(3, 100);
        let second = StepSpec { after: vec![0], ..spec.steps[0].clone() };
        spec.steps.push(second);
        site.submit("normal", "a", spec).await;
        site.until_state("normal", "a", JobState::Completed).await;
        assert_eq!(site.record.started_runs("a.0.1.2").len(), 1);
        site.check();
    }

    // Guards against an end of a gang's member that is acknowledged before the store has the job's
    // completion: after a loss of power the gang would run again.
    end_of_a_gang_is_not_noted_while_the_store_is_down => {
        let site = Site::start(2).await;
        site.submit("normal", "a", gang(2, 400)).await;
        site.until_begun("a.0.0.0", 1).await;
        site.store.rejects_progress_writes.set(true);
        compio::time::sleep(Duration::from_millis(1_200)).await;
        site.cut_power();
        site.store.rejects_progress_writes.set(false);
        site.restore_power().await;
        site.until_state("normal", "a", JobState::Completed).await;
        assert_eq!(site.record.started_runs("a.0.0.0").len(), 2);
        site.check();
    }

    // Guards against runs that are kept for a worker that is dead while its agent lives.
    run_on_a_dead_worker_starts_elsewhere => {
        let site = Site::start(2).await;
        site.submit("normal", "a", job(1, 1_500)).await;
        site.until_begun("a.0.0.0", 1).await;
        let host = site.host_of("a.0.0.0");
        site.hosts[host].worker.die();
        site.until_begun("a.0.0.0", 2).await;
        site.until_state("normal", "a", JobState::Completed).await;
        site.check();
    }

    // Guards against work that is lost with a worker that is taken away at short notice: it has to go on
    // elsewhere, from its checkpoint, before the worker is gone.
    gang_leaves_a_worker_that_leaves => {
        let site = Site::start(3).await;
        let mut spec = gang(2, 3_000);
        spec.payload = "work=3000 gang=2 saves".into();
        spec.steps[0].has_checkpoints = true;
        site.submit("normal", "a", spec).await;
        site.until_begun("a.0.0.1", 1).await;
        compio::time::sleep(Duration::from_millis(500)).await;
        let host = site.host_of("a.0.0.0");
        site.hosts[host].worker.state.set(WorkerState::Draining { remaining_ms: Some(1_500) });
        site.until_begun("a.0.0.1", 2).await;
        assert!(!site.hosts[host].worker.runs("a.0.0.0"));
        site.hosts[host].worker.die();
        site.until_state("normal", "a", JobState::Completed).await;
        assert_eq!(site.record.started_runs("a.0.0.0").len(), 2, "no work was lost with the worker");
        site.check();
    }

    // Guards against a job that is held up for as long as a worker lives that does no work.
    run_that_stands_still_starts_elsewhere => {
        let site = Site::start(2).await;
        site.submit("normal", "a", job(1, 2_000)).await;
        site.until_begun("a.0.0.0", 1).await;
        let host = site.host_of("a.0.0.0");
        site.hosts[host].worker.faults.hangs.set(true);
        site.until_begun("a.0.0.0", 2).await;
        assert_ne!(site.host_of("a.0.0.0"), host);
        site.until_state("normal", "a", JobState::Completed).await;
        site.check();
    }

    // Guards against a job that is accepted although no worker will ever start it.
    job_that_needs_advice_is_refused_at_once => {
        let site = Site::start(1).await;
        let error = site.refusal("advised", "a").await;
        assert_eq!(error.kind, ErrorKind::Unsupported);
        assert_eq!(error.outcome(), Outcome::NotRun);
    }

    // Guards against callers that are held for a store that is known to be out of reach, and against a
    // refusal that outlasts the outage.
    callers_are_refused_at_once_during_an_outage => {
        let site = Site::start(1).await;
        site.store.is_down.set(true);
        site.until_refused("normal", "a", "out of reach").await;
        site.store.is_down.set(false);
        site.until_accepted("normal", "a", job(1, 10)).await;
        site.until_state("normal", "a", JobState::Completed).await;
        site.check();
    }

    // Guards against a run that is displaced before it was stored and never placed again.
    displaced_before_it_was_stored_is_placed_again => {
        let site = Site::start(1).await;
        site.submit("normal", "first", job(1, 10)).await;
        site.until_state("normal", "first", JobState::Completed).await;
        site.store.rejects_progress_writes.set(true);
        site.submit("normal", "a", gang(1, 4_000)).await;
        compio::time::sleep(Duration::from_millis(300)).await;
        site.submit("urgent", "b", gang(1, 100)).await;
        compio::time::sleep(Duration::from_millis(300)).await;
        site.store.rejects_progress_writes.set(false);
        site.until_state("urgent", "b", JobState::Completed).await;
        site.until_state("normal", "a", JobState::Completed).await;
        let run = site.record.started_runs("a.0.0.0").pop().expect("a run");
        assert_eq!(run.run, 2, "the first run was displaced");
        site.check();
    }

    // Guards against a takeover that loses or repeats what runs.
    work_goes_on_when_the_owner_dies => {
        let site = Site::start(3).await;
        site.submit("normal", "a", job(3, 4_000)).await;
        site.until_begun("a.0.0.2", 1).await;
        let owner = site.owner().expect("an owner");
        site.kill_agent(owner);
        site.start_agent(owner).await;
        site.until_state("normal", "a", JobState::Completed).await;
        for task in ["a.0.0.0", "a.0.0.1", "a.0.0.2"] {
            assert_eq!(site.record.started_runs(task).len(), 1, "{task}");
        }
        site.check();
    }

    // Guards against a start that was not answered and is carried out after the task runs elsewhere.
    late_start_does_not_run_twice => {
        let site = Site::start(2).await;
        for host in &site.hosts {
            host.worker.faults.start_delay.set(Some(Duration::from_millis(1_500)));
        }
        site.submit("normal", "a", job(1, 1_000)).await;
        compio::time::sleep(Duration::from_millis(1_000)).await;
        for host in &site.hosts {
            host.worker.faults.start_delay.set(None);
        }
        site.until_state("normal", "a", JobState::Completed).await;
        compio::time::sleep(Duration::from_millis(1_500)).await;
        site.check();
    }

    // Guards against tasks that run on after their job was cancelled.
    cancelled_job_stops => {
        let site = Site::start(1).await;
        site.submit("normal", "a", job(2, 60_000)).await;
        site.until_begun("a.0.0.1", 1).await;
        site.cancel("normal", "a").await;
        assert_eq!(site.state("normal", "a").await, Ok(JobState::Cancelled));
        site.submit("normal", "b", gang(1, 100)).await;
        site.until_state("normal", "b", JobState::Completed).await;
    }

    // Guards against a job that is given up too early or never.
    failing_job_fails_after_its_attempts => {
        let site = Site::start(3).await;
        let mut spec = job(1, 50);
        spec.payload = "work=50 fail".into();
        site.submit("normal", "a", spec).await;
        site.until_state("normal", "a", JobState::Failed).await;
        assert_eq!(site.record.started_runs("a.0.0.0").len(), 2);
    }
}
