//! Format of claims in the table.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::AttemptId;
use crate::CallRequest;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::Result;
use nutmegwalk_store::RowVersion;

/// The attempt that a pending claim permits, and the agent to which it may be sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct PendingClaim {
    /// Id of the attempt.
    pub(crate) attempt: AttemptId,
    /// Address of the agent.
    pub(crate) agent: SocketAddr,
    /// Incarnation of the agent.
    pub(crate) incarnation: Incarnation,
}

/// Location of a stored answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum StoredAnswer {
    /// In the row, in hexadecimal.
    Inline(Box<str>),
    /// In the object store under this name.
    Object(Box<str>),
}

/// State of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ClaimState {
    /// The attempt may be running or may have run.
    Pending(PendingClaim),
    /// The last attempt provably did not run; any entry host may take over the claim.
    Released(AttemptId),
    /// The request ran, and its answer is stored.
    Completed(AttemptId, StoredAnswer),
}

/// Content of a claim's row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct ClaimRow {
    /// Digest of the request; a submission with another digest reuses the key for another request.
    pub(super) digest: Box<str>,
    /// State of the claim.
    pub(super) state: ClaimState,
}

/// A claim as read from or written to the table.
#[derive(Clone, Debug)]
pub(crate) struct StoredClaim {
    pub(super) key: Box<str>,
    pub(super) version: RowVersion,
    pub(super) row: ClaimRow,
}

impl StoredClaim {
    /// Returns the version of the row.
    pub(crate) fn version(&self) -> RowVersion {
        self.version
    }

    /// Returns the attempt that may be running, unless the claim was released or completed.
    pub(crate) fn pending(&self) -> Option<&PendingClaim> {
        match &self.row.state {
            ClaimState::Pending(pending) => Some(pending),
            ClaimState::Released(_) | ClaimState::Completed(..) => None,
        }
    }
}

/// A pending claim that this entry host wrote, which permits it to send the attempt once.
#[derive(Debug)]
pub(crate) struct HeldClaim {
    pub(super) stored: StoredClaim,
    pub(super) pending: PendingClaim,
}

impl HeldClaim {
    /// Returns the attempt that may be sent.
    pub(crate) fn pending(&self) -> &PendingClaim {
        &self.pending
    }

    /// Converts into the stored claim, which gives up the permission to send the attempt.
    pub(crate) fn into_stored(self) -> StoredClaim {
        self.stored
    }
}

/// Result of writing a claim.
#[derive(Debug)]
pub(crate) enum ClaimResult {
    /// This entry host holds the claim.
    Held(HeldClaim),
    /// Another submission has written the claim; this is the current one.
    Exists(StoredClaim),
}

impl ClaimRow {
    /// Encodes the row as JSON.
    pub(super) fn to_text(&self) -> Result<Box<str>> {
        serde_json::to_string(self)
            .map(String::into_boxed_str)
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))
    }

    /// Decodes a row from JSON; a malformed row leaves the outcome of the request unknown.
    pub(super) fn from_text(text: &str) -> Result<Self> {
        serde_json::from_str(text).map_err(|error| {
            Error::new(
                ErrorKind::UnknownOutcome,
                format!("the stored claim is malformed: {error}"),
            )
        })
    }
}

/// Returns the digest of the parts that identify a request: service, method, path and body.
pub(super) fn digest(request: &CallRequest) -> Box<str> {
    let mut hasher = blake3::Hasher::new();
    for part in [&request.service, &request.method, &request.path] {
        // The length prefix makes the boundaries between the parts unambiguous.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&request.body);
    hasher.finalize().to_hex().as_str().into()
}

/// Encodes bytes in hexadecimal.
pub(super) fn to_hex(content: &[u8]) -> Box<str> {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut text = String::with_capacity(content.len() * 2);
    for byte in content {
        text.push(char::from(DIGITS[usize::from(byte >> 4)]));
        text.push(char::from(DIGITS[usize::from(byte & 15)]));
    }
    text.into()
}

/// Decodes hexadecimal text; `None` when it is malformed.
pub(super) fn from_hex(text: &str) -> Option<Bytes> {
    let digit = |digit: u8| {
        let value = char::from(digit).to_digit(16)?;
        u8::try_from(value).ok()
    };
    let (pairs, remainder) = text.as_bytes().as_chunks::<2>();
    if !remainder.is_empty() {
        return None;
    }
    pairs
        .iter()
        .map(|[high, low]| Some(digit(*high)? << 4 | digit(*low)?))
        .collect::<Option<Vec<u8>>>()
        .map(Bytes::from)
}
