//! Messages of the `/v1/sync` protocol.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::SeqAccess;
use serde::de::Visitor;

use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::ProcessId;
use nutmegwalk_base::WorkerId;
use nutmegwalk_config::Change;
use nutmegwalk_config::Configuration;
use nutmegwalk_net::Message;
use nutmegwalk_net::encode;
use nutmegwalk_store::RowVersion;

/// Opaque bytes of a report, interpreted only by the crates of the sender and of the final receiver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Payload(Rc<[u8]>);

impl Payload {
    /// Creates a payload with a copy of `bytes`.
    #[must_use]
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }

    /// Returns the bytes.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl Default for Payload {
    fn default() -> Self {
        Self::new(&[])
    }
}

impl Serialize for Payload {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Payload {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Bytes;
        impl<'de> Visitor<'de> for Bytes {
            type Value = Payload;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("bytes")
            }

            fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Payload, E> {
                Ok(Payload::new(bytes))
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Payload, A::Error> {
                let mut bytes = Vec::new();
                while let Some(byte) = sequence.next_element()? {
                    bytes.push(byte);
                }
                Ok(Payload::new(&bytes))
            }
        }
        deserializer.deserialize_bytes(Bytes)
    }
}

/// Role of a process in the sync protocol.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry host.
    Entry,
    /// An agent.
    Agent,
}

/// State that a process reports about itself; sent only to a receiver that lacks this revision of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Name of the process.
    pub process: ProcessId,
    /// Role of the process.
    pub role: Role,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Data centre of the process; `None` for an entry host outside all of them.
    pub data_centre: Option<DataCentreId>,
    /// Worker that the process runs beside.
    pub worker: Option<WorkerId>,
    /// Address of the process.
    pub address: SocketAddr,
    /// Whether the process is shutting down and accepts no new work.
    pub draining: bool,
    /// Content defined by other crates.
    pub payload: Payload,
    /// Increases with each change of the report.
    pub revision: u64,
}

impl Report {
    /// Returns the first 64 bits of the BLAKE3 digest of the encoded report.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let encoded = encode(self).unwrap_or_default();
        let digest = blake3::hash(&encoded);
        let (first, _) = digest
            .as_bytes()
            .split_first_chunk()
            .unwrap_or((&[0; 8], &[]));
        u64::from_le_bytes(*first)
    }
}

/// A heartbeat of one process, with its whole report when the receiver may lack it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportUpdate {
    /// Name of the process.
    pub process: ProcessId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Revision of the process's report.
    pub revision: u64,
    /// Configuration version that the process has.
    pub confirmed_version: ConfigVersion,
    /// Time since the last heartbeat of the process itself, in milliseconds.
    pub silent_ms: u64,
    /// Digest of the report, sent at intervals to detect a difference at the receiver.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<u64>,
    /// The whole report, when the receiver may lack it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report: Option<Report>,
}

/// A poll of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncRequest {
    /// Role of the sender; the receiver does not forward reports from an entry host.
    pub role: Role,
    /// Data centre whose relays are requested.
    pub data_centre: Option<DataCentreId>,
    /// Configuration version that the sender has.
    pub held_version: ConfigVersion,
    /// Versions of the owner rows that the sender has, by duty.
    pub held_owners: BTreeMap<Box<str>, RowVersion>,
    /// Heartbeats of the sender and of the processes that poll it.
    pub reports: Vec<ReportUpdate>,
}

/// An owner row on the wire.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerRow {
    /// Duty of the row.
    pub duty: Box<str>,
    /// Version of the row.
    pub version: RowVersion,
    /// JSON text of the row.
    pub value: Box<str>,
}

/// A process that can be polled.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// Name of the process.
    pub process: ProcessId,
    /// Address of the process.
    pub address: SocketAddr,
}

/// The answer to a poll.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncAnswer {
    /// Configuration version that the upstream has.
    pub version: ConfigVersion,
    /// Age of the upstream's view when it answered, in milliseconds, rounded up; `None` when the view was
    /// never confirmed.
    pub age_ms: Option<u64>,
    /// Changes that lead from the sender's version to `version`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
    /// The whole configuration, for a sender that is so far behind that changes are no longer kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<Box<Configuration>>,
    /// Owner rows that the sender lacks or has in an older version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub owners: Vec<OwnerRow>,
    /// Duties whose rows no longer exist.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed_owners: Vec<Box<str>>,
    /// Relays of the requested data centre.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub relays: Vec<Peer>,
    /// Processes whose whole report the upstream requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wanted: Vec<ProcessId>,
}

impl Message for SyncRequest {
    type Answer = SyncAnswer;
    const PATH: &'static str = "/v1/sync";
}
