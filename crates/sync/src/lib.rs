//! Distribution of the configuration and the owner rows to all processes, and process membership.
//!
//! [`Publisher`] writes configuration versions on behalf of operators. [`ViewReader`] refreshes the [`View`]
//! of an entry host from the table. [`SyncServer`] serves the view to downstream processes. [`SyncClient`]
//! polls an upstream for the view and sends it reports, which [`Membership`] of the upstream records.

mod client;
mod delivery;
mod history;
mod membership;
mod message;
mod publisher;
mod reader;
mod relays;
mod server;
mod timings;
mod upstreams;
mod view;

pub use client::SyncClient;
pub use client::SyncCounters;
pub use history::AUDIT_PREFIX;
pub use history::CHANGE_PREFIX;
pub use history::ChangeRow;
pub use history::HEAD_KEY;
pub use history::Head;
pub use history::History;
pub use history::SNAPSHOT_INTERVAL;
pub use history::SNAPSHOT_PREFIX;
pub use history::VersionStep;
pub use history::versioned_key;
pub use membership::Member;
pub use membership::Membership;
pub use membership::RecordOutcome;
pub use message::OwnerRow;
pub use message::Payload;
pub use message::Peer;
pub use message::Report;
pub use message::ReportUpdate;
pub use message::Role;
pub use message::SyncAnswer;
pub use message::SyncRequest;
pub use publisher::AuditRecord;
pub use publisher::Published;
pub use publisher::Publisher;
pub use reader::OWNER_PREFIX;
pub use reader::ViewReader;
pub use server::RelayList;
pub use server::SyncServer;
pub use timings::SyncTimings;
pub use view::OwnerValue;
pub use view::Owners;
pub use view::View;
