//! Supervision of the one worker beside an agent.
//!
//! The [`Supervisor`] renews the worker's lease for as long as the owner of the domain allows, carries out
//! the owner's orders, and reports what runs and what has ended until the owner has stored it. It decides
//! nothing about placement.

mod lease;
mod message;
mod orders;
mod supervisor;
mod worker;

pub use lease::LeaseClock;
pub use message::Orders;
pub use message::OrdersAnswer;
pub use message::PaceOrder;
pub use message::PeersAnswer;
pub use message::PeersRequest;
pub use message::Report;
pub use message::ReportAnswer;
pub use message::StartOrder;
pub use message::StartResult;
pub use message::StopOrder;
pub use message::StopResult;
pub use message::TaskOutcome;
pub use message::WorkerStatus;
pub use supervisor::Supervisor;
pub use supervisor::SupervisorTimings;
pub use worker::Announcement;
pub use worker::EndedTask;
pub use worker::PollAnswer;
pub use worker::PollRequest;
pub use worker::Refusal;
pub use worker::RunningTask;
pub use worker::StartAnswer;
pub use worker::StartRequest;
pub use worker::TaskRun;
pub use worker::WorkerPort;
pub use worker::WorkerState;
