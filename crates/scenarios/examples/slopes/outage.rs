//! Work done during an outage of the store, as a share of the same run without it.

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

/// Length of the outage.
const OUTAGE: Duration = Duration::from_secs(60);
/// Workers of each deployment; all their accelerators are busy.
const WORKERS: u32 = 3;

/// Returns the accelerator-seconds done in the 60 s that start with the outage.
async fn run(length: u64, is_down: bool) -> Result<f64> {
    let bench = Bench::start(&[("a", WORKERS)], 1).await?;
    let slots = WORKERS * 8;
    // Lengths are spread, so that jobs do not end all at once; there is work for more than 80 s.
    let mut accelerators = BTreeMap::new();
    let rounds = 100 / u32::try_from(length).unwrap_or(1) + 2;
    for number in 0..slots * rounds {
        let work = Duration::from_millis(
            length * 1000 / 2 + length * 1000 * u64::from(number % slots) / u64::from(slots),
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
    let lengths = [10_u64, 40, 160];
    let runs = join_all(
        lengths
            .iter()
            .map(|length| try_join_all([run(*length, true), run(*length, false)])),
    )
    .await;
    let mut shares = Vec::new();
    for (length, works) in lengths.iter().zip(runs) {
        let works = works?;
        output.note(format!(
            "outage: jobs of {length} s: {:.0} accelerator-seconds with the outage, {:.0} without",
            works[0], works[1]
        ));
        shares.push((*length as f64, works[0] / works[1]));
    }
    output.figure(
        "outage/work in 60 s as a share of a run without it",
        "s of job length",
        "share",
        shares,
    );
    Ok(())
}
