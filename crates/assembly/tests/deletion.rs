//! Tests of the deletion of jobs that have ended.

mod common;

use std::time::Duration;

use common::TestDomain;
use common::job;
use common::run;

use nutmegwalk_workload::JobRow;
use nutmegwalk_workload::JobState;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() { run(|| async $body) })* };
}

cases! {
    // Guards against a snapshot that was read before a job was deleted, is applied after it, and starts the job again.
    deleted_job_does_not_start_again_from_an_earlier_snapshot => {
        let domain = TestDomain::start_with_retention(1, Duration::from_secs(1)).await;
        domain.submit("normal", "a", job(1, 10)).await;
        domain.wait_for_state("normal", "a", JobState::Completed).await;
        domain.store.loses_history_at_deletion.set(true);
        let accepted = [JobRow::Accepted.key("a")];
        domain
            .wait_until("the job is deleted", || domain.store.memory.read(&accepted) == [None])
            .await;
        compio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(domain.events.started_runs("a.0.0.0").len(), 1);
    }

    // Guards against a new job that is cancelled, or never starts, because of the rows of a deleted one under its id.
    job_under_the_id_of_a_cancelled_and_deleted_one_runs => {
        let domain = TestDomain::start_with_retention(1, Duration::from_secs(1)).await;
        domain.submit("normal", "a", job(1, 600_000)).await;
        domain.wait_for_starts("a.0.0.0", 1).await;
        domain.cancel("normal", "a").await;
        domain.store.loses_history_at_deletion.set(true);
        let accepted = [JobRow::Accepted.key("a")];
        domain
            .wait_until("the job is deleted", || domain.store.memory.read(&accepted) == [None])
            .await;
        compio::time::sleep(Duration::from_secs(2)).await;
        domain.wait_until_accepted("normal", "a", job(1, 10)).await;
        domain.wait_for_state("normal", "a", JobState::Completed).await;
    }

    // Guards against an accepted job that is deleted, because the answer to the deletion of an earlier one was lost.
    job_accepted_after_a_deletion_without_an_answer_is_not_deleted => {
        let domain = TestDomain::start_with_retention(1, Duration::from_secs(1)).await;
        domain.submit("normal", "a", job(1, 10)).await;
        domain.wait_for_state("normal", "a", JobState::Completed).await;
        domain.store.loses_answers_of_deletions.set(true);
        let accepted = [JobRow::Accepted.key("a")];
        domain
            .wait_until("the job is deleted", || domain.store.memory.read(&accepted) == [None])
            .await;
        // The deletion is repeated until its deadline.
        compio::time::sleep(Duration::from_secs(3)).await;
        domain.store.loses_answers_of_deletions.set(false);
        domain.submit("normal", "a", job(1, 600_000)).await;
        assert!(domain.store.memory.read(&accepted)[0].is_some());
        domain.wait_for_starts("a.0.0.0", 2).await;
        assert!(domain.store.memory.read(&accepted)[0].is_some());
    }
}
