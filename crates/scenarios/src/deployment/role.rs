//! Role of the system on its own thread and runtime. A role can be stopped, killed and paused.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use futures_util::future::select;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_net::Drain;

/// Interval at which a role's thread checks its control flags.
const CONTROL_POLL: Duration = Duration::from_millis(10);

#[derive(Debug, Default)]
struct Control {
    stopping: AtomicBool,
    killed: AtomicBool,
    paused: AtomicBool,
}

/// Handle of a role that runs on its own thread; dropping the handle kills the role.
#[derive(Debug)]
pub struct Role {
    name: Box<str>,
    address: SocketAddr,
    control: Arc<Control>,
    thread: Option<JoinHandle<()>>,
}

/// Role that has bound its address and is ready to run.
pub(crate) trait Bound: 'static {
    /// Returns the address that the role listens on.
    fn address(&self) -> SocketAddr;

    /// Runs the role until `stop` is started and the work in flight has completed.
    fn run(self, stop: Drain) -> impl Future<Output = ()>;
}

impl Role {
    /// Starts a role on a new thread, where `bind` sets it up, and waits until it has bound its address.
    pub(crate) fn spawn<B: Bound, F: Future<Output = Result<B>>>(
        name: impl Into<Box<str>>,
        bind: impl FnOnce() -> F + Send + 'static,
    ) -> Result<Self> {
        let name = name.into();
        let control = Arc::new(Control::default());
        let shared = Arc::clone(&control);
        let (sender, receiver) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name(name.to_string())
            .spawn(move || {
                let runtime = match compio::runtime::Runtime::new() {
                    Ok(runtime) => runtime,
                    Err(error) => {
                        let _ =
                            sender.send(Err(Error::new(ErrorKind::Internal, error.to_string())));
                        return;
                    }
                };
                runtime.block_on(async {
                    match bind().await {
                        Ok(bound) => {
                            let _ = sender.send(Ok(bound.address()));
                            run_controlled(bound, &shared).await;
                        }
                        Err(error) => {
                            let _ = sender.send(Err(error));
                        }
                    }
                });
            })
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
        let address = receiver.recv().map_err(|_| {
            Error::new(
                ErrorKind::Internal,
                format!("the thread of {name} ended during startup"),
            )
        })??;
        Ok(Self {
            name,
            address,
            control,
            thread: Some(thread),
        })
    }

    /// Returns the role's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address that the role listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts a graceful stop without waiting for it to complete.
    pub fn begin_stop(&self) {
        self.control.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether the role has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Stops the role gracefully and waits for its end.
    pub fn stop(mut self) {
        self.begin_stop();
        self.join();
    }

    /// Ends the role immediately; its connections break and its state in memory is lost.
    pub fn kill(mut self) {
        self.kill_now();
    }

    /// Freezes the role, like a suspended process, or resumes it.
    pub fn set_paused(&self, paused: bool) {
        self.control.paused.store(paused, Ordering::Relaxed);
    }

    fn kill_now(&mut self) {
        self.control.killed.store(true, Ordering::Relaxed);
        self.join();
    }

    fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Role {
    fn drop(&mut self) {
        self.kill_now();
    }
}

async fn run_controlled<B: Bound>(bound: B, control: &Control) {
    let stop = Drain::new();
    let killed = async {
        loop {
            if control.killed.load(Ordering::Relaxed) {
                return;
            }
            if control.stopping.load(Ordering::Relaxed) {
                stop.start();
            }
            // Blocks the whole runtime, so that no task of the role makes progress.
            while control.paused.load(Ordering::Relaxed) && !control.killed.load(Ordering::Relaxed)
            {
                std::thread::sleep(CONTROL_POLL);
            }
            compio::time::sleep(CONTROL_POLL).await;
        }
    };
    select(pin!(bound.run(stop.clone())), pin!(killed)).await;
}
