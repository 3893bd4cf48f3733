//! Messages of `/v1/sync`.

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

/// Bytes whose meaning only the sender's and the final receiver's crates know.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Payload(Rc<[u8]>);

impl Payload {
    /// Wraps `bytes`.
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

/// What a process is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry host.
    Entry,
    /// An agent.
    Agent,
}

/// What a process reports about itself; sent only when it has changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Name of the process.
    pub process: ProcessId,
    /// What the process is.
    pub role: Role,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Data centre of the process; `None` for an entry host outside all of them.
    pub data_centre: Option<DataCentreId>,
    /// Worker that the process stands beside.
    pub worker: Option<WorkerId>,
    /// Address of the process.
    pub address: SocketAddr,
    /// Whether the process is shutting down and takes no new work.
    pub draining: bool,
    /// Content for other crates.
    pub payload: Payload,
    /// Rises with each change of the report.
    pub revision: u64,
}

impl Report {
    /// Returns 64 bits of the digest of the whole report.
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

/// A sign of life of one process, with its report when the receiver may lack it.
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
    /// Time since the sender heard the process itself, in milliseconds.
    pub silent_ms: u64,
    /// Digest of the report, sent from time to time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<u64>,
    /// The report, when it is new.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report: Option<Report>,
}

/// A poll of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncRequest {
    /// What the sender is; reports from an entry host are not passed on.
    pub role: Role,
    /// Data centre for which the sender wants to know the relays.
    pub data_centre: Option<DataCentreId>,
    /// Configuration version that the sender has.
    pub held_version: ConfigVersion,
    /// Versions of the owner rows that the sender has, by duty.
    pub held_owners: BTreeMap<Box<str>, RowVersion>,
    /// Signs of life of the sender and of the processes that poll it.
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
    /// Age of the upstream's view when it answered, rounded up; `None` when it was never confirmed.
    pub age_ms: Option<u64>,
    /// Changes that lead from the held version to `version`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
    /// The whole configuration, for a sender that is too far behind for changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<Box<Configuration>>,
    /// Owner rows that the sender does not have in this version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub owners: Vec<OwnerRow>,
    /// Duties whose rows no longer exist.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed_owners: Vec<Box<str>>,
    /// Relays of the sender's data centre.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub relays: Vec<Peer>,
    /// Processes whose whole report the upstream lacks.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wanted: Vec<ProcessId>,
}

impl Message for SyncRequest {
    type Answer = SyncAnswer;
    const PATH: &'static str = "/v1/sync";
}
