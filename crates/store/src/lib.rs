//! Table and object store adapters and the batching store client.
//!
//! [`TableStore`], [`ObjectStore`] and [`ChangeFeed`] are the interfaces to the platform; to support another
//! platform, implement them. [`HttpStore`] accesses the platform over HTTP, and [`MemoryStore`] keeps everything in
//! memory, for tests and the simulated platform. All processes access the store through a [`StoreClient`].

mod batch;
mod batch_item;
mod breaker;
mod client;
mod feed;
mod http;
mod memory;
mod rate_limit;
mod request_class;
mod table;
mod tag;

pub use breaker::CircuitBreaker;
pub use client::ClientTimings;
pub use client::StoreClient;
pub use feed::Change;
pub use feed::ChangeFeed;
pub use feed::Changes;
pub use feed::Follower;
pub use feed::FollowerTimings;
pub use feed::Page;
pub use feed::Replica;
pub use http::GetRequest;
pub use http::HttpStore;
pub use http::PROCESS_HEADER;
pub use http::ScanRequest;
pub use memory::MemoryStore;
pub use rate_limit::RateLimits;
pub use request_class::Counters;
pub use request_class::RequestClass;
pub use request_class::RequestClassCounters;
pub use table::Condition;
pub use table::MAX_TRANSACTION_BYTES;
pub use table::MAX_TRANSACTION_WRITES;
pub use table::ObjectStore;
pub use table::Reachability;
pub use table::Row;
pub use table::RowVersion;
pub use table::StoreClock;
pub use table::TableStore;
pub use table::Transaction;
pub use table::TransactionOutcome;
pub use table::Write;
