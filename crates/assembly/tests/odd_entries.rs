//! Tests of a domain with odd entries: rows and jobs that this system would not write. They must neither stop the
//! owner nor affect other jobs.

mod common;

use std::time::Duration;

use common::TestDomain;
use common::job;
use common::run;

use nutmegwalk_store::Transaction;
use nutmegwalk_workload::JobSpec;
use nutmegwalk_workload::JobState;
use nutmegwalk_workload::Repeat;
use nutmegwalk_workload::Resources;
use nutmegwalk_workload::StepSpec;

/// Nesting that overflows the stack of a decoder that recurses without a limit.
const DEEP_NESTING: usize = 1_000_000;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() { run(|| async $body) })* };
}

/// Defines tests that submit an odd job, each with the change that makes it odd.
macro_rules! job_cases {
    ($($name:ident => $change:expr;)*) => {
        $(#[rstest::rstest] fn $name() {
            let change: fn(&mut JobSpec) = $change;
            run(|| assert_domain_serves_beside(change));
        })*
    };
}

/// Returns an accepted row whose field `spec` is `spec`.
fn accepted(spec: &str) -> String {
    format!(
        "{{\"customer\":\"mill\",\"queue\":\"normal\",\"policy\":{{\"service\":\"plank-desk\",\"priority\":1,\"max_failures\":2,\
         \"stretch\":3.0,\"completion_slack_ms\":1000,\"advice\":null}},\"config_version\":1,\
         \"accepted_unix_ms\":1,\"spec\":{spec}}}"
    )
}

fn one_task() -> String {
    serde_json::to_string(&job(1, 50)).expect("a job")
}

impl TestDomain {
    fn put(&self, key: &str, value: &str) {
        self.store
            .memory
            .apply(&Transaction::new().with_put(key, value));
    }

    /// Runs an ordinary job to its end.
    async fn assert_serves(&self, id: &str) {
        self.submit("normal", id, job(2, 50)).await;
        self.wait_for_state("normal", id, JobState::Completed).await;
        self.assert_no_violations();
    }
}

fn repeat(first_due_unix_ms: u64, interval_ms: u64, count: u32) -> Option<Repeat> {
    Some(Repeat {
        first_due_unix_ms,
        interval_ms,
        count,
    })
}

/// Submits a job with this change, and runs ordinary jobs beside it, also with a second owner.
async fn assert_domain_serves_beside(change: fn(&mut JobSpec)) {
    let domain = TestDomain::start(1).await;
    let mut spec = job(1, 50);
    change(&mut spec);
    domain.submit("urgent", "odd", spec).await;
    domain.assert_serves("a").await;
    domain.kill_agent(0);
    domain.start_agent(0).await;
    domain.assert_serves("b").await;
}

cases! {
    // Guards against an owner that ends its planning again and again because of one progress row, as do its successors.
    odd_progress_row_does_not_stop_the_owner => {
        let domain = TestDomain::start(1).await;
        let worker = "{\"id\":\"i-0\",\"born_unix_ms\":1,\"machine\":null}";
        let attempt = |run: u32, workers: &str| format!("{{\"run\":{run},\"workers\":[{workers}]}}");
        let with_steps = |steps: &str| format!("{{\"state\":\"running\",\"occurrences\":{{\"0\":[{steps}]}}}}");
        let with_unit = |unit: &str| with_steps(&format!("{{\"units\":[{unit}]}}"));
        let running = format!("{{\"last_run\":1,\"attempts\":[{}]}}", attempt(1, worker));
        let rows = [
            ("no_steps", with_steps("")),
            ("other_steps", with_steps(&format!("{{\"is_done\":true}},{{\"units\":[{running}]}}"))),
            ("other_units", with_unit(&format!("{running},{running}"))),
            ("other_workers", with_unit(&format!("{{\"last_run\":1,\"attempts\":[{}]}}", attempt(1, &format!("{worker},{worker}"))))),
            ("highest_run", with_unit("{\"last_run\":4294967295}")),
            ("run_beyond_the_last", with_unit(&format!("{{\"attempts\":[{}]}}", attempt(7, worker)))),
            ("other_occurrence", format!("{{\"state\":\"running\",\"occurrences\":{{\"7\":[{{\"units\":[{running}]}}]}}}}")),
            ("large_number", with_unit("{\"last_run\":1e400}")),
            ("negative_number", with_unit("{\"last_run\":-1}")),
            ("empty", String::new()),
            ("deep", "[".repeat(DEEP_NESTING)),
            ("deep_field", format!("{{\"state\":\"running\",\"new\":{}1{}}}", "[".repeat(DEEP_NESTING), "]".repeat(DEEP_NESTING))),
        ];
        for (id, progress) in &rows {
            domain.put(&format!("job/{id}/accepted"), &accepted(&one_task()));
            domain.put(&format!("job/{id}/progress"), progress);
        }
        domain.kill_agent(0);
        domain.start_agent(0).await;
        domain.assert_serves("a").await;
        domain.assert_serves("b").await;
    }

    // Guards against an owner that starts a job anew although its progress is only unreadable.
    job_with_an_unreadable_progress_row_is_not_started => {
        let domain = TestDomain::start(1).await;
        domain.put("job/odd/accepted", &accepted(&one_task()));
        domain.put("job/odd/progress", "{\"state\":7}");
        domain.kill_agent(0);
        domain.start_agent(0).await;
        domain.assert_serves("a").await;
        // A follower that has missed changes reads all rows again.
        domain.store.memory.drop_history();
        domain.put("op/other", "{}");
        domain.assert_serves("b").await;
        compio::time::sleep(Duration::from_millis(500)).await;
        assert!(domain.events.started_runs("odd.0.0.0").is_empty());
    }

    // Guards against an owner that ends its planning again and again because of one accepted row.
    odd_accepted_row_does_not_stop_the_owner => {
        let domain = TestDomain::start(1).await;
        let step = |fields: &str| accepted(&format!("{{\"payload\":\"\",\"steps\":[{{\"tasks\":1,\"demand\":{{}}{fields}}}]}}"));
        let rows = [
            ("no_steps", accepted("{\"payload\":\"\",\"steps\":[]}")),
            ("after_itself", step(",\"after\":[0]")),
            ("after_no_step", step(",\"after\":[9]")),
            ("no_tasks", accepted("{\"payload\":\"\",\"steps\":[{\"tasks\":0,\"demand\":{}}]}")),
            ("too_many_tasks", accepted("{\"payload\":\"\",\"steps\":[{\"tasks\":9000,\"demand\":{}}]}")),
            ("large_number", step(",\"estimate_ms\":1e400")),
            ("number_beyond_64_bits", step(",\"estimate_ms\":18446744073709551616")),
            ("negative_number", step(",\"estimate_ms\":-1")),
            ("fraction", step(",\"estimate_ms\":1.5")),
            ("other_type", step(",\"after\":{}")),
            ("missing_spec", "{\"queue\":\"normal\"}".to_owned()),
            ("empty", String::new()),
            ("truncated", accepted("{\"payload\":\"")),
            ("deep", "[".repeat(DEEP_NESTING)),
            ("deep_label", step(&format!(",\"required_label\":{}", "[".repeat(DEEP_NESTING)))),
        ];
        for (id, row) in &rows {
            domain.put(&format!("job/{id}/accepted"), row);
        }
        domain.put("job//accepted", &step(""));
        domain.put("job/accepted", &step(""));
        domain.put("job/x/y/z", "x");
        domain.assert_serves("a").await;
        domain.kill_agent(0);
        domain.start_agent(0).await;
        domain.assert_serves("b").await;
    }

    // Guards against a job that its customer cannot cancel, because its progress is unreadable.
    job_with_an_unreadable_progress_row_can_be_cancelled => {
        let domain = TestDomain::start(1).await;
        for (id, progress) in [("text", "{"), ("state", "{\"state\":7}"), ("empty", "")] {
            domain.put(&format!("job/{id}/accepted"), &accepted(&one_task()));
            domain.put(&format!("job/{id}/progress"), progress);
            domain.cancel("normal", id).await;
            assert_eq!(domain.state("normal", id).await, Ok(JobState::Cancelled), "{id}");
        }
    }
}

cases! {
    // Guards against a heartbeat of another writer that ends the runs of the worker and shuts it out.
    heartbeat_of_a_later_incarnation_that_does_not_exist_has_no_effect => {
        let domain = TestDomain::start(2).await;
        domain.submit("normal", "a", job(1, 4_000)).await;
        domain.wait_for_starts("a.0.0.0", 1).await;
        compio::time::sleep(Duration::from_millis(500)).await;
        let host = domain.host_of("a.0.0.0");
        let mut odd = domain.hosts[host].worker.announcement().expect("a worker");
        odd.worker.id = "i-odd".into();
        odd.worker.born_unix_ms = u64::MAX;
        domain.deliver_heartbeat(host, odd);
        domain.wait_for_state("normal", "a", JobState::Completed).await;
        assert_eq!(domain.events.started_runs("a.0.0.0").len(), 1);
        domain.assert_no_violations();
    }
}

// Guards against an owner that ends its planning again and again because of one job with large numbers.
job_cases! {
    job_with_the_longest_estimate => |spec| spec.steps[0].estimate_ms = u64::MAX;
    job_with_many_tasks_of_the_longest_estimate => |spec| {
        spec.steps[0].estimate_ms = u64::MAX;
        spec.steps[0].tasks = 8_192;
    };
    job_with_a_chain_of_the_longest_estimates => |spec| {
        let step = spec.steps[0].clone();
        spec.steps = (0..256)
            .map(|number: u32| StepSpec {
                after: number.checked_sub(1).into_iter().collect(),
                estimate_ms: u64::MAX,
                ..step.clone()
            })
            .collect();
    };
    job_with_the_largest_demand => |spec| spec.steps[0].demand = Resources::new(u64::MAX, u64::MAX, u64::MAX);
    job_with_many_tasks_of_the_largest_demand => |spec| {
        spec.steps[0].demand = Resources::new(u64::MAX, u64::MAX, u64::MAX);
        spec.steps[0].tasks = 100;
    };
    gang_with_the_largest_demand => |spec| {
        spec.steps[0].demand = Resources::new(u64::MAX, u64::MAX, u64::MAX);
        spec.steps[0].tasks = 100;
        spec.steps[0].is_gang = true;
    };
    job_that_is_never_due => |spec| spec.repeat = repeat(u64::MAX, u64::MAX, u32::MAX);
    job_with_the_longest_interval => |spec| spec.repeat = repeat(0, u64::MAX, u32::MAX);
    job_with_many_due_occurrences => |spec| {
        spec.repeat = repeat(0, 0, 300_000);
        spec.steps[0].demand = Resources::new(u64::MAX, 1, 1);
    };
    job_with_the_largest_limits => |spec| {
        spec.steps[0].latency_target_ms = Some(u64::MAX);
        spec.steps[0].max_tasks_per_worker = Some(u32::MAX);
        spec.steps[0].max_unavailable = Some(u32::MAX);
    };
}
