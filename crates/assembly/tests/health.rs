//! Tests of jobs whose failures must not be held against the workers that ran them.

mod common;

use common::TestDomain;
use common::gang;
use common::job;
use common::run;

use nutmegwalk_workload::JobState;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() { run(|| async $body) })* };
}

/// Number of hosts of the domain, with eight accelerators each.
const HOSTS: u32 = 5;

cases! {
    // Guards against a job that can never be done closing all workers to the jobs after it.
    hopeless_job_closes_no_worker => {
        let domain = TestDomain::start(HOSTS as usize).await;
        let mut hopeless = job(HOSTS * 8, 50);
        hopeless.payload = "work=50 cpu=1000 mem=1024 gpu=1 fail".into();
        domain.submit("normal", "hopeless", hopeless).await;
        domain.wait_for_state("normal", "hopeless", JobState::Failed).await;
        domain.submit("urgent", "covered", gang(2, 50)).await;
        domain.wait_for_state("urgent", "covered", JobState::Completed).await;
        assert_eq!(domain.quarantines(), 0);
        domain.assert_no_violations();
    }

    // Guards against tasks that last, and may fail at any time, closing their workers when they fail together.
    lasting_tasks_that_fail_together_close_no_worker => {
        let domain = TestDomain::start(HOSTS as usize).await;
        let mut lasting = job(HOSTS * 8, 400);
        lasting.payload = "work=400 cpu=1000 mem=1024 gpu=1 fails=1 lasts".into();
        lasting.steps[0].is_lasting = true;
        domain.submit("normal", "lasting", lasting).await;
        for task in 0..HOSTS * 8 {
            domain.wait_for_starts(&format!("lasting.0.0.{task}"), 2).await;
        }
        assert_eq!(domain.quarantines(), 0);
        domain.assert_no_violations();
    }

    // Guards against a worker being barred for good to the tasks that failed there, where no other has room.
    task_that_failed_runs_again_where_only_its_worker_has_room => {
        let domain = TestDomain::start(3).await;
        let mut others = job(16, 50);
        others.payload = "work=50 cpu=1000 mem=1024 gpu=1 lasts".into();
        others.steps[0].is_lasting = true;
        domain.submit("normal", "others", others).await;
        for task in 0..16 {
            domain.wait_for_starts(&format!("others.0.0.{task}"), 1).await;
        }
        let mut failing = job(8, 50);
        failing.payload = "work=50 cpu=1000 mem=1024 gpu=1 fails=1 lasts".into();
        failing.steps[0].is_lasting = true;
        domain.submit("normal", "failing", failing).await;
        for task in 0..8 {
            domain.wait_for_starts(&format!("failing.0.0.{task}"), 2).await;
        }
        domain.assert_no_violations();
    }

    // Guards against a worker that fails all that it starts and uses up the attempts of one job after the other.
    worker_that_fails_all_it_starts_is_closed => {
        let domain = TestDomain::start(HOSTS as usize).await;
        domain.hosts[0].worker.faults.fails_all.set(true);
        for number in 0..6 {
            domain.submit("normal", &format!("job-{number}"), job(HOSTS * 2, 300)).await;
        }
        domain.wait_until("a quarantine", || domain.quarantines() > 0).await;
        domain.hosts[0].worker.faults.fails_all.set(false);
        domain.assert_no_violations();
    }
}
