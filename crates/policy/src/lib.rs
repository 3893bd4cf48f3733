//! What operators have written, as one process knows it.
//!
//! [`PolicyView`] follows the operators' rows in the store. The configuration in it only moves to higher
//! versions; its age tells how long ago it was current for certain.

mod rows;
mod view;

pub use rows::MaintenanceWave;
pub use rows::OperatorRows;
pub use rows::Subject;
pub use view::PolicyView;
