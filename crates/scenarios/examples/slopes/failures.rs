//! Takeover after a crash of an owner, and the last task start after a take-out.

use std::time::Duration;
use std::time::Instant;

use crate::bench::Bench;
use crate::bench::WORKER;
use crate::bench::job;
use crate::report::Output;
use nutmegwalk_base::Result;
use nutmegwalk_node::api::Status;
use nutmegwalk_node::jobs::JobRequest;
use nutmegwalk_scenarios::measures::percentile;
use nutmegwalk_scenarios::platform::EventKind;

const TARGET_KILLS: usize = 100;

/// Returns the owner of a data centre, its epoch, and whether it has reports of at least two workers.
fn owner_of(status: &Status, data_centre: &str) -> Option<(Box<str>, u64, bool)> {
    let one = status
        .data_centres
        .iter()
        .find(|one| &*one.data_centre == data_centre)?;
    let has_reports = one
        .summary
        .as_ref()
        .is_some_and(|summary| summary.workers >= 2);
    Some((one.owner.clone()?, one.epoch, has_reports))
}

/// Measures takeovers in small data centres, where all agents contend, and in large ones, where only the first
/// relays do.
pub(crate) async fn takeover(output: &mut Output) -> Result<()> {
    kill_owners(output, 20, 3, Duration::from_secs(45)).await?;
    kill_owners(output, 3, 20, Duration::from_secs(20)).await
}

/// Kills the owners of all data centres together, repeatedly until `limit` or the target number is reached.
async fn kill_owners(
    output: &mut Output,
    data_centres: usize,
    agents: u32,
    limit: Duration,
) -> Result<()> {
    let names: Vec<String> = (0..data_centres)
        .map(|number| format!("d{number}"))
        .collect();
    let sites: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), agents)).collect();
    let mut bench = Bench::start(&sites, 1).await?;
    let started = Instant::now();
    let (mut epoch_times, mut report_times) = (Vec::new(), Vec::new());
    while epoch_times.len() < TARGET_KILLS && started.elapsed() < limit {
        let status = bench.operator.status().await?;
        let mut waiting = Vec::new();
        for name in &names {
            let Some((owner, epoch, true)) = owner_of(&status, name) else {
                continue;
            };
            let Some(worker) = owner.strip_prefix("agent-") else {
                continue;
            };
            if let Some(role) = bench.deployment.take_agent(worker) {
                // The time is measured from before the kill; a role ends within 10 ms.
                waiting.push((name, worker.to_owned(), epoch, Instant::now(), false));
                role.kill();
            }
        }
        let deadline = Instant::now() + Duration::from_secs(20);
        let killed: Vec<String> = waiting.iter().map(|one| one.1.clone()).collect();
        while !waiting.is_empty() && Instant::now() < deadline {
            compio::time::sleep(Duration::from_millis(25)).await;
            let status = bench.operator.status().await?;
            waiting.retain_mut(|(name, _, epoch, killed, has_new_epoch)| {
                let Some((_, now, has_reports)) = owner_of(&status, name) else {
                    return true;
                };
                if now > *epoch && !*has_new_epoch {
                    *has_new_epoch = true;
                    epoch_times.push(killed.elapsed().as_secs_f64());
                }
                if now > *epoch && has_reports {
                    report_times.push(killed.elapsed().as_secs_f64());
                    return false;
                }
                true
            });
        }
        if !waiting.is_empty() {
            output.note(format!(
                "takeover: {} data centres had no new owner after 20 s",
                waiting.len()
            ));
        }
        for worker in killed {
            bench.deployment.start_agent(&worker)?;
        }
        compio::time::sleep(Duration::from_millis(2500)).await;
    }
    output.note(format!(
        "takeover: {} kills, {agents} agents in each of {data_centres} data centres",
        epoch_times.len()
    ));
    for (what, times) in [
        ("the entry host reports a new epoch", &mut epoch_times),
        (
            "the new owner has the reports of two agents",
            &mut report_times,
        ),
    ] {
        output.note(format!(
            "takeover: from the kill until {what}: p50 {:.2} s, p99 {:.2} s, longest {:.2} s, {} times",
            percentile(times, 0.5),
            percentile(times, 0.99),
            percentile(times, 1.0),
            times.len()
        ));
    }
    Ok(())
}

/// Takes a data centre out while short jobs keep starting.
pub(crate) async fn take_out(output: &mut Output) -> Result<()> {
    let (mut last_starts, mut confirmed) = (Vec::new(), Vec::new());
    for workers in [3_u32, 6, 12] {
        let bench = Bench::start(&[("a", workers), ("b", workers)], 1).await?;
        // Enough jobs for both data centres to start some until after the take-out.
        let request = JobRequest {
            shape: WORKER,
            ..job(1, Duration::from_millis(700))
        };
        bench.submit(workers * 40, &request).await?;
        let platform = &bench.deployment.platform;
        let requested_at = platform.now();
        bench.operator.take_out("a").await?;
        let answered_at = platform.now();
        compio::time::sleep(Duration::from_secs(7)).await;
        let events = platform.events();
        let starts = |from: Duration| {
            let starts = events.iter().filter(move |event| {
                event.kind == EventKind::Started
                    && event.worker.starts_with("a-")
                    && event.at >= from
            });
            starts.map(|event| event.at)
        };
        let last = starts(requested_at).max().unwrap_or(requested_at);
        let starts_before = starts(requested_at.saturating_sub(Duration::from_secs(1))).count()
            - starts(requested_at).count();
        output.note(format!(
            "take-out: {workers} workers, {starts_before} starts in the second before, {} after",
            starts(requested_at).count()
        ));
        last_starts.push((
            f64::from(workers),
            last.saturating_sub(requested_at).as_secs_f64(),
        ));
        confirmed.push((
            f64::from(workers),
            answered_at.saturating_sub(requested_at).as_secs_f64(),
        ));
    }
    output.add_measurement(
        "take-out/last start after the request",
        "worker",
        "s",
        last_starts,
    );
    output.add_measurement(
        "take-out/answer with all confirmations",
        "worker",
        "s",
        confirmed,
    );
    Ok(())
}
