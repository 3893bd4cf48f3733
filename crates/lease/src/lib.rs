//! Ownership of duties by lease rows with fencing epochs.
//!
//! [`Ownership`] contends for one duty and renews the lease; [`LeaseState`] is the protocol itself,
//! without I/O and with the time as an argument.

mod ownership;
mod row;
mod state;

pub use ownership::Ownership;
pub use row::OwnerRow;
pub use row::epoch_key;
pub use row::owner_key;
pub use state::HeldLease;
pub use state::LeaseState;
pub use state::LeaseTiming;
pub use state::Step;
