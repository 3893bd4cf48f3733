//! Types and utilities shared by all crates: ids, error kinds, secrets, clocks, backoff, the order of messages, logging and
//! metrics.

pub mod backoff;
pub mod clock;
pub mod error;
pub mod event;
pub mod ids;
pub mod logging;
pub mod metrics;
pub mod secret;
pub mod signal;
pub mod succession;

pub use error::Error;
pub use error::ErrorKind;
pub use error::Outcome;
pub use error::Result;
pub use ids::*;
