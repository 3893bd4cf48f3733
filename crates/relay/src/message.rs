//! The message that relays a request to the store through a peer.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use nutmegwalk_net::Message;
use nutmegwalk_store::Changes;
use nutmegwalk_store::Page;
use nutmegwalk_store::Row;
use nutmegwalk_store::RowVersion;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;

/// A request to the store that a peer forwards.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayRequest {
    /// Runs a transaction.
    Transact(Transaction),
    /// Reads rows by their keys.
    Get(Vec<Box<str>>),
    /// Reads a page of the rows under a prefix.
    Page {
        /// Prefix of the keys to read.
        prefix: Box<str>,
        /// Only keys greater than this are read.
        after: Box<str>,
        /// Maximum number of rows in the page.
        limit: usize,
    },
    /// Waits for changes under a prefix.
    Changes {
        /// Prefix of the keys whose changes are requested.
        prefix: Box<str>,
        /// Only changes after this version are returned.
        after: RowVersion,
        /// Longest time to wait for a change, in milliseconds.
        wait_ms: u64,
    },
}

impl RelayRequest {
    /// Returns the time for which the store itself may wait before it answers the request.
    pub(crate) fn wait(&self) -> Duration {
        match self {
            Self::Changes { wait_ms, .. } => Duration::from_millis(*wait_ms),
            Self::Transact(_) | Self::Get(_) | Self::Page { .. } => Duration::ZERO,
        }
    }
}

/// The store's answer to a [`RelayRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayAnswer {
    /// Outcome of a transaction.
    Transaction(TransactionOutcome),
    /// Rows in the order of their keys in the request.
    Rows(Vec<Option<Row>>),
    /// A page of rows.
    Page(Page),
    /// Changes under a prefix.
    Changes(Changes),
}

impl Message for RelayRequest {
    type Answer = RelayAnswer;
    const PATH: &'static str = "/v1/store/relay";
}
