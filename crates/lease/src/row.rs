//! Content of the lease row.

use serde::Deserialize;
use serde::Serialize;

use nutmegwalk_base::Epoch;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::ProcessId;

/// Content of the row `owner/<duty>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerRow {
    /// Fencing epoch; it rises with every change of the holder.
    pub epoch: Epoch,
    /// Process that holds the lease; empty after a planned release.
    pub holder: ProcessId,
    /// Address at which the holder takes messages.
    pub address: Box<str>,
    /// Number of the renewal; a holder never writes the same number twice.
    pub renewal: u64,
    /// Incarnation of the holder, which tells a restarted process from its predecessor.
    pub incarnation: Incarnation,
    /// A reading of the store's clock that had passed when the renewal was sent, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub renewed_at_ms: Option<u64>,
}

impl OwnerRow {
    /// Returns whether the last holder gave the lease back.
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
/// Conditions of the table name row versions, and each renewal gives the lease row a new one. A write
/// that depends on the epoch alone therefore names this row, which takeover and release write in the
/// same transaction as the lease row.
#[must_use]
pub fn epoch_key(duty: &str) -> Box<str> {
    format!("owner-epoch/{duty}").into_boxed_str()
}
