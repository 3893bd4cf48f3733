//! Supervision of an agent's worker.
//!
//! The [`Supervisor`] renews the worker's lease for as long as the owner of the domain allows, executes the
//! owner's orders, and reports running and ended tasks; ends are reported until the owner has stored them.
//! Placement is decided by the owner only.

mod lease;
mod message;
mod orders;
mod owner_clock;
mod polling;
mod supervised_worker;
mod supervisor;
mod witness;
mod worker;

pub use lease::LeaseClock;
pub use lease::LeaseRenewal;
pub use message::ANSWER_TIMEOUT;
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
pub use message::WorkerCrash;
pub use message::WorkerStatus;
pub use owner_clock::OwnerClock;
pub use supervisor::Supervisor;
pub use supervisor::SupervisorTimings;
pub use witness::START_CRASH_WINDOW;
pub use worker::Announcement;
pub use worker::EndedTask;
pub use worker::MAX_LISTED_ENDS;
pub use worker::PollAnswer;
pub use worker::PollRequest;
pub use worker::Refusal;
pub use worker::RunningTask;
pub use worker::StartAnswer;
pub use worker::StartRequest;
pub use worker::TaskRun;
pub use worker::WorkerPort;
pub use worker::WorkerState;
