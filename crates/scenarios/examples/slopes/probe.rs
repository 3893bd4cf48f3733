//! Single agent whose traffic goes through byte-counting forwarders.
//!
//! Its thread, `probe`, checks its control flag ten times less often than the roles of a deployment, so
//! that the processor time of the thread is essentially that of the agent.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::LevelFilter;

use crate::bench::Bench;
use crate::forward::Forwarder;
use nutmegwalk_base::Result;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_config::WorkerShape;
use nutmegwalk_net::Drain;
use nutmegwalk_node::Agent;
use nutmegwalk_node::NodeOptions;
use nutmegwalk_node::settings::AgentSettings;
use nutmegwalk_node::settings::CommonSettings;
use nutmegwalk_scenarios::platform::WorkerSize;

/// Secret of the processes of `nutmegwalk_scenarios::deployment`.
pub(crate) const SECRET: &str = "loopback-deployment-secret";
/// Name of the probe's worker.
const WORKER_NAME: &str = "probe";
/// Size of the probe's worker, the only one with enough resources for [`PROBE_TASK`].
pub(crate) const PROBE_WORKER: WorkerShape = WorkerShape {
    cores: 8000,
    memory_mb: 262_144,
    accelerators: 32,
};
/// Size of tasks that only fit on the probe's worker.
pub(crate) const PROBE_TASK: WorkerShape = WorkerShape {
    cores: 200,
    memory_mb: 1024,
    accelerators: 1,
};

/// Agent in addition to those of a deployment, with counters of the bytes that it exchanges.
pub(crate) struct Probe {
    entry: Forwarder,
    worker: Forwarder,
    store: Forwarder,
    stopping: Arc<AtomicBool>,
}

/// Bytes that the probe exchanged with each peer, in total or per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeBytes {
    pub(crate) entry: f64,
    pub(crate) worker: f64,
    pub(crate) store: f64,
}

impl Probe {
    /// Starts an agent in `data_centre` on its own thread.
    pub(crate) fn start(bench: &Bench, data_centre: &str) -> Result<Self> {
        let platform = bench.deployment.platform.address();
        let entry = Forwarder::start(bench.deployment.entry_addresses()[0])?;
        let (worker, store) = (Forwarder::start(platform)?, Forwarder::start(platform)?);
        let size = WorkerSize {
            cores: PROBE_WORKER.cores,
            memory_mb: PROBE_WORKER.memory_mb,
            accelerators: PROBE_WORKER.accelerators,
        };
        bench.deployment.platform.add_worker(WORKER_NAME, size);
        let settings = AgentSettings {
            common: CommonSettings {
                name: "agent-probe".into(),
                listen: ([127, 0, 0, 1], 0).into(),
                data_centre: data_centre.into(),
                region: format!("region-{data_centre}").into(),
                store: store.address,
                secret: Secret::new(SECRET),
                log_level: LevelFilter::Info,
                drain_ms: 1000,
            },
            worker: WORKER_NAME.into(),
            rack: "r0".into(),
            worker_address: worker.address,
            cores: PROBE_WORKER.cores,
            memory_mb: PROBE_WORKER.memory_mb,
            accelerators: PROBE_WORKER.accelerators,
            entries: vec![entry.address],
            far_entries: Vec::new(),
        };
        let stopping = Arc::new(AtomicBool::new(false));
        let stop_flag = Arc::clone(&stopping);
        let builder = std::thread::Builder::new().name("probe".into());
        let spawned = builder.spawn(move || {
            let Ok(runtime) = compio::runtime::Runtime::new() else {
                return;
            };
            runtime.block_on(async {
                let Ok(agent) = Agent::bind(settings, NodeOptions::new()).await else {
                    return;
                };
                compio::runtime::spawn(agent.run(Drain::new())).detach();
                while !stop_flag.load(Ordering::Relaxed) {
                    compio::time::sleep(Duration::from_millis(100)).await;
                }
            });
        });
        drop(spawned);
        Ok(Self {
            entry,
            worker,
            store,
            stopping,
        })
    }

    fn total(&self) -> ProbeBytes {
        ProbeBytes {
            entry: self.entry.bytes() as f64,
            worker: self.worker.bytes() as f64,
            store: self.store.bytes() as f64,
        }
    }

    /// Runs `action` and returns the bytes per second meanwhile, and the result.
    pub(crate) async fn measure_during<T>(
        &self,
        action: impl Future<Output = T>,
    ) -> (ProbeBytes, T) {
        let (before, started) = (self.total(), std::time::Instant::now());
        let result = action.await;
        let (after, seconds) = (self.total(), started.elapsed().as_secs_f64());
        let bytes = ProbeBytes {
            entry: (after.entry - before.entry) / seconds,
            worker: (after.worker - before.worker) / seconds,
            store: (after.store - before.store) / seconds,
        };
        (bytes, result)
    }
}

impl Drop for Probe {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}
