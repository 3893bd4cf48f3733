//! Table and object store adapters and the batching store client.
//!
//! [`TableStore`] and [`ObjectStore`] are the narrow interfaces to the platform; another platform is
//! attached by implementing them. [`MemoryStore`] keeps both in memory, for tests and the stand-in.

mod memory;
mod table;

pub use memory::MemoryStore;
pub use table::Condition;
pub use table::MAX_TRANSACTION_WRITES;
pub use table::ObjectStore;
pub use table::Row;
pub use table::RowVersion;
pub use table::TableStore;
pub use table::Transaction;
pub use table::TransactionOutcome;
pub use table::Write;
