//! Tests of a domain in which hosts are cut off for longer than the lease of their workers.

mod common;

use std::time::Duration;

use common::MAX_LEASE;
use common::TestDomain;
use common::WORKER_LEASE;
use common::gang;
use common::job;
use common::run;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use nutmegwalk_workload::JobState;

macro_rules! cases {
    ($($name:ident => ($seed:literal, $shortest_cut:expr);)*) => {
        $(#[rstest::rstest] fn $name() { run(|| cut_hosts_in_series($seed, $shortest_cut)) })*
    };
}

/// Number of hosts of the domain.
const HOSTS: usize = 4;
/// Number of cuts in one test.
const CUTS: usize = 4;
/// Accelerators of one worker.
const ACCELERATORS: u32 = 8;
/// Time by which cuts differ at most, in milliseconds.
const MAX_EXTRA_MS: u64 = 1_500;

/// Cuts one host after another off for at least `shortest_cut`, while jobs wait that need all hosts.
async fn cut_hosts_in_series(seed: u64, shortest_cut: Duration) {
    let mut rng = StdRng::seed_from_u64(seed);
    let domain = TestDomain::start_with_latency(HOSTS, rng.random()).await;
    let tasks = u32::try_from(HOSTS).expect("few hosts") * ACCELERATORS;
    for cut in 0..CUTS {
        let host = rng.random_range(0..HOSTS);
        let single = format!("single-{cut}");
        domain.submit("normal", &single, job(tasks, 700)).await;
        compio::time::sleep(Duration::from_millis(rng.random_range(100..600))).await;
        domain.cut_off(host);
        let extra = Duration::from_millis(rng.random_range(0..MAX_EXTRA_MS));
        compio::time::sleep((shortest_cut + extra) / 2).await;
        let (all, later) = (format!("all-{cut}"), format!("later-{cut}"));
        let gang_of_all = gang(u32::try_from(HOSTS).expect("few hosts"), 300);
        domain
            .wait_until_accepted("urgent", &all, gang_of_all)
            .await;
        domain
            .wait_until_accepted("normal", &later, job(2 * tasks, 200))
            .await;
        compio::time::sleep((shortest_cut + extra) / 2).await;
        domain.reconnect(host);
        for (queue, id) in [("normal", &single), ("urgent", &all), ("normal", &later)] {
            domain.wait_for_state(queue, id, JobState::Completed).await;
        }
        domain.assert_no_violations();
    }
}

/// Loses the answers to the orders for one host until its run has ended.
async fn lose_answers_to_all_orders_of_a_run() {
    let domain = TestDomain::start(2).await;
    domain.submit("normal", "first", gang(2, 100)).await;
    domain
        .wait_for_state("normal", "first", JobState::Completed)
        .await;
    let owner = domain.owner().expect("domain has an owner");
    domain.lose_answers_of(Some(1 - owner));
    domain.submit("normal", "unheard", gang(2, 300)).await;
    domain
        .wait_for_state("normal", "unheard", JobState::Completed)
        .await;
    domain.lose_answers_of(None);
    domain.submit("normal", "later", gang(2, 300)).await;
    domain
        .wait_for_state("normal", "later", JobState::Completed)
        .await;
    domain.assert_no_violations();
}

// Guards against a worker that gets no work for good because the orders that its agent did not answer are obsolete.
#[rstest::rstest]
fn worker_is_used_again_after_unanswered_orders() {
    run(lose_answers_to_all_orders_of_a_run);
}

/// Loses the answer to a start of which the run ends before the start is repeated.
async fn lose_answer_to_the_start_of_a_short_run() {
    let domain = TestDomain::start(1).await;
    domain.submit("normal", "first", job(1, 20)).await;
    domain
        .wait_for_state("normal", "first", JobState::Completed)
        .await;
    let faults = &domain.hosts[0].worker.faults;
    faults.loses_responses.set(true);
    domain.submit("normal", "a", job(1, 20)).await;
    domain.wait_for_starts("a.0.0.0", 1).await;
    // The answer to the poll that lists the end is lost as well.
    compio::time::sleep(Duration::from_millis(100)).await;
    faults.loses_responses.set(false);
    domain
        .wait_for_state("normal", "a", JobState::Completed)
        .await;
    domain.assert_no_violations();
    assert_eq!(domain.events.started_runs("a.0.0.0").len(), 1);
}

// Guards against taking the refusal of a repeated start for proof that the run did not start before.
#[rstest::rstest]
fn run_that_ended_before_its_start_was_repeated_does_not_run_again() {
    run(lose_answer_to_the_start_of_a_short_run);
}

cases! {
    // Guards against ending runs that were ordered after the lapse of a lease that a report of a reconnected host states.
    host_cut_for_longer_than_the_lease_of_its_worker => (1, MAX_LEASE);
    host_cut_for_longer_than_the_lease_of_its_worker_again => (2, MAX_LEASE);
    host_cut_until_the_owner_gives_its_worker_up => (3, WORKER_LEASE);
    host_cut_until_the_owner_gives_its_worker_up_again => (4, WORKER_LEASE);
}
