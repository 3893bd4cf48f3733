//! Runs the scenarios that take a few seconds, and two that take 25 s and have found faults, with the seeds in
//! their files, two at a time.
//!
//! Only scenarios that expect states and counts are included, because the verdict must not depend on the
//! speed of the machine. Scenarios with bounds on times or on calls answered under load are run by hand.

use std::path::Path;
use std::rc::Rc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;

use rstest::rstest;

use nutmegwalk_scenarios::runner;
use nutmegwalk_scenarios::script;

/// Number of scenarios that run concurrently; each has about 40 threads.
const MAX_CONCURRENT: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// Permit to run a scenario; dropping it lets the next scenario start.
struct Permit;

impl Permit {
    fn acquire() -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let mut running = ENDED
            .wait_while(running, |running| *running >= MAX_CONCURRENT)
            .unwrap_or_else(PoisonError::into_inner);
        *running += 1;
        Self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}

/// Guards against the failure that is described in each file.
#[rstest]
#[case::burst("burst")]
#[case::reclaim("reclaim")]
#[case::gang_member_dies("gang-member-dies")]
#[case::never_fits("never-fits")]
#[case::publish_race("publish-race")]
#[case::take_out_race("take-out-race")]
#[case::store_lost_answers("store-lost-answers")]
#[case::at_most_once_kill("at-most-once-kill")]
#[case::mixed_answers("mixed-answers")]
#[case::cancel_while_starting("cancel-while-starting")]
#[case::cancel_wave("cancel-wave")]
#[case::owner_killed("owner-killed")]
#[case::rolling_replace("rolling-replace")]
fn invariants_hold(#[case] name: &str) {
    let _permit = Permit::acquire();
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let file = root.join("scenarios").join(name).with_extension("toml");
    let scenario = script::load(&file, &root).unwrap_or_else(|error| panic!("{error}"));
    let seed = scenario.seed;
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    let report = runtime
        .block_on(runner::run(Rc::new(scenario), seed))
        .unwrap_or_else(|error| panic!("{name}, seed {seed}: {error}"));
    let violations: Vec<String> = report
        .evidence
        .iter()
        .flat_map(|(invariant, found)| found.iter().map(move |text| format!("{invariant}: {text}")))
        .collect();
    assert!(
        violations.is_empty(),
        "{name}, seed {seed}:\n{}\n{:#?}",
        violations.join("\n"),
        report.unexpected_results
    );
}
