//! Announcements of backend servers and the reports that agents make from them.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Load;
use crate::ServerEntry;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::RegionId;
use nutmegwalk_base::ServiceId;

/// Heartbeat of a backend server, sent as JSON to its agent every second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Random number that the backend server generates at each start.
    pub incarnation: Incarnation,
    /// Service that the backend server provides.
    pub service: ServiceId,
    /// Address at which the backend server accepts calls.
    pub address: SocketAddr,
    /// Maximum number of calls that the backend server runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that the backend server accepts.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Whether the backend server is shutting down; once set, it stays set for the incarnation.
    #[serde(default)]
    pub leaving: bool,
}

fn default_connections() -> u32 {
    64
}

/// State of a backend server, as its agent reports it to entry hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerReport {
    /// Incarnation of the agent.
    pub agent_incarnation: Incarnation,
    /// Incarnation of the backend server.
    pub server_incarnation: Incarnation,
    /// Service that the backend server provides.
    pub service: ServiceId,
    /// Whether the backend server or its agent is shutting down.
    pub leaving: bool,
    /// Load of the backend server at the time of the report.
    pub load: Load,
}

impl ServerReport {
    /// Converts the report into a routing table entry; `agent_address` is the address of the agent.
    #[must_use]
    pub fn into_entry(
        self,
        agent_address: SocketAddr,
        data_centre: impl Into<DataCentreId>,
        region: impl Into<RegionId>,
    ) -> ServerEntry {
        ServerEntry {
            agent_address,
            agent_incarnation: self.agent_incarnation,
            server_incarnation: self.server_incarnation,
            service: self.service,
            data_centre: data_centre.into(),
            region: region.into(),
            leaving: self.leaving,
            load: self.load,
        }
    }
}
