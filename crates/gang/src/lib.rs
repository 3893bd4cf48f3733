//! Gang protocol between data-centre owner and agents.

mod agent;
mod driver;
mod exchange;
pub mod messages;
mod permission;
mod rebuild;
mod report;
mod timings;
pub mod worker;

pub use agent::GangAgent;
pub use agent::Resources;
pub use driver::Bound;
pub use driver::GangDriver;
pub use driver::GangHandle;
pub use driver::GangMember;
pub use driver::GangSpec;
pub use driver::Reserved;
pub use driver::Running;
pub use driver::StartFailure;
pub use driver::Stopped;
pub use messages::GangEnd;
pub use messages::MemberReport;
pub use messages::MemberSpec;
pub use messages::ReportAcknowledgement;
pub use permission::StartPermission;
pub use rebuild::Rebuild;
pub use report::AttemptPhase;
pub use report::AttemptReport;
pub use report::GangReport;
pub use report::digest;
pub use timings::GangTimings;
pub use worker::Attempt;
pub use worker::TaskMetadata;
pub use worker::TaskState;
pub use worker::TaskStatus;
pub use worker::WorkerApi;
