//! Permission to start tasks, decided by the process's view of the configuration.

use nutmegwalk_base::Epoch;
use nutmegwalk_base::Result;

/// Decides whether a command of the owner with `epoch` may reserve, bind or start tasks now.
pub trait StartPermission {
    /// Refuses the command while the view is stale, the data centre is taken out or the epoch was
    /// superseded.
    ///
    /// # Errors
    /// `stale_view`, `data_centre_out` or `stale_epoch`.
    fn check(&self, epoch: Epoch) -> Result<()>;
}
