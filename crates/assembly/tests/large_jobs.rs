//! Tests of jobs whose size exceeds what one row of the store, one message or one decision can hold.

mod common;

use std::time::Duration;

use common::TestDomain;
use common::gang;
use common::job;
use common::run;

use nutmegwalk_workload::JobSpec;
use nutmegwalk_workload::JobState;
use nutmegwalk_workload::PART_PREFIX;
use nutmegwalk_workload::Repeat;
use nutmegwalk_workload::Resources;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() { run(|| async $body) })* };
}

/// Number of hosts of the domain.
const HOSTS: usize = 3;

/// Returns a specification with tasks so small that hundreds of them run on a worker.
fn small_tasks(mut spec: JobSpec) -> JobSpec {
    spec.steps[0].demand = Resources::new(100, 64, 0);
    let (resources, work) = (
        "cpu=100 mem=64",
        spec.payload.split(" cpu=").next().expect("work"),
    );
    spec.payload = format!("{work} {resources}").into();
    spec
}

/// Waits until a job completes, and checks that the store refused no write because of its size.
async fn complete(domain: &TestDomain, queue: &str, id: &str) {
    domain.wait_for_state(queue, id, JobState::Completed).await;
    assert_eq!(domain.store.oversized_transactions.get(), 0);
}

cases! {
    // Guards against a job of many tasks whose progress does not fit into a row, which ends all scheduling.
    progress_of_a_job_of_many_tasks_is_stored => {
        let domain = TestDomain::start(HOSTS).await;
        domain.submit("normal", "large", small_tasks(job(2_500, 300))).await;
        domain.wait_for_starts("large.0.0.100", 1).await;
        domain.submit("normal", "small", job(2, 50)).await;
        complete(&domain, "normal", "small").await;
        complete(&domain, "normal", "large").await;
        let starts = (0..2_500).map(|task| domain.events.started_runs(&format!("large.0.0.{task}")).len());
        assert_eq!(starts.sum::<usize>(), 2_500, "each task has run once");
        domain.assert_no_violations();
    }

    // Guards against a gang that is accepted and never begins, as its members do not fit into a row or a message.
    gang_of_2048_tasks_runs => {
        let domain = TestDomain::start(HOSTS).await;
        domain.submit("normal", "large", small_tasks(gang(2_048, 300))).await;
        complete(&domain, "normal", "large").await;
        domain.assert_no_violations();
    }

    // Guards against a recurring job without a place that takes the memory and the time of the owner from all others.
    recurring_job_of_many_tasks_that_never_fit_holds_up_no_other => {
        let domain = TestDomain::start(HOSTS).await;
        let mut hopeless = job(8_000, 300);
        hopeless.steps[0].demand = Resources::new(1_000_000, 64, 0);
        hopeless.repeat = Some(Repeat { first_due_unix_ms: 0, interval_ms: 1, count: 64 });
        domain.submit("normal", "hopeless", hopeless).await;
        for id in ["a", "b", "c"] {
            domain.submit("normal", id, job(2, 50)).await;
            complete(&domain, "normal", id).await;
        }
        domain.assert_no_violations();
    }

    // Guards against an owner that takes parts of the progress for the whole, or loses them, when it takes over.
    progress_in_many_rows_is_inherited => {
        let domain = TestDomain::start(HOSTS).await;
        domain.submit("normal", "large", small_tasks(job(700, 4_000))).await;
        domain.submit("normal", "gang", small_tasks(gang(600, 4_000))).await;
        domain.wait_for_starts("large.0.0.300", 1).await;
        let owner = domain.owner().expect("an owner");
        domain.kill_agent(owner);
        domain.wait_until("another owner", || domain.owner().is_some_and(|other| other != owner)).await;
        domain.start_agent(owner).await;
        complete(&domain, "normal", "large").await;
        complete(&domain, "normal", "gang").await;
        domain.assert_no_violations();
    }

    // Guards against orders that no agent accepts, as the starts of one worker do not fit into a message.
    starts_that_exceed_a_message_are_sent_in_several => {
        let domain = TestDomain::start(1).await;
        let mut spec = small_tasks(job(1_200, 300));
        spec.payload = format!("{} {}", spec.payload, "x".repeat(8_000)).into();
        domain.submit("normal", "large", spec).await;
        complete(&domain, "normal", "large").await;
        domain.assert_no_violations();
    }

    // Guards against a job whose progress the store refuses for good keeping the resources of runs that never start.
    job_whose_progress_is_refused_holds_up_no_other => {
        let domain = TestDomain::start(1).await;
        *domain.store.refused_prefix.borrow_mut() = Some("job/refused/progress".into());
        domain.submit("normal", "refused", gang(1, 50)).await;
        compio::time::sleep(Duration::from_millis(300)).await;
        domain.submit("normal", "other", gang(1, 50)).await;
        complete(&domain, "normal", "other").await;
        assert_eq!(domain.events.started_runs("refused.0.0.0").len(), 0);
        *domain.store.refused_prefix.borrow_mut() = None;
        complete(&domain, "normal", "refused").await;
        domain.assert_no_violations();
    }

    // Guards against a large job that runs on after its cancellation was confirmed, or is shown as completed.
    large_job_is_cancelled_while_its_tasks_end => {
        let domain = TestDomain::start(HOSTS).await;
        domain.submit("normal", "large", small_tasks(job(8_000, 150))).await;
        domain.wait_for_starts("large.0.0.4000", 1).await;
        domain.cancel("normal", "large").await;
        domain.wait_for_state("normal", "large", JobState::Cancelled).await;
        domain.wait_until("no parts", || {
            domain.store.memory.read_range(PART_PREFIX, "", 1).is_empty()
        }).await;
        domain.assert_no_violations();
    }

    // Guards against rows that stay in the store after their job, and against a recurring job whose row grows with each
    // occurrence that is finished.
    rows_of_parts_are_deleted_with_their_steps => {
        let domain = TestDomain::start(HOSTS).await;
        let mut spec = small_tasks(job(70, 20));
        spec.repeat = Some(Repeat { first_due_unix_ms: 0, interval_ms: 1, count: 30 });
        domain.submit("normal", "recurring", spec).await;
        complete(&domain, "normal", "recurring").await;
        domain.wait_until("no parts", || {
            domain.store.memory.read_range(PART_PREFIX, "", 1).is_empty()
        }).await;
        domain.assert_no_violations();
    }
}
