//! Content of the lease row.

use serde::Deserialize;
use serde::Serialize;

use nutmegwalk_base::Epoch;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::ProcessId;

/// Content of the lease row `owner/<duty>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerRow {
    /// Fencing epoch; it increases with every takeover.
    pub epoch: Epoch,
    /// Process that holds the lease; empty after a planned release.
    pub holder: ProcessId,
    /// Address at which the holder accepts messages.
    pub address: Box<str>,
    /// Sequence number of the renewal; a holder never writes the same number twice.
    pub renewal: u64,
    /// Incarnation of the holder, which distinguishes a restarted process from its previous incarnation.
    pub incarnation: Incarnation,
    /// Lower bound of the store's clock at the time at which the renewal was sent, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub renewed_at_ms: Option<u64>,
}

impl OwnerRow {
    /// Returns whether the last holder released the lease.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.holder.is_empty()
    }
}

/// Returns the key of the lease row of a duty.
#[must_use]
pub fn owner_key(duty: &str) -> Box<str> {
    format!("owner/{duty}").into_boxed_str()
}

/// Returns the key of the row that is written only when the epoch changes.
///
/// Conditions of a transaction refer to row versions, and each renewal gives the lease row a new version. A write
/// that depends only on the epoch therefore has a condition on this row. Takeover and release write it in the same
/// transaction as the lease row.
#[must_use]
pub fn epoch_key(duty: &str) -> Box<str> {
    format!("owner-epoch/{duty}").into_boxed_str()
}
