//! Model of jobs: what a customer submits, and its durable progress.
//!
//! A job has steps, a step has tasks, and a job may recur. A *unit* is what is placed, started and ended as a
//! whole: all tasks of a gang, or a single task. [`JobProgress`] is the durable part of a job's state and changes
//! only through its methods. It depends neither on the capacity of workers nor on messages.

mod crash;
mod ids;
mod occurrence_set;
mod part;
mod policy;
mod progress;
mod progress_rows;
mod record;
mod spec;
mod task_set;

pub use crash::CrashHistory;
pub use crash::CrashRisk;
pub use crash::Doubt;
pub use crash::StartCrash;
pub use ids::Occurrence;
pub use ids::ParseTaskIdError;
pub use ids::Run;
pub use ids::StepIndex;
pub use ids::TaskId;
pub use ids::TaskIndex;
pub use ids::UnitId;
pub use occurrence_set::OccurrenceSet;
pub use part::MAX_OPEN_OCCURRENCES;
pub use part::PART_PREFIX;
pub use part::PartId;
pub use policy::AdvicePolicy;
pub use policy::CustomerPolicy;
pub use policy::JobConfiguration;
pub use policy::Priority;
pub use policy::Queue;
pub use policy::QueuePolicy;
pub use policy::RequestLimits;
pub use policy::ServicePolicy;
pub use progress::Attempt;
pub use progress::EndEffect;
pub use progress::EndKind;
pub use progress::JobProgress;
pub use progress::JobState;
pub use progress::UnitProgress;
pub use progress::WorkerRef;
pub use progress_rows::RowError;
pub use record::EARLY_CANCEL_PREFIX;
pub use record::JOB_PREFIX;
pub use record::JobRecord;
pub use record::JobRow;
pub use record::early_cancel_key;
pub use spec::JobSpec;
pub use spec::MAX_SPEC_TASKS;
pub use spec::Repeat;
pub use spec::Resources;
pub use spec::SpecError;
pub use spec::StepSpec;
