//! Announcements of backend servers and what an agent reports of them.

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
    /// Random number that the backend server draws at its start.
    pub incarnation: Incarnation,
    /// Service that the backend server provides.
    pub service: ServiceId,
    /// Address at which it takes calls.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Whether it is shutting down; this is final for an incarnation.
    #[serde(default)]
    pub leaving: bool,
}

fn default_connections() -> u32 {
    64
}

/// What an agent tells entry hosts of its backend server.
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
    /// Current load.
    pub load: Load,
}

impl ServerReport {
    /// Returns the routing entry of this backend server, whose agent is at `agent_address`.
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
