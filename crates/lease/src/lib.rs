//! Ownership of duties through lease rows with fencing epochs.
//!
//! A duty is a responsibility, such as owning a domain, that at most one process holds at a time.
//! [`Ownership`] contends for one duty and renews its lease. [`LeaseState`] is the protocol itself, without I/O and
//! with the current time as an argument.

mod ownership;
mod row;
mod state;

pub use ownership::Ownership;
pub use row::OwnerRow;
pub use row::epoch_key;
pub use row::owner_key;
pub use state::Action;
pub use state::HeldLease;
pub use state::LeaseState;
pub use state::LeaseTiming;
