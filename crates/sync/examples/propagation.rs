//! Measures the time until a configuration version is in force on all agents, and the cost per agent.
//!
//! An entry host and all agents run in this process, on one thread, over loopback and with the intervals of
//! production. Prints one JSON object with the measurements for each number of agents, and a linear fit over
//! the number of agents for some of the measured values. The costs of the client and the server of an agent
//! are counted together; the processor time also includes the entry host.
//!
//! Run with `cargo run --release --example propagation`.

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

/// Size of the HTTP heads of one request and its response, counted from what the client and the server of
/// the `net` crate write.
const HTTP_HEAD_BYTES: u64 = 300;
/// Clock ticks per second in `/proc/self/stat`; Linux has the same value on all machines.
const TICKS_PER_SECOND: f64 = 100.0;
/// Duration of the measurement of the cost without changes.
const IDLE_PERIOD: Duration = Duration::from_secs(10);
/// Duration of the measurement of the cost with changes.
const BUSY_PERIOD: Duration = Duration::from_secs(10);
/// Changes per second during the busy period.
const CHANGES_PER_SECOND: u32 = 5;
/// Number of changes for which the time until they are in force is measured.
const SAMPLES: usize = 10;

/// Measured values of a deployment with `agents` agents.
#[derive(Serialize)]
struct Measurement {
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

/// Least-squares fit of one measured value over the number of agents.
#[derive(Serialize)]
struct LinearFit {
    figure: &'static str,
    slope_per_agent: f64,
    intercept: f64,
}

#[derive(Serialize)]
struct Output {
    relays_from: usize,
    http_overhead_bytes: u64,
    figures: Vec<Measurement>,
    lines: Vec<LinearFit>,
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

/// Traffic of all agents and processor time of this process, both since their start.
#[derive(Clone, Copy)]
struct ResourceUsage {
    bytes: u64,
    processor_ms: f64,
}

/// Returns the example configuration with the given weight of one customer.
fn example(weight: u32) -> Result<Configuration> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kurzeme");
    let mut configuration = load(&[directory])?;
    if let Some(customer) = configuration.customers.get_mut("night-audit") {
        customer.weight = weight;
    }
    Ok(configuration)
}

/// Returns the processor time that this process has used, in milliseconds.
fn processor_ms() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name of the process can contain blanks, so fields are counted after its closing parenthesis.
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

/// Starts the server and the membership task of one process.
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
        .with_forwarded_members(membership.clone());
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
        // Relays are selected while agents start; all agents use them two poll rounds later.
        compio::time::sleep(Duration::from_secs(4)).await;
        Ok(deployment)
    }

    async fn publish(&mut self) -> Result<u64> {
        self.weight += 1;
        let wanted = example(self.weight)?;
        Ok(self.publisher.publish("anna", &wanted, None).await?.version)
    }

    /// Returns when all agents had the version, and when the entry host had their confirmations of it.
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
            let confirmed = self.entry_membership.alive().len() == self.agents.len()
                && self.entry_membership.not_confirmed(version).is_empty();
            if let Some(in_force) = in_force.filter(|_| confirmed) {
                return Ok((in_force, Instant::now()));
            }
            if started.elapsed() > Duration::from_secs(60) {
                let detail = format!("version {version} is not in force after 60 s");
                return Err(Error::new(ErrorKind::Internal, detail));
            }
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn usage(&self) -> ResourceUsage {
        let bytes = self.agents.iter().map(|agent| {
            let counters = agent.client.counters();
            let heads = (counters.polls + counters.failures) * HTTP_HEAD_BYTES;
            counters.sent_bytes + counters.received_bytes + heads
        });
        ResourceUsage {
            bytes: bytes.sum(),
            processor_ms: processor_ms(),
        }
    }
}

async fn measure(count: usize) -> Result<Measurement> {
    let mut deployment = Deployment::start(count).await?;
    let before = deployment.usage();
    compio::time::sleep(IDLE_PERIOD).await;
    let after = deployment.usage();
    let idle_bytes = (after.bytes - before.bytes) as f64 / IDLE_PERIOD.as_secs_f64();
    let idle_ms = (after.processor_ms - before.processor_ms) / IDLE_PERIOD.as_secs_f64();

    let before = deployment.usage();
    let started = Instant::now();
    let mut changes = 0_u32;
    while started.elapsed() < BUSY_PERIOD {
        deployment.publish().await?;
        changes += 1;
        compio::time::sleep_until(started + Duration::from_secs(1) / CHANGES_PER_SECOND * changes)
            .await;
    }
    let busy_seconds = started.elapsed().as_secs_f64();
    let after = deployment.usage();
    let agent_changes = f64::from(changes) * count as f64;
    let change_bytes = (after.bytes - before.bytes) as f64 - idle_bytes * busy_seconds;
    let change_ms = after.processor_ms - before.processor_ms - idle_ms * busy_seconds;

    let (mut in_force_ms, mut status_ms) = (Vec::new(), Vec::new());
    for sample in 0..SAMPLES {
        // Varies the phase of the publish relative to the intervals of the reader and the agents.
        compio::time::sleep(Duration::from_millis(137 * sample as u64)).await;
        let version = deployment.publish().await?;
        let published = Instant::now();
        let (in_force, confirmed) = deployment.wait_in_force(version).await?;
        in_force_ms.push((in_force - published).as_secs_f64() * 1000.0);
        status_ms.push((confirmed - published).as_secs_f64() * 1000.0);
    }
    in_force_ms.sort_by(f64::total_cmp);
    status_ms.sort_by(f64::total_cmp);
    deployment.drain.start();
    let agents = count as f64;
    Ok(Measurement {
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

/// Fits a straight line to a measured value over the number of agents by least squares.
fn fit_line(
    figure: &'static str,
    measurements: &[Measurement],
    value: fn(&Measurement) -> f64,
) -> LinearFit {
    let count = measurements.len() as f64;
    let mean_agents = measurements
        .iter()
        .map(|row| row.agents as f64)
        .sum::<f64>()
        / count;
    let mean_value = measurements.iter().map(value).sum::<f64>() / count;
    let (mut covariance, mut variance) = (0.0, 0.0);
    for row in measurements {
        let distance = row.agents as f64 - mean_agents;
        covariance += distance * (value(row) - mean_value);
        variance += distance * distance;
    }
    let slope_per_agent = covariance / variance;
    LinearFit {
        figure,
        slope_per_agent,
        intercept: mean_value - slope_per_agent * mean_agents,
    }
}

async fn run() -> Result<Output> {
    let mut measurements = Vec::new();
    for count in [10, 50, 200] {
        measurements.push(measure(count).await?);
        // Waits for the tasks of the measured deployment to end.
        compio::time::sleep(Duration::from_secs(3)).await;
    }
    let fits = vec![
        fit_line("in_force_longest_ms", &measurements, |row| {
            row.in_force_longest_ms
        }),
        fit_line("idle_bytes_per_agent_second", &measurements, |row| {
            row.idle_bytes_per_agent_second
        }),
        fit_line("bytes_per_agent_change", &measurements, |row| {
            row.bytes_per_agent_change
        }),
        fit_line("core_ms_per_agent_change", &measurements, |row| {
            row.core_ms_per_agent_change
        }),
        fit_line("process_core_percent_idle", &measurements, |row| {
            row.process_core_percent_idle
        }),
    ];
    Ok(Output {
        relays_from: SyncTimings::default().min_agents_for_relays,
        http_overhead_bytes: HTTP_HEAD_BYTES,
        figures: measurements,
        lines: fits,
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
