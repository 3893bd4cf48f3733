//! View of the operators' rows: configuration, data centres out of service, and waves of maintenance.
//!
//! [`PolicyView`] follows these rows in the store. Its configuration is only replaced by higher versions, and
//! its age is the time since the view was last provably current.

mod rows;
mod view;

pub use rows::MaintenanceWave;
pub use rows::OperatorRows;
pub use rows::Subject;
pub use view::PolicyView;
