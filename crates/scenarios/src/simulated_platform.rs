//! The simulated platform as a separate process.

use std::net::SocketAddr;

use log::info;

use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;
use nutmegwalk_node::shutdown;
use nutmegwalk_scenarios::platform::Platform;
use nutmegwalk_scenarios::platform::WorkerSize;

/// Runs table, object store and `workers` at `listen` until SIGTERM or SIGINT, then prints the event log.
pub(crate) async fn run(
    listen: SocketAddr,
    workers: &[WorkerId],
    size: WorkerSize,
    seed: u64,
) -> Result<()> {
    let stop = shutdown::on_signal();
    let platform = Platform::start_at(listen, seed)?;
    for worker in workers {
        platform.add_worker(worker, size);
    }
    println!(
        "platform at {} with {} workers",
        platform.address(),
        workers.len()
    );
    info!(address:% = platform.address(); "simulated platform started");
    stop.started().await;
    for event in platform.events() {
        println!("{event:?}");
    }
    Ok(())
}
