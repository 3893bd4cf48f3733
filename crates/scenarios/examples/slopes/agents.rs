//! Agents: idle, with configuration changes and with running tasks. Time until a version is in force.

use std::time::Duration;
use std::time::Instant;

use crate::bench::Bench;
use crate::bench::configuration;
use crate::bench::job;
use crate::probe::PROBE_TASK;
use crate::probe::PROBE_WORKER;
use crate::probe::Probe;
use crate::report::Output;
use crate::system::loads_of;
use crate::system::median;
use crate::system::resident_mb;
use crate::system::thread_load;
use nutmegwalk_base::Result;
use nutmegwalk_config::Rack;
use nutmegwalk_node::jobs::JobRequest;
use nutmegwalk_scenarios::measures::percentile;

/// Time over which loads are measured.
const WINDOW: Duration = Duration::from_secs(4);
/// Time to wait until relays and connections are established.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Work of tasks that run throughout a measurement.
const LONG_WORK: Duration = Duration::from_secs(3600);
/// Number of changes at each size whose time until they are in force is measured.
const SAMPLES: u32 = 4;

pub(crate) async fn measure(output: &mut Output) -> Result<()> {
    by_number(output).await?;
    by_load(output).await
}

/// Measures deployments of different sizes without load, and publishes a few changes in each.
async fn by_number(output: &mut Output) -> Result<()> {
    let (mut plain, mut busiest, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    let (mut entry, mut in_force, mut in_force_max) = (Vec::new(), Vec::new(), Vec::new());
    for count in [12, 24, 48] {
        let size = f64::from(count);
        let before_mb = resident_mb();
        let mut bench = Bench::start(&[("a", count)], 1).await?;
        memory.push((size, resident_mb() - before_mb));
        let _probe = Probe::start(&bench, "a")?;
        compio::time::sleep(SETTLE_TIME).await;
        let load = thread_load(WINDOW).await;
        let agents = loads_of(&load, "agent-a");
        plain.push((size, median(&loads_of(&load, "probe"))));
        busiest.push((size, agents.last().copied().unwrap_or(0.0)));
        entry.push((size, median(&loads_of(&load, "entry-0"))));
        let mut times = Vec::new();
        for sample in 0..SAMPLES {
            // Each sample starts at a different phase of the polling intervals.
            compio::time::sleep(Duration::from_millis(137) * sample).await;
            let version = bench.publish_change().await?;
            let committed = Instant::now();
            let reached = bench
                .operator
                .wait_for_status(Duration::from_secs(30), |status| {
                    status.oldest_version >= version
                })
                .await;
            if reached.is_some() {
                times.push(committed.elapsed().as_secs_f64());
            }
        }
        in_force.push((size, percentile(&mut times, 0.5)));
        in_force_max.push((size, percentile(&mut times, 1.0)));
    }
    output.add_measurement("agent/idle processor of the probe", "agent", "ms/s", plain);
    output.add_measurement(
        "agent/idle processor, busiest agent (owner, relay)",
        "agent",
        "ms/s",
        busiest,
    );
    output.add_measurement(
        "agent/memory of agent, backend server and worker stand-in",
        "agent",
        "MB",
        memory,
    );
    output.add_measurement(
        "entry/idle processor by agents, with relays from 16",
        "agent",
        "ms/s",
        entry,
    );
    output.add_measurement(
        "in force/median, as the status shows it",
        "agent",
        "s",
        in_force,
    );
    output.add_measurement(
        "in force/longest, as the status shows it",
        "agent",
        "s",
        in_force_max,
    );
    Ok(())
}

/// Measures one deployment under changes and running tasks. The deployment has fewer than 16 agents, so that
/// the probe polls the entry host through its forwarder instead of a relay.
async fn by_load(output: &mut Output) -> Result<()> {
    let mut configuration = configuration(&[("a", 7)]);
    let large = Rack {
        workers: 1,
        shape: PROBE_WORKER,
    };
    if let Some(site) = configuration.data_centres.get_mut("a") {
        site.racks.insert("big".into(), large);
    }
    let mut bench = Bench::from_configuration(configuration, 1)?;
    bench.publish_first().await?;
    bench.wait_for_workers(8).await?;
    // The probe replaces the agent of the large worker.
    drop(bench.deployment.take_agent("a-big-0"));
    compio::time::sleep(Duration::from_secs(8)).await;
    let probe = Probe::start(&bench, "a")?;
    bench.wait_for_workers(8).await?;
    compio::time::sleep(SETTLE_TIME).await;

    let (mut processor, mut bytes, mut store) = (Vec::new(), Vec::new(), Vec::new());
    for per_second in [0_u32, 2, 5] {
        let changes = publish_changes(&mut bench, per_second);
        let loads = async { futures_util::join!(thread_load(WINDOW), changes) };
        let (rates, (load, changes)) = probe.measure_during(loads).await;
        let rate = f64::from(changes?) / WINDOW.as_secs_f64();
        processor.push((rate, median(&loads_of(&load, "probe"))));
        bytes.push((rate, rates.entry));
        store.push((rate, rates.store));
    }
    output.add_measurement(
        "agent/processor by configuration changes",
        "change/s",
        "ms/s",
        processor,
    );
    output.add_measurement(
        "agent/bytes with its upstream by configuration changes",
        "change/s",
        "B/s",
        bytes,
    );
    output.add_measurement(
        "agent/bytes of a contender with the store",
        "change/s",
        "B/s",
        store,
    );

    let (mut processor, mut owner, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    let mut upstream = Vec::new();
    let mut jobs = 0;
    for target in [0_u32, 4, 8, 16] {
        let request = JobRequest {
            shape: PROBE_TASK,
            ..job(1, LONG_WORK)
        };
        bench.submit(target - jobs, &request).await?;
        jobs = target;
        bench.wait_for_running(jobs).await?;
        compio::time::sleep(Duration::from_secs(2)).await;
        let (rates, load) = probe.measure_during(thread_load(WINDOW)).await;
        let size = f64::from(target);
        processor.push((size, median(&loads_of(&load, "probe"))));
        owner.push((
            size,
            loads_of(&load, "agent-a").last().copied().unwrap_or(0.0),
        ));
        bytes.push((size, rates.worker));
        upstream.push((size, rates.entry));
    }
    output.add_measurement(
        "agent/processor by running tasks of one-task jobs",
        "task",
        "ms/s",
        processor,
    );
    output.add_measurement(
        "agent/bytes with its own worker by running tasks (same host)",
        "task",
        "B/s",
        bytes,
    );
    output.add_measurement(
        "agent/bytes with its upstream by running tasks",
        "task",
        "B/s",
        upstream,
    );
    output.add_measurement(
        "owner/processor of the busiest of 8 agents by jobs",
        "job",
        "ms/s",
        owner,
    );
    Ok(())
}

/// Publishes `per_second` changes per second during the window and returns their number.
async fn publish_changes(bench: &mut Bench, per_second: u32) -> Result<u32> {
    let started = Instant::now();
    let mut changes = 0;
    while per_second > 0 && started.elapsed() < WINDOW {
        bench.publish_change().await?;
        changes += 1;
        let due = started + Duration::from_secs(1) / per_second * changes;
        compio::time::sleep_until(due).await;
    }
    Ok(changes)
}
