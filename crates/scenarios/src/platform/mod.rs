//! Simulated platform: table, object store and workers over loopback HTTP, with faults.
//!
//! The server runs on its own thread, so that it can share a process with the whole system. The
//! handle, [`Platform`], sets faults and returns counters and the event log.

mod events;
mod http;
mod rate;
mod store;
mod task;
mod worker;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::platform::http::RequestHandler;
use crate::platform::store::StoreState;
use crate::platform::worker::Workers;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Server;
use nutmegwalk_net::ServerLimits;
use nutmegwalk_store::MemoryStore;

pub use events::Event;
pub use events::EventKind;
pub use events::Overlap;
pub use events::TaskEnd;
pub use events::longest_partial_run;
pub use events::overlapping_attempts;
pub use store::ProcessCounters;
pub use store::StoreCounters;
pub use store::StoreFaults;
pub use worker::WorkerFaults;
pub use worker::WorkerSize;

/// Interval at which the server thread checks for a stop request.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Interval at which a stopped platform checks whether its address is free.
const CLOSE_POLL: Duration = Duration::from_millis(2);
/// Time after which a stopped platform no longer waits for its address to be free.
const CLOSE_LIMIT: Duration = Duration::from_secs(10);

/// Handle of a running simulated platform, which stops when the handle is dropped.
pub struct Platform {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

/// State that the server thread shares with the handle.
pub(crate) struct Shared {
    store: Mutex<StoreState>,
    workers: Mutex<Workers>,
    stopping: AtomicBool,
}

impl Shared {
    pub(crate) fn store(&self) -> MutexGuard<'_, StoreState> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn workers(&self) -> MutexGuard<'_, Workers> {
        self.workers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}

impl Platform {
    /// Starts a simulated platform on a free port of the loopback interface. `seed` determines which
    /// answers are lost.
    ///
    /// # Errors
    /// `address_in_use` when no port is free, `internal` when the thread cannot be started.
    pub fn start(seed: u64) -> Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), seed)
    }

    /// Starts a simulated platform at `address`.
    ///
    /// # Errors
    /// The errors of [`Platform::start`].
    pub fn start_at(address: SocketAddr, seed: u64) -> Result<Self> {
        let shared = Arc::new(Shared {
            store: Mutex::new(StoreState::new(seed)),
            workers: Mutex::new(Workers::new(Instant::now())),
            stopping: AtomicBool::new(false),
        });
        let (sender, receiver) = mpsc::channel();
        let server_state = Arc::clone(&shared);
        let internal = |detail: String| Error::new(ErrorKind::Internal, detail);
        let thread = std::thread::Builder::new()
            .name("platform".into())
            .spawn(move || serve(address, &server_state, &sender))
            .map_err(|error| internal(error.to_string()))?;
        let address = receiver.recv().map_err(|error| {
            internal(format!(
                "the platform's thread ended during startup: {error}"
            ))
        })??;
        Ok(Self {
            address,
            shared,
            thread: Some(thread),
        })
    }

    /// Returns the address that serves table, object store and workers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults of table and object store.
    pub fn set_store_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        change(&mut self.shared.store().faults);
    }

    /// Returns the request counters of table and object store.
    #[must_use]
    pub fn store_counters(&self) -> StoreCounters {
        self.shared.store().counters.clone()
    }

    /// Runs `action` on the content of table and object store, bypassing all faults and counters.
    pub fn with_store<T>(&self, action: impl FnOnce(&MemoryStore) -> T) -> T {
        action(&self.shared.store().memory)
    }

    /// Adds an empty worker. Starts that exceed its free resources are refused.
    pub fn add_worker(&self, name: &str, size: WorkerSize) {
        self.shared.workers().add(name, size);
    }

    /// Changes the faults of a worker.
    ///
    /// # Errors
    /// `not_found` when there is no such worker.
    pub fn set_worker_faults(
        &self,
        name: &str,
        change: impl FnOnce(&mut WorkerFaults),
    ) -> Result<()> {
        change(&mut self.shared.workers().worker(name)?.faults);
        Ok(())
    }

    /// Kills a worker with all its tasks; the worker stays unreachable until it is restarted.
    ///
    /// # Errors
    /// `not_found` when there is no such worker.
    pub fn kill_worker(&self, name: &str) -> Result<()> {
        self.shared.workers().kill(name, Instant::now())
    }

    /// Restarts a worker without tasks; tasks that run on it are killed.
    ///
    /// # Errors
    /// `not_found` when there is no such worker.
    pub fn restart_worker(&self, name: &str) -> Result<()> {
        let mut workers = self.shared.workers();
        workers.kill(name, Instant::now())?;
        workers.restart(name)
    }

    /// Returns the starts and ends of all tasks up to now, in order of time.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.shared.workers().events(Instant::now())
    }

    /// Returns the time since the platform was started, on the clock of the events.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.shared.workers().origin().elapsed()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        // The runtime closes its sockets on a separate thread, possibly after the runtime has ended.
        let started = Instant::now();
        while TcpListener::bind(self.address).is_err() && started.elapsed() < CLOSE_LIMIT {
            std::thread::sleep(CLOSE_POLL);
        }
    }
}

fn serve(address: SocketAddr, shared: &Arc<Shared>, started: &mpsc::Sender<Result<SocketAddr>>) {
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            let error = Error::new(ErrorKind::Internal, error.to_string());
            let _ = started.send(Err(error));
            return;
        }
    };
    runtime.block_on(async {
        let server = match Server::bind(address, ServerLimits::default()).await {
            Ok(server) => server,
            Err(error) => {
                let _ = started.send(Err(error));
                return;
            }
        };
        let _ = started.send(Ok(server.local_address()));
        let drain = Drain::new();
        let handler = RequestHandler::new(Arc::clone(shared));
        compio::runtime::spawn(server.serve(handler, drain.clone())).detach();
        while !shared.is_stopping() {
            compio::time::sleep(STOP_POLL).await;
        }
        drain.start();
    });
}
