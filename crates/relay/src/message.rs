//! The message by which a process asks a peer.

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

/// A request to the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayRequest {
    /// Runs a transaction.
    Transact(Transaction),
    /// Reads rows by their keys.
    Get(Vec<Box<str>>),
    /// Reads a page of the rows under a prefix.
    Page {
        /// The prefix.
        prefix: Box<str>,
        /// Only keys greater than this are read.
        after: Box<str>,
        /// Largest number of rows.
        limit: usize,
    },
    /// Waits for changes under a prefix.
    Changes {
        /// The prefix.
        prefix: Box<str>,
        /// Version after which changes are wanted.
        after: RowVersion,
        /// Longest time to wait, in milliseconds.
        wait_ms: u64,
    },
}

impl RelayRequest {
    /// Returns the time for which the store itself may take before it answers.
    pub(crate) fn wait(&self) -> Duration {
        match self {
            Self::Changes { wait_ms, .. } => Duration::from_millis(*wait_ms),
            Self::Transact(_) | Self::Get(_) | Self::Page { .. } => Duration::ZERO,
        }
    }
}

/// The store's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayAnswer {
    /// What became of a transaction.
    Transaction(TransactionOutcome),
    /// Rows in the order of their keys in the request.
    Rows(Vec<Option<Row>>),
    /// A page of rows.
    Page(Page),
    /// Changes.
    Changes(Changes),
}

impl Message for RelayRequest {
    type Answer = RelayAnswer;
    const PATH: &'static str = "/v1/store/relay";
}
