//! Platform stand-in and scenario runner.

pub mod platform;
