//! Requests to table and object store: by process without load, and by jobs, claims and changes.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use futures_util::future::join_all;

use crate::bench::Bench;
use crate::bench::SERVICE;
use crate::bench::job;
use crate::report::Output;
use crate::system::thread_ms;
use nutmegwalk_base::Result;
use nutmegwalk_scenarios::platform::StoreCounters;

/// Time over which idle requests are counted.
const WINDOW: Duration = Duration::from_secs(6);
/// Time in which a batch of jobs ends, including all writes that follow from it.
const BATCH_TIME: Duration = Duration::from_secs(8);

pub(crate) async fn measure(output: &mut Output) -> Result<()> {
    idle(output).await?;
    let mut bench = Bench::start(&[("a", 4)], 1).await?;
    compio::time::sleep(Duration::from_secs(3)).await;
    jobs(output, &bench).await?;
    claims(output, &bench).await?;
    changes(output, &mut bench).await
}

fn counters(bench: &Bench) -> StoreCounters {
    bench.deployment.platform.store_counters()
}

/// Returns the total reads and writes of the processes whose names start with `prefix`.
fn requests_of(counters: &StoreCounters, prefix: &str) -> (f64, f64) {
    let matching = counters.processes.iter();
    let matching = matching.filter(|(name, _)| name.starts_with(prefix));
    matching.fold((0.0, 0.0), |sum, (_, one)| {
        (sum.0 + one.reads as f64, sum.1 + one.writes as f64)
    })
}

async fn idle(output: &mut Output) -> Result<()> {
    let mut points: [Vec<(f64, f64)>; 4] = Default::default();
    // With 20 workers there are relays, so three agents of each data centre contend for its lease.
    for data_centres in [1, 2, 3] {
        let names: Vec<String> = (0..data_centres)
            .map(|number| format!("d{number}"))
            .collect();
        let sites: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 20)).collect();
        let bench = Bench::start(&sites, 1).await?;
        compio::time::sleep(Duration::from_secs(6)).await;
        let before = counters(&bench);
        compio::time::sleep(WINDOW).await;
        let after = counters(&bench);
        let size = f64::from(data_centres);
        for (index, prefix) in ["entry-", "agent-"].iter().enumerate() {
            let (earlier, now) = (requests_of(&before, prefix), requests_of(&after, prefix));
            let seconds = WINDOW.as_secs_f64();
            points[index * 2].push((size, (now.0 - earlier.0) / seconds));
            points[index * 2 + 1].push((size, (now.1 - earlier.1) / seconds));
        }
        let agents = after
            .processes
            .iter()
            .filter(|(name, _)| name.starts_with("agent-"));
        let active = agents
            .filter(|(name, one)| before.processes.get(*name).copied().unwrap_or_default() != **one)
            .count();
        output.note(format!(
            "store: {active} of {} agents used the store in 6 s without load",
            data_centres * 20
        ));
    }
    let [entry_reads, entry_writes, agent_reads, agent_writes] = points;
    output.add_measurement(
        "store/idle reads of one entry host",
        "data centre",
        "reads/s",
        entry_reads,
    );
    output.add_measurement(
        "store/idle writes of one entry host (dispatcher's lease)",
        "data centre",
        "writes/s",
        entry_writes,
    );
    output.add_measurement(
        "store/idle reads of agents (contenders, owner)",
        "data centre",
        "reads/s",
        agent_reads,
    );
    output.add_measurement(
        "store/idle writes of agents (leases)",
        "data centre",
        "writes/s",
        agent_writes,
    );
    Ok(())
}

async fn jobs(output: &mut Output, bench: &Bench) -> Result<()> {
    let mut points: [Vec<(f64, f64)>; 5] = Default::default();
    for count in [0, 8, 16, 32] {
        let (before, before_ms) = (counters(bench), thread_ms());
        let started = std::time::Instant::now();
        bench
            .submit(count, &job(1, Duration::from_millis(500)))
            .await?;
        compio::time::sleep_until(started + BATCH_TIME).await;
        let (after, after_ms) = (counters(bench), thread_ms());
        let size = f64::from(count);
        for (index, prefix) in ["entry-", "agent-"].iter().enumerate() {
            let (earlier, now) = (requests_of(&before, prefix), requests_of(&after, prefix));
            points[index * 2].push((size, now.0 - earlier.0));
            points[index * 2 + 1].push((size, now.1 - earlier.1));
        }
        let busiest = after_ms
            .iter()
            .filter(|(name, _)| name.starts_with("agent-"));
        let used = busiest.filter_map(|(name, time)| Some(time - before_ms.get(name)?));
        points[4].push((size, used.fold(0.0, f64::max)));
    }
    let [
        entry_reads,
        entry_writes,
        agent_reads,
        agent_writes,
        processor,
    ] = points;
    output.add_measurement(
        "store/reads of the entry host by jobs, in 8 s",
        "job",
        "reads",
        entry_reads,
    );
    output.add_measurement(
        "store/writes of the entry host by jobs, in 8 s",
        "job",
        "writes",
        entry_writes,
    );
    output.add_measurement(
        "store/reads of the owner by jobs, in 8 s",
        "job",
        "reads",
        agent_reads,
    );
    output.add_measurement(
        "store/writes of the owner by jobs, in 8 s",
        "job",
        "writes",
        agent_writes,
    );
    output.add_measurement(
        "owner/processor by short one-task jobs from start to end, in 8 s",
        "job",
        "ms",
        processor,
    );
    Ok(())
}

/// Sends calls marked as never to be repeated, all concurrently, so that their claims share group commits.
async fn claims(output: &mut Output, bench: &Bench) -> Result<()> {
    let (mut writes, mut reads) = (Vec::new(), Vec::new());
    for count in [0, 25, 50, 100] {
        let before = requests_of(&counters(bench), "entry-");
        let started = std::time::Instant::now();
        let calls = (0..count).map(|number| async move {
            let now = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let key = format!("{}-{count}-{number}", now.as_millis());
            let headers = [("nutmegwalk-repeat", "never"), ("nutmegwalk-key", &*key)];
            let answer = bench.customer.call(SERVICE, &headers, "x".into()).await;
            answer.is_ok_and(|response| response.status == 200)
        });
        let done = join_all(calls)
            .await
            .into_iter()
            .filter(|done| *done)
            .count();
        compio::time::sleep_until(started + Duration::from_secs(4)).await;
        let after = requests_of(&counters(bench), "entry-");
        writes.push((done as f64, after.1 - before.1));
        reads.push((done as f64, after.0 - before.0));
    }
    output.add_measurement(
        "store/writes by claims made at once, in 4 s",
        "claim",
        "writes",
        writes,
    );
    output.add_measurement(
        "store/reads by claims made at once, in 4 s",
        "claim",
        "reads",
        reads,
    );
    Ok(())
}

async fn changes(output: &mut Output, bench: &mut Bench) -> Result<()> {
    let (mut writes, mut reads) = (Vec::new(), Vec::new());
    for count in [0, 5, 10, 20] {
        let before = requests_of(&counters(bench), "entry-");
        let started = std::time::Instant::now();
        for _ in 0..count {
            bench.publish_change().await?;
        }
        compio::time::sleep_until(started + Duration::from_secs(4)).await;
        let after = requests_of(&counters(bench), "entry-");
        writes.push((f64::from(count), after.1 - before.1));
        reads.push((f64::from(count), after.0 - before.0));
    }
    output.add_measurement(
        "store/writes by configuration changes, in 4 s",
        "change",
        "writes",
        writes,
    );
    output.add_measurement(
        "store/reads by configuration changes, in 4 s",
        "change",
        "reads",
        reads,
    );
    Ok(())
}
