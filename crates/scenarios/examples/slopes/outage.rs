//! Work done during a store outage, as a share of the work in the same run without the outage.

use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::future::join_all;
use futures_util::future::try_join_all;

use crate::bench::Bench;
use crate::bench::TASK;
use crate::bench::job;
use crate::report::Output;
use nutmegwalk_base::Result;
use nutmegwalk_scenarios::measures::accelerator_seconds;

/// Duration of the outage.
const OUTAGE: Duration = Duration::from_secs(60);
/// Number of workers of each deployment; all their accelerators are in use.
const WORKERS: u32 = 3;

/// Runs jobs of `job_seconds` on average and returns the accelerator-seconds of work in the 60 s from the start of
/// the outage, or from the same time without an outage if `is_down` is false.
async fn run(job_seconds: u64, is_down: bool) -> Result<f64> {
    let bench = Bench::start(&[("a", WORKERS)], 1).await?;
    let slots = WORKERS * 8;
    // Job lengths are spread, so that the jobs do not all end at the same time. There is work for more than 80 s.
    let mut accelerators = BTreeMap::new();
    let rounds = 100 / u32::try_from(job_seconds).unwrap_or(1) + 2;
    for number in 0..slots * rounds {
        let work = Duration::from_millis(
            job_seconds * 1000 / 2
                + job_seconds * 1000 * u64::from(number % slots) / u64::from(slots),
        );
        for id in bench.submit(1, &job(1, work)).await? {
            accelerators.insert(id, TASK.accelerators);
        }
    }
    bench.wait_for_running(slots).await?;
    compio::time::sleep(Duration::from_secs(2)).await;
    let from = bench.deployment.platform.now();
    bench
        .deployment
        .platform
        .set_store_faults(|faults| faults.down = is_down);
    compio::time::sleep(OUTAGE).await;
    let to = bench.deployment.platform.now();
    bench
        .deployment
        .platform
        .set_store_faults(|faults| faults.down = false);
    let events = bench.deployment.platform.events();
    Ok(accelerator_seconds(&events, &accelerators, from, to))
}

pub(crate) async fn measure(output: &mut Output) -> Result<()> {
    let job_lengths = [10_u64, 40, 160];
    let runs = join_all(
        job_lengths
            .iter()
            .map(|job_seconds| try_join_all([run(*job_seconds, true), run(*job_seconds, false)])),
    )
    .await;
    let mut shares = Vec::new();
    for (job_seconds, work) in job_lengths.iter().zip(runs) {
        let work = work?;
        output.note(format!(
            "outage: jobs of {job_seconds} s: {:.0} accelerator-seconds with the outage, {:.0} without",
            work[0], work[1]
        ));
        shares.push((*job_seconds as f64, work[0] / work[1]));
    }
    output.add_measurement(
        "outage/work in 60 s as a share of a run without it",
        "s of job length",
        "share",
        shares,
    );
    Ok(())
}
