//! Measures how long a version takes to be in force and what the distribution costs each agent.
//!
//! All processes run in this one, on one thread, over loopback and with the intervals of production.
//! Prints one JSON object: one line of figures for each number of agents, and for each figure the
//! straight line through them. The client and the server of an agent are counted together; the entry
//! host's share is included in the processor time. `cargo run --release --example propagation`.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::new_incarnation;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_config::Configuration;
use nutmegwalk_config::load;
use nutmegwalk_net::Client;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Server;
use nutmegwalk_net::ServerLimits;
use nutmegwalk_store::MemoryStore;
use nutmegwalk_sync::Membership;
use nutmegwalk_sync::Payload;
use nutmegwalk_sync::Publisher;
use nutmegwalk_sync::Report;
use nutmegwalk_sync::Role;
use nutmegwalk_sync::SyncClient;
use nutmegwalk_sync::SyncServer;
use nutmegwalk_sync::SyncTimings;
use nutmegwalk_sync::View;
use nutmegwalk_sync::ViewReader;

/// Heads of one request and its response, counted from what the client and the server of `net` write.
const HTTP_OVERHEAD_BYTES: u64 = 300;
/// Clock ticks a second in `/proc/self/stat`; Linux has the same value on all machines.
const TICKS_PER_SECOND: f64 = 100.0;
/// Time over which the cost without changes is measured.
const IDLE: Duration = Duration::from_secs(10);
/// Time over which the cost with changes is measured.
const BUSY: Duration = Duration::from_secs(10);
/// Changes a second of the busy time.
const CHANGES_PER_SECOND: u32 = 5;
/// Changes whose time to be in force is measured.
const SAMPLES: usize = 10;

#[derive(Serialize)]
struct Figures {
    agents: usize,
    in_force_median_ms: f64,
    in_force_longest_ms: f64,
    status_longest_ms: f64,
    idle_bytes_per_agent_second: f64,
    idle_core_percent_per_agent: f64,
    bytes_per_agent_change: f64,
    core_ms_per_agent_change: f64,
    process_core_percent_idle: f64,
}

#[derive(Serialize)]
struct Line {
    figure: &'static str,
    slope_per_agent: f64,
    intercept: f64,
}

#[derive(Serialize)]
struct Output {
    relays_from: usize,
    http_overhead_bytes: u64,
    figures: Vec<Figures>,
    lines: Vec<Line>,
}

struct Agent {
    view: View,
    client: Rc<SyncClient>,
}

struct Deployment {
    publisher: Publisher,
    entry_membership: Membership,
    agents: Vec<Agent>,
    drain: Drain,
    weight: u32,
}

#[derive(Clone, Copy)]
struct Cost {
    bytes: u64,
    processor_ms: f64,
}

fn example(weight: u32) -> Result<Configuration> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kurzeme");
    let mut configuration = load(&[directory])?;
    if let Some(customer) = configuration.customers.get_mut("night-audit") {
        customer.weight = weight;
    }
    Ok(configuration)
}

fn processor_ms() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name of the process can hold blanks, so fields are counted after its closing bracket.
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |index: usize| {
        let field = fields.get(index).and_then(|text| text.parse::<f64>().ok());
        field.unwrap_or_default()
    };
    (ticks(11) + ticks(12)) * 1000.0 / TICKS_PER_SECOND
}

async fn serve(
    role: Role,
    view: &View,
    membership: &Membership,
    client: Option<&SyncClient>,
    server: Server,
    drain: &Drain,
) {
    let secret = Secret::new("s");
    let timings = SyncTimings::default();
    let mut handler = SyncServer::new(view.clone(), membership.clone(), secret, timings);
    if let Some(client) = client.filter(|_| role == Role::Agent) {
        handler = handler.with_announced_relays(client.relays());
    }
    compio::runtime::spawn(server.serve(Rc::new(handler), drain.clone())).detach();
    let (membership, drain) = (membership.clone(), drain.clone());
    compio::runtime::spawn(async move { membership.run(drain).await }).detach();
}

async fn bind() -> Result<Server> {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    Server::bind(address, ServerLimits::default()).await
}

async fn start_agent(number: usize, entry: SocketAddr, drain: &Drain) -> Result<Agent> {
    let timings = SyncTimings::default();
    let (view, membership) = (View::new(timings), Membership::new(timings));
    let server = bind().await?;
    let name = format!("agent-{number}");
    let report = Report {
        process: name.as_str().into(),
        role: Role::Agent,
        incarnation: new_incarnation(),
        data_centre: Some("ventspils".into()),
        worker: Some(format!("worker-{number}").into()),
        address: server.local_address(),
        draining: false,
        payload: Payload::new(&[0; 200]),
        revision: 1,
    };
    let http = Client::new(name, Secret::new("s"))?;
    let client = SyncClient::new(http, view.clone(), report, vec![entry], timings)
        .with_members(membership.clone());
    let client = Rc::new(client);
    serve(
        Role::Agent,
        &view,
        &membership,
        Some(&client),
        server,
        drain,
    )
    .await;
    let (running, until) = (Rc::clone(&client), drain.clone());
    compio::runtime::spawn(async move { running.run(until).await }).detach();
    Ok(Agent { view, client })
}

impl Deployment {
    async fn start(count: usize) -> Result<Self> {
        let timings = SyncTimings::default();
        let store = Rc::new(MemoryStore::new());
        let publisher = Publisher::new(store.clone(), store.clone());
        publisher.publish("anna", &example(1)?, None).await?;
        let drain = Drain::new();
        let (view, entry_membership) = (View::new(timings), Membership::new(timings));
        let server = bind().await?;
        let entry = server.local_address();
        serve(Role::Entry, &view, &entry_membership, None, server, &drain).await;
        let reader = ViewReader::new(store.clone(), store, view, timings);
        reader.read_once().await?;
        let until = drain.clone();
        compio::runtime::spawn(async move { reader.run(until).await }).detach();
        let mut agents = Vec::new();
        for number in 0..count {
            agents.push(start_agent(number, entry, &drain).await?);
        }
        let deployment = Self {
            publisher,
            entry_membership,
            agents,
            drain,
            weight: 100,
        };
        deployment.wait_in_force(1).await?;
        // Relays are chosen while agents arrive; two rounds later all agents use them.
        compio::time::sleep(Duration::from_secs(4)).await;
        Ok(deployment)
    }

    async fn publish(&mut self) -> Result<u64> {
        self.weight += 1;
        let wanted = example(self.weight)?;
        Ok(self.publisher.publish("anna", &wanted, None).await?.version)
    }

    /// Returns when all agents had the version, and when the entry host knew that they had.
    async fn wait_in_force(&self, version: u64) -> Result<(Instant, Instant)> {
        let started = Instant::now();
        let mut in_force = None;
        loop {
            if in_force.is_none()
                && self
                    .agents
                    .iter()
                    .all(|agent| agent.view.version() >= version)
            {
                in_force = Some(Instant::now());
            }
            let known = self.entry_membership.alive().len() == self.agents.len()
                && self.entry_membership.not_confirmed(version).is_empty();
            if let Some(in_force) = in_force.filter(|_| known) {
                return Ok((in_force, Instant::now()));
            }
            if started.elapsed() > Duration::from_secs(60) {
                let detail = format!("version {version} is not in force after 60 s");
                return Err(Error::new(ErrorKind::Internal, detail));
            }
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn cost(&self) -> Cost {
        let bytes = self.agents.iter().map(|agent| {
            let counters = agent.client.counters();
            let heads = (counters.polls + counters.failures) * HTTP_OVERHEAD_BYTES;
            counters.sent_bytes + counters.received_bytes + heads
        });
        Cost {
            bytes: bytes.sum(),
            processor_ms: processor_ms(),
        }
    }
}

async fn measure(count: usize) -> Result<Figures> {
    let mut deployment = Deployment::start(count).await?;
    let before = deployment.cost();
    compio::time::sleep(IDLE).await;
    let after = deployment.cost();
    let idle_bytes = (after.bytes - before.bytes) as f64 / IDLE.as_secs_f64();
    let idle_ms = (after.processor_ms - before.processor_ms) / IDLE.as_secs_f64();

    let before = deployment.cost();
    let started = Instant::now();
    let mut changes = 0_u32;
    while started.elapsed() < BUSY {
        deployment.publish().await?;
        changes += 1;
        compio::time::sleep_until(started + Duration::from_secs(1) / CHANGES_PER_SECOND * changes)
            .await;
    }
    let busy_seconds = started.elapsed().as_secs_f64();
    let after = deployment.cost();
    let agent_changes = f64::from(changes) * count as f64;
    let change_bytes = (after.bytes - before.bytes) as f64 - idle_bytes * busy_seconds;
    let change_ms = after.processor_ms - before.processor_ms - idle_ms * busy_seconds;

    let (mut in_force_ms, mut status_ms) = (Vec::new(), Vec::new());
    for sample in 0..SAMPLES {
        // Another phase of the readers' and agents' intervals each time.
        compio::time::sleep(Duration::from_millis(137 * sample as u64)).await;
        let version = deployment.publish().await?;
        let published = Instant::now();
        let (in_force, known) = deployment.wait_in_force(version).await?;
        in_force_ms.push((in_force - published).as_secs_f64() * 1000.0);
        status_ms.push((known - published).as_secs_f64() * 1000.0);
    }
    in_force_ms.sort_by(f64::total_cmp);
    status_ms.sort_by(f64::total_cmp);
    deployment.drain.start();
    let agents = count as f64;
    Ok(Figures {
        agents: count,
        in_force_median_ms: in_force_ms[SAMPLES / 2],
        in_force_longest_ms: in_force_ms[SAMPLES - 1],
        status_longest_ms: status_ms[SAMPLES - 1],
        idle_bytes_per_agent_second: idle_bytes / agents,
        idle_core_percent_per_agent: idle_ms / 10.0 / agents,
        bytes_per_agent_change: change_bytes / agent_changes,
        core_ms_per_agent_change: change_ms / agent_changes,
        process_core_percent_idle: idle_ms / 10.0,
    })
}

/// Fits a straight line by least squares.
fn line(figure: &'static str, figures: &[Figures], value: fn(&Figures) -> f64) -> Line {
    let count = figures.len() as f64;
    let mean_agents = figures.iter().map(|row| row.agents as f64).sum::<f64>() / count;
    let mean_value = figures.iter().map(value).sum::<f64>() / count;
    let (mut covariance, mut variance) = (0.0, 0.0);
    for row in figures {
        let distance = row.agents as f64 - mean_agents;
        covariance += distance * (value(row) - mean_value);
        variance += distance * distance;
    }
    let slope_per_agent = covariance / variance;
    Line {
        figure,
        slope_per_agent,
        intercept: mean_value - slope_per_agent * mean_agents,
    }
}

async fn run() -> Result<Output> {
    let mut figures = Vec::new();
    for count in [10, 50, 200] {
        figures.push(measure(count).await?);
        // Lets the tasks of the deployment that was just measured end.
        compio::time::sleep(Duration::from_secs(3)).await;
    }
    let lines = vec![
        line("in_force_longest_ms", &figures, |row| {
            row.in_force_longest_ms
        }),
        line("idle_bytes_per_agent_second", &figures, |row| {
            row.idle_bytes_per_agent_second
        }),
        line("bytes_per_agent_change", &figures, |row| {
            row.bytes_per_agent_change
        }),
        line("core_ms_per_agent_change", &figures, |row| {
            row.core_ms_per_agent_change
        }),
        line("process_core_percent_idle", &figures, |row| {
            row.process_core_percent_idle
        }),
    ];
    Ok(Output {
        relays_from: SyncTimings::default().relays_from,
        http_overhead_bytes: HTTP_OVERHEAD_BYTES,
        figures,
        lines,
    })
}

fn main() -> Result<()> {
    let runtime = compio::runtime::Runtime::new()
        .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
    let output = runtime.block_on(run())?;
    let text = serde_json::to_string_pretty(&output)
        .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
    println!("{text}");
    Ok(())
}
