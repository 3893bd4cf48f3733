//! Data-centre owner: one real agent that owns a data centre whose other agents are fake and report to it.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::bench::Bench;
use crate::bench::job;
use crate::forward::Forwarder;
use crate::probe::SECRET;
use crate::report::Output;
use crate::reporters::FakePart;
use crate::reporters::Reporters;
use crate::reporters::report;
use crate::reporters::worker_name;
use crate::system::loads_of;
use crate::system::median;
use crate::system::resident_mb;
use crate::system::thread_load;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_fleet::Placement;
use nutmegwalk_gang::Attempt;
use nutmegwalk_net::Client;
use nutmegwalk_net::decode;
use nutmegwalk_net::encode;
use nutmegwalk_node::job_table::JobTable;
use nutmegwalk_node::jobs::JobRecord;
use nutmegwalk_node::jobs::JobState;
use nutmegwalk_node::jobs::RunRecord;
use nutmegwalk_node::jobs::unix_ms;
use nutmegwalk_node::owner::messages::AgentReport;
use nutmegwalk_store::HttpStore;

/// Time over which the load is measured.
const WINDOW: Duration = Duration::from_secs(5);
/// Time to wait until all fake agents have reported to the new owner.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Number of reports over which the decoding time is averaged.
const DECODE_ROUNDS: u32 = 20_000;
const HOUR: Duration = Duration::from_secs(3600);

/// Results of one run.
struct RunResult {
    processor: f64,
    bytes_per_report: f64,
    memory_mb: f64,
    store_reads_per_second: f64,
    running: u32,
}

/// Load of a run: `jobs` gangs, each on `width` workers with `tasks` tasks on each worker.
#[derive(Clone, Copy)]
struct Load {
    workers: usize,
    jobs: usize,
    width: usize,
    tasks: u32,
}

pub(crate) async fn measure(output: &mut Output) -> Result<()> {
    let (mut processor, mut memory) = (Vec::new(), Vec::new());
    for workers in [10, 50, 150, 300] {
        let result = run(Load {
            workers,
            jobs: 0,
            width: 1,
            tasks: 1,
        })
        .await?;
        processor.push((workers as f64, result.processor));
        memory.push((workers as f64, result.memory_mb));
    }
    output.add_measurement(
        "owner/processor by reporting workers, no jobs",
        "worker",
        "ms/s",
        processor,
    );
    output.add_measurement(
        "owner/memory of owner and reporters together",
        "worker",
        "MB",
        memory,
    );

    let (mut processor, mut bytes, mut reads) = (Vec::new(), Vec::new(), Vec::new());
    for jobs in [0, 75, 150, 300] {
        let result = run(Load {
            workers: 150,
            jobs,
            width: 1,
            tasks: 1,
        })
        .await?;
        output.note(format!(
            "owner: {} of {jobs} jobs were adopted",
            result.running
        ));
        processor.push((jobs as f64, result.processor));
        reads.push((jobs as f64, result.store_reads_per_second));
        bytes.push((jobs as f64 / 150.0, result.bytes_per_report));
    }
    output.add_measurement(
        "owner/processor by one-task jobs, 150 workers",
        "job",
        "ms/s",
        processor,
    );
    output.add_measurement(
        "owner/bytes of a report and its answer by attempts",
        "attempt",
        "B",
        bytes,
    );
    output.add_measurement(
        "owner/store reads by jobs, owner and entry host",
        "job",
        "reads/s",
        reads,
    );

    let mut processor = Vec::new();
    for tasks in [1, 4, 8] {
        let result = run(Load {
            workers: 150,
            jobs: 30,
            width: 5,
            tasks,
        })
        .await?;
        output.note(format!(
            "owner: {} of 30 gangs were adopted",
            result.running
        ));
        processor.push((f64::from(tasks) * 150.0, result.processor));
    }
    output.add_measurement(
        "owner/processor by tasks of 30 gangs on 150 workers",
        "task",
        "ms/s",
        processor,
    );
    codec(output)
}

/// Measures the part of a report's cost that would remain if many reports were sent in one message.
fn codec(output: &mut Output) -> Result<()> {
    let mut points = Vec::new();
    for count in [0, 4, 8, 16] {
        let part = |number: u32| FakePart {
            job: format!("job-{number}").into(),
            attempt: Attempt {
                epoch: 1,
                sequence: u64::from(number),
            },
            first_member: 0,
            members: 1,
        };
        let parts: Vec<FakePart> = (0..count).map(part).collect();
        let address = ([127, 0, 0, 1], 1).into();
        let body = encode(&report(1, "a", address, &parts))?;
        let started = Instant::now();
        for _ in 0..DECODE_ROUNDS {
            std::hint::black_box(decode::<AgentReport>(&body)?);
        }
        let micros = started.elapsed().as_secs_f64() * 1e6 / f64::from(DECODE_ROUNDS);
        points.push((f64::from(count), micros));
    }
    output.add_measurement("owner/decoding a report", "attempt", "us", points);
    Ok(())
}

async fn run(load: Load) -> Result<RunResult> {
    let mut bench = Bench::start_unready(&[("a", 1)], 1)?;
    bench.publish_first().await?;
    // The rows must exist, and reports must arrive, before the owner's term begins. So the agent is stopped
    // until the rows are written.
    if let Some(agent) = bench.deployment.take_agent("a-r0-0") {
        agent.kill();
    }
    let parts = write_jobs(&bench, load).await?;
    let before_mb = resident_mb();
    bench.deployment.start_agent("a-r0-0")?;
    let agent = bench
        .deployment
        .agent("a-r0-0")
        .map(|agent| agent.address());
    let Some(agent) = agent else {
        return Ok(RunResult {
            processor: 0.0,
            bytes_per_report: 0.0,
            memory_mb: 0.0,
            store_reads_per_second: 0.0,
            running: 0,
        });
    };
    let forwarder = Forwarder::start(agent)?;
    let reporters = Reporters::start(forwarder.address, "a", parts);
    bench
        .wait_for_workers(u32::try_from(load.workers).unwrap_or(u32::MAX))
        .await?;
    compio::time::sleep(SETTLE_TIME).await;
    let read_counters = |bench: &Bench| {
        let reads = bench.deployment.platform.store_counters().reads;
        (
            forwarder.bytes(),
            reporters.accepted.load(Ordering::Relaxed),
            reads,
        )
    };
    let before = read_counters(&bench);
    let threads = thread_load(WINDOW).await;
    let after = read_counters(&bench);
    let status = bench.operator.status().await?;
    let running = status
        .data_centres
        .iter()
        .filter_map(|one| one.summary.as_ref());
    Ok(RunResult {
        processor: median(&loads_of(&threads, "agent-a")),
        bytes_per_report: (after.0 - before.0) as f64 / (after.1 - before.1).max(1) as f64,
        memory_mb: resident_mb() - before_mb,
        store_reads_per_second: (after.2 - before.2) as f64 / WINDOW.as_secs_f64(),
        running: running.map(|summary| summary.running_jobs).sum(),
    })
}

/// Writes the rows of running jobs and returns the gang parts on each fake worker.
async fn write_jobs(bench: &Bench, load: Load) -> Result<Vec<Vec<FakePart>>> {
    let client = Client::new("load", Secret::new(SECRET))?;
    let store = HttpStore::new(client, bench.deployment.platform.address());
    let table = JobTable::new(Rc::new(store));
    let mut parts = vec![Vec::new(); load.workers];
    for number in 0..load.jobs {
        let id: JobId = format!("job-{number}").into();
        let attempt = Attempt {
            epoch: 1,
            sequence: number as u64 + 1,
        };
        let mut placements = Vec::new();
        let mut first_member = 0;
        for offset in 0..load.width {
            let worker = (number * load.width + offset) % load.workers;
            parts[worker].push(FakePart {
                job: id.clone(),
                attempt,
                first_member,
                members: load.tasks,
            });
            first_member += load.tasks;
            placements.push(Placement {
                worker: worker_name(worker),
                tasks: load.tasks,
            });
        }
        let record = JobRecord {
            id,
            customer: "team".into(),
            request: job(first_member, HOUR),
            state: JobState::Accepted,
            home: "a".into(),
            checkpoint_ms: 0,
            accepted_unix_ms: unix_ms(),
            ended_unix_ms: None,
            error: None,
            run: Some(RunRecord {
                attempt,
                placements,
                borrowed: true,
            }),
        };
        table.accept(&record).await?;
    }
    Ok(parts)
}
