//! Entry host: calls, idle connections, and the cost of agents that poll it directly.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;

use crate::bench::Bench;
use crate::bench::SERVICE;
use crate::report::Output;
use crate::system::loads_of;
use crate::system::median;
use crate::system::resident_mb;
use crate::system::thread_load;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// Time over which loads are measured.
const WINDOW: Duration = Duration::from_secs(4);

pub(crate) async fn measure(output: &mut Output) -> Result<()> {
    let bench = Bench::start(&[("a", 4)], 1).await?;
    compio::time::sleep(Duration::from_secs(2)).await;
    calls(output, &bench).await?;
    connections(output, &bench)?;
    drop(bench);

    let (mut processor, mut reads) = (Vec::new(), Vec::new());
    // Data centres with fewer than 16 agents have no relays, so all their agents poll the entry host.
    for data_centres in [1, 2, 4] {
        let names: Vec<String> = (0..data_centres)
            .map(|number| format!("d{number}"))
            .collect();
        let sites: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 12)).collect();
        let bench = Bench::start(&sites, 1).await?;
        compio::time::sleep(Duration::from_secs(3)).await;
        let reads_of_entry = || {
            let counters = bench.deployment.platform.store_counters();
            let entry = counters.processes.get("entry-0").copied();
            entry.unwrap_or_default().reads as f64
        };
        let before = reads_of_entry();
        let load = thread_load(WINDOW).await;
        let agents = f64::from(data_centres) * 12.0;
        processor.push((agents, median(&loads_of(&load, "entry-0"))));
        reads.push((agents, (reads_of_entry() - before) / WINDOW.as_secs_f64()));
    }
    output.add_measurement(
        "entry/processor by agents that poll it",
        "agent",
        "ms/s",
        processor,
    );
    output.add_measurement(
        "entry/store reads by agents that poll it",
        "agent",
        "reads/s",
        reads,
    );
    Ok(())
}

async fn calls(output: &mut Output, bench: &Bench) -> Result<()> {
    let (mut entry, mut agent) = (Vec::new(), Vec::new());
    for per_second in [0_u32, 50, 100, 200] {
        let load =
            async { futures_util::join!(thread_load(WINDOW), make_calls(bench, per_second)) };
        let (load, done) = load.await;
        let rate = f64::from(done) / WINDOW.as_secs_f64();
        entry.push((rate, median(&loads_of(&load, "entry-0"))));
        let agents: f64 = loads_of(&load, "agent-a").iter().sum();
        agent.push((rate, agents));
    }
    output.add_measurement("entry/processor by calls", "call/s", "ms/s", entry);
    output.add_measurement(
        "agent/processor of 4 agents together by calls",
        "call/s",
        "ms/s",
        agent,
    );
    Ok(())
}

/// Makes calls at a fixed rate and returns the number of calls that were answered with status 200.
async fn make_calls(bench: &Bench, per_second: u32) -> u32 {
    let started = Instant::now();
    let mut calls = Vec::new();
    for number in 0.. {
        if per_second == 0 || started.elapsed() >= WINDOW {
            break;
        }
        let api = bench.customer.clone();
        calls.push(compio::runtime::spawn(async move {
            let answer = api.call(SERVICE, &[], "x".repeat(200).into()).await;
            answer.is_ok_and(|response| response.status == 200)
        }));
        let due = started + Duration::from_secs(1) / per_second * (number + 1);
        compio::time::sleep_until(due).await;
    }
    let answers = join_all(calls).await;
    let done = answers
        .into_iter()
        .filter(|answer| matches!(answer, Ok(true)));
    u32::try_from(done.count()).unwrap_or(u32::MAX)
}

fn connections(output: &mut Output, bench: &Bench) -> Result<()> {
    let address = bench.deployment.entry_addresses()[0];
    let mut open = Vec::new();
    let mut memory = vec![(0.0, 0.0)];
    let before = resident_mb();
    for target in [200, 400, 800] {
        while open.len() < target {
            open.push(connect(address)?);
        }
        std::thread::sleep(Duration::from_millis(300));
        memory.push((target as f64, resident_mb() - before));
    }
    output.add_measurement(
        "entry/memory by idle connections, without the kernel's",
        "connection",
        "MB",
        memory,
    );
    Ok(())
}

/// Opens a connection and sends one request on it.
fn connect(address: SocketAddr) -> Result<TcpStream> {
    let failed = |error: std::io::Error| Error::new(ErrorKind::Unreachable, error.to_string());
    let mut stream = TcpStream::connect(address).map_err(failed)?;
    stream
        .write_all(b"GET /healthz HTTP/1.1\r\nhost: entry\r\n\r\n")
        .map_err(failed)?;
    let mut buffer = [0; 1024];
    let _ = stream.read(&mut buffer).map_err(failed)?;
    Ok(stream)
}
