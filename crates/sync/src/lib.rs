//! Distribution of configuration and owner rows, and membership.
//!
//! [`Publisher`] writes configuration versions for operators. [`ViewReader`] keeps the [`View`] of an
//! entry host up to date from the table; [`SyncServer`] passes it on, and [`SyncClient`] fetches it
//! and carries reports upward, which [`Membership`] collects.

mod client;
mod history;
mod link;
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
pub use history::Step;
pub use history::versioned_key;
pub use membership::Member;
pub use membership::Membership;
pub use membership::Recorded;
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
