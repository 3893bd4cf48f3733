//! Tasks that run for as long as the process, also after a panic.

use std::time::Duration;

use compio::runtime::JoinHandle;
use log::error;

use nutmegwalk_base::event;

/// Pause before a task that has panicked is run again, so that a permanent fault does not use up the processor.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Spawns a task of the process and runs it again if it panics.
///
/// The runtime ends a task that panics without ending the process. Without a restart the process would go on with a
/// part of its duties missing, for example as an owner that keeps its lease and decides nothing. Dropping the handle
/// ends the task.
pub fn spawn_restarting<F>(
    name: &'static str,
    mut run: impl FnMut() -> F + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + 'static,
{
    compio::runtime::spawn(async move {
        while let Err(failure) = compio::runtime::spawn(run()).await {
            error!(target: event::TASK_FAILED, task = name; "{failure}, running it again");
            compio::time::sleep(RESTART_PAUSE).await;
        }
    })
}
